"""Tracks which slots of an upstream are free, offered or in use."""

import dataclasses
import itertools
import time
import typing

from teaselsill import errors, ids

GRANT_LIFETIME_S = 0.5
"""How long an offered slot is held for a dispatch before it is free again."""


class SlotsOverbookedError(errors.InvariantError):
    """More requests would run than the upstream has slots."""


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A slot that is offered to a router.

    Attributes:
        grant: The number of the grant that carries the offer.
        account: The client account that the slot is offered to.
        holder: The connected peer that may use the slot.
        expected_cost: The normalised cost reserved for the client account.
        expires_at: When the offer ends, in seconds on the monotonic clock.
    """

    grant: ids.GrantId
    account: ids.AccountId
    holder: typing.Any
    expected_cost: float
    expires_at: float


class Slots:
    """Counts the slots of one upstream.

    Args:
        clock: Returns monotonic time in seconds.

    Attributes:
        total: The maximum number of requests that run at once.
        running: The number of running requests.
        offer_by_grant: The open offers.
    """

    def __init__(self, clock=time.monotonic):
        self.total = 0
        self.running = 0
        self.offer_by_grant: dict[ids.GrantId, Offer] = {}
        self._clock = clock
        # Above `total` after a reduction, until enough requests and offers have ended.
        self._limit = 0
        self._numbers = itertools.count(1)
        self._busy_s = 0.0
        self._busy_counted_at = clock()

    @property
    def free(self) -> int:
        """The number of slots that can be offered; negative after a reduction."""
        return self.total - self._occupied

    @property
    def busy_s(self) -> float:
        """The total time that requests have run, summed over the slots, in seconds."""
        self._count_busy()
        return self._busy_s

    def offer(self, account: ids.AccountId, holder, expected_cost: float) -> Offer:
        """Offers a free slot."""
        grant = ids.GrantId(next(self._numbers))
        expires_at = self._clock() + GRANT_LIFETIME_S
        offer = Offer(grant, account, holder, expected_cost, expires_at)
        self.offer_by_grant[grant] = offer
        return offer

    def withdraw(self, grant: ids.GrantId) -> Offer | None:
        """Ends an offer and returns it, or none if it had already ended."""
        offer = self.offer_by_grant.pop(grant, None)
        self._lower_limit()
        return offer

    def accept(self, grant: ids.GrantId, holder) -> Offer | None:
        """Turns an offer into a running request.

        Returns:
            The offer, or none if it has expired or belongs to another holder. An
            expired offer stays until `withdraw` ends it.

        Raises:
            SlotsOverbookedError: All slots are in use.
        """
        offer = self.offer_by_grant.get(grant)
        if offer is None or offer.holder is not holder:
            return None
        if self._clock() >= offer.expires_at:
            return None
        if self.running >= self._limit:
            raise SlotsOverbookedError(
                f"{self.running + 1} requests in {self.total} slots"
            )
        del self.offer_by_grant[grant]
        self._count_busy()
        self.running += 1
        return offer

    def release(self) -> None:
        """Frees the slot of a finished request."""
        self._count_busy()
        self.running -= 1
        self._lower_limit()

    def resize(self, total: int) -> None:
        """Sets the number of slots.

        Running requests and open offers keep their slots, even above the new total.
        """
        self._count_busy()
        self.total = total
        self._limit = max(total, self._occupied)

    @property
    def _occupied(self) -> int:
        return self.running + len(self.offer_by_grant)

    def _lower_limit(self) -> None:
        """Lowers a limit that is above the total as slots become free."""
        self._limit = max(self.total, min(self._limit, self._occupied))

    def _count_busy(self) -> None:
        now = self._clock()
        self._busy_s += self.running * (now - self._busy_counted_at)
        self._busy_counted_at = now
