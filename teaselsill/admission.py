"""Decides whether a request is sent to the chosen engine or rejected at once."""

import dataclasses
import random

from teaselsill import (
    account_usage,
    caller_retries,
    calls,
    ids,
    placement,
    rejections,
    routing_table,
)

MAX_WAIT_RATIO = 0.6
"""The part of the objective that a prompt may wait before it is read."""
IDLE_RATIO = 0.1
"""The same while an engine has time that nobody within its share would use."""
DEFAULT_OBJECTIVE_S = 1.0
FAIR_RATIO = 1.0
FULL_WAIT_RATIO = 0.85
"""Up to this ratio of its fair share an account may wait as long as any."""
SHARE_EXPONENT = 4.0
"""How fast the wait that is allowed falls beyond that in a severe overload."""
EVENNESS_EXPONENT = 5.0
"""How fast it falls with what an account has beyond an even share of all that is given,
and grows with what it has less."""
LEAST_GIVEN_RATIO = 0.1
"""With less, an account may wait as long as any in any case."""
MILD_EXCESS = 0.05
"""What is asked for beyond what engines can do, relative to it, in a mere burst."""
SEVERE_EXCESS = 0.4
"""The same beyond that in a severe overload."""
YIELDING_SEVERITY = 0.5
"""In a severer overload, what is late already yields to what can be served in time."""
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """What a decision rests on.

    Attributes:
        wait_s: How long the prompt would wait, in seconds.
        limit_s: How long it may wait, in seconds.
        share_ratio: What the client account has, relative to its fair share.
        given_ratio: The same relative to an even share of all that has been given.
        severity: How severe the overload is, from 0 to 1.
        age_s: How long ago it was first asked for and rejected, in seconds; 0 if it is
            a new one.
        is_late: Whether the request cannot be answered in time any more, since it was
            rejected before.
    """

    wait_s: float
    limit_s: float
    share_ratio: float
    given_ratio: float
    severity: float
    age_s: float
    is_late: bool

    @property
    def is_admissible(self) -> bool:
        """Whether the request should be sent.

        An account beyond its share has more requests than can be served. Those that
        come back late would take the place of new ones that can be served in time.
        """
        is_over = self.share_ratio > FAIR_RATIO
        if self.is_late and is_over and self.severity > YIELDING_SEVERITY:
            return False
        return self.wait_s <= self.limit_s


class Admission:
    """Keeps the wait at the engines short, and shared fairly.

    Under a load that is too large for the engines, every request would wait past its
    objective and slow all others down. So a request is rejected at its arrival if it
    would wait too long, the sooner the more its client account has beyond its share.

    Args:
        usage: What the client accounts use.
    """

    def __init__(self, usage: account_usage.AccountUsage):
        self._usage = usage
        self._returned = caller_retries.CallerRetries()

    def assess(
        self,
        call: calls.Call,
        route: routing_table.Route,
        account: ids.AccountId | None,
        choice: placement.Choice,
        now: float,
    ) -> Assessment | None:
        """Returns what the decision on a request rests on.

        Args:
            call: The request.
            route: Its route.
            account: Its client account.
            choice: Where it would go.
            now: The time, in seconds.

        Returns:
            The evidence, or none for a call without a prompt, which is always sent.
        """
        if not call.parts:
            return None
        age_s = self._returned.find_age_s(account, call, now)
        ratio, given_ratio = self._find_ratios(account, now)
        objective_s = route.objective_s or DEFAULT_OBJECTIVE_S
        excess = self._usage.find_overload_ratio(now)
        severity = min(1.0, max(0.0, excess - MILD_EXCESS) / SEVERE_EXCESS)
        limit_s = objective_s * find_limit_ratio(ratio, given_ratio, severity)
        return Assessment(
            wait_s=choice.candidate.predict_wait_s(now),
            limit_s=limit_s,
            share_ratio=ratio,
            given_ratio=given_ratio,
            severity=severity,
            age_s=age_s,
            is_late=age_s > objective_s,
        )

    def check(
        self,
        call: calls.Call,
        account: ids.AccountId | None,
        evidence: Assessment,
        now: float,
    ) -> None:
        """Checks that a request is worth sending.

        Args:
            call: The request.
            account: Its client account.
            evidence: What the decision rests on.
            now: The time, in seconds.

        Raises:
            RejectedError: It is rejected; it has not run.
        """
        if evidence.is_admissible:
            return
        self._returned.note_rejected(account, call, now)
        is_over = evidence.share_ratio > FAIR_RATIO
        cause = rejections.Cause.OVER_SHARE if is_over else rejections.Cause.OVERLOADED
        detail = (
            f"would wait {evidence.wait_s:.3f} s, may {evidence.limit_s:.3f} s,"
            f" share ratio {evidence.share_ratio:.2f}"
        )
        if evidence.is_late:
            detail += f", asked for {evidence.age_s:.2f} s ago"
        raise rejections.RejectedError(cause, detail, choose_retry_after_s(evidence))

    def _find_ratios(
        self, account: ids.AccountId | None, now: float
    ) -> tuple[float, float]:
        """Returns what an account has, by its share and by an even one of all."""
        if account is None:
            return 0.0, 0.0
        return (
            self._usage.find_share_ratio(account, now),
            self._usage.find_even_share_ratio(account, now),
        )


def find_limit_ratio(share_ratio: float, given_ratio: float, severity: float) -> float:
    """Returns how long a prompt may wait, relative to the objective.

    Args:
        share_ratio: What its account has, relative to its fair share.
        given_ratio: The same relative to an even share of all that has been given.
        severity: How severe the overload is, from 0 to 1.
    """
    if given_ratio < LEAST_GIVEN_RATIO:
        return MAX_WAIT_RATIO
    evenness = given_ratio**-EVENNESS_EXPONENT
    part = min(1.0, FULL_WAIT_RATIO / share_ratio) if share_ratio else 1.0
    within_share = MAX_WAIT_RATIO * part ** (severity * SHARE_EXPONENT)
    limit = max(within_share * min(1.0, evenness), IDLE_RATIO * evenness)
    return min(MAX_WAIT_RATIO, limit)


def choose_retry_after_s(evidence: Assessment) -> float:
    """Returns when to come back, in seconds, spread so that not all return at once."""
    longest_s = MAX_RETRY_AFTER_S if evidence.share_ratio > FAIR_RATIO else 1.0
    return random.uniform(MIN_RETRY_AFTER_S, longest_s)
