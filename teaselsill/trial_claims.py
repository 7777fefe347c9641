"""Settles which router sends the trial of a quarantined prompt part.

A router with a request that is due as a trial claims the right to send it, tells the
others, and awaits their claims. Of claims that were made before their routers had heard
of each other, the one with the lowest random rank holds.
"""

import dataclasses
import random

from teaselsill import ids

CLAIM_S = 0.3
"""How long a router awaits the claims of others: twice the time that claims travel."""
CLAIM_TTL_S = 1.0
"""A claim lapses if no trial was sent for so long."""
MAX_RANK = 2**32


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A router's claim to send the trial of a part.

    Attributes:
        rank: A random number; the lowest one holds.
        made_at: When it was made, in seconds.
        is_own: Whether this router has made it.
    """

    rank: int
    made_at: float
    is_own: bool

    def is_settled(self, now: float, claim_s: float) -> bool:
        """Returns whether other claims would have been heard by now.

        Args:
            now: The time, in seconds.
            claim_s: How long other claims are awaited, in seconds.
        """
        return now >= self.made_at + claim_s


class TrialClaims:
    """The claims that hold, by prompt part."""

    def __init__(self):
        self._claim_by_part: dict[ids.PartKey, Claim] = {}
        self._source = random.Random()

    def find(self, part: ids.PartKey, now: float) -> Claim | None:
        """Returns the claim to a part; None if there is none or it has lapsed.

        Args:
            part: The prompt part.
            now: The time, in seconds.
        """
        claim = self._claim_by_part.get(part)
        if claim is not None and now - claim.made_at > CLAIM_TTL_S:
            del self._claim_by_part[part]
            return None
        return claim

    def make(self, part: ids.PartKey, now: float) -> Claim:
        """Returns a new claim of this router.

        Args:
            part: The prompt part.
            now: The time, in seconds.
        """
        claim = Claim(self._source.randrange(MAX_RANK), now, is_own=True)
        self._claim_by_part[part] = claim
        return claim

    def add(self, part: ids.PartKey, rank: int, made_at: float, now: float) -> None:
        """Adds the claim of another router, unless a better one is known.

        Args:
            part: The prompt part.
            rank: The rank of the claim.
            made_at: When it was made, in seconds.
            now: The time, in seconds.
        """
        known = self.find(part, now)
        if known is None or rank < known.rank:
            self._claim_by_part[part] = Claim(rank, made_at, is_own=False)

    def forget(self, part: ids.PartKey) -> None:
        """Removes the claim to a part that was tried or is no longer quarantined."""
        self._claim_by_part.pop(part, None)
