"""Pooled HTTP/1.1 connections to upstreams, without pipelining."""

import asyncio
import collections.abc

from teaselsill import (
    errors,
    http_messages,
    memory_budget,
    response_parser,
    tcp_stream,
)

DEFAULT_IDLE_TIMEOUT_S = 4.0
"""How long an idle connection is kept if the upstream states no timeout."""
IDLE_MARGIN_S = 1.0
"""How long before the upstream's idle timeout a connection is closed."""
MIN_IDLE_TIMEOUT_S = 0.1


class ResponseFailedError(errors.UpstreamError):
    """No complete response arrived; the upstream may have run the request."""


class ConnectionLostError(ResponseFailedError):
    """The upstream closed or reset the connection before the response was complete."""


class AttemptAbortedError(ResponseFailedError):
    """This router closed the connection before the response was complete."""


class UpstreamConnection:
    """One HTTP connection to an upstream.

    Args:
        stream: The TCP connection.

    Attributes:
        is_reusable: Whether another request may be sent on the connection.
        idle_timeout_s: How long the upstream keeps the connection open while idle.
    """

    def __init__(self, stream: tcp_stream.TcpStream):
        self.is_reusable = True
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._stream = stream
        self._idle_since = asyncio.get_running_loop().time()
        self._parser: response_parser.ResponseParser | None = None
        self._abort_reason = ""

    def send(
        self,
        method: str,
        request: bytes,
        is_expected: collections.abc.Callable[[http_messages.Head], bool],
    ) -> None:
        """Sends a request.

        Args:
            method: The method of the request.
            request: The encoded request.
            is_expected: Returns whether a response head belongs to this request.
        """
        self._parser = response_parser.ResponseParser(method, is_expected)
        self._stream.write(request)

    def enable_keepalive(self) -> None:
        """Enables TCP keepalive; see `TcpStream.enable_keepalive`."""
        self._stream.enable_keepalive()

    async def receive(self) -> list[http_messages.Part]:
        """Waits for the next parts of the response.

        Raises:
            ResponseFailedError: The response is incomplete or malformed.
        """
        try:
            data = await self._stream.read()
            self._stream.note_kept(len(data))
            parts = self._parser.feed(data) if data else self._parser.close()
        except (
            http_messages.PrematureCloseError,
            http_messages.MalformedMessageError,
            tcp_stream.ConnectionResetError,
        ) as error:
            raise self._fail(error) from error
        for part in parts:
            match part:
                case http_messages.Head(keep_alive=False):
                    self.is_reusable = False
                case http_messages.End():
                    self._finish()
        return parts

    def count_idle_s(self, now: float) -> float:
        """Returns how long the connection has been idle, in seconds."""
        return now - self._idle_since

    def is_stale(self, now: float) -> bool:
        """Returns whether this idle connection is unsafe to reuse.

        Args:
            now: The event loop's time, in seconds.
        """
        if self._stream.is_closed_by_peer or self._stream.has_unread:
            return True
        limit_s = max(MIN_IDLE_TIMEOUT_S, self.idle_timeout_s - IDLE_MARGIN_S)
        return self.count_idle_s(now) > limit_s

    def abort(self, reason: str = "") -> None:
        """Closes the connection at once; the upstream drops the request.

        Args:
            reason: The reason that a task waiting in `receive` reports.
        """
        self.is_reusable = False
        self._abort_reason = reason
        self._stream.abort()

    def _fail(self, error: Exception) -> ResponseFailedError:
        """Closes the connection and returns the error that tells why."""
        abort_reason = self._abort_reason
        self.abort()
        if abort_reason:
            return AttemptAbortedError(abort_reason)
        if isinstance(error, http_messages.MalformedMessageError):
            return ResponseFailedError(str(error))
        return ConnectionLostError(str(error))

    def _finish(self) -> None:
        self._stream.note_kept(0)
        if (
            self._parser.has_extra_bytes
            or self._stream.is_closed_by_peer
            or self._stream.has_unread
        ):
            self.is_reusable = False
        if self._stream.unsent_bytes:
            self.is_reusable = False
        self._idle_since = asyncio.get_running_loop().time()


async def open_connection(
    host: str,
    port: int,
    timeout_s: float,
    budget: memory_budget.MemoryBudget | None = None,
) -> UpstreamConnection:
    """Opens a connection to an upstream.

    Args:
        host: The IP address.
        port: The port.
        timeout_s: How long it may take, in seconds.
        budget: The account that its bytes belong to; None for none.

    Raises:
        ConnectionFailedError: The connection could not be opened in time.
    """
    return UpstreamConnection(await tcp_stream.connect(host, port, timeout_s, budget))


class ConnectionPool:
    """The idle connections to one upstream; the last one returned is reused first."""

    def __init__(self):
        self._idle: list[UpstreamConnection] = []

    def take(self, now: float, max_idle_s: float) -> UpstreamConnection | None:
        """Returns an idle connection that may be reused, or `None`.

        Args:
            now: The event loop's time, in seconds.
            max_idle_s: The maximum idle time of the connection, in seconds.
        """
        while self._idle:
            connection = self._idle[-1]
            if connection.is_stale(now):
                self._idle.pop().abort()
            elif connection.count_idle_s(now) > max_idle_s:
                return None
            else:
                return self._idle.pop()
        return None

    def put(self, connection: UpstreamConnection) -> None:
        """Returns a connection to the pool, or closes it if it is not reusable."""
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.abort()

    @property
    def idle_count(self) -> int:
        """The number of idle connections."""
        return len(self._idle)

    def close_one(self) -> bool:
        """Closes the connection that has been idle for longest, if there is one."""
        if not self._idle:
            return False
        self._idle.pop(0).abort()
        return True

    def drop_stale(self, now: float) -> None:
        """Closes the connections that are unsafe to reuse."""
        kept = []
        for connection in self._idle:
            if connection.is_stale(now):
                connection.abort()
            else:
                kept.append(connection)
        self._idle = kept

    def close(self) -> None:
        """Closes all idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()
