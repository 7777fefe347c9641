"""Hands callers' connections to routers that have less to do.

The balancer chooses a router by the caller, so one router may get far more than its
processor can do, and what it rejects comes back to it.
"""

import asyncio
import collections.abc
import logging
import math
import random

from teaselsill import fleet_view, ids, loop_lag, peer_reports, relay, tcp_stream

LOAD_RATIO = 0.5
"""Only a router with less than this part of the own load takes a connection."""
DRAWN = 2
"""How many routers are drawn for each choice."""
RELAY_COST = 0.25
"""What a connection costs that another router serves, relative to an own request."""
CHOICE_LIFE_S = 0.05
"""How long connections are handed over to the same router."""
RELAY_SOFT_LIMIT = 400
"""With more, connections that other routers serve end after their next answer."""
MAX_RELAYS = 1200
"""With so many, no more connections are handed over: each takes two descriptors."""

logger = logging.getLogger(__name__)


def choose_router(
    own: peer_reports.RouterStatus,
    others: collections.abc.Mapping[ids.InstanceId, peer_reports.RouterStatus],
) -> ids.InstanceId | None:
    """Returns the router that should serve a new connection instead, or none.

    Its configuration is no older than the own one, which callers here have seen.
    Routers of the same data centre go first, since bytes between data centres cost. Of
    two that are drawn at random the one with less to do is taken: with old reports, the
    least loaded of all would be chosen by every router at once.

    Args:
        own: The load of this router.
        others: What the other routers have told of late.
    """
    most_load = LOAD_RATIO * own.load
    able = [
        router
        for router, status in others.items()
        if status.takes_connections
        and status.load < most_load
        and status.version >= own.version
    ]
    near = [r for r in able if others[r].data_centre == own.data_centre]
    eligible = near or able
    drawn = random.sample(eligible, min(DRAWN, len(eligible)))
    return min(drawn, key=lambda r: others[r].load, default=None)


class Offloader:
    """Hands connections over while this router is busy, and looks after them.

    Args:
        view: What is known of the other routers.
        lag: Tells whether this router is busy.
        describe_status: Returns the load of this router.
        find_idle_timeout_s: Returns how long a connection may be idle that becomes so
            now, in seconds.
    """

    def __init__(
        self,
        view: fleet_view.FleetView,
        lag: loop_lag.LoopLag,
        describe_status: fleet_view.DescribeStatus,
        find_idle_timeout_s: collections.abc.Callable[[], float],
    ):
        self._view = view
        self._lag = lag
        self._describe_status = describe_status
        self._find_idle_timeout_s = find_idle_timeout_s
        self._relays: set[relay.Relay] = set()
        self._chosen: ids.InstanceId | None = None
        self._chose_at = -math.inf
        self._lagging: set[ids.InstanceId] = set()

    @property
    def cost(self) -> float:
        """What the connections that were handed over cost here, in own requests."""
        return RELAY_COST * len(self._relays)

    @property
    def has_many_relays(self) -> bool:
        """Whether so much was handed over that connections are to end."""
        return len(self._relays) > RELAY_SOFT_LIMIT

    async def try_hand_over(self, caller: tcp_stream.TcpStream) -> bool:
        """Has another router serve a connection, until it ends.

        Returns:
            Whether it was handed over; if not, it has to be served here.
        """
        handed_over = await self._hand_over(caller)
        if handed_over is None:
            return False
        self._relays.add(handed_over)
        try:
            await handed_over.run()
        finally:
            self._relays.discard(handed_over)
        return True

    def prune_relays(self, longest_idle_s: float = math.inf) -> None:
        """Ends relays that are idle, or whose router lags or is not heard any more.

        A router lags that has told of an older configuration than this one's twice.

        Args:
            longest_idle_s: Another limit on idle connections, in seconds.
        """
        now = _now()
        lagging = self._find_lagging()
        for handed_over in list(self._relays):
            router = handed_over.router
            lags = router in lagging and router in self._lagging
            if not self._view.is_live(router):
                handed_over.abort()
            elif handed_over.is_idle(now, 0.0 if lags else longest_idle_s):
                handed_over.close()
        self._lagging = lagging

    def _find_lagging(self) -> set[ids.InstanceId]:
        """Returns the routers whose configuration is older than this one's."""
        version = self._describe_status().version
        statuses = self._view.list_statuses()
        return {router for router, s in statuses.items() if s.version < version}

    async def _hand_over(self, caller: tcp_stream.TcpStream) -> relay.Relay | None:
        if not self._lag.is_busy or len(self._relays) >= MAX_RELAYS:
            return None
        if _now() - self._chose_at > CHOICE_LIFE_S:
            self._choose()
        if self._chosen is None:
            return None
        status = self._view.find_status(self._chosen)
        return await relay.connect(
            caller, self._chosen, status, self._find_idle_timeout_s
        )

    def _choose(self) -> None:
        """Chooses the router that takes the next connections."""
        self._chose_at = _now()
        previous = self._chosen
        own = self._describe_status()
        statuses = self._view.list_statuses()
        self._chosen = choose_router(own, statuses)
        if self._chosen == previous:
            return
        chosen_load = statuses[self._chosen].load if self._chosen else None
        logger.info(
            "handing connections over",
            extra={
                "peer": self._chosen,
                "load": round(own.load, 1),
                "relays": len(self._relays),
                "peer_load": None if chosen_load is None else round(chosen_load, 1),
                "delay_ms": round(1000 * self._lag.average_s, 1),
            },
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
