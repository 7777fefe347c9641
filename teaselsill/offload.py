"""Has less loaded routers serve requests of callers while this router is busy.

The balancer maps each caller to a router, so that one router may get far more load than
its CPU can handle, and the requests that it rejects come back to it. This router keeps
the callers' connections and passes their requests on one by one, so that it knows of
each of them how far the other router may have got with it.
"""

import asyncio
import collections.abc
import functools
import logging
import math
import random

from teaselsill import (
    caller_connection,
    fleet_view,
    forwarding,
    http_messages,
    ids,
    loop_lag,
    offload_link,
    outcomes,
    peer_reports,
    router_links,
    tcp_stream,
)

MAX_LOAD_RATIO = 0.5
"""A router is eligible if its load is below this fraction of the local load."""
SAMPLE_SIZE = 2
"""The number of eligible routers sampled for each choice."""
REMOTE_COST = 0.25
"""The cost of a request that another router serves, relative to one served here."""
CHOICE_TTL_S = 0.05
"""How long new requests are passed on to the same router."""
MAX_REMOTE_REQUESTS = 1200
"""With more requests at other routers, new ones are served here."""
MAX_BODY_BYTES = 1024 * 1024
"""Requests with a larger body are served here."""
CONNECT_TIMEOUT_S = 1.0
"""Generous, since the other router has reported recently: a slow connect is due to the
load of this router."""
AVOIDED_S = 1.0
"""How long a router gets no offers after it has not served one."""
DEADLINE_MARGIN_S = 0.1
"""How long after a request's deadline the other router's response is awaited: it ends
the request itself, unless it is silent."""

logger = logging.getLogger(__name__)


def choose_router(
    own: peer_reports.RouterStatus,
    others: collections.abc.Mapping[ids.InstanceId, peer_reports.RouterStatus],
    may_be_newer: bool = True,
) -> ids.InstanceId | None:
    """Returns the router that should serve new requests instead, or `None`.

    The router's configuration must not be older than the local one, whose effects
    callers have already seen. It must not be newer either if this router cannot have
    that one: its callers would see the effects of both in turn. Routers in the same
    data centre are preferred, since traffic between data centres costs money. The less
    loaded of two random routers is chosen: reports are delayed, so that all routers
    would choose the least loaded one at the same time.

    Args:
        own: The status of this router.
        others: The latest status of the other routers.
        may_be_newer: Whether the router's configuration may be newer than the local
            one.
    """
    max_load = MAX_LOAD_RATIO * own.load
    eligible = [
        router
        for router, status in others.items()
        if status.takes_requests
        and status.load < max_load
        and status.version >= own.version
        and (may_be_newer or status.version == own.version)
    ]
    local = [r for r in eligible if others[r].data_centre == own.data_centre]
    preferred = local or eligible
    sample = random.sample(preferred, min(SAMPLE_SIZE, len(preferred)))
    return min(sample, key=lambda r: others[r].load, default=None)


class Offloader:
    """Passes requests on while this router is busy.

    Args:
        router: The id of this router.
        view: The status of the other routers, as reported by them.
        lag: Measures the delay of the event loop.
        forwarder: Serves the requests that are not passed on.
        describe_status: Returns the status of this router.
        is_behind: Returns whether this router cannot have the newest configuration.
    """

    def __init__(
        self,
        router: ids.InstanceId,
        view: fleet_view.FleetView,
        lag: loop_lag.LoopLag,
        forwarder: forwarding.Forwarder,
        describe_status: fleet_view.DescribeStatus,
        is_behind: collections.abc.Callable[[], bool] = lambda: False,
    ):
        self._router = router
        self._view = view
        self._lag = lag
        self._forwarder = forwarder
        self._describe_status = describe_status
        self._is_behind = is_behind
        self._remote_requests = 0
        self._links = router_links.RouterLinks(
            functools.partial(offload_link.OffloadLink, router), CONNECT_TIMEOUT_S
        )
        self._chosen: ids.InstanceId | None = None
        self._chose_at = -math.inf
        self._avoided_until_by_router: dict[ids.InstanceId, float] = {}

    @property
    def cost(self) -> float:
        """The cost of the requests at other routers, in requests served here."""
        return REMOTE_COST * self._remote_requests

    @property
    def relieves(self) -> bool:
        """Whether another router serves the requests that arrive now."""
        return self._find_router() is not None

    def close(self) -> None:
        """Closes the connections to the other routers."""
        self._links.close()

    def drop_unused(self) -> None:
        """Closes connections that have not been used for a while."""
        self._links.drop_unused(_now())

    async def serve(
        self,
        message: http_messages.Request,
        response: caller_connection.Response,
    ) -> None:
        """Serves a request of a caller, at another router while this one is busy."""
        received_at = _now()
        router = self._find_router()
        limit_s = None
        if router is not None and len(message.body) <= MAX_BODY_BYTES:
            limit_s = self._forwarder.count_offered(
                message,
                response,
                received_at,
                self._view.find_status(router).data_centre,
            )
        if limit_s is None:
            await self._forwarder.serve(message, response, received_at)
            return
        # Its caller may have left while the event loop was late.
        await tcp_stream.process_pending_events()
        self._remote_requests += 1
        try:
            async with self._forwarder.shutdown.limit(math.inf):
                outcome = await self._try(
                    router, message, response, received_at, limit_s
                )
        except TimeoutError:
            outcome = offload_link.BrokenOff("this router stops", upstreams=[])
        finally:
            self._remote_requests -= 1
        self._forwarder.metrics.offers.labels(type(outcome).__name__).inc()
        match outcome:
            case offload_link.Served():
                return
            case offload_link.NotSent(reason=reason, is_late_here=is_late_here):
                if not is_late_here:
                    self._avoid(router, reason)
                await self._forwarder.serve(message, response, received_at)
            case offload_link.BrokenOff(reason=reason, upstreams=upstreams):
                failed = outcomes.FailedElsewhere(f"{router}: {reason}", upstreams)
                await self._forwarder.serve(message, response, received_at, failed)

    async def _try(
        self,
        router: ids.InstanceId,
        message: http_messages.Request,
        response: caller_connection.Response,
        received_at: float,
        limit_s: float,
    ) -> offload_link.Outcome:
        """Has another router serve a request."""
        status = self._view.find_status(router)
        try:
            link = await self._links.find(router, status.host, status.request_port)
        except tcp_stream.ConnectionFailedError as error:
            return offload_link.NotSent(str(error))
        return await link.serve(
            message,
            response,
            received_at,
            deadline=received_at + limit_s + DEADLINE_MARGIN_S,
            version=self._forwarder.version,
        )

    def _find_router(self) -> ids.InstanceId | None:
        """Returns the router that new requests are passed on to, or `None`."""
        if not self._lag.is_busy or self._lag.is_late:
            return None
        if self._remote_requests >= MAX_REMOTE_REQUESTS:
            return None
        if _now() - self._chose_at > CHOICE_TTL_S:
            self._choose()
        return self._chosen

    def _avoid(self, router: ids.InstanceId, reason: str) -> None:
        now = _now()
        if self._avoided_until_by_router.get(router, -math.inf) <= now:
            logger.info("router avoided", extra={"peer": router, "reason": reason})
        self._avoided_until_by_router[router] = now + AVOIDED_S
        if self._chosen == router:
            self._choose()

    def _choose(self) -> None:
        """Chooses the router for the next requests."""
        now = self._chose_at = _now()
        previous = self._chosen
        own = self._describe_status()
        avoided = self._avoided_until_by_router
        statuses = {
            router: status
            for router, status in self._view.list_statuses().items()
            if avoided.get(router, -math.inf) <= now
        }
        self._chosen = choose_router(own, statuses, not self._is_behind())
        if self._chosen == previous:
            return
        chosen_load = statuses[self._chosen].load if self._chosen else None
        logger.info(
            "passing requests on",
            extra={
                "peer": self._chosen,
                "load": round(own.load, 1),
                "remote": self._remote_requests,
                "peer_load": None if chosen_load is None else round(chosen_load, 1),
                "delay_ms": round(1000 * self._lag.average_s, 1),
            },
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
