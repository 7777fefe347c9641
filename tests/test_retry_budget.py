import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import retry_budget

RATIO = 0.2
WINDOW_S = 10.0
FLOOR = 1.0
POLICY = retry_budget.BudgetPolicy(RATIO, WINDOW_S, FLOOR)


class RetryBudgetTest(unittest.TestCase):
    def test_spends_the_ratio_and_the_floor(self):
        budget = retry_budget.RetryBudget(POLICY)
        for _ in range(10):
            budget.note_request(0.0)
        spent = sum(budget.spend(1.0) for _ in range(10))
        self.assertEqual(3, spent)

    def test_window_slides(self):
        budget = retry_budget.RetryBudget(
            retry_budget.BudgetPolicy(0.0, WINDOW_S, FLOOR)
        )
        self.assertTrue(budget.spend(0.0))
        self.assertFalse(budget.spend(9.9))
        self.assertTrue(budget.spend(10.0))

    def test_another_policy_counts_what_was_spent(self):
        budget = retry_budget.RetryBudget(POLICY)
        self.assertTrue(budget.spend(0.0))
        self.assertFalse(budget.spend(1.0))
        budget.policy = retry_budget.BudgetPolicy(RATIO, WINDOW_S, 2.0)
        self.assertTrue(budget.spend(2.0))
        self.assertFalse(budget.spend(3.0))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.floats(0, 3), strategies.booleans()),
            max_size=80,
        )
    )
    def test_no_window_has_more_than_allowed(self, steps):
        budget = retry_budget.RetryBudget(POLICY)
        now = 0.0
        requested, spent = [], []
        for pause_s, is_retry in steps:
            now += pause_s
            if not is_retry:
                budget.note_request(now)
                requested.append(now)
            elif budget.spend(now):
                spent.append(now)
        for end in spent:
            window = [t for t in spent if end - WINDOW_S < t <= end]
            asked = [t for t in requested if end - WINDOW_S < t <= end]
            self.assertLessEqual(len(window), FLOOR + RATIO * len(asked))
