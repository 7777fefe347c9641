import unittest

from teaselsill import log_position
from tests import test_keyed_log


class PositionTest(unittest.TestCase):
    def test_order_within_an_era(self):
        first, second = test_keyed_log.at(3, 1), test_keyed_log.at(5, 1)
        self.assertLess(first, second)
        self.assertEqual(second, max(first, second))
        self.assertEqual(2, second.count_since(first))
        self.assertEqual(second, first.advance(2))

    def test_positions_of_two_eras_cannot_be_compared(self):
        """An update of the earlier era was taken for a later one by its offset."""
        first, second = test_keyed_log.at(3, 1), test_keyed_log.at(5, 2)
        for compare in (
            lambda: first < second,
            lambda: first >= second,
            lambda: max(first, second),
            lambda: second.count_since(first),
        ):
            with self.assertRaises(log_position.EraMismatchError):
                compare()
        self.assertNotEqual(first, test_keyed_log.at(3, 2))
