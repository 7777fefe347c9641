"""A listening address whose waiting connections are all accepted at once."""

import asyncio
import collections.abc
import contextlib
import logging
import socket

from teaselsill import errors, tcp_stream

BACKLOG_CONNECTIONS = 1024
MAX_ACCEPTS = 128
"""How many connections are accepted in one round of the event loop."""
PAUSE_S = 0.1
"""How long nothing is accepted after the system could not give a connection."""

logger = logging.getLogger(__name__)

OnStream = collections.abc.Callable[[tcp_stream.TcpStream], None]


class ListenError(errors.TeaselsillError):
    """An address cannot be listened on."""


class Listener:
    """A listening socket.

    The event loop of uvloop accepts one connection in each of its rounds, so that a
    burst of callers would wait for a second before they are heard.

    Args:
        host: The IP address.
        port: The port; 0 for any free one.
        on_stream: Called with each new connection.

    Raises:
        ListenError: The address cannot be used.
    """

    def __init__(self, host: str, port: int, on_stream: OnStream):
        self._on_stream = on_stream
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
        """The host and port."""
        return self._socket.getsockname()[:2]

    @property
    def is_accepting(self) -> bool:
        """Whether there are connections that `on_stream` will get without a wait."""
        return bool(self._connecting)

    def close(self) -> None:
        """Accepts what has come until now, and nothing more.

        The operating system would reset the connections that wait to be accepted.
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
                logger.error("cannot accept", extra={"reason": str(error)})
                self._loop.remove_reader(self._socket)
                self._loop.call_later(PAUSE_S, self._resume)
                return
            task = self._loop.create_task(self._connect(accepted))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        # The other end may have gone already: then there is nobody to tell.
        with contextlib.suppress(OSError):
            _, stream = await self._loop.connect_accepted_socket(
                tcp_stream.TcpStream, accepted
            )
            self._on_stream(stream)
