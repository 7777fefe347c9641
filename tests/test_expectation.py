import unittest

from teaselsill import expectation


class ExpectationTest(unittest.TestCase):
    def test_unknown_account_gets_the_default(self):
        self.assertEqual(200.0, expectation.Expectation(200.0).expect("a"))

    def test_mean_follows_what_requests_cost(self):
        known = expectation.Expectation(200.0)
        for _ in range(60):
            known.learn("a", 1600.0)
        self.assertAlmostEqual(1600.0, known.expect("a"), delta=10)
        self.assertEqual(200.0, known.expect("b"))

    def test_longest_unused_accounts_are_dropped(self):
        known = expectation.Expectation(1.0)
        for number in range(expectation.MAX_ACCOUNTS):
            known.learn(f"a{number}", 100.0)
        known.learn("a0", 100.0)
        known.learn("new", 100.0)
        self.assertEqual(1.0, known.expect("a1"))
        self.assertGreater(known.expect("a0"), 1.0)
