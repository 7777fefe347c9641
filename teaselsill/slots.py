"""An agent's slots: which are free, which are offered, which are in use."""

import dataclasses
import itertools
import time
import typing

from teaselsill import errors, ids

GRANT_LIFETIME_S = 0.5
"""How long an offered slot waits for its request before it is free again."""


class SlotsOverbookedError(errors.InvariantError):
    """More requests run than the upstream has slots."""


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A slot that is offered to a router.

    Attributes:
        grant: The offer's number.
        account: The client account whose turn it is.
        holder: The session of the router that may use it.
        expected_cost: The normalised cost that the client account is charged for now.
        expires_at: When the offer ends, on the monotonic clock, in seconds.
    """

    grant: ids.GrantId
    account: ids.AccountId
    holder: typing.Any
    expected_cost: float
    expires_at: float


class Slots:
    """Counts the slots of one upstream.

    Args:
        clock: Returns monotonic seconds.

    Attributes:
        total: How many requests the upstream runs at a time.
        running: How many requests run.
        offer_by_grant: The offers that are open.
    """

    def __init__(self, clock=time.monotonic):
        self.total = 0
        self.running = 0
        self.offer_by_grant: dict[ids.GrantId, Offer] = {}
        self._clock = clock
        self._limit = 0
        self._numbers = itertools.count(1)
        self._busy_s = 0.0
        self._counted_at = clock()

    @property
    def free(self) -> int:
        """How many slots can be offered."""
        return self.total - self._taken

    @property
    def busy_s(self) -> float:
        """The slot time spent running requests so far, in seconds."""
        self._count_busy()
        return self._busy_s

    def offer(self, account: ids.AccountId, holder, expected: float) -> Offer:
        """Takes a free slot and returns the offer of it."""
        grant = ids.GrantId(next(self._numbers))
        expires_at = self._clock() + GRANT_LIFETIME_S
        offer = Offer(grant, account, holder, expected, expires_at)
        self.offer_by_grant[grant] = offer
        return offer

    def withdraw(self, grant: ids.GrantId) -> Offer | None:
        """Ends an offer; returns it, or none if it had ended already."""
        offer = self.offer_by_grant.pop(grant, None)
        self._lower_limit()
        return offer

    def accept(self, grant: ids.GrantId, holder) -> Offer | None:
        """Turns an offer into a running request.

        Returns:
            The offer, or none if it has expired or is not this holder's. An offer
            that has expired is left to `withdraw`.

        Raises:
            SlotsOverbookedError: As many requests run as there are slots.
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
        """Frees the slot of a request that has ended."""
        self._count_busy()
        self.running -= 1
        self._lower_limit()

    def resize(self, total: int) -> None:
        """Sets the number of slots; running requests and offers keep theirs."""
        self._count_busy()
        self.total = total
        self._limit = max(total, self._taken)

    @property
    def _taken(self) -> int:
        return self.running + len(self.offer_by_grant)

    def _lower_limit(self) -> None:
        """Takes back what was allowed over the total as slots become free."""
        self._limit = max(self.total, min(self._limit, self._taken))

    def _count_busy(self) -> None:
        now = self._clock()
        self._busy_s += self.running * (now - self._counted_at)
        self._counted_at = now
