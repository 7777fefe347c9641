"""Every path on which a request is sent while a data centre is evacuated."""

import asyncio
import unittest
import unittest.mock

from teaselsill import (
    crash_reports,
    ids,
    quarantine_entry,
    routing_table,
    upstream_connection,
    upstream_load,
)
from tests import entry_bench, offload_bench, test_routing_table

A = ids.DataCentre("a")
B = ids.DataCentre("b")
PARTS = "x" * 8 + "," + "y" * 8


class EvacuationCase(unittest.IsolatedAsyncioTestCase):
    """A router in `a` with upstreams in `b` and in `a`."""

    async def start(self, in_b, in_a=entry_bench.respond_ok, **fields):
        self.in_a = entry_bench.ScriptedUpstream("u-a", in_a, "a")
        self.in_b = entry_bench.ScriptedUpstream("u-b", in_b, "b")
        self.bench = await self.enterAsyncContext(
            entry_bench.EntryBench([self.in_a, self.in_b], **fields)
        )
        self.evacuations = self.bench.directory.evacuations

    def evacuate(self, data_centre=A):
        self.evacuations.begin(data_centre, asyncio.get_running_loop().time())

    def take_back(self, data_centre=A):
        self.evacuations.end(data_centre, asyncio.get_running_loop().time())

    def make_busy(self, upstream):
        """Has the next request rather go to the other upstream."""
        load = self.bench.directory.find(ids.UpstreamId(upstream.name)).load
        now = asyncio.get_running_loop().time()
        for _ in range(20):
            load.add(upstream_load.InFlightRequest(0, now))

    def count_sent(self):
        return len(self.in_a.requests), len(self.in_b.requests)


class SendTest(EvacuationCase):
    async def test_first_send(self):
        await self.start(entry_bench.respond_ok)
        self.evacuate()
        for request in range(20):
            self.assertEqual(200, (await self.bench.ask(str(request)))[0])
        self.assertEqual((0, 20), self.count_sent())

    async def test_idle_connections_are_not_used(self):
        await self.start(entry_bench.respond_ok)
        for request in range(4):
            await self.bench.ask(str(request))
        before = self.count_sent()
        self.evacuate()
        for request in range(4):
            self.assertEqual(200, (await self.bench.ask(str(request)))[0])
        self.assertEqual((before[0], before[1] + 4), self.count_sent())

    async def test_another_upstream_after_a_refusal(self):
        async def refuse(request, stream):
            self.evacuate()
            headers = [("not-run", "1")]
            stream.write(
                entry_bench.make_response(request, status=503, headers=headers)
            )

        await self.start(refuse)
        self.make_busy(self.in_a)
        self.assertEqual(503, (await self.bench.ask())[0])
        self.assertEqual((0, 1), self.count_sent())

    async def test_retry_of_a_request_that_may_have_run(self):
        async def reset(request, stream):
            self.evacuate()
            stream.abort()

        await self.start(reset, repeat=routing_table.Repeat.FREELY, max_upstreams=2)
        self.make_busy(self.in_a)
        self.assertEqual(502, (await self.bench.ask())[0])
        self.assertEqual((0, 1), self.count_sent())

    async def test_resumed_stream(self):
        async def break_off(request, stream):
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            await asyncio.sleep(0.05)
            self.evacuate()
            stream.abort()

        resume = routing_table.Repeat.RESUME
        await self.start(break_off, repeat=resume, is_stream=True, max_upstreams=2)
        self.make_busy(self.in_a)
        status, _, is_complete = await self.bench.ask()
        self.assertEqual((200, False), (status, is_complete))
        self.assertEqual((0, 1), self.count_sent())

    async def test_running_response_goes_on(self):
        go_on = asyncio.Event()
        await self.start(
            entry_bench.respond_ok, entry_bench.stream_until(go_on), is_stream=True
        )
        self.evacuate(B)
        caller = await self.bench.connect()
        caller.send()
        await caller.receive_until(b"id: 1")
        self.evacuate(A)
        go_on.set()
        await caller.receive_until(b"0\r\n\r\n")

    async def test_trial_of_a_quarantined_part(self):
        await self.start(entry_bench.respond_ok)
        now = asyncio.get_running_loop().time()
        age_s = quarantine_entry.TRIAL_AFTER_S + 1.0
        part = crash_reports.QuarantinedPart(ids.PartKey("bad"), age_s, 0)
        news = crash_reports.News(quarantined=[part])
        self.bench.view.quarantine.apply(news, now)
        self.evacuate()
        self.assertEqual(200, (await self.bench.ask(parts="bad,own"))[0])
        self.assertEqual((0, 1), self.count_sent())

    async def test_request_that_waits_for_its_connection(self):
        connect = upstream_connection.open_connection

        async def connect_slowly(*args):
            self.evacuate()
            return await connect(*args)

        await self.start(entry_bench.respond_ok)
        self.evacuate(B)
        with unittest.mock.patch.object(
            upstream_connection, "open_connection", connect_slowly
        ):
            self.assertEqual(503, (await self.bench.ask())[0])
        self.assertEqual((0, 0), self.count_sent())

    async def test_request_that_waits_for_a_permit(self):
        async def limit(request, stream):
            headers = [("limit", "4")]
            stream.write(entry_bench.make_response(request, headers=headers))

        await self.start(entry_bench.respond_ok, limit, objective_s=4.0, timeout_s=8.0)
        self.evacuate(B)
        await self.bench.ask()
        waiting = [asyncio.create_task(self.bench.ask(f"w{n}")) for n in range(8)]
        await asyncio.sleep(0.1)
        sent = len(self.in_a.requests)
        self.evacuate(A)
        self.take_back(B)
        statuses = [status for status, _, _ in await asyncio.gather(*waiting)]
        self.assertEqual([200] * 8, statuses)
        self.assertEqual(sent, len(self.in_a.requests))


class CopyTest(EvacuationCase):
    """Copies of cached prompts make the upstream work that has them."""

    async def start_with_cached_prompt(self):
        await self.start(entry_bench.respond_ok)
        engine = routing_table.Engine(slots=8, kv_cache_tokens=100_000)
        service = test_routing_table.make_service(engine=engine)
        self.bench.forwarder.apply_configuration(
            test_routing_table.make_table(
                [test_routing_table.make_route()], version=2, services=[service]
            )
        )
        self.sources = []
        dialect = self.bench.forwarder._dialect
        make_headers = dialect.make_headers

        def note_source(*args):
            self.sources.append(args[-1])
            return make_headers(*args)

        patched = unittest.mock.patch.object(dialect, "make_headers", note_source)
        self.enterContext(patched)
        self.evacuate(B)
        await self.bench.ask("1", parts=PARTS + ",one")
        self.take_back(B)
        # So many requests run there that the prompt is rather copied.
        self.make_busy(self.in_a)

    async def test_prompt_is_copied_from_an_upstream_that_has_it(self):
        await self.start_with_cached_prompt()
        await self.bench.ask("2", parts=PARTS + ",two")
        self.assertEqual("u-a", self.sources[-1].id)

    async def test_prompt_is_not_copied_from_an_evacuated_one(self):
        await self.start_with_cached_prompt()
        self.evacuate()
        await self.bench.ask("2", parts=PARTS + ",two")
        self.assertIsNone(self.sources[-1])

    async def test_prompt_is_not_copied_if_its_source_is_evacuated_meanwhile(self):
        await self.start_with_cached_prompt()
        connect = upstream_connection.open_connection

        async def connect_slowly(*args):
            self.evacuate()
            return await connect(*args)

        with unittest.mock.patch.object(
            upstream_connection, "open_connection", connect_slowly
        ):
            self.assertEqual(200, (await self.bench.ask("2", parts=PARTS + ",two"))[0])
        self.assertEqual(1, len(self.in_b.requests))
        self.assertIsNone(self.sources[-1])


class RejectionTest(EvacuationCase):
    async def test_request_without_an_upstream_is_rejected_at_once(self):
        await self.start(entry_bench.respond_ok)
        self.evacuate(A)
        self.evacuate(B)
        caller = await self.bench.connect()
        self.assertEqual((503, b"", True), await caller.ask())
        self.assertRegex(caller.received, rb"retry-after: [12]\.")
        page = self.bench.metrics.render(0.0, self.bench.view.usage)
        line = b'teaselsill_requests_total{cause="evacuated",ending="rejected"} 1.0'
        self.assertIn(line, page)
        self.assertIn(b"teaselsill_evacuated_data_centres 2.0", page)
        self.take_back(B)
        self.assertEqual(200, (await self.bench.ask("2"))[0])
        self.assertEqual((0, 1), self.count_sent())


class PassedOnTest(unittest.IsolatedAsyncioTestCase):
    """A busy router passes its requests on to another one."""

    async def start(self):
        self.bench = offload_bench.OffloadBench()
        await self.enterAsyncContext(self.bench)

    def evacuate(self, bench):
        bench.directory.evacuations.begin(A, asyncio.get_running_loop().time())

    async def test_other_router_does_not_send_it(self):
        await self.start()
        self.evacuate(self.bench.other)
        self.assertEqual(503, (await self.bench.busy.ask())[0])
        self.assertEqual([], self.bench.list_requests())

    async def test_request_that_waits_for_the_busy_router(self):
        """The data centre is evacuated while the busy router agrees to the send."""
        await self.start()
        for _ in range(2):
            self.assertEqual(200, (await self.bench.busy.ask())[0])
        self.bench.link.pause()
        asking = asyncio.create_task(self.bench.busy.ask("3"))
        await asyncio.sleep(0.1)
        self.evacuate(self.bench.other)
        self.evacuate(self.bench.busy)
        self.bench.link.resume()
        self.assertEqual(503, (await asking)[0])
        self.assertEqual(2, len(self.bench.list_requests()))
