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
        unknown_share: The part of the calls with an order whose outcome the caller was
            not told, without those whose key another call held.
        key_in_use_share: The part whose key another call held.
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
    key_in_use_share: float
    failures_by_kind: dict[str, int]
    checked_by_name: dict[str, int]
    violations: list[checks.Violation]


def make(
    seed: int,
    shape: str,
    duration_s: float,
    calls: list[workload.Call],
    steps: list[schedule.Step],
    checking: checks.Checker,
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
        unknown_share=_share(calls, workload.Result.UNKNOWN),
        key_in_use_share=_share(calls, workload.Result.KEY_IN_USE),
        failures_by_kind=dict(collections.Counter(failures)),
        checked_by_name=dict(checking.checked_by_name),
        violations=checking.violations,
    )


def _share(calls: list[workload.Call], result: workload.Result) -> float:
    orders = [call for call in calls if call.order_path]
    matching = [call for call in orders if call.result is result]
    return round(len(matching) / len(orders), 4) if orders else 0.0
