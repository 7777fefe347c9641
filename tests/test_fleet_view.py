import asyncio
import unittest

import msgspec

from teaselsill import (
    boot_clock,
    crash_reports,
    directory,
    fleet_view,
    ids,
    keyed_log,
    loop_lag,
    peer_reports,
    routing_table,
    upstream_load,
    wire,
)
from tests import (
    test_keyed_log,
    test_placement,
    test_routing_table,
    test_upstream_list,
)

ACCOUNT = ids.AccountId("acc")
CALL = test_placement.make_call(("session", 4000), ("own", 1000))


def make_view(
    name,
    on_log_change=lambda topic, offset: None,
    on_log_reading=lambda topic, reading: None,
    lag=None,
):
    upstreams = directory.Directory()
    engine = routing_table.Engine(slots=8, kv_cache_tokens=100_000)
    service = test_routing_table.make_service(engine=engine)
    upstreams.service_by_name = {service.name: service}
    upstreams.listed.put(test_upstream_list.make_upstream())
    view = fleet_view.FleetView(
        ids.InstanceId(name),
        upstreams,
        lambda: make_status(),
        on_log_change,
        on_log_reading,
        lag,
    )
    return view, upstreams


def make_status(data_centre="a", load=0.0, takes_requests=True, version=1):
    return peer_reports.RouterStatus(
        ids.DataCentre(data_centre),
        "127.0.0.1",
        connection_port=0,
        load=load,
        takes_connections=False,
        recalls_connections=False,
        version=ids.Version(version),
        request_port=1,
        takes_requests=takes_requests,
    )


def find_candidate(upstreams):
    return upstreams.find(ids.UpstreamId("u"))


class FleetViewTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.seen = []
        self.readings = []
        self.first, self.first_upstreams = make_view("first")
        self.second, self.second_upstreams = make_view(
            "second",
            lambda topic, offset: self.seen.append((topic, offset)),
            lambda topic, reading: self.readings.append(reading),
        )

    def pass_report(self):
        """Passes the encoded report of the first router to the second."""
        packed = wire.pack(self.first.take_report())
        unpacker = wire.Unpacker(message_type=peer_reports.Report)
        for report in unpacker.feed(packed):
            self.second.apply(report)

    def send(self):
        candidate = find_candidate(self.first_upstreams)
        request = upstream_load.InFlightRequest(prefill_tokens=1000, sent_at=0.0)
        number = candidate.load.add(request)
        self.first.note_received(ACCOUNT, CALL)
        self.first.note_sent(ACCOUNT, CALL, candidate, 1000)
        return candidate, number

    async def test_usage_is_compared_with_the_capacity_since_the_first_report(self):
        """A new router must not compare a moment's usage with 3 s of capacity."""
        self.second.set_capacity(float(fleet_view.find_cost(CALL)))
        for _ in range(20):
            self.first.note_received(ACCOUNT, CALL)
            self.send()
        self.pass_report()
        now = asyncio.get_running_loop().time()
        self.assertGreater(self.second.usage.find_share_ratio(ACCOUNT, now), 10)

    async def test_admission_after_the_report_of_a_request_is_reported(self):
        """A request can be sent to an engine after it was reported as received."""
        self.first.note_received(ACCOUNT, CALL)
        self.pass_report()
        candidate = find_candidate(self.first_upstreams)
        self.first.note_sent(ACCOUNT, CALL, candidate, 1000)
        self.assertTrue(self.first.has_unreported_changes)
        self.pass_report()
        now = asyncio.get_running_loop().time()
        share = self.second.usage.list_shares(now)[ACCOUNT]
        self.assertAlmostEqual(
            share.requested_tokens_per_s, share.admitted_tokens_per_s, delta=10
        )

    async def test_slowdown_of_an_engine_is_reported(self):
        now = asyncio.get_running_loop().time()
        self.first.note_slowdown(find_candidate(self.first_upstreams), 1.37)
        self.assertTrue(self.first.has_unreported_changes)
        self.pass_report()
        heard = find_candidate(self.second_upstreams).speed
        self.assertEqual(1.37, heard.find_slowdown(now))
        self.assertFalse(self.first.has_unreported_changes)

    async def test_load_and_cached_prefixes_of_an_engine_are_reported(self):
        self.send()
        self.assertTrue(self.first.has_unreported_changes)
        self.pass_report()
        self.assertFalse(self.first.has_unreported_changes)
        reported = find_candidate(self.second_upstreams)
        self.assertEqual(1, reported.load.count(0.0))
        self.assertEqual(5000, reported.prefix_cache.count_cached_tokens(CALL.parts))
        self.assertGreater(reported.queue.count_planned(0.0), 900)
        self.assertEqual(1000, reported.queue.outstanding_tokens)

    async def test_start_and_end_of_a_response_are_reported(self):
        candidate, number = self.send()
        self.pass_report()
        candidate.load.start(number, 1.0)
        self.first.note_response_started(candidate, 1000)
        self.pass_report()
        reported = find_candidate(self.second_upstreams)
        self.assertEqual(0, reported.queue.outstanding_tokens)
        candidate.load.remove(number, 2.0)
        self.first.note_ended(candidate)
        self.pass_report()
        self.assertEqual(0, reported.load.count(0.0))

    async def test_long_prompt_is_reported_at_once(self):
        """Otherwise other routers send prompts behind it, which then wait for it."""
        self.first.find_report_period_s = lambda: 60.0
        candidate, _ = self.send()
        waiting = asyncio.create_task(self.first.wait_for_report())
        await asyncio.sleep(5 * fleet_view.MIN_REPORT_S)
        self.assertFalse(waiting.done())
        self.first.note_sent(ACCOUNT, CALL, candidate, fleet_view.URGENT_TOKENS)
        async with asyncio.timeout(5.0):
            await waiting
        self.pass_report()
        again = asyncio.create_task(self.first.wait_for_report())
        await asyncio.sleep(5 * fleet_view.MIN_REPORT_S)
        self.assertFalse(again.done())
        again.cancel()

    async def test_usage_of_an_account_counts_at_all_routers(self):
        self.second.note_received(ids.AccountId("other"), CALL)
        self.send()
        self.pass_report()
        usage = self.second.usage
        now = self.second._now()
        self.assertGreater(usage.find_share_ratio(ACCOUNT, now), 1)

    async def test_load_of_a_silent_router_expires(self):
        self.send()
        self.pass_report()
        reported = find_candidate(self.second_upstreams)
        later = self.second._now() + upstream_load.REPORT_TTL_S + 1
        self.second._now = lambda: later
        self.second.take_report()
        self.assertEqual(0, reported.load.count(later))

    async def test_load_of_others_stays_known_after_a_pause_of_this_router(self):
        """It has not read yet what they have reported meanwhile."""
        lag = loop_lag.LoopLag()
        self.second, self.second_upstreams = make_view("second", lag=lag)
        lag.add(0.0, self.second._now())
        self.send()
        self.pass_report()
        reported = find_candidate(self.second_upstreams)
        later = self.second._now() + 3.0
        self.second._now = lambda: later
        self.second_upstreams.prune(later)
        self.second.take_report()
        self.assertEqual(1, reported.load.count(later))

    async def test_change_in_the_log_is_reported(self):
        self.first.note_log_change("topic", test_keyed_log.at(7))
        self.assertTrue(self.first.has_unreported_changes)
        self.pass_report()
        self.assertEqual([("topic", test_keyed_log.at(7))], self.seen)
        self.assertEqual(1, self.second.count_live_peers())

    async def test_restore_of_the_log_is_reported_at_once(self):
        """A router whose own connection hangs learns of it by this."""
        self.first._era.note_response(ids.Era(1), "call")
        self.second._era.note_response(ids.Era(1), "call")
        hints = []
        self.second._era.on_hint.append(lambda: hints.append(True))
        self.pass_report()
        self.assertEqual([], hints)
        self.first.find_report_period_s = lambda: 60.0
        waiting = asyncio.create_task(self.first.wait_for_report())
        self.first._era.note_response(ids.Era(2), "call")
        async with asyncio.timeout(5.0):
            await waiting
        self.assertTrue(self.first.has_unreported_changes)
        self.pass_report()
        self.assertEqual([True], hints)

    async def test_greeting_states_the_era_of_the_log(self):
        self.first._era.note_response(ids.Era(2), "call")
        self.assertEqual(2, self.first.make_greeting().log_era)

    async def test_changes_of_an_earlier_era_are_not_reported(self):
        """Their offsets would be taken for ones of the new era."""
        self.first._era.note_response(ids.Era(1), "call")
        self.first.note_log_change("topic", test_keyed_log.at(7, 1))
        self.first._era.note_response(ids.Era(2), "call")
        self.pass_report()
        self.assertEqual([], self.seen)
        self.first.note_log_change("topic", test_keyed_log.at(3, 2))
        self.pass_report()
        self.assertEqual([("topic", test_keyed_log.at(3, 2))], self.seen)

    async def test_readings_of_two_eras_are_not_joined(self):
        """The second begins at the offset at which the first one ends, by chance."""
        change = keyed_log.Change(ids.Offset(3), "k", None)
        first = keyed_log.Update(ids.Offset(3), ids.Offset(9), [change], 0.0, 1)
        second = keyed_log.Update(ids.Offset(9), ids.Offset(9), [], 0.0, 2)
        for update in (first, second):
            self.first.note_log_read("topic", update, boot_clock.now())
        self.pass_report()
        (reading,) = self.readings
        self.assertEqual(second, reading.update)

    async def test_what_was_read_of_the_log_is_reported_once(self):
        change = keyed_log.Change(ids.Offset(7), "k", None)
        first = keyed_log.Update(ids.Offset(3), ids.Offset(9), [change], 0.0)
        second = keyed_log.Update(ids.Offset(9), ids.Offset(12), [], 2.5)
        read_at = boot_clock.now() - 3.0
        self.first.note_log_read("topic", first, read_at - 1.0)
        self.first.note_log_read("topic", second, read_at)
        self.assertTrue(self.first.has_unreported_changes)
        self.pass_report()
        joined = keyed_log.Update(ids.Offset(3), ids.Offset(12), [change], 2.5)
        self.pass_report()
        (reading,) = self.readings
        self.assertEqual(joined, reading.update)
        self.assertGreaterEqual(reading.age_s, 3.0)

    async def test_what_was_read_of_the_log_is_reported_at_once(self):
        """At 300 routers the period is longer than the entries may be old."""
        self.first.find_report_period_s = lambda: 60.0
        waiting = asyncio.create_task(self.first.wait_for_report())
        update = keyed_log.Update(ids.Offset(3), ids.Offset(3), [], 0.0)
        self.first.note_log_read("topic", update, boot_clock.now())
        async with asyncio.timeout(5.0):
            await waiting

    async def test_routers_agree_on_their_order(self):
        self.assertEqual((0, 0), (self.first.find_rank(), self.second.find_rank()))
        self.pass_report()
        self.first.apply(self.second.take_report())
        self.assertEqual((0, 1), (self.first.find_rank(), self.second.find_rank()))

    def quarantine_at_second(self):
        now = asyncio.get_running_loop().time()
        part = crash_reports.QuarantinedPart(ids.PartKey("bad"), 0.0, 0)
        self.second.quarantine.apply(crash_reports.News(quarantined=[part]), now)

    def set_settled(self, view, is_settled):
        uptime_s = peer_reports.SETTLED_S if is_settled else 0
        status = msgspec.structs.replace(make_status(), uptime_s=uptime_s)
        view._describe_status = lambda: status

    async def test_first_router_that_has_just_started_does_not_speak_for_all(self):
        """It knows no quarantined parts, and would keep the others from telling it."""
        self.quarantine_at_second()
        self.set_settled(self.second, True)
        self.set_settled(self.first, False)
        self.pass_report()
        self.assertTrue(self.second.has_unreported_changes)
        self.first.apply(self.second.take_report())
        self.assertEqual(["bad"], self.first.quarantine.list_parts())

    async def test_router_that_has_restarted_in_a_moment_is_told_at_once(self):
        self.quarantine_at_second()
        self.set_settled(self.second, True)
        self.set_settled(self.first, True)
        self.pass_report()
        self.second.take_report()
        self.assertEqual([], self.second.take_report().crash_news.quarantined)
        self.set_settled(self.first, False)
        self.pass_report()
        (quarantined,) = self.second.take_report().crash_news.quarantined
        self.assertEqual("bad", quarantined.part)

    async def test_few_routers_tell_a_new_one(self):
        self.set_settled(self.second, True)
        self.quarantine_at_second()
        for name in ("a", "b", "c"):
            view, _ = make_view(name)
            self.set_settled(view, True)
            self.second.apply(view.take_report())
        self.assertEqual([], self.second.take_report().crash_news.quarantined)

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
