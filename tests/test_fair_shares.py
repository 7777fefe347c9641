"""Checks that two flooding accounts, both partly rejected, get similar shares."""

import unittest

from teaselsill import ids
from tests import load_replay

SEEDS = (1, 2, 3)
STEADY_S = 6
"""From here on the admission has adapted to the floods."""
WINDOW_S = 6
FEWER, MORE = ids.AccountId("fewer"), ids.AccountId("more")


def make_loads(others):
    """Returns two floods, one at three times the rate of the other, and other loads."""
    loads = {
        ids.AccountId(f"other-{n}"): load_replay.Load(12, 4000) for n in range(others)
    }
    loads[FEWER] = load_replay.Load(130, 5000)
    loads[MORE] = load_replay.Load(430, 5000)
    return loads


def find_short_accounts(replay, loads):
    """Returns the admitted and due tokens of each account that got too little."""
    span = STEADY_S, STEADY_S + WINDOW_S
    best = max(replay.sum_admitted(account, *span) for account in loads)
    short = {}
    for account, load in loads.items():
        admitted = replay.sum_admitted(account, *span) + 3 * load.cost
        due = min(best, replay.sum_requested(account, *span))
        if admitted < due / 2:
            short[account] = admitted, due
    return short


class FairSharesTest(unittest.TestCase):
    def check_shares(self, loads, **settings):
        """Checks that each account gets at least half of what any other gets.

        It needs no more than half of what it requested; three requests are tolerated.
        """
        for seed in SEEDS:
            replay = load_replay.Replay(seed, **settings)
            replay.run(loads, STEADY_S + WINDOW_S)
            with self.subTest(seed=seed):
                self.assertEqual({}, find_short_accounts(replay, loads))

    def test_flood_with_a_higher_rate_gets_no_more_than_another(self):
        """An overestimated capacity must not equalise the allowed waits of accounts."""
        self.check_shares(make_loads(others=10), estimate_ratio=2.0)

    def test_shares_hold_if_engines_are_limited_by_other_resources(self):
        """The estimate covers prefill only, not slots that are full or engines lost."""
        self.check_shares(make_loads(others=24), estimate_ratio=8.0)

    def test_shares_hold_if_the_configured_capacity_is_not_reached(self):
        self.check_shares(
            make_loads(others=24), configured_tokens_per_s=5_000_000, estimate_ratio=8.0
        )

    def test_shares_hold_if_the_estimate_is_right(self):
        self.check_shares(make_loads(others=10))

    def test_accounts_that_rise_share_evenly_and_others_lose_nothing(self):
        """Four rise by 9 to 14 times at once while ten fall to a fiftieth."""
        rises = (9, 11, 14, 12)
        risen = {
            ids.AccountId(f"risen-{rise}"): load_replay.Load(40 * rise, 2_000)
            for rise in rises
        }
        others = {
            ids.AccountId(f"other-{n}"): load_replay.Load(8 if n < 6 else 0.4, 2_000)
            for n in range(16)
        }
        for seed in SEEDS:
            with self.subTest(seed=seed):
                replay = load_replay.Replay(seed)
                replay.run(risen | others, STEADY_S + WINDOW_S)
                span = (STEADY_S, STEADY_S + WINDOW_S)
                given = [replay.sum_admitted(account, *span) for account in risen]
                self.assertLess(max(given), 1.1 * min(given))
                asked = sum(replay.sum_requested(a, *span) for a in others)
                served = sum(replay.sum_admitted(a, *span) for a in others)
                self.assertGreater(served, 0.95 * asked)
