import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import crash_analysis, crash_reports, ids, part_survivals

NOW = 100.0
SETTLED_S = crash_analysis.SETTLE_S


Stage = crash_reports.Stage


def make_suspect(request, *parts, stage=Stage.HEAD, survived=()):
    """Returns a suspect; `survived` names the parts with a known survival."""
    shared = [
        crash_reports.SuspectPart(ids.PartKey(part), part in survived) for part in parts
    ]
    return crash_reports.Suspect(ids.RequestId(request), shared, stage)


def make_crash(number, *suspects, age_s=0.0):
    """Returns the report of a crash of one of several upstreams."""
    return crash_reports.Crash(ids.UpstreamId(f"u{number}"), 1, age_s, list(suspects))


class CulpritTest(unittest.TestCase):
    def setUp(self):
        self.history = crash_analysis.CrashHistory()
        self.survivals = part_survivals.PartSurvivals()
        self.former = set()

    def add(self, number, *suspects, at):
        self.history.add(make_crash(number, *suspects, age_s=NOW - at), NOW)

    def find(self, now=NOW):
        culprit = crash_analysis.find_culprit(
            self.history.list_unexplained(now), self.survivals, self.former, now
        )
        return culprit and culprit.part

    def test_one_crash_is_no_evidence(self):
        self.add(1, make_suspect("a", "bad"), at=90)
        self.assertIsNone(self.find())

    def test_two_crashes_with_a_part_in_common(self):
        self.add(1, make_suspect("a", "x", "bad"), make_suspect("b", "y"), at=90)
        self.add(2, make_suspect("c", "z", "bad"), make_suspect("d", "w"), at=91)
        self.assertEqual("bad", self.find())

    def test_one_request_that_was_sent_again_counts_after_other_reports(self):
        self.add(1, make_suspect("a", "bad"), at=90)
        self.add(2, make_suspect("a", "bad"), at=NOW)
        self.assertIsNone(self.find())
        self.assertEqual("bad", self.find(NOW + SETTLED_S))

    def test_bystanders_that_were_sent_again_together_leave_it_open(self):
        """Which of the two crashes upstreams is not known before the third crash."""
        for number, at in ((1, 90), (2, 91)):
            suspects = make_suspect("a", "bad"), make_suspect("b", "sound")
            self.add(number, *suspects, at=at)
        self.assertIsNone(self.find())
        self.add(3, make_suspect("c", "bad"), at=92)
        self.assertEqual("bad", self.find())

    def test_the_part_that_fewest_requests_share_is_chosen(self):
        self.add(1, make_suspect("a", "first", "thing", "bad"), at=90)
        self.add(2, make_suspect("b", "first", "thing", "bad"), at=91)
        self.assertEqual("bad", self.find())

    def test_first_part_that_crashes_upstreams(self):
        self.add(1, make_suspect("a", "bad", "x"), at=90)
        self.add(2, make_suspect("b", "bad", "y"), at=91)
        self.assertEqual("bad", self.find())

    def test_part_of_many_bystanders_is_not_chosen(self):
        bystanders = [make_suspect(f"s{n}", "first", f"t{n}") for n in range(5)]
        self.add(1, make_suspect("a", "first", "bad"), *bystanders, at=90)
        self.add(2, make_suspect("b", "first", "bad"), *bystanders[:3], at=91)
        self.assertEqual("bad", self.find())

    def test_survival_after_a_crash_clears_a_part(self):
        self.add(1, make_suspect("a", "sound"), at=90)
        self.add(2, make_suspect("b", "sound"), at=92)
        self.survivals.note(ids.PartKey("sound"), 91.0)
        self.assertIsNone(self.find())

    def test_part_that_has_survived_before_needs_more_crashes(self):
        self.survivals.note(ids.PartKey("old"), 80.0)
        for number in range(1, 4):
            self.add(number, make_suspect(f"{number}", "old"), at=90 + number)
            self.assertIsNone(self.find())
        self.add(4, make_suspect("4", "old"), at=94)
        self.assertEqual("old", self.find())

    def test_survival_known_to_another_router_counts(self):
        for number in (1, 2):
            suspect = make_suspect(f"{number}", "old", survived=("old",))
            self.add(number, suspect, at=90 + number)
        self.assertIsNone(self.find())

    def test_upstreams_that_crash_at_the_same_moment_count_once(self):
        """A whole rack that fails is no evidence against a part.

        A router with a late event loop sees the crashes one after the other.
        """
        for number in range(6):
            self.add(number, make_suspect(f"{number}", "sound"), at=90 + number / 40)
        self.assertIsNone(self.find())

    def test_part_at_one_of_several_upstreams_that_crash_together(self):
        """It cannot have crashed the others: an outage of both is likelier."""
        for moment in (90, 91):
            self.add(f"{moment}a", make_suspect(f"{moment}", "sound"), at=moment)
            self.add(f"{moment}b", make_suspect(f"x{moment}", "x"), at=moment + 0.01)
            self.survivals.note(ids.PartKey("x"), moment + 0.5)
        self.assertIsNone(self.find())
        for moment in (92, 93):
            self.add(f"{moment}a", make_suspect(f"{moment}", "bad"), at=moment)
        self.assertEqual("bad", self.find())

    def add_with_bystanders(self, number, *parts, count, at):
        bystanders = [
            make_suspect(f"{number}-{n}", f"t{number}-{n}") for n in range(count)
        ]
        self.add(number, make_suspect(f"{number}", *parts), *bystanders, at=at)

    def test_overlap_that_chance_explains_needs_one_more_crash(self):
        for number in (1, 2):
            self.add_with_bystanders(number, "bad", count=10, at=80 + number)
        self.assertIsNone(self.find())
        self.add_with_bystanders(3, "bad", count=10, at=83)
        self.assertEqual("bad", self.find())

    def test_crashes_without_the_part_between_speak_for_chance(self):
        for number in range(21):
            parts = ["sound"] if number in (0, 20) else []
            self.add_with_bystanders(number, *parts, count=1, at=70 + number)
        self.assertIsNone(self.find())

    def test_frequent_part_is_expected_at_many_crashes(self):
        for part in ["frequent"] * 150 + ["rare"] * 5:
            self.survivals.note_response([ids.PartKey(part)], 50.0)
        for number in range(5):
            self.add(number, make_suspect(f"{number}", "frequent"), at=80 + number)
        self.assertIsNone(self.find())
        for number in range(5, 10):
            self.add(number, make_suspect(f"{number}", "rare"), at=80 + number)
        self.assertEqual("rare", self.find())

    def test_series_of_crashes_in_short_intervals_counts_more_than_once(self):
        """Deadly requests that come many a second crash upstreams without a pause."""
        for number in range(12):
            self.add(number, make_suspect(f"{number}", "bad"), at=90 + number * 0.03)
        self.assertEqual("bad", self.find())

    def test_common_part_is_not_blamed_for_an_outage(self):
        self.survivals.note(ids.PartKey("first"), 80.0)
        for number in range(8):
            suspects = [make_suspect(f"{number}-{n}", "first") for n in range(5)]
            self.add(number, *suspects, at=90 + number)
        self.assertIsNone(self.find())

    def test_common_part_is_not_blamed_after_a_restart(self):
        """No survival of it is known yet."""
        for number in range(3):
            suspects = [
                make_suspect(f"{number}-{n}", "first", f"t{number}-{n}")
                for n in range(5)
            ]
            self.add(number, *suspects, at=90 + number)
        self.assertIsNone(self.find())

    def test_request_without_data_is_the_likelier_cause(self):
        for number in (1, 2):
            self.add(
                number,
                make_suspect("a", "bad"),
                make_suspect("b", "sound", stage=Stage.DATA),
                at=90 + number,
            )
        self.assertEqual("bad", self.find())

    def test_several_requests_that_are_about_to_crash_an_upstream(self):
        """A bystander was in as many crashes, in one request each."""
        for number in (1, 2):
            bad = [make_suspect(f"a{number}-{n}", "first", "bad") for n in range(2)]
            bystander = make_suspect(f"b{number}", "common", stage=Stage.DATA)
            self.add(number, *bad, bystander, at=90 + number)
        self.assertEqual("bad", self.find())

    def test_requests_without_a_response_count_only_if_none_had_begun(self):
        waiting = make_suspect("w", "sound", stage=Stage.WAITING)
        self.add(1, make_suspect("a", "bad"), waiting, at=90)
        self.add(2, make_suspect("b", "bad"), waiting, at=91)
        self.assertEqual("bad", self.find())
        self.add(3, make_suspect("v", "quiet", stage=Stage.WAITING), at=92)
        self.add(4, make_suspect("u", "quiet", stage=Stage.WAITING), at=93)
        for crash in self.history:
            if crash.at < 92:
                crash.culprit = ids.PartKey("bad")
        self.assertEqual("quiet", self.find())

    def test_former_part_needs_one_crash(self):
        self.former.add(ids.PartKey("bad"))
        self.add(1, make_suspect("a", "bad"), at=90)
        self.assertEqual("bad", self.find())

    def test_reports_of_one_crash_are_merged(self):
        self.add(1, make_suspect("a", "bad"), at=90)
        self.add(1, make_suspect("b", "bad"), at=90.1)
        self.assertIsNone(self.find())
        (crash,) = self.history
        self.assertEqual({"a", "b"}, set(crash.suspect_by_request))

    def test_requests_that_had_begun_are_kept_of_many(self):
        waiting = [make_suspect(f"w{n}", "x", stage=Stage.WAITING) for n in range(200)]
        self.add(1, *waiting, at=90)
        self.add(1, make_suspect("a", "bad"), at=90)
        (crash,) = self.history
        self.assertEqual(crash_analysis.MAX_SUSPECTS, len(crash.suspect_by_request))
        self.assertEqual(["a"], [s.request for s in crash.list_suspects()])

    def test_history_is_bounded(self):
        for number in range(2 * crash_analysis.MAX_CRASHES):
            suspects = [make_suspect(f"{number}-{n}", f"{n}") for n in range(100)]
            self.add(number, *suspects, at=90)
        crashes = list(self.history)
        self.assertEqual(crash_analysis.MAX_CRASHES, len(crashes))
        for crash in crashes:
            self.assertEqual(crash_analysis.MAX_SUSPECTS, len(crash.suspect_by_request))


class CulpritPropertyTest(unittest.TestCase):
    """Among random bystanders, the part at all crashes is found and no other."""

    @hypothesis.given(
        strategies.lists(
            strategies.lists(
                strategies.tuples(
                    strategies.integers(0, 40), strategies.integers(0, 300)
                ),
                max_size=8,
            ),
            min_size=3,
            max_size=8,
        )
    )
    def test_the_part_that_all_crashes_have(self, bystanders_by_crash):
        history = crash_analysis.CrashHistory()
        survivals = part_survivals.PartSurvivals()
        for number, bystanders in enumerate(bystanders_by_crash):
            suspects = [make_suspect(f"d{number}", "system", f"t{number}", "bad")]
            for thing, request in set(bystanders):
                suspects.append(make_suspect(f"r{request}", "system", f"s{thing}"))
            history.add(make_crash(number, *suspects, age_s=50 - number), NOW)
        culprit = crash_analysis.find_culprit(
            history.list_unexplained(NOW), survivals, set(), NOW
        )
        if culprit is not None:
            self.assertEqual("bad", culprit.part)
        else:
            self.assertLess(len(bystanders_by_crash), crash_analysis.CERTAIN_CRASHES)
