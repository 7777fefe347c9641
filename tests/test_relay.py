import asyncio
import dataclasses
import unittest
import unittest.mock

from teaselsill import (
    entry_router,
    http_messages,
    loop_lag,
    offload,
    relay,
    tcp_stream,
)
from tests import entry_bench


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """A busy router hands connections over to a less loaded one."""

    async def start(self, script=entry_bench.respond_ok):
        self.upstream = entry_bench.ScriptedUpstream("u", script)
        self.other = await self.start_router("other", 4.0)
        self.busy = await self.start_router("busy", 0.4)
        for bench in (self.busy, self.other):
            maintenance = asyncio.create_task(bench.router.run_maintenance())
            self.addCleanup(maintenance.cancel)
        self.reporting = asyncio.create_task(self.exchange_reports())
        self.addCleanup(self.reporting.cancel)
        await asyncio.sleep(0)
        for _ in range(20):
            self.busy.lag.add(1.5 * loop_lag.BUSY_S, 0.0)
        self.busy.forwarder.active_requests = 10

    async def start_router(self, name, cores):
        bench = entry_bench.EntryBench(
            [self.upstream], name, cores, is_stream=True, timeout_s=30.0
        )
        return await self.enterAsyncContext(bench)

    async def exchange_reports(self):
        while True:
            self.other.view.apply(self.busy.view.take_report())
            self.busy.view.apply(self.other.view.take_report())
            await asyncio.sleep(0.2)

    async def test_other_router_serves_the_requests(self):
        await self.start()
        caller = await self.busy.connect()
        self.assertEqual((200, b"ok", True), await caller.ask())
        self.assertEqual((200, b"ok", True), await caller.ask("2"))
        self.assertEqual(2, len(self.upstream.requests))
        self.assertIn(b"r-served 1", self.describe_served(self.other))
        self.assertIn(b"r-served 0", self.describe_served(self.busy))

    async def test_broken_stream_to_a_caller_without_chunks_is_reset(self):
        """The relay must not turn the other router's reset into an orderly end."""

        async def script(request, stream):
            fields = [
                ("id", request.get("id")),
                ("seal", "s"),
                ("content-type", "text/event-stream"),
            ]
            stream.write(http_messages.encode_head(200, "OK", fields) + b"id: 1\nda")
            await asyncio.sleep(0.05)
            stream.close()

        await self.start(script)
        caller = await self.busy.connect()
        caller.send_bytes(b"POST /x/1 HTTP/1.0\r\nhost: a.example\r\nid: 1\r\n\r\n")
        status, _, is_complete = await caller.receive()
        self.assertEqual((200, False), (status, is_complete))
        self.assertEqual(1, len(self.upstream.requests))

    def describe_served(self, bench):
        page = bench.metrics.render(0.0, bench.view.usage)
        served = page.count(b'teaselsill_requests_total{cause="",ending="delivered"}')
        return b"r-served %d" % served

    async def test_disconnect_of_the_caller_reaches_the_upstream(self):
        async def script(request, stream):
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            await asyncio.Event().wait()

        await self.start(script)
        caller = await self.busy.connect()
        caller.send()
        await caller.receive_until(b"id: 1")
        caller.abort()
        await self.upstream.wait_disconnected()

    async def test_incomplete_response_does_not_look_complete(self):
        async def script(request, stream):
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            await asyncio.sleep(0.05)
            self.other.router.close()

        await self.start(script)
        caller = await self.busy.connect()
        caller.send()
        _, _, is_complete = await caller.receive()
        self.assertFalse(is_complete)

    async def test_request_is_answered_if_the_other_router_ends(self):
        """Its caller's connection was closed without an answer."""

        async def script(request, stream):
            await asyncio.sleep(0.05)
            self.other.router.close()
            await asyncio.sleep(5.0)

        await self.start(script)
        caller = await self.busy.connect()
        self.assertEqual((502, b"", True), await caller.ask())
        await caller.wait_closed()

    async def test_connection_is_served_here_if_the_other_router_is_unreachable(self):
        await self.start()
        self.other.router.close()
        caller = await self.busy.connect()
        self.assertEqual((200, b"ok", True), await caller.ask())

    async def test_relay_is_aborted_if_the_other_router_stops_reporting(self):
        async def script(request, stream):
            await asyncio.Event().wait()

        await self.start(script)
        caller = await self.busy.connect()
        caller.send()
        async with asyncio.timeout(5.0):
            while not self.upstream.requests:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        self.reporting.cancel()
        await caller.wait_closed()

    async def test_stop_waits_for_responses_of_the_other_router(self):
        go_on = asyncio.Event()

        async def script(request, stream):
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            while request.get("id") == "1" and not go_on.is_set():
                stream.write(entry_bench.event(2))
                await asyncio.sleep(0.1)
            stream.write(http_messages.LAST_CHUNK)

        await self.start(script)
        idle = await self.busy.connect()
        used = await self.busy.connect()
        await used.ask("0")
        caller = await self.busy.connect()
        caller.send()
        await caller.receive_until(b"id: 1")
        stopping = asyncio.create_task(self.busy.router.stop())
        await idle.wait_closed()
        await used.wait_closed()
        self.assertFalse(stopping.done())
        go_on.set()
        await caller.receive_until(http_messages.LAST_CHUNK)
        async with asyncio.timeout(5.0):
            await stopping

    async def test_stop_closes_idle_relays(self):
        """Requests that arrived late in a stop were relayed and aborted at its end."""
        await self.start()
        caller = await self.busy.connect()
        await caller.ask("1")
        with unittest.mock.patch.object(entry_router, "LISTEN_AFTER_STOP_S", 0.1):
            stopping = asyncio.create_task(self.busy.router.stop())
            async with asyncio.timeout(2.0):
                await caller.wait_closed()
        async with asyncio.timeout(5.0):
            await stopping

    async def test_request_of_a_disconnected_caller_is_not_relayed(self):
        await self.start()
        for number in range(20):
            caller = await self.busy.connect()
            caller.send(str(number))
            caller.close()
        await asyncio.sleep(0.2)
        self.assertEqual([], self.upstream.requests)

    async def test_connections_above_the_soft_limit_close_after_their_responses(self):
        await self.start()
        caller = await self.busy.connect()
        await caller.ask("1")
        with unittest.mock.patch.object(offload, "RELAY_SOFT_LIMIT", 0):
            self.other.view.apply(self.busy.view.take_report())
            await caller.ask("2")
        self.assertIn(b"connection: close", caller.received)
        await caller.wait_closed()

    def set_idle_timeout(self, bench, timeout_s):
        """Applies another idle timeout."""
        table = bench.forwarder.table
        table.limits = dataclasses.replace(table.limits, idle_timeout_s=timeout_s)

    async def test_idle_connection_is_closed_by_the_relaying_router(self):
        """If the serving router closed it, requests already read would be lost."""
        await self.start()
        caller = await self.busy.connect()
        await caller.ask("1")
        self.set_idle_timeout(self.other, 0.05)
        await caller.ask("2")
        await asyncio.sleep(0.4)
        self.assertEqual((200, b"ok", True), await caller.ask("3"))
        self.set_idle_timeout(self.busy, 0.05)
        await asyncio.sleep(0.4)
        self.assertEqual((200, b"ok", True), await caller.ask("4"))
        await caller.wait_closed()

    async def test_router_with_an_older_configuration_gets_no_more_requests(self):
        await self.start()
        caller = await self.busy.connect()
        await caller.ask("1")
        self.busy.apply_configuration(version=2)
        await caller.wait_closed()
        caller = await self.busy.connect()
        self.other.forwarder.table = None
        self.assertEqual((200, b"ok", True), await caller.ask("2"))

    async def test_connection_with_a_response_in_progress_is_not_idle(self):
        """Streams were closed between two events if their router was outdated."""
        go_on = asyncio.Event()
        await self.start(entry_bench.stream_until(go_on))
        caller = await self.busy.connect()
        caller.send()
        await caller.receive_until(b"id: 1")
        self.busy.apply_configuration(version=2)
        self.set_idle_timeout(self.busy, 0.05)
        await asyncio.sleep(1.0)
        go_on.set()
        await caller.receive_until(http_messages.LAST_CHUNK)
        await caller.wait_closed()

    async def test_connection_with_a_request_in_progress_is_not_idle(self):
        async def script(request, stream):
            await asyncio.sleep(0.6)
            stream.write(entry_bench.make_response(request))

        await self.start(script)
        self.set_idle_timeout(self.busy, 0.05)
        caller = await self.busy.connect()
        self.assertEqual((200, b"ok", True), await caller.ask("1"))

    async def test_connection_with_a_request_not_relayed_yet_is_not_idle(self):
        """A busy router checks for a disconnect before it relays a request."""
        await self.start()
        caller = await self.busy.connect()
        await caller.ask("1")
        idle = []

        async def record_idle(open_relay):
            now = asyncio.get_running_loop().time()
            idle.append(open_relay.is_idle(now + 3600.0))
            return False

        with unittest.mock.patch.object(relay.Relay, "_has_caller_left", record_idle):
            await caller.ask("2")
        self.assertEqual([False], idle)

    async def test_handed_over_connection_is_not_handed_over_again(self):
        await self.start()
        for _ in range(20):
            self.other.lag.add(1.5 * loop_lag.BUSY_S, 0.0)
        self.other.view.apply(self.busy.view.take_report())
        host, port = self.other.router.addresses[1]
        caller = entry_bench.Caller(await tcp_stream.connect(host, port, 1.0))
        self.assertEqual((200, b"ok", True), await caller.ask())
