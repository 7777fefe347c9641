import unittest

from teaselsill import message_counter

REQUEST = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc"
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
EVENT = b"5\r\nhello\r\n"
END = b"0\r\n\r\n"


class ExchangeTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = message_counter.ExchangeTracker()

    def test_stream_is_pending_between_its_events(self):
        self.tracker.feed_request(REQUEST)
        for data in (HEAD, EVENT, EVENT):
            self.tracker.feed_response(data)
            self.assertTrue(self.tracker.is_response_pending)
        self.tracker.feed_response(END)
        self.assertFalse(self.tracker.is_response_pending)

    def test_partial_request_has_a_pending_response(self):
        self.assertFalse(self.tracker.is_response_pending)
        self.tracker.feed_request(REQUEST[:7])
        self.assertTrue(self.tracker.is_response_pending)

    def test_each_of_two_pipelined_requests_has_a_pending_response(self):
        self.tracker.feed_request(REQUEST + REQUEST)
        self.tracker.feed_response(HEAD + END)
        self.assertTrue(self.tracker.is_response_pending)
        self.tracker.feed_response(HEAD + END)
        self.assertFalse(self.tracker.is_response_pending)

    def test_interim_response_does_not_end_the_exchange(self):
        self.tracker.feed_request(REQUEST)
        self.tracker.feed_response(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.assertTrue(self.tracker.is_response_pending)
        self.tracker.feed_response(HEAD + END)
        self.assertFalse(self.tracker.is_response_pending)

    def test_response_stays_pending_after_bytes_that_are_not_http(self):
        self.tracker.feed_request(REQUEST)
        self.tracker.feed_response(b"no answer at all\r\n\r\n" + HEAD + END)
        self.assertTrue(self.tracker.is_response_pending)
