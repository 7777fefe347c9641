"""The policies that choose which client account a free slot goes to."""

import abc
import collections.abc
import dataclasses
import random
import typing

from teaselsill import counters, ids, registry

AGENTS_PER_REQUEST = 10
"""`Spread` widens its choice by one expected request for each so many agents."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A client account that waits for a slot at one agent.

    Attributes:
        account: The client account.
        oldest_ms: How long its oldest request has waited, in milliseconds.
        expected_cost: What its next request is expected to cost, normalised.
        is_preferred: Whether the slot suits it, such as by a cached prefix.
    """

    account: ids.AccountId
    oldest_ms: int
    expected_cost: float
    is_preferred: bool = False


Candidates = collections.abc.Sequence[Candidate]


class Policy(abc.ABC):
    """Chooses among client accounts.

    Args:
        source: The random numbers to use.
    """

    def __init__(self, source: random.Random | None = None):
        self._random = source or random.Random()

    @abc.abstractmethod
    def choose(self, candidates: Candidates, known: counters.Counters) -> Candidate:
        """Returns one of the candidates, of which there is at least one.

        Args:
            candidates: The client accounts that wait.
            known: The counters of the service.
        """

    def add_served(self, account: ids.AccountId, normalised: float) -> None:
        """Learns of service that this agent has metered."""


@registry.register(registry.Kind.POLICY, "least-service")
class LeastService(Policy):
    """Takes the client account with the least estimated service."""

    def choose(self, candidates: Candidates, known: counters.Counters) -> Candidate:
        """See `Policy.choose`."""
        return min(candidates, key=lambda c: _rank(c, known.estimate(c.account)))


@registry.register(registry.Kind.POLICY, "spread")
class Spread(Policy):
    """Takes any client account within some expected requests of the least.

    Between two digests all agents see the same least-served client account. The
    random choice keeps them from serving it all at once. The more agents there are,
    the wider the choice.
    """

    def choose(self, candidates: Candidates, known: counters.Counters) -> Candidate:
        """See `Policy.choose`."""
        estimate_by_account = {c.account: known.estimate(c.account) for c in candidates}
        least = min(candidates, key=lambda c: estimate_by_account[c.account])
        requests = max(1.0, known.agents / AGENTS_PER_REQUEST)
        limit = estimate_by_account[least.account] + requests * least.expected_cost
        near = [c for c in candidates if estimate_by_account[c.account] <= limit]
        preferring = [c for c in near if c.is_preferred]
        return self._random.choice(preferring or near)


@registry.register(registry.Kind.POLICY, "random")
class RandomOrder(Policy):
    """Takes any client account: a baseline."""

    def choose(self, candidates: Candidates, known: counters.Counters) -> Candidate:
        """See `Policy.choose`."""
        return self._random.choice(candidates)


@registry.register(registry.Kind.POLICY, "first-come")
class FirstCome(Policy):
    """Takes the client account whose request has waited longest: a baseline."""

    def choose(self, candidates: Candidates, known: counters.Counters) -> Candidate:
        """See `Policy.choose`."""
        return max(candidates, key=lambda c: c.oldest_ms)


@registry.register(registry.Kind.POLICY, "round-robin")
class RoundRobin(Policy):
    """Takes the client accounts in turn, whatever they cost: a baseline."""

    def __init__(self, source: random.Random | None = None):
        super().__init__(source)
        self._turn = 0
        self._turn_by_account: dict[ids.AccountId, int] = {}

    def choose(self, candidates: Candidates, known: counters.Counters) -> Candidate:
        """See `Policy.choose`."""
        chosen = min(candidates, key=lambda c: self._turn_by_account.get(c.account, 0))
        self._turn += 1
        self._turn_by_account[chosen.account] = self._turn
        return chosen


@registry.register(registry.Kind.POLICY, "local-counters")
class LocalCounters(Policy):
    """Takes the client account that this agent has served least: a baseline.

    It keeps counters of its own, which no digest reaches.
    """

    def __init__(self, source: random.Random | None = None):
        super().__init__(source)
        self._served_by_account: dict[ids.AccountId, float] = {}

    def choose(self, candidates: Candidates, known: counters.Counters) -> Candidate:
        """See `Policy.choose`."""
        served = self._served_by_account
        present = [served[c.account] for c in candidates if c.account in served]
        level = min(present, default=0.0)
        for candidate in candidates:
            served.setdefault(candidate.account, level)
        return min(
            candidates,
            key=lambda c: _rank(c, served[c.account] + known.reserved(c.account)),
        )

    def add_served(self, account: ids.AccountId, normalised: float) -> None:
        """See `Policy.add_served`."""
        served = self._served_by_account
        served[account] = served.get(account, 0.0) + normalised


def _rank(candidate: Candidate, service: float) -> tuple[typing.Any, ...]:
    return service, not candidate.is_preferred, -candidate.oldest_ms
