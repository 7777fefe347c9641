import random
import unittest

from teaselsill import slot_wait

SLOTS = 12
HOLD_S = 1.5


class HoldTimeTest(unittest.TestCase):
    def setUp(self):
        self.hold_time = slot_wait.HoldTime()
        for _ in range(200):
            self.hold_time.note(HOLD_S)

    def test_no_wait_while_a_slot_is_free(self):
        self.assertEqual(0.0, self.hold_time.predict_wait_s(SLOTS - 1, SLOTS))
        self.assertEqual(0.0, self.hold_time.predict_wait_s(1000, 0))

    def test_predicts_the_wait_when_all_slots_are_busy(self):
        """Simulates random hold times, with waiting requests served in order."""
        source = random.Random(3)
        waits = []
        for _ in range(2000):
            ends = sorted(source.expovariate(1 / HOLD_S) for _ in range(SLOTS))
            for _ in range(3):
                ends.append(ends.pop(0) + source.expovariate(1 / HOLD_S))
                ends.sort()
            waits.append(ends[0])
        predicted = self.hold_time.predict_wait_s(SLOTS + 3, SLOTS)
        self.assertAlmostEqual(sum(waits) / len(waits), predicted, delta=0.1 * HOLD_S)
