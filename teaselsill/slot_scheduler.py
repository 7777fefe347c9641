"""Grants the free slots of one upstream to the client accounts that wait for it."""

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
    request_memory,
    router_peer,
    slots,
)

PAUSE_MIN_S = 0.1
PAUSE_MAX_S = 2.0
"""How long granting pauses after an upstream failure; doubles up to the maximum."""


class SlotScheduler:
    """Offers free slots to routers, in the order that the policy chooses.

    An offer is sent as a `Grant` message. It ends when the router dispatches a request
    or declines, when it expires, or when the link is lost.

    Args:
        service: The service that the upstream belongs to.
        upstream: The upstream's id.
        follower: Follows the configuration.
        service_counters: The counters of the service.
        policy: Chooses the client account that gets the next slot.
        sink: Receives the metrics.

    Attributes:
        slots: The upstream's slots.
        peers: The connected peers.
        is_leaving: Whether the agent has permanently stopped granting slots.
        is_listed_leaving: Whether the instance list marks the agent as leaving.
        served_cost: The cost served since the start, in the service's unit.
        largest_cost: The greatest cost of one request since the start.
        smallest_share: The smallest share of any client account.
    """

    def __init__(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        follower,
        service_counters: counters.Counters,
        policy: policies.Policy,
        sink: metrics.Metrics,
    ):
        self.slots = slots.Slots()
        self.peers: set[router_peer.RouterPeer] = set()
        self.is_leaving = False
        self._peers_by_account: dict[ids.AccountId, set[router_peer.RouterPeer]] = {}
        self.is_listed_leaving = False
        self.served_cost = 0.0
        self.largest_cost = 0.0
        self.smallest_share = 0.0
        self._cost_estimator = cost_estimator.CostEstimator(0.0)
        self._service = service
        self._upstream = upstream
        self._follower = follower
        self._counters = service_counters
        self._policy = policy
        self._metrics = sink
        self._paused_until = 0.0
        self._requests: request_memory.RequestMemory | None = None
        self._pause_s = PAUSE_MIN_S
        follower.subscribe(lambda *_: self._apply_configuration())
        self._apply_configuration()

    @property
    def current_service(self) -> document.Service | None:
        """The service as configured now, or none."""
        configuration = self._follower.document
        return (
            configuration.service_by_name.get(self._service) if configuration else None
        )

    def allows(self, account: ids.AccountId) -> bool:
        """Returns whether a client account may use this upstream."""
        configuration = self._follower.document
        return configuration is not None and configuration.allows(
            account, self._service, self._upstream
        )

    def limit_memory(self, requests: request_memory.RequestMemory) -> None:
        """Offers slots only while there is memory for the requests."""
        self._requests = requests

    def grant_free_slots(self) -> None:
        """Offers the free slots to waiting client accounts until either run out."""
        self._counters.set_backlogged(self._peers_by_account)
        service = self.current_service
        while service and self._may_grant() and self.slots.free > 0:
            candidates = self._list_candidates()
            if not candidates:
                return
            self._grant(self._policy.choose(candidates, self._counters))

    def drop_peer(self, peer: router_peer.RouterPeer) -> None:
        """Drops a disconnected peer with its demand, and withdraws its offers."""
        self.peers.discard(peer)
        for account in list(peer.demand_by_account):
            self._drop_demand(peer, account)
        for grant, offer in list(self.slots.offer_by_grant.items()):
            if offer.holder is peer:
                self._withdraw_offer(grant)

    def leave(self) -> None:
        """Withdraws all offers and makes no more."""
        self.is_leaving = True
        for grant in list(self.slots.offer_by_grant):
            self._withdraw_offer(grant)

    def update_demand(
        self, peer: router_peer.RouterPeer, message: messages.Demand
    ) -> None:
        """Records how many requests of a client account wait at a router."""
        peer.update_demand(message)
        self._index_demand(peer, message.account)

    def handle_decline(self, peer: router_peer.RouterPeer, grant: ids.GrantId) -> None:
        """Withdraws an offer that a router declined, and drops that demand."""
        offer = self.slots.offer_by_grant.get(grant)
        if offer is not None and offer.holder is peer:
            self._withdraw_offer(grant)
            self._drop_demand(peer, offer.account)
            self._metrics.count(metrics.Metric.GRANTS_DECLINED)

    def release_unused(self, offer: slots.Offer) -> None:
        """Releases the slot of an accepted request that does not run."""
        self._counters.release(offer.account, offer.expected_cost)
        self.slots.release()

    def finish(self, account: ids.AccountId, cost: float) -> None:
        """Releases the slot of a finished request and records its cost."""
        self.slots.release()
        self.served_cost += cost
        self.largest_cost = max(self.largest_cost, cost)
        if cost > 0:
            self._cost_estimator.update(account, cost)

    def pause(self) -> None:
        """Pauses granting after an upstream failure, with exponential backoff."""
        if time.monotonic() < self._paused_until:
            return
        self._paused_until = time.monotonic() + self._pause_s
        loop = asyncio.get_running_loop()
        loop.call_later(self._pause_s, self.grant_free_slots)
        self._pause_s = min(self._pause_s * 2, PAUSE_MAX_S)

    def reset_pause(self) -> None:
        """Resets the backoff once the upstream has responded."""
        self._pause_s = PAUSE_MIN_S

    def _apply_configuration(self) -> None:
        service = self.current_service
        self.slots.resize(service.slots if service else 0)
        if service is None:
            return
        self._cost_estimator.default = service.expected_cost
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
        requests = self._requests
        if requests and not requests.may_offer(len(self.slots.offer_by_grant)):
            return False
        return self._upstream not in self._follower.document.leaving_upstreams

    def _list_candidates(self) -> list[policies.Candidate]:
        configuration = self._follower.document
        now = time.monotonic()
        return [
            policies.Candidate(
                account,
                int((now - _oldest(account, peers)) * 1000),
                self._cost_estimator.estimate(account)
                / configuration.account_by_id[account].share,
            )
            for account, peers in self._peers_by_account.items()
            if self.allows(account)
        ]

    def _grant(self, candidate: policies.Candidate) -> None:
        """Offers a slot to the router where the account's oldest request waits."""
        account = candidate.account
        peers = self._peers_by_account[account]
        peer = min(peers, key=lambda peer: peer.demand_by_account[account].oldest_since)
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
        """Updates the index of peers at which requests of a client account wait."""
        peers = self._peers_by_account.setdefault(account, set())
        if account in peer.demand_by_account:
            peers.add(peer)
        else:
            peers.discard(peer)
        if not peers:
            del self._peers_by_account[account]

    def _withdraw_offer(self, grant: ids.GrantId) -> bool:
        offer = self.slots.withdraw(grant)
        if offer is None:
            return False
        self._counters.release(offer.account, offer.expected_cost)
        return True

    def _expire_offer(self, grant: ids.GrantId) -> None:
        if self._withdraw_offer(grant):
            self._metrics.count(metrics.Metric.GRANTS_EXPIRED)
            self.grant_free_slots()


def _oldest(account: ids.AccountId, peers: set[router_peer.RouterPeer]) -> float:
    return min(peer.demand_by_account[account].oldest_since for peer in peers)
