import unittest

from teaselsill import ids, upstream_health

FAILED = upstream_health.Result.FAILED
ANSWERED = upstream_health.Result.ANSWERED


class UpstreamHealthTest(unittest.TestCase):
    def setUp(self):
        self.health = upstream_health.UpstreamHealth(ids.UpstreamId("u"))

    def test_unreachable_upstream_is_avoided_at_once(self):
        self.health.note(upstream_health.Result.UNREACHABLE, 0.0)
        self.assertTrue(self.health.is_avoided(0.5))

    def test_rare_failures_are_tolerated(self):
        for second in range(20):
            self.health.note(ANSWERED, second)
            self.health.note(ANSWERED, second)
            self.health.note(ANSWERED, second)
            self.health.note(FAILED, second)
            self.assertFalse(self.health.is_avoided(second))

    def test_avoidance_time_doubles(self):
        for _ in range(upstream_health.MIN_FAILURES):
            self.health.note(FAILED, 0.0)
        self.assertFalse(self.health.is_avoided(upstream_health.AVOIDED_S))
        self.health.note(FAILED, upstream_health.AVOIDED_S)
        again = 3 * upstream_health.AVOIDED_S
        self.assertTrue(self.health.is_avoided(again - 0.1))
        self.assertFalse(self.health.is_avoided(again))
