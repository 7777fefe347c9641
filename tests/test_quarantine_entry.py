import unittest

from teaselsill import ids, quarantine_entry

TRIAL_AFTER_S = quarantine_entry.TRIAL_AFTER_S


class EntryTest(unittest.TestCase):
    def setUp(self):
        self.entry = quarantine_entry.Entry(ids.PartKey("bad"), 100.0)

    def test_trial_is_due_some_time_after_the_last_crash(self):
        self.assertEqual(TRIAL_AFTER_S, self.entry.find_wait_s(100.0))
        self.assertEqual(0.0, self.entry.find_wait_s(100.0 + TRIAL_AFTER_S))

    def test_after_a_trial_the_next_one_has_to_wait(self):
        self.entry.tried_at = 120.0
        self.assertEqual(TRIAL_AFTER_S, self.entry.find_wait_s(120.0))

    def test_only_a_crash_after_a_trial_was_due_counts_as_failed(self):
        self.entry.note_crash(101.0)
        self.assertEqual(0, self.entry.failed_trials)
        self.entry.note_crash(101.1 + TRIAL_AFTER_S)
        self.assertEqual(1, self.entry.failed_trials)
        self.assertEqual(2 * TRIAL_AFTER_S, self.entry.find_trial_after_s())

    def test_older_knowledge_of_another_router_changes_nothing(self):
        self.entry.note_crash(101.1 + TRIAL_AFTER_S)
        self.entry.merge(100.0, 0)
        self.assertEqual(101.1 + TRIAL_AFTER_S, self.entry.crashed_at)
        self.assertEqual(1, self.entry.failed_trials)

    def test_ends_without_a_trial(self):
        ends_at = 100.0 + quarantine_entry.END_RATIO * TRIAL_AFTER_S
        self.assertFalse(self.entry.has_ended(ends_at))
        self.assertTrue(self.entry.has_ended(ends_at + 1))
