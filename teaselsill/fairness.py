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
    """What the bound of the fairness gap depends on.

    Attributes:
        in_flight: The most requests of one client account that run at once in the
            fleet.
        largest_cost: The greatest cost of one request, metered or expected,
            normalised.
        digest_age_s: How old a counter can be when an agent chooses by it.
        rate: The normalised cost per second that the fleet can give one client
            account.
    """

    in_flight: int
    largest_cost: float
    digest_age_s: float
    rate: float


def gap_bound(load: BoundInputs) -> float:
    """Returns the bound of the fairness gap, in normalised cost.

    An agent gives a slot to the client account of the least estimate. An estimate
    lacks at most what other agents have served since the digest, and the running
    requests can cost more than expected. So a client account can get ahead of
    another by both together, and the other by as much.
    """
    ahead = load.in_flight * load.largest_cost + load.digest_age_s * load.rate
    return 2 * ahead


def digest_age_s(depth: int, period_s: float, hop_s: float) -> float:
    """Returns the greatest age of a counter at the leaves of the digest tree.

    A digest is used for a period, and a report that comes late waits for another.

    Args:
        depth: How many links lie between the root and the deepest agent.
        period_s: How often each node reports, and the root settles.
        hop_s: How much earlier than its parent a node reports.
    """
    return 2 * period_s + depth * hop_s


def check_gap(gap: float, load: BoundInputs) -> None:
    """Checks the gap against its bound.

    Raises:
        GapExceededError: The gap is greater.
    """
    bound = gap_bound(load)
    if gap > bound:
        raise GapExceededError(gap, bound)


@dataclasses.dataclass(slots=True)
class _Range:
    lowest: float
    highest: float

    def extend(self, value: float) -> float:
        self.lowest = min(self.lowest, value)
        self.highest = max(self.highest, value)
        return self.highest - self.lowest


Pair = tuple[ids.AccountId, ids.AccountId]


class GapMeter:
    """Finds the greatest service difference between client accounts that both wait.

    Two client accounts are compared while both wait for the same upstreams, from the
    sample in which both do to the last one. The gap of a pair is the greatest
    difference between the service of the two over any part of that time.

    Args:
        comparison_key: Returns a key for the upstreams that a client account may
            reach. Only client accounts with the same key are compared.

    Attributes:
        current: The gap of the pairs that wait now.
        greatest: The greatest gap so far.
        largest_step: The most that one client account was served between two samples
            since the last restart. It is large after an agent was paused.
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
        """Takes the normalised service so far of the client accounts that wait.

        Args:
            service_by_account: Normalised service, which never falls.
            backlogged: The client accounts that have waited since the last sample.
        """
        backlogged = sorted(backlogged)
        self._note_steps(service_by_account, backlogged)
        range_by_pair = {}
        self.current = 0.0
        for pair in itertools.combinations(backlogged, 2):
            first, second = pair
            if self._comparison_key(first) != self._comparison_key(second):
                continue
            ahead = service_by_account.get(first, 0) - service_by_account.get(second, 0)
            known = self._range_by_pair.get(pair) or _Range(ahead, ahead)
            range_by_pair[pair] = known
            self.current = max(self.current, known.extend(ahead))
        self._range_by_pair = range_by_pair
        self.greatest = max(self.greatest, self.current)

    def restart(self) -> None:
        """Starts all comparisons again, such as when two roots have merged."""
        self._range_by_pair.clear()
        self._last_by_account.clear()
        self.current = 0.0
        self.largest_step = 0.0

    def _note_steps(self, service_by_account, backlogged) -> None:
        """Notes the most that one client account was served between two samples."""
        last_by_account = self._last_by_account
        self._last_by_account = {
            account: service_by_account.get(account, 0) for account in backlogged
        }
        for account, service in self._last_by_account.items():
            step = service - last_by_account.get(account, service)
            self.largest_step = max(self.largest_step, step)
