import dataclasses
import json
import logging
import unittest

from teaselsill import logs, messages


class FormatterTest(unittest.TestCase):
    def format_line(self, write):
        logger = logging.getLogger("teaselsill.test_logs")
        with self.assertLogs(logger) as caught:
            write(logger)
        formatted = logs.build_formatter("router", "r1").format(caught.records[0])
        self.assertNotIn("\n", formatted)
        return json.loads(formatted)

    def test_request_log_line_has_every_field_and_the_process(self):
        line = logs.RequestLogLine(
            request="q1",
            outcome=messages.Outcome.UNKNOWN,
            duration_s=0.25,
            account="north",
            service="pool",
            upstream="u1",
            status=504,
        )
        fields = self.format_line(line.write)
        fields.pop("timestamp")
        self.assertEqual(
            fields,
            {
                **dataclasses.asdict(line),
                "outcome": "unknown",
                "level": "INFO",
                "logger": "teaselsill.test_logs",
                "message": "request",
                "role": "router",
                "instance": "r1",
            },
        )

    def test_message_with_line_break_is_written_on_one_line(self):
        fields = self.format_line(lambda logger: logger.warning("a\nb %s", "c"))
        self.assertEqual(fields["message"], "a\nb c")
        self.assertEqual(fields["level"], "WARNING")
