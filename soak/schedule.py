"""The schedule of failures, which depends on the seed and the duration only."""

import dataclasses
import enum
import random

MIN_DURATION_S = 0.5
MAX_DURATION_S = 8.0
MAX_OFFSET_S = 1.0
SETTLE_S = 3.0
"""How long a step lasts after its last failure has ended."""
PAIR_PROBABILITY = 0.4
"""The probability that a step has two failures."""


class FailureKind(enum.Enum):
    """The kinds of failures."""

    ROUTER_KILLED = "router-killed"
    AGENT_KILLED = "agent-killed"
    ROUTER_FROZEN = "router-frozen"
    AGENT_FROZEN = "agent-frozen"
    AGENT_REPLACED = "frozen-agent-replaced"
    ROUTER_STOPPED = "router-stopped"
    AGENT_STOPPED = "agent-stopped"
    LOG_DOWN = "log-down"
    LOG_SLOW = "log-slow"
    LOG_REPLIES_LOST = "log-replies-lost"
    LIST_DOWN = "list-down"
    LIST_LAGS = "list-lags"
    UPSTREAM_STALLS = "upstream-stalls"
    UPSTREAM_DROPS = "upstream-drops-connections"
    UPSTREAM_REFUSES = "upstream-refuses"
    LINKS_CUT = "links-cut"
    LINKS_SILENT = "links-silent"
    OPERATORS_RACE = "operators-race"
    UPSTREAM_LEAVES = "upstream-leaves"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """One failure.

    Attributes:
        kind: What fails.
        target: A number that selects one of the processes that the failure may affect.
        offset_s: When it begins, in seconds after the start of its step.
        duration_s: How long it lasts, in seconds.
    """

    kind: FailureKind
    target: int
    offset_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Failures that are injected together.

    Attributes:
        at_s: When the step begins, in seconds after the start of the run.
        failures: One failure or two.
    """

    at_s: float
    failures: tuple[Failure, ...]

    @property
    def duration_s(self) -> float:
        """How long the step lasts, including the time to settle."""
        ends = [failure.offset_s + failure.duration_s for failure in self.failures]
        return max(ends) + SETTLE_S


def make(seed: int, duration_s: float) -> list[Step]:
    """Returns the steps of a run.

    No kind of failure is repeated before every kind has been used.
    """
    source = random.Random(seed)
    steps: list[Step] = []
    remaining: list[FailureKind] = []
    at_s = SETTLE_S
    while at_s < duration_s:
        count = 2 if source.random() < PAIR_PROBABILITY else 1
        failures = tuple(_draw_failure(source, remaining) for _ in range(count))
        steps.append(Step(round(at_s, 2), failures))
        at_s += steps[-1].duration_s
    return steps


def _draw_failure(source: random.Random, remaining: list[FailureKind]) -> Failure:
    if not remaining:
        remaining.extend(source.sample(list(FailureKind), len(FailureKind)))
    return Failure(
        kind=remaining.pop(),
        target=source.randrange(1000),
        offset_s=round(source.uniform(0, MAX_OFFSET_S), 2),
        duration_s=round(source.uniform(MIN_DURATION_S, MAX_DURATION_S), 2),
    )
