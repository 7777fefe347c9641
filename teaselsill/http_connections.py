"""Decides which connections of an HTTP port are closed when there are too many.

A connection with a request that has arrived whole is never closed for another one.
While there are too many, the client account that holds the most gets no further request
in.
"""

import collections
import enum

from teaselsill import ids

HEAD_TIMEOUT_S = 30.0
"""How long a connection may take to send the head of a request."""
BODY_TIMEOUT_S = 60.0
"""How long a connection may take to send a body that the application does not limit."""
UNREAD_TIMEOUT_S = 300.0
"""How long a connection may take nothing of a response."""
RESERVE_RATIO = 8
"""One in this many connections is kept for requests whose client account is unknown."""


class Stage(enum.Enum):
    """What a connection does.

    Connections are closed in this order, the ones longest at their stage first.
    """

    NEW = "new"
    """It has never sent a complete head."""
    IDLE = "idle"
    """It has no request, or the response came before the end of the request."""
    BODY = "body"
    """The body of its request is arriving."""
    BUSY = "busy"
    """Its request has arrived, and the response is not complete."""


TIMEOUT_S_BY_STAGE = {
    Stage.NEW: HEAD_TIMEOUT_S,
    Stage.IDLE: HEAD_TIMEOUT_S,
    Stage.BODY: BODY_TIMEOUT_S,
}


class Connections:
    """The connections of one port.

    Args:
        max_count: How many may be open.
    """

    def __init__(self, max_count: int):
        self._max_count = max_count
        self._reserve = max(1, max_count // RESERVE_RATIO)
        self._since_by_stage: dict[Stage, dict] = {stage: {} for stage in Stage}
        self._stage_by_connection: dict = {}
        self._unread_since: dict = {}
        self._account_by_connection: dict = {}
        self._count_by_account: collections.Counter = collections.Counter()

    def __len__(self) -> int:
        return len(self._stage_by_connection)

    def add(self, connection, now: float):
        """Adds a connection; returns the one to close for it, which may be itself.

        The one to close is no longer one of the connections.

        Args:
            connection: The connection.
            now: The monotonic time, in seconds.
        """
        self._put(connection, Stage.NEW, now)
        if len(self) <= self._max_count:
            return None
        closed = self._find_closeable()
        self.remove(closed)
        return closed

    def move(self, connection, stage: Stage, now: float) -> None:
        """Records what a connection does now."""
        if self._stage_by_connection.get(connection) in (None, stage):
            return
        self._remove(connection)
        self._put(connection, stage, now)
        if stage is Stage.IDLE:
            self._release(connection)

    def admit(self, connection, account: ids.AccountId) -> bool:
        """Returns whether a client account may use a connection for its request."""
        if connection not in self._stage_by_connection:
            return True
        self._release(connection)
        admitted_count = len(self._account_by_connection)
        is_full = admitted_count >= self._max_count - self._reserve
        most = max(self._count_by_account.values(), default=0)
        if is_full and self._count_by_account[account] >= max(1, most):
            return False
        self._account_by_connection[connection] = account
        self._count_by_account[account] += 1
        return True

    def set_unread(self, connection, is_unread: bool, now: float) -> None:
        """Records whether a client takes nothing of its response."""
        if is_unread and connection in self._stage_by_connection:
            self._unread_since.setdefault(connection, now)
        else:
            self._unread_since.pop(connection, None)

    def remove(self, connection) -> None:
        """Removes a connection that has been closed."""
        if connection not in self._stage_by_connection:
            return
        self._remove(connection)
        del self._stage_by_connection[connection]
        self._unread_since.pop(connection, None)
        self._release(connection)

    def find_expired(self, now: float) -> list:
        """Returns the connections that have been at their stage for too long."""
        found = []
        for stage, timeout_s in TIMEOUT_S_BY_STAGE.items():
            found += _find_older(self._since_by_stage[stage], now - timeout_s)
        return found + _find_older(self._unread_since, now - UNREAD_TIMEOUT_S)

    def _find_closeable(self):
        """Returns the connection to close; the newest has just been added as new."""
        for stage in (Stage.NEW, Stage.IDLE, Stage.BODY):
            others = len(self._since_by_stage[stage]) - (stage is Stage.NEW)
            if others > 0:
                return next(iter(self._since_by_stage[stage]))
        return next(iter(self._since_by_stage[Stage.NEW]))

    def _put(self, connection, stage: Stage, now: float) -> None:
        self._stage_by_connection[connection] = stage
        self._since_by_stage[stage][connection] = now

    def _remove(self, connection) -> None:
        del self._since_by_stage[self._stage_by_connection[connection]][connection]

    def _release(self, connection) -> None:
        account = self._account_by_connection.pop(connection, None)
        if account is None:
            return
        self._count_by_account[account] -= 1
        if not self._count_by_account[account]:
            del self._count_by_account[account]


def _find_older(since_by_connection: dict, limit: float) -> list:
    """Returns the connections since before a time; they are kept oldest first."""
    found = []
    for connection, since in since_by_connection.items():
        if since > limit:
            break
        found.append(connection)
    return found
