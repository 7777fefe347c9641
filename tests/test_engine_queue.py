import unittest

from teaselsill import engine_queue


class EngineQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = engine_queue.EngineQueue()

    def test_planned_tokens_drain(self):
        self.queue.add(8_000, 1.0)
        self.assertAlmostEqual(8_000, self.queue.count_planned(1.0))
        usable = engine_queue.INITIAL_RATE * engine_queue.PREFILL_RATIO
        self.assertAlmostEqual(8_000 - 0.05 * usable, self.queue.count_planned(1.05))
        self.assertEqual(0, self.queue.count_planned(2.0))

    def test_rate_follows_the_tokens_prefilled_while_busy(self):
        for tick in range(100):
            now = tick * 0.1
            self.queue.set_outstanding(20_000, now)
            self.queue.note_prefilled(4_000, now)
        self.assertTrue(35_000 < self.queue.rate < 50_000, self.queue.rate)

    def test_idle_time_does_not_lower_the_rate(self):
        for tick in range(100):
            self.queue.set_outstanding(0, tick * 0.1)
        self.assertAlmostEqual(engine_queue.INITIAL_RATE, self.queue.rate)

    def test_stuck_engine_raises_the_predicted_wait(self):
        self.queue.add(50_000, 0.0)
        self.queue.set_outstanding(50_000, 0.0)
        self.queue.set_outstanding(50_000, 3.0)
        self.assertGreater(self.queue.predict_wait_s(3.0), 2.0)
