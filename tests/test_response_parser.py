import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import http_messages, response_parser


class ResponseParserTest(unittest.TestCase):
    def feed(self, parser, *pieces):
        return [part for piece in pieces for part in parser.feed(piece)]

    def test_length_and_chunked_framing(self):
        for head, body, framing in (
            (b"Content-Length: 3", b"abc", http_messages.Framing.LENGTH),
            (
                b"Transfer-Encoding: chunked",
                b"3\r\nabc\r\n0\r\n\r\n",
                http_messages.Framing.CHUNKED,
            ),
        ):
            with self.subTest(framing=framing):
                parser = response_parser.ResponseParser("GET")
                parts = self.feed(parser, b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n")
                parts += self.feed(parser, body)
                self.assertEqual(framing, parts[0].framing)
                self.assertEqual(
                    [http_messages.Data(b"abc"), http_messages.End()], parts[1:]
                )
                self.assertFalse(parser.has_extra_bytes)

    def test_response_without_length_ends_with_the_connection(self):
        parser = response_parser.ResponseParser("GET")
        parts = self.feed(parser, b"HTTP/1.1 200 OK\r\n\r\nab", b"c")
        self.assertNotIn(http_messages.End(), parts)
        self.assertEqual([http_messages.End()], parser.close())

    def test_small_chunks_are_joined_to_one_part(self):
        parser = response_parser.ResponseParser("GET")
        parts = self.feed(
            parser,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * 1000,
            b"0\r\n\r\n",
        )
        self.assertEqual(
            [http_messages.Data(b"x" * 1000), http_messages.End()], parts[1:]
        )

    def test_truncated_response_is_incomplete(self):
        parser = response_parser.ResponseParser("GET")
        self.feed(parser, b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab")
        with self.assertRaises(http_messages.PrematureCloseError):
            parser.close()

    def test_bytes_after_the_response_are_extra(self):
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
        for extra in (response, b"garbage", b"\r\nHTTP/1.1 500 X\r\n\r\n"):
            with self.subTest(extra=extra):
                parser = response_parser.ResponseParser("GET")
                parts = self.feed(parser, response + extra)
                self.assertEqual(
                    [http_messages.Data(b"a"), http_messages.End()], parts[1:]
                )
                self.assertTrue(parser.has_extra_bytes)

    def test_skips_the_response_to_another_request(self):
        def is_expected(head):
            return head.get("id") == "2"

        parser = response_parser.ResponseParser("GET", is_expected)
        other = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nother"
        own = b"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nown"
        parts = self.feed(parser, other[:-2], other[-2:] + own)
        self.assertEqual([http_messages.Data(b"own"), http_messages.End()], parts[1:])
        self.assertTrue(parser.has_extra_bytes)

    def test_interim_responses_are_skipped(self):
        parser = response_parser.ResponseParser("POST")
        parts = self.feed(
            parser,
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        )
        self.assertEqual(200, parts[0].status)
        self.assertEqual(http_messages.End(), parts[-1])

    def test_endless_head_is_rejected(self):
        for start in (b"HTTP/1.1 200 OK\r\nx: ", b"HTTP/1.1 200 "):
            with self.subTest(start=start):
                self.check_is_rejected(start, b"a" * 10_000)

    def test_endless_interim_responses_are_rejected(self):
        self.check_is_rejected(b"", b"HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n" * 250)

    def test_endless_trailer_is_rejected(self):
        chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        self.check_is_rejected(chunked + b"2\r\nok\r\n0\r\n", b"x: y\r\n" * 1600)
        self.check_is_rejected(chunked + b"2;", b"x" * 10_000)

    def check_is_rejected(self, start, more):
        parser = response_parser.ResponseParser("GET")
        with self.assertRaises(http_messages.MalformedMessageError):
            parser.feed(start)
            for _ in range(2 * response_parser.MAX_BYTES_WITHOUT_PART // len(more)):
                parser.feed(more)

    def test_long_body_is_not_rejected_as_an_endless_head(self):
        parser = response_parser.ResponseParser("GET")
        parser.feed(b"HTTP/1.1 200 OK\r\n\r\n")
        piece = b"a" * 10_000
        for _ in range(2 * response_parser.MAX_BYTES_WITHOUT_PART // len(piece)):
            (part,) = parser.feed(piece)
            self.assertEqual(piece, part.data)

    @hypothesis.given(strategies.binary(max_size=300))
    def test_any_bytes_give_parts_or_an_error(self, data):
        parser = response_parser.ResponseParser("GET")
        try:
            parser.feed(data)
            parser.close()
        except (
            http_messages.MalformedMessageError,
            http_messages.PrematureCloseError,
        ):
            pass

    @hypothesis.given(strategies.binary(min_size=1, max_size=60), strategies.data())
    def test_body_does_not_depend_on_read_boundaries(self, body, data):
        response = http_messages.encode_head(
            200, "OK", [("transfer-encoding", "chunked")]
        )
        response += http_messages.encode_chunk(body) + http_messages.LAST_CHUNK
        cut = data.draw(strategies.integers(1, len(response) - 1))
        parser = response_parser.ResponseParser("GET")
        parts = self.feed(parser, response[:cut], response[cut:])
        received = b"".join(p.data for p in parts if isinstance(p, http_messages.Data))
        self.assertEqual(body, received)
        self.assertTrue(parser.is_complete)
