import unittest

from teaselsill import message_counter

ORDER = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc"
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
EVENT = b"5\r\nhello\r\n"
END = b"0\r\n\r\n"


class ExchangesTest(unittest.TestCase):
    def setUp(self):
        self.exchanges = message_counter.ExchangeTracker()

    def test_stream_is_under_way_between_its_events(self):
        self.exchanges.feed_request(ORDER)
        for data in (HEAD, EVENT, EVENT):
            self.exchanges.feed_response(data)
            self.assertTrue(self.exchanges.is_response_pending)
        self.exchanges.feed_response(END)
        self.assertFalse(self.exchanges.is_response_pending)

    def test_request_that_has_begun_is_due(self):
        self.assertFalse(self.exchanges.is_response_pending)
        self.exchanges.feed_request(ORDER[:7])
        self.assertTrue(self.exchanges.is_response_pending)

    def test_each_of_two_requests_sent_at_once_is_due(self):
        self.exchanges.feed_request(ORDER + ORDER)
        self.exchanges.feed_response(HEAD + END)
        self.assertTrue(self.exchanges.is_response_pending)
        self.exchanges.feed_response(HEAD + END)
        self.assertFalse(self.exchanges.is_response_pending)

    def test_leave_to_send_the_body_is_no_answer(self):
        self.exchanges.feed_request(ORDER)
        self.exchanges.feed_response(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.assertTrue(self.exchanges.is_response_pending)
        self.exchanges.feed_response(HEAD + END)
        self.assertFalse(self.exchanges.is_response_pending)

    def test_after_bytes_that_are_no_http_nothing_counts_as_ended(self):
        self.exchanges.feed_request(ORDER)
        self.exchanges.feed_response(b"no answer at all\r\n\r\n" + HEAD + END)
        self.assertTrue(self.exchanges.is_response_pending)
