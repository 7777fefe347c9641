import unittest

from teaselsill import http_messages


class HeadersTest(unittest.TestCase):
    def test_removes_hop_by_hop_headers(self):
        headers = [
            ("host", "a"),
            ("connection", "close, X-Mine"),
            ("x-mine", "1"),
            ("keep-alive", "timeout=5"),
            ("x-other", "2"),
        ]
        self.assertEqual(
            [("host", "a"), ("x-other", "2")],
            http_messages.remove_hop_by_hop_headers(headers),
        )

    def test_header_that_occurs_twice_has_no_value(self):
        self.assertIsNone(http_messages.get_header([("a", "1"), ("a", "2")], "a"))
