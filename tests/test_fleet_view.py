import asyncio
import unittest

from teaselsill import (
    boot_clock,
    directory,
    fleet_view,
    ids,
    keyed_log,
    peer_reports,
    routing_table,
    upstream_load,
    wire,
)
from tests import test_placement, test_routing_table, test_upstream_list

ACCOUNT = ids.AccountId("acc")
CALL = test_placement.make_call(("session", 4000), ("own", 1000))


def make_view(
    name, on_seen=lambda topic, offset: None, on_reading=lambda topic, reading: None
):
    known = directory.Directory()
    engine = routing_table.Engine(slots=8, kv_cache_tokens=100_000)
    service = test_routing_table.make_service(engine=engine)
    known.service_by_name = {service.name: service}
    known.listed.put(test_upstream_list.make_upstream())
    view = fleet_view.FleetView(
        ids.InstanceId(name), known, lambda: make_status(), on_seen, on_reading
    )
    return view, known


def make_status(data_centre="a", load=0.0, takes_connections=True, version=1):
    return peer_reports.RouterStatus(
        ids.DataCentre(data_centre),
        "127.0.0.1",
        1,
        load,
        takes_connections,
        recalls_connections=False,
        version=ids.Version(version),
    )


def find_candidate(known):
    return known.find(ids.UpstreamId("u"))


class FleetViewTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.seen = []
        self.readings = []
        self.first, self.first_known = make_view("first")
        self.second, self.second_known = make_view(
            "second",
            lambda topic, offset: self.seen.append((topic, offset)),
            lambda topic, reading: self.readings.append(reading),
        )

    def tell(self):
        """Sends the report of the first router over the wire to the second."""
        packed = wire.pack(self.first.take_report())
        unpacker = wire.Unpacker(message_type=peer_reports.Report)
        for report in unpacker.feed(packed):
            self.second.apply(report)

    def send(self):
        candidate = find_candidate(self.first_known)
        work = upstream_load.InFlightRequest(unread_tokens=1000, sent_at=0.0)
        number = candidate.load.add(work)
        self.first.note_received(ACCOUNT, CALL)
        self.first.note_sent(ACCOUNT, CALL, candidate, 1000)
        return candidate, number

    async def test_use_is_compared_with_what_could_be_done_since_the_first_report(self):
        """A router that has just started compared a moment's use with 3 s of it."""
        self.second.set_capacity(float(fleet_view.find_cost(CALL)))
        for _ in range(20):
            self.first.note_received(ACCOUNT, CALL)
            self.send()
        self.tell()
        now = asyncio.get_running_loop().time()
        self.assertGreater(self.second.usage.find_share_ratio(ACCOUNT, now), 10)

    async def test_use_is_told_that_is_admitted_after_it_was_told_as_asked_for(self):
        """What was sent after the report that told of the request was never told."""
        self.first.note_received(ACCOUNT, CALL)
        self.tell()
        candidate = find_candidate(self.first_known)
        self.first.note_sent(ACCOUNT, CALL, candidate, 1000)
        self.assertTrue(self.first.has_unreported_changes)
        self.tell()
        now = asyncio.get_running_loop().time()
        share = self.second.usage.list_shares(now)[ACCOUNT]
        self.assertAlmostEqual(
            share.requested_tokens_per_s, share.admitted_tokens_per_s, delta=10
        )

    async def test_others_know_what_an_engine_has_and_keeps(self):
        self.send()
        self.assertTrue(self.first.has_unreported_changes)
        self.tell()
        self.assertFalse(self.first.has_unreported_changes)
        told = find_candidate(self.second_known)
        self.assertEqual(1, told.load.count(0.0))
        self.assertEqual(5000, told.prefix_cache.count_cached_tokens(CALL.parts))
        self.assertGreater(told.queue.count_planned(0.0), 900)
        self.assertEqual(1000, told.queue.outstanding_tokens)

    async def test_others_know_when_an_answer_has_begun_and_ended(self):
        candidate, number = self.send()
        self.tell()
        candidate.load.start(number, 1.0)
        self.first.note_response_started(candidate, 1000)
        self.tell()
        told = find_candidate(self.second_known)
        self.assertEqual(0, told.queue.outstanding_tokens)
        candidate.load.remove(number)
        self.first.note_ended(candidate)
        self.tell()
        self.assertEqual(0, told.load.count(0.0))

    async def test_long_prompt_is_told_at_once(self):
        """What others sent behind one that they had not heard of waited for it."""
        self.first.find_report_period_s = lambda: 60.0
        candidate, _ = self.send()
        waiting = asyncio.create_task(self.first.wait_for_report())
        await asyncio.sleep(5 * fleet_view.MIN_REPORT_S)
        self.assertFalse(waiting.done())
        self.first.note_sent(ACCOUNT, CALL, candidate, fleet_view.URGENT_TOKENS)
        async with asyncio.timeout(5.0):
            await waiting
        self.tell()
        again = asyncio.create_task(self.first.wait_for_report())
        await asyncio.sleep(5 * fleet_view.MIN_REPORT_S)
        self.assertFalse(again.done())
        again.cancel()

    async def test_use_of_an_account_counts_at_all_routers(self):
        self.second.note_received(ids.AccountId("other"), CALL)
        self.send()
        self.tell()
        usage = self.second.usage
        now = self.second._now()
        self.assertGreater(usage.find_share_ratio(ACCOUNT, now), 1)

    async def test_silent_router_is_forgotten(self):
        self.send()
        self.tell()
        told = find_candidate(self.second_known)
        later = self.second._now() + upstream_load.REPORT_TTL_S + 1
        self.second_known.prune(later)
        self.assertEqual(0, told.load.count(later))

    async def test_change_in_the_log_is_told(self):
        self.first.note_log_change("topic", ids.Offset(7))
        self.assertTrue(self.first.has_unreported_changes)
        self.tell()
        self.assertEqual([("topic", 7)], self.seen)
        self.assertEqual(1, self.second.count_live_peers())

    async def test_what_was_read_for_all_is_told_once(self):
        change = keyed_log.Change(ids.Offset(7), "k", None)
        first = keyed_log.Update(ids.Offset(3), ids.Offset(9), [change], 0.0)
        second = keyed_log.Update(ids.Offset(9), ids.Offset(12), [], 2.5)
        read_at = boot_clock.now() - 3.0
        self.first.note_log_read("topic", first, read_at - 1.0)
        self.first.note_log_read("topic", second, read_at)
        self.assertTrue(self.first.has_unreported_changes)
        self.tell()
        joined = keyed_log.Update(ids.Offset(3), ids.Offset(12), [change], 2.5)
        self.tell()
        (reading,) = self.readings
        self.assertEqual(joined, reading.update)
        self.assertGreaterEqual(reading.age_s, 3.0)

    async def test_routers_agree_on_their_order(self):
        self.assertEqual((0, 0), (self.first.find_rank(), self.second.find_rank()))
        self.tell()
        self.first.apply(self.second.take_report())
        self.assertEqual((0, 1), (self.first.find_rank(), self.second.find_rank()))

    async def test_report_on_an_unknown_upstream_is_ignored(self):
        report = peer_reports.Report(
            ids.InstanceId("r"),
            make_status(),
            [peer_reports.AssignedPrompt(ids.UpstreamId("x"), [("a", 1)], 1)],
            [],
            {ids.UpstreamId("x"): 1},
            {ids.UpstreamId("x"): upstream_load.LoadSummary(1, 1)},
            {},
            {},
        )
        self.second.apply(report)
