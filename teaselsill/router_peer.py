"""An agent's side of its connection to one router or to another agent."""

import dataclasses
import time

from teaselsill import ids, link, messages


@dataclasses.dataclass(slots=True)
class WaitingRequests:
    """The waiting requests that a router has told of, for one client account.

    Attributes:
        waiting: How many wait, less those that were granted a slot since.
        oldest_since: When the oldest came, on this process's monotonic clock, in
            seconds.
    """

    waiting: int
    oldest_since: float


class RouterPeer:
    """What an agent knows of one connected peer.

    Args:
        connected: The link.

    Attributes:
        link: The link.
        demand_by_account: The waiting work that it has told of.
        attempts: The attempts whose answers are sent over this link.
    """

    def __init__(self, connected: link.Link):
        self.link = connected
        self.demand_by_account: dict[ids.AccountId, WaitingRequests] = {}
        self.attempts: set[ids.AttemptId] = set()

    @property
    def is_busy(self) -> bool:
        """Whether work waits at this peer or runs for it."""
        return bool(self.attempts or self.demand_by_account)

    def update_demand(self, message: messages.Demand) -> None:
        """Notes how many requests wait."""
        if message.waiting <= 0:
            self.demand_by_account.pop(message.account, None)
            return
        since = time.monotonic() - message.oldest_ms / 1000
        self.demand_by_account[message.account] = WaitingRequests(
            message.waiting, since
        )

    def count_granted(self, account: ids.AccountId) -> None:
        """Counts one request of a client account as granted."""
        demanded = self.demand_by_account.get(account)
        if demanded is None:
            return
        demanded.waiting -= 1
        if demanded.waiting <= 0:
            del self.demand_by_account[account]
