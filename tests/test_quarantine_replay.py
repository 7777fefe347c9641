"""Crashes by a deadly part, and crashes without a cause in the requests."""

import logging
import unittest

from tests import quarantine_replay

SEEDS = range(12)
MAX_CRASHES_BEFORE_BLAME = 3
MAX_DEADLY_AFTER_FIFTH_CRASH = 3


class ReplayTestCase(unittest.TestCase):
    """Plays a load with several seeds."""

    def setUp(self):
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)

    def check_each(self, check, **fields):
        for seed in SEEDS:
            load = quarantine_replay.Load(seed=seed, **fields)
            with self.subTest(load):
                check(quarantine_replay.Replay(load).run())


class CrashesWithoutCauseTest(ReplayTestCase):
    """Sound parts were quarantined while upstreams crashed for other reasons."""

    def check_none_is_blamed(self, replay):
        self.assertEqual(set(), replay.blamed)
        self.assertEqual(0, replay.rejected)

    def test_a_third_of_the_upstreams_crash_again_and_again(self):
        self.check_each(self.check_none_is_blamed, crash_s=2.5)

    def test_one_upstream_crashes_again_and_again(self):
        self.check_each(self.check_none_is_blamed, crash_s=2.5, crash_ratio=0.1)

    def test_few_upstreams_crash_again_and_again(self):
        self.check_each(
            self.check_none_is_blamed,
            crash_s=2.5,
            upstreams=5,
            routers=3,
            requests_per_s=100.0,
        )


class DeadlyPartTest(ReplayTestCase):
    """The deadly part is blamed soon, and no other part is."""

    def check_deadly_part_is_blamed(self, replay):
        self.assertIsNotNone(replay.crashes_before_blame)
        self.assertLessEqual(replay.crashes_before_blame, MAX_CRASHES_BEFORE_BLAME)
        self.assertLessEqual(
            replay.deadly_after_fifth_crash, MAX_DEADLY_AFTER_FIFTH_CRASH
        )
        self.assertEqual(set(), replay.blamed)

    def test_rare_deadly_part(self):
        self.check_each(self.check_deadly_part_is_blamed, deadly_ratio=0.02)

    def test_deadly_part(self):
        self.check_each(self.check_deadly_part_is_blamed, deadly_ratio=0.1)

    def test_frequent_deadly_part(self):
        self.check_each(self.check_deadly_part_is_blamed, deadly_ratio=0.3)

    def test_deadly_part_soon_after_a_start(self):
        self.check_each(
            self.check_deadly_part_is_blamed, deadly_ratio=0.1, deadly_from_s=0.5
        )

    def test_deadly_part_while_upstreams_crash_for_other_reasons(self):
        for deadly_ratio in (0.02, 0.1, 0.3):
            self.check_each(
                self.check_deadly_part_is_blamed, deadly_ratio=deadly_ratio, crash_s=2.5
            )
