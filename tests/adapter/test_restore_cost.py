import asyncio
import unittest

from tests.adapter import restore_cost


class MeasureTest(unittest.TestCase):
    def test_small_fleet_is_current_again(self):
        cost = asyncio.run(asyncio.wait_for(restore_cost.measure(4), 30.0))
        self.assertLessEqual(cost.seen_s, cost.listed_s)
        self.assertGreaterEqual(cost.calls, 4 * (len(restore_cost.TOPICS) + 1))
