import unittest

from teaselsill import cost_estimator


class CostEstimatorTest(unittest.TestCase):
    def test_unknown_account_gets_the_default(self):
        self.assertEqual(200.0, cost_estimator.CostEstimator(200.0).estimate("a"))

    def test_estimate_follows_the_cost_of_requests(self):
        estimator = cost_estimator.CostEstimator(200.0)
        for _ in range(60):
            estimator.update("a", 1600.0)
        self.assertAlmostEqual(1600.0, estimator.estimate("a"), delta=10)
        self.assertEqual(200.0, estimator.estimate("b"))

    def test_least_recently_used_accounts_are_evicted(self):
        estimator = cost_estimator.CostEstimator(1.0)
        for number in range(cost_estimator.MAX_ACCOUNTS):
            estimator.update(f"a{number}", 100.0)
        estimator.update("a0", 100.0)
        estimator.update("new", 100.0)
        self.assertEqual(1.0, estimator.estimate("a1"))
        self.assertGreater(estimator.estimate("a0"), 1.0)
