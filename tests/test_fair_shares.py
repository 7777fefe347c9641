"""Loads under which an account got far less than another while both were rejected."""

import unittest

from teaselsill import ids
from tests import load_replay

SEEDS = (1, 2, 3)
STEADY_S = 6
"""From here on the floods are no news to the admission."""
WINDOW_S = 6
FEWER, MORE = ids.AccountId("fewer"), ids.AccountId("more")


def make_loads(others):
    """Returns two floods, of which one asks three times as often, and other loads."""
    loads = {
        ids.AccountId(f"other-{n}"): load_replay.Load(12, 4000) for n in range(others)
    }
    loads[FEWER] = load_replay.Load(130, 5000)
    loads[MORE] = load_replay.Load(430, 5000)
    return loads


def find_short(replay, loads):
    """Returns what accounts were given and owed that were given too little."""
    span = STEADY_S, STEADY_S + WINDOW_S
    best = max(replay.sum_given(account, *span) for account in loads)
    short = {}
    for account, load in loads.items():
        given = replay.sum_given(account, *span) + 3 * load.cost
        owed = min(best, replay.sum_asked(account, *span))
        if given < owed / 2:
            short[account] = given, owed
    return short


class FairSharesTest(unittest.TestCase):
    def check_shares(self, loads, **settings):
        """Checks that nobody gets less than half of what another one gets.

        Or of what it asked for, if that is less; three requests do not count.
        """
        for seed in SEEDS:
            replay = load_replay.Replay(seed, **settings)
            replay.play(loads, STEADY_S + WINDOW_S)
            with self.subTest(seed=seed):
                self.assertEqual({}, find_short(replay, loads))

    def test_flood_that_asks_more_often_gets_no_more_than_another(self):
        """Engines did less than they were estimated to do: all had the same limit."""
        self.check_shares(make_loads(others=10), estimate_ratio=2.0)

    def test_shares_hold_where_engines_are_short_of_something_else(self):
        """The estimate counts prompts; full slots or lost engines do not show in it."""
        self.check_shares(make_loads(others=24), estimate_ratio=8.0)

    def test_shares_hold_where_less_is_done_than_the_capacity_stated(self):
        self.check_shares(
            make_loads(others=24), stated_tokens_per_s=5_000_000, estimate_ratio=8.0
        )

    def test_shares_hold_where_the_estimate_is_right(self):
        self.check_shares(make_loads(others=10))
