"""A TCP byte stream that reports when the peer closes the connection."""

import asyncio
import collections
import collections.abc
import contextlib
import errno
import fcntl
import socket
import struct
import sys
import termios

from teaselsill import errors, memory_budget

MAX_UNREAD_BYTES = 64 * 1024
"""With more unread bytes, receiving is paused until half of them have been read."""
RECEIVE_BYTES = 64 * 1024
"""The most bytes that are received at once, so that a pause comes in time."""
MAX_UNSENT_BYTES = 32 * 1024
"""With more written bytes that are unsent, writing waits: for slow readers."""
UPSTREAM_RECEIVE_BYTES = 16 * 1024
"""The most bytes that are received at once from an upstream, for slow readers."""
UNCOUNTED_BYTES = 4 * 1024
"""Smaller amounts are counted only when the budget measures, to save time."""
UPSTREAM_FREE_BYTES = 16 * 1024
"""What an upstream's connection may hold without being paused by the budget."""
KEEPALIVE_INTERVAL_S = 1
"""The idle time before a TCP keepalive probe, and between probes."""
KEEPALIVE_PROBES = 1
USER_TIMEOUT_S = 1.5
"""A connection with keepalive ends if sent bytes stay unacknowledged this long."""
PENDING_EVENT_ROUNDS = 2
"""The event loop rounds after which bytes that had already arrived have been read."""


class ConnectionFailedError(errors.TeaselsillError):
    """A connection could not be opened."""


class ConnectionRefusedError(ConnectionFailedError):
    """Nothing listens on the port."""


class ConnectionResetError(errors.TeaselsillError):
    """The connection ended without an orderly close."""


class RefusedError(errors.TeaselsillError):
    """The process has no memory left for what the peer sends."""


_receive_buffer = memoryview(bytearray(RECEIVE_BYTES))
"""Shared by all connections: what is received is copied from it at once."""
_small_receive_buffer = _receive_buffer[:UPSTREAM_RECEIVE_BYTES]


class TcpStream(asyncio.BufferedProtocol, memory_budget.Owner):
    """One TCP connection; at most one task reads from it and one writes to it.

    Args:
        budget: The account that its bytes belong to; None for none.

    Attributes:
        last_received_at: The event loop's time when bytes last arrived, in seconds.
        has_identified: Whether the peer has sent a message that names it.
        holding: What the connection holds; None without a budget.
        is_lost: Whether the connection has ended.
        on_lost: The functions that are called when the connection ends.
        on_refused: Called when the budget refuses what the peer sends; it drops what
            else is held.
    """

    def __init__(self, budget: memory_budget.MemoryBudget | None = None):
        self.last_received_at = 0.0
        self.has_identified = False
        self.holding: memory_budget.Holding | None = None
        self.is_lost = False
        self.on_lost: list[collections.abc.Callable[[], None]] = []
        self.on_refused: collections.abc.Callable[[], None] = self.abort
        self._budget = budget
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._unread: collections.deque[bytes] = collections.deque()
        self._unread_bytes = 0
        self._is_paused = False
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._closed_by_peer = asyncio.Event()
        self._has_eof = False
        self._is_reset = False
        self._is_refused = False
        self._is_paused_by_budget = False
        self._kept_bytes = 0
        self._buffer = _receive_buffer

    @property
    def is_closed_by_peer(self) -> bool:
        """Whether the peer has closed the connection, or its sending side."""
        return self._closed_by_peer.is_set()

    @property
    def has_unread(self) -> bool:
        """Whether received bytes are waiting to be read."""
        return bool(self._unread)

    @property
    def peer_host(self) -> str:
        """The IP address of the peer; empty if it is unknown."""
        peer = self._transport.get_extra_info("peername")
        return peer[0] if peer else ""

    @property
    def unsent_bytes(self) -> int:
        """The number of written bytes not yet passed to the operating system."""
        return self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Called by asyncio."""
        self._transport = transport
        if self._budget is not None:
            self.holding = self._budget.open(self)
            transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Called by asyncio."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Called by asyncio."""
        self.data_received(bytes(_receive_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Takes received bytes."""
        self.last_received_at = self._loop.time()
        if self._is_refused:
            return
        self._unread.append(data)
        self._unread_bytes += len(data)
        self._readable.set()
        if self.holding is not None and self._unread_bytes > UNCOUNTED_BYTES:
            self._update_holding()
        if not self._is_paused:
            self._update_reading()

    def pause_for_budget(self) -> None:
        """See `memory_budget.Owner`."""
        self._is_paused_by_budget = True
        self._update_reading()

    def resume_for_budget(self) -> None:
        """See `memory_budget.Owner`."""
        self._is_paused_by_budget = False
        self._update_reading()

    def refuse_for_budget(self) -> None:
        """See `memory_budget.Owner`; a task that reads gets a `RefusedError`."""
        self._is_refused = True
        self._unread.clear()
        self._unread_bytes = 0
        self._readable.set()
        self.on_refused()

    def abort_for_budget(self) -> None:
        """See `memory_budget.Owner`."""
        self.reset()

    def count_untaken(self) -> int:
        """Returns how many written bytes the peer's system has not acknowledged."""
        return self.unsent_bytes + self._count_queued()

    def _count_queued(self) -> int:
        """Returns how many written bytes the operating system still has."""
        sock = self._transport.get_extra_info("socket")
        try:
            queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        except (OSError, ValueError):
            return 0
        return int.from_bytes(queued, sys.byteorder)

    def note_passed_on(self, is_passed_on: bool) -> None:
        """Records whether a request of the connection has been passed on."""
        if self.holding is not None:
            self.holding.is_passed_on = is_passed_on
            self._update_reading()

    def measure_for_budget(self) -> int:
        """See `memory_budget.Owner`."""
        return self._unread_bytes + self._kept_bytes + self.unsent_bytes

    def note_kept(self, kept_bytes: int) -> None:
        """Counts what is kept of the read bytes, toward the budget."""
        self._kept_bytes = kept_bytes
        holding = self.holding
        if holding is not None and (
            kept_bytes > UNCOUNTED_BYTES or holding.held_bytes > UNCOUNTED_BYTES
        ):
            self._update_holding()

    def _update_holding(self) -> None:
        self.holding.update(self.measure_for_budget())

    def _update_reading(self) -> None:
        """Pauses receiving while much is unread or the budget asks for it.

        The end of a connection whose request has been passed on must be noticed: it
        goes on as long as all has been read.
        """
        limit = MAX_UNREAD_BYTES // 2 if self._is_paused else MAX_UNREAD_BYTES
        should_pause = self._unread_bytes > limit
        if self._is_paused_by_budget:
            is_passed_on = self.holding.is_passed_on
            should_pause = should_pause or bool(self._unread) or not is_passed_on
        if should_pause == self._is_paused or self._transport is None:
            return
        self._is_paused = should_pause
        if self._transport.is_closing():
            return
        if should_pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        """Called by asyncio; returns `True` to keep the sending side open."""
        self._has_eof = True
        self._closed_by_peer.set()
        self._readable.set()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio."""
        self._is_reset = self._is_reset or not self._has_eof
        self._closed_by_peer.set()
        self._readable.set()
        self._writable.set()
        if self.holding is not None:
            self.holding.close()
        self.is_lost = True
        for call in self.on_lost:
            call()
        self.on_lost.clear()

    def pause_writing(self) -> None:
        """Called by asyncio."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Called by asyncio."""
        self._writable.set()
        if self.holding is not None:
            self._update_holding()

    async def read(self, max_bytes: int = MAX_UNREAD_BYTES) -> bytes:
        """Waits for bytes; returns `b""` at the orderly end of the connection.

        Args:
            max_bytes: The most bytes to return.

        Raises:
            ConnectionResetError: The connection was reset.
            RefusedError: The process has no memory left for what the peer sends.
        """
        while not self._unread:
            if self._is_refused:
                raise RefusedError("no memory is left")
            if self._has_eof:
                return b""
            if self._is_reset:
                raise ConnectionResetError("the connection was reset")
            self._readable.clear()
            await self._readable.wait()
        data = self._unread.popleft()
        if len(data) > max_bytes:
            self._unread.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        self._unread_bytes -= len(data)
        if self._is_paused:
            self._update_reading()
        return data

    def receive_less(self) -> None:
        """Receives fewer bytes at once, as from upstreams."""
        self._buffer = _small_receive_buffer

    async def wait_closed_by_peer(self) -> None:
        """Waits until the peer has closed the connection."""
        await self._closed_by_peer.wait()

    def enable_keepalive(
        self, probes: int = KEEPALIVE_PROBES, user_timeout_s: float = USER_TIMEOUT_S
    ) -> None:
        """Enables TCP keepalive, so that the connection ends if the peer is dead.

        Args:
            probes: How many probes, one a second, may remain without an answer.
            user_timeout_s: How long sent bytes may stay unacknowledged, in seconds.
        """
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
            sock.setsockopt(socket.IPPROTO_TCP, option, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
        user_timeout_ms = round(1000 * user_timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)

    def write(self, data: bytes) -> None:
        """Sends bytes, or discards them if the connection is closing."""
        if not self._transport.is_closing():
            self._transport.write(data)
            if self.holding is not None and self.unsent_bytes > UNCOUNTED_BYTES:
                self._update_holding()

    async def drain(self) -> None:
        """Waits until the write buffer is below its limit."""
        await self._writable.wait()

    async def drain_or_abort(self, unread_s: float) -> None:
        """Waits likewise; aborts the connection if its peer reads nothing for so long.

        Args:
            unread_s: How long the peer may read nothing, in seconds.
        """
        while not self._writable.is_set():
            before = self.count_untaken()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(unread_s):
                    await self._writable.wait()
                    return
            if self.count_untaken() >= before:
                self.abort()
                return

    def close(self) -> None:
        """Closes the connection after sending the written bytes."""
        self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once, without sending buffered bytes."""
        self._transport.abort()

    def reset(self) -> None:
        """Resets the connection, so that the peer takes nothing for an orderly end."""
        if not self._transport.is_closing():
            sock = self._transport.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._transport.abort()


async def process_pending_events() -> None:
    """Lets the event loop read what has already arrived, such as an end of stream.

    After a delay, a request and the disconnect of its caller may both be waiting.
    """
    for _ in range(PENDING_EVENT_ROUNDS):
        await asyncio.sleep(0)


async def connect(
    host: str,
    port: int,
    timeout_s: float,
    budget: memory_budget.MemoryBudget | None = None,
) -> TcpStream:
    """Opens a connection, by which a request can be passed on.

    Args:
        host: The IP address.
        port: The port.
        timeout_s: How long it may take, in seconds.
        budget: The account that its bytes belong to; None for none.

    Raises:
        ConnectionFailedError: The connection could not be opened in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, stream = await loop.create_connection(
                lambda: TcpStream(budget), host, port
            )
    except (OSError, TimeoutError) as error:
        reason = f"{host}:{port}: {str(error) or 'timeout'}"
        if isinstance(error, OSError) and error.errno == errno.ECONNREFUSED:
            raise ConnectionRefusedError(reason) from error
        raise ConnectionFailedError(reason) from error
    if stream.holding is not None:
        stream.holding.is_passed_on = True
        stream.holding.free_bytes = UPSTREAM_FREE_BYTES
        stream.holding.may_be_given_up = False
        stream.receive_less()
    return stream
