import math
import unittest

from teaselsill import failover, placement, routing_table, upstream_load
from tests import test_routing_table

CALL = test_routing_table.make_route(objective_s=0.2)
STREAM = test_routing_table.make_route(
    is_stream=True, pause_s=0.4, repeat=routing_table.Repeat.RESUME
)
LONG_S = placement.SILENCE_S + 0.1


class ShouldFailOverTest(unittest.TestCase):
    def setUp(self):
        self.load = upstream_load.UpstreamLoad()
        self.request = upstream_load.InFlightRequest(0, sent_at=0.0)
        self.number = self.load.add(self.request)

    def should_fail_over(self, route, now, waited_s=0.0, uninterrupted_s=math.inf):
        return failover.should_fail_over(
            route, self.load, self.request, waited_s, now, uninterrupted_s
        )

    def test_silent_upstream_unless_the_router_was_interrupted(self):
        self.assertTrue(self.should_fail_over(STREAM, LONG_S))
        self.assertFalse(self.should_fail_over(STREAM, LONG_S, uninterrupted_s=0.1))
        self.load.last_received_at = LONG_S
        self.assertFalse(self.should_fail_over(STREAM, LONG_S))

    def test_slow_call(self):
        self.load.last_received_at = 1.0
        self.assertFalse(self.should_fail_over(CALL, 1.0, waited_s=0.4))
        self.assertTrue(self.should_fail_over(CALL, 1.0, waited_s=0.6))

    def test_stalled_stream(self):
        stall_s = failover.find_stall_s(STREAM)
        self.assertAlmostEqual(2.4, stall_s)
        self.load.start(self.number, 1.0)
        self.load.note_progress(self.number, 2.0)
        self.load.last_received_at = 4.3
        self.assertFalse(self.should_fail_over(STREAM, 4.3))
        self.load.last_received_at = 4.5
        self.assertTrue(self.should_fail_over(STREAM, 4.5))

    def test_upstream_is_not_at_fault_if_a_stream_had_too_little_time(self):
        self.assertFalse(failover.is_upstream_at_fault(STREAM, self.request, 5.0))
        self.assertFalse(failover.is_upstream_at_fault(CALL, self.request, 5.0))
        self.load.start(self.number, 1.0)
        self.assertTrue(failover.is_upstream_at_fault(CALL, self.request, 1.2))
        self.assertFalse(failover.is_upstream_at_fault(STREAM, self.request, 1.2))
        self.assertTrue(failover.is_upstream_at_fault(STREAM, self.request, 5.0))
