import math
import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import cold_start, ids

POLICY = cold_start.Policy(duration_s=3.0, per_s=13.0)
ALLOWANCE = cold_start.Allowance(overage=1.5, slack=5.0)
NOW = 100.0


def make_statement(left_s, at=NOW, source=cold_start.Source.ENTRY):
    return cold_start.Statement(at + left_s, at, source)


class PolicyTest(unittest.TestCase):
    def test_odd_policy_is_as_if_absent(self):
        self.assertEqual(POLICY, cold_start.make_policy(3, 13))
        for odd in (None, 0, -1, math.nan, math.inf, "3", True, [3], 10**9):
            with self.subTest(odd=odd):
                self.assertIsNone(cold_start.make_policy(odd, 13))
                self.assertIsNone(cold_start.make_policy(3, odd))

    def test_rate_is_what_the_upstream_takes_if_that_is_safe(self):
        self.assertEqual(13.0, cold_start.find_rate(POLICY, ALLOWANCE))

    @hypothesis.given(
        strategies.floats(4.0, 1000.0),
        strategies.floats(1.0, 3.0),
        strategies.floats(0.0, 10.0),
    )
    def test_permits_that_are_used_together_stay_below_what_is_allowed(
        self, per_s, overage, slack
    ):
        policy = cold_start.Policy(3.0, per_s)
        allowance = cold_start.Allowance(overage, slack)
        rate = cold_start.find_rate(policy, allowance)
        seconds = 1.0 + cold_start.PERMIT_TTL_S + cold_start.TRANSIT_S
        most = 1.0 + rate * (cold_start.BURST_S + seconds)
        self.assertLessEqual(most, allowance.count(policy) + 1e-6)
        self.assertLessEqual(rate, per_s)


class ColdStateTest(unittest.TestCase):
    def setUp(self):
        self.state = cold_start.ColdState(ids.UpstreamId("u"))
        self.state.policy = POLICY
        self.state.allowance = ALLOWANCE

    def per_s(self, now):
        limit = self.state.find_limit(now)
        return limit.per_s if limit is not None else None

    def note(self, left_s, at=NOW, **fields):
        return self.state.note(make_statement(left_s, at, **fields), at)

    def test_upstream_has_no_limit_before_anything_says_so(self):
        self.assertIsNone(self.per_s(NOW))
        self.assertFalse(self.note(0.0))
        self.assertIsNone(self.per_s(NOW))

    def test_cold_upstream_has_a_limit_that_rises_at_the_end(self):
        self.assertTrue(self.note(2.0))
        self.assertEqual(13.0, self.per_s(NOW))
        self.assertEqual(13.0, self.per_s(NOW + 2.0))
        self.assertAlmostEqual(26.0, self.per_s(NOW + 2.0 + cold_start.DOUBLING_S))
        self.assertIsNone(self.per_s(NOW + 2.0 + cold_start.RAMP_S))

    def test_service_without_a_policy_is_as_before(self):
        self.state.policy = None
        self.assertFalse(self.note(2.0))
        self.assertFalse(self.state.note_birth(0.0, NOW))
        self.state.note_return(NOW)
        self.assertIsNone(self.per_s(NOW))

    def test_last_word_holds_however_late_it_arrives(self):
        self.note(3.0)
        self.assertTrue(self.note(0.0, NOW + 1.0))
        self.assertFalse(self.state.note(make_statement(3.0, NOW + 0.5), NOW + 1.1))
        self.assertFalse(self.state.is_cold(NOW + 1.1))

    def test_upstream_turns_cold_again(self):
        self.note(1.0)
        self.assertTrue(self.note(3.0, NOW + 2.0))
        self.assertEqual(13.0, self.per_s(NOW + 4.9))
        self.assertEqual(NOW, self.state.find_limit(NOW + 4.9).since)

    def test_upstream_whose_last_limit_is_over_has_a_new_one(self):
        self.note(1.0)
        self.note(3.0, NOW + 10.0)
        self.assertEqual(NOW + 10.0, self.state.find_limit(NOW + 11.0).since)

    def test_heartbeats_of_a_cold_upstream_are_not_reported(self):
        self.note(3.0)
        self.assertFalse(self.note(1.85, NOW + 1.2))
        self.assertAlmostEqual(NOW + 3.05, self.state.statement.until)

    def test_entry_written_before_another_source_spoke_does_not_end_it(self):
        for source in cold_start.Source:
            if source is cold_start.Source.ENTRY:
                continue
            with self.subTest(source=source):
                self.setUp()
                self.note(3.0, source=source)
                self.assertFalse(self.note(0.0, NOW + 0.1))
                self.assertTrue(self.state.is_cold(NOW + 0.1))
                self.assertTrue(self.note(0.0, NOW + 1.0))
                self.assertFalse(self.state.is_cold(NOW + 1.0))

    def test_router_that_has_read_an_entry_is_believed(self):
        """It learnt a little earlier that the data centre was taken back."""
        self.state.note_return(NOW)
        told = make_statement(0.0, NOW + 0.3)
        self.assertTrue(self.state.note(told, NOW + 0.3, ids.InstanceId("r")))
        self.assertFalse(self.state.is_cold(NOW + 0.3))

    def test_birth_counts_as_cold_whatever_the_time_of_day_says(self):
        for age_s, left_s in ((0.5, 2.5), (0.0, 3.0), (-3600.0, 3.0)):
            with self.subTest(age_s=age_s):
                self.setUp()
                self.assertTrue(self.state.note_birth(age_s, NOW))
                self.assertAlmostEqual(NOW + left_s, self.state.statement.until)

    def test_upstream_that_started_long_ago_is_no_birth(self):
        self.assertFalse(self.state.note_birth(60.0, NOW))
        self.assertFalse(self.state.is_cold(NOW))

    def test_upstream_of_a_data_centre_that_is_taken_back_is_cold(self):
        self.state.note_return(NOW)
        self.assertTrue(self.state.is_cold(NOW + 2.9))
        self.note(0.0, NOW + 1.0)
        self.state.note_return(NOW)
        self.assertFalse(self.state.is_cold(NOW + 1.1))
        self.state.note_return(NOW + 20.0)
        self.assertTrue(self.state.is_cold(NOW + 20.1))


class EntryTest(unittest.TestCase):
    def test_cold_time_counts_from_when_the_entry_was_read(self):
        statement = cold_start.make_entry_statement(2.0, 0.5, NOW)
        self.assertEqual(NOW + 1.5, statement.until)
        self.assertTrue(statement.is_cold)

    def test_entry_of_a_listing_can_only_say_that_an_upstream_is_cold(self):
        self.assertIsNone(cold_start.make_entry_statement(0.0, None, NOW))
        self.assertTrue(cold_start.make_entry_statement(2.0, None, NOW).is_cold)

    def test_absurd_cold_time_is_as_if_absent(self):
        for cold_left_s in (-1.0, 10**6, math.inf, math.nan):
            with self.subTest(cold_left_s=cold_left_s):
                self.assertIsNone(
                    cold_start.make_entry_statement(cold_left_s, 0.0, NOW)
                )
