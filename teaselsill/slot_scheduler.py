"""An agent's decisions on who goes next: offers free slots to connected routers."""

import asyncio
import time

from teaselsill import (
    cost_estimator,
    counters,
    document,
    ids,
    messages,
    metrics,
    policies,
    router_peer,
    slots,
)

PAUSE_MIN_S = 0.1
PAUSE_MAX_S = 2.0
"""How long no slots are offered after the upstream has failed."""


class SlotScheduler:
    """Offers the free slots of one upstream.

    Args:
        service: The service that the upstream belongs to.
        upstream: The upstream's id.
        follower: The configuration.
        known: The counters of the service.
        policy: Chooses who goes next.
        sink: Takes the metrics.

    Attributes:
        slots: The upstream's slots.
        peers: The connected peers.
        is_leaving: Whether the agent takes no new work, for good.
        is_listed_leaving: Whether the platform says that its instance leaves.
        served_cost: The cost served in this run, in the service's unit.
        largest_cost: The greatest cost of one request in this run.
        smallest_share: The smallest share of a client account.
    """

    def __init__(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        follower,
        known: counters.Counters,
        policy: policies.Policy,
        sink: metrics.Metrics,
    ):
        self.slots = slots.Slots()
        self.peers: set[router_peer.RouterPeer] = set()
        self.is_leaving = False
        self._holders_by_account: dict[ids.AccountId, set[router_peer.RouterPeer]] = {}
        self.is_listed_leaving = False
        self.served_cost = 0.0
        self.largest_cost = 0.0
        self.smallest_share = 0.0
        self._expectation = cost_estimator.CostEstimator(0.0)
        self._service = service
        self._upstream = upstream
        self._follower = follower
        self._counters = known
        self._policy = policy
        self._metrics = sink
        self._paused_until = 0.0
        self._pause_s = PAUSE_MIN_S
        follower.subscribe(lambda *_: self._apply_configuration())
        self._apply_configuration()

    @property
    def current_service(self) -> document.Service | None:
        """The service as the configuration in force describes it."""
        known = self._follower.document
        return known.service_by_name.get(self._service) if known else None

    def allows(self, account: ids.AccountId) -> bool:
        """Tells whether a client account may reach this upstream."""
        known = self._follower.document
        return known is not None and known.allows(
            account, self._service, self._upstream
        )

    def grant_free_slots(self) -> None:
        """Offers every free slot to the client account whose turn it is."""
        self._counters.set_backlogged(self._holders_by_account)
        service = self.current_service
        while service and self._may_grant() and self.slots.free > 0:
            candidates = self._list_candidates()
            if not candidates:
                return
            self._grant(self._policy.choose(candidates, self._counters))

    def drop_peer(self, peer: router_peer.RouterPeer) -> None:
        """Takes back the slots that were offered to a peer that is gone."""
        self.peers.discard(peer)
        for account in list(peer.demand_by_account):
            self._drop_demand(peer, account)
        for grant, offer in list(self.slots.offer_by_grant.items()):
            if offer.holder is peer:
                self._end_offer(grant)

    def leave(self) -> None:
        """Takes back all offers and makes no more."""
        self.is_leaving = True
        for grant in list(self.slots.offer_by_grant):
            self._end_offer(grant)

    def update_demand(
        self, peer: router_peer.RouterPeer, message: messages.Demand
    ) -> None:
        """Notes how many requests of a client account wait at a router."""
        peer.update_demand(message)
        self._index_demand(peer, message.account)

    def handle_decline(self, peer: router_peer.RouterPeer, grant: ids.GrantId) -> None:
        """Takes back a slot that a router has no use for."""
        offer = self.slots.offer_by_grant.get(grant)
        if offer is not None and offer.holder is peer:
            self._end_offer(grant)
            self._drop_demand(peer, offer.account)
            self._metrics.count(metrics.Metric.GRANTS_DECLINED)

    def release_unused(self, offer: slots.Offer) -> None:
        """Frees the slot of a request that was accepted and does not run."""
        self._counters.release(offer.account, offer.expected_cost)
        self.slots.release()

    def finish(self, account: ids.AccountId, cost: float) -> None:
        """Frees the slot of a request that has ended, and learns what it has cost."""
        self.slots.release()
        self.served_cost += cost
        self.largest_cost = max(self.largest_cost, cost)
        if cost > 0:
            self._expectation.update(account, cost)

    def pause(self) -> None:
        """Offers no slots for a while, after the upstream has failed."""
        if time.monotonic() < self._paused_until:
            return
        self._paused_until = time.monotonic() + self._pause_s
        loop = asyncio.get_running_loop()
        loop.call_later(self._pause_s, self.grant_free_slots)
        self._pause_s = min(self._pause_s * 2, PAUSE_MAX_S)

    def reset_pause(self) -> None:
        """Notes that the upstream can be reached."""
        self._pause_s = PAUSE_MIN_S

    def _apply_configuration(self) -> None:
        service = self.current_service
        self.slots.resize(service.slots if service else 0)
        if service is None:
            return
        self._expectation.default = service.expected_cost
        accounts = self._follower.document.client_accounts
        self.smallest_share = min((account.share for account in accounts), default=1.0)
        cap = counters.debt_cap(service.expected_cost, self.smallest_share)
        self._counters.set_debt_cap(cap)
        self.grant_free_slots()

    def _may_grant(self) -> bool:
        if self.is_leaving or self.is_listed_leaving:
            return False
        if time.monotonic() < self._paused_until:
            return False
        return self._upstream not in self._follower.document.leaving_upstreams

    def _list_candidates(self) -> list[policies.Candidate]:
        known = self._follower.document
        now = time.monotonic()
        return [
            policies.Candidate(
                account,
                int((now - _oldest(account, holders)) * 1000),
                self._expectation.estimate(account)
                / known.account_by_id[account].share,
            )
            for account, holders in self._holders_by_account.items()
            if self.allows(account)
        ]

    def _grant(self, candidate: policies.Candidate) -> None:
        """Offers a slot to the router that holds the account's oldest request."""
        account = candidate.account
        holders = self._holders_by_account[account]
        peer = min(
            holders, key=lambda holder: holder.demand_by_account[account].oldest_since
        )
        peer.count_granted(account)
        self._index_demand(peer, account)
        self._counters.reserve(account, candidate.expected_cost)
        offer = self.slots.offer(account, peer, candidate.expected_cost)
        self._metrics.count(metrics.Metric.GRANTS)
        peer.link.send(messages.Grant(offer.grant, account))
        loop = asyncio.get_running_loop()
        loop.call_later(slots.GRANT_LIFETIME_S, self._expire_offer, offer.grant)

    def _drop_demand(
        self, peer: router_peer.RouterPeer, account: ids.AccountId
    ) -> None:
        peer.demand_by_account.pop(account, None)
        self._index_demand(peer, account)

    def _index_demand(
        self, peer: router_peer.RouterPeer, account: ids.AccountId
    ) -> None:
        """Notes whether a peer holds work of a client account."""
        holders = self._holders_by_account.setdefault(account, set())
        if account in peer.demand_by_account:
            holders.add(peer)
        else:
            holders.discard(peer)
        if not holders:
            del self._holders_by_account[account]

    def _end_offer(self, grant: ids.GrantId) -> bool:
        offer = self.slots.withdraw(grant)
        if offer is None:
            return False
        self._counters.release(offer.account, offer.expected_cost)
        return True

    def _expire_offer(self, grant: ids.GrantId) -> None:
        if self._end_offer(grant):
            self._metrics.count(metrics.Metric.GRANTS_EXPIRED)
            self.grant_free_slots()


def _oldest(account: ids.AccountId, holders: set[router_peer.RouterPeer]) -> float:
    return min(holder.demand_by_account[account].oldest_since for holder in holders)
