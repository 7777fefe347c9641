import collections
import itertools
import random
import unittest

from teaselsill import (
    account_usage,
    admission,
    engine_queue,
    ids,
    placement,
    rejections,
)
from tests import test_placement, test_routing_table

HEAVY, LIGHT = ids.AccountId("heavy"), ids.AccountId("light")
CALL = test_placement.make_call(("session", 500), ("own", 500))
TICKS = 1000
TOKENS = 2_000
ROUTE = test_routing_table.make_route(objective_s=0.4)


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.numbers = itertools.count()
        self.usage = account_usage.AccountUsage()
        self.admission = admission.Admission(self.usage)
        self.candidate = test_placement.make_candidate("u")
        self.choice = placement.Choice(self.candidate, 1000, 0.0)

    def is_admitted(self, account, now=0.0, call=CALL):
        assessment = self.admission.assess(call, ROUTE, account, self.choice, now)
        try:
            self.admission.check(call, account, assessment, now)
        except rejections.RejectedError as error:
            self.assertIn(error.cause.status, (429, 503))
            self.assertGreater(error.retry_after_s, 0)
            return False
        return True

    def test_idle_engine_admits_all_accounts(self):
        self.usage.add(HEAVY, 1_000_000, 1_000_000, 0.0)
        self.usage.add(LIGHT, 1_000_000, 10, 0.0)
        self.assertTrue(self.is_admitted(HEAVY))

    def test_long_queue_admits_no_account(self):
        self.candidate.queue.add(100_000, 0.0)
        self.assertFalse(self.is_admitted(LIGHT))

    def test_plain_call_is_not_subject_to_admission(self):
        self.candidate.queue.add(100_000, 0.0)
        call = test_placement.make_call()
        assessment = self.admission.assess(call, ROUTE, LIGHT, self.choice, 0.0)
        self.assertIsNone(assessment)

    def simulate(self, requests_by_account):
        """Simulates 10 s of a steady load; returns the admitted part by account.

        Args:
            requests_by_account: The load of each account, in requests per 10 ms tick.
        """
        admitted = dict.fromkeys(requests_by_account, 0)
        pending = dict.fromkeys(requests_by_account, 0.0)
        for tick in range(TICKS):
            now = tick * 0.01
            for account, requests in requests_by_account.items():
                pending[account] += requests
                while pending[account] >= 1:
                    pending[account] -= 1
                    call = self.make_unique_call(f"{account}-{next(self.numbers)}")
                    admitted[account] += self.send(account, now, call)
        return {a: n / TICKS / requests_by_account[a] for a, n in admitted.items()}

    def send(self, account, now, call):
        self.usage.add(account, TOKENS, 0, now)
        if not self.is_admitted(account, now, call):
            return 0
        self.usage.add(account, 0, TOKENS, now)
        self.candidate.queue.add(TOKENS, now)
        return 1

    def test_account_within_its_share_may_wait_as_long_as_any(self):
        """The allowed wait must not shrink as an account approaches its share."""
        self.usage.capacity = 10 * TOKENS
        self.usage.add(HEAVY, 100 * TOKENS, 9 * TOKENS, 0.0)
        self.usage.add(LIGHT, 4.1 * TOKENS, 4.1 * TOKENS, 0.0)
        near = self.admission.assess(CALL, ROUTE, LIGHT, self.choice, 0.0)
        self.assertGreater(near.share_ratio, 0.6)
        self.assertEqual(near.limit_s, admission.MAX_WAIT_RATIO * ROUTE.objective_s)

    def test_allowed_wait_falls_with_the_excess_over_the_share(self):
        """One account floods, another requests a little more than its share."""
        self.usage.capacity = 10 * TOKENS
        middle = ids.AccountId("middle")
        self.usage.add(HEAVY, 100 * TOKENS, 20 * TOKENS, 0.0)
        self.usage.add(middle, 9 * TOKENS, 7 * TOKENS, 0.0)
        flooding = self.admission.assess(CALL, ROUTE, HEAVY, self.choice, 0.0)
        moderate = self.admission.assess(CALL, ROUTE, middle, self.choice, 0.0)
        self.assertLess(10 * flooding.limit_s, moderate.limit_s)

    def test_flooding_account_may_use_idle_capacity(self):
        """Capping a flood at the configured capacity would leave engines half idle."""
        self.usage.capacity = 10 * TOKENS
        self.usage.engine_capacity = 30 * TOKENS
        self.usage.add(HEAVY, 100 * TOKENS, 25 * TOKENS, 0.0)
        self.usage.add(LIGHT, 2 * TOKENS, 2 * TOKENS, 0.0)
        self.candidate.queue.add(3000, 0.0)
        assessment = self.admission.assess(CALL, ROUTE, HEAVY, self.choice, 0.0)
        self.assertEqual(1.0, assessment.severity)
        self.assertGreater(assessment.share_ratio, 3)
        self.assertTrue(assessment.is_admissible)
        self.candidate.queue.add(10_000, 0.0)
        self.assertFalse(self.is_admitted(HEAVY))
        self.assertTrue(self.is_admitted(LIGHT))

    def test_late_reports_count_as_idle_what_is_done_before_they_come(self):
        """An engine whose last 60 ms of work are known 80 ms late stands idle."""
        self.usage.capacity = 10 * TOKENS
        self.usage.engine_capacity = 10 * TOKENS
        for account in (HEAVY, LIGHT):
            self.usage.add(account, 30 * TOKENS, 14 * TOKENS, 0.0)
        self.candidate.queue.add(6_000, 0.0)
        self.assertFalse(self.is_admitted(HEAVY))
        self.admission.report_age_s = 0.08
        self.assertTrue(self.is_admitted(HEAVY))
        self.candidate.queue.add(6_000, 0.0)
        self.assertFalse(self.is_admitted(HEAVY))

    def test_late_reports_lengthen_the_wait_up_to_a_bound(self):
        for age_s, ratio in ((0.0, 0.1), (0.03, 0.1), (0.08, 0.2), (9.0, 0.3)):
            found = admission.find_idle_wait_ratio(age_s, 0.4)
            self.assertAlmostEqual(ratio, found)

    def test_flood_is_not_capped_by_the_estimated_engine_capacity(self):
        """By the cost of prompts, engines look full although most tokens are cached."""
        for engine_capacity in (5, 15, 60):
            with self.subTest(engine_capacity=engine_capacity):
                self.setUp()
                self.usage.capacity = 10 * TOKENS
                self.usage.engine_capacity = engine_capacity * TOKENS
                self.usage.add(HEAVY, 100 * TOKENS, 25 * TOKENS, 0.0)
                self.usage.add(LIGHT, 2 * TOKENS, 2 * TOKENS, 0.0)
                self.candidate.queue.add(3000, 0.0)
                self.assertTrue(self.is_admitted(HEAVY))
                self.candidate.queue.add(30_000, 0.0)
                self.assertFalse(self.is_admitted(HEAVY))

    def test_account_that_has_been_idle_for_long_may_wait(self):
        """Its decayed usage is almost zero, which must not cause a division by zero."""
        self.usage.add(LIGHT, TOKENS, TOKENS, 0.0)
        self.usage.add(HEAVY, 100 * TOKENS, 25 * TOKENS, 1500.0)
        assessment = self.admission.assess(CALL, ROUTE, LIGHT, self.choice, 1500.0)
        self.assertGreater(assessment.even_share_ratio, 0.0)
        self.assertEqual(
            admission.MAX_WAIT_RATIO * ROUTE.objective_s, assessment.limit_s
        )

    def test_idle_capacity_is_shared_evenly_among_floods(self):
        self.usage.capacity = 10 * TOKENS
        self.usage.engine_capacity = 30 * TOKENS
        other = ids.AccountId("other")
        self.usage.add(HEAVY, 100 * TOKENS, 25 * TOKENS, 0.0)
        self.usage.add(other, 50 * TOKENS, 5 * TOKENS, 0.0)
        self.candidate.queue.add(2000, 0.0)
        self.assertFalse(self.is_admitted(HEAVY))
        self.assertTrue(self.is_admitted(other))

    def test_retries_are_not_counted_as_additional_load(self):
        """Otherwise retries of rejected requests prolong an overload that has ended."""
        self.usage.engine_capacity = 10 * TOKENS
        self.usage.add(HEAVY, 12 * TOKENS, 8 * TOKENS, 0.0)
        self.assertEqual(0.0, self.usage.find_overload_ratio(0.0))

    def test_burst_within_the_engine_capacity_may_wait(self):
        """Accounts beyond their share are limited only while engines are overloaded."""
        self.usage.capacity = 10 * TOKENS
        self.usage.engine_capacity = 30 * TOKENS
        self.usage.add(HEAVY, 29 * TOKENS, 25 * TOKENS, 0.0)
        self.usage.add(LIGHT, 2 * TOKENS, 2 * TOKENS, 0.0)
        burst = self.admission.assess(CALL, ROUTE, HEAVY, self.choice, 0.0)
        self.assertGreater(burst.share_ratio, 3)
        self.assertEqual(burst.limit_s, admission.MAX_WAIT_RATIO * ROUTE.objective_s)

    def test_flood_does_not_delay_other_accounts(self):
        served = self.simulate({HEAVY: 5.0, LIGHT: 0.1})
        self.assertGreaterEqual(served[LIGHT], 0.99)
        used = (5.0 * served[HEAVY] + 0.1 * served[LIGHT]) * 100 * TOKENS
        usable = engine_queue.INITIAL_RATE * engine_queue.PREFILL_RATIO
        self.assertGreater(used, 0.9 * usable)

    def test_new_requests_of_a_flood_are_preferred_to_late_retries(self):
        """Otherwise half of the served requests are retries that are already late."""
        usable = engine_queue.INITIAL_RATE * engine_queue.PREFILL_RATIO
        self.usage.capacity = 0.6 * usable * account_usage.DECAY_S
        served = {"new": 0, "retry": 0}
        retries = collections.deque()
        source = random.Random(1)
        for tick in range(TICKS):
            now = tick * 0.01
            calls = [self.make_unique_call(f"{tick}-{n}") for n in range(3)]
            arriving = [("new", call) for call in calls]
            while retries and retries[0][0] <= now:
                arriving.append(("retry", retries.popleft()[1]))
            source.shuffle(arriving)
            for name, call in arriving:
                if self.send(HEAVY, now, call):
                    served[name] += 1
                elif name == "new":
                    retries.append((now + 0.6, call))
            if tick % 10 == 0:
                self.send(LIGHT, now, self.make_unique_call(f"light-{tick}"))
        self.assertLess(served["retry"], 0.1 * served["new"])
        used = (sum(served.values()) + TICKS / 10) * TOKENS / (TICKS * 0.01)
        self.assertGreater(used, 0.9 * usable)

    def make_unique_call(self, name):
        return test_placement.make_call(("session", 500), (name, 500))

    def test_retry_is_served_if_the_account_is_within_its_share(self):
        self.usage.capacity = 10 * TOKENS
        self.usage.engine_capacity = 10 * TOKENS
        self.usage.add(HEAVY, 100 * TOKENS, 9 * TOKENS, 0.0)
        self.usage.add(LIGHT, 1 * TOKENS, 1 * TOKENS, 0.0)
        self.candidate.queue.add(100_000, 0.0)
        self.assertFalse(self.is_admitted(LIGHT, 0.0))
        self.assertTrue(self.is_admitted(LIGHT, 2.0))

    def test_retry_is_served_in_a_mild_overload(self):
        self.usage.engine_capacity = 10 * TOKENS
        self.usage.add(HEAVY, 11 * TOKENS, 10 * TOKENS, 0.0)
        self.candidate.queue.add(100_000, 0.0)
        self.assertFalse(self.is_admitted(HEAVY, 0.0))
        self.assertTrue(self.is_admitted(HEAVY, 2.0))

    def test_two_floods_share_evenly(self):
        served = self.simulate({HEAVY: 5.0, LIGHT: 0.5})
        self.assertAlmostEqual(5.0 * served[HEAVY], 0.5 * served[LIGHT], delta=0.03)
