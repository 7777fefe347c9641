import asyncio
import json
import time
import types
import unittest
from unittest import mock

import aiohttp
import hypothesis
import yarl
from hypothesis import strategies

from standins import shapes
from teaselsill import callers, document, exchange, metrics, service_levels
from tests import support

SHAPE = shapes.Shape(
    ("oslo-a",),
    (
        shapes.ServiceShape("engines", "completions", 1),
        shapes.ServiceShape("bookings", "plain", 1),
        shapes.ServiceShape("closed", "plain", 1),
    ),
    accounts=1,
)
ACCOUNT = shapes.account_name(0)
KEY = {"Authorization": f"Bearer {shapes.api_key(ACCOUNT)}"}
MAX_BODY_BYTES = 300_000
CHAT = "/v1/chat/completions"
NESTED = b"[" * 100_000 + b"]" * 100_000


class StubResponse:
    """A complete response."""

    status = 200
    upstream = "bookings-0"

    def __init__(self, headers=()):
        self.headers = list(headers)

    async def body(self):
        yield exchange.BodyChunk(b"whole", is_last=True)

    def close(self):
        pass


class StubRouter:
    """Keeps the requests that it gets, and responds to them or fails."""

    def __init__(self):
        plain = shapes.make_document(SHAPE)
        plain["client_accounts"][0]["services"].remove("closed")
        self.follower = types.SimpleNamespace(
            document=document.parse(shapes.to_json(plain))
        )
        self.requests = []
        self.response = StubResponse()
        self.error = None

    async def serve(self, request, max_waiting, counts):
        self.requests.append(request)
        counts.attempts += 2
        if self.error:
            raise self.error
        return self.response


def make_app(router):
    levels = service_levels.Recorder(time.monotonic)
    sink = metrics.Metrics("")
    return callers.CallerApi(router, levels, sink, MAX_BODY_BYTES).create_app()


class CallersCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.router = StubRouter()
        app = make_app(self.router)
        self.url, self.server = await self.enterAsyncContext(support.serve(app))
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())

    async def send(self, method, path, headers=KEY, body=b""):
        """Returns the response and its body; the path is sent without encoding it."""
        url = yarl.URL(self.url + path, encoded=True)
        async with (
            asyncio.timeout(5),
            self.session.request(
                method, url, headers=headers, data=body, allow_redirects=False
            ) as response,
        ):
            return response, await response.read()

    def check_refusal(self, response, body, status, reason, outcome="not-run"):
        self.assertEqual(status, response.status)
        self.assertEqual(outcome, response.headers["Teaselsill-Outcome"])
        self.assertTrue(response.headers["X-Request-Id"])
        self.assertEqual(reason, json.loads(body)["error"]["type"])
        self.assertNotIn(b"Traceback", body)


class RefusalTest(CallersCase):
    async def test_log_line_of_a_failed_request_has_its_attempts(self):
        self.router.error = exchange.AgentLostError("the agent is gone")
        with self.assertLogs("teaselsill.callers") as logged:
            await self.send("GET", "/services/bookings/x")
        self.assertEqual([2], [record.attempts for record in logged.records])

    async def test_requests_that_are_refused_by_path_or_header(self):
        plain = "/services/bookings/x"
        cases = [
            ("GET", plain, {}, 401, "unknown-client-account"),
            ("GET", plain, {"Authorization": "Basic eA=="}, 401,
             "unknown-client-account"),
            ("GET", plain, {"Authorization": "Bearer nobody"}, 401,
             "unknown-client-account"),
            ("GET", "/v1/models", {}, 401, "unknown-client-account"),
            ("GET", "/services/closed/x", KEY, 403, "not-allowed"),
            ("GET", "/services/nothing/x", KEY, 404, "unknown-service"),
            ("GET", "/services/engines/x", KEY, 404, "unknown-service"),
            ("GET", "/services/bookings", KEY, 404, "unknown-path"),
            ("GET", "/services%2Fbookings%2Fx/y", KEY, 404, "unknown-path"),
            ("GET", "/services/bookings%2Fx/y", KEY, 404, "unknown-path"),
            ("GET", "/v1/models/", KEY, 404, "unknown-path"),
            ("GET", "/", {}, 404, "unknown-path"),
            ("POST", "/v1/models", KEY, 405, "unknown-method"),
            ("GET", CHAT, KEY, 405, "unknown-method"),
            ("PROPFIND", plain, KEY, 405, "unknown-method"),
            ("GET", plain, KEY | {"Teaselsill-Deadline": "soon"}, 400, "bad-request"),
            ("GET", plain, KEY | {"Teaselsill-Deadline": "nan"}, 400, "bad-request"),
            ("GET", plain, KEY | {"Teaselsill-Deadline": "-1"}, 400, "bad-request"),
            ("GET", plain, KEY | {"Teaselsill-Deadline": "1e9"}, 400, "bad-request"),
            ("GET", plain, KEY | {"Idempotency-Key": "k" * 256}, 400, "bad-request"),
        ]  # fmt: skip
        for method, path, headers, status, reason in cases:
            with self.subTest(method=method, path=path, headers=headers):
                response, body = await self.send(method, path, headers)
                self.check_refusal(response, body, status, reason)
        self.assertEqual([], self.router.requests)

    async def test_bodies_that_are_not_a_completion_request(self):
        cases = [
            (b"", 400, "bad-request"),
            (b"{", 400, "bad-request"),
            (b"[]", 400, "bad-request"),
            (b'{"model": 3}', 400, "bad-request"),
            (b'{"model": "engines-model", "stream": "yes"}', 400, "bad-request"),
            (b'{"model": "\xff"}', 400, "bad-request"),
            (b'{"model": "a", "messages": ' + NESTED + b"}", 400, "bad-request"),
            (b'{"model": "unknown"}', 404, "unknown-service"),
            (b"x" * (MAX_BODY_BYTES + 1), 413, "body-too-large"),
        ]
        for sent, status, reason in cases:
            with self.subTest(sent=sent[:40]):
                response, body = await self.send("POST", CHAT, body=sent)
                self.check_refusal(response, body, status, reason)
        self.assertEqual([], self.router.requests)

    async def test_refusal_of_an_unknown_key_names_the_authentication_scheme(self):
        response, _ = await self.send("GET", "/services/bookings/x", {})
        self.assertEqual("Bearer", response.headers["WWW-Authenticate"])

    async def test_router_without_configuration_asks_for_a_retry(self):
        self.router.follower.document = None
        for path in ("/services/bookings/x", "/v1/models"):
            response, body = await self.send("GET", path)
            self.check_refusal(response, body, 503, "not-ready")
            self.assertEqual("1", response.headers["Retry-After"])

    async def test_internal_error_is_reported_without_a_traceback(self):
        self.router.error = RuntimeError("secret detail")
        with self.assertLogs("teaselsill.callers", "ERROR"):
            response, body = await self.send("GET", "/services/bookings/x")
        self.check_refusal(response, body, 500, "internal", "unknown")
        self.assertNotIn(b"secret detail", body)

    async def test_body_that_stops_arriving(self):
        head = f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n"
        head += f"Authorization: {KEY['Authorization']}\r\n\r\n{{"
        with mock.patch.object(callers, "BODY_TIMEOUT_S", 0.05):
            response = await self.send_raw(head.encode())
        self.assertIn(b"408 ", response.splitlines()[0])
        self.assertIn(b"body-timeout", response)

    async def test_garbage_on_the_callers_port(self):
        for sent in (
            b"\0\xff\r\n\r\n",
            b"GET\r\n\r\n",
            b"GET / HTTP/1.1\r\nA B\r\n\r\n",
        ):
            response = await self.send_raw(sent)
            self.assertIn(b"400 ", response.splitlines()[0])
        response, _ = await self.send("GET", "/services/bookings/x")
        self.assertEqual(200, response.status)

    async def send_raw(self, data):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", yarl.URL(self.url).port
        )
        writer.write(data)
        async with asyncio.timeout(5):
            response = await reader.read()
        writer.close()
        return response


class ForwardingTest(CallersCase):
    async def test_order_path_in_another_spelling_is_not_repeatable(self):
        for path in ("/orders/1", "/%6Frders/1", "/x/../orders/1", "//orders/1",
                     "/./orders/1", "/x/%2E%2E/orders/1"):  # fmt: skip
            with self.subTest(path=path):
                await self.send("POST", "/services/bookings" + path)
                self.assertFalse(self.router.requests[-1].repeatable)
        await self.send("GET", "/services/bookings/orders/1")
        self.assertTrue(self.router.requests[-1].repeatable)

    async def test_path_and_query_are_forwarded_as_written(self):
        await self.send("GET", "/services/bookings/a%20b%2Fc?d=%26&e")
        self.assertEqual("/a%20b%2Fc?d=%26&e", self.router.requests[-1].path)

    async def test_key_and_router_headers_are_not_forwarded(self):
        router_headers = {
            "Idempotency-Key": "k",
            "Teaselsill-Deadline": "5",
            "X-Request-Id": "r",
        }
        await self.send(
            "POST", "/services/bookings/x", KEY | router_headers | {"X-Mine": "1"}
        )
        request = self.router.requests[-1]
        names = {name.lower() for name, _ in request.headers}
        self.assertIn("x-mine", names)
        self.assertFalse(names & {name.lower() for name in KEY | router_headers})
        self.assertEqual("k", request.key)

    async def test_non_ascii_header_is_returned(self):
        place = "Grünerløkka €"
        self.router.response = StubResponse(
            [("X-Place", place.encode().decode("latin-1"))]
        )
        response, body = await self.send("GET", "/services/bookings/x")
        self.assertEqual((200, b"whole"), (response.status, body))
        self.assertEqual(place, response.headers["X-Place"])

    async def test_date_header_is_not_repeated(self):
        self.router.response = StubResponse([("Date", "Thu, 03 Dec 2026 23:39:11 GMT")])
        response, _ = await self.send("GET", "/services/bookings/x")
        self.assertEqual(1, len(response.headers.getall("Date")))


class FuzzTest(unittest.TestCase):
    """Any request gets a response that the application itself has written."""

    @hypothesis.given(
        strategies.sampled_from(["GET", "POST"]),
        strategies.sampled_from([b"/", b"/services/", b"/v1/", CHAT.encode()]),
        strategies.binary(max_size=30),
        strategies.binary(max_size=200),
        strategies.binary(max_size=20),
    )
    def test_every_response_has_an_outcome(self, method, prefix, tail, body, header):
        response = asyncio.run(self.call(method, prefix + tail, body, header))
        headers = dict(response["headers"])
        self.assertIn(headers[b"teaselsill-outcome"], (b"not-run", b"ran"))
        self.assertNotEqual(500, response["status"])

    async def call(self, method, path, body, header):
        sent = []
        messages = [{"type": "http.request", "body": body}]

        async def receive():
            return messages.pop() if messages else await asyncio.Event().wait()

        async def send(message):
            sent.append(message)

        scope = {
            "type": "http",
            "method": method,
            "path": path.decode("utf-8", "replace"),
            "raw_path": path,
            "query_string": header,
            "headers": [
                (b"authorization", KEY["Authorization"].encode()),
                (b"idempotency-key", header),
                (b"teaselsill-deadline", header or b"1"),
            ],
        }
        async with asyncio.timeout(5):
            await make_app(StubRouter())(scope, receive, send)
        return sent[0]
