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


class GrantingTest(unittest.IsolatedAsyncioTestCase):
    """One slot, and routers that hold work of one client account."""

    def setUp(self):
        self.known = counters.Counters(0)
        self.scheduler = slot_scheduler.SlotScheduler(
            bench.SERVICE,
            "upstream",
            bench.FixedFollower(),
            self.known,
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

    def granted(self, peer):
        return [call.args[0].grant for call in peer.link.send.call_args_list]

    def check_backlogged(self, expected):
        self.scheduler.grant_free_slots()
        self.assertEqual(expected, self.known.backlogged)

    async def test_oldest_work_gets_the_slot_and_a_lost_router_gives_it_back(self):
        younger = self.add_peer(1, 100)
        older = self.add_peer(1, 200)
        self.scheduler.grant_free_slots()
        self.assertEqual((1, 0), (len(self.granted(older)), len(self.granted(younger))))
        self.scheduler.drop_peer(older)
        self.scheduler.grant_free_slots()
        self.assertEqual(1, len(self.granted(younger)))

    async def test_declined_work_waits_no_longer(self):
        peer = self.add_peer(2, 100)
        self.scheduler.grant_free_slots()
        self.check_backlogged({bench.ACCOUNT})
        self.scheduler.handle_decline(peer, self.granted(peer)[0])
        self.check_backlogged(frozenset())

    async def test_work_of_a_lost_router_waits_no_longer(self):
        peers = [self.add_peer(2, 100), self.add_peer(5, 100)]
        for peer in peers:
            self.check_backlogged({bench.ACCOUNT})
            self.scheduler.drop_peer(peer)
        self.check_backlogged(frozenset())
