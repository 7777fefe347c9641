import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import ids, permit_queue

A, B = ids.AccountId("a"), ids.AccountId("b")
PER_S = 10.0


def make_waiter(account=A, now=0.0, max_wait_s=0.35, is_retry=False):
    return permit_queue.Waiter(account, now, now + max_wait_s, is_retry)


class PermitQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = permit_queue.PermitQueue(PER_S, opens_at=0.0, created_at=0.0)

    def ask(self, now, **fields):
        waiter = make_waiter(now=now, **fields)
        return waiter, self.queue.ask(waiter, now)

    def test_permit_is_granted_at_once_if_there_is_one(self):
        waiter, decisions = self.ask(0.1)
        self.assertEqual([permit_queue.Granted(waiter)], decisions)

    def test_request_waits_for_the_next_permit(self):
        waiter, decisions = self.ask(0.05)
        self.assertEqual([], decisions)
        self.assertAlmostEqual(0.05, self.queue.find_next_s(0.05))
        self.assertEqual([permit_queue.Granted(waiter)], self.queue.settle(0.1))
        self.assertTrue(self.queue.is_idle)

    def test_request_that_would_wait_too_long_is_denied_at_once(self):
        for _ in range(3):
            self.assertEqual([], self.ask(0.0)[1])
        waiter, (denied,) = self.ask(0.0)
        self.assertIs(waiter, denied.waiter)
        self.assertAlmostEqual(0.4, denied.wait_s)

    def test_account_with_fewer_permits_goes_first_and_displaces_the_other(self):
        self.assertIsInstance(self.ask(0.1, account=A)[1][0], permit_queue.Granted)
        waiting = [self.ask(0.1, account=A)[0] for _ in range(3)]
        other, (denied,) = self.ask(0.1, account=B)
        self.assertIs(waiting[2], denied.waiter)
        self.assertEqual([permit_queue.Granted(other)], self.queue.settle(0.2))

    def test_retry_goes_first(self):
        first, _ = self.ask(0.0)
        retry, _ = self.ask(0.0, account=B, is_retry=True)
        self.assertEqual([permit_queue.Granted(retry)], self.queue.settle(0.1))
        self.assertEqual([permit_queue.Granted(first)], self.queue.settle(0.2))

    def test_strict_rate_keeps_one_permit_and_is_not_raised(self):
        queue = permit_queue.PermitQueue(0.1, 0.0, 0.0, is_strict=True)
        self.assertEqual([], queue.ask(make_waiter(now=9.0, max_wait_s=2.0), 9.0))
        self.assertEqual(1, len(queue.settle(10.0)))
        queue.set_rate(PER_S, 10.0, is_strict=True)
        granted = sum(
            isinstance(decision, permit_queue.Granted)
            for _ in range(20)
            for decision in queue.ask(make_waiter(now=60.0), 60.0)
        )
        self.assertEqual(1, granted)

    def test_few_permits_are_kept_for_later(self):
        granted = sum(
            isinstance(decision, permit_queue.Granted)
            for _ in range(20)
            for decision in self.ask(60.0)[1]
        )
        self.assertEqual(int(1 + permit_queue.BURST_S * PER_S), granted)

    def test_nothing_is_granted_before_the_queue_opens(self):
        queue = permit_queue.PermitQueue(PER_S, opens_at=1.0, created_at=0.0)
        (denied,) = queue.ask(make_waiter(now=0.0), 0.0)
        self.assertAlmostEqual(1.1, denied.wait_s)
        self.assertEqual([], queue.ask(make_waiter(now=0.9), 0.9))

    def test_permit_that_is_given_back_is_granted_again(self):
        self.ask(0.1)
        self.queue.give_back(0.1)
        self.assertIsInstance(self.ask(0.1)[1][0], permit_queue.Granted)

    def test_withdrawn_request_gets_no_permit(self):
        waiter, _ = self.ask(0.0)
        self.queue.withdraw(waiter)
        self.assertEqual([], self.queue.settle(1.0))

    def test_limit_of_zero_lets_a_request_through_now_and_then(self):
        queue = permit_queue.PermitQueue(0.0, opens_at=0.0, created_at=0.0)
        granted = sum(
            isinstance(decision, permit_queue.Granted)
            for now in range(61)
            for decision in queue.ask(make_waiter(now=now, max_wait_s=0.0), now)
        )
        self.assertEqual(int(60 * permit_queue.MIN_RATE_PER_S), granted)

    def test_limit_that_falls_takes_effect_at_once(self):
        self.queue.set_rate(1.0, 10.0)
        self.ask(10.0)
        _, (denied,) = self.ask(10.0)
        self.assertGreater(denied.wait_s, 0.7)

    @hypothesis.given(
        strategies.floats(0.0, 50.0),
        strategies.lists(strategies.floats(0.0, 0.5), max_size=60),
    )
    def test_no_window_has_more_permits_than_rate_and_burst_allow(self, per_s, pauses):
        queue = permit_queue.PermitQueue(per_s, opens_at=0.0, created_at=0.0)
        now, granted_at = 0.0, []
        for pause_s in pauses:
            now += pause_s
            for decision in queue.ask(make_waiter(now=now), now):
                if isinstance(decision, permit_queue.Granted):
                    granted_at.append(now)
        rate = max(per_s, permit_queue.MIN_RATE_PER_S)
        for first, start in enumerate(granted_at):
            for last, end in enumerate(granted_at[first:], first):
                allowed = 1 + permit_queue.BURST_S * rate + rate * (end - start)
                self.assertLessEqual(last - first + 1, allowed + 1e-6)
