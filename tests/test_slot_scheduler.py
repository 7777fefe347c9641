import unittest
from unittest import mock

from teaselsill import (
    counters,
    messages,
    metrics,
    policies,
    router_peer,
    slot_scheduler,
)
from tests import bench


class SlotSchedulerTest(unittest.IsolatedAsyncioTestCase):
    """One slot, and routers at which requests of one client account wait."""

    def setUp(self):
        self.service_counters = counters.Counters(0)
        self.scheduler = slot_scheduler.SlotScheduler(
            bench.SERVICE,
            "upstream",
            bench.FixedFollower(),
            self.service_counters,
            policies.LeastService(),
            metrics.Metrics(""),
        )
        self.scheduler.slots.resize(1)

    def add_peer(self, waiting, oldest_ms):
        peer = router_peer.RouterPeer(mock.Mock())
        self.scheduler.peers.add(peer)
        demand = messages.Demand(bench.ACCOUNT, waiting, oldest_ms)
        self.scheduler.update_demand(peer, demand)
        return peer

    def granted_to(self, peer):
        return [call.args[0].grant for call in peer.link.send.call_args_list]

    def check_backlogged(self, expected):
        self.scheduler.grant_free_slots()
        self.assertEqual(expected, self.service_counters.backlogged)

    async def test_oldest_request_gets_the_slot_and_a_lost_router_frees_it(self):
        younger = self.add_peer(1, 100)
        older = self.add_peer(1, 200)
        self.scheduler.grant_free_slots()
        self.assertEqual(
            (1, 0), (len(self.granted_to(older)), len(self.granted_to(younger)))
        )
        self.scheduler.drop_peer(older)
        self.scheduler.grant_free_slots()
        self.assertEqual(1, len(self.granted_to(younger)))

    async def test_declined_demand_is_dropped(self):
        peer = self.add_peer(2, 100)
        self.scheduler.grant_free_slots()
        self.check_backlogged({bench.ACCOUNT})
        self.scheduler.handle_decline(peer, self.granted_to(peer)[0])
        self.check_backlogged(frozenset())

    async def test_demand_of_a_lost_router_is_dropped(self):
        peers = [self.add_peer(2, 100), self.add_peer(5, 100)]
        for peer in peers:
            self.check_backlogged({bench.ACCOUNT})
            self.scheduler.drop_peer(peer)
        self.check_backlogged(frozenset())
