"""The summary that a run prints at its end."""

import collections

import msgspec

from soak import checks, schedule, workload


class Summary(msgspec.Struct):
    """The results of a run.

    Attributes:
        seed: The seed of the schedule and of the workload.
        shape: The name of the deployment.
        duration_s: How long the run lasted, in seconds.
        requests: How many requests were sent, by kind.
        results: How many requests ended with each result, by kind and result.
        unknown_share: Of the calls that place an order, the fraction whose outcome is
            unknown to the caller, without those counted in `key_in_use_share`.
        key_in_use_share: Of the same calls, the fraction whose idempotency key
            belonged to another call that was in progress or had an unknown outcome.
        failures_by_kind: How many failures were injected, by kind.
        checked_by_name: How often each check was made.
        violations: The violations found.
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
    checker: checks.Checker,
) -> Summary:
    """Returns the summary of a run."""
    results: dict[str, collections.Counter[str]] = {}
    for call in calls:
        count_by_result = results.setdefault(call.kind.value, collections.Counter())
        count_by_result[call.result.value if call.result else "runs"] += 1
    failures = (failure.kind.value for step in steps for failure in step.failures)
    return Summary(
        seed=seed,
        shape=shape,
        duration_s=round(duration_s, 1),
        requests=dict(collections.Counter(call.kind.value for call in calls)),
        results={
            kind: dict(count_by_result) for kind, count_by_result in results.items()
        },
        unknown_share=_share(calls, workload.Result.UNKNOWN),
        key_in_use_share=_share(calls, workload.Result.KEY_IN_USE),
        failures_by_kind=dict(collections.Counter(failures)),
        checked_by_name=dict(checker.checked_by_name),
        violations=checker.violations,
    )


def _share(calls: list[workload.Call], result: workload.Result) -> float:
    orders = [call for call in calls if call.order_path]
    matching = [call for call in orders if call.result is result]
    return round(len(matching) / len(orders), 4) if orders else 0.0
