import asyncio
import unittest

from teaselsill import ids, peer_links, peer_reports, tcp_stream
from tests import entry_bench

STATUS = peer_reports.RouterStatus(
    ids.DataCentre("a"), entry_bench.HOST, 1, 0.0, True, False
)


def make_report(name):
    return peer_reports.Report(ids.InstanceId(name), STATUS, [], [], {}, {}, {}, {})


class PeerLinksTest(unittest.IsolatedAsyncioTestCase):
    async def make(self, name):
        received = asyncio.Queue()
        links = peer_links.PeerLinks(ids.InstanceId(name), received.put_nowait)
        self.addCleanup(links.close)
        links.listen(entry_bench.HOST, 0)
        return links, received

    async def send_until_heard(self, links, received, name):
        async with asyncio.timeout(5.0):
            while received.empty():
                links.send(make_report(name))
                await asyncio.sleep(0.01)
        report = received.get_nowait()
        while not received.empty():
            received.get_nowait()
        return report

    async def test_reports_reach_a_peer_and_its_next_life(self):
        first, _ = await self.make("first")
        second, received = await self.make("second")
        port = second.port
        first.put_peer(ids.InstanceId("second"), entry_bench.HOST, port)
        report = await self.send_until_heard(first, received, "first")
        self.assertEqual("first", report.router)
        second.close()
        again = peer_links.PeerLinks(ids.InstanceId("second"), received.put_nowait)
        self.addCleanup(again.close)
        again.listen(entry_bench.HOST, port)
        await asyncio.sleep(0.05)
        while not received.empty():
            received.get_nowait()
        await self.send_until_heard(first, received, "first")

    async def test_router_does_not_connect_to_itself(self):
        first, received = await self.make("first")
        first.put_peer(ids.InstanceId("first"), entry_bench.HOST, first.port)
        first.send(make_report("first"))
        await asyncio.sleep(0.05)
        self.assertTrue(received.empty())

    async def test_garbage_ends_the_connection_and_nothing_else(self):
        first, received = await self.make("first")
        stranger = await tcp_stream.connect(entry_bench.HOST, first.port, 1.0)
        stranger.write(b"\xc1 no report")
        async with asyncio.timeout(5.0):
            await stranger.wait_left()
        stranger.abort()
        second, _ = await self.make("second")
        second.put_peer(ids.InstanceId("first"), entry_bench.HOST, first.port)
        await self.send_until_heard(second, received, "second")
