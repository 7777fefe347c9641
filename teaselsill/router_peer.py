"""An agent's state for one connected router or agent."""

import dataclasses
import time

from teaselsill import ids, link, messages


@dataclasses.dataclass(slots=True)
class WaitingRequests:
    """The requests of one client account that wait at a router.

    Attributes:
        waiting: The number last reported, less the slots granted since.
        oldest_since: When the oldest arrived, in seconds on this process's monotonic
            clock.
    """

    waiting: int
    oldest_since: float


class RouterPeer:
    """The state that an agent keeps for one connected peer.

    Args:
        connected: The link to the peer.

    Attributes:
        link: The link to the peer.
        demand_by_account: The waiting requests that the peer reported.
        attempts: The attempts whose responses are sent over this link.
    """

    def __init__(self, connected: link.Link):
        self.link = connected
        self.demand_by_account: dict[ids.AccountId, WaitingRequests] = {}
        self.attempts: set[ids.AttemptId] = set()

    @property
    def is_busy(self) -> bool:
        """Whether requests wait at this peer or run for it."""
        return bool(self.attempts or self.demand_by_account)

    def update_demand(self, message: messages.Demand) -> None:
        """Records how many requests of a client account wait at the peer."""
        if message.waiting <= 0:
            self.demand_by_account.pop(message.account, None)
            return
        since = time.monotonic() - message.oldest_ms / 1000
        self.demand_by_account[message.account] = WaitingRequests(
            message.waiting, since
        )

    def count_granted(self, account: ids.AccountId) -> None:
        """Subtracts one granted request from the waiting ones of a client account."""
        demand = self.demand_by_account.get(account)
        if demand is None:
            return
        demand.waiting -= 1
        if demand.waiting <= 0:
            del self.demand_by_account[account]
