import unittest

from teaselsill import ids, part_survivals

PART = ids.PartKey("part")


class PartSurvivalsTest(unittest.TestCase):
    def setUp(self):
        self.survivals = part_survivals.PartSurvivals()

    def test_unknown_part(self):
        self.assertFalse(self.survivals.has_survived(PART, 1.0))
        self.assertFalse(self.survivals.has_survived_since(PART, 0.0))

    def test_the_newest_survival_counts(self):
        self.survivals.note(PART, 5.0)
        self.survivals.note(PART, 3.0)
        self.assertTrue(self.survivals.has_survived_since(PART, 4.0))
        self.assertFalse(self.survivals.has_survived_since(PART, 5.0))

    def test_survival_is_forgotten(self):
        self.survivals.note(PART, 0.0)
        self.assertTrue(self.survivals.has_survived(PART, part_survivals.TTL_S))
        self.assertFalse(self.survivals.has_survived(PART, part_survivals.TTL_S + 1))

    def test_number_of_parts_is_bounded(self):
        for number in range(part_survivals.MAX_PARTS):
            self.survivals.note(ids.PartKey(f"{number}"), float(number))
        self.survivals.note(ids.PartKey("0"), 9e9)
        self.survivals.note(PART, 9e9)
        self.assertEqual(part_survivals.MAX_PARTS, len(self.survivals))
        self.assertTrue(self.survivals.has_survived(ids.PartKey("0"), 9e9))
        self.assertFalse(self.survivals.has_survived_since(ids.PartKey("1"), -1.0))
