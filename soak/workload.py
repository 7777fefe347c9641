"""Callers that send a mixed workload, and the results of their requests."""

import asyncio
import dataclasses
import enum
import hashlib
import itertools
import json
import random
import time

import aiohttp
import msgspec

from soak import expected_responses
from standins import fleet, shapes

CALLER_COUNT = 24
MEAN_PAUSE_S = 0.15
DEADLINES_S = (3.0, 6.0, 10.0)
RESPONSE_GRACE_S = 2.0
"""A request must have its response at most this long after its deadline."""
CALLER_GRACE_S = 4.0
"""How long after the deadline a caller gives up.

It is longer than `RESPONSE_GRACE_S`, so that late responses are seen and reported.
"""
MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.4
MAX_BODY_BYTES = 400_000
KEY_IN_USE_STATUS = 409
"""Another call with the same idempotency key is running or has an unknown outcome."""


class RequestKind(enum.Enum):
    """The kinds of requests.

    Attributes:
        STREAM: A chat completion whose response is a stream of events.
        WHOLE: A chat completion whose response is not streamed.
        LOOKUP: A GET request to the plain service.
        ORDER: A POST request to the plain service.
        KEYED_ORDER: A POST request to the plain service with an idempotency key.
    """

    STREAM = "stream"
    WHOLE = "whole"
    LOOKUP = "lookup"
    ORDER = "order"
    KEYED_ORDER = "keyed-order"


WEIGHT_BY_KIND = {
    RequestKind.STREAM: 3,
    RequestKind.WHOLE: 2,
    RequestKind.LOOKUP: 4,
    RequestKind.ORDER: 3,
    RequestKind.KEYED_ORDER: 3,
}
ABORT_PROBABILITY = 0.05
"""The probability that a caller aborts a request early."""
DUPLICATE_PROBABILITY = 0.2
"""The probability that a keyed order is first sent twice at the same time."""


class Result(enum.Enum):
    """The result of a call as the caller sees it.

    Attributes:
        COMPLETE: The expected response.
        REFUSED: An error response that says that the request was not run.
        UNKNOWN: An error response that says that the outcome is unknown.
        KEY_IN_USE: The same, because another call has the same idempotency key.
        RAN_WITHOUT_RESPONSE: A router's error response that says that the request ran.
        UPSTREAM_ERROR: Any other error response, such as one of the upstream.
        INCOMPLETE: The connection failed after the head of the response.
        NO_RESPONSE: The connection failed before that.
        CALLER_ABORTED: The caller aborted the request early.
        OVERDUE: The caller gave up `CALLER_GRACE_S` after the deadline.
        WRONG: A response with status 200, but not the expected one.
    """

    COMPLETE = "whole"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    KEY_IN_USE = "key-in-use"
    RAN_WITHOUT_RESPONSE = "ran-without-answer"
    UPSTREAM_ERROR = "upstream-error"
    INCOMPLETE = "broken"
    NO_RESPONSE = "no-answer"
    CALLER_ABORTED = "caller-left"
    OVERDUE = "overdue"
    WRONG = "wrong"


@dataclasses.dataclass(slots=True)
class Call:
    """One HTTP request of a caller and its response.

    Attributes:
        kind: The kind of the request.
        order_path: The path of the order, or empty.
        account: The client account.
        router: The name of the router that it was sent to.
        deadline_s: Its deadline, in seconds after its start.
        began_at: When it began, on the monotonic clock, in seconds.
        ended_at: When it ended on the same clock; 0 while it is in progress.
        request_id: The id that the router assigned, or empty.
        status: The HTTP status of the response, or 0.
        outcome: The value of the response's Teaselsill-Outcome header, or empty.
        result: The result, or None while the call is in progress.
        detail: Details of a result other than a correct response.
    """

    kind: RequestKind
    order_path: str
    account: str
    router: str
    deadline_s: float
    began_at: float = 0.0
    ended_at: float = 0.0
    request_id: str = ""
    status: int = 0
    outcome: str = ""
    result: Result | None = None
    detail: str = ""

    @property
    def duration_s(self) -> float:
        """How long it took, in seconds; negative while it is in progress."""
        return self.ended_at - self.began_at


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to send and the response that it must get.

    Attributes:
        method: The HTTP method.
        path: The path at the router, with the query.
        body: The body.
        headers: The headers, in addition to those of every request.
        expected: The expected response, if the request is served.
        order_path: The path of the order, or empty.
    """

    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    expected: expected_responses.ExpectedResponse
    order_path: str = ""


class Balancer:
    """Distributes requests to the routers in service, like the platform's balancer."""

    def __init__(self, routers: list[fleet.Node]):
        self.in_service_by_name = {router.name: router for router in routers}

    def choose(self, source: random.Random) -> fleet.Node:
        """Returns a random router in service."""
        names = sorted(self.in_service_by_name)
        return self.in_service_by_name[source.choice(names)]

    def remove(self, router: fleet.Node) -> None:
        """Stops sending new requests to a router."""
        self.in_service_by_name.pop(router.name, None)

    def add(self, router: fleet.Node) -> None:
        """Sends requests to a router again."""
        self.in_service_by_name[router.name] = router


class Workload:
    """Runs the callers.

    Args:
        deployment: The fleet that they call.
        seed: The seed of their random choices.

    Attributes:
        balancer: Chooses the router of each call.
        calls: All calls so far, including those in progress.
    """

    def __init__(self, deployment: fleet.Fleet, seed: int):
        self.balancer = Balancer(deployment.with_role(fleet.Role.ROUTER))
        self.calls: list[Call] = []
        self._fleet = deployment
        self._seed = seed
        self._request_numbers = itertools.count(1)
        self._stopping = asyncio.Event()
        services = deployment.shape.services
        self._completions_service = next(s for s in services if s.kind == "completions")
        self._plain_service = next(s for s in services if s.kind == "plain")

    async def run(self) -> None:
        """Sends requests until `stop` is called and every call has ended."""
        async with asyncio.TaskGroup() as group:
            for number in range(CALLER_COUNT):
                group.create_task(self._run_caller(number))

    def stop(self) -> None:
        """Stops the callers from sending new requests."""
        self._stopping.set()

    async def _run_caller(self, number: int) -> None:
        source = random.Random(f"{self._seed}:{number}")
        account = shapes.account_name(number % self._fleet.shape.accounts)
        kinds = list(WEIGHT_BY_KIND)
        weights = list(WEIGHT_BY_KIND.values())
        while not self._stopping.is_set():
            kind = source.choices(kinds, weights)[0]
            await self._send_request(kind, account, source)
            await asyncio.sleep(source.expovariate(1 / MEAN_PAUSE_S))

    async def _send_request(self, kind: RequestKind, account: str, source) -> None:
        request = self._make_request(kind, source)
        if kind is not RequestKind.KEYED_ORDER:
            await self._call(kind, request, account, source)
            return
        if source.random() < DUPLICATE_PROBABILITY:
            duplicates = (self._call(kind, request, account, source) for _ in range(2))
            await asyncio.gather(*duplicates)
        for _ in range(MAX_ATTEMPTS):
            call = await self._call(kind, request, account, source)
            if call.result in (Result.COMPLETE, Result.CALLER_ABORTED):
                return
            await asyncio.sleep(RETRY_PAUSE_S * source.uniform(0.5, 1.5))

    def _make_request(self, kind: RequestKind, source: random.Random) -> Request:
        number = next(self._request_numbers)
        match kind:
            case RequestKind.STREAM | RequestKind.WHOLE:
                return self._make_completion_request(
                    number, kind is RequestKind.STREAM, source
                )
            case RequestKind.LOOKUP:
                path = f"/rooms/{number}"
                size = int(source.paretovariate(0.5) * 100)
                query = f"?bytes={min(MAX_BODY_BYTES, size)}"
                return self._make_plain_request("GET", path, query, {})
            case RequestKind.ORDER:
                return self._make_plain_request("POST", f"/orders/{number}", "", {})
            case RequestKind.KEYED_ORDER:
                headers = {"Idempotency-Key": f"key-{number}"}
                return self._make_plain_request(
                    "POST", f"/orders/{number}", "", headers
                )

    def _make_plain_request(self, method, path, query, headers) -> Request:
        body = b"" if method == "GET" else f"the order {path}".encode()
        digest = hashlib.sha256(body).hexdigest()
        expected = expected_responses.Echo(method, path, digest)
        full_path = f"/services/{self._plain_service.name}{path}{query}"
        order_path = "" if method == "GET" else path
        return Request(method, full_path, body, headers, expected, order_path)

    def _make_completion_request(self, number: int, is_stream: bool, source) -> Request:
        completion = {
            "model": shapes.model_name(self._completions_service),
            "stream": is_stream,
            "max_tokens": int(min(400, source.paretovariate(1.0) * 20)),
            "messages": [{"role": "user", "content": f"request {number}"}],
        }
        body = json.dumps(completion).encode()
        expected = expected_responses.Completion.make(body, is_stream)
        return Request("POST", "/v1/chat/completions", body, {}, expected)

    async def _call(
        self, kind: RequestKind, request: Request, account: str, source
    ) -> Call:
        router = self.balancer.choose(source)
        deadline_s = source.choice(DEADLINES_S)
        call = Call(kind, request.order_path, account, router.name, deadline_s)
        is_aborted = source.random() < ABORT_PROBABILITY
        timeout_s = (
            source.uniform(0, 0.3) if is_aborted else deadline_s + CALLER_GRACE_S
        )
        call.began_at = time.monotonic()
        self.calls.append(call)
        try:
            async with asyncio.timeout(timeout_s):
                await self._send(call, request, router)
        except TimeoutError:
            call.result = Result.CALLER_ABORTED if is_aborted else Result.OVERDUE
        except (aiohttp.ClientError, OSError) as error:
            call.result = Result.INCOMPLETE if call.status else Result.NO_RESPONSE
            call.detail = f"{type(error).__name__}: {error}"
        call.ended_at = time.monotonic()
        return call

    async def _send(self, call: Call, request: Request, router: fleet.Node) -> None:
        headers = self._fleet.request_headers(call.account)
        headers |= request.headers | {"Teaselsill-Deadline": str(call.deadline_s)}
        async with self._fleet.session.request(
            request.method,
            router.url + request.path,
            headers=headers,
            data=request.body or None,
        ) as response:
            call.status = response.status
            call.request_id = response.headers.get("X-Request-Id", "")
            call.outcome = response.headers.get("Teaselsill-Outcome", "")
            body = await response.read()
        self._set_result(call, request, body)

    def _set_result(self, call: Call, request: Request, body: bytes) -> None:
        if call.status == 200:
            call.detail = request.expected.find_mismatch(body, call.request_id)
            call.result = Result.WRONG if call.detail else Result.COMPLETE
            return
        call.detail = body[:200].decode(errors="replace")
        match call.outcome:
            case "not-run":
                call.result = Result.REFUSED
            case "unknown" if call.status == KEY_IN_USE_STATUS:
                call.result = Result.KEY_IN_USE
            case "unknown":
                call.result = Result.UNKNOWN
            case "ran" if _is_router_error(body):
                call.result = Result.RAN_WITHOUT_RESPONSE
            case _:
                call.result = Result.UPSTREAM_ERROR


class _Error(msgspec.Struct):
    type: str


class _ErrorBody(msgspec.Struct):
    error: _Error


def _is_router_error(body: bytes) -> bool:
    try:
        msgspec.json.decode(body, type=_ErrorBody)
    except msgspec.MsgspecError:
        return False
    return True
