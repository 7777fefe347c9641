import heapq
import itertools
import unittest

import msgspec

from teaselsill import ids, loop_lag, peer_liveness, peer_reports, report_routes
from tests import test_peer_links

INTERVAL_S = 0.6
RESPONSIVE_S = peer_liveness.find_responsive_s(INTERVAL_S)
LIVE_S = peer_liveness.find_live_s(INTERVAL_S)
STEP_S = 0.01


def make_report(name, interval_s=INTERVAL_S, uptime_s=0):
    report = test_peer_links.make_report(name, uptime_s)
    return msgspec.structs.replace(report, interval_s=interval_s)


class PeerLivenessTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.lag = loop_lag.LoopLag()
        self.liveness = peer_liveness.PeerLiveness(self.lag)
        self.run_for(1.0)

    def hear(self, name, **fields):
        return self.liveness.note_report(make_report(name, **fields), self.now)

    def run_for(self, duration_s):
        for _ in range(round(duration_s / loop_lag.PERIOD_S)):
            self.now += loop_lag.PERIOD_S
            self.lag.add(0.0, self.now)

    def pause(self, duration_s):
        """Lets the time of a pause pass; the event loop has not run since."""
        self.now += duration_s

    def wake(self, paused_s):
        self.lag.add(paused_s, self.now)

    def is_responsive(self, name):
        return self.liveness.is_responsive(name, self.now)

    def is_live(self, name):
        return self.liveness.is_live(name, self.now)

    def test_unknown_router_is_not_live(self):
        self.assertFalse(self.is_live("r") or self.is_responsive("r"))

    def test_silent_router_is_not_responsive_and_later_not_live(self):
        self.hear("r")
        self.run_for(RESPONSIVE_S - 0.1)
        self.assertTrue(self.is_responsive("r"))
        self.run_for(0.2)
        self.assertFalse(self.is_responsive("r"))
        self.assertEqual([], self.liveness.list_responsive(self.now))
        self.assertEqual(["r"], self.liveness.list_live(self.now))
        self.run_for(LIVE_S - RESPONSIVE_S - 0.2)
        self.assertTrue(self.is_live("r"))
        self.run_for(0.2)
        self.assertFalse(self.is_live("r"))
        self.assertEqual([], self.liveness.list_live(self.now))

    def test_window_follows_the_interval_that_the_router_states(self):
        self.hear("slow", interval_s=3.0)
        self.hear("quick", interval_s=0.5)
        self.run_for(3.0)
        self.assertEqual(["slow"], self.liveness.list_responsive(self.now))

    def test_window_follows_the_size_of_the_fleet_if_no_interval_is_stated(self):
        for number in range(299):
            self.hear(f"r{number}", interval_s=0.0)
        self.hear("r0", interval_s=0.0)
        self.run_for(1.25 + 1.0)
        self.assertTrue(self.is_responsive("r0"))

    def test_new_restarted_and_silent_routers_have_to_be_told(self):
        self.assertTrue(self.hear("r", uptime_s=5))
        self.assertFalse(self.hear("r", uptime_s=6))
        self.assertTrue(self.hear("r", uptime_s=0))
        self.run_for(RESPONSIVE_S + 0.2)
        self.assertTrue(self.hear("r", uptime_s=2))

    def test_silence_while_this_router_was_paused_is_no_evidence(self):
        for paused_s in (1.5, 3.0, 60.0):
            with self.subTest(paused_s=paused_s):
                self.hear("r")
                self.run_for(RESPONSIVE_S - 0.2)
                self.pause(paused_s)
                self.assertTrue(self.is_responsive("r"))
                self.wake(paused_s)
                self.run_for(0.5)
                self.assertTrue(self.is_responsive("r"))
                self.assertFalse(self.hear("r"))

    def test_router_that_died_before_a_pause_stays_dead(self):
        self.hear("r")
        self.run_for(LIVE_S + 0.2)
        self.pause(3.0)
        self.assertFalse(self.is_live("r"))
        self.wake(3.0)
        self.assertFalse(self.is_live("r"))
        self.run_for(0.5)
        self.assertFalse(self.is_live("r"))

    def test_router_that_died_during_a_pause_is_noticed(self):
        self.hear("r")
        self.pause(3.0)
        self.wake(3.0)
        self.run_for(LIVE_S + peer_liveness.CATCH_UP_S)
        self.assertFalse(self.is_live("r"))

    def test_router_that_died_is_noticed_in_spite_of_many_pauses(self):
        self.hear("r")
        for _ in range(20):
            self.pause(1.0)
            self.wake(1.0)
            self.run_for(0.5)
        self.assertFalse(self.is_live("r"))

    def test_router_is_not_responsive_because_this_event_loop_is_late(self):
        """It is late by less than an interruption, again and again."""
        self.hear("r")
        for _ in range(5):
            self.now += 0.4
            self.lag.add(0.35, self.now)
        self.assertTrue(self.is_responsive("r"))

    def test_reports_of_a_connected_router_are_awaited(self):
        self.liveness.note_connected("r", self.now)
        self.assertTrue(self.is_responsive("r"))
        self.run_for(RESPONSIVE_S + 0.2)
        self.assertFalse(self.is_responsive("r"))
        self.assertTrue(self.hear("r"))


class Router:
    """One router in a replay: what it has heard, and its contacts.

    Args:
        peer: The router.
    """

    def __init__(self, peer):
        self.id = peer.id
        self.routes = report_routes.ReportRoutes(peer.id, peer.data_centre)
        self.liveness = peer_liveness.PeerLiveness(loop_lag.LoopLag())
        self.suspected = set()
        self.paused_until = 0.0

    def choose_targets(self, now):
        """Returns the local routers, and a contact in each other data centre."""
        for contacts in self.routes.list_contacts(self.suspected.__contains__):
            for contact in contacts:
                if not self.liveness.is_responsive(contact, now):
                    self.suspected.add(contact)
        ranked = self.routes.list_contacts(self.suspected.__contains__)
        return self.routes.list_local(), [contacts[0] for contacts in ranked]


class ContactsReplay:
    """Routers that report at their interval through contacts, on a virtual clock.

    Args:
        data_centres: How many data centres there are.
        routers_each: How many routers are in each of them.
        interval_s: The interval of their reports.
    """

    def __init__(self, data_centres, routers_each, interval_s):
        self.now = 0.0
        self.interval_s = interval_s
        self._number = itertools.count()
        self._events = []
        peers = [
            report_routes.Peer(ids.InstanceId(f"{dc}-{n}"), ids.DataCentre(dc), "", 0)
            for dc in "abcdef"[:data_centres]
            for n in range(routers_each)
        ]
        self.router_by_id = {peer.id: Router(peer) for peer in peers}
        for router in self.router_by_id.values():
            for peer in peers:
                if peer.id != router.id:
                    router.routes.put(peer)
                    router.liveness.note_connected(peer.id, self.now)
        for position, router in enumerate(self.router_by_id):
            self.add(interval_s * position / len(peers), router, None, False)

    def add(self, delay_s, router, report, is_forwarded):
        at = self.now + delay_s
        event = at, next(self._number), router, report, is_forwarded
        heapq.heappush(self._events, event)

    def run_until(self, until):
        while self._events and self._events[0][0] <= until:
            self.now, _, router_id, report, is_forwarded = heapq.heappop(self._events)
            router = self.router_by_id[router_id]
            if self.now < router.paused_until:
                delay_s = router.paused_until - self.now
                self.add(delay_s, router_id, report, is_forwarded)
            elif report is None:
                self._send(router)
            else:
                self._receive(router, report, is_forwarded)
        self.now = until

    def _send(self, router):
        report = make_report(router.id, self.interval_s)
        local, contacts = router.choose_targets(self.now)
        for target in local:
            self.add(STEP_S, target, report, False)
        for target in contacts:
            self.add(STEP_S, target, report, True)
        self.add(self.interval_s, router.id, None, False)

    def _receive(self, router, report, is_forwarded):
        router.liveness.note_report(report, self.now)
        if is_forwarded:
            for target in router.routes.list_local():
                self.add(STEP_S, target, report, False)


class ContactPauseTest(unittest.TestCase):
    """The routers whose reports a contact forwards are silent while it is paused."""

    def count_users(self, replay, contact):
        """Returns how many routers have chosen a router as their contact."""
        return sum(
            contact in router.choose_targets(replay.now)[1]
            for router in replay.router_by_id.values()
        )

    def test_routers_behind_a_paused_or_dead_contact_stay_live(self):
        for interval_s in (peer_reports.find_interval_s(n) for n in (29, 299, 999)):
            for paused_s in (3.0, 60.0):
                with self.subTest(interval_s=interval_s, paused_s=paused_s):
                    self.play(interval_s, paused_s)

    def play(self, interval_s, paused_s):
        replay = ContactsReplay(3, 8, interval_s)
        replay.run_until(3 * interval_s)
        paused = "b-0"
        self.assertGreater(self.count_users(replay, paused), 0)
        until = replay.now + 6 * interval_s + 10.0
        replay.router_by_id[paused].paused_until = replay.now + paused_s
        while replay.now < until:
            replay.run_until(replay.now + 0.1)
            for router in replay.router_by_id.values():
                if router.id != paused:
                    self.assertLessEqual(self.list_silent(replay, router), {paused})
        expected = {paused} if paused_s > 50.0 else set()
        observer = replay.router_by_id["c-0"]
        self.assertEqual(expected, self.list_silent(replay, observer))

    def list_silent(self, replay, router):
        live = router.liveness.list_live(replay.now)
        return replay.router_by_id.keys() - {router.id, *live}
