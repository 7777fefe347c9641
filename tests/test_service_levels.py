import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from teaselsill import document, messages, service_levels

RAN = messages.Outcome.RAN


class FakeClock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


def build_document(within_s):
    target = document.Target(within_s=within_s, ratio=0.9)
    service = document.Service(name="pool", kind="plain", target=target)
    return document.Document(client_accounts=[], services=[service])


class RecorderTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.recorder = service_levels.Recorder(self.clock)

    def record(self, account="north", duration_s=0.1, is_success=True, outcome=RAN):
        self.recorder.record(account, "pool", duration_s, is_success, outcome)

    def get_windows(self):
        (level,) = self.recorder.snapshot()
        return (level.short.good, level.short.total, level.long.good, level.long.total)

    def test_only_complete_responses_within_the_target_are_good(self):
        self.recorder.set_targets(build_document(within_s=2.0))
        self.record(duration_s=2.0)
        self.record(duration_s=2.1)
        self.record(is_success=False)
        self.record(outcome=messages.Outcome.NOT_RUN)
        self.record(outcome=messages.Outcome.UNKNOWN)
        self.assertEqual(self.get_windows(), (1, 5, 1, 5))
        self.assertEqual(
            self.recorder.count_by_outcome,
            {RAN: 3, messages.Outcome.NOT_RUN: 1, messages.Outcome.UNKNOWN: 1},
        )

    def test_requests_drop_out_of_the_short_then_the_long_window(self):
        self.record()
        self.clock.now_s += service_levels.SHORT_WINDOW_S
        self.assertEqual(self.get_windows(), (0, 0, 1, 1))
        self.clock.now_s += service_levels.LONG_WINDOW_S
        self.assertEqual(self.get_windows(), (0, 0, 0, 0))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 4000), strategies.booleans()),
            max_size=30,
        )
    )
    def test_windows_agree_with_a_list_of_all_requests(self, steps):
        clock = FakeClock()
        recorder = service_levels.Recorder(clock)
        ended = []
        for pause_s, is_success in steps:
            clock.now_s += pause_s
            recorder.record("north", "pool", 0.1, is_success, RAN)
            ended.append((clock.now_s // service_levels.BUCKET_S, is_success))
        newest = clock.now_s // service_levels.BUCKET_S
        expected = [
            is_success
            for bucket, is_success in ended
            if newest - bucket < service_levels.LONG_BUCKETS
        ]
        for level in recorder.snapshot():
            self.assertEqual(level.long.total, len(expected))
            self.assertEqual(level.long.good, sum(expected))

    def test_least_recently_used_series_is_evicted(self):
        with mock.patch.object(service_levels, "MAX_SERIES", 2):
            for account in ("north", "south", "north", "east"):
                self.record(account)
        kept = [level.account for level in self.recorder.snapshot()]
        self.assertEqual(kept, ["north", "east"])
