"""Admission control: decides whether a request is sent to an engine or rejected."""

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
"""The longest wait before prefill, relative to the route's latency objective."""
IDLE_WAIT_RATIO = 0.1
"""The same for an account beyond its fair share, if it uses engine time that no account
within its share would use."""
MAX_IDLE_WAIT_RATIO = 0.3
"""The same where routers know the load of the engines late: what is ahead of a prompt
may be done before they hear of it, and then the engine is idle."""
DEFAULT_OBJECTIVE_S = 1.0
FAIR_RATIO = 1.0
FULL_WAIT_RATIO = 0.85
"""Share ratio up to which the allowed wait of an account is not reduced."""
SHARE_EXPONENT = 4.0
"""How steeply the allowed wait falls beyond that ratio in a severe overload."""
EVENNESS_EXPONENT = 5.0
"""How steeply the allowed wait falls as an account exceeds an even share of all
admitted tokens, and rises as it stays below one."""
MIN_EVEN_SHARE_RATIO = 0.1
"""Below this part of an even share, the allowed wait is never reduced."""
MILD_OVERLOAD_RATIO = 0.05
"""Demand beyond the engines' capacity, relative to it, that counts as a mere burst."""
SEVERE_OVERLOAD_RATIO = 0.4
"""Demand beyond that, relative to the capacity, at which the severity reaches 1."""
YIELDING_SEVERITY = 0.5
"""In a more severe overload, requests that are already late are rejected in favour of
those that can be served in time."""
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """The figures that an admission decision is based on.

    Attributes:
        wait_s: Predicted wait of the prompt before prefill, in seconds.
        limit_s: The longest wait allowed, in seconds.
        share_ratio: The tokens admitted for the client account, relative to its max-min
            fair share.
        even_share_ratio: The same relative to an even share of all admitted tokens.
        severity: How severe the overload is, from 0 to 1.
        age_s: How long ago the request was first received and rejected, in seconds; 0
            if it is new.
        is_late: Whether the request can no longer meet its latency objective, because
            it was rejected before.
    """

    wait_s: float
    limit_s: float
    share_ratio: float
    even_share_ratio: float
    severity: float
    age_s: float
    is_late: bool

    @property
    def is_admissible(self) -> bool:
        """Whether the request should be sent.

        An account beyond its share has more requests than can be served. In a severe
        overload, its late retries would displace new requests that can still be served
        in time, so the retries are rejected.
        """
        is_over = self.share_ratio > FAIR_RATIO
        if self.is_late and is_over and self.severity > YIELDING_SEVERITY:
            return False
        return self.wait_s <= self.limit_s


class Admission:
    """Keeps queues at the engines short and shares the engines fairly.

    Under overload, every request would miss its latency objective and delay all others.
    So a request is rejected on arrival if its predicted wait is too long. The allowed
    wait becomes shorter as its client account exceeds its fair share.

    Args:
        usage: The usage of the client accounts.

    Attributes:
        report_age_s: How old the other routers' reports are on average, in seconds.
    """

    def __init__(self, usage: account_usage.AccountUsage):
        self.report_age_s = 0.0
        self._usage = usage
        self._retries = caller_retries.CallerRetries()

    def assess(
        self,
        call: calls.Call,
        route: routing_table.Route,
        account: ids.AccountId | None,
        choice: placement.Choice,
        now: float,
    ) -> Assessment | None:
        """Returns the figures for the decision on a request.

        Args:
            call: The request.
            route: Its route.
            account: Its client account.
            choice: The engine chosen for it.
            now: The time, in seconds.

        Returns:
            The assessment, or None for a call without a prompt, which is always sent.
        """
        if not call.parts:
            return None
        age_s = self._retries.find_age_s(account, call, now)
        ratio, even_share_ratio = self._find_ratios(account, now)
        objective_s = route.objective_s or DEFAULT_OBJECTIVE_S
        overload_ratio = self._usage.find_overload_ratio(now)
        severity = min(
            1.0, max(0.0, overload_ratio - MILD_OVERLOAD_RATIO) / SEVERE_OVERLOAD_RATIO
        )
        idle_ratio = find_idle_wait_ratio(self.report_age_s, objective_s)
        limit_s = objective_s * find_limit_ratio(
            ratio, even_share_ratio, severity, idle_ratio
        )
        return Assessment(
            wait_s=choice.candidate.predict_wait_s(now),
            limit_s=limit_s,
            share_ratio=ratio,
            even_share_ratio=even_share_ratio,
            severity=severity,
            age_s=age_s,
            is_late=age_s > objective_s,
        )

    def check(
        self,
        call: calls.Call,
        account: ids.AccountId | None,
        assessment: Assessment,
        now: float,
    ) -> None:
        """Rejects a request that is not worth sending.

        Args:
            call: The request.
            account: Its client account.
            assessment: The result of `assess`.
            now: The time, in seconds.

        Raises:
            RejectedError: The request is rejected; it has not run.
        """
        if assessment.is_admissible:
            return
        self.note_rejected(call, account, now)
        is_over = assessment.share_ratio > FAIR_RATIO
        cause = rejections.Cause.OVER_SHARE if is_over else rejections.Cause.OVERLOADED
        detail = (
            f"would wait {assessment.wait_s:.3f} s, may {assessment.limit_s:.3f} s,"
            f" share ratio {assessment.share_ratio:.2f}"
        )
        if assessment.is_late:
            detail += f", asked for {assessment.age_s:.2f} s ago"
        raise rejections.RejectedError(cause, detail, choose_retry_after_s(assessment))

    def note_rejected(
        self, call: calls.Call, account: ids.AccountId | None, now: float
    ) -> None:
        """Records a rejection, so that the age of the caller's retry is known.

        Args:
            call: The request.
            account: Its client account.
            now: The time, in seconds.
        """
        self._retries.note_rejected(account, call, now)

    def _find_ratios(
        self, account: ids.AccountId | None, now: float
    ) -> tuple[float, float]:
        """Returns the share ratio and the even-share ratio of an account."""
        if account is None:
            return 0.0, 0.0
        return (
            self._usage.find_share_ratio(account, now),
            self._usage.find_even_share_ratio(account, now),
        )


def find_idle_wait_ratio(report_age_s: float, objective_s: float) -> float:
    """Returns the wait up to which an engine counts as idle, relative to the objective.

    Args:
        report_age_s: How old reports of the engine's load are on average, in seconds.
        objective_s: The latency objective, in seconds.
    """
    known_late = min(MAX_IDLE_WAIT_RATIO, report_age_s / objective_s)
    return max(IDLE_WAIT_RATIO, known_late)


def find_limit_ratio(
    share_ratio: float,
    even_share_ratio: float,
    severity: float,
    idle_ratio: float = IDLE_WAIT_RATIO,
) -> float:
    """Returns the longest allowed wait, relative to the latency objective.

    Args:
        share_ratio: The tokens admitted for the account, relative to its fair share.
        even_share_ratio: The same relative to an even share of all admitted tokens.
        severity: How severe the overload is, from 0 to 1.
        idle_ratio: The wait up to which an engine counts as idle.
    """
    if even_share_ratio < MIN_EVEN_SHARE_RATIO:
        return MAX_WAIT_RATIO
    evenness = even_share_ratio**-EVENNESS_EXPONENT
    part = min(1.0, FULL_WAIT_RATIO / share_ratio) if share_ratio else 1.0
    within_share = MAX_WAIT_RATIO * part ** (severity * SHARE_EXPONENT)
    limit = max(within_share * min(1.0, evenness), idle_ratio * evenness)
    return min(MAX_WAIT_RATIO, limit)


def find_max_wait_s(route: routing_table.Route, assessment: Assessment | None) -> float:
    """Returns how long a request that has not been sent may wait, in seconds.

    Args:
        route: Its route.
        assessment: The result of `assess`; None for a call without a prompt.
    """
    if assessment is not None:
        return assessment.limit_s
    return MAX_WAIT_RATIO * (route.objective_s or DEFAULT_OBJECTIVE_S)


def spread_retry_after_s(wait_s: float) -> float:
    """Returns a random retry delay in seconds, not before there is room.

    Args:
        wait_s: How long until there is room for one more request, in seconds.
    """
    return random.uniform(1.0, 2.0) * max(MIN_RETRY_AFTER_S, wait_s)


def choose_retry_after_s(assessment: Assessment) -> float:
    """Returns a random retry delay in seconds, so that retries are spread over time."""
    longest_s = MAX_RETRY_AFTER_S if assessment.share_ratio > FAIR_RATIO else 1.0
    return random.uniform(MIN_RETRY_AFTER_S, longest_s)
