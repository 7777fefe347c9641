"""Logs and counts violations of invariants."""

import collections
import logging

from teaselsill import errors, metrics

logger = logging.getLogger(__name__)

violation_count_by_name: collections.Counter[str] = collections.Counter()
"""The number of reports in this process by class name of the `InvariantError`."""


def report(
    error: errors.InvariantError,
    *,
    reraise: bool = True,
    sink: metrics.Metrics | None = None,
) -> None:
    """Logs a violation with the stack, counts it and raises it.

    Args:
        error: The violation.
        reraise: Whether to raise the error; if false, the caller continues.
        sink: Also counts the violation as a metric, if given.

    Raises:
        InvariantError: The same error, if `reraise` is true.
    """
    name = type(error).__name__
    violation_count_by_name[name] += 1
    if sink is not None:
        sink.count(metrics.Metric.INVARIANT_VIOLATIONS)
    logger.error(
        "invariant violated: %s",
        error,
        extra={"invariant": name},
        exc_info=error if error.__traceback__ else None,
        stack_info=True,
    )
    if reraise:
        raise error
