"""Predicts what a request costs from what a client account's requests have cost."""

import collections

from teaselsill import ids

WEIGHT = 0.1
"""The weight of the latest cost in the mean."""
MAX_ACCOUNTS = 1024
"""How many client accounts are remembered; the longest unused go first."""


class CostEstimator:
    """Keeps a moving mean of the cost of each client account's requests.

    Args:
        default: The cost to expect from a client account that is not known yet.

    Attributes:
        default: The same.
    """

    def __init__(self, default: float):
        self.default = default
        self._mean_by_account: collections.OrderedDict[ids.AccountId, float] = (
            collections.OrderedDict()
        )

    def estimate(self, account: ids.AccountId) -> float:
        """Returns the cost to expect from a client account's next request."""
        return self._mean_by_account.get(account, self.default)

    def update(self, account: ids.AccountId, cost: float) -> None:
        """Takes the cost of a request that has ended."""
        mean = self.estimate(account)
        self._mean_by_account[account] = mean + WEIGHT * (cost - mean)
        self._mean_by_account.move_to_end(account)
        if len(self._mean_by_account) > MAX_ACCOUNTS:
            self._mean_by_account.popitem(last=False)
