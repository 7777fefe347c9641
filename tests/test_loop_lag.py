import math
import unittest

from teaselsill import loop_lag


class LoopLagTest(unittest.TestCase):
    def setUp(self):
        self.lag = loop_lag.LoopLag()
        self.now = 0.0

    def add(self, delay_s, times=1):
        for _ in range(times):
            self.now += loop_lag.PERIOD_S
            self.lag.add(delay_s, self.now)

    def pass_time(self, duration_s):
        self.add(0.0, round(duration_s / loop_lag.PERIOD_S))

    def test_short_delays_make_it_busy_but_not_overloaded(self):
        self.add(0.03, 100)
        self.assertFalse(self.lag.is_overloaded)
        self.assertTrue(self.lag.is_busy)

    def test_overload_lasts_for_the_minimum_hold(self):
        self.add(0.4, 5)
        self.assertTrue(self.lag.is_overloaded)
        self.add(0.0)
        self.assertTrue(self.lag.is_overloaded)
        self.pass_time(loop_lag.MIN_HOLD_S + 0.2)
        self.assertFalse(self.lag.is_overloaded)

    def test_interruption_is_not_an_overload(self):
        self.add(8.0)
        self.assertFalse(self.lag.is_overloaded)

    def test_repeated_overload_is_held_longer_each_time(self):
        """A flood returns as soon as the balancer sends it here again."""
        held_s = []
        for _ in range(4):
            self.add(0.2, 5)
            began_at = self.now
            while self.lag.is_overloaded:
                self.add(0.0)
            held_s.append(round(self.now - began_at))
            self.pass_time(1.0)
        self.assertEqual([3, 6, 12, 12], held_s)

    def test_hold_is_reset_long_after_the_previous_overload(self):
        self.add(0.2, 5)
        self.pass_time(loop_lag.MIN_HOLD_S + loop_lag.REPEAT_WINDOW_S + 1)
        self.add(0.2, 5)
        self.pass_time(loop_lag.MIN_HOLD_S + 0.2)
        self.assertFalse(self.lag.is_overloaded)

    def test_interruption_resets_the_uninterrupted_time(self):
        self.assertEqual(math.inf, self.lag.find_uninterrupted_s(5.0))
        self.lag.add(0.0, 10.0)
        long_s = loop_lag.INTERRUPTION_S + 0.1
        self.assertEqual(
            0.0, self.lag.find_uninterrupted_s(10.0 + long_s + loop_lag.PERIOD_S)
        )
        self.lag.add(long_s, 11.0)
        self.assertEqual(0.0, self.lag.find_uninterrupted_s(11.0))
        self.lag.add(0.01, 11.05)
        self.assertAlmostEqual(0.05, self.lag.find_uninterrupted_s(11.05))

    def test_running_time_stands_still_during_an_interruption(self):
        self.assertEqual(5.0, self.lag.read_running_time(5.0))
        self.now = 10.0
        self.pass_time(1.0)
        ran_s = self.lag.read_running_time(self.now)
        self.assertAlmostEqual(11.0, ran_s)
        self.now += 30.0
        self.assertLess(self.lag.read_running_time(self.now), ran_s + 0.2)
        self.add(30.0)
        self.assertLess(self.lag.read_running_time(self.now), ran_s + 0.2)
        ran_s = self.lag.read_running_time(self.now)
        self.pass_time(1.0)
        self.assertAlmostEqual(ran_s + 1.0, self.lag.read_running_time(self.now))

    def test_running_time_passes_slowly_while_the_event_loop_is_late(self):
        """Each report waits for several rounds of the event loop."""
        self.now = 10.0
        self.add(0.0)
        ran_s = self.lag.read_running_time(self.now)
        for _ in range(10):
            self.now += 0.4
            self.add(0.4)
        self.assertLess(self.lag.read_running_time(self.now) - ran_s, 1.5)
