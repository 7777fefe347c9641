"""A caller's connection to an entry router: reads requests and writes responses."""

import abc
import asyncio
import collections.abc
import enum

from teaselsill import (
    client_refusals,
    connection_limit,
    errors,
    http_messages,
    ids,
    memory_budget,
    request_parser,
    routing_table,
    tcp_stream,
)

REASON_BY_STATUS = {
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_VERSION_WITHOUT_CHUNKS = "1.0"
READ_BYTES = 32 * 1024
"""The most bytes that are parsed at once: they may hold many lines or requests."""
SERVING_COST_BYTES = 24 * 1024
"""What the objects of a request that is served occupy, here and at its upstream's
connection."""
UNREAD_S = 15.0
"""A caller that has read nothing of an error response for so long is given up."""
RETRY_AFTER_S = 1
"""`Retry-After` of requests for which no memory is left, in seconds."""
FIRST_REQUEST_GRACE_S = 1.0
"""A new connection without a request does not count as idle for this long."""


class CallerGoneError(errors.RequestError):
    """The caller closed its connection before the response was complete."""


class Progress(enum.Enum):
    """How much of a response has been written."""

    NOT_STARTED = "nothing"
    HEAD = "head"
    COMPLETE = "whole"
    ABORTED = "broken"


class Response(abc.ABC):
    """The response to one request, part by part.

    Attributes:
        progress: How much of the response has been written.
        status: The status that was written, or 0.
        via: The router that has the caller's connection; None if it is this one.
        is_counted: Whether the request has been counted as demand, here or at the
            router that has the caller's connection.
        taken_at: When the caller last took a part of the body, as far as is known, on
            the event loop's clock, in seconds.
        taken_late_s: How late that may be known, in seconds.
    """

    def __init__(self):
        self.progress = Progress.NOT_STARTED
        self.status = 0
        self.via: ids.InstanceId | None = None
        self.is_counted = False
        self.taken_at = float("-inf")
        self.taken_late_s = 0.0

    @property
    def is_wanted(self) -> bool:
        """Whether the caller still waits for the response, as far as is known."""
        return True

    async def confirm_send(self, upstream: ids.UpstreamId) -> None:
        """Waits until the request may be sent to an upstream."""

    def decline(self) -> bool:
        """Leaves a request that has not been sent to the router that offered it.

        Returns:
            Whether there is one.
        """
        return False

    @abc.abstractmethod
    async def start(self, head: http_messages.Head) -> None:
        """Writes the head of an upstream's response."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Writes a part of the body."""

    @abc.abstractmethod
    async def end(self) -> None:
        """Writes the end of a complete response."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Ends the response so that it does not look complete."""

    @abc.abstractmethod
    async def send_error(self, status: int, headers: http_messages.Headers) -> None:
        """Writes an error response of the router, or aborts one that has started."""


class CallerResponse(Response):
    """Writes the response to one request to the caller.

    Args:
        stream: The caller's connection.
        request: The request.
        should_close: Returns whether the connection should close after the response.

    Attributes:
        keep_alive: Whether another request may follow on the connection.
    """

    def __init__(
        self,
        stream: tcp_stream.TcpStream,
        request: http_messages.Request,
        should_close: collections.abc.Callable[[], bool],
    ):
        super().__init__()
        self.keep_alive = request.keep_alive
        self._stream = stream
        self._version = request.version
        self._should_close = should_close
        self._is_chunked = False
        self._ends_with_connection = False

    @property
    def is_wanted(self) -> bool:
        """Whether the caller has not closed the connection."""
        return not self._stream.is_closed_by_peer

    async def start(self, head: http_messages.Head) -> None:
        """Writes the head of an upstream's response."""
        headers = http_messages.remove_hop_by_hop_headers(head.headers)
        match head.framing:
            case http_messages.Framing.CHUNKED | http_messages.Framing.UNTIL_CLOSE:
                headers = [h for h in headers if h[0] != "content-length"]
                if self._version == LAST_VERSION_WITHOUT_CHUNKS:
                    self.keep_alive = False
                    self._ends_with_connection = True
                else:
                    self._is_chunked = True
                    headers.append(("transfer-encoding", "chunked"))
        self._write_head(head.status, head.reason, headers)
        await self._stream.drain()

    async def write(self, data: bytes) -> None:
        """Writes a part of the body."""
        if not data:
            return
        self._stream.write(
            http_messages.encode_chunk(data) if self._is_chunked else data
        )
        await self._stream.drain()
        self.taken_at = _now()

    async def end(self) -> None:
        """Writes the end of a complete response."""
        if self._is_chunked:
            self._stream.write(http_messages.LAST_CHUNK)
        self.progress = Progress.COMPLETE
        await self._stream.drain()

    def abort(self) -> None:
        """Aborts the connection so that the response does not look complete."""
        self.progress = Progress.ABORTED
        self.keep_alive = False
        if self._ends_with_connection:
            self._stream.reset()
        else:
            self._stream.abort()

    async def send_error(self, status: int, headers: http_messages.Headers) -> None:
        """Writes an error response of the router with an empty body.

        A response that has started is aborted instead.
        """
        if self.progress is not Progress.NOT_STARTED:
            self.abort()
            return
        reason = REASON_BY_STATUS.get(status, "")
        self._write_head(status, reason, [*headers, ("content-length", "0")])
        self.progress = Progress.COMPLETE
        await self._stream.drain_or_abort(UNREAD_S)

    def _write_head(self, status: int, reason: str, headers) -> None:
        self.keep_alive = self.keep_alive and not self._should_close()
        if not self.keep_alive:
            headers = [*headers, ("connection", "close")]
        self.status = status
        self.progress = Progress.HEAD
        self._stream.write(http_messages.encode_head(status, reason, headers))


Serve = collections.abc.Callable[
    [http_messages.Request, CallerResponse], collections.abc.Awaitable[None]
]


FindClient = collections.abc.Callable[[http_messages.Headers], str]


async def refuse_without_memory(
    request: http_messages.Request, response: CallerResponse
) -> None:
    """Refuses a request for which no memory is left."""
    await response.send_error(503, [("retry-after", str(RETRY_AFTER_S))])


class CallerConnection(connection_limit.Member):
    """Serves the requests of one connection, one after the other.

    Args:
        stream: The connection.
        serve: Serves one request. It is cancelled when the caller disconnects.
        find_limits: Returns the limits on requests.
        should_close: Returns whether a response that starts now announces that the
            connection closes (`Connection: close`).
        must_close: Returns whether the connection is closed after the response even if
            that was not announced, unless another request has already arrived.
        budget: The account of the process; decides whether a request is served.
        refusals: Counts refusals.
        find_client: Returns the client account that the headers of a request name;
            empty if they name none.
        refuse: Refuses a request that is not admitted, without running it.

    Attributes:
        is_idle: Whether no request is being received, served or about to arrive.
    """

    def __init__(
        self,
        stream: tcp_stream.TcpStream,
        serve: Serve,
        find_limits: collections.abc.Callable[[], routing_table.Limits],
        should_close: collections.abc.Callable[[], bool],
        must_close: collections.abc.Callable[[], bool],
        budget: memory_budget.MemoryBudget | None = None,
        refusals: client_refusals.ClientRefusals | None = None,
        find_client: FindClient = lambda headers: "",
        refuse: Serve = refuse_without_memory,
    ):
        self._stream = stream
        self._serve = serve
        self._find_limits = find_limits
        self._should_close = should_close
        self._must_close = must_close
        self._budget = budget or memory_budget.MemoryBudget()
        self._refusals = refusals or client_refusals.ClientRefusals()
        self._find_client = find_client
        self._refuse = refuse
        self._parser: request_parser.RequestParser | None = None
        self._response: CallerResponse | None = None
        self._is_serving = False
        self._has_served = False
        self._has_ended = False
        self._opened_at = _now()
        self._used_at = self._opened_at
        self._rest_bytes = 0
        self._request_bytes = 0
        self._is_client_known = False
        self._was_in_message = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received, served or about to arrive."""
        if self._is_serving or self._stream.has_unread:
            return False
        if self._parser is not None and self._parser.is_in_message:
            return False
        return self._has_served or _now() - self._opened_at > FIRST_REQUEST_GRACE_S

    @property
    def use(self) -> connection_limit.Use:
        """What the connection is used for; see `connection_limit.Member`."""
        if self._is_serving:
            return connection_limit.Use.SERVING
        if self._has_ended or self._stream.unsent_bytes:
            return connection_limit.Use.SENDING_REST
        has_head = self._parser is not None and self._parser.is_head_complete
        if has_head or self._stream.has_unread:
            return connection_limit.Use.RECEIVING
        if not self._has_served:
            return connection_limit.Use.NO_HEAD_YET
        return connection_limit.Use.IDLE

    @property
    def used_since(self) -> float:
        """When it was opened or last used; see `connection_limit.Member`."""
        rest_bytes = self._stream.count_untaken()
        if rest_bytes < self._rest_bytes:
            self._used_at = _now()
        self._rest_bytes = rest_bytes
        return self._used_at

    def close_for_limit(self) -> None:
        """Closes the connection at once."""
        self._stream.abort()

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()

    async def run(self) -> None:
        """Serves requests until the connection ends."""
        limits = self._find_limits()
        self._parser = request_parser.RequestParser(
            limits.head_bytes, limits.body_bytes
        )
        self._stream.on_refused = self._drop
        try:
            while await self._serve_next():
                pass
        except tcp_stream.RefusedError:
            if self._was_in_message:
                await self._reject_unread(503)
        except (tcp_stream.ConnectionResetError, CallerGoneError):
            self._stream.abort()
        except http_messages.MalformedMessageError as error:
            await self._reject_malformed(error)
        finally:
            self._end()

    def _drop(self) -> None:
        self._was_in_message = self._parser.is_in_message
        self._parser.drop()

    def _end(self) -> None:
        """Closes the connection; a response in progress does not look complete."""
        if self._response is not None and self._response.progress is Progress.HEAD:
            self._response.abort()
        self._parser.drop()
        self._has_ended = True
        self._used_at = _now()
        self._stream.note_kept(0)
        self._stream.close()

    async def _serve_next(self) -> bool:
        """Serves one request and returns whether another one may follow."""
        try:
            request = await self._read_request()
        except TimeoutError:
            if self._parser.is_in_message:
                self._refusals.note(client_refusals.Cause.INCOMPLETE)
                await self._reject_unread(408)
            return False
        if request is None:
            return False
        response = CallerResponse(self._stream, request, self._should_close)
        self._response = response
        self._is_serving = True
        try:
            await self._serve_or_refuse(request, response)
        finally:
            self._is_serving = False
            self._has_served = True
            self._used_at = _now()
            self._note_served()
        if response.progress is not Progress.COMPLETE or not response.keep_alive:
            return False
        if not self._must_close():
            return True
        await tcp_stream.process_pending_events()
        return self._stream.has_unread

    async def _serve_or_refuse(self, request, response: CallerResponse) -> None:
        """Serves a request if there is memory left for it."""
        if not self._has_memory():
            self._refusals.note(client_refusals.Cause.NO_MEMORY)
            await self._refuse(request, response)
        else:
            await self._serve_request(request, response)

    def _has_memory(self) -> bool:
        """Returns whether a complete request may be passed on; it stays then."""
        holding = self._stream.holding
        if holding is None:
            return True
        is_admitted = self._budget.admits(holding)
        self._stream.note_passed_on(is_admitted)
        if is_admitted:
            self._request_bytes += SERVING_COST_BYTES
            self._note_kept()
        return is_admitted

    def _note_served(self) -> None:
        self._request_bytes = 0
        self._is_client_known = False
        holding = self._stream.holding
        if holding is not None:
            self._stream.note_passed_on(False)
            holding.completed += 1
        self._note_kept()

    def _note_kept(self) -> None:
        self._stream.note_kept(self._parser.held_bytes + self._request_bytes)

    async def _serve_request(self, request, response: CallerResponse) -> None:
        """Serves a request, or stops at once when the caller disconnects.

        Raises:
            CallerGoneError: The caller has disconnected.
        """
        serving = asyncio.create_task(self._serve(request, response))
        closing = asyncio.create_task(self._stream.wait_closed_by_peer())
        try:
            await asyncio.wait({serving, closing}, return_when=asyncio.FIRST_COMPLETED)
            if serving.done():
                serving.result()
                return
        finally:
            closing.cancel()
            serving.cancel()
            await asyncio.gather(serving, closing, return_exceptions=True)
        raise CallerGoneError("the caller closed the connection")

    async def _read_request(self) -> http_messages.Request | None:
        """Returns the next request, or `None` if the caller disconnects before it.

        Raises:
            TimeoutError: The request did not arrive in time.
        """
        request = self._take()
        if request is not None:
            return request
        limits = self._find_limits()
        is_idle = not self._parser.is_in_message and not self._stream.has_unread
        if is_idle and not await self._receive_within(limits.idle_timeout_s):
            return None
        deadline = _now() + limits.head_timeout_s
        while (request := self._take()) is None:
            if not await self._receive_within(deadline - _now()):
                return None
        return request

    def _take(self) -> http_messages.Request | None:
        """Returns the next complete request, which stays accounted for."""
        request = self._parser.take()
        if request is not None:
            self._request_bytes = self._parser.taken_bytes
        return request

    async def _receive_within(self, timeout_s: float) -> bool:
        """Parses the next bytes; returns `False` at the end of the stream.

        Bytes that have arrived in time count, though a delay of the event loop may have
        kept this router from reading them.

        Raises:
            TimeoutError: None have arrived in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._receive()
        except TimeoutError:
            await tcp_stream.process_pending_events()
            if not self._stream.has_unread and not self._stream.is_closed_by_peer:
                raise
        return await self._receive()

    async def _receive(self) -> bool:
        """Parses the next received bytes; returns `False` at the end of the stream."""
        data = await self._stream.read(READ_BYTES)
        if not data:
            return False
        self._parser.feed(data)
        self._note_kept()
        self._note_client()
        if self._parser.expects_continue:
            self._parser.expects_continue = False
            self._stream.write(CONTINUE)
        return True

    def _note_client(self) -> None:
        """Records which account sends a body that has not arrived yet."""
        holding = self._stream.holding
        if holding is None or self._is_client_known:
            return
        if self._parser.is_head_complete:
            holding.client = self._find_client(self._parser.headers)
            self._is_client_known = True

    async def _reject_malformed(self, error) -> None:
        match error:
            case http_messages.HeadTooLargeError():
                status, cause = 431, client_refusals.Cause.HEAD_TOO_LARGE
            case http_messages.BodyTooLargeError():
                status, cause = 413, client_refusals.Cause.BODY_TOO_LARGE
            case _:
                status, cause = 400, client_refusals.Cause.MALFORMED
        self._refusals.note(cause, str(error))
        await self._reject_unread(status)

    async def _reject_unread(self, status: int) -> None:
        """Rejects a request that was not read completely; the connection closes."""
        reason = REASON_BY_STATUS[status]
        headers = [("content-length", "0"), ("connection", "close")]
        self._stream.write(http_messages.encode_head(status, reason, headers))
        await self._stream.drain_or_abort(UNREAD_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
