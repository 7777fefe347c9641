import itertools
import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import counters

UNITS = counters.UNITS_PER_COST


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def make_counters(cap=1e9, clock=None):
    return counters.Counters(cap, clock or Clock())


def make_digest(**cost_by_account):
    return {account: cost * UNITS for account, cost in cost_by_account.items()}


class EstimateTest(unittest.TestCase):
    def test_fractions_of_units_add_up(self):
        service_counters = make_counters()
        for _ in range(100_000):
            service_counters.add_served("a", 0.0001)
        self.assertAlmostEqual(10.0, service_counters.estimate("a"), delta=2 / UNITS)

    def test_reservation_counts_until_it_is_released(self):
        service_counters = make_counters()
        service_counters.reserve("a", 30)
        service_counters.add_served("a", 10)
        service_counters.release("a", 10)
        self.assertEqual(30, service_counters.estimate("a"))
        service_counters.release("a", 20)
        self.assertEqual(
            (10, 0), (service_counters.estimate("a"), service_counters.reserved("a"))
        )

    def test_own_service_counts_once_before_and_after_the_digest_includes_it(self):
        service_counters = make_counters()
        service_counters.merge_digest(make_digest(a=100), 0)
        service_counters.add_served("a", 7)
        self.assertEqual(107, service_counters.estimate("a"))
        service_counters.take_pending(1)
        service_counters.merge_digest(make_digest(a=120), 0)
        self.assertEqual(127, service_counters.estimate("a"))
        service_counters.merge_digest(make_digest(a=127), 1)
        self.assertEqual(127, service_counters.estimate("a"))

    def test_included_service_stays_when_the_digest_omits_the_account(self):
        service_counters = make_counters()
        service_counters.add_served("a", 7)
        service_counters.take_pending(1)
        service_counters.merge_digest({}, 1)
        self.assertEqual(7, service_counters.estimate("a"))

    def test_older_digest_lowers_nothing(self):
        service_counters = make_counters()
        service_counters.merge_digest(make_digest(a=100, b=50), 0)
        service_counters.merge_digest(make_digest(a=90, b=60), 0)
        self.assertEqual(
            (100, 60), (service_counters.estimate("a"), service_counters.estimate("b"))
        )

    def test_unacknowledged_reports_stay_bounded_and_counted(self):
        service_counters = make_counters()
        for sequence in range(1, 1000):
            service_counters.add_served("a", 1)
            service_counters.take_pending(sequence)
        self.assertLessEqual(
            len(service_counters._unacknowledged_by_sequence), counters.MAX_REPORTS_KEPT
        )
        self.assertEqual(999, service_counters.estimate("a"))


class LiftTest(unittest.TestCase):
    def test_root_lifts_a_new_account_to_the_least_backlogged(self):
        service_counters = make_counters()
        service_counters.add_served("a", 100)
        service_counters.add_served("b", 300)
        service_counters.update_as_root(["a", "b"])
        service_counters.update_as_root(["a", "b", "c"])
        self.assertEqual(100, service_counters.estimate("c"))

    def test_agent_lifts_an_account_that_the_digest_lacks(self):
        service_counters = make_counters()
        service_counters.merge_digest(make_digest(a=100, b=300), 0)
        service_counters.set_backlogged(["c", "a"])
        self.assertEqual(100, service_counters.estimate("c"))
        service_counters.merge_digest(make_digest(a=150, b=300), 0)
        self.assertEqual(150, service_counters.estimate("c"))

    def test_account_earns_no_credit_while_idle_behind_a_slow_account(self):
        service_counters = make_counters()
        for account, served in [("slow", 10), ("a", 1000), ("b", 1000)]:
            service_counters.add_served(account, served)
        service_counters.update_as_root(["slow", "a", "b"])
        service_counters.update_as_root(["slow", "b"])
        service_counters.add_served("b", 500)
        service_counters.update_as_root(["slow", "b"])
        service_counters.update_as_root(["slow", "a", "b"])
        self.assertEqual(1500, service_counters.estimate("a"))

    def test_account_without_requests_between_two_reports_is_omitted_once(self):
        service_counters = make_counters()
        reported = []
        for waiting in [["a", "b"], [], ["a", "b"]]:
            service_counters.set_backlogged(waiting)
            if waiting:
                reported.append(service_counters.take_backlogged())
        reported.append(service_counters.take_backlogged())
        self.assertEqual([{"a", "b"}, set(), {"a", "b"}], reported)

    def test_idle_account_is_dropped_and_lifted_when_it_returns(self):
        clock = Clock()
        service_counters = make_counters(clock=clock)
        service_counters.add_served("gone", 10)
        service_counters.add_served("a", 100)
        service_counters.update_as_root(["gone", "a"])
        clock.now = counters.IDLE_RETENTION_S + 1
        service_counters.update_as_root(["a"])
        clock.now *= 2.1
        service_counters.update_as_root(["a"])
        self.assertNotIn("gone", service_counters.counter_by_account)
        service_counters.update_as_root(["a", "gone"])
        self.assertEqual(100, service_counters.estimate("gone"))


ACCOUNTS = strategies.sampled_from(["a", "b", "c", "d", "e"])
COUNTERS = strategies.dictionaries(ACCOUNTS, strategies.integers(0, 10**6))
CAP = 50


class DebtCapTest(unittest.TestCase):
    @hypothesis.given(COUNTERS, COUNTERS)
    def test_counters_never_decrease_and_debts_stay_within_the_cap(self, first, second):
        service_counters = make_counters(cap=CAP)
        for child_counters in (first, second):
            before = service_counters.counter_by_account
            service_counters.add_child_counters(child_counters)
            service_counters.update_as_root(first.keys() | second.keys())
            after = service_counters.fleet_counter_by_account
            for account, counter in before.items():
                self.assertGreaterEqual(after[account], counter)
            ordered = sorted(after.values())
            for below, above in itertools.pairwise(ordered):
                self.assertLessEqual(above - below, CAP * UNITS)

    def test_cap_keeps_the_differences_between_accounts_in_debt(self):
        service_counters = make_counters(cap=CAP)
        for account, served in [("a", 10), ("b", 30), ("c", 1000), ("d", 1010)]:
            service_counters.add_served(account, served)
        service_counters.update_as_root(["a", "b", "c", "d"])
        estimates = [service_counters.estimate(account) for account in "abcd"]
        self.assertEqual([930, 950, 1000, 1010], estimates)
