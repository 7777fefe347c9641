import itertools
import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import event_stream

STREAM = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 9))


class EventCutterTest(unittest.TestCase):
    def test_holds_back_a_part_of_an_event(self):
        cutter = event_stream.EventSplitter()
        self.assertEqual(b"id: 1\ndata: a\n\n", cutter.feed(b"id: 1\ndata: a\n\nid: 2"))
        self.assertEqual("1", cutter.last_event_id)
        cutter.drop_partial_event()
        self.assertEqual(b"id: 2\n\n", cutter.feed(b"id: 2\n\n"))

    def test_passes_on_what_follows_the_last_event(self):
        cutter = event_stream.EventSplitter()
        cutter.feed(b"id: 1\n\n: end")
        self.assertEqual(b": end", cutter.take_partial_event())

    def test_carriage_returns(self):
        cutter = event_stream.EventSplitter("7")
        whole = b"id: 8\r\ndata: a\r\n\r\n"
        self.assertEqual(whole, cutter.feed(whole + b"id: 9\r\n"))
        self.assertEqual("8", cutter.last_event_id)

    def test_event_without_end_is_refused(self):
        cutter = event_stream.EventSplitter()
        piece = b"data: x\n" * 1000
        with self.assertRaises(event_stream.EventTooLargeError):
            for _ in range(2 * event_stream.MAX_EVENT_BYTES // len(piece)):
                cutter.feed(piece)
        self.assertEqual(b"", cutter.take_partial_event())

    @hypothesis.given(strategies.lists(strategies.integers(0, len(STREAM))))
    def test_whole_events_whatever_the_reads(self, cuts):
        cutter = event_stream.EventSplitter()
        passed = b""
        places = [0, *sorted(cuts), len(STREAM)]
        for start, end in itertools.pairwise(places):
            passed += cutter.feed(STREAM[start:end])
            self.assertTrue(not passed or passed.endswith(b"\n\n"))
            self.assertEqual(passed.count(b"id:"), int(cutter.last_event_id or 0))
        self.assertEqual(STREAM, passed)
