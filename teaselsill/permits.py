"""Permits to send requests to upstreams: the one place that every send asks first."""

import asyncio
import dataclasses
import functools
import logging
import math

from teaselsill import (
    boot_clock,
    cold_start,
    fleet_view,
    grantor_members,
    ids,
    peer_reports,
    permit_issuer,
    permit_link,
    permit_messages,
    permit_queue,
    placement,
    router_links,
    tcp_stream,
    upstream_list,
)

CONNECT_TIMEOUT_S = 0.3
AVOIDED_S = 0.5
"""How long a router is not asked again after it has not replied."""

logger = logging.getLogger(__name__)


class Permit:
    """Allows one send to one upstream, for a short time.

    A context manager: a permit that is not used in its context is given back.

    Args:
        candidate: The upstream.
        expires_at: Until when it may be used, on the boot clock, in seconds.
        issuer: Takes the permit back if it is not used; None if there was no limit.
    """

    def __init__(
        self,
        candidate: placement.Candidate,
        expires_at: float = math.inf,
        issuer: "Local | Remote | None" = None,
    ):
        self._candidate = candidate
        self._expires_at = expires_at
        self._issuer = issuer
        self._is_used = False

    def __enter__(self) -> "Permit":
        """Returns the permit."""
        return self

    def __exit__(self, *exception) -> None:
        """Gives the permit back unless it was used."""
        if not self._is_used:
            self.give_back()

    def give_back(self) -> None:
        """Gives the permit back."""
        if self._issuer is not None:
            self._issuer.give_back()

    def use(self) -> bool:
        """Uses the permit; returns False if the request must not be sent.

        The time may be up, for example after a pause of this router, or the upstream
        may have a limit since.
        """
        if self._issuer is None:
            return self._candidate.find_limit_per_s(_now()) is None
        self._is_used = boot_clock.now() <= self._expires_at
        return self._is_used


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """There is no permit in time.

    Attributes:
        wait_s: How long until there will be room, in seconds.
    """

    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that wants a permit.

    Attributes:
        account: Its client account; None for a public route.
        max_wait_s: How long it waits, in seconds.
        is_retry: Whether it was sent before.
    """

    account: ids.AccountId | None
    max_wait_s: float
    is_retry: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Local:
    """Permits that this router grants itself.

    Attributes:
        issuer: Issues them.
        key: The upstream.
    """

    issuer: permit_issuer.PermitIssuer
    key: upstream_list.UpstreamKey

    async def ask(self, request: Request) -> Denied | None:
        """Waits for a permit; returns None once it is granted."""
        loop = asyncio.get_running_loop()
        decided = loop.create_future()
        now = loop.time()
        waiter = permit_queue.Waiter(
            request.account, now, now + request.max_wait_s, request.is_retry
        )
        self.issuer.ask(self.key, waiter, decided.set_result)
        try:
            decision = await asyncio.shield(decided)
        except asyncio.CancelledError:
            if decided.done():
                self._discard(decided.result())
            else:
                self.issuer.withdraw(self.key, waiter)
            raise
        match decision:
            case permit_queue.Denied(wait_s=wait_s):
                return Denied(wait_s)
        return None

    def give_back(self) -> None:
        """Gives a permit back."""
        self.issuer.give_back(self.key)

    def _discard(self, decision: permit_queue.Decision) -> None:
        if isinstance(decision, permit_queue.Granted):
            self.give_back()


@dataclasses.dataclass(frozen=True, slots=True)
class Remote:
    """Permits that another router grants.

    Attributes:
        link: The connection to it.
        news: The upstream and its limit.
    """

    link: permit_link.PermitLink
    news: peer_reports.LimitNews
    cold_news: peer_reports.ColdNews | None

    async def ask(self, request: Request) -> Denied | None:
        """Waits for a permit; returns None once it is granted."""
        reply = await self.link.ask(
            self.news,
            request.account,
            request.max_wait_s,
            request.is_retry,
            self.cold_news,
        )
        match reply:
            case permit_messages.Denied(wait_s=wait_s):
                return Denied(wait_s)
        return None

    def give_back(self) -> None:
        """Gives a permit back."""
        self.link.give_back(self.news.upstream, self.news.born_ms)


class Permits:
    """Gets permits from the routers that grant them.

    Args:
        view: The other routers, and who grants the permits of an upstream.

    Attributes:
        issuer: Issues the permits that this router grants.
    """

    def __init__(self, view: fleet_view.FleetView):
        self.issuer = permit_issuer.PermitIssuer(view.grantor)
        self._view = view
        self._links = router_links.RouterLinks(
            functools.partial(permit_link.PermitLink, view.router), CONNECT_TIMEOUT_S
        )
        self._avoided_until_by_router: dict[ids.InstanceId, float] = {}

    def close(self) -> None:
        """Closes the connections to the other routers."""
        self.issuer.close()
        self._links.close()

    def drop_unused(self) -> None:
        """Closes connections that have not been used for a while."""
        self._links.drop_unused(_now())

    async def acquire(
        self, candidate: placement.Candidate, request: Request
    ) -> Permit | Denied:
        """Returns a permit to send a request to an upstream, once there is one.

        Args:
            candidate: The upstream.
            request: The request.
        """
        limit = candidate.find_limit(_now())
        if limit is None:
            return Permit(candidate)
        asked_at = boot_clock.now()
        issuer = await self._find_issuer(candidate)
        denied = issuer if isinstance(issuer, Denied) else await issuer.ask(request)
        if isinstance(issuer, Remote) and issuer.link.is_silent:
            self._avoid(issuer.link.router, "no reply")
        candidate.permit_wait.note(denied.wait_s if denied else 0.0, _now())
        if denied is not None:
            return denied
        # A pause of this router may lie between the grant and now.
        granted_by = min(boot_clock.now(), asked_at + request.max_wait_s)
        ttl_s = grantor_members.PERMIT_TTL_S
        if limit.is_strict:
            ttl_s = cold_start.PERMIT_TTL_S
        return Permit(candidate, granted_by + ttl_s, issuer)

    async def _find_issuer(
        self, candidate: placement.Candidate
    ) -> Local | Remote | Denied:
        """Returns who grants the permits of a limited upstream."""
        now = _now()
        router = self._view.grantor.find_grantor(candidate.key, now)
        if router is None:
            return Denied(AVOIDED_S)
        if router == self._view.router:
            return Local(self.issuer, candidate.key)
        avoided_s = self._avoided_until_by_router.get(router, -math.inf) - now
        if avoided_s > 0:
            return Denied(avoided_s)
        status = self._view.find_status(router)
        try:
            link = await self._links.find(router, status.host, status.permit_port)
        except tcp_stream.ConnectionFailedError as error:
            self._avoid(router, str(error))
            return Denied(AVOIDED_S)
        return Remote(
            link,
            fleet_view.make_limit_news(candidate, _now()),
            fleet_view.make_cold_news(candidate, _now()),
        )

    def _avoid(self, router: ids.InstanceId, reason: str) -> None:
        logger.info("grantor avoided", extra={"peer": router, "reason": reason})
        self._avoided_until_by_router[router] = _now() + AVOIDED_S


def _now() -> float:
    return asyncio.get_running_loop().time()
