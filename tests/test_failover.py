import dataclasses
import math
import random
import unittest

from teaselsill import failover, placement, routing_table, upstream_load
from tests import test_placement, test_routing_table

CALL = test_routing_table.make_route(objective_s=0.2)
STREAM = test_routing_table.make_route(
    is_stream=True, pause_s=0.4, repeat=routing_table.Repeat.RESUME
)
BRISK_STREAM = dataclasses.replace(STREAM, pause_s=0.1)
LONG_S = placement.MAX_SILENCE_S + 0.1
SOUND_SILENCE_S = 1.5
GIVE_UP_S = 2.0
"""The shortest gap after which callers abandon a stream."""


class ShouldFailOverTest(unittest.TestCase):
    def setUp(self):
        self.load = upstream_load.UpstreamLoad()
        self.request = upstream_load.InFlightRequest(0, sent_at=0.0)
        self.number = self.load.add(self.request)

    def should_fail_over(self, route, now, left_s=math.inf, uninterrupted_s=math.inf):
        return failover.should_fail_over(
            route, self.load, self.request, left_s, now, uninterrupted_s
        )

    def test_dark_upstream_unless_the_router_was_interrupted(self):
        self.assertTrue(self.should_fail_over(STREAM, LONG_S))
        self.assertFalse(self.should_fail_over(STREAM, LONG_S, uninterrupted_s=0.1))
        self.load.last_received_at = LONG_S
        self.assertFalse(self.should_fail_over(STREAM, LONG_S))

    def test_sound_upstream_may_be_silent(self):
        for route in (CALL, STREAM, BRISK_STREAM):
            self.assertFalse(self.should_fail_over(route, SOUND_SILENCE_S))

    def test_request_sent_in_a_silence_waits_as_long_as_any(self):
        late = upstream_load.InFlightRequest(0, sent_at=1.0)
        self.load.add(late)
        arguments = self.load, late, math.inf
        self.assertFalse(failover.should_fail_over(STREAM, *arguments, 2.5, math.inf))
        self.assertTrue(failover.should_fail_over(STREAM, *arguments, 2.8, math.inf))

    def test_check_is_due_when_the_upstream_has_gone_dark(self):
        now = 0.0
        while not self.should_fail_over(STREAM, now):
            now += failover.find_check_delay_s(self.load, now)
        self.assertLess(now, placement.MAX_SILENCE_S + 0.02)
        self.assertLess(0.1, failover.find_check_delay_s(self.load, now))

    def test_slow_call_with_little_time_left(self):
        self.load.last_received_at = 1.0
        self.assertFalse(self.should_fail_over(CALL, 0.4, left_s=0.6))
        self.assertTrue(self.should_fail_over(CALL, 0.6, left_s=0.4))
        self.assertFalse(self.should_fail_over(CALL, 0.4, left_s=0.2))

    def test_slow_call_with_enough_time_left(self):
        self.load.last_received_at = LONG_S
        self.assertFalse(self.should_fail_over(CALL, SOUND_SILENCE_S, left_s=5.0))
        self.assertTrue(self.should_fail_over(CALL, LONG_S, left_s=5.0))
        slow = dataclasses.replace(CALL, objective_s=1.0)
        self.assertFalse(self.should_fail_over(slow, 2.4, left_s=5.0))
        self.assertTrue(self.should_fail_over(slow, 2.6, left_s=5.0))

    def test_stalled_stream(self):
        stall_s = failover.find_stall_s(STREAM)
        self.assertAlmostEqual(2.4, stall_s)
        self.load.start(self.number, 1.0)
        self.load.note_progress(self.number, 2.0)
        self.load.last_received_at = 4.3
        self.assertFalse(self.should_fail_over(STREAM, 4.3))
        self.load.last_received_at = 4.5
        self.assertTrue(self.should_fail_over(STREAM, 4.5))

    def test_stream_stalls_before_callers_abandon_it(self):
        stall_s = failover.find_stall_s(BRISK_STREAM)
        self.assertLess(SOUND_SILENCE_S, stall_s)
        self.assertLess(stall_s, GIVE_UP_S)

    def test_upstream_is_not_at_fault_if_a_stream_had_too_little_time(self):
        self.assertFalse(self.is_upstream_at_fault(STREAM, 5.0))
        self.assertFalse(self.is_upstream_at_fault(CALL, 5.0))
        self.load.start(self.number, 1.0)
        self.load.last_received_at = 1.0
        self.assertTrue(self.is_upstream_at_fault(CALL, 1.2))
        self.assertFalse(self.is_upstream_at_fault(STREAM, 1.2))
        self.assertTrue(self.is_upstream_at_fault(STREAM, 5.0))
        self.assertTrue(self.is_upstream_at_fault(CALL, 5.0))

    def test_upstream_is_not_at_fault_if_it_is_silent_at_the_deadline(self):
        self.load.start(self.number, 1.0)
        self.load.last_received_at = 1.0
        self.assertFalse(self.is_upstream_at_fault(CALL, 1.0 + SOUND_SILENCE_S))

    def is_upstream_at_fault(self, route, now):
        return failover.is_upstream_at_fault(route, self.load, self.request, now)


class SilenceReplayTest(unittest.TestCase):
    """Events come every 0.1 s, but for a silence from second 1 on."""

    def setUp(self):
        self.upstream = test_placement.make_candidate("silent")
        self.other = test_placement.make_candidate("other")
        self.other.load.own = 10
        self.requests = [upstream_load.InFlightRequest(0, t / 5) for t in range(3)]
        for request in self.requests:
            self.upstream.load.add(request)

    def replay(self, silent_s, route=BRISK_STREAM):
        """Returns the times of failovers, and of new requests sent elsewhere."""
        moved_at, elsewhere_at = [], []
        for tick in range(60):
            now = tick / 10
            if not 1.0 < now < 1.0 + silent_s:
                self.receive(now)
            arguments = math.inf, now, math.inf
            moved_at += [
                now
                for request in self.requests
                if failover.should_fail_over(
                    route, self.upstream.load, request, *arguments
                )
            ]
            candidates = [self.upstream, self.other]
            call = test_placement.make_call()
            if test_placement.choose(call, candidates, now).candidate is self.other:
                elsewhere_at.append(now)
        return moved_at, elsewhere_at

    def receive(self, now):
        self.upstream.load.last_received_at = now
        for request in self.requests:
            request.started_at = request.started_at or now
            request.progressed_at = now

    def test_short_silence_only_sends_new_requests_elsewhere(self):
        moved_at, elsewhere_at = self.replay(SOUND_SILENCE_S)
        self.assertEqual([], moved_at)
        self.assertLess(1.0 + placement.SILENCE_S, min(elsewhere_at))
        self.assertLess(max(elsewhere_at), 1.0 + SOUND_SILENCE_S)
        self.assertFalse(self.upstream.health.is_avoided(1.0 + SOUND_SILENCE_S))

    def test_requests_are_moved_before_their_callers_abandon_them(self):
        moved_at, elsewhere_at = self.replay(math.inf)
        self.assertLess(1.0 + SOUND_SILENCE_S, min(moved_at))
        self.assertLess(min(moved_at), 1.0 + GIVE_UP_S)
        self.assertEqual(5.9, max(elsewhere_at))
        self.assertTrue(self.upstream.health.is_avoided(1.0 + GIVE_UP_S))


class ShortDeadlineReplayTest(unittest.TestCase):
    """Requests with deadlines of 0.8 s, one every 0.1 s; one upstream goes dark."""

    DEADLINE_S = 0.8
    RESPONSE_S = 0.3
    MAX_TRIES = 3
    """How often the upstream is tried in 10 s, if it is avoided for 1 s and 2 s."""
    MAX_LOST_PER_TRY = 5
    """Half of the requests until it is seen to be silent, and one more."""

    def setUp(self):
        random.seed(1)
        self.dark = test_placement.make_candidate("dark")
        self.other = test_placement.make_candidate("other")
        self.in_progress = []
        self.lost_at = []

    def replay(self, until_s):
        """Records when requests are sent that are lost at the dark upstream."""
        for tick in range(round(10 * until_s)):
            now = tick / 10
            self.end_requests(now)
            candidates = [self.dark, self.other]
            call = test_placement.make_call()
            chosen = test_placement.choose(call, candidates, now).candidate
            is_lost = chosen is self.dark
            if is_lost:
                self.lost_at.append(now)
            ends_at = now + (self.DEADLINE_S if is_lost else self.RESPONSE_S)
            request = upstream_load.InFlightRequest(0, now)
            self.in_progress.append((ends_at, chosen, chosen.load.add(request)))

    def end_requests(self, now):
        for ended in [entry for entry in self.in_progress if entry[0] <= now]:
            _, candidate, number = ended
            if candidate is self.other:
                candidate.load.last_received_at = now
            candidate.load.remove(number, now)
            self.in_progress.remove(ended)

    def test_dark_upstream_is_avoided_although_each_request_ends_early(self):
        self.replay(2.7)
        self.assertFalse([at for at in self.lost_at if at >= 2.0])
        self.assertTrue(self.dark.health.is_avoided(2.0))

    def test_few_requests_are_lost_at_it(self):
        self.replay(10.0)
        self.assertLessEqual(len(self.lost_at), self.MAX_TRIES * self.MAX_LOST_PER_TRY)
