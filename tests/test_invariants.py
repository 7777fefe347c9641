import unittest

from teaselsill import errors, invariants, metrics


class SlotCountError(errors.InvariantError):
    pass


class ReportTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(invariants.violation_count_by_name.clear)

    def test_violation_is_logged_counted_and_raised(self):
        error = SlotCountError("9 of 8 slots busy")
        sink = metrics.Metrics()
        with (
            self.assertLogs("teaselsill.invariants", "ERROR") as caught,
            self.assertRaises(SlotCountError) as raised,
        ):
            invariants.report(error, sink=sink)
        self.assertIs(raised.exception, error)
        self.assertEqual(invariants.violation_count_by_name["SlotCountError"], 1)
        self.assertEqual(sink.get_count(metrics.Metric.INVARIANT_VIOLATIONS), 1)
        self.assertEqual(caught.records[0].invariant, "SlotCountError")
        self.assertIn("test_invariants", caught.records[0].stack_info)

    def test_violation_is_not_raised_without_reraise(self):
        with self.assertLogs("teaselsill.invariants", "ERROR"):
            invariants.report(SlotCountError("again"), reraise=False)
        self.assertEqual(invariants.violation_count_by_name["SlotCountError"], 1)
