"""A TCP byte stream that reports when the peer closes the connection."""

import asyncio
import collections
import errno
import socket
import struct

from teaselsill import errors

MAX_UNREAD_BYTES = 64 * 1024
"""With more unread bytes, receiving is paused until half of them have been read."""
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


class TcpStream(asyncio.Protocol):
    """One TCP connection; at most one task reads from it and one writes to it.

    Attributes:
        last_received_at: The event loop's time when bytes last arrived, in seconds.
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
        self._closed_by_peer = asyncio.Event()
        self._has_eof = False
        self._is_reset = False

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

    def pause_writing(self) -> None:
        """Called by asyncio."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Called by asyncio."""
        self._writable.set()

    async def read(self) -> bytes:
        """Waits for bytes; returns `b""` at the orderly end of the connection.

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

    async def drain(self) -> None:
        """Waits until the write buffer is below its limit."""
        await self._writable.wait()

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


async def connect(host: str, port: int, timeout_s: float) -> TcpStream:
    """Opens a connection.

    Raises:
        ConnectionFailedError: The connection could not be opened in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, stream = await loop.create_connection(TcpStream, host, port)
    except (OSError, TimeoutError) as error:
        reason = f"{host}:{port}: {str(error) or 'timeout'}"
        if isinstance(error, OSError) and error.errno == errno.ECONNREFUSED:
            raise ConnectionRefusedError(reason) from error
        raise ConnectionFailedError(reason) from error
    return stream
