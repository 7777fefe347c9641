import unittest

from teaselsill import crash_outbox, crash_reports, ids, quarantine_entry
from tests import test_crash_analysis

PART = ids.PartKey("part")


class CrashOutboxTest(unittest.TestCase):
    def setUp(self):
        self.outbox = crash_outbox.CrashOutbox()
        self.calls = 0
        self.outbox.on_news = self.count_call

    def count_call(self):
        self.calls += 1

    def test_each_piece_of_news_is_told_once(self):
        self.outbox.add_crash(test_crash_analysis.make_crash(1, age_s=0.5), 10.0)
        self.outbox.add_survival(PART, 9.0)
        self.outbox.add_entries([quarantine_entry.Entry(PART, 8.0)])
        self.assertEqual(2, self.calls)
        news = self.outbox.take(11.0)
        self.assertEqual([1.5], [crash.age_s for crash in news.crashes])
        self.assertEqual([2.0], [survival.age_s for survival in news.survivals])
        self.assertEqual([3.0], [entry.age_s for entry in news.quarantined])
        self.assertTrue(self.outbox.is_empty)
        self.assertEqual(crash_reports.NO_NEWS, self.outbox.take(12.0))

    def test_survivals_that_were_told_are_known(self):
        self.outbox.add_survival(PART, 9.0)
        self.assertTrue(self.outbox.is_told(PART, 8.0))
        self.assertFalse(self.outbox.is_told(PART, 9.0))
        self.outbox.note_told(PART, 12.0)
        self.assertTrue(self.outbox.is_told(PART, 11.0))
        self.outbox.forget_told({PART})
        self.assertTrue(self.outbox.is_told(PART, 11.0))
        self.outbox.forget_told(set())
        self.assertFalse(self.outbox.is_told(PART, 8.0))
