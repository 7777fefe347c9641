"""Replays requests of whole fleets to upstreams that become cold."""

import unittest

from tests import cold_replay, limit_replay

SIZES = (4, 68, 300)
USED_PART = 0.9
"""The part of the rate that is used at least while requests wait."""
GRANTOR = (-1,)


class ReplayCase(unittest.TestCase):
    def play(self, **fields):
        replay = cold_replay.Replay(cold_replay.Load(**fields)).play()
        self.assertLessEqual(replay.find_most(), replay.find_bound())
        return replay


class ColdReplayTest(ReplayCase):
    def test_bound_is_kept_and_used_by_any_number_of_routers(self):
        """Several upstreams start at once."""
        for routers in SIZES:
            for skew in (0.0, 0.9):
                with self.subTest(routers=routers, skew=skew):
                    replay = self.play(routers=routers, skew=skew)
                    self.assertGreater(replay.find_least_used(), USED_PART)

    def test_bound_is_broken_where_cold_upstreams_are_treated_as_warm(self):
        """The replay can tell."""
        for routers in SIZES:
            load = cold_replay.Load(routers=routers)
            replay = cold_replay.Replay(load, "none").play()
            self.assertGreater(replay.find_most(), replay.find_bound())

    def test_upstream_that_turns_cold_again_with_no_word(self):
        """What is sent before its next entry is read cannot be held back."""
        turns = tuple(
            cold_replay.Turn(upstream, at_s, for_s=6.0, is_birth=False)
            for upstream, at_s in ((0, 2.0), (1, 2.0), (0, 10.0))
        )
        for routers in SIZES:
            with self.subTest(routers=routers):
                self.play(
                    routers=routers,
                    turns=turns,
                    requests_per_s=60.0,
                    duration_s=18.0,
                )

    def test_upstream_that_turns_cold_again_before_it_was_warm(self):
        turns = (cold_replay.Turn(0, 2.0), cold_replay.Turn(0, 5.2))
        for routers in SIZES:
            with self.subTest(routers=routers):
                self.play(routers=routers, turns=turns, duration_s=10.0)

    def test_upstream_that_is_no_longer_cold_is_not_flooded(self):
        """All routers see an upstream without work."""
        for routers in SIZES:
            replay = self.play(routers=routers, turns=(cold_replay.Turn(0, 2.0),))
            times = replay.arrived_at_by_key[replay.keys[0]]
            steps = [5.0, 5.5, 6.0, 6.5]
            sent = [sum(a <= t < a + 0.5 for t in times) for a in steps]
            with self.subTest(routers=routers, sent=sent):
                self.assertLessEqual(sent[0], cold_replay.POLICY.per_s)
                self.assertLessEqual(sent[1], 2 * cold_replay.POLICY.per_s)


class OutageTest(ReplayCase):
    def play_cut(self, routers, count):
        """Cuts off routers once they know that an upstream is cold."""
        outage = limit_replay.Outage("cut", tuple(range(count)), 2.2, 20.0)
        with self.subTest(routers=routers):
            self.play(
                routers=routers,
                turns=(cold_replay.Turn(0, 2.0, for_s=8.0),),
                outages=(outage,),
                duration_s=11.0,
            )

    def test_routers_out_of_touch_send_nothing_to_an_upstream_that_they_know_cold(
        self,
    ):
        """The others grant what is left."""
        for routers in SIZES:
            self.play_cut(routers, routers // 4)

    def test_halves_of_a_fleet_together_keep_the_bound(self):
        for routers in SIZES:
            self.play_cut(routers, routers // 2)

    def test_routers_that_never_hear_of_it(self):
        """What they send is their part of the load: they are a few of many."""
        for routers in (68, 300):
            with self.subTest(routers=routers):
                self.play(
                    routers=routers,
                    deaf=tuple(range(routers // 12)),
                    requests_per_s=120.0,
                )

    def test_router_that_grants_permits_ends(self):
        for kind in ("kill", "pause", "stop"):
            for routers in SIZES:
                outage = limit_replay.Outage(kind, GRANTOR, 3.0, 2.0)
                with self.subTest(kind=kind, routers=routers):
                    self.play(
                        routers=routers,
                        turns=(cold_replay.Turn(0, 2.0, for_s=8.0),),
                        outages=(outage,),
                        duration_s=12.0,
                    )

    def test_fleet_of_which_half_is_killed(self):
        for routers in SIZES:
            numbers = tuple(range(routers // 2 + 1))
            outage = limit_replay.Outage("kill", numbers, 1.9, 2.0)
            with self.subTest(routers=routers):
                self.play(routers=routers, outages=(outage,), duration_s=8.0)
