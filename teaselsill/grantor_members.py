"""Finds which routers can grant permits, from their reports."""

from teaselsill import grantor, ids, loop_lag, peer_liveness, peer_reports

PERMIT_TTL_S = 0.5
"""A permit has to be used within this time after the wait that was allowed for it."""

ESTABLISHED_S = 2 * peer_reports.SETTLED_S
"""A fleet has been established if its oldest router has run for so long. Routers that
have started at the same time are then all settled."""


def describe(
    router: ids.InstanceId,
    status: peer_reports.RouterStatus,
    liveness: peer_liveness.PeerLiveness,
    lag: loop_lag.LoopLag,
    listed: int,
    now: float,
) -> grantor.Members:
    """Returns the routers as one of them sees them.

    In a fleet that has run for a while, routers that have just started do not grant
    permits yet: they do not know what the others know. A router that is stopping says
    so and asks for its permits like any other.

    Args:
        router: The router whose view it is.
        status: Its own status.
        liveness: Which other routers are alive.
        lag: Measures the delay of its event loop.
        listed: How many routers are listed; 0 if that is not known.
        now: The event loop's time, in seconds.
    """
    responsive = liveness.list_responsive(now)
    status_by_router = {each: liveness.find_status(each) for each in responsive}
    status_by_router[router] = status
    able = {
        each: known
        for each, known in status_by_router.items()
        if known is not None and known.grants_permits
    }
    lost = sum(_may_be_sending(liveness, each) for each in liveness.list_lost(now))
    reachable = len(responsive) + 1
    if status.uptime_s < peer_liveness.LOST_S:
        lost = max(lost, listed - reachable)
    return grantor.Members(
        grantors=frozenset(_exclude_newcomers(able)),
        reachable_ratio=reachable / (reachable + lost),
        handover_s=PERMIT_TTL_S + peer_reports.find_period_s(len(responsive)),
        uninterrupted_s=lag.find_uninterrupted_s(now),
    )


def _exclude_newcomers(
    status_by_router: dict[ids.InstanceId, peer_reports.RouterStatus],
) -> list[ids.InstanceId]:
    """Returns the routers that are settled, or all while the fleet has just started."""
    oldest_s = max((s.uptime_s for s in status_by_router.values()), default=0)
    if oldest_s < ESTABLISHED_S:
        return list(status_by_router)
    return [router for router, s in status_by_router.items() if s.is_settled]


def _may_be_sending(
    liveness: peer_liveness.PeerLiveness, router: ids.InstanceId
) -> bool:
    """Returns whether a lost router may be sending requests out of reach."""
    status = liveness.find_status(router)
    return status is not None and status.grants_permits
