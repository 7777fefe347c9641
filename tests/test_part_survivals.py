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

    def test_share_of_requests_that_have_a_part(self):
        for number in range(400):
            parts = [ids.PartKey("first"), ids.PartKey(f"t{number % 4}")]
            self.survivals.note_response(parts, 5.0)
        self.assertAlmostEqual(1.0, self.survivals.find_share("first", 5.0))
        self.assertAlmostEqual(0.25, self.survivals.find_share("t1", 5.0), places=2)
        self.assertLess(self.survivals.find_share(PART, 5.0), 0.001)

    def test_survival_at_another_router_is_no_response_of_this_one(self):
        self.survivals.note(PART, 5.0)
        self.assertEqual(0.0, self.survivals.responses.read(5.0))
        self.assertLess(self.survivals.find_share(PART, 5.0), 0.01)

    def test_share_follows_what_is_requested_now(self):
        for at in range(1000):
            name = "old" if at < 500 else "new"
            self.survivals.note_response([ids.PartKey(name)], float(at))
        self.assertGreater(self.survivals.find_share("new", 1000.0), 0.9)
        self.assertLess(self.survivals.find_share("old", 1000.0), 0.1)

    def test_number_of_parts_is_bounded(self):
        for number in range(part_survivals.MAX_PARTS):
            self.survivals.note(ids.PartKey(f"{number}"), float(number))
        self.survivals.note(ids.PartKey("0"), 9e9)
        self.survivals.note(PART, 9e9)
        self.assertEqual(part_survivals.MAX_PARTS, len(self.survivals))
        self.assertTrue(self.survivals.has_survived(ids.PartKey("0"), 9e9))
        self.assertFalse(self.survivals.has_survived_since(ids.PartKey("1"), -1.0))
