import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import (
    calls,
    crash_analysis,
    crash_reports,
    ids,
    quarantine,
    quarantine_entry,
    trial_claims,
    wire,
)
from tests import test_crash_analysis

HEAD = crash_reports.Stage.HEAD
WAITING = crash_reports.Stage.WAITING
BAD = ids.PartKey("bad")
SETTLE_S = crash_analysis.SETTLE_S
TRIAL_AFTER_S = quarantine_entry.TRIAL_AFTER_S


def make_parts(*names):
    """Returns the parts of a prompt, with a last part of its own."""
    return tuple(calls.PromptPart(name, 100) for name in (*names, "own"))


class Router:
    """The quarantine of one router.

    Attributes:
        quarantine: The quarantine.
        quarantined: The parts that it has been told to be put under quarantine.

    Args:
        claim_s: How long it awaits the claims of other routers, in seconds.
    """

    def __init__(self, claim_s=trial_claims.CLAIM_S):
        self.quarantine = quarantine.Quarantine()
        self.quarantined = []
        self.quarantine.on_quarantined = self.quarantined.append
        self._claim_s = claim_s

    def check(self, *names, now):
        """Returns whether a request with these parts may be sent."""
        return self.quarantine.check(make_parts(*names), now, lambda: self._claim_s)

    def see_crash(self, number, request, *names, now, is_settled=True):
        """Records a crash in which a request was beginning.

        Args:
            number: Identifies the upstream.
            request: The request.
            names: The parts of its prompt.
            now: When it crashed, in seconds.
            is_settled: Whether there are no reports of other routers to wait for.
        """
        suspect = self.quarantine.make_suspect(
            ids.RequestId(request), make_parts(*names), HEAD, now
        )
        crash = test_crash_analysis.make_crash(number, suspect)
        self.quarantine.note_crash(crash, now)
        if is_settled:
            self.check(now=now + SETTLE_S)

    def survive(self, *names, began_at):
        """Records a response that did not crash its upstream."""
        self.quarantine.note_survival(make_parts(*names), began_at)

    def tell(self, *others, now, should_repeat=False):
        """Sends its news to other routers; returns how many bytes that took."""
        packed = wire.pack(self.quarantine.take_news(now, should_repeat))
        for other in others:
            unpacker = wire.Unpacker(message_type=crash_reports.News)
            for news in unpacker.feed(packed):
                other.quarantine.apply(news, now)
        return len(packed)


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        self.router = Router()
        self.other = Router()

    def put_under_quarantine(self):
        self.router.see_crash(1, "a", "first", "bad", now=10.0)
        self.router.see_crash(2, "b", "first", "bad", now=11.0)
        self.assertEqual([BAD], self.router.quarantined)

    def assert_blocked(self, permission, retry_after_s=None):
        self.assertIsInstance(permission, quarantine.Blocked)
        if retry_after_s is not None:
            self.assertAlmostEqual(retry_after_s, permission.retry_after_s)

    def test_requests_with_the_part_are_rejected_until_the_trial(self):
        self.put_under_quarantine()
        self.assert_blocked(
            self.router.check("first", "bad", now=12.0), TRIAL_AFTER_S - 1
        )

    def test_sound_requests_that_share_the_other_parts_are_served(self):
        self.put_under_quarantine()
        self.assertEqual(quarantine.ALLOWED, self.router.check("first", now=12.0))
        self.assertEqual(
            quarantine.ALLOWED, self.router.check("first", "other", now=12.0)
        )

    def test_the_last_part_is_never_quarantined(self):
        for number in range(8):
            self.router.see_crash(number, f"{number}", now=10.0 + number)
        self.assertEqual([], self.router.quarantined)
        self.assertEqual(quarantine.ALLOWED, self.router.check(now=20.0))

    def test_all_routers_learn_of_it(self):
        self.router.see_crash(1, "a", "bad", now=10.0)
        self.router.tell(self.other, now=10.0)
        self.other.see_crash(2, "b", "bad", now=11.0)
        self.other.tell(self.router, now=11.0)
        for router in (self.router, self.other):
            self.assert_blocked(router.check("bad", now=11.0 + SETTLE_S))
            self.assertEqual([BAD], router.quarantined)

    def test_bystanders_are_not_blamed_before_other_routers_have_told(self):
        """The request that has crashed the upstreams was sent by another router."""
        for number, now in ((1, 10.0), (2, 11.0)):
            for router, part in ((self.router, "sound"), (self.other, "bad")):
                name = f"{part}{number}"
                router.see_crash(number, name, part, now=now, is_settled=False)
            self.router.see_crash(number, "s", "sound", now=now, is_settled=False)
            self.assertEqual(quarantine.ALLOWED, self.router.check(now=now + 0.05))
            self.other.tell(self.router, now=now + 0.06)
        self.assert_blocked(self.router.check("bad", now=11.0 + SETTLE_S))
        self.assertEqual([BAD], self.router.quarantined)

    def test_a_series_of_crashes_does_not_put_off_the_decision(self):
        for number in range(10):
            now = 10.0 + number * SETTLE_S / 2
            self.router.see_crash(number, f"{number}", "bad", now=now, is_settled=False)
            self.router.check(now=now)
        self.assertEqual([BAD], self.router.quarantined)

    def test_router_that_has_just_started_is_told(self):
        self.put_under_quarantine()
        self.router.tell(now=11.0)
        started = Router()
        self.router.tell(started, now=11.0 + quarantine.REPEAT_S, should_repeat=True)
        self.assert_blocked(started.check("bad", now=13.0))

    def test_crash_of_a_request_that_was_under_way_is_no_failed_trial(self):
        self.put_under_quarantine()
        self.router.see_crash(3, "c", "bad", now=11.5)
        self.assert_blocked(self.router.check("bad", now=12.0), TRIAL_AFTER_S - 0.5)

    def test_crash_with_a_waiting_request_of_a_quarantined_part_is_explained(self):
        """The head of its response had not arrived; a bystander's had."""
        self.put_under_quarantine()
        for number in (3, 4):
            now = 12.0 + number
            suspects = [
                test_crash_analysis.make_suspect(f"s{number}", "first", "sound"),
                test_crash_analysis.make_suspect(f"b{number}", "bad", stage=WAITING),
            ]
            crash = test_crash_analysis.make_crash(number, *suspects)
            self.router.quarantine.note_crash(crash, now)
            self.router.check(now=now + SETTLE_S)
        self.assertEqual([BAD], self.router.quarantined)

    def test_one_router_sends_one_trial(self):
        """Both have a request that is due, and have not heard of each other's claim."""
        self.put_under_quarantine()
        self.router.tell(self.other, now=11.0)
        now = 11.0 + TRIAL_AFTER_S
        routers = self.router, self.other
        for router in routers:
            claimed = router.check("first", "bad", now=now)
            self.assertEqual(BAD, claimed.part)
            self.assert_blocked(router.check("bad", now=now))
        self.router.tell(self.other, now=now + 0.1)
        self.other.tell(self.router, now=now + 0.1)
        now += claimed.wait_s
        permissions = [router.check("first", "bad", now=now) for router in routers]
        self.assertEqual(1, permissions.count(quarantine.Trial(BAD)))
        winner = routers[permissions.index(quarantine.Trial(BAD))]
        loser = routers[1 - routers.index(winner)]
        self.assert_blocked(loser.check("bad", now=now))
        winner.quarantine.note_trial(BAD, now)
        self.assert_blocked(winner.check("bad", now=now + 0.1))
        winner.tell(loser, now=now + 0.1)
        after_s = trial_claims.CLAIM_TTL_S + 0.1
        for router in routers:
            self.assert_blocked(
                router.check("bad", now=now + after_s), TRIAL_AFTER_S - after_s
            )

    def test_router_that_has_heard_of_a_claim_makes_none(self):
        self.put_under_quarantine()
        self.router.tell(self.other, now=11.0)
        now = 11.0 + TRIAL_AFTER_S
        self.router.check("bad", now=now)
        self.router.tell(self.other, now=now + 0.1)
        self.assert_blocked(self.other.check("bad", now=now + 0.1))
        self.assertTrue(self.other.quarantine.outbox.is_empty)

    def test_claim_of_a_router_that_has_ended_lapses(self):
        self.put_under_quarantine()
        self.router.tell(self.other, now=11.0)
        now = 11.0 + TRIAL_AFTER_S
        self.router.check("bad", now=now)
        self.router.tell(self.other, now=now)
        now += trial_claims.CLAIM_TTL_S + 0.1
        claimed = self.other.check("bad", now=now)
        self.assertIsInstance(claimed, quarantine.Claimed)
        self.assertEqual(
            quarantine.Trial(BAD), self.other.check("bad", now=now + claimed.wait_s)
        )

    def test_router_without_others_tries_at_once(self):
        alone = Router(claim_s=0.0)
        self.put_under_quarantine()
        self.router.tell(alone, now=11.0)
        now = 11.0 + TRIAL_AFTER_S
        self.assertEqual(quarantine.Trial(BAD), alone.check("bad", now=now))

    def test_part_that_was_mended_is_released_everywhere(self):
        self.put_under_quarantine()
        self.router.tell(self.other, now=11.0)
        due_at = 11.0 + TRIAL_AFTER_S
        self.router.quarantine.note_trial(BAD, due_at)
        self.router.survive("first", "bad", began_at=due_at)
        self.router.tell(self.other, now=due_at + 1)
        for router in (self.router, self.other):
            self.assertEqual(quarantine.ALLOWED, router.check("bad", now=due_at + 1))

    def test_repeated_news_do_not_renew_an_ended_quarantine(self):
        self.put_under_quarantine()
        self.router.tell(self.other, now=11.0)
        self.other.survive("bad", began_at=20.0)
        self.router.tell(self.other, now=21.0, should_repeat=True)
        self.assertEqual(quarantine.ALLOWED, self.other.check("bad", now=21.0))
        self.other.tell(self.router, now=21.0)
        self.assertEqual(quarantine.ALLOWED, self.router.check("bad", now=21.0))

    def test_failed_trials_become_rarer(self):
        self.put_under_quarantine()
        now = 11.0
        for failed in range(8):
            wait_s = min(TRIAL_AFTER_S * 2**failed, quarantine_entry.MAX_TRIAL_AFTER_S)
            self.assert_blocked(self.router.check("bad", now=now), wait_s)
            now += wait_s
            now += self.router.check("bad", now=now).wait_s
            self.assertEqual(quarantine.Trial(BAD), self.router.check("bad", now=now))
            self.router.quarantine.note_trial(BAD, now)
            now += 0.2
            self.router.see_crash(10 + failed, f"trial{failed}", "bad", now=now)

    def test_quarantine_that_cannot_be_tried_ends(self):
        """One more crash renews it."""
        self.put_under_quarantine()
        now = 12.0 + TRIAL_AFTER_S * quarantine_entry.END_RATIO
        self.assertEqual(quarantine.ALLOWED, self.router.check("bad", now=now))
        self.router.see_crash(3, "c", "bad", now=now + 1)
        self.assert_blocked(self.router.check("bad", now=now + 1))

    def test_crashes_that_a_cleared_part_explained_count_against_others(self):
        """The wrong one of two parts was chosen, since it is nearer to the end."""
        self.router.see_crash(1, "a", "bad", "sound", now=10.0)
        self.router.see_crash(2, "b", "bad", "sound", now=11.0)
        self.assertEqual(["sound"], self.router.quarantined)
        self.router.survive("sound", began_at=12.0)
        self.router.see_crash(3, "c", "bad", "x", now=13.0)
        self.assertEqual(["sound", "bad"], self.router.quarantined)

    def test_two_parts_are_told_apart(self):
        for number, part in enumerate(("one", "two", "one", "two")):
            self.router.see_crash(number, f"{number}", "first", part, now=10.0 + number)
            self.router.survive("first", began_at=10.1 + number)
        self.assertEqual(["one", "two"], self.router.quarantined)

    def test_survival_elsewhere_clears_a_suspected_part(self):
        self.router.see_crash(1, "a", "sound", now=10.0)
        self.router.tell(self.other, now=10.0)
        self.other.survive("sound", began_at=10.5)
        self.other.tell(self.router, now=12.0)
        self.router.see_crash(2, "b", "sound", now=13.0)
        self.assertEqual([], self.router.quarantined)

    def test_survival_that_was_known_before_the_crash_was_told_is_reported(self):
        self.other.survive("sound", began_at=10.1)
        self.router.see_crash(1, "a", "sound", now=10.0)
        self.router.tell(self.other, now=10.2)
        self.other.tell(self.router, now=10.2)
        self.router.see_crash(2, "b", "sound", now=13.0)
        self.assertEqual([], self.router.quarantined)

    def test_cut_off_router_decides_by_what_it_sees(self):
        self.router.see_crash(1, "a", "bad", now=10.0)
        self.router.see_crash(2, "b", "bad", now=11.0)
        self.other.see_crash(3, "c", "bad", now=10.0)
        self.other.see_crash(4, "d", "bad", now=11.0)
        self.router.tell(self.other, now=20.0)
        self.other.tell(self.router, now=20.0)
        for router in (self.router, self.other):
            self.assertEqual([BAD], router.quarantined)


class BoundsTest(unittest.TestCase):
    """A caller who makes up new parts must not fill the routers' memory or links."""

    def test_quarantined_parts_are_bounded(self):
        router = Router()
        for number in range(3 * quarantine.MAX_QUARANTINED):
            for half in range(2):
                crash = f"{number}-{half}"
                now = 10.0 + number + 0.1 * half
                router.see_crash(crash, crash, f"p{number}", now=now)
        parts = router.quarantine.list_parts()
        self.assertEqual(quarantine.MAX_QUARANTINED, len(parts))
        self.assertIn(f"p{3 * quarantine.MAX_QUARANTINED - 1}", parts)

    def test_long_prompts_and_long_ids_make_short_reports(self):
        router = Router()
        names = [f"{n}" * 2000 for n in range(1000)]
        router.see_crash(1, "a", *names, now=10.0)
        parts = quarantine.MAX_PARTS_PER_SUSPECT
        limit = parts * (crash_reports.MAX_KEY_CHARS + 5) + 100
        self.assertLess(router.tell(now=10.0), limit)

    def test_unknown_parts_of_a_long_prompt_are_reported(self):
        router = Router()
        names = [f"{n}" for n in range(1000)]
        router.survive(*names[1:], began_at=5.0)
        suspect = router.quarantine.make_suspect(
            ids.RequestId("a"), make_parts(*names), HEAD, 10.0
        )
        self.assertEqual(["0"], [part.key for part in suspect.parts])

    def test_messages_of_hundreds_of_routers(self):
        """Each router tells each suspected part at most once after each crash."""
        routers = [Router() for _ in range(300)]
        for router in routers:
            router.survive("first", began_at=1.0)
        seen = routers[0]
        sent_bytes = 0
        for number in range(2):
            now = 10.0 + number
            seen.see_crash(number, f"{number}", "first", "bad", now=now)
            sent_bytes += seen.tell(*routers[1:], now=now)
            for router in routers[1:]:
                router.survive("first", began_at=now + 0.1)
            for router in routers[1:]:
                sent_bytes += router.tell(*routers, now=now + 1.2)
        for router in routers:
            self.assertEqual([BAD], router.quarantined)
        self.assertLess(sent_bytes, 300 * 100)


class QuarantinePropertyTest(unittest.TestCase):
    """In any order of crashes and survivals, routers that hear all agree."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["crash", "survive"]),
                strategies.integers(0, 2),
                strategies.sampled_from(["x", "y", "z"]),
            ),
            max_size=30,
        )
    )
    def test_a_part_that_has_survived_since_is_allowed(self, steps):
        routers = [Router() for _ in range(3)]
        last_by_part = {}
        for number, (step, at, part) in enumerate(steps):
            now = 10.0 + number
            router = routers[at]
            if step == "crash":
                router.see_crash(number, f"{number}", part, now=now)
            else:
                router.survive(part, began_at=now)
            last_by_part[part] = step
            for sender in routers:
                sender.tell(*routers, now=now + 0.01, should_repeat=True)
            parts = [sorted(r.quarantine.list_parts()) for r in routers]
            self.assertEqual([parts[0]] * 3, parts)
            for name, last_step in last_by_part.items():
                if last_step == "survive":
                    self.assertNotIn(name, parts[0])
