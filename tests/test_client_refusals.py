import unittest

from teaselsill import client_refusals

CAUSE = client_refusals.Cause.NO_MEMORY


class ClientRefusalsTest(unittest.TestCase):
    def test_each_is_counted_and_one_line_a_second_is_logged(self):
        counted = []
        refusals = client_refusals.ClientRefusals(counted.append)
        with self.assertLogs(client_refusals.logger) as logs:
            for number in range(300):
                refusals.note(CAUSE)
                refusals.log(number / 100, 0, 0)
        self.assertEqual([CAUSE] * 300, counted)
        self.assertEqual(3, len(logs.records))
        self.assertEqual({"no-memory": 100}, logs.records[1].causes)
