"""Replays reports of whole fleets to one router's view, on a virtual clock."""

import dataclasses
import random
import unittest

import msgspec

from teaselsill import ids, upstream_load
from tests import test_fleet_view, test_keyed_log

SIZES = (4, 30, 68, 300)
MAX_DELAY_S = 0.5
"""A longer delay of an event loop is an interruption."""
CHECK_INTERVAL_S = 0.05
OBSERVER = "m"


@dataclasses.dataclass
class Clock:
    """A virtual clock.

    Attributes:
        now: The time, in seconds.
    """

    now: float = 1000.0


class Fleet:
    """The view of one router, and the reports of the others.

    Args:
        size: How many routers there are.
        seed: The seed of the delays of reports.
    """

    def __init__(self, size, seed=1):
        self._random = random.Random(seed)
        self.clock = Clock()
        self.peers = [ids.InstanceId(f"r{n:03}") for n in range(size - 1)]
        self.view, self.upstreams = self._make_view(OBSERVER)
        self._sender, self._sender_upstreams = self._make_view("sender")
        for peer in self.peers:
            self._sender.apply(self._make_report(peer))
        for peer in self.peers:
            self.view.apply(self._make_report(peer))
        self.period_s = self._sender.find_report_period_s()

    def _make_view(self, name):
        view, upstreams = test_fleet_view.make_view(name)
        view._now = lambda: self.clock.now
        return view, upstreams

    def _make_report(self, peer):
        """Returns the report of a router that knows the whole fleet."""
        self._sender.note_log_change("topic", test_keyed_log.at(1))
        report = self._sender.take_report()
        return msgspec.structs.replace(report, router=peer)

    def report(self, peer, load=None):
        """Applies a report of a router, which hears the others, too."""
        report = self._make_report(peer)
        self._sender.apply(report)
        if load is not None:
            report = msgspec.structs.replace(report, load_by_upstream=load)
        self.view.apply(report)

    def list_reports(self, peers, duration_s):
        """Returns when the reports of each router arrive, in order of time."""
        began_at = self.clock.now
        arrivals = []
        for peer in peers:
            due_at = began_at + self._random.uniform(0.0, self.period_s)
            while due_at < began_at + duration_s:
                delay_s = self._random.uniform(0.0, MAX_DELAY_S)
                arrivals.append((due_at + delay_s, peer))
                due_at += self.period_s
        return sorted(arrivals)

    def play(self, peers, duration_s):
        """Applies the reports of routers; yields at short intervals."""
        until = self.clock.now + duration_s
        arrivals = self.list_reports(peers, duration_s)
        while self.clock.now < until:
            while arrivals and arrivals[0][0] <= self.clock.now:
                self.report(arrivals.pop(0)[1])
            yield
            self.clock.now += CHECK_INTERVAL_S


class FleetLivenessTest(unittest.IsolatedAsyncioTestCase):
    async def test_routers_that_report_at_their_period_are_live_throughout(self):
        for size in SIZES:
            with self.subTest(size=size):
                fleet = Fleet(size)
                for _ in fleet.play(fleet.peers, 20.0):
                    self.assertEqual(size - 1, fleet.view.count_live_peers())
                    self.assertEqual(size - 1, len(fleet.view.list_statuses()))

    async def test_router_that_was_paused_stays_live(self):
        for size in SIZES:
            for pause_s in (1.0, 2.0, 3.0):
                with self.subTest(size=size, pause_s=pause_s):
                    fleet = Fleet(size)
                    paused, *others = fleet.peers
                    for _ in fleet.play(others, fleet.period_s + pause_s):
                        self.assertTrue(fleet.view.is_live(paused))

    async def test_dead_router_is_noticed_in_time(self):
        for size, for_new_work_s, for_standing_work_s in (
            (4, 2.0, 5.0),
            (30, 2.0, 5.0),
            (68, 2.0, 5.0),
            (300, 3.1, 6.1),
        ):
            with self.subTest(size=size):
                fleet = Fleet(size)
                dead, *others = fleet.peers
                for _ in fleet.play(others, for_new_work_s):
                    pass
                self.assertNotIn(dead, fleet.view.list_statuses())
                for _ in fleet.play(others, for_standing_work_s - for_new_work_s):
                    pass
                self.assertFalse(fleet.view.is_live(dead))
                self.assertEqual(size - 2, fleet.view.count_live_peers())

    async def test_load_that_routers_report_stays_known_between_reports(self):
        """Engines that seem idle get more work than they can take."""
        for size in SIZES:
            with self.subTest(size=size):
                fleet = Fleet(size)
                load = {ids.UpstreamId("u"): upstream_load.LoadSummary(1, 100)}
                fleet.report(fleet.peers[0], load)
                candidate = test_fleet_view.find_candidate(fleet.upstreams)
                for _ in fleet.play([], fleet.period_s + MAX_DELAY_S):
                    self.expire(fleet)
                    self.assertEqual(1, candidate.load.count(fleet.clock.now))
                fleet.clock.now += 2.0
                self.expire(fleet)
                self.assertEqual(0, candidate.load.count(fleet.clock.now))

    def expire(self, fleet):
        fleet.upstreams.prune(fleet.clock.now)
        fleet.view.take_report()

    async def test_fleet_is_not_told_everything_anew_at_each_report(self):
        """A late report is no sign of a router that knows nothing."""
        fleet = Fleet(300)
        fleet.view.take_report()
        for _ in fleet.play(fleet.peers, 10.0):
            self.assertFalse(fleet.view.has_unreported_changes)
