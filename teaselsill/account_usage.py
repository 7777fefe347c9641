"""Recent engine usage and max-min fair share of each client account."""

import dataclasses
import math

from teaselsill import decaying_sum, ids

DECAY_S = 3.0
"""Time constant of the decaying sums: usage of this age has a weight of 1/e."""
REFRESH_S = 0.1
"""How long computed shares are reused."""
MIN_KNOWN_S = 0.5
"""Usage known for a shorter time is treated as if it had been known for this long."""
MIN_TOKENS = 1.0
TRIES = 2
"""How often a caller tries: a rejected request comes back and is counted again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The usage of one client account, as far as this router knows.

    Attributes:
        requested_tokens_per_s: The cost of its recent requests, in tokens a second.
        admitted_tokens_per_s: The cost of those that were sent to an engine.
        ratio: Its admitted tokens, relative to its max-min fair share.
    """

    requested_tokens_per_s: float
    admitted_tokens_per_s: float
    ratio: float


class AccountUsage:
    """The usage of all client accounts, as reported by all routers.

    Attributes:
        capacity: The tokens to be shared out during one decay time. While less than
            this is requested, no account exceeds its share. 0 if it is unknown: then
            the admitted tokens are shared out instead.
        engine_capacity: How many prompt tokens the engines can prefill in that time.
    """

    def __init__(self):
        self.capacity = 0.0
        self.engine_capacity = 0.0
        self._requested_by_account: dict[ids.AccountId, decaying_sum.DecayingSum] = {}
        self._admitted_by_account: dict[ids.AccountId, decaying_sum.DecayingSum] = {}
        self._level = math.inf
        self._total_admitted = decaying_sum.DecayingSum(DECAY_S)
        self._even_part = math.inf
        self._overload_ratio = 0.0
        self._known_since = -math.inf
        self._refreshed_at = -math.inf

    def start_tracking(self, now: float) -> None:
        """Sets the time since when usage is known, in seconds, unless it is set.

        While usage is known for less than the decay time, it is compared with what the
        engines can do in the known time. Otherwise each account would seem to have used
        little of its share.
        """
        if math.isinf(self._known_since):
            self._known_since = now

    def add(
        self, account: ids.AccountId, requested: float, admitted: float, now: float
    ) -> None:
        """Records requests of an account.

        Args:
            account: The client account.
            requested: The cost of its requests, in tokens.
            admitted: The cost of those that were sent to an engine, in tokens.
            now: The time, in seconds.
        """
        _add(self._requested_by_account, account, requested, now)
        _add(self._admitted_by_account, account, admitted, now)
        self._total_admitted.add(admitted, now)

    def find_share_ratio(self, account: ids.AccountId, now: float) -> float:
        """Returns an account's admitted tokens, relative to its max-min fair share.

        Above 1 the account exceeds its share while others want more than theirs.
        """
        self._refresh(now)
        return self._read_admitted(account, now) / self._level

    def find_even_share_ratio(self, account: ids.AccountId, now: float) -> float:
        """Returns an account's admitted tokens, relative to an even share.

        The even share is the max-min fair share of the tokens admitted for all
        accounts, whatever the capacity is. The result is 0 if every account gets all
        that it requests.
        """
        self._refresh(now)
        even_share = self._even_part * max(MIN_TOKENS, self._total_admitted.read(now))
        return self._read_admitted(account, now) / even_share

    def find_overload_ratio(self, now: float) -> float:
        """Returns the demand beyond the engines' capacity, relative to it."""
        self._refresh(now)
        return self._overload_ratio

    def list_shares(self, now: float) -> dict[ids.AccountId, Share]:
        """Returns the usage of each client account that has sent requests."""
        return {
            account: Share(
                requested.read_rate(now),
                self._read_admitted(account, now) / DECAY_S,
                self.find_share_ratio(account, now),
            )
            for account, requested in self._requested_by_account.items()
        }

    def _read_admitted(self, account: ids.AccountId, now: float) -> float:
        admitted = self._admitted_by_account.get(account)
        return admitted.read(now) if admitted is not None else 0.0

    def _refresh(self, now: float) -> None:
        if now - self._refreshed_at <= REFRESH_S:
            return
        self._refreshed_at = now
        requested = [d.read(now) for d in self._requested_by_account.values()]
        admitted = self._total_admitted.read(now)
        even_share = max(MIN_TOKENS, find_max_min_level(requested, admitted))
        # Stored as a part of the total, which changes until the next refresh.
        self._even_part = even_share / max(MIN_TOKENS, admitted)
        known_part = self._find_known_part(now)
        capacity = known_part * self.capacity or admitted
        self._level = max(MIN_TOKENS, find_max_min_level(requested, capacity))
        possible = max(admitted, known_part * self.engine_capacity, MIN_TOKENS)
        # Rejected requests come back, so what was not admitted is counted TRIES times.
        wanted = admitted + (sum(requested) - admitted) / TRIES
        self._overload_ratio = max(0.0, wanted / possible - 1.0)

    def _find_known_part(self, now: float) -> float:
        """Returns which part of the decay time the sums cover, from 0 to 1."""
        known_s = max(MIN_KNOWN_S, now - self._known_since)
        return 1.0 - math.exp(-known_s / DECAY_S)


def find_max_min_level(demands: list[float], capacity: float) -> float:
    """Returns the level of max-min fairness: the largest share any demand can get.

    The demands, each capped at the level, add up to the capacity. If the total demand
    is below the capacity, no cap is needed and infinity is returned.
    """
    left = capacity
    ascending = sorted(demands)
    for index, demand in enumerate(ascending):
        level = left / (len(ascending) - index)
        if demand >= level:
            return level
        left -= demand
    return math.inf


def _add(sum_by_account, account: ids.AccountId, amount: float, now: float) -> None:
    known = sum_by_account.get(account)
    if known is None:
        known = sum_by_account[account] = decaying_sum.DecayingSum(DECAY_S)
    known.add(amount, now)
