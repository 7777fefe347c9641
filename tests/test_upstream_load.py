import unittest

from teaselsill import upstream_load


class SilenceTest(unittest.TestCase):
    def setUp(self):
        self.load = upstream_load.UpstreamLoad()

    def send(self, now):
        return self.load.add(upstream_load.InFlightRequest(0, now))

    def test_upstream_without_requests_is_not_silent(self):
        self.assertEqual(0.0, self.load.find_silent_s(5.0))
        number = self.send(5.0)
        self.assertEqual(1.0, self.load.find_silent_s(6.0))
        self.load.remove(number, 6.0)
        self.assertEqual(0.0, self.load.find_silent_s(6.0))

    def test_anything_received_ends_the_silence(self):
        self.send(0.0)
        self.load.last_received_at = 2.0
        self.assertEqual(0.5, self.load.find_silent_s(2.5))
        self.send(3.0)
        self.assertEqual(1.5, self.load.find_silent_s(3.5))

    def test_silence_goes_on_while_unanswered_requests_follow_each_other(self):
        """Requests with short deadlines never waited long enough by themselves."""
        for tick in range(5):
            now = 0.5 * tick
            number = self.send(now)
            self.assertEqual(now, self.load.find_silent_s(now))
            self.load.remove(number, now + 0.4)

    def test_silence_does_not_last_over_a_time_without_requests(self):
        self.load.remove(self.send(0.0), 0.9)
        self.send(1.0 + upstream_load.SILENCE_TTL_S)
        self.assertEqual(
            0.0, self.load.find_silent_s(1.0 + upstream_load.SILENCE_TTL_S)
        )

    def test_answered_request_is_no_silence(self):
        number = self.send(0.0)
        self.load.last_received_at = 0.1
        self.load.remove(number, 0.1)
        self.send(0.6)
        self.assertAlmostEqual(0.2, self.load.find_silent_s(0.8))
