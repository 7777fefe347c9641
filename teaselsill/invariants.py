"""Takes note of promises that were found broken or about to be."""

import collections
import logging

from teaselsill import errors, metrics

logger = logging.getLogger(__name__)

violation_count_by_name: collections.Counter[str] = collections.Counter()
"""How often each class of `InvariantError` was reported in this process."""


def report(
    error: errors.InvariantError,
    *,
    reraise: bool = True,
    sink: metrics.Metrics | None = None,
) -> None:
    """Logs a violation with the stack, counts it, and raises it again.

    Args:
        error: What was found.
        reraise: Whether to raise the error; if not, the caller goes on.
        sink: Where the violation is counted besides.

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
