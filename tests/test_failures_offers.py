"""Faults of the offers between routers, and of what surrounds them."""

import asyncio
import unittest
import unittest.mock

from teaselsill import (
    http_messages,
    ids,
    loop_lag,
    offload,
    offload_link,
    router_links,
    routing_table,
    tcp_stream,
)
from tests import entry_bench, offload_bench, pausable_link

SLOW_S = 0.2
"""An answer that takes longer has waited for an offer without a reply."""


class OfferCase(unittest.IsolatedAsyncioTestCase):
    async def start(self, script=entry_bench.respond_ok, **fields):
        self.bench = offload_bench.OffloadBench(script, **fields)
        await self.enterAsyncContext(self.bench)

    async def count_slow(self, count):
        """Returns how many of some requests were slow; all must be answered."""
        loop = asyncio.get_running_loop()
        slow = 0
        for number in range(count):
            began = loop.time()
            status, _, is_complete = await self.bench.busy.ask(f"n{number}")
            self.assertIn(status, (200, 503))
            self.assertTrue(is_complete)
            slow += loop.time() - began > SLOW_S
        return slow


class LinkTest(OfferCase):
    async def test_lost_connection_is_replaced_while_it_is_dropped(self):
        """A router ended itself: its maintenance failed."""
        await self.start()
        await self.bench.busy.ask("0")
        router = ids.InstanceId("other")
        links = self.bench.busy.router._offloader._links
        status = self.bench.busy.view.find_status(router)
        first = await links.find(router, status.host, status.request_port)
        first.close()
        await asyncio.sleep(0.05)
        finding = asyncio.create_task(
            links.find(router, status.host, status.request_port)
        )
        await asyncio.sleep(0)
        now = asyncio.get_running_loop().time()
        links.drop_unused(now)
        self.assertIsNot(first, await finding)
        links.drop_unused(now + 0.25)
        links.drop_unused(now + 2 * router_links.MAX_IDLE_S)

    async def test_silent_connection_gets_no_more_offers(self):
        """The old connection stays silent for good, while new ones work."""
        await self.start()
        await self.bench.busy.ask("0")
        self.bench.link.pause()
        target = self.bench.other.router.addresses[1][1]
        self.bench.link = await self.enterAsyncContext(
            pausable_link.PausableLink(target)
        )
        await asyncio.sleep(2 * offload_bench.REPORT_INTERVAL_S)
        with unittest.mock.patch.object(offload, "AVOIDED_S", 0.1):
            slow = 0
            for _ in range(4):
                slow += await self.count_slow(2)
                await asyncio.sleep(0.2)
        self.assertLessEqual(slow, 1)

    async def test_paused_router_is_avoided(self):
        await self.start()
        await self.bench.busy.ask("0")
        self.bench.link.pause()
        self.assertLessEqual(await self.count_slow(4), 1)

    async def test_paused_router_is_avoided_by_one_that_is_late(self):
        await self.start()
        await self.bench.busy.ask("0")
        for _ in range(20):
            self.bench.busy.lag.add(1.5 * loop_lag.OVERLOADED_S, 0.0)
        self.bench.link.pause()
        self.assertLessEqual(await self.count_slow(4), 1)


class CountTest(OfferCase):
    async def test_withdrawn_request_counts_once_for_the_retry_budget(self):
        await self.start()
        drop = unittest.mock.patch.object(
            offload_link.OffloadLink, "_handle", lambda link, message: None
        )
        with drop:
            self.assertEqual((200, b"ok", True), await self.bench.busy.ask("1"))
        self.assertEqual(1, len(self.bench.list_requests()))
        self.assertTrue(self.bench.busy.forwarder._budget_by_service)
        self.assertFalse(self.bench.other.forwarder._budget_by_service)

    async def test_runs_at_the_other_router_count_against_the_limit(self):
        async def script(request, stream):
            count = len(self.bench.list_requests())
            if count == 1:
                stream.close()
            elif count == 2:
                self.bench.link.reset()
                await asyncio.sleep(0.5)
            else:
                await entry_bench.respond_ok(request, stream)

        freely = routing_table.Repeat.FREELY
        await self.start(script, upstreams=4, repeat=freely, max_upstreams=2)
        self.assertEqual((502, b"", True), await self.bench.busy.ask("1"))
        self.assertEqual(2, len(self.bench.list_requests()))

    async def test_rejection_for_a_reason_of_the_other_router_is_not_final(self):
        await self.start()
        await self.bench.busy.ask("0")
        self.bench.has_reports = False
        for _ in range(20):
            self.bench.other.lag.add(1.1 * loop_lag.OVERLOADED_S, 0.0)
        self.bench.other.lag.is_overloaded = False
        self.assertTrue(self.bench.other.lag.is_late)
        self.assertEqual((200, b"ok", True), await self.bench.busy.ask("1"))
        self.assertEqual(1, self.bench.count_served_by(self.bench.busy))


class OldCallerTest(OfferCase):
    """A cut response to a caller of HTTP/1.0 does not look complete."""

    async def begin(self):
        async def script(request, stream):
            fields = [("id", request.get("id")), ("seal", "s")]
            stream.write(http_messages.encode_head(200, "OK", fields) + b"half")
            await asyncio.sleep(5.0)

        await self.start(script)
        caller = await self.bench.busy.connect()
        caller.send_bytes(b"POST /x/1 HTTP/1.0\r\nhost: a.example\r\nid: 1\r\n\r\n")
        await caller.receive_until(b"half")
        return caller

    async def test_router_with_the_connection_ends(self):
        caller = await self.begin()
        self.bench.busy.router.close()
        with self.assertRaises(tcp_stream.ConnectionResetError):
            await caller.receive_until(b"more")

    async def test_serving_router_ends(self):
        caller = await self.begin()
        self.bench.other.router.close()
        with self.assertRaises(tcp_stream.ConnectionResetError):
            await caller.receive_until(b"more")


class StopTest(OfferCase):
    async def test_connection_ends_after_the_last_response_of_a_stop(self):
        """The stopping router closed it, and responses on their way were lost."""
        body = b"x" * 60_000

        async def script(request, stream):
            await asyncio.sleep(0.3)
            stream.write(entry_bench.make_response(request, body))

        await self.start(script)
        caller = await self.bench.busy.connect()
        caller.send()
        await self.bench.wait_for_requests()
        self.bench.other.router._offload_server.announce_closing()
        self.assertEqual((200, body, True), await caller.receive())
        await asyncio.sleep(0.1)
        self.assertFalse(self.bench.other.router._offload_server._connections)
