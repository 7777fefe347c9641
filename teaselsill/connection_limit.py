"""A bound on the connections of a process, which keeps descriptors for its own work.

Callers' connections and those to upstreams share the bound: a request counts for one to
an upstream while it is sent there. When it is reached, a new one takes the place of
another: first of one that has never completed the head of a request, then of an idle
one, then of one whose request is still arriving.
"""

import abc
import collections.abc
import contextlib
import enum
import math

from teaselsill import tcp_stream

FILE_DESCRIPTORS = 200
"""How many of the descriptors are for files."""
CALLER_RATIO = 0.75
"""The part of the sockets for callers and upstreams; most of the rest is for the store
and other routers."""
ROUTER_RATIO = 0.15
"""The part of the sockets for connections that other routers have opened."""
MIN_CONNECTIONS = 32
"""The bound is not lower than this, however few descriptors there are."""
PAGE_CONNECTIONS = 16
"""How many connections one page for operators or the balancer may have."""
DEFAULT_DESCRIPTORS = 65536
"""The descriptors if the settings name none."""
LINGER_S = 15.0
"""How long a closed connection whose peer reads nothing may stay."""


class Use(enum.IntEnum):
    """What a connection is used for; the lowest value is closed first."""

    NO_HEAD_YET = 0
    """It has never completed the head of a request."""
    IDLE = 1
    RECEIVING = 2
    """The body of its request is arriving."""
    SENDING_REST = 3
    """Its peer has not read all that was sent."""
    SERVING = 4
    """Its request is being served."""


class Member(abc.ABC):
    """A connection that counts toward the limit."""

    @property
    @abc.abstractmethod
    def use(self) -> Use:
        """What the connection is used for."""

    @property
    @abc.abstractmethod
    def used_since(self) -> float:
        """When it was opened or last used, or its peer last read some of the rest."""

    @abc.abstractmethod
    def close_for_limit(self) -> None:
        """Closes the connection at once."""


def choose_closed(members: collections.abc.Iterable[Member]) -> Member | None:
    """Returns the connection that makes room for a new one; None if there is none.

    No request that is served is given up, and no response that is still read.
    """
    closable = [each for each in members if each.use < Use.SENDING_REST]
    return min(closable, key=lambda each: (each.use, each.used_since), default=None)


def find_socket_count(max_fds: int | None) -> int:
    """Returns how many sockets the settings' descriptors allow, or the default."""
    return (max_fds or DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS


class StreamMember(Member):
    """A connection of another router, which counts as used once it has said who it is.

    Args:
        stream: The connection.
        now: The event loop's time, in seconds.
    """

    def __init__(self, stream: tcp_stream.TcpStream, now: float):
        self._stream = stream
        self._opened_at = now

    @property
    def use(self) -> Use:
        """What the connection is used for; see `Member`."""
        return Use.SERVING if self._stream.has_identified else Use.NO_HEAD_YET

    @property
    def used_since(self) -> float:
        """When it was opened."""
        return self._opened_at

    def close_for_limit(self) -> None:
        """Closes the connection at once."""
        self._stream.abort()


class ConnectionLimit:
    """The bound on one kind of connections.

    Args:
        max_connections: The bound; see `find_socket_count`.
        on_closed: Called for each connection that is closed for it.

    Attributes:
        count: The number of open connections that count.
        max_connections: The bound.
        on_closed: Called for each connection that is closed for it.
        count_idle: Returns the number of idle connections to upstreams.
        release_idle: Closes one of them; returns whether there was one.
    """

    def __init__(
        self,
        max_connections: float = math.inf,
        on_closed: collections.abc.Callable[[], None] = lambda: None,
    ):
        self.count = 0
        self.max_connections = max_connections
        self.on_closed = on_closed
        self.count_idle: collections.abc.Callable[[], int] = lambda: 0
        self.release_idle: collections.abc.Callable[[], bool] = lambda: False
        self._members: set[Member] = set()

    @property
    def is_full(self) -> bool:
        """Whether another connection has to be closed for a new one."""
        if self.count < self.max_connections / 2:
            # No more are idle than have been in use, which is another half.
            return False
        return self.count + self.count_idle() >= self.max_connections

    @contextlib.contextmanager
    def reserve(self) -> collections.abc.Iterator[None]:
        """Counts a connection that is being opened, or that a request needs."""
        self.count += 1
        try:
            yield
        finally:
            self.count -= 1

    def note_opened(self, stream: tcp_stream.TcpStream) -> None:
        """Counts a connection until it has ended."""
        if not stream.is_lost:
            self.count += 1
            stream.on_lost.append(self._note_lost)

    def _note_lost(self) -> None:
        self.count -= 1

    def add(self, member: Member) -> None:
        """Adds a connection that may be closed to make room."""
        self._members.add(member)

    def add_stream(self, stream: tcp_stream.TcpStream, now: float) -> None:
        """Adds another router's connection until it ends; see `StreamMember`."""
        member = StreamMember(stream, now)
        self.add(member)
        stream.on_lost.append(lambda: self.remove(member))

    def remove(self, member: Member) -> None:
        """Removes such a connection."""
        self._members.discard(member)

    def make_room(self) -> bool:
        """Returns whether one more may be opened, after closing another if needed."""
        if not self.is_full or self.release_idle():
            return True
        closed = choose_closed(self._members)
        self.on_closed()
        if closed is None:
            return False
        self.remove(closed)
        closed.close_for_limit()
        return True

    def drop_unread(self, now: float) -> None:
        """Closes connections whose peers have read nothing of the rest for long.

        Args:
            now: The event loop's time, in seconds.
        """
        for member in list(self._members):
            is_left = now - member.used_since > LINGER_S
            if member.use is Use.SENDING_REST and is_left:
                self.remove(member)
                member.close_for_limit()
