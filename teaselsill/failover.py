"""Decides when a request under way is better sent to another upstream."""

from teaselsill import placement, routing_table, upstream_load

SLOW_RATIO = 2.5
"""A repeatable call is tried elsewhere after so many times its objective."""
MIN_SLOW_S = 0.3
STALL_PAUSES = 6.0
"""A stream is stalled after so many times the longest pause that is on time."""
MIN_STALL_S = 1.5
"""A pause is no stall before that; callers abandon a stream after 2 s or more."""


def should_fail_over(
    route: routing_table.Route,
    load: upstream_load.UpstreamLoad,
    work: upstream_load.InFlightRequest,
    waited_s: float,
    now: float,
    uninterrupted_s: float,
) -> bool:
    """Tells whether a request is better sent to another upstream now.

    Args:
        route: Its route.
        load: The work at the upstream that has it.
        work: The request there.
        waited_s: How long ago the caller sent it, in seconds.
        now: The event loop's time, in seconds.
        uninterrupted_s: How long the router has run without a standstill, in seconds.
    """
    if placement.is_silent(load, now, uninterrupted_s):
        return True
    if route.is_stream:
        return has_stalled(route, work, now) and uninterrupted_s > find_stall_s(route)
    return waited_s > max(MIN_SLOW_S, SLOW_RATIO * route.objective_s)


def has_stalled(
    route: routing_table.Route, work: upstream_load.InFlightRequest, now: float
) -> bool:
    """Tells whether a stream has begun and then had no event for too long."""
    return work.has_stalled(now, find_stall_s(route))


def is_upstream_at_fault(
    route: routing_table.Route, work: upstream_load.InFlightRequest, now: float
) -> bool:
    """Tells whether the upstream is to blame for an answer not whole at its deadline.

    A stream that goes on, or an answer that has not begun, had too little time.
    """
    if not work.has_started:
        return False
    return not route.is_stream or has_stalled(route, work, now)


def find_stall_s(route: routing_table.Route) -> float:
    """Returns after how long without an event a stream has stalled, in seconds."""
    return max(MIN_STALL_S, STALL_PAUSES * route.pause_s)
