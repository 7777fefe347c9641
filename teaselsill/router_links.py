"""Connections to other routers that are opened when they are needed."""

import asyncio
import collections.abc
import typing

from teaselsill import ids, tcp_stream

MAX_IDLE_S = 10.0
"""A connection that has not been used for so long is closed."""


class Link(typing.Protocol):
    """A connection to one router.

    Attributes:
        is_lost: Whether it has ended.
        used_at: When it was last used, on the event loop's clock, in seconds.
    """

    is_lost: bool
    used_at: float

    @property
    def is_idle(self) -> bool:
        """Whether nothing is in progress on it."""

    @property
    def is_usable(self) -> bool:
        """Whether something new may be started on it."""

    def close(self) -> None:
        """Closes it at once."""

    def close_when_idle(self) -> None:
        """Closes it once nothing is in progress."""

    async def run(self) -> None:
        """Handles what arrives until the connection ends."""


MakeLink = collections.abc.Callable[[ids.InstanceId, tcp_stream.TcpStream], Link]


class RouterLinks:
    """The connections of one kind, at most one to each router.

    Args:
        make_link: Makes a connection of that kind from a router's id and a TCP
            connection to it.
        connect_timeout_s: How long opening a connection may take, in seconds.
    """

    def __init__(self, make_link: MakeLink, connect_timeout_s: float):
        self._make_link = make_link
        self._connect_timeout_s = connect_timeout_s
        self._link_by_router: dict[ids.InstanceId, Link] = {}
        self._connecting_by_router: dict[ids.InstanceId, asyncio.Task] = {}
        self._running: set[asyncio.Task] = set()

    async def find(self, router: ids.InstanceId, host: str, port: int) -> Link:
        """Returns the connection to a router, after it has been opened.

        Args:
            router: The id of the other router.
            host: Its IP address.
            port: The port for connections of this kind.

        Raises:
            ConnectionFailedError: The connection could not be opened in time.
        """
        known = self._link_by_router.get(router)
        if known is not None:
            if known.is_usable:
                return known
            known.close_when_idle()
        connecting = self._connecting_by_router.get(router)
        if connecting is None:
            connecting = asyncio.create_task(self._connect(router, host, port))
            self._connecting_by_router[router] = connecting
            connecting.add_done_callback(lambda done: self._note_tried(router, done))
        return await asyncio.shield(connecting)

    def close(self) -> None:
        """Closes all connections."""
        for task in [*self._connecting_by_router.values(), *self._running]:
            task.cancel()

    def drop_unused(self, now: float) -> None:
        """Closes connections that have not been used for a while."""
        for router, link in list(self._link_by_router.items()):
            if link.is_lost or (link.is_idle and now - link.used_at > MAX_IDLE_S):
                link.close()
                del self._link_by_router[router]

    def _note_tried(self, router: ids.InstanceId, connecting: asyncio.Task) -> None:
        del self._connecting_by_router[router]
        if not connecting.cancelled():
            # Whoever waits for it handles the error; nobody may wait any more.
            connecting.exception()

    async def _connect(self, router: ids.InstanceId, host: str, port: int) -> Link:
        stream = await tcp_stream.connect(host, port, self._connect_timeout_s)
        link = self._make_link(router, stream)
        self._link_by_router[router] = link
        task = asyncio.create_task(link.run())
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return link
