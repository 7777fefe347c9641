"""A TCP connection as bytes, which tells when the other end leaves."""

import asyncio
import collections
import socket

from teaselsill import errors

MAX_UNREAD_BYTES = 256 * 1024
"""With more unread bytes, nothing more is received until some are read."""
KEEP_ALIVE_S = 1
"""How often a quiet connection is checked."""
UNACKNOWLEDGED_MS = 1500
"""A checked connection ends if bytes are not acknowledged for so long."""
CATCH_UP_ROUNDS = 2
"""In so many rounds the event loop has read what had come before."""


class ConnectionFailedError(errors.TeaselsillError):
    """No connection could be made."""


class ConnectionResetError(errors.TeaselsillError):
    """The connection ended without an orderly close."""


class TcpStream(asyncio.Protocol):
    """One connection; one task may read from it and one may write to it.

    Attributes:
        last_received_at: When bytes last came, on the event loop's clock, in seconds.
    """

    def __init__(self):
        self.last_received_at = 0.0
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._unread: collections.deque[bytes] = collections.deque()
        self._unread_bytes = 0
        self._is_paused = False
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._left = asyncio.Event()
        self._has_eof = False
        self._is_reset = False

    @property
    def is_closed_by_peer(self) -> bool:
        """Whether the other end has closed the connection."""
        return self._left.is_set()

    @property
    def has_unread(self) -> bool:
        """Whether bytes have come that were not read."""
        return bool(self._unread)

    @property
    def peer_host(self) -> str:
        """The IP address of the other end; empty if it is not known."""
        peer = self._transport.get_extra_info("peername")
        return peer[0] if peer else ""

    @property
    def unsent_bytes(self) -> int:
        """How many written bytes the operating system has not taken yet."""
        return self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Called by asyncio."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Called by asyncio."""
        self.last_received_at = self._loop.time()
        self._unread.append(data)
        self._unread_bytes += len(data)
        self._readable.set()
        if self._unread_bytes > MAX_UNREAD_BYTES and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Called by asyncio; keeps the way back open."""
        self._has_eof = True
        self._left.set()
        self._readable.set()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio."""
        self._is_reset = self._is_reset or not self._has_eof
        self._left.set()
        self._readable.set()
        self._writable.set()

    def pause_writing(self) -> None:
        """Called by asyncio."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Called by asyncio."""
        self._writable.set()

    async def read(self) -> bytes:
        """Waits for bytes; returns none at the orderly end of the connection.

        Raises:
            ConnectionResetError: The connection was reset.
        """
        while not self._unread:
            if self._has_eof:
                return b""
            if self._is_reset:
                raise ConnectionResetError("the connection was reset")
            self._readable.clear()
            await self._readable.wait()
        data = self._unread.popleft()
        self._unread_bytes -= len(data)
        if self._is_paused and self._unread_bytes <= MAX_UNREAD_BYTES // 2:
            self._is_paused = False
            self._transport.resume_reading()
        return data

    async def wait_closed_by_peer(self) -> None:
        """Waits until the other end has closed the connection."""
        await self._left.wait()

    def enable_keepalive(self) -> None:
        """Has the operating system end the connection if the other end is silent."""
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
            sock.setsockopt(socket.IPPROTO_TCP, option, KEEP_ALIVE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)

    def write(self, data: bytes) -> None:
        """Sends bytes, or drops them if the connection has ended."""
        if not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Waits while the other end does not take the bytes that were written."""
        await self._writable.wait()

    def close(self) -> None:
        """Closes the connection after sending what was written."""
        self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._transport.abort()


async def process_pending_events() -> None:
    """Lets the event loop read what has come, such as the end of a connection.

    A process that is late reads a request and its caller's leaving at once.
    """
    for _ in range(CATCH_UP_ROUNDS):
        await asyncio.sleep(0)


async def connect(host: str, port: int, timeout_s: float) -> TcpStream:
    """Opens a connection.

    Raises:
        ConnectionFailedError: None could be made in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, stream = await loop.create_connection(TcpStream, host, port)
    except (OSError, TimeoutError) as error:
        reason = str(error) or "timeout"
        raise ConnectionFailedError(f"{host}:{port}: {reason}") from error
    return stream
