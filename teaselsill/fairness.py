"""Measures the fairness gap and checks it against its bound."""

import collections.abc
import dataclasses
import itertools
import typing

from teaselsill import errors, ids


class GapExceededError(errors.InvariantError):
    """The fairness gap is greater than its bound.

    Attributes:
        gap: The measured gap, in normalised cost.
        bound: The bound, in normalised cost.
    """

    def __init__(self, gap: float, bound: float):
        super().__init__(f"the fairness gap {gap:.0f} exceeds its bound {bound:.0f}")
        self.gap = gap
        self.bound = bound


@dataclasses.dataclass(frozen=True, slots=True)
class BoundInputs:
    """The quantities that determine the bound of the fairness gap.

    Attributes:
        in_flight: The maximum number of requests of one client account that run at
            once in the fleet.
        largest_cost: The greatest normalised cost of one request, metered or
            expected.
        digest_age_s: The maximum age of the counters that an agent schedules by.
        rate: The maximum normalised cost per second that one client account can be
            served by the fleet.
    """

    in_flight: int
    largest_cost: float
    digest_age_s: float
    rate: float


def gap_bound(inputs: BoundInputs) -> float:
    """Returns the bound of the fairness gap, in normalised cost.

    An agent grants a slot to the client account with the lowest estimate. An estimate
    lacks at most what other agents served since the digest, and running requests can
    cost more than expected. One client account can get ahead of another by the sum of
    both errors, and then the other by as much, hence the factor of two.
    """
    ahead = inputs.in_flight * inputs.largest_cost + inputs.digest_age_s * inputs.rate
    return 2 * ahead


def digest_age_s(depth: int, period_s: float, hop_s: float) -> float:
    """Returns the greatest age of a counter at the leaves of the aggregation tree.

    A digest is used for one period, and a report that arrives late waits for another.

    Args:
        depth: The number of links between the root and the deepest agent.
        period_s: The period of the reports and of the digests.
        hop_s: How much earlier than its parent a node reports.
    """
    return 2 * period_s + depth * hop_s


def check_gap(gap: float, inputs: BoundInputs) -> None:
    """Checks the gap against its bound.

    Raises:
        GapExceededError: The gap exceeds the bound.
    """
    bound = gap_bound(inputs)
    if gap > bound:
        raise GapExceededError(gap, bound)


@dataclasses.dataclass(slots=True)
class _Range:
    """The range of the service difference of a pair of client accounts."""

    lowest: float
    highest: float

    def extend(self, value: float) -> float:
        """Extends the range to a value and returns its width."""
        self.lowest = min(self.lowest, value)
        self.highest = max(self.highest, value)
        return self.highest - self.lowest


Pair = tuple[ids.AccountId, ids.AccountId]


class GapMeter:
    """Measures the greatest service difference between client accounts that both wait.

    Two client accounts are compared over consecutive samples in which both wait for
    the same upstreams. The gap of a pair is the greatest difference between the
    service of the two over any part of that time.

    Args:
        comparison_key: Returns a key for the upstreams that a client account may
            reach. Only client accounts with the same key are compared.

    Attributes:
        current: The greatest gap of the pairs that wait now.
        greatest: The greatest gap so far.
        largest_step: The greatest service of one client account between two
            consecutive samples since the last restart. It is large after an agent
            was interrupted.
    """

    def __init__(
        self,
        comparison_key: typing.Callable[
            [ids.AccountId], collections.abc.Hashable
        ] = lambda account: None,
    ):
        self._comparison_key = comparison_key
        self._range_by_pair: dict[Pair, _Range] = {}
        self._last_by_account: dict[ids.AccountId, float] = {}
        self.current = 0.0
        self.greatest = 0.0
        self.largest_step = 0.0

    def sample(
        self,
        service_by_account: collections.abc.Mapping[ids.AccountId, float],
        backlogged: collections.abc.Iterable[ids.AccountId],
    ) -> None:
        """Adds a sample of the normalised service of the client accounts that wait.

        Args:
            service_by_account: The total normalised service, which never decreases.
            backlogged: The client accounts that have waited since the last sample.
        """
        backlogged = sorted(backlogged)
        self._update_largest_step(service_by_account, backlogged)
        range_by_pair = {}
        self.current = 0.0
        for pair in itertools.combinations(backlogged, 2):
            first, second = pair
            if self._comparison_key(first) != self._comparison_key(second):
                continue
            ahead = service_by_account.get(first, 0) - service_by_account.get(second, 0)
            pair_range = self._range_by_pair.get(pair) or _Range(ahead, ahead)
            range_by_pair[pair] = pair_range
            self.current = max(self.current, pair_range.extend(ahead))
        self._range_by_pair = range_by_pair
        self.greatest = max(self.greatest, self.current)

    def restart(self) -> None:
        """Restarts all comparisons, for example after two roots have merged."""
        self._range_by_pair.clear()
        self._last_by_account.clear()
        self.current = 0.0
        self.largest_step = 0.0

    def _update_largest_step(self, service_by_account, backlogged) -> None:
        """Updates the greatest service of one client account between two samples."""
        last_by_account = self._last_by_account
        self._last_by_account = {
            account: service_by_account.get(account, 0) for account in backlogged
        }
        for account, service in self._last_by_account.items():
            step = service - last_by_account.get(account, service)
            self.largest_step = max(self.largest_step, step)
