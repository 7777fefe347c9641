import itertools
import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import event_stream

STREAM = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 9))


class EventSplitterTest(unittest.TestCase):
    def test_partial_event_is_buffered(self):
        splitter = event_stream.EventSplitter()
        self.assertEqual(
            b"id: 1\ndata: a\n\n", splitter.feed(b"id: 1\ndata: a\n\nid: 2")
        )
        self.assertEqual("1", splitter.last_event_id)
        splitter.drop_partial_event()
        self.assertEqual(b"id: 2\n\n", splitter.feed(b"id: 2\n\n"))

    def test_takes_the_bytes_after_the_last_event(self):
        splitter = event_stream.EventSplitter()
        splitter.feed(b"id: 1\n\n: end")
        self.assertEqual(b": end", splitter.take_partial_event())

    def test_carriage_returns(self):
        splitter = event_stream.EventSplitter("7")
        event = b"id: 8\r\ndata: a\r\n\r\n"
        self.assertEqual(event, splitter.feed(event + b"id: 9\r\n"))
        self.assertEqual("8", splitter.last_event_id)

    def test_endless_event_is_rejected(self):
        splitter = event_stream.EventSplitter()
        piece = b"data: x\n" * 1000
        with self.assertRaises(event_stream.EventTooLargeError):
            for _ in range(2 * event_stream.MAX_EVENT_BYTES // len(piece)):
                splitter.feed(piece)
        self.assertEqual(b"", splitter.take_partial_event())

    @hypothesis.given(strategies.lists(strategies.integers(0, len(STREAM))))
    def test_returns_complete_events_for_any_split(self, cuts):
        splitter = event_stream.EventSplitter()
        returned = b""
        offsets = [0, *sorted(cuts), len(STREAM)]
        for start, end in itertools.pairwise(offsets):
            returned += splitter.feed(STREAM[start:end])
            self.assertTrue(not returned or returned.endswith(b"\n\n"))
            self.assertEqual(returned.count(b"id:"), int(splitter.last_event_id or 0))
        self.assertEqual(STREAM, returned)


class EventBoundaryTest(unittest.TestCase):
    def is_inside(self, *pieces):
        boundary = event_stream.EventBoundary()
        for piece in pieces:
            boundary.feed(piece)
        return boundary.is_inside

    def test_outside_of_events(self):
        for stream in (b"", STREAM, b"data: a\r\n\r\n", b"\n", b": c", b": c\n\n: d\n"):
            self.assertFalse(self.is_inside(stream), stream)

    def test_inside_an_event(self):
        for stream in (b"d", b"data: a", b"data: a\n", b"data: a\r\n: c\n", b": c\nid"):
            self.assertTrue(self.is_inside(stream), stream)
            self.assertTrue(self.is_inside(STREAM + stream), stream)

    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                [b"\n", b"\r\n", b":", b": c", b"data: a", b"i", b"\n\n"]
            )
        )
    )
    def test_division_into_pieces_does_not_matter(self, pieces):
        self.assertEqual(self.is_inside(b"".join(pieces)), self.is_inside(*pieces))
