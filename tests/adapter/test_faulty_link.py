import asyncio
import unittest

from teaselsill import tcp_stream
from tests import entry_bench
from tests.adapter import faulty_link


class FaultyLinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = entry_bench.ScriptedUpstream("u", entry_bench.respond_ok)
        await self.enterAsyncContext(self.server)
        upstream = self.server.describe()
        link = faulty_link.FaultyLink(upstream.port)
        self.link = await self.enterAsyncContext(link)
        self.caller = await self.connect()

    async def connect(self):
        stream = await tcp_stream.connect(faulty_link.HOST, self.link.port, 1.0)
        return entry_bench.Caller(stream)

    async def is_silent(self, caller):
        caller.send()
        try:
            async with asyncio.timeout(0.1):
                await caller.receive()
        except TimeoutError:
            return True
        return False

    async def test_relays_bytes(self):
        self.assertEqual((200, b"ok", True), await self.caller.ask())

    async def test_silenced_connection_stays_silent(self):
        self.link.fault = faulty_link.Fault.SILENT
        self.assertTrue(await self.is_silent(self.caller))
        self.assertEqual([], self.server.requests)
        self.link.fault = faulty_link.Fault.NONE
        self.assertTrue(await self.is_silent(self.caller))
        other = await self.connect()
        self.assertEqual((200, b"ok", True), await other.ask())

    async def test_one_way_fault_drops_only_responses(self):
        self.link.fault = faulty_link.Fault.ONE_WAY
        self.assertTrue(await self.is_silent(self.caller))
        self.assertEqual(1, len(self.server.requests))

    async def test_delayed_link_relays_everything(self):
        self.link.fault = faulty_link.Fault.DELAYED
        self.assertEqual((200, b"ok", True), await self.caller.ask())

    async def test_reset_closes_connections(self):
        await self.caller.ask()
        self.link.cut()
        await self.caller.wait_closed()
        other = await self.connect()
        self.assertEqual((200, b"ok", True), await other.ask())
