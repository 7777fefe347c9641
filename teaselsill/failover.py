"""Decides when to give up on an upstream and send its request to another one."""

from teaselsill import placement, routing_table, upstream_load

SLOW_RATIO = 2.5
"""A repeatable call is tried elsewhere after this multiple of its objective."""
MIN_SLOW_S = 0.3
STALL_PAUSES = 6.0
"""A stream has stalled after this multiple of the longest pause that is on time."""
MIN_STALL_S = 1.5
"""A shorter pause is never a stall; callers abandon a stream after 2 s or more."""


def should_fail_over(
    route: routing_table.Route,
    load: upstream_load.UpstreamLoad,
    request: upstream_load.InFlightRequest,
    waited_s: float,
    now: float,
    uninterrupted_s: float,
) -> bool:
    """Returns whether a request should be sent to another upstream now.

    Args:
        route: Its route.
        load: The load of the upstream that has the request.
        request: The request at that upstream.
        waited_s: How long ago the caller sent it, in seconds.
        now: The event loop's time, in seconds.
        uninterrupted_s: How long the router has run without interruption, in seconds.
    """
    if placement.is_silent(load, now, uninterrupted_s):
        return True
    if route.is_stream:
        return has_stalled(route, request, now) and uninterrupted_s > find_stall_s(
            route
        )
    return waited_s > max(MIN_SLOW_S, SLOW_RATIO * route.objective_s)


def has_stalled(
    route: routing_table.Route, request: upstream_load.InFlightRequest, now: float
) -> bool:
    """Returns whether a stream has started and then had no event for too long."""
    return request.has_stalled(now, find_stall_s(route))


def is_upstream_at_fault(
    route: routing_table.Route, request: upstream_load.InFlightRequest, now: float
) -> bool:
    """Returns whether a response incomplete at its deadline is the upstream's fault.

    It is not if the stream still makes progress or the response has not started: then
    the request had too little time.
    """
    if not request.has_started:
        return False
    return not route.is_stream or has_stalled(route, request, now)


def find_stall_s(route: routing_table.Route) -> float:
    """Returns after how long without an event a stream has stalled, in seconds."""
    return max(MIN_STALL_S, STALL_PAUSES * route.pause_s)
