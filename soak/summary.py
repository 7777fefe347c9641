"""The closing summary of a run."""

import collections

import msgspec

from soak import checks, schedule, workload


class Summary(msgspec.Struct):
    """What happened in a run.

    Attributes:
        seed: The seed of the schedule and of the work.
        shape: The deployment.
        duration_s: How long the callers called.
        requests: How many requests were sent, by kind.
        results: What the callers got, by kind and result.
        unknown_share: The part of the orders whose outcome the caller was not told.
        failures_by_kind: The failures that were made to happen.
        checked_by_name: How often each invariant was checked.
        violations: What was found.
    """

    seed: int
    shape: str
    duration_s: float
    requests: dict[str, int]
    results: dict[str, dict[str, int]]
    unknown_share: float
    failures_by_kind: dict[str, int]
    checked_by_name: dict[str, int]
    violations: list[checks.Violation]


def make(
    seed: int,
    shape: str,
    duration_s: float,
    calls: list[workload.Call],
    steps: list[schedule.Step],
    checking: checks.Checks,
) -> Summary:
    """Counts what happened."""
    results: dict[str, collections.Counter[str]] = {}
    for call in calls:
        counted = results.setdefault(call.kind.value, collections.Counter())
        counted[call.result.value if call.result else "runs"] += 1
    failures = (failure.kind.value for step in steps for failure in step.failures)
    return Summary(
        seed=seed,
        shape=shape,
        duration_s=round(duration_s, 1),
        requests=dict(collections.Counter(call.kind.value for call in calls)),
        results={kind: dict(counted) for kind, counted in results.items()},
        unknown_share=round(_share_unknown(calls), 4),
        failures_by_kind=dict(collections.Counter(failures)),
        checked_by_name=dict(checking.checked_by_name),
        violations=checking.violations,
    )


def _share_unknown(calls: list[workload.Call]) -> float:
    orders = [call for call in calls if call.order]
    unknown = [call for call in orders if call.result is workload.Result.UNKNOWN]
    return len(unknown) / len(orders) if orders else 0.0
