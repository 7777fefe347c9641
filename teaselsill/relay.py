"""Relays a caller's TCP connection to another router that serves it."""

import asyncio
import collections.abc
import contextlib
import logging
import math

from teaselsill import (
    http_messages,
    ids,
    message_counter,
    peer_reports,
    tcp_stream,
)

CONNECT_TIMEOUT_S = 1.0
"""Generous, since the other router has reported recently: a slow connect is due to the
load of this router."""

BAD_GATEWAY = http_messages.encode_head(
    502, "Bad Gateway", [("content-length", "0"), ("connection", "close")]
)
"""The response to a request whose router has ended: it may have run."""

logger = logging.getLogger(__name__)


class Relay:
    """A caller's connection, relayed byte by byte to the router that serves it.

    Args:
        caller: The caller's connection.
        router: The id of the other router.
        peer: The connection to the other router.
        find_idle_timeout_s: Returns the idle timeout of a connection that becomes idle
            now, in seconds.

    Attributes:
        router: The id of the other router.
    """

    def __init__(
        self,
        caller: tcp_stream.TcpStream,
        router: ids.InstanceId,
        peer: tcp_stream.TcpStream,
        find_idle_timeout_s: collections.abc.Callable[[], float],
    ):
        self._caller = caller
        self.router = router
        self._peer = peer
        self._exchanges = message_counter.ExchangeTracker()
        self._idle_since = asyncio.get_running_loop().time()
        self._find_idle_timeout_s = find_idle_timeout_s
        self._idle_timeout_s = find_idle_timeout_s()

    def is_idle(self, now: float, max_idle_s: float = math.inf) -> bool:
        """Returns whether no request has followed the last response for too long.

        The timeout is the one that was configured when the connection became idle, as
        callers rely on it until they learn of a shorter one.

        Args:
            now: The event loop's time, in seconds.
            max_idle_s: An additional limit, in seconds.
        """
        if self._exchanges.is_response_pending or self._caller.has_unread:
            return False
        return now - self._idle_since > min(self._idle_timeout_s, max_idle_s)

    def close(self) -> None:
        """Closes an idle connection."""
        logger.info("closing idle relay", extra=self._describe())
        self._caller.close()

    async def run(self) -> None:
        """Relays bytes in both directions until one side closes."""
        responding = asyncio.create_task(self._relay_responses())
        try:
            await self._relay_requests()
        finally:
            responding.cancel()
            await asyncio.gather(responding, return_exceptions=True)
            self._peer.abort()
            self._caller.close()

    def abort(self) -> None:
        """Aborts the connection, so that a pending response does not look complete."""
        logger.warning(
            "router stopped reporting, aborting relay", extra=self._describe()
        )
        self._abort_response()

    def _describe(self) -> dict[str, object]:
        """Returns what tells a wrong decision from a right one, for the log."""
        now = asyncio.get_running_loop().time()
        return {
            "peer": self.router,
            "quiet_ms": round(1000 * (now - self._idle_since), 1),
            "pending": self._exchanges.is_response_pending,
        }

    def _abort_response(self) -> None:
        """Ends the connection so that a pending response does not look complete."""
        if self._exchanges.is_unanswered:
            self._caller.write(BAD_GATEWAY)
            self._caller.close()
        elif self._exchanges.is_response_pending:
            self._caller.reset()
        else:
            self._caller.abort()

    async def _relay_requests(self) -> None:
        """Relays the caller's bytes until the caller's connection ends."""
        with contextlib.suppress(tcp_stream.ConnectionResetError):
            while data := await self._caller.read():
                self._exchanges.feed_request(data)
                self._reset_idle_time()
                if await self._has_caller_left():
                    break
                self._peer.write(data)
                await self._peer.drain()
        self._caller.abort()

    def _reset_idle_time(self) -> None:
        self._idle_since = asyncio.get_running_loop().time()
        self._idle_timeout_s = self._find_idle_timeout_s()

    async def _has_caller_left(self) -> bool:
        """Returns whether the caller closed its connection right after the request."""
        await tcp_stream.process_pending_events()
        return self._caller.is_closed_by_peer

    async def _relay_responses(self) -> None:
        """Relays the other router's bytes and ends the connection in the same way."""
        is_reset = False
        try:
            while data := await self._peer.read():
                self._exchanges.feed_response(data)
                self._reset_idle_time()
                self._caller.write(data)
                await self._caller.drain()
        except tcp_stream.ConnectionResetError:
            is_reset = True
            self._abort_response()
        if self._exchanges.is_unanswered:
            self._abort_response()
        if self._exchanges.is_response_pending:
            logger.warning(
                "incomplete response from the other router",
                extra={"peer": self.router, "reset": is_reset},
            )
        self._caller.close()


async def connect(
    caller: tcp_stream.TcpStream,
    router: ids.InstanceId,
    status: peer_reports.RouterStatus,
    find_idle_timeout_s: collections.abc.Callable[[], float],
) -> Relay | None:
    """Connects to the router that should serve a caller's connection.

    Args:
        caller: The caller's connection.
        router: The id of the other router.
        status: The reported status of the other router.
        find_idle_timeout_s: See `Relay`.

    Returns:
        The relay, or `None` if the connection fails.
    """
    host, port = status.host, status.port
    try:
        peer = await tcp_stream.connect(host, port, CONNECT_TIMEOUT_S)
    except tcp_stream.ConnectionFailedError as error:
        logger.info(
            "connection not handed over", extra={"peer": router, "reason": str(error)}
        )
        return None
    return Relay(caller, router, peer, find_idle_timeout_s)
