import unittest

from teaselsill import loop_lag


class LoopLagTest(unittest.TestCase):
    def setUp(self):
        self.lag = loop_lag.LoopLag()

    def test_short_delays_are_no_overload(self):
        for _ in range(100):
            self.lag.add(0.03)
        self.assertFalse(self.lag.is_overloaded)

    def test_lasting_delay_is_one_until_it_is_over(self):
        for _ in range(5):
            self.lag.add(0.4)
        self.assertTrue(self.lag.is_overloaded)
        self.lag.add(0.0)
        self.assertTrue(self.lag.is_overloaded)
        for _ in range(20):
            self.lag.add(0.0)
        self.assertFalse(self.lag.is_overloaded)

    def test_standstill_is_forgotten_soon(self):
        self.lag.add(8.0)
        for _ in range(10):
            self.lag.add(0.0)
        self.assertFalse(self.lag.is_overloaded)
