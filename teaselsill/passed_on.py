"""Decides which requests are passed on, by the memory that they take until their end.

What has been passed on can't be refused any more, so it is bounded before.
"""

import collections

from teaselsill import ids

LARGEST_RATIO = 0.5
"""A request of the account that would hold most is passed on up to this part."""
OTHERS_RATIO = 0.9
"""A request of any other account is passed on up to this part."""


class PassedOn:
    """The memory of requests that have been passed on.

    Args:
        limit_bytes: What all clients of the process may hold.
    """

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._bytes_by_account: collections.Counter = collections.Counter()

    @property
    def held_bytes(self) -> int:
        """What all requests take."""
        return self._held_bytes

    def add(self, account: ids.AccountId, size: int) -> bool:
        """Passes a request on if there is memory; returns whether there was.

        A request is always passed on if there is no other.

        Args:
            account: The client account.
            size: What the request takes, in bytes.
        """
        most = max(self._bytes_by_account.values(), default=0)
        would_hold_most = self._bytes_by_account[account] + size > most
        ratio = LARGEST_RATIO if would_hold_most else OTHERS_RATIO
        total = self._held_bytes + size
        if self._held_bytes and total > ratio * self._limit_bytes:
            return False
        self._held_bytes = total
        self._bytes_by_account[account] += size
        return True

    def remove(self, account: ids.AccountId, size: int) -> None:
        """Ends a request that was passed on."""
        self._held_bytes -= size
        self._bytes_by_account[account] -= size
        if not self._bytes_by_account[account]:
            del self._bytes_by_account[account]
