import unittest

from teaselsill import crash_reports


class KeyTest(unittest.TestCase):
    def test_short_id_is_its_own_key(self):
        self.assertEqual("5c1e07a2", crash_reports.make_key("5c1e07a2"))

    def test_long_ids_have_short_and_different_keys(self):
        keys = {crash_reports.make_key(f"{n}" * 500) for n in range(10)}
        self.assertEqual(10, len(keys))
        longest = max(len(key) for key in keys)
        self.assertLessEqual(longest, crash_reports.MAX_KEY_CHARS)
