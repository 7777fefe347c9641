import asyncio
import unittest

import msgspec

from teaselsill import ids, keyed_log, peer_links, peer_reports, wire
from tests import test_fleet_view, test_peer_links


class OlderReport(msgspec.Struct, array_like=True, frozen=True):
    """The fields of a report that every version knows."""

    router: str
    status: list
    assigned_prompts: list
    usages: list
    prefilled_tokens_by_upstream: dict
    load_by_upstream: dict
    offset_by_topic: dict
    log_reading_by_topic: dict


class OlderUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What was read of a topic, as routers of version 0.1 report it."""

    first_offset: int
    next_offset: int
    changes: list
    outage_s: float


def pass_on(message, message_type):
    """Encodes a message and decodes it as a router of another version does."""
    unpacker = wire.Unpacker(message_type=message_type)
    (received,) = unpacker.feed(wire.pack(message))
    return received


class IntervalTest(unittest.IsolatedAsyncioTestCase):
    async def test_interval_is_stated_and_routers_of_other_versions_are_understood(
        self,
    ):
        view, _ = test_fleet_view.make_view("r")
        report = pass_on(view.take_report(), peer_reports.Report)
        self.assertEqual(peer_reports.find_interval_s(0), report.interval_s)
        older = pass_on(report, OlderReport)
        self.assertEqual("r", older.router)
        again = pass_on(older, peer_reports.Report)
        self.assertEqual(0.0, again.interval_s)
        self.assertEqual(ids.NO_ERA, again.log_era)

    def test_updates_of_routers_of_other_versions_are_understood(self):
        update = keyed_log.Update(ids.Offset(3), ids.Offset(4), [], 0.0, ids.Era(2))
        older = pass_on(update, OlderUpdate)
        self.assertEqual((3, 4), (older.first_offset, older.next_offset))
        again = pass_on(older, keyed_log.Update)
        self.assertEqual(ids.NO_ERA, again.start.era)

    def test_interval_grows_with_the_fleet(self):
        intervals_s = [peer_reports.find_interval_s(n) for n in (3, 67, 299)]
        self.assertEqual([0.558, 0.636, 1.246], [round(s, 3) for s in intervals_s])
        for peers in range(1000):
            interval_s = peer_reports.find_interval_s(peers)
            period_s = peer_reports.find_period_s(peers)
            self.assertGreater(interval_s, peer_reports.IDLE_REPORT_S)
            self.assertLessEqual(interval_s, peer_reports.IDLE_REPORT_S + period_s)

    async def test_idle_router_reports_within_its_interval(self):
        view, _ = test_fleet_view.make_view("r")
        for number in range(20):
            view.apply(test_peer_links.make_report(f"a{number}"))
        sent = asyncio.Queue()
        loop = asyncio.get_running_loop()
        links = peer_links.PeerLinks("r", "a", lambda report: None)
        links.send = lambda report: sent.put_nowait((loop.time(), report))
        sending = asyncio.create_task(links.send_reports(view))
        self.addCleanup(sending.cancel)
        async with asyncio.timeout(10.0):
            reports = [await sent.get() for _ in range(3)]
        _, *idle = reports
        (first_at, report), (second_at, _) = idle
        self.assertLess(second_at - first_at, report.interval_s + 0.2)
        self.assertGreater(second_at - first_at, peer_reports.IDLE_REPORT_S)
