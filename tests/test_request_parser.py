import contextlib
import sys
import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import http_messages, request_parser

CHUNKED = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_STARTS = [
    b"",
    b"POST / HTTP/1.1\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: 200\r\n\r\n",
    CHUNKED,
    CHUNKED + b"1\r\nx\r\n0\r\n",
    CHUNKED + b"1;",
]
ENDLESS_PIECES = [b"\r\n", b"a:\r\n", b"ab: cd\r\n", b"1\r\nx\r\n", b"y", CHUNKED]
COST_PER_BYTE = 100
"""What one received byte may cost at the most, in objects: a line of 3 bytes."""
BOUND_BYTES = 200 * COST_PER_BYTE + 200 + 5000
"""What a head and a body of the largest size may cost."""


def measure_kept(parser):
    """Returns the memory of what a parser keeps, and of all that this refers to."""
    return measure(
        [value for key, value in vars(parser).items() if key not in ("_parser",)]
    )


def measure(value):
    """Returns the memory of a value, and of all that it refers to."""
    size = sys.getsizeof(value)
    if isinstance(value, http_messages.Request):
        return size + measure([value.target, value.headers, value.body])
    if isinstance(value, str | bytes | bytearray) or not hasattr(value, "__iter__"):
        return size
    return size + sum(measure(each) for each in value)


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

    def test_trailers_are_dropped(self):
        requests = parse_requests(
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\nx\r\n0\r\nX-A: b\r\n\r\nGET /b HTTP/1.1\r\nX-C: d\r\n\r\n"
        )
        headers = [request.headers for request in requests]
        self.assertEqual([[("transfer-encoding", "chunked")], [("x-c", "d")]], headers)

    def test_rejects_what_has_no_end_behind_a_chunk(self):
        for start, piece in (
            (b"0\r\n", b"ab: cd\r\n"),
            (b"0\r\nx: ", b"y" * 100),
            (b"1;", b"a=b;"),
        ):
            with self.subTest(start=start):
                parser = request_parser.RequestParser(1000, 1000)
                parser.feed(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
                parser.feed(b"1\r\nx\r\n" + start)
                with self.assertRaises(http_messages.HeadTooLargeError):
                    for _ in range(400):
                        parser.feed(piece)
                self.assertLess(parser.held_bytes, 3000)

    def test_rejects_empty_lines_without_end_before_a_request(self):
        parser = request_parser.RequestParser(1000, 1000)
        with self.assertRaises(http_messages.HeadTooLargeError):
            for _ in range(600):
                parser.feed(b"\r\n")

    def test_body_in_chunks_of_one_byte_is_joined(self):
        parser = request_parser.RequestParser(1000, 1000)
        parser.feed(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
        for digit in b"0123456789" * 50:
            parser.feed(b"1\r\n%c\r\n" % digit)
        parser.feed(b"0\r\n\r\n")
        self.assertEqual(b"0123456789" * 50, parser.take().body)

    @hypothesis.given(
        strategies.sampled_from(ENDLESS_STARTS),
        strategies.lists(
            strategies.binary(max_size=60) | strategies.sampled_from(ENDLESS_PIECES),
            max_size=80,
        ),
        strategies.integers(1, 10),
    )
    @hypothesis.example(ENDLESS_STARTS[4], [b"ab: cd\r\n"] * 80, 10)
    def test_any_pieces_are_kept_within_a_bound(self, start, pieces, times):
        parser = request_parser.RequestParser(200, 200)
        with contextlib.suppress(http_messages.MalformedMessageError):
            for piece in [start, *pieces * times]:
                parser.feed(piece)
                kept = measure_kept(parser)
                bound = BOUND_BYTES + COST_PER_BYTE * len(piece)
                self.assertLess(kept, bound)
                while parser.take() is not None:
                    pass
        self.assertLess(measure_kept(parser), BOUND_BYTES)

    @hypothesis.given(strategies.binary(max_size=300))
    def test_any_bytes_give_requests_or_an_error(self, data):
        try:
            parse_requests(data)
        except http_messages.MalformedMessageError:
            pass
