import itertools
import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import counters

UNITS = counters.UNITS_PER_COST


class Clock:
    def __init__(self):
        self.at = 0.0

    def __call__(self):
        return self.at


def make(cap=1e9, clock=None):
    return counters.Counters(cap, clock or Clock())


def digest(**cost_by_account):
    return {account: cost * UNITS for account, cost in cost_by_account.items()}


class EstimateTest(unittest.TestCase):
    def test_small_parts_of_service_add_up(self):
        known = make()
        for _ in range(100_000):
            known.add_served("a", 0.0001)
        self.assertAlmostEqual(10.0, known.estimate("a"), delta=2 / UNITS)

    def test_reserve_counts_until_it_is_released(self):
        known = make()
        known.reserve("a", 30)
        known.add_served("a", 10)
        known.release("a", 10)
        self.assertEqual(30, known.estimate("a"))
        known.release("a", 20)
        self.assertEqual((10, 0), (known.estimate("a"), known.reserved("a")))

    def test_own_service_counts_once_before_and_after_the_digest_includes_it(self):
        known = make()
        known.merge_digest(digest(a=100), 0)
        known.add_served("a", 7)
        self.assertEqual(107, known.estimate("a"))
        known.take_pending(1)
        known.merge_digest(digest(a=120), 0)
        self.assertEqual(127, known.estimate("a"))
        known.merge_digest(digest(a=127), 1)
        self.assertEqual(127, known.estimate("a"))

    def test_included_service_stays_when_the_digest_leaves_the_account_out(self):
        known = make()
        known.add_served("a", 7)
        known.take_pending(1)
        known.merge_digest({}, 1)
        self.assertEqual(7, known.estimate("a"))

    def test_older_digest_lowers_nothing(self):
        known = make()
        known.merge_digest(digest(a=100, b=50), 0)
        known.merge_digest(digest(a=90, b=60), 0)
        self.assertEqual((100, 60), (known.estimate("a"), known.estimate("b")))

    def test_reports_without_a_reply_stay_bounded_and_counted(self):
        known = make()
        for sequence in range(1, 1000):
            known.add_served("a", 1)
            known.take_pending(sequence)
        self.assertLessEqual(len(known._sent_by_sequence), counters.MAX_REPORTS_KEPT)
        self.assertEqual(999, known.estimate("a"))


class LiftTest(unittest.TestCase):
    def test_root_lifts_a_new_account_to_the_least_backlogged(self):
        known = make()
        known.add_served("a", 100)
        known.add_served("b", 300)
        known.update_as_root(["a", "b"])
        known.update_as_root(["a", "b", "c"])
        self.assertEqual(100, known.estimate("c"))

    def test_agent_lifts_an_account_that_the_digest_lacks(self):
        known = make()
        known.merge_digest(digest(a=100, b=300), 0)
        known.set_backlogged(["c", "a"])
        self.assertEqual(100, known.estimate("c"))
        known.merge_digest(digest(a=150, b=300), 0)
        self.assertEqual(150, known.estimate("c"))

    def test_idling_behind_a_lagging_account_earns_nothing(self):
        known = make()
        for account, served in [("slow", 10), ("a", 1000), ("b", 1000)]:
            known.add_served(account, served)
        known.update_as_root(["slow", "a", "b"])
        known.update_as_root(["slow", "b"])
        known.add_served("b", 500)
        known.update_as_root(["slow", "b"])
        known.update_as_root(["slow", "a", "b"])
        self.assertEqual(1500, known.estimate("a"))

    def test_account_that_ran_empty_between_two_reports_is_left_out_once(self):
        known = make()
        reported = []
        for waiting in [["a", "b"], [], ["a", "b"]]:
            known.set_backlogged(waiting)
            if waiting:
                reported.append(known.take_backlogged())
        reported.append(known.take_backlogged())
        self.assertEqual([{"a", "b"}, set(), {"a", "b"}], reported)

    def test_forgotten_account_is_dropped_and_lifted_when_it_comes_back(self):
        clock = Clock()
        known = make(clock=clock)
        known.add_served("gone", 10)
        known.add_served("a", 100)
        known.update_as_root(["gone", "a"])
        clock.at = counters.IDLE_RETENTION_S + 1
        known.update_as_root(["a"])
        clock.at *= 2.1
        known.update_as_root(["a"])
        self.assertNotIn("gone", known.counter_by_account)
        known.update_as_root(["a", "gone"])
        self.assertEqual(100, known.estimate("gone"))


ACCOUNTS = strategies.sampled_from(["a", "b", "c", "d", "e"])
COUNTERS = strategies.dictionaries(ACCOUNTS, strategies.integers(0, 10**6))
CAP = 50


class DebtCapTest(unittest.TestCase):
    @hypothesis.given(COUNTERS, COUNTERS)
    def test_settled_counters_never_fall_and_keep_order_within_the_cap(
        self, first, second
    ):
        known = make(cap=CAP)
        for learned in (first, second):
            before = known.counter_by_account
            known.add_child_counters(learned)
            known.update_as_root(first.keys() | second.keys())
            after = known.fleet_counter_by_account
            for account, counter in before.items():
                self.assertGreaterEqual(after[account], counter)
            ordered = sorted(after.values())
            for below, above in itertools.pairwise(ordered):
                self.assertLessEqual(above - below, CAP * UNITS)

    def test_cap_keeps_the_differences_among_those_that_lag(self):
        known = make(cap=CAP)
        for account, served in [("a", 10), ("b", 30), ("c", 1000), ("d", 1010)]:
            known.add_served(account, served)
        known.update_as_root(["a", "b", "c", "d"])
        estimates = [known.estimate(account) for account in "abcd"]
        self.assertEqual([930, 950, 1000, 1010], estimates)
