import unittest

from teaselsill import errors, fairness

BOUND_INPUTS = fairness.BoundInputs(
    in_flight=4, largest_cost=100.0, digest_age_s=2.0, rate=50.0
)


class GapBoundTest(unittest.TestCase):
    def test_bound_is_twice_in_flight_cost_and_service_since_the_digest(self):
        self.assertEqual(2 * (4 * 100 + 2 * 50), fairness.gap_bound(BOUND_INPUTS))

    def test_gap_over_the_bound_violates_the_invariant(self):
        fairness.check_gap(1000.0, BOUND_INPUTS)
        with self.assertRaises(errors.InvariantError) as caught:
            fairness.check_gap(1000.1, BOUND_INPUTS)
        self.assertEqual(1000.0, caught.exception.bound)

    def test_digests_are_older_in_a_deeper_tree(self):
        ages = [fairness.digest_age_s(depth, 1.0, 0.25) for depth in range(4)]
        self.assertEqual([2.0, 2.25, 2.5, 2.75], ages)


class GapMeterTest(unittest.TestCase):
    def test_gap_is_the_greatest_difference_over_any_part_of_the_time(self):
        meter = fairness.GapMeter()
        for first, second in [(100, 0), (130, 0), (130, 50), (150, 90)]:
            meter.sample({"a": first, "b": second}, ["a", "b"])
        self.assertEqual(70, meter.greatest)

    def test_service_while_the_other_does_not_wait_is_no_gap(self):
        meter = fairness.GapMeter()
        meter.sample({"a": 0, "b": 0}, ["a", "b"])
        meter.sample({"a": 500, "b": 0}, ["a"])
        meter.sample({"a": 500, "b": 0}, ["a", "b"])
        meter.sample({"a": 510, "b": 0}, ["a", "b"])
        self.assertEqual(10, meter.greatest)

    def test_accounts_that_use_different_upstreams_are_not_compared(self):
        meter = fairness.GapMeter(comparison_key=lambda account: account == "c")
        meter.sample({"a": 0, "b": 0, "c": 0}, ["a", "b", "c"])
        meter.sample({"a": 10, "b": 4, "c": 900}, ["a", "b", "c"])
        self.assertEqual(6, meter.greatest)

    def test_restart_forgets_the_comparisons_but_not_the_greatest_gap(self):
        meter = fairness.GapMeter()
        meter.sample({"a": 0, "b": 0}, ["a", "b"])
        meter.sample({"a": 7, "b": 0}, ["a", "b"])
        meter.restart()
        meter.sample({"a": 900, "b": 0}, ["a", "b"])
        self.assertEqual((0, 7), (meter.current, meter.greatest))


class LargestStepTest(unittest.TestCase):
    def test_largest_step_is_of_one_account_between_two_samples(self):
        meter = fairness.GapMeter()
        meter.sample({"a": 10, "b": 0}, ["a", "b"])
        meter.sample({"a": 15, "b": 3, "c": 90}, ["a", "b", "c"])
        meter.sample({"a": 16, "b": 4, "c": 91}, ["a", "b", "c"])
        self.assertEqual(5, meter.largest_step)
        meter.restart()
        self.assertEqual(0, meter.largest_step)
