"""Relays a caller's connection to another router, which serves it."""

import asyncio
import collections.abc
import contextlib
import logging
import math

from teaselsill import ids, message_counter, peer_reports, tcp_stream

CONNECT_TIMEOUT_S = 1.0
"""The other router was heard of late: what takes long is this one."""

logger = logging.getLogger(__name__)


class Relay:
    """A caller's connection that another router serves, byte by byte.

    Args:
        caller: The caller's connection.
        router: The other router.
        other: The connection to it.
        find_idle_timeout_s: Returns how long a connection may be idle that becomes so
            now, in seconds.

    Attributes:
        router: As above.
    """

    def __init__(
        self,
        caller: tcp_stream.TcpStream,
        router: ids.InstanceId,
        other: tcp_stream.TcpStream,
        find_idle_timeout_s: collections.abc.Callable[[], float],
    ):
        self._caller = caller
        self.router = router
        self._other = other
        self._exchanges = message_counter.ExchangeTracker()
        self._quiet_since = asyncio.get_running_loop().time()
        self._find_idle_timeout_s = find_idle_timeout_s
        self._idle_timeout_s = find_idle_timeout_s()

    def is_idle(self, now: float, longest_s: float = math.inf) -> bool:
        """Tells whether no request has come for too long since the last answer.

        The limit is the one that was in force when the connection became quiet: callers
        learn of a shorter one later.

        Args:
            now: The event loop's time, in seconds.
            longest_s: Another limit, in seconds.
        """
        if self._exchanges.is_response_pending or self._caller.has_unread:
            return False
        return now - self._quiet_since > min(self._idle_timeout_s, longest_s)

    def close(self) -> None:
        """Closes the connection, which is idle."""
        self._caller.close()

    async def run(self) -> None:
        """Passes bytes on until one end leaves."""
        answering = asyncio.create_task(self._pass_answer())
        try:
            await self._pass_request()
        finally:
            answering.cancel()
            await asyncio.gather(answering, return_exceptions=True)
            self._other.abort()
            self._caller.close()

    def abort(self) -> None:
        """Ends an answer that will not come, so that it does not look complete."""
        logger.warning("router silent, breaking off", extra={"peer": self.router})
        self._caller.abort()

    async def _pass_request(self) -> None:
        """Passes on what the caller sends, until its connection ends."""
        with contextlib.suppress(tcp_stream.ConnectionResetError):
            while data := await self._caller.read():
                self._exchanges.feed_request(data)
                self._note_passed()
                if await self._has_caller_left():
                    break
                self._other.write(data)
                await self._other.drain()
        self._caller.abort()

    def _note_passed(self) -> None:
        self._quiet_since = asyncio.get_running_loop().time()
        self._idle_timeout_s = self._find_idle_timeout_s()

    async def _has_caller_left(self) -> bool:
        """Tells whether the end of the connection has come with what was read."""
        await tcp_stream.process_pending_events()
        return self._caller.is_closed_by_peer

    async def _pass_answer(self) -> None:
        """Passes on what the other router answers, and how its answer ends."""
        is_reset = False
        try:
            while data := await self._other.read():
                self._exchanges.feed_response(data)
                self._note_passed()
                self._caller.write(data)
                await self._caller.drain()
        except tcp_stream.ConnectionResetError:
            is_reset = True
            self._caller.abort()
        if self._exchanges.is_response_pending:
            logger.warning(
                "no whole answer from the other router",
                extra={"peer": self.router, "reset": is_reset},
            )
        self._caller.close()


async def connect(
    caller: tcp_stream.TcpStream,
    router: ids.InstanceId,
    status: peer_reports.RouterStatus,
    find_idle_timeout_s: collections.abc.Callable[[], float],
) -> Relay | None:
    """Connects to the router that is to serve a connection; none if that fails.

    Args:
        caller: The connection.
        router: The other router.
        status: What it has told of itself.
        find_idle_timeout_s: See `Relay`.
    """
    host, port = status.host, status.port
    try:
        other = await tcp_stream.connect(host, port, CONNECT_TIMEOUT_S)
    except tcp_stream.ConnectionFailedError as error:
        logger.info(
            "connection not handed over", extra={"peer": router, "reason": str(error)}
        )
        return None
    return Relay(caller, router, other, find_idle_timeout_s)
