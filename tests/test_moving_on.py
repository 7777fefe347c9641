import math
import unittest

from teaselsill import moving_on, placement, routing_table, upstream_load
from tests import test_routing_table

CALL = test_routing_table.make_route(objective_s=0.2)
STREAM = test_routing_table.make_route(
    is_stream=True, pause_s=0.4, repeat=routing_table.Repeat.RESUME
)
LONG_S = placement.SILENCE_S + 0.1


class ShouldMoveOnTest(unittest.TestCase):
    def setUp(self):
        self.load = upstream_load.UpstreamLoad()
        self.work = upstream_load.Work(0, sent_at=0.0)
        self.number = self.load.add(self.work)

    def should_move_on(self, route, now, waited_s=0.0, running_s=math.inf):
        return moving_on.should_move_on(
            route, self.load, self.work, waited_s, now, running_s
        )

    def test_silent_upstream_unless_the_router_stood_still(self):
        self.assertTrue(self.should_move_on(STREAM, LONG_S))
        self.assertFalse(self.should_move_on(STREAM, LONG_S, running_s=0.1))
        self.load.heard_at = LONG_S
        self.assertFalse(self.should_move_on(STREAM, LONG_S))

    def test_call_that_takes_long(self):
        self.load.heard_at = 1.0
        self.assertFalse(self.should_move_on(CALL, 1.0, waited_s=0.4))
        self.assertTrue(self.should_move_on(CALL, 1.0, waited_s=0.6))

    def test_stream_without_an_event_for_long(self):
        stall_s = moving_on.find_stall_s(STREAM)
        self.assertAlmostEqual(2.4, stall_s)
        self.load.start(self.number, 1.0)
        self.load.note_progress(self.number, 2.0)
        self.load.heard_at = 4.3
        self.assertFalse(self.should_move_on(STREAM, 4.3))
        self.load.heard_at = 4.5
        self.assertTrue(self.should_move_on(STREAM, 4.5))

    def test_stream_that_was_only_cut_off_at_its_deadline(self):
        self.assertFalse(moving_on.is_endless(STREAM, self.work, 5.0))
        self.assertFalse(moving_on.is_endless(CALL, self.work, 5.0))
        self.load.start(self.number, 1.0)
        self.assertTrue(moving_on.is_endless(CALL, self.work, 1.2))
        self.assertFalse(moving_on.is_endless(STREAM, self.work, 1.2))
        self.assertTrue(moving_on.is_endless(STREAM, self.work, 5.0))
