"""Bounds how many requests are sent more than once, so that retries cause no storm."""

import collections
import dataclasses

ROUTERS_MARGIN = 2
"""The burst is divided by so many times the known routers: more may have started."""


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetPolicy:
    """The bound on requests that are sent more than once.

    Attributes:
        ratio: How many sends beyond the first are allowed for each request.
        window_s: The length of the sliding window, in seconds.
        burst: How many all routers together may send however few requests there are.
    """

    ratio: float
    window_s: float
    burst: float

    def find_floor(self, routers: int) -> float:
        """Returns how many one router may send however few requests there are.

        Args:
            routers: How many routers there are; 0 if that is not known yet.
        """
        return self.burst / (ROUTERS_MARGIN * routers) if routers else 0.0


class RetryBudget:
    """One router's part of the fleet's budget for one service.

    Each router spends a fixed ratio of the requests that it has received itself and its
    part of the burst. So the sum over all routers keeps to the budget without messages.

    Attributes:
        policy: How much may be spent.
    """

    def __init__(self, policy: BudgetPolicy):
        self.policy = policy
        self._requested_at: collections.deque[float] = collections.deque()
        self._spent_at: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Takes note of a caller's request."""
        self._requested_at.append(now)
        self._forget(now)

    def spend(self, now: float, routers: int) -> bool:
        """Takes one retry out of the budget, if there is one left.

        Args:
            now: The time, in seconds.
            routers: How many routers there are; 0 if that is not known yet.
        """
        self._forget(now)
        floor = self.policy.find_floor(routers)
        allowed = floor + self.policy.ratio * len(self._requested_at)
        if len(self._spent_at) + 1 > allowed:
            return False
        self._spent_at.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requested_at, self._spent_at):
            while times and times[0] <= now - self.policy.window_s:
                times.popleft()
