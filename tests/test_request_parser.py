import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import http_messages, request_parser


def parse_requests(data, head_bytes=1000, body_bytes=1000):
    parser = request_parser.RequestParser(head_bytes, body_bytes)
    parser.feed(data)
    requests = []
    while (request := parser.take()) is not None:
        requests.append(request)
    return requests


class RequestParserTest(unittest.TestCase):
    def test_pipelined_requests_in_one_read(self):
        first, second = parse_requests(
            b"POST /a/ HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
            b"GET /b/?q=1 HTTP/1.1\r\nHost: y\r\nConnection: close\r\n\r\n"
        )
        self.assertEqual(("POST", b"abc", True), (first.method, first.body, True))
        self.assertEqual("/b/", second.path)
        self.assertEqual("/b/?q=1", second.target)
        self.assertFalse(second.keep_alive)

    def test_joins_chunks(self):
        (request,) = parse_requests(
            b"POST /a/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual(b"abcde", request.body)

    def test_rejects_ambiguous_framing(self):
        for headers in (
            b"Content-Length: 3\r\nTransfer-Encoding: chunked",
            b"Content-Length: 3\r\nContent-Length: 4",
            b"Content-Length: 3\r\nContent-Length: 3",
            b"Content-Length: +3",
            b"Transfer-Encoding: xchunked",
            b"Transfer-Encoding: chunked, identity",
            b"Content-Length : 3",
        ):
            with (
                self.subTest(headers=headers),
                self.assertRaises(http_messages.MalformedMessageError),
            ):
                parse_requests(b"POST / HTTP/1.1\r\n" + headers + b"\r\n\r\nabc")

    def test_rejects_a_large_head_before_it_ends(self):
        with self.assertRaises(http_messages.HeadTooLargeError):
            parse_requests(b"GET / HTTP/1.1\r\nX: " + b"x" * 2000)

    def test_rejects_a_large_body_by_its_content_length(self):
        with self.assertRaises(http_messages.BodyTooLargeError):
            parse_requests(b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n")

    def test_rejects_a_large_chunked_body(self):
        head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        with self.assertRaises(http_messages.BodyTooLargeError):
            parse_requests(head + b"3e9\r\n" + b"x" * 1001 + b"\r\n0\r\n\r\n")

    def test_expect_100_continue(self):
        parser = request_parser.RequestParser(1000, 1000)
        parser.feed(
            b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"
        )
        self.assertTrue(parser.expects_continue)
        self.assertTrue(parser.is_in_message)

    @hypothesis.given(strategies.binary(max_size=300))
    def test_any_bytes_give_requests_or_an_error(self, data):
        try:
            parse_requests(data)
        except http_messages.MalformedMessageError:
            pass
