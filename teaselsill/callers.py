"""The HTTP application for callers: checks requests and writes responses.

It writes the responses itself instead of returning starlette's, so that it can stream
them, notice a caller that disconnects, and break off an incomplete body.
"""

import asyncio
import logging
import time
import urllib.parse

import msgspec
from starlette import applications, requests, responses, routing

from teaselsill import (
    backlog,
    document,
    errors,
    http_protocol,
    ids,
    logs,
    messages,
    metrics,
    refusals,
    router,
    service_levels,
    upstream,
)

DEADLINE_HEADER = "Teaselsill-Deadline"
KEY_HEADER = "Idempotency-Key"
MAX_KEY_LENGTH = 255
MAX_DEADLINE_S = 3600.0
BODY_TIMEOUT_S = 30.0
"""How long the caller may take to send the body of a request."""
DROPPED_HEADERS = frozenset(
    {"authorization", "idempotency-key", "teaselsill-deadline", "x-request-id"}
)
DATE_HEADER = "date"
"""Not forwarded from upstreams, since the router's HTTP server adds its own."""
ALL_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
EVENT_STREAM = "text/event-stream"

logger = logging.getLogger(__name__)


class _CompletionRequest(msgspec.Struct):
    model: str
    stream: bool = False


class _Model(msgspec.Struct):
    id: str
    object: str = "model"


class _ModelList(msgspec.Struct):
    data: list[_Model]
    object: str = "list"


class CallerApi:
    """Serves callers' requests.

    Args:
        request_router: The router that runs the requests.
        levels: Records the requests against the service level targets.
        sink: Receives the metrics.
        max_body_bytes: The largest request body, in bytes.
    """

    def __init__(
        self,
        request_router: router.Router,
        levels: service_levels.Recorder,
        sink: metrics.Metrics,
        max_body_bytes: int,
    ):
        self._router = request_router
        self._levels = levels
        self._metrics = sink
        self._max_body_bytes = max_body_bytes

    def create_app(self) -> applications.Starlette:
        """Returns the application for the callers' port."""
        completions = _Endpoint(self._serve_completion)
        app = applications.Starlette(
            routes=[
                routing.Route("/v1/chat/completions", completions, methods=["POST"]),
                routing.Route("/v1/completions", completions, methods=["POST"]),
                routing.Route("/v1/models", self._list_models),
                routing.Route(
                    "/services/{service}/{path:path}",
                    _Endpoint(self._serve_plain),
                    methods=ALL_METHODS,
                ),
            ],
            exception_handlers={404: _refuse_path, 405: _refuse_method},
        )
        app.router.redirect_slashes = False
        return app

    async def _list_models(self, request: requests.Request) -> responses.Response:
        try:
            account = self._find_account(request)
        except errors.RequestError as error:
            return refusals.describe(error).make_response(
                ids.RequestId(ids.new_random_id())
            )
        service_by_model = self._router.follower.document.service_by_model
        names = [
            m
            for m, service in service_by_model.items()
            if service.name in account.services
        ]
        body = msgspec.json.encode(_ModelList([_Model(name) for name in names]))
        return responses.Response(body, media_type=refusals.JSON_TYPE)

    async def _serve_completion(self, request: requests.Request, send) -> None:
        await self._serve(request, send, self._read_completion)

    async def _serve_plain(self, request: requests.Request, send) -> None:
        await self._serve(request, send, self._read_plain)

    async def _serve(self, request: requests.Request, send, read) -> None:
        call = _Call(request, send, self._levels, self._metrics)
        try:
            account = self._find_account(request)
            call.account = ids.AccountId(account.id)
            _check_connection(request, call.account)
            routed = await read(request, account, call.id)
            call.service = routed.service
            _check_memory(request)
            await call.respond(self._router, routed, account.max_waiting)
        except requests.ClientDisconnect:
            call.record_disconnect()
        except errors.RequestError as error:
            await call.refuse(refusals.describe(error))
        except Exception:
            logger.exception("request failed", extra={"request": call.id})
            await call.refuse(refusals.describe(errors.RequestError()))

    def _find_account(self, request: requests.Request) -> document.ClientAccount:
        current_document = self._router.follower.document
        if current_document is None:
            raise refusals.NotReadyError("no configuration yet", 1.0)
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise refusals.UnknownAccountError(
                "an Authorization header with a key is needed"
            )
        account = current_document.account_by_key_hash.get(
            document.hash_key(key.strip())
        )
        if account is None:
            raise refusals.UnknownAccountError("the key belongs to no client account")
        return account

    async def _read_completion(self, request, account, request_id) -> backlog.Request:
        body = await self._read_body(request)
        try:
            completion = msgspec.json.decode(body, type=_CompletionRequest)
        except msgspec.MsgspecError as error:
            raise refusals.BadRequestError(f"body: {error}") from error
        except RecursionError as error:
            raise refusals.BadRequestError("body: nested too deeply") from error
        service = self._router.follower.document.service_by_model.get(completion.model)
        if service is None:
            raise refusals.UnknownServiceError(
                f"no service has the model {completion.model!r}"
            )
        return _make_request(
            request, account, service, request.url.path, body, request_id
        )

    async def _read_plain(self, request, account, request_id) -> backlog.Request:
        name = request.path_params["service"]
        service = self._router.follower.document.service_by_name.get(name)
        if service is None or service.kind is not document.ServiceKind.PLAIN:
            raise refusals.UnknownServiceError(f"no plain service is named {name!r}")
        path = _path_at_service(request, name)
        body = await self._read_body(request)
        return _make_request(request, account, service, path, body, request_id)

    async def _read_body(self, request: requests.Request) -> bytes:
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                return await self._read_chunks(request)
        except TimeoutError:
            raise refusals.BodyTimeoutError(
                f"the body took longer than {BODY_TIMEOUT_S:g} s"
            ) from None

    async def _read_chunks(self, request: requests.Request) -> bytes:
        body = bytearray()
        async for chunk in request.stream():
            body += chunk
            if len(body) > self._max_body_bytes:
                raise refusals.BodyTooLargeError(
                    f"the body is larger than {self._max_body_bytes} bytes"
                )
        return bytes(body)


class _Endpoint:
    """Lets starlette route to a coroutine that writes its response itself."""

    def __init__(self, serve):
        self._serve = serve

    async def __call__(self, scope, receive, send) -> None:
        await self._serve(requests.Request(scope, receive), send)


class _Call:
    """One caller's request from its arrival to the end of its response."""

    def __init__(self, request: requests.Request, send, levels, sink):
        self.id = ids.RequestId(ids.new_random_id())
        self.account = ids.AccountId("")
        self.service = ids.ServiceName("")
        self._request = request
        self._send = send
        self._levels = levels
        self._metrics = sink
        self._received_at = time.monotonic()
        self._status = 0
        self._is_stream = False
        self._upstream = ids.UpstreamId("")
        self._counts = router.AttemptCounts()

    async def respond(
        self, request_router: router.Router, routed, max_waiting: int
    ) -> None:
        """Gets and writes the response, unless the caller disconnects first."""
        writing = asyncio.create_task(self._write(request_router, routed, max_waiting))
        watching = asyncio.create_task(self._wait_for_disconnect())
        try:
            await asyncio.wait({writing, watching}, return_when=asyncio.FIRST_COMPLETED)
            if not writing.done():
                raise requests.ClientDisconnect
            writing.result()
        finally:
            watching.cancel()
            writing.cancel()
            await asyncio.gather(writing, watching, return_exceptions=True)

    async def _wait_for_disconnect(self) -> None:
        while True:
            message = await self._request.receive()
            if message["type"] == "http.disconnect":
                return

    async def _write(
        self, request_router: router.Router, routed, max_waiting: int
    ) -> None:
        response = await request_router.serve(routed, max_waiting, self._counts)
        self._upstream = response.upstream
        self._metrics.timing(
            metrics.Metric.FIRST_BYTE, time.monotonic() - self._received_at
        )
        try:
            await self._start(response.status, response.headers, messages.Outcome.RAN)
            async for chunk in response.body():
                await self._write_body(chunk.data, more=not chunk.is_last)
            self._record(messages.Outcome.RAN, ok=response.status < 500)
        finally:
            response.close()

    async def refuse(self, refusal: refusals.Refusal) -> None:
        """Reports an error to the caller.

        It becomes the response, or ends the response if that has started already.
        """
        self._record(refusal.outcome, ok=False, refusal=refusal)
        if refusal.outcome is messages.Outcome.NOT_RUN:
            self._metrics.count(metrics.Metric.REQUESTS_REFUSED)
        if self._status:
            await self._break_off(refusal)
            return
        await refusal.make_response(self.id)(
            self._request.scope, self._request.receive, self._send
        )

    def record_disconnect(self) -> None:
        """Records that the caller disconnected before the end of the response."""
        self._metrics.count(metrics.Metric.REQUESTS_CANCELLED)
        self._write_line(messages.Outcome.UNKNOWN, "caller-gone")

    async def _break_off(self, refusal: refusals.Refusal) -> None:
        """Ends an incomplete body in a way that the caller can detect.

        An event stream gets an error event. The application then returns without
        ending the body, so the server drops the connection.
        """
        if self._is_stream:
            event = b"data: " + refusal.make_body() + b"\n\n"
            await self._write_body(event, more=True)

    async def _start(self, status: int, headers, outcome: messages.Outcome) -> None:
        self._status = status
        self._is_stream = any(
            name.lower() == "content-type" and value.startswith(EVENT_STREAM)
            for name, value in headers
        )
        own_headers = [
            (refusals.OUTCOME_HEADER, outcome.value),
            (refusals.REQUEST_ID_HEADER, self.id),
        ]
        raw_headers = [
            (name.lower().encode("latin-1"), value.encode("latin-1"))
            for name, value in [*headers, *own_headers]
            if name.lower() != DATE_HEADER
        ]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": raw_headers}
        )

    async def _write_body(self, data: bytes, more: bool) -> None:
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    def _record(
        self, outcome, ok: bool, refusal: refusals.Refusal | None = None
    ) -> None:
        """Records the metrics and the service level, and logs the request."""
        duration_s = time.monotonic() - self._received_at
        self._metrics.count(_METRIC_BY_OUTCOME[outcome])
        self._metrics.timing(metrics.Metric.REQUEST_DURATION, duration_s)
        if self.service:
            self._levels.record(self.account, self.service, duration_s, ok, outcome)
        if refusal is not None and not self._status:
            self._status_to_log = refusal.status
        self._write_line(outcome, refusal.reason if refusal else "")

    _status_to_log = 0

    def _write_line(self, outcome: messages.Outcome, reason: str) -> None:
        logs.RequestLogLine(
            request=self.id,
            outcome=outcome,
            duration_s=round(time.monotonic() - self._received_at, 6),
            account=self.account,
            service=self.service,
            upstream=self._upstream,
            method=self._request.method,
            status=self._status or self._status_to_log,
            reason=reason,
            attempts=self._counts.attempts,
        ).write(logger)


_METRIC_BY_OUTCOME = {
    messages.Outcome.RAN: metrics.Metric.REQUESTS_RAN,
    messages.Outcome.NOT_RUN: metrics.Metric.REQUESTS_NOT_RUN,
    messages.Outcome.UNKNOWN: metrics.Metric.REQUESTS_UNKNOWN,
}


def _make_request(
    request, account, service, path: str, body: bytes, request_id: ids.RequestId
) -> backlog.Request:
    """Checks the headers and returns the request to route."""
    name = ids.ServiceName(service.name)
    if service.name not in account.services:
        raise refusals.NotAllowedError(f"{account.id} may not reach {service.name}")
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH:
        raise refusals.BadRequestError(
            f"{KEY_HEADER}: longer than {MAX_KEY_LENGTH} characters"
        )
    deadline_s = _read_deadline(request, service)
    path_without_query = path.partition("?")[0]
    return backlog.Request(
        id=request_id,
        account=ids.AccountId(account.id),
        service=name,
        method=request.method,
        path=path,
        headers=_forwarded_headers(request.headers.items()),
        body=body,
        deadline=time.monotonic() + deadline_s,
        repeatable=service.is_repeatable(request.method, path_without_query),
        key=key,
    )


def _check_connection(request: requests.Request, account: ids.AccountId) -> None:
    """Checks that a client account does not hold too many connections.

    Raises:
        TooManyConnectionsError: It holds the most, and there are too many.
    """
    connection = _find_connection(request)
    if connection is not None and not connection.admit(account):
        raise refusals.TooManyConnectionsError(
            "the client account holds too many connections of this router", 1.0
        )


def _check_memory(request: requests.Request) -> None:
    """Checks that there is memory for a request that is about to be passed on.

    Raises:
        MemoryFullError: There is not.
    """
    connection = _find_connection(request)
    if connection is not None and not connection.pass_on(request.scope):
        raise refusals.MemoryFullError("the router has no memory left", 1.0)


def _find_connection(request: requests.Request) -> http_protocol.Protocol | None:
    """Returns the connection of a request, if the server is the router's own."""
    return request.scope.get("state", {}).get(http_protocol.STATE_KEY)


def _read_deadline(request, service: document.Service) -> float:
    header_value = request.headers.get(DEADLINE_HEADER)
    if header_value is None:
        return service.deadline_s
    try:
        deadline_s = float(header_value)
    except ValueError:
        raise refusals.BadRequestError(
            f"{DEADLINE_HEADER}: {header_value!r} is no number"
        ) from None
    if not 0 < deadline_s <= MAX_DEADLINE_S:
        raise refusals.BadRequestError(
            f"{DEADLINE_HEADER}: not over 0 and at most {MAX_DEADLINE_S:.0f} s"
        )
    return deadline_s


def _forwarded_headers(headers) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in upstream.end_to_end_headers(headers)
        if name.lower() not in DROPPED_HEADERS
    ]


def _raw_path(request: requests.Request) -> str:
    """Returns the path and query as the caller sent them, without decoding escapes."""
    path = request.scope.get("raw_path", request.url.path.encode()).decode("latin-1")
    query = request.scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path


def _path_at_service(request: requests.Request, service: str) -> str:
    """Returns the path and query after the service's name, without decoding escapes.

    Raises:
        UnknownPathError: No slash follows the name, or only an encoded one.
    """
    parts = _raw_path(request).split("/", 3)
    if len(parts) < 4 or urllib.parse.unquote(parts[2]) != service:
        raise refusals.UnknownPathError(
            "the service's name must end with a plain slash"
        )
    return "/" + parts[3]


async def _refuse_path(request: requests.Request, _) -> responses.Response:
    error = refusals.UnknownPathError("nothing is served under this path")
    return refusals.describe(error).make_response(ids.RequestId(ids.new_random_id()))


async def _refuse_method(request: requests.Request, error) -> responses.Response:
    refusal = refusals.describe(
        refusals.UnknownMethodError("the path does not take this method")
    )
    response = refusal.make_response(ids.RequestId(ids.new_random_id()))
    response.headers.update(error.headers or {})
    return response
