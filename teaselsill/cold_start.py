"""Cold upstreams: when an upstream counts as cold, and what may be sent to it then.

An upstream that has just started, or that says so later, takes only so many requests a
second from all routers together and crashes far beyond that. What it takes is a limit
whose permits one router grants, like a limit that an upstream announces. What is known
of its state comes from several sources; the last word holds.
"""

import collections.abc
import dataclasses
import enum
import logging
import math

from teaselsill import announcements, ids

MAX_COLD_S = 120.0
"""A longer time is taken for an error: what states it counts as absent."""
MIN_PER_S = 0.01
"""A lower rate, in requests a second, is taken for an error."""
MAX_PER_S = 1e6
"""So is a higher one."""
PERMIT_TTL_S = 0.2
"""A permit to send to a cold upstream has to be used within this time."""
TRANSIT_S = 0.1
"""How long a permit is on its way to the router that uses it."""
BURST_S = 0.05
"""Permits of so much time are kept, in addition to one, in case a timer is late."""
MIN_RATE_RATIO = 0.25
"""The part of the rate that is used at least, whatever the operators allow."""
ENTRY_AGE_S = 0.5
"""An entry may have been written so long before it is read. Read within this time after
another source has spoken, it does not shorten what that source said."""
SMALL_CHANGE_S = 0.3
"""A cold time that changes by less is not reported to the other routers."""
RAMP_S = 1.5
"""How long an upstream's rate rises after it was cold, until it has no limit."""
DOUBLING_S = 0.5
"""How long the rate takes to double while it rises."""

logger = logging.getLogger(__name__)


class Source(enum.Enum):
    """What says that an upstream is cold, or that it is not."""

    ENTRY = "entry"
    """Its entry in the platform's list."""
    BIRTH = "birth"
    """It has just started; its entry says nothing."""
    RESPONSE = "response"
    """A response of its own."""
    RETURN = "return"
    """Its data centre takes requests again after an evacuation."""


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How the upstreams of a service start.

    Attributes:
        duration_s: How long one is cold after its start, in seconds.
        per_s: How many requests a second it takes meanwhile.
    """

    duration_s: float
    per_s: float


def make_policy(duration_s: object, per_s: object) -> Policy | None:
    """Returns the policy that a configuration names; None if it makes no sense.

    Args:
        duration_s: How long upstreams are cold, in seconds.
        per_s: How many requests a second they take.
    """
    if not (_is_number(duration_s) and 0 < duration_s <= MAX_COLD_S):
        return None
    if not (_is_number(per_s) and MIN_PER_S <= per_s <= MAX_PER_S):
        return None
    return Policy(float(duration_s), float(per_s))


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """How many requests the operators let a cold upstream get in any second.

    Attributes:
        overage: How many times the rate that it takes.
        slack: How many in addition.
    """

    overage: float = 1.0
    slack: float = 0.0

    def count(self, policy: Policy) -> float:
        """Returns the most requests in any second."""
        return self.overage * policy.per_s + self.slack


def find_rate(policy: Policy, allowance: Allowance) -> float:
    """Returns how many permits a second may be granted for a cold upstream.

    Permits that were granted for some time before a second may all be used in it,
    together with those of the second itself and those that were kept: so the rate is
    lower than what is allowed in a second, and never above what the upstream takes.
    """
    seconds = 1.0 + BURST_S + PERMIT_TTL_S + TRANSIT_S
    safe_per_s = (allowance.count(policy) - 1.0) / seconds
    return min(policy.per_s, max(MIN_RATE_RATIO * policy.per_s, safe_per_s))


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What one source says about an upstream.

    Attributes:
        until: Until when it is cold, in seconds; not later than `stated_at` if it is
            not cold.
        stated_at: When that was true, in seconds.
        source: What says so.
        since: Since when it is known to be cold, in seconds, if that is earlier.
    """

    until: float
    stated_at: float
    source: Source
    since: float = math.inf

    @property
    def is_cold(self) -> bool:
        """Whether it says that the upstream is cold."""
        return self.until > self.stated_at


class ColdState:
    """What is believed of one upstream: whether it is cold, and until when.

    Args:
        upstream: The upstream, for the log.

    Attributes:
        policy: How upstreams of its service start; None if they have no cold time.
        allowance: What the operators let a cold upstream get.
        statement: The last word; None if it was never said to be cold.
        since: Since when it is known to be cold, in seconds.
    """

    def __init__(self, upstream: ids.UpstreamId | None = None):
        self.policy: Policy | None = None
        self.allowance = Allowance()
        self.statement: Statement | None = None
        self.since = math.inf
        self._upstream = upstream
        self._over_at = -math.inf
        self._reported_until = -math.inf

    def is_limited(self, now: float) -> bool:
        """Returns whether the upstream is cold or was cold a short time ago."""
        return now < self._over_at and self.policy is not None

    def is_cold(self, now: float) -> bool:
        """Returns whether the upstream is cold."""
        return self.is_limited(now) and now < self.statement.until

    def find_limit(self, now: float) -> announcements.Limit | None:
        """Returns the limit on the requests of all routers; None if there is none.

        After the cold time it rises: all routers see an upstream without work.

        Args:
            now: The time, in seconds.
        """
        if not self.is_limited(now):
            return None
        per_s = find_rate(self.policy, self.allowance)
        warm_s = now - self.statement.until
        if warm_s > 0:
            per_s *= 2 ** (warm_s / DOUBLING_S)
        return announcements.Limit(per_s, self.since, is_strict=True)

    def note(
        self,
        statement: Statement,
        now: float,
        told_by: ids.InstanceId | None = None,
    ) -> bool:
        """Records what a source says.

        Args:
            statement: What it says.
            now: The time, in seconds.
            told_by: The router that has passed it on; None if it was learnt here.

        Returns:
            Whether the other routers should know.
        """
        if not self._is_last_word(statement, now):
            return False
        if told_by is None and self._may_be_old(statement, now):
            return False
        is_over = now >= self._over_at
        since = min(statement.since, statement.stated_at)
        self.since = since if is_over else min(since, self.since)
        self.statement = statement
        self._over_at = statement.until + RAMP_S
        is_small = abs(statement.until - self._reported_until) <= SMALL_CHANGE_S
        if self.policy is None or is_small:
            return False
        self._reported_until = statement.until
        self._log(statement, now, told_by)
        return True

    def note_birth(self, age_s: float, now: float) -> bool:
        """Records that the upstream has appeared while requests are served.

        Args:
            age_s: How long ago it started by its own account, in seconds. The times of
                day differ between machines, so that it may be negative.
            now: The time, in seconds.

        Returns:
            Whether the other routers should know.
        """
        if self.policy is None or age_s >= self.policy.duration_s:
            return False
        left_s = min(self.policy.duration_s, self.policy.duration_s - age_s)
        return self.note(Statement(now + left_s, now, Source.BIRTH), now)

    def note_return(self, at: float) -> None:
        """Records that its data centre takes requests again.

        Every router learns this by itself.

        Args:
            at: When the evacuation ended, in seconds.
        """
        if self.policy is None:
            return
        until = at + self.policy.duration_s
        self.note(Statement(until, at, Source.RETURN), at)

    def _is_last_word(self, statement: Statement, now: float) -> bool:
        """Returns whether a statement changes what is known."""
        known = self.statement
        if known is None or now >= known.until:
            is_newer = known is None or statement.stated_at >= known.stated_at
            return is_newer and statement.until > now
        return statement.stated_at >= known.stated_at

    def _may_be_old(self, statement: Statement, now: float) -> bool:
        """Returns whether an entry may be older than what another source has said.

        It may shorten that only if it surely was written later. A router that passes
        an entry on has looked at this itself.
        """
        known = self.statement
        if known is None or known.source is Source.ENTRY or now >= known.until:
            return False
        is_shorter = statement.until < known.until
        is_early = statement.stated_at < known.stated_at + ENTRY_AGE_S
        return statement.source is Source.ENTRY and is_shorter and is_early

    def _log(
        self, statement: Statement, now: float, told_by: ids.InstanceId | None
    ) -> None:
        logger.info(
            "upstream is cold" if statement.is_cold else "upstream is no longer cold",
            extra={
                "upstream": self._upstream,
                "source": statement.source.value,
                "left_s": round(max(0.0, statement.until - now), 3),
                "age_s": round(now - statement.stated_at, 3),
                "told_by": told_by,
            },
        )


class ColdStates:
    """What is believed of all upstreams, by incarnation.

    Attributes:
        on_change: Called with an upstream of which the other routers should know.
    """

    def __init__(self):
        self.on_change: collections.abc.Callable[[ids.UpstreamId], None] = (
            lambda upstream: None
        )
        self._state_by_key: dict = {}

    def knows(self, key) -> bool:
        """Returns whether anything has been said of an incarnation of an upstream."""
        return key in self._state_by_key

    def find(self, key) -> ColdState:
        """Returns the state of an incarnation of an upstream."""
        state = self._state_by_key.get(key)
        if state is None:
            state = self._state_by_key[key] = ColdState(key.upstream)
        return state

    def keep_only(self, keys: set) -> None:
        """Drops the state of all other incarnations."""
        for key in self._state_by_key.keys() - keys:
            del self._state_by_key[key]


def make_entry_statement(
    cold_left_s: float, age_s: float | None, now: float
) -> Statement | None:
    """Returns what an entry says; None if it says nothing that can be relied on.

    An entry of a listing may be of any age, so it can only say that an upstream is
    cold. One that was read as it came is the upstream's last word.

    Args:
        cold_left_s: How long the upstream is cold, by its entry, in seconds.
        age_s: How long ago the entry was read, in seconds; None for a listing.
        now: The time, in seconds.
    """
    if not 0 <= cold_left_s <= MAX_COLD_S:
        return None
    if age_s is None and not cold_left_s:
        return None
    read_at = now - (age_s or 0.0)
    return Statement(read_at + cold_left_s, read_at, Source.ENTRY)


def _is_number(value: object) -> bool:
    is_real = isinstance(value, int | float) and not isinstance(value, bool)
    return is_real and math.isfinite(value)
