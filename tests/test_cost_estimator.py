import unittest

from teaselsill import cost_estimator


class ExpectationTest(unittest.TestCase):
    def test_unknown_account_gets_the_default(self):
        self.assertEqual(200.0, cost_estimator.CostEstimator(200.0).estimate("a"))

    def test_mean_follows_what_requests_cost(self):
        known = cost_estimator.CostEstimator(200.0)
        for _ in range(60):
            known.update("a", 1600.0)
        self.assertAlmostEqual(1600.0, known.estimate("a"), delta=10)
        self.assertEqual(200.0, known.estimate("b"))

    def test_longest_unused_accounts_are_dropped(self):
        known = cost_estimator.CostEstimator(1.0)
        for number in range(cost_estimator.MAX_ACCOUNTS):
            known.update(f"a{number}", 100.0)
        known.update("a0", 100.0)
        known.update("new", 100.0)
        self.assertEqual(1.0, known.estimate("a1"))
        self.assertGreater(known.estimate("a0"), 1.0)
