import datetime
import unittest

from teaselsill import document, lapses

TODAY = datetime.date(2027, 1, 15)


def make_document(*purchases):
    return document.Document(
        client_accounts=[],
        services=[document.Service(name="pool", kind="plain")],
        credits=[
            document.Credits(
                id=f"c{number}",
                service="pool",
                upstreams=upstreams,
                amount=1,
                lapses=day,
            )
            for number, (day, upstreams) in enumerate(purchases)
        ],
    )


class NextLapseDayTest(unittest.TestCase):
    def test_earliest_purchase_that_has_not_lapsed_counts(self):
        configuration = make_document(
            ("2027-01-14", []), ("2027-03-01", []), ("2027-02-01", ["a"])
        )
        day_by_upstream = {
            upstream: lapses.next_lapse_day(
                configuration, "pool", upstream, TODAY
            ).isoformat()
            for upstream in "ab"
        }
        self.assertEqual({"a": "2027-02-01", "b": "2027-03-01"}, day_by_upstream)

    def test_upstream_without_credits_never_lapses(self):
        configuration = make_document(("2027-02-01", ["a"]))
        self.assertEqual(
            lapses.NEVER, lapses.next_lapse_day(configuration, "pool", "b", TODAY)
        )


class LapseRankTest(unittest.TestCase):
    def test_rank_counts_the_earlier_days(self):
        configuration = make_document(("2027-02-01", ["a", "b"]), ("2027-03-01", ["c"]))
        ranks = [
            lapses.lapse_rank(configuration, "pool", u, list("abcd"), TODAY)
            for u in "abcd"
        ]
        self.assertEqual([0, 0, 1, 2], ranks)
