"""A caller's connection to an entry router: reads its requests, writes the answers."""

import asyncio
import collections.abc
import enum
import logging

from teaselsill import (
    errors,
    http_messages,
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
FIRST_REQUEST_S = 1.0
"""A new connection's first request is taken to be on its way for so long."""

logger = logging.getLogger(__name__)


class CallerGoneError(errors.RequestError):
    """The caller closed its connection before it had its whole answer."""


class Progress(enum.Enum):
    """How much of an answer has been written."""

    NOT_STARTED = "nothing"
    HEAD = "head"
    COMPLETE = "whole"
    ABORTED = "broken"


class CallerResponse:
    """The answer to one request, as it is written to the caller.

    Args:
        stream: The caller's connection.
        request: The request.
        closes: Tells whether the connection is to be closed after the answer.

    Attributes:
        progress: How much of it has been written.
        keeps_open: Whether another request may follow on the connection.
        status: The status that was written, or 0.
    """

    def __init__(
        self,
        stream: tcp_stream.TcpStream,
        request: http_messages.Request,
        closes: collections.abc.Callable[[], bool],
    ):
        self.progress = Progress.NOT_STARTED
        self.keeps_open = request.keep_alive
        self.status = 0
        self._stream = stream
        self._request = request
        self._closes = closes
        self._is_chunked = False

    async def start(self, head: http_messages.Head) -> None:
        """Writes the head of an upstream's answer."""
        headers = http_messages.remove_hop_by_hop_headers(head.headers)
        match head.framing:
            case http_messages.Framing.CHUNKED | http_messages.Framing.UNTIL_CLOSE:
                headers = [h for h in headers if h[0] != "content-length"]
                if self._request.version == LAST_VERSION_WITHOUT_CHUNKS:
                    self.keeps_open = False
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

    async def end(self) -> None:
        """Writes the end of a complete answer."""
        if self._is_chunked:
            self._stream.write(http_messages.LAST_CHUNK)
        self.progress = Progress.COMPLETE
        await self._stream.drain()

    def abort(self) -> None:
        """Ends the connection so that the answer does not look complete."""
        self.progress = Progress.ABORTED
        self.keeps_open = False
        self._stream.abort()

    async def send_error(self, status: int, headers: http_messages.Headers) -> None:
        """Writes an answer of the router's own, with an empty body."""
        if self.progress is not Progress.NOT_STARTED:
            self.abort()
            return
        reason = REASON_BY_STATUS.get(status, "")
        self._write_head(status, reason, [*headers, ("content-length", "0")])
        self.progress = Progress.COMPLETE
        await self._stream.drain()

    def _write_head(self, status: int, reason: str, headers) -> None:
        self.keeps_open = self.keeps_open and not self._closes()
        if not self.keeps_open:
            headers = [*headers, ("connection", "close")]
        self.status = status
        self.progress = Progress.HEAD
        self._stream.write(http_messages.encode_head(status, reason, headers))


Serve = collections.abc.Callable[
    [http_messages.Request, CallerResponse], collections.abc.Awaitable[None]
]


class CallerConnection:
    """Serves the requests of one connection, one after the other.

    Args:
        stream: The connection.
        serve: Answers one request. It is cancelled when the caller leaves.
        find_limits: Returns what callers may send.
        closes: Tells whether an answer that begins now announces the connection's end.
        must_close: Tells whether a connection is closed after its answer although that
            was not announced, as long as no other request has come.

    Attributes:
        is_idle: Whether no request is being received or answered, or will come at once.
    """

    def __init__(
        self,
        stream: tcp_stream.TcpStream,
        serve: Serve,
        find_limits: collections.abc.Callable[[], routing_table.Limits],
        closes: collections.abc.Callable[[], bool],
        must_close: collections.abc.Callable[[], bool],
    ):
        self._stream = stream
        self._serve = serve
        self._find_limits = find_limits
        self._closes = closes
        self._must_close = must_close
        self._parser: request_parser.RequestParser | None = None
        self._is_answering = False
        self._has_answered = False
        self._opened_at = _now()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or answered, or will come at once."""
        if self._is_answering or self._stream.has_unread:
            return False
        if self._parser is not None and self._parser.is_in_message:
            return False
        return self._has_answered or _now() - self._opened_at > FIRST_REQUEST_S

    def close(self) -> None:
        """Closes the connection."""
        self._stream.close()

    async def run(self) -> None:
        """Serves requests until the connection ends."""
        limits = self._find_limits()
        self._parser = request_parser.RequestParser(
            limits.head_bytes, limits.body_bytes
        )
        try:
            while await self._serve_next():
                pass
        except (tcp_stream.ConnectionResetError, CallerGoneError):
            self._stream.abort()
        except http_messages.MalformedMessageError as error:
            await self._refuse_malformed(error)
        finally:
            self._stream.close()

    async def _serve_next(self) -> bool:
        """Answers one request; returns whether another one may follow."""
        try:
            request = await self._read_request()
        except TimeoutError:
            if self._parser.is_in_message:
                await self._refuse_unread(408)
            return False
        if request is None:
            return False
        answer = CallerResponse(self._stream, request, self._closes)
        self._is_answering = True
        try:
            await self._answer(request, answer)
        finally:
            self._is_answering = False
            self._has_answered = True
        if answer.progress is not Progress.COMPLETE or not answer.keeps_open:
            return False
        return self._stream.has_unread or not self._must_close()

    async def _answer(self, request, answer: CallerResponse) -> None:
        """Answers a request, or stops at once when the caller leaves.

        Raises:
            CallerGoneError: The caller has left.
        """
        serving = asyncio.create_task(self._serve(request, answer))
        leaving = asyncio.create_task(self._stream.wait_closed_by_peer())
        try:
            await asyncio.wait({serving, leaving}, return_when=asyncio.FIRST_COMPLETED)
            if serving.done():
                serving.result()
                return
        finally:
            leaving.cancel()
            serving.cancel()
            await asyncio.gather(serving, leaving, return_exceptions=True)
        raise CallerGoneError("the caller left")

    async def _read_request(self) -> http_messages.Request | None:
        """Waits for the next request; returns none if the caller leaves before it.

        Raises:
            TimeoutError: It did not arrive in time.
        """
        request = self._parser.take()
        if request is not None:
            return request
        limits = self._find_limits()
        if not self._parser.is_in_message and not self._stream.has_unread:
            async with asyncio.timeout(limits.idle_timeout_s):
                if not await self._receive():
                    return None
        async with asyncio.timeout(limits.head_timeout_s):
            while (request := self._parser.take()) is None:
                if not await self._receive():
                    return None
        return request

    async def _receive(self) -> bool:
        data = await self._stream.read()
        if not data:
            return False
        self._parser.feed(data)
        if self._parser.expects_continue:
            self._parser.expects_continue = False
            self._stream.write(CONTINUE)
        return True

    async def _refuse_malformed(self, error) -> None:
        logger.info("malformed request", extra={"reason": str(error)})
        match error:
            case http_messages.HeadTooLargeError():
                status = 431
            case http_messages.BodyTooLargeError():
                status = 413
            case _:
                status = 400
        await self._refuse_unread(status)

    async def _refuse_unread(self, status: int) -> None:
        reason = REASON_BY_STATUS[status]
        headers = [("content-length", "0"), ("connection", "close")]
        self._stream.write(http_messages.encode_head(status, reason, headers))
        await self._stream.drain()


def _now() -> float:
    return asyncio.get_running_loop().time()
