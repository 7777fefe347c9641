"""Hands callers' connections over to less loaded routers.

The balancer maps each caller to a router, so that one router may get far more load than
its CPU can handle, and the requests that it rejects come back to it.
"""

import asyncio
import collections.abc
import logging
import math
import random

from teaselsill import fleet_view, ids, loop_lag, peer_reports, relay, tcp_stream

MAX_LOAD_RATIO = 0.5
"""A router is eligible if its load is below this fraction of the local load."""
SAMPLE_SIZE = 2
"""The number of eligible routers sampled for each choice."""
RELAY_COST = 0.25
"""The cost of a relayed connection, relative to a request served locally."""
CHOICE_TTL_S = 0.05
"""How long new connections are handed over to the same router."""
RELAY_SOFT_LIMIT = 400
"""With more relays, relayed connections are closed after their next response."""
MAX_RELAYS = 1200
"""The maximum number of relays; each uses two file descriptors."""

logger = logging.getLogger(__name__)


def choose_router(
    own: peer_reports.RouterStatus,
    others: collections.abc.Mapping[ids.InstanceId, peer_reports.RouterStatus],
) -> ids.InstanceId | None:
    """Returns the router that should serve a new connection instead, or `None`.

    The router's configuration must not be older than the local one, whose effects
    callers have already seen. Routers in the same data centre are preferred, since
    traffic between data centres costs money. The less loaded of two random routers is
    chosen: reports are delayed, so that all routers would choose the least loaded one
    at the same time.

    Args:
        own: The status of this router.
        others: The latest status of the other routers.
    """
    max_load = MAX_LOAD_RATIO * own.load
    eligible = [
        router
        for router, status in others.items()
        if status.takes_connections
        and status.load < max_load
        and status.version >= own.version
    ]
    local = [r for r in eligible if others[r].data_centre == own.data_centre]
    preferred = local or eligible
    sample = random.sample(preferred, min(SAMPLE_SIZE, len(preferred)))
    return min(sample, key=lambda r: others[r].load, default=None)


class Offloader:
    """Hands connections over while this router is busy, and relays them.

    Args:
        view: The status of the other routers, as reported by them.
        lag: Measures the delay of the event loop.
        describe_status: Returns the status of this router.
        find_idle_timeout_s: Returns the idle timeout of a connection that becomes idle
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
        self._outdated: set[ids.InstanceId] = set()

    @property
    def cost(self) -> float:
        """The cost of the relays, in requests served locally."""
        return RELAY_COST * len(self._relays)

    @property
    def has_many_relays(self) -> bool:
        """Whether there are so many relays that their connections should close."""
        return len(self._relays) > RELAY_SOFT_LIMIT

    async def try_hand_over(self, caller: tcp_stream.TcpStream) -> bool:
        """Hands a connection over to another router and relays it until it ends.

        Returns:
            Whether the connection was handed over; if not, it has to be served here.
        """
        new_relay = await self._connect(caller)
        if new_relay is None:
            return False
        self._relays.add(new_relay)
        try:
            await new_relay.run()
        finally:
            self._relays.discard(new_relay)
        return True

    def prune_relays(self, max_idle_s: float = math.inf) -> None:
        """Closes idle relays and aborts relays to routers that stopped reporting.

        Relays to an outdated router are closed as soon as they are idle. A router is
        outdated if its configuration was older than the local one in two calls in
        succession.

        Args:
            max_idle_s: An additional limit on the idle time, in seconds.
        """
        now = _now()
        outdated = self._find_outdated()
        for open_relay in list(self._relays):
            router = open_relay.router
            is_outdated = router in outdated and router in self._outdated
            if not self._view.is_live(router):
                open_relay.abort()
            elif open_relay.is_idle(now, 0.0 if is_outdated else max_idle_s):
                open_relay.close()
        self._outdated = outdated

    def _find_outdated(self) -> set[ids.InstanceId]:
        """Returns the routers whose configuration is older than the local one."""
        version = self._describe_status().version
        statuses = self._view.list_statuses()
        return {router for router, s in statuses.items() if s.version < version}

    async def _connect(self, caller: tcp_stream.TcpStream) -> relay.Relay | None:
        """Connects a caller to the chosen router; returns `None` if there is none."""
        if not self._lag.is_busy or len(self._relays) >= MAX_RELAYS:
            return None
        if _now() - self._chose_at > CHOICE_TTL_S:
            self._choose()
        if self._chosen is None:
            return None
        status = self._view.find_status(self._chosen)
        return await relay.connect(
            caller, self._chosen, status, self._find_idle_timeout_s
        )

    def _choose(self) -> None:
        """Chooses the router for the next connections."""
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
