"""Estimates the cost of a client account's next request from its past requests."""

import collections

from teaselsill import ids

WEIGHT = 0.1
"""The weight of the latest cost in the exponential moving average."""
MAX_ACCOUNTS = 1024
"""The maximum number of remembered accounts; the least recently used are evicted."""


class CostEstimator:
    """Keeps an exponential moving average of the cost per client account.

    Args:
        default: The estimate for a client account without finished requests.

    Attributes:
        default: The estimate for a client account without finished requests.
    """

    def __init__(self, default: float):
        self.default = default
        self._mean_by_account: collections.OrderedDict[ids.AccountId, float] = (
            collections.OrderedDict()
        )

    def estimate(self, account: ids.AccountId) -> float:
        """Returns the expected cost of a client account's next request."""
        return self._mean_by_account.get(account, self.default)

    def update(self, account: ids.AccountId, cost: float) -> None:
        """Adds the cost of a finished request."""
        mean = self.estimate(account)
        self._mean_by_account[account] = mean + WEIGHT * (cost - mean)
        self._mean_by_account.move_to_end(account)
        if len(self._mean_by_account) > MAX_ACCOUNTS:
            self._mean_by_account.popitem(last=False)
