import logging
import unittest

from teaselsill import admission, request_log_line

logger = logging.getLogger("teaselsill.tests.request_log_line")


class RequestLogLineTest(unittest.TestCase):
    def test_line_of_a_delivered_request_has_its_admission_figures(self):
        """Without them, the log does not show why a request was admitted."""
        line = request_log_line.RequestLogLine(ending=request_log_line.Ending.DELIVERED)
        line.set_assessment(
            admission.Assessment(
                wait_s=0.0516,
                limit_s=0.24,
                share_ratio=1.444,
                even_share_ratio=0.3,
                severity=0.5,
                age_s=0.0,
                is_late=False,
            )
        )
        with self.assertLogs(logger, "INFO") as logs:
            line.write(logger)
        (record,) = logs.records
        self.assertEqual((51.6, 240.0), (record.wait_ms, record.limit_ms))
        self.assertEqual((1.44, 0.3), (record.share_ratio, record.given_ratio))
        self.assertEqual(0.5, record.severity)
