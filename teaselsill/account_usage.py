"""How much of the engines each client account uses, and what its fair share is."""

import dataclasses
import math

from teaselsill import decaying_sum, ids

DECAY_S = 3.0
"""Use that lies so far back counts e times less."""
RECENT_S = 0.1
"""How long computed figures are used again."""
LEAST_KNOWN_S = 0.5
"""Use that has been known for less is compared as if it were for so long."""
LEAST_TOKENS = 1.0
TRIES = 2
"""How often a caller tries: what was rejected comes back and is asked for again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """What a client account has, as far as this router knows.

    Attributes:
        requested_tokens_per_s: The cost of its requests of late, in tokens a second.
        admitted_tokens_per_s: The same of those that were sent to an engine.
        ratio: What it has been given, relative to its max-min share.
    """

    requested_tokens_per_s: float
    admitted_tokens_per_s: float
    ratio: float


class AccountUsage:
    """The use of all client accounts, as reported by all routers.

    Attributes:
        capacity: What is shared out in the time that counts, in tokens. While less than
            this is asked for, nobody has more than its share. 0 if it is unknown: then
            what has been admitted is shared out.
        engine_capacity: How many prompt tokens engines can read in that time.
    """

    def __init__(self):
        self.capacity = 0.0
        self.engine_capacity = 0.0
        self._asked_by_account: dict[ids.AccountId, decaying_sum.DecayingSum] = {}
        self._admitted_by_account: dict[ids.AccountId, decaying_sum.DecayingSum] = {}
        self._level = math.inf
        self._given = decaying_sum.DecayingSum(DECAY_S)
        self._even_part = math.inf
        self._excess = 0.0
        self._known_since = -math.inf
        self._refreshed_at = -math.inf

    def start_tracking(self, now: float) -> None:
        """Takes note that use is known from now on, in seconds, if it was not before.

        What is known for a shorter time than counts is compared with what engines can
        do in that time. Otherwise each account seems to have little of its share.
        """
        if math.isinf(self._known_since):
            self._known_since = now

    def add(
        self, account: ids.AccountId, asked: float, admitted: float, now: float
    ) -> None:
        """Takes note of requests.

        Args:
            account: The client account.
            asked: The cost of its requests, in tokens.
            admitted: The cost of those that were sent to an engine, in tokens.
            now: The time, in seconds.
        """
        _add(self._asked_by_account, account, asked, now)
        _add(self._admitted_by_account, account, admitted, now)
        self._given.add(admitted, now)

    def find_share_ratio(self, account: ids.AccountId, now: float) -> float:
        """Returns what an account has been given, relative to its max-min share.

        Above 1 it has more than its share, and other accounts want more than theirs.
        """
        self._refresh(now)
        return self._read_admitted(account, now) / self._level

    def find_even_share_ratio(self, account: ids.AccountId, now: float) -> float:
        """Returns what an account has been given, relative to an even share of all.

        All is what has been given to any account, whatever the capacity is. 0 if
        nobody wants more than it has.
        """
        self._refresh(now)
        even_share = self._even_part * max(LEAST_TOKENS, self._given.read(now))
        return self._read_admitted(account, now) / even_share

    def find_overload_ratio(self, now: float) -> float:
        """Returns how much more is asked for than engines can do, relative to that."""
        self._refresh(now)
        return self._excess

    def list_shares(self, now: float) -> dict[ids.AccountId, Share]:
        """Returns what each client account has that has asked for anything."""
        return {
            account: Share(
                asked.read_rate(now),
                self._read_admitted(account, now) / DECAY_S,
                self.find_share_ratio(account, now),
            )
            for account, asked in self._asked_by_account.items()
        }

    def _read_admitted(self, account: ids.AccountId, now: float) -> float:
        admitted = self._admitted_by_account.get(account)
        return admitted.read(now) if admitted is not None else 0.0

    def _refresh(self, now: float) -> None:
        if now - self._refreshed_at <= RECENT_S:
            return
        self._refreshed_at = now
        asked = [d.read(now) for d in self._asked_by_account.values()]
        given = self._given.read(now)
        even_share = max(LEAST_TOKENS, find_max_min_level(asked, given))
        # As a part, since what is given changes until this is computed again.
        self._even_part = even_share / max(LEAST_TOKENS, given)
        known_part = self._find_known_part(now)
        stated = known_part * self.capacity or given
        self._level = max(LEAST_TOKENS, find_max_min_level(asked, stated))
        possible = max(given, known_part * self.engine_capacity, LEAST_TOKENS)
        wanted = given + (sum(asked) - given) / TRIES
        self._excess = max(0.0, wanted / possible - 1.0)

    def _find_known_part(self, now: float) -> float:
        """Returns what the sums hold of the time that counts, from 0 to 1."""
        known_s = max(LEAST_KNOWN_S, now - self._known_since)
        return 1.0 - math.exp(-known_s / DECAY_S)


def find_max_min_level(demands: list[float], capacity: float) -> float:
    """Returns the largest share that no demand needs to exceed.

    With it, the demands cut off at the level add up to the capacity. If all of them
    together are smaller, there is no such level, and infinity is returned.
    """
    left = capacity
    waiting = sorted(demands)
    for place, demand in enumerate(waiting):
        level = left / (len(waiting) - place)
        if demand >= level:
            return level
        left -= demand
    return math.inf


def _add(sum_by_account, account: ids.AccountId, amount: float, now: float) -> None:
    known = sum_by_account.get(account)
    if known is None:
        known = sum_by_account[account] = decaying_sum.DecayingSum(DECAY_S)
    known.add(amount, now)
