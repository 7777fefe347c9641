"""Decides when to give up on an upstream and send its request to another one."""

from teaselsill import placement, routing_table, upstream_load

SLOW_RATIO = 2.5
"""A repeatable call is slow after this multiple of its objective."""
MIN_SLOW_S = 0.3
STALL_PAUSES = 6.0
"""A stream has stalled after this multiple of the longest pause that is on time."""
MIN_SILENCE_S = 0.3
"""An upstream from which something has arrived more recently is not silent."""
CHECK_INTERVAL_S = 0.2
"""How often the progress of a repeatable request is checked."""
CHECK_MARGIN_S = 0.01
"""How long after a silence has become too long it is checked."""


def find_check_delay_s(load: upstream_load.UpstreamLoad, now: float) -> float:
    """Returns how long until the next check of a request, in seconds.

    An upstream that goes dark is noticed without delay, so that another one can go on
    with a stream before its caller abandons it.

    Args:
        load: The load of the upstream that has the request.
        now: The time, in seconds.
    """
    until_dark_s = placement.MAX_SILENCE_S - load.find_silent_s(now)
    if 0 <= until_dark_s < CHECK_INTERVAL_S:
        return until_dark_s + CHECK_MARGIN_S
    return CHECK_INTERVAL_S


def should_fail_over(
    route: routing_table.Route,
    load: upstream_load.UpstreamLoad,
    request: upstream_load.InFlightRequest,
    left_s: float,
    now: float,
    uninterrupted_s: float,
) -> bool:
    """Returns whether a request should be sent to another upstream now.

    Args:
        route: Its route.
        load: The load of the upstream that has the request.
        request: The request at that upstream.
        left_s: The time left until its deadline, in seconds.
        now: The event loop's time, in seconds.
        uninterrupted_s: How long the router has run without interruption, in seconds.
    """
    waited_s = now - request.sent_at
    is_dark = placement.has_gone_dark(load, now, uninterrupted_s)
    if is_dark and waited_s > placement.MAX_SILENCE_S:
        return True
    if route.is_stream:
        return has_stalled(route, request, now) and uninterrupted_s > find_stall_s(
            route
        )
    return is_slow(route, waited_s, left_s)


def is_slow(route: routing_table.Route, waited_s: float, left_s: float) -> bool:
    """Returns whether a call has waited too long at an upstream.

    It may wait for as long as a sound upstream may be silent, unless another upstream
    could not respond in time any more.

    Args:
        route: Its route.
        waited_s: How long ago it was sent to that upstream, in seconds.
        left_s: The time left until its deadline, in seconds.
    """
    slow_s = max(MIN_SLOW_S, SLOW_RATIO * route.objective_s)
    if waited_s <= slow_s:
        return False
    return waited_s > placement.MAX_SILENCE_S or left_s <= slow_s


def is_merely_silent(load: upstream_load.UpstreamLoad, now: float) -> bool:
    """Returns whether an upstream is silent for no longer than a sound one may be.

    A request that is given up meanwhile does not show that the upstream fails.

    Args:
        load: The load of the upstream.
        now: The time, in seconds.
    """
    return MIN_SILENCE_S < load.find_silent_s(now) <= placement.MAX_SILENCE_S


def has_stalled(
    route: routing_table.Route, request: upstream_load.InFlightRequest, now: float
) -> bool:
    """Returns whether a stream has started and then had no event for too long."""
    return request.has_stalled(now, find_stall_s(route))


def is_upstream_at_fault(
    route: routing_table.Route,
    load: upstream_load.UpstreamLoad,
    request: upstream_load.InFlightRequest,
    now: float,
) -> bool:
    """Returns whether a response incomplete at its deadline is the upstream's fault.

    It is not if the stream still makes progress, the response has not started or the
    upstream is merely silent: then the request had too little time.
    """
    if not request.has_started:
        return False
    if route.is_stream:
        return has_stalled(route, request, now)
    return not is_merely_silent(load, now)


def find_stall_s(route: routing_table.Route) -> float:
    """Returns after how long without an event a stream has stalled, in seconds."""
    return max(placement.MAX_SILENCE_S, STALL_PAUSES * route.pause_s)
