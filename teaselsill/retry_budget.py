"""Bounds how many requests are sent again, so that retries do not cause an overload."""

import collections
import dataclasses

ROUTERS_MARGIN = 2
"""The burst is divided by this multiple of the known routers: more may have started."""


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetPolicy:
    """The bound on requests that are sent more than once.

    Attributes:
        ratio: How many retries are allowed per request.
        window_s: The length of the sliding window, in seconds.
        burst: How many retries all routers together may send however few requests
            there are.
    """

    ratio: float
    window_s: float
    burst: float

    def find_floor(self, routers: int) -> float:
        """Returns how many retries one router may send however few requests there are.

        Args:
            routers: How many routers there are; 0 if that is not known yet.
        """
        return self.burst / (ROUTERS_MARGIN * routers) if routers else 0.0


class RetryBudget:
    """One router's part of the fleet's retry budget for one service.

    Each router may spend a fixed ratio of the requests that it has received itself,
    plus its part of the burst. So all routers together keep to the budget without
    exchanging messages.

    Attributes:
        policy: The bound that applies.
    """

    def __init__(self, policy: BudgetPolicy):
        self.policy = policy
        self._requested_at: collections.deque[float] = collections.deque()
        self._spent_at: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Records a caller's request."""
        self._requested_at.append(now)
        self._expire(now)

    def spend(self, now: float, routers: int) -> bool:
        """Takes one retry from the budget; returns False if none is left.

        Args:
            now: The time, in seconds.
            routers: How many routers there are; 0 if that is not known yet.
        """
        self._expire(now)
        floor = self.policy.find_floor(routers)
        allowed = floor + self.policy.ratio * len(self._requested_at)
        if len(self._spent_at) + 1 > allowed:
            return False
        self._spent_at.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requested_at, self._spent_at):
            while times and times[0] <= now - self.policy.window_s:
                times.popleft()
