import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import retry_budget

RATIO = 0.2
WINDOW_S = 10.0
FLOOR = 1.0
BURST = 2.0
POLICY = retry_budget.BudgetPolicy(RATIO, WINDOW_S, BURST)


class RetryBudgetTest(unittest.TestCase):
    def test_spends_the_ratio_and_the_floor(self):
        budget = retry_budget.RetryBudget(POLICY)
        for _ in range(10):
            budget.note_request(0.0)
        spent = sum(budget.spend(1.0, 1) for _ in range(10))
        self.assertEqual(3, spent)

    def test_window_slides(self):
        budget = retry_budget.RetryBudget(
            retry_budget.BudgetPolicy(0.0, WINDOW_S, BURST)
        )
        self.assertTrue(budget.spend(0.0, 1))
        self.assertFalse(budget.spend(9.9, 1))
        self.assertTrue(budget.spend(10.0, 1))

    def test_new_policy_counts_retries_spent_before(self):
        budget = retry_budget.RetryBudget(POLICY)
        self.assertTrue(budget.spend(0.0, 1))
        self.assertFalse(budget.spend(1.0, 1))
        budget.policy = retry_budget.BudgetPolicy(RATIO, WINDOW_S, 4.0)
        self.assertTrue(budget.spend(2.0, 1))
        self.assertFalse(budget.spend(3.0, 1))

    def test_all_routers_together_keep_to_the_burst(self):
        """Every router spends as much as it may in one window, without any requests."""
        for routers in (4, 26, 80, 300):
            for known in (routers // 2 + 1, routers):
                with self.subTest(routers=routers, known=known):
                    policy = retry_budget.BudgetPolicy(RATIO, WINDOW_S, 176.0)
                    budgets = [retry_budget.RetryBudget(policy) for _ in range(routers)]
                    spent = [b.spend(0.0, known) for b in budgets for _ in range(180)]
                    self.assertLessEqual(sum(spent), policy.burst)

    def test_no_burst_before_the_number_of_routers_is_known(self):
        budget = retry_budget.RetryBudget(POLICY)
        self.assertFalse(budget.spend(0.0, 0))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.floats(0, 3), strategies.booleans()),
            max_size=80,
        )
    )
    def test_no_window_exceeds_the_budget(self, steps):
        budget = retry_budget.RetryBudget(POLICY)
        now = 0.0
        requested, spent = [], []
        for pause_s, is_retry in steps:
            now += pause_s
            if not is_retry:
                budget.note_request(now)
                requested.append(now)
            elif budget.spend(now, 1):
                spent.append(now)
        for end in spent:
            window = [t for t in spent if end - WINDOW_S < t <= end]
            received = [t for t in requested if end - WINDOW_S < t <= end]
            self.assertLessEqual(len(window), FLOOR + RATIO * len(received))
