import asyncio
import time
import unittest

import msgspec

from teaselsill import http_messages, ids, routing_table
from tests import entry_bench, offload_bench

EVENT_INTERVAL_S = 0.1


def stream_for(duration_s):
    """Returns a script that sends an event every 0.1 s, then ends the stream."""

    async def script(request, stream):
        stream.write(entry_bench.stream_head(request))
        for number in range(round(duration_s / EVENT_INTERVAL_S)):
            stream.write(entry_bench.event(number))
            await asyncio.sleep(EVENT_INTERVAL_S)
        stream.write(http_messages.LAST_CHUNK)

    return script


class PassedOnTest(unittest.IsolatedAsyncioTestCase):
    """A response that a busy router gets from another one is not given up."""

    async def start(self, script=entry_bench.respond_ok, **fields):
        self.bench = offload_bench.OffloadBench(script, **fields)
        await self.enterAsyncContext(self.bench)

    async def begin(self):
        """Returns a caller whose response from the other router has begun."""
        caller = await self.bench.busy.connect()
        caller.send()
        await caller.receive_until(b"id: 0")
        return caller

    async def check_completes(self, caller):
        await caller.receive_until(http_messages.LAST_CHUNK)
        self.assertEqual(1, len(self.bench.list_requests()))
        self.assertEqual(1, self.bench.count_served_by(self.bench.other))

    async def test_response_goes_on_while_reports_are_missing(self):
        """LOST: missing reports were taken for the death of the serving router."""
        await self.start(stream_for(3.0))
        caller = await self.begin()
        self.bench.has_reports = False
        await self.check_completes(caller)

    async def test_stream_whose_caller_takes_its_events_goes_on(self):
        await self.start(stream_for(2.5), patience_s=0.6)
        await self.check_completes(await self.begin())

    async def test_stream_that_the_busy_router_does_not_deliver_is_given_up(self):
        """GONE: its caller had left, and the other router sent events all the while."""
        await self.start(stream_for(20.0), patience_s=0.6)
        await self.begin()
        self.bench.link.pause()
        await self.bench.wait_disconnected()

    async def test_response_goes_on_after_a_pause_of_the_serving_router(self):
        await self.start(stream_for(0.5))
        caller = await self.begin()
        await self.bench.pause_other(2.5)
        await self.check_completes(caller)

    async def test_response_goes_on_after_a_pause_of_the_busy_router(self):
        """What had arrived meanwhile was not read before the other was given up."""
        await self.start(stream_for(0.5))
        caller = await self.begin()
        time.sleep(2.0)  # noqa: ASYNC251
        await self.check_completes(caller)

    async def test_response_goes_on_while_the_event_loop_is_late(self):
        await self.start(stream_for(2.5))
        caller = await self.begin()
        for _ in range(6):
            time.sleep(0.4)  # noqa: ASYNC251
            await asyncio.sleep(0)
        await self.check_completes(caller)

    async def test_response_goes_on_while_many_routers_join(self):
        await self.start(stream_for(2.0))
        caller = await self.begin()
        report = self.bench.other.view.take_report()
        for number in range(60):
            joined = msgspec.structs.replace(report, router=ids.InstanceId(f"{number}"))
            self.bench.busy.view.apply(joined)
            self.bench.other.view.apply(joined)
            await asyncio.sleep(0.01)
        await self.check_completes(caller)

    async def test_response_goes_on_in_a_storm_of_configurations(self):
        """The serving router is always behind, and the idle timeout changes."""
        await self.start(stream_for(2.0))
        caller = await self.begin()
        for version in range(2, 40):
            self.bench.busy.apply_configuration(version)
            await asyncio.sleep(0.03)
            self.bench.other.apply_configuration(version - 1)
        await self.check_completes(caller)

    async def test_response_goes_on_during_a_stop_of_the_serving_router(self):
        await self.start(stream_for(1.5))
        caller = await self.begin()
        stopping = asyncio.create_task(self.bench.other.router.stop())
        await self.check_completes(caller)
        await stopping

    async def test_response_goes_on_during_a_stop_of_the_busy_router(self):
        await self.start(stream_for(1.5))
        caller = await self.begin()
        stopping = asyncio.create_task(self.bench.busy.router.stop())
        await self.check_completes(caller)
        await stopping


class NotSentTest(unittest.IsolatedAsyncioTestCase):
    """A request that the other router has not sent to an upstream is served here."""

    async def start(self, **fields):
        self.bench = offload_bench.OffloadBench(**fields)
        await self.enterAsyncContext(self.bench)
        self.assertEqual((200, b"ok", True), await self.bench.busy.ask("0"))
        self.assertEqual(1, self.bench.count_served_by(self.bench.other))

    async def check_served_here(self, caller):
        self.assertEqual((200, b"ok", True), await caller.receive())
        self.assertEqual(1, self.bench.count_served_by(self.bench.busy))

    async def test_request_to_a_paused_router_is_served_here_and_runs_once(self):
        await self.start()
        caller = await self.bench.busy.connect()
        pausing = asyncio.create_task(self.bench.pause_other(1.5))
        await asyncio.sleep(0)
        caller.send()
        await self.check_served_here(caller)
        await pausing
        await asyncio.sleep(0.3)
        self.assertEqual(2, len(self.bench.list_requests()))

    async def test_request_to_a_router_that_ends_is_served_here(self):
        """It was answered with 502, though no upstream had seen it."""
        await self.start()
        caller = await self.bench.busy.connect()
        self.bench.link.pause()
        caller.send()
        await asyncio.sleep(0.05)
        self.bench.link.reset()
        await self.check_served_here(caller)

    async def test_request_to_a_stopping_router_is_served_here(self):
        await self.start()
        shutdown = self.bench.other.forwarder.shutdown
        shutdown.begin(asyncio.get_running_loop().time())
        shutdown.is_refusing = True
        caller = await self.bench.busy.connect()
        caller.send()
        await self.check_served_here(caller)

    async def test_router_with_an_older_configuration_does_not_serve_a_request(self):
        """Its last report was of the same version, or of a newer one."""
        await self.start()
        self.bench.has_reports = False
        caller = await self.bench.busy.connect()
        self.bench.busy.apply_configuration(2)
        caller.send()
        await self.check_served_here(caller)


class MayHaveRunTest(unittest.IsolatedAsyncioTestCase):
    """The other router has sent a request and ends before its response."""

    async def break_off(self, **fields):
        """Returns the response, if the first upstream never responds."""

        async def script(request, stream):
            if len(self.bench.list_requests()) == 1:
                await asyncio.sleep(5.0)
            stream.write(entry_bench.make_response(request))

        self.bench = offload_bench.OffloadBench(script, upstreams=2, **fields)
        await self.enterAsyncContext(self.bench)
        caller = await self.bench.busy.connect()
        caller.send()
        await self.bench.wait_for_requests()
        self.bench.link.reset()
        return await caller.receive()

    async def test_unrepeatable_request_is_not_run_again(self):
        never = routing_table.Repeat.NEVER
        self.assertEqual((502, b"", True), await self.break_off(repeat=never))
        self.assertEqual(1, len(self.bench.list_requests()))

    async def test_repeatable_request_is_sent_to_another_upstream(self):
        freely = routing_table.Repeat.FREELY
        response = await self.break_off(repeat=freely, max_upstreams=2)
        self.assertEqual((200, b"ok", True), response)
        self.assertEqual(2, len(self.bench.list_requests()))
