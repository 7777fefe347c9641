"""A TCP listener that accepts all waiting connections at once."""

import asyncio
import collections.abc
import contextlib
import logging
import socket

from teaselsill import connection_limit, errors, memory_budget, tcp_stream

BACKLOG_CONNECTIONS = 1024
MAX_ACCEPTS = 128
"""The maximum number of connections accepted in one iteration of the event loop."""
ACCEPT_RETRY_DELAY_S = 0.1
"""How long accepting pauses after an error, such as too many open files."""

logger = logging.getLogger(__name__)

OnStream = collections.abc.Callable[[tcp_stream.TcpStream], None]


class ListenError(errors.TeaselsillError):
    """The listening socket could not be created."""


class Listener:
    """A listening socket.

    The servers of uvloop accept one connection per iteration of the event loop, so that
    a burst of callers would wait for up to a second to be accepted.

    Args:
        host: The IP address.
        port: The port; 0 for any free one.
        on_stream: Called with each new connection.
        budget: The account that the bytes of its connections belong to.
        limit: The bound on its connections.
        serves_routers: Whether other routers connect, which say who they are.

    Raises:
        ListenError: The address cannot be used.
    """

    def __init__(
        self,
        host: str,
        port: int,
        on_stream: OnStream,
        budget: memory_budget.MemoryBudget | None = None,
        limit: connection_limit.ConnectionLimit | None = None,
        serves_routers: bool = False,
    ):
        self._serves_routers = serves_routers
        self._on_stream = on_stream
        self._budget = budget
        self._limit = limit or connection_limit.ConnectionLimit()
        self._loop = asyncio.get_running_loop()
        self._connecting: set[asyncio.Task] = set()
        try:
            self._socket = socket.create_server(
                (host, port), backlog=BACKLOG_CONNECTIONS
            )
        except OSError as error:
            raise ListenError(f"{host}:{port}: {error}") from error
        self._socket.setblocking(False)
        self._resume()

    @property
    def address(self) -> tuple[str, int]:
        """The listening host and port."""
        return self._socket.getsockname()[:2]

    @property
    def is_accepting(self) -> bool:
        """Whether accepted connections have not been passed to `on_stream` yet."""
        return bool(self._connecting)

    def close(self) -> None:
        """Accepts the connections that are already waiting and stops listening.

        The operating system would reset connections still in the backlog.
        """
        if self._socket.fileno() < 0:
            return
        self._loop.remove_reader(self._socket)
        self._accept_waiting()
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _resume(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.add_reader(self._socket, self._accept_waiting)

    def _accept_waiting(self) -> None:
        for _ in range(MAX_ACCEPTS):
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                logger.error("cannot accept connections", extra={"reason": str(error)})
                self._loop.remove_reader(self._socket)
                self._loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume)
                return
            was_full = self._limit.is_full
            if not self._limit.make_room():
                accepted.close()
                continue
            self._limit.count += 1
            task = self._loop.create_task(self._connect(accepted))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
            if was_full:
                # The descriptor of the closed connection is free only after this round.
                return

    async def _connect(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        try:
            # The peer may have disconnected already.
            with contextlib.suppress(OSError):
                _, stream = await self._loop.connect_accepted_socket(
                    lambda: tcp_stream.TcpStream(self._budget), accepted
                )
                self._limit.note_opened(stream)
                if self._serves_routers:
                    self._limit.add_stream(stream, self._loop.time())
                self._on_stream(stream)
        finally:
            # From here on, the stream counts.
            self._limit.count -= 1
