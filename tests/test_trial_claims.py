import heapq
import itertools
import logging
import random
import unittest

from teaselsill import crash_reports, ids, quarantine, quarantine_entry, trial_claims
from tests import test_quarantine

PART = ids.PartKey("bad")
REPORT_S = 0.1
"""How long a report travels."""
RESULT_S = 0.5
"""How long after a trial it is known to have survived."""
DUE_AT = quarantine_entry.TRIAL_AFTER_S


class TrialClaimsTest(unittest.TestCase):
    def setUp(self):
        self.claims = trial_claims.TrialClaims()

    def test_lowest_rank_holds(self):
        for rank in (5, 3, 4):
            self.claims.add(PART, rank, 1.0, 1.0)
        self.assertEqual(3, self.claims.find(PART, 1.0).rank)

    def test_own_claim_yields_to_a_better_one(self):
        self.claims.make(PART, 1.0)
        self.claims.add(PART, trial_claims.MAX_RANK, 1.0, 1.0)
        self.assertTrue(self.claims.find(PART, 1.0).is_own)
        self.claims.add(PART, -1, 1.0, 1.0)
        self.assertFalse(self.claims.find(PART, 1.0).is_own)

    def test_claim_lapses(self):
        self.claims.add(PART, 0, 1.0, 1.0)
        self.assertIsNone(self.claims.find(PART, 1.1 + trial_claims.CLAIM_TTL_S))
        self.claims.add(PART, 7, 3.0, 3.0)
        self.assertEqual(7, self.claims.find(PART, 3.0).rank)


class Fleet:
    """Routers that hear each other's reports after a time.

    Attributes:
        trials: When trials were sent, in seconds.
        due: When requests with the part came that could have been tried, in seconds.

    Args:
        routers: How many routers there are.
        requests_per_s: How many requests with the part come in a second.
        is_sound: Whether the part has turned out to be harmless.
        seed: The seed.
    """

    def __init__(self, routers, requests_per_s, is_sound, seed):
        self.trials = []
        self.due = []
        self._source = random.Random(seed)
        self._requests_per_s = requests_per_s
        self._is_sound = is_sound
        self._events = []
        self._numbers = itertools.count()
        self._routers = [test_quarantine.Router() for _ in range(routers)]
        part = crash_reports.QuarantinedPart(PART, 0.0, 0)
        for router in self._routers:
            router.quarantine.apply(crash_reports.News(quarantined=[part]), 0.0)

    def run(self, until_s):
        """Plays it until a time, and returns itself."""
        self._at(DUE_AT, self._arrive)
        while self._events:
            now, _, step, arguments = heapq.heappop(self._events)
            if now > until_s:
                break
            step(now, *arguments)
        return self

    def _at(self, when, step, *arguments):
        heapq.heappush(self._events, (when, next(self._numbers), step, arguments))

    def _arrive(self, now):
        self._at(now + self._source.expovariate(self._requests_per_s), self._arrive)
        if now > DUE_AT:
            self.due.append(now)
            self._check(now, self._source.choice(self._routers))

    def _check(self, now, router):
        match router.check(PART, now=now):
            case quarantine.Claimed(wait_s=wait_s):
                self._at(now + wait_s, self._check, router)
            case quarantine.Trial():
                self.trials.append(now)
                router.quarantine.note_trial(PART, now)
                self._at(now + RESULT_S, self._finish, router)
        self._tell(now, router)

    def _finish(self, now, router):
        if self._is_sound:
            router.survive(PART, began_at=now - RESULT_S)
        else:
            router.see_crash(1, "trial", PART, now=now, is_settled=False)
        self._tell(now, router)

    def _tell(self, now, router):
        news = router.quarantine.take_news(now, should_repeat=False)
        if news != crash_reports.NO_NEWS:
            self._at(now + REPORT_S, self._hear, router, news)

    def _hear(self, now, sender, news):
        for router in self._routers:
            if router is not sender:
                router.quarantine.apply(news, now)

    def count_quarantining(self):
        """Returns how many routers have the part under quarantine."""
        return sum(bool(r.quarantine.list_parts()) for r in self._routers)


class FirstTrialTest(unittest.TestCase):
    """A trial waited for a request at one router, so next to for ever for a rare part.

    One router sends it, soon after the first request that is due at any router.
    """

    def setUp(self):
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, routers, requests_per_s, is_sound):
        for seed in range(5):
            with self.subTest(seed=seed):
                fleet = Fleet(routers, requests_per_s, is_sound, seed)
                fleet.run(2 * DUE_AT - 1)
                (trial,) = fleet.trials
                after_s = trial - fleet.due[0]
                self.assertGreaterEqual(after_s, trial_claims.CLAIM_S)
                wait_s = trial_claims.CLAIM_S + quarantine.CLAIM_MARGIN_S
                self.assertLessEqual(after_s, wait_s + REPORT_S)
                kept = 0 if is_sound else routers
                self.assertEqual(kept, fleet.count_quarantining())

    def test_rare_part_at_30_routers(self):
        self.check(30, 0.5, is_sound=True)

    def test_rare_part_at_300_routers(self):
        self.check(300, 0.5, is_sound=True)

    def test_frequent_part_at_30_routers(self):
        self.check(30, 100.0, is_sound=True)

    def test_frequent_part_at_300_routers(self):
        self.check(300, 1000.0, is_sound=True)

    def test_deadly_part_at_30_routers(self):
        self.check(30, 100.0, is_sound=False)

    def test_deadly_part_at_300_routers(self):
        self.check(300, 1000.0, is_sound=False)
