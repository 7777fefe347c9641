import math
import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import account_usage, ids

HEAVY, LIGHT = ids.AccountId("heavy"), ids.AccountId("light")


class FindMaxMinLevelTest(unittest.TestCase):
    def test_small_demands_are_met_in_full(self):
        self.assertEqual(45, account_usage.find_max_min_level([10, 100, 100], 100))

    def test_level_is_infinite_if_the_capacity_suffices(self):
        self.assertEqual(math.inf, account_usage.find_max_min_level([10, 20], 100))

    @hypothesis.given(
        strategies.lists(strategies.floats(0.1, 1e6), min_size=1),
        strategies.floats(0.1, 1e6),
    )
    def test_level_uses_the_whole_capacity(self, demands, capacity):
        level = account_usage.find_max_min_level(demands, capacity)
        admitted = sum(min(level, demand) for demand in demands)
        self.assertAlmostEqual(
            min(capacity, sum(demands)), admitted, delta=1e-6 * admitted
        )


class AccountUsageTest(unittest.TestCase):
    def test_ratio_exceeds_1_beyond_the_share(self):
        usage = account_usage.AccountUsage()
        usage.add(HEAVY, requested=1000, admitted=600, now=0.0)
        usage.add(LIGHT, requested=300, admitted=100, now=0.0)
        self.assertGreater(usage.find_share_ratio(HEAVY, 0.0), 1)
        self.assertLess(usage.find_share_ratio(LIGHT, 0.0), 1)

    def test_no_account_exceeds_its_share_while_engines_are_idle(self):
        usage = account_usage.AccountUsage()
        usage.capacity = 10_000
        usage.add(HEAVY, 1000, 900, 0.0)
        usage.add(LIGHT, 10, 0, 0.0)
        self.assertEqual(0, usage.find_share_ratio(HEAVY, 0.0))

    def test_usage_decays(self):
        usage = account_usage.AccountUsage()
        usage.add(HEAVY, 1000, 600, 0.0)
        usage.add(LIGHT, 1000, 100, 0.0)
        usage.add(LIGHT, 1000, 700, 10.0)
        self.assertLess(usage.find_share_ratio(HEAVY, 10.0), 0.1)


class JustStartedTest(unittest.TestCase):
    """A newly started router must recognise a flood before 3 s of usage are known."""

    def test_shares_match_those_of_a_long_running_router(self):
        old, new = account_usage.AccountUsage(), account_usage.AccountUsage()
        for usage in (old, new):
            usage.capacity = 3000.0
            usage.engine_capacity = 4500.0
        old.start_tracking(0.0)
        new.start_tracking(10.0)
        for tick in range(1301):
            now = tick / 100
            started = (old, new) if now >= 10 else (old,)
            for usage in started:
                usage.add(HEAVY, requested=60, admitted=15, now=now)
                usage.add(LIGHT, requested=1, admitted=1, now=now)
            if now >= 10.5 and not tick % 50:
                with self.subTest(now=now):
                    ratio = old.find_share_ratio(HEAVY, now)
                    self.assertAlmostEqual(
                        ratio, new.find_share_ratio(HEAVY, now), delta=0.2 * ratio
                    )
                    overload_ratio = old.find_overload_ratio(now)
                    self.assertAlmostEqual(
                        overload_ratio,
                        new.find_overload_ratio(now),
                        delta=0.2 * overload_ratio,
                    )
