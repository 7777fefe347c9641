"""Scheduling policies: choose the client account that gets a free slot."""

import abc
import collections.abc
import dataclasses
import random
import typing

from teaselsill import counters, ids, registry

AGENTS_PER_REQUEST = 10
"""`Spread` widens its choice by one expected request per this many agents."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A client account that waits for a slot at one agent.

    Attributes:
        account: The client account.
        oldest_ms: How long its oldest request has waited, in milliseconds.
        expected_cost: The normalised expected cost of its next request.
        is_preferred: Whether the slot suits it, for example by a cached prefix.
    """

    account: ids.AccountId
    oldest_ms: int
    expected_cost: float
    is_preferred: bool = False


Candidates = collections.abc.Sequence[Candidate]


class Policy(abc.ABC):
    """Chooses among the client accounts that wait at one agent.

    Args:
        source: The source of random numbers.
    """

    def __init__(self, source: random.Random | None = None):
        self._random = source or random.Random()

    @abc.abstractmethod
    def choose(
        self, candidates: Candidates, service_counters: counters.Counters
    ) -> Candidate:
        """Returns one of the candidates.

        Args:
            candidates: The client accounts that wait, at least one.
            service_counters: The counters of the service.
        """

    def add_served(self, account: ids.AccountId, normalised: float) -> None:
        """Adds service that this agent has metered."""


@registry.register(registry.Kind.POLICY, "least-service")
class LeastService(Policy):
    """Chooses the client account with the least estimated service."""

    def choose(
        self, candidates: Candidates, service_counters: counters.Counters
    ) -> Candidate:
        """See `Policy.choose`."""
        return min(
            candidates, key=lambda c: _rank(c, service_counters.estimate(c.account))
        )


@registry.register(registry.Kind.POLICY, "spread")
class Spread(Policy):
    """Chooses randomly among client accounts within some requests of the least.

    Between two digests all agents see the same least-served client account. The
    random choice keeps them from all serving it at once. The choice widens with the
    number of agents.
    """

    def choose(
        self, candidates: Candidates, service_counters: counters.Counters
    ) -> Candidate:
        """See `Policy.choose`."""
        estimate_by_account = {
            c.account: service_counters.estimate(c.account) for c in candidates
        }
        least = min(candidates, key=lambda c: estimate_by_account[c.account])
        requests = max(1.0, service_counters.agents / AGENTS_PER_REQUEST)
        limit = estimate_by_account[least.account] + requests * least.expected_cost
        near = [c for c in candidates if estimate_by_account[c.account] <= limit]
        preferred = [c for c in near if c.is_preferred]
        return self._random.choice(preferred or near)


@registry.register(registry.Kind.POLICY, "random")
class RandomOrder(Policy):
    """Chooses a random client account; a baseline for comparison."""

    def choose(
        self, candidates: Candidates, service_counters: counters.Counters
    ) -> Candidate:
        """See `Policy.choose`."""
        return self._random.choice(candidates)


@registry.register(registry.Kind.POLICY, "first-come")
class FirstCome(Policy):
    """Chooses the account whose request waited longest; a baseline for comparison."""

    def choose(
        self, candidates: Candidates, service_counters: counters.Counters
    ) -> Candidate:
        """See `Policy.choose`."""
        return max(candidates, key=lambda c: c.oldest_ms)


@registry.register(registry.Kind.POLICY, "round-robin")
class RoundRobin(Policy):
    """Chooses client accounts in turn, whatever they cost; a baseline."""

    def __init__(self, source: random.Random | None = None):
        super().__init__(source)
        self._turn = 0
        self._turn_by_account: dict[ids.AccountId, int] = {}

    def choose(
        self, candidates: Candidates, service_counters: counters.Counters
    ) -> Candidate:
        """See `Policy.choose`."""
        chosen = min(candidates, key=lambda c: self._turn_by_account.get(c.account, 0))
        self._turn += 1
        self._turn_by_account[chosen.account] = self._turn
        return chosen


@registry.register(registry.Kind.POLICY, "local-counters")
class LocalCounters(Policy):
    """Chooses the client account that this agent has served least; a baseline.

    It keeps its own counters, which no digest updates.
    """

    def __init__(self, source: random.Random | None = None):
        super().__init__(source)
        self._served_by_account: dict[ids.AccountId, float] = {}

    def choose(
        self, candidates: Candidates, service_counters: counters.Counters
    ) -> Candidate:
        """See `Policy.choose`."""
        served = self._served_by_account
        present = [served[c.account] for c in candidates if c.account in served]
        level = min(present, default=0.0)
        for candidate in candidates:
            served.setdefault(candidate.account, level)
        return min(
            candidates,
            key=lambda c: _rank(
                c, served[c.account] + service_counters.reserved(c.account)
            ),
        )

    def add_served(self, account: ids.AccountId, normalised: float) -> None:
        """See `Policy.add_served`."""
        served = self._served_by_account
        served[account] = served.get(account, 0.0) + normalised


def _rank(candidate: Candidate, service: float) -> tuple[typing.Any, ...]:
    return service, not candidate.is_preferred, -candidate.oldest_ms
