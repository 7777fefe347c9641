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
        evidence = self.admission.assess(call, ROUTE, account, self.choice, now)
        try:
            self.admission.check(call, account, evidence, now)
        except rejections.RejectedError as error:
            self.assertIn(error.cause.status, (429, 503))
            self.assertGreater(error.retry_after_s, 0)
            return False
        return True

    def test_idle_engine_takes_all(self):
        self.usage.add(HEAVY, 1_000_000, 1_000_000, 0.0)
        self.usage.add(LIGHT, 1_000_000, 10, 0.0)
        self.assertTrue(self.is_admitted(HEAVY))

    def test_long_queue_takes_nobody(self):
        self.candidate.queue.add(100_000, 0.0)
        self.assertFalse(self.is_admitted(LIGHT))

    def test_plain_call_is_not_held_to_a_queue(self):
        self.candidate.queue.add(100_000, 0.0)
        call = test_placement.make_call()
        evidence = self.admission.assess(call, ROUTE, LIGHT, self.choice, 0.0)
        self.assertIsNone(evidence)

    def play(self, asked_by_account):
        """Plays 10 s of a steady load and returns the part of it that was admitted.

        Args:
            asked_by_account: What each account asks for, in requests a tick of 10 ms.
        """
        admitted = dict.fromkeys(asked_by_account, 0)
        owed = dict.fromkeys(asked_by_account, 0.0)
        for tick in range(TICKS):
            now = tick * 0.01
            for account, requests in asked_by_account.items():
                owed[account] += requests
                while owed[account] >= 1:
                    owed[account] -= 1
                    call = self.make_own_call(f"{account}-{next(self.numbers)}")
                    admitted[account] += self.ask(account, now, call)
        return {a: n / TICKS / asked_by_account[a] for a, n in admitted.items()}

    def ask(self, account, now, call):
        self.usage.add(account, TOKENS, 0, now)
        if not self.is_admitted(account, now, call):
            return 0
        self.usage.add(account, 0, TOKENS, now)
        self.candidate.queue.add(TOKENS, now)
        return 1

    def test_account_within_its_share_may_wait_as_long_as_any(self):
        """It was held to less the nearer it came to its share."""
        self.usage.capacity = 10 * TOKENS
        self.usage.add(HEAVY, 100 * TOKENS, 9 * TOKENS, 0.0)
        self.usage.add(LIGHT, 4.1 * TOKENS, 4.1 * TOKENS, 0.0)
        near = self.admission.assess(CALL, ROUTE, LIGHT, self.choice, 0.0)
        self.assertGreater(near.share_ratio, 0.6)
        self.assertEqual(near.limit_s, admission.MAX_WAIT_RATIO * ROUTE.objective_s)

    def test_the_more_beyond_the_share_the_shorter_the_wait(self):
        """One account floods, another asks for a little more than its share."""
        self.usage.capacity = 10 * TOKENS
        middle = ids.AccountId("middle")
        self.usage.add(HEAVY, 100 * TOKENS, 20 * TOKENS, 0.0)
        self.usage.add(middle, 9 * TOKENS, 7 * TOKENS, 0.0)
        flooding = self.admission.assess(CALL, ROUTE, HEAVY, self.choice, 0.0)
        moderate = self.admission.assess(CALL, ROUTE, middle, self.choice, 0.0)
        self.assertLess(10 * flooding.limit_s, moderate.limit_s)

    def test_flood_may_use_what_nobody_else_wants(self):
        """Engines were half idle while a flood was held to the stated capacity."""
        self.usage.capacity = 10 * TOKENS
        self.usage.engine_capacity = 30 * TOKENS
        self.usage.add(HEAVY, 100 * TOKENS, 25 * TOKENS, 0.0)
        self.usage.add(LIGHT, 2 * TOKENS, 2 * TOKENS, 0.0)
        self.candidate.queue.add(3000, 0.0)
        evidence = self.admission.assess(CALL, ROUTE, HEAVY, self.choice, 0.0)
        self.assertEqual(1.0, evidence.severity)
        self.assertGreater(evidence.share_ratio, 3)
        self.assertTrue(evidence.is_admissible)
        self.candidate.queue.add(10_000, 0.0)
        self.assertFalse(self.is_admitted(HEAVY))
        self.assertTrue(self.is_admitted(LIGHT))

    def test_flood_is_not_held_to_an_estimate_of_the_engines(self):
        """They were taken to be full by the cost of prompts that they hardly read."""
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
        """What it had long ago is next to nothing, and no number to divide by."""
        self.usage.add(LIGHT, TOKENS, TOKENS, 0.0)
        self.usage.add(HEAVY, 100 * TOKENS, 25 * TOKENS, 1500.0)
        evidence = self.admission.assess(CALL, ROUTE, LIGHT, self.choice, 1500.0)
        self.assertGreater(evidence.given_ratio, 0.0)
        self.assertEqual(admission.MAX_WAIT_RATIO * ROUTE.objective_s, evidence.limit_s)

    def test_what_nobody_else_wants_is_shared_evenly_among_floods(self):
        self.usage.capacity = 10 * TOKENS
        self.usage.engine_capacity = 30 * TOKENS
        other = ids.AccountId("other")
        self.usage.add(HEAVY, 100 * TOKENS, 25 * TOKENS, 0.0)
        self.usage.add(other, 50 * TOKENS, 5 * TOKENS, 0.0)
        self.candidate.queue.add(2000, 0.0)
        self.assertFalse(self.is_admitted(HEAVY))
        self.assertTrue(self.is_admitted(other))

    def test_what_comes_back_is_no_further_load(self):
        """Rejected requests return: they kept an overload up that was over."""
        self.usage.engine_capacity = 10 * TOKENS
        self.usage.add(HEAVY, 12 * TOKENS, 8 * TOKENS, 0.0)
        self.assertEqual(0.0, self.usage.find_overload_ratio(0.0))

    def test_burst_that_engines_can_take_may_wait(self):
        """Accounts beyond their share are held back only while engines are short."""
        self.usage.capacity = 10 * TOKENS
        self.usage.engine_capacity = 30 * TOKENS
        self.usage.add(HEAVY, 29 * TOKENS, 25 * TOKENS, 0.0)
        self.usage.add(LIGHT, 2 * TOKENS, 2 * TOKENS, 0.0)
        burst = self.admission.assess(CALL, ROUTE, HEAVY, self.choice, 0.0)
        self.assertGreater(burst.share_ratio, 3)
        self.assertEqual(burst.limit_s, admission.MAX_WAIT_RATIO * ROUTE.objective_s)

    def test_flood_leaves_the_wait_to_the_others(self):
        served = self.play({HEAVY: 5.0, LIGHT: 0.1})
        self.assertGreaterEqual(served[LIGHT], 0.99)
        used = (5.0 * served[HEAVY] + 0.1 * served[LIGHT]) * 100 * TOKENS
        usable = engine_queue.INITIAL_RATE * engine_queue.PREFILL_RATIO
        self.assertGreater(used, 0.9 * usable)

    def test_flood_is_served_in_time_although_it_comes_back(self):
        """Half of what was served had been rejected before, and was late by then."""
        usable = engine_queue.INITIAL_RATE * engine_queue.PREFILL_RATIO
        self.usage.capacity = 0.6 * usable * account_usage.DECAY_S
        served = {"new": 0, "returned": 0}
        returning = collections.deque()
        source = random.Random(1)
        for tick in range(TICKS):
            now = tick * 0.01
            calls = [self.make_own_call(f"{tick}-{n}") for n in range(3)]
            asking = [("new", call) for call in calls]
            while returning and returning[0][0] <= now:
                asking.append(("returned", returning.popleft()[1]))
            source.shuffle(asking)
            for name, call in asking:
                if self.ask(HEAVY, now, call):
                    served[name] += 1
                elif name == "new":
                    returning.append((now + 0.6, call))
            if tick % 10 == 0:
                self.ask(LIGHT, now, self.make_own_call(f"light-{tick}"))
        self.assertLess(served["returned"], 0.1 * served["new"])
        used = (sum(served.values()) + TICKS / 10) * TOKENS / (TICKS * 0.01)
        self.assertGreater(used, 0.9 * usable)

    def make_own_call(self, name):
        return test_placement.make_call(("session", 500), (name, 500))

    def test_returned_request_is_served_if_the_account_is_within_its_share(self):
        self.usage.capacity = 10 * TOKENS
        self.usage.engine_capacity = 10 * TOKENS
        self.usage.add(HEAVY, 100 * TOKENS, 9 * TOKENS, 0.0)
        self.usage.add(LIGHT, 1 * TOKENS, 1 * TOKENS, 0.0)
        self.candidate.queue.add(100_000, 0.0)
        self.assertFalse(self.is_admitted(LIGHT, 0.0))
        self.assertTrue(self.is_admitted(LIGHT, 2.0))

    def test_returned_request_is_served_in_a_mild_overload(self):
        self.usage.engine_capacity = 10 * TOKENS
        self.usage.add(HEAVY, 11 * TOKENS, 10 * TOKENS, 0.0)
        self.candidate.queue.add(100_000, 0.0)
        self.assertFalse(self.is_admitted(HEAVY, 0.0))
        self.assertTrue(self.is_admitted(HEAVY, 2.0))

    def test_two_floods_share_evenly(self):
        served = self.play({HEAVY: 5.0, LIGHT: 0.5})
        self.assertAlmostEqual(5.0 * served[HEAVY], 0.5 * served[LIGHT], delta=0.03)
