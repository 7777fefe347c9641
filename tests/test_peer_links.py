import asyncio
import unittest

import msgspec

from teaselsill import (
    ids,
    listener,
    peer_links,
    peer_reports,
    report_routes,
    tcp_stream,
)
from tests import entry_bench

STATUS = peer_reports.RouterStatus(
    ids.DataCentre("a"), entry_bench.HOST, 1, 0.0, True, False
)


def make_report(name, uptime_s=0):
    status = msgspec.structs.replace(STATUS, uptime_s=uptime_s)
    return peer_reports.Report(ids.InstanceId(name), status, [], [], {}, {}, {}, {})


def make_peer(name, links, data_centre="a"):
    return report_routes.Peer(
        ids.InstanceId(name),
        ids.DataCentre(data_centre),
        entry_bench.HOST,
        links.port,
    )


class PeerLinksTest(unittest.IsolatedAsyncioTestCase):
    async def make(self, name, data_centre="a"):
        received = asyncio.Queue()
        links = peer_links.PeerLinks(
            ids.InstanceId(name), ids.DataCentre(data_centre), received.put_nowait
        )
        self.addCleanup(links.close)
        links.listen(entry_bench.HOST, 0)
        return links, received

    async def send_until_received(self, links, received, name):
        async with asyncio.timeout(5.0):
            while received.empty():
                links.send(make_report(name))
                await asyncio.sleep(0.01)
        report = received.get_nowait()
        while not received.empty():
            received.get_nowait()
        return report

    async def test_reports_reach_a_peer_and_its_next_incarnation(self):
        first, _ = await self.make("first")
        second, received = await self.make("second")
        port = second.port
        first.put_peer(make_peer("second", second))
        report = await self.send_until_received(first, received, "first")
        self.assertEqual("first", report.router)
        second.close()
        again = peer_links.PeerLinks(
            ids.InstanceId("second"), ids.DataCentre("a"), received.put_nowait
        )
        self.addCleanup(again.close)
        again.listen(entry_bench.HOST, port)
        await asyncio.sleep(0.05)
        while not received.empty():
            received.get_nowait()
        await self.send_until_received(first, received, "first")

    async def test_router_that_has_started_again_is_connected_to_at_once(self):
        """Until the others connect to it, it does not know what they know."""
        first, received_by_first = await self.make("first")
        second, received = await self.make("second")
        port = second.port
        first.put_peer(make_peer("second", second))
        second.put_peer(make_peer("first", first))
        await self.send_until_received(first, received, "first")
        second.send(make_report("second", uptime_s=1))
        await received_by_first.get()
        second.close()
        await asyncio.sleep(0.8)
        again, received = await self.make("second")
        again.close()
        again.listen(entry_bench.HOST, port)
        again.put_peer(make_peer("first", first))
        started_at = asyncio.get_running_loop().time()
        async with asyncio.timeout(5.0):
            while received.empty():
                again.send(make_report("second"))
                first.send(make_report("first"))
                await asyncio.sleep(0.01)
        took_s = asyncio.get_running_loop().time() - started_at
        self.assertLess(took_s, peer_links.INITIAL_BACKOFF_S)

    async def test_router_does_not_connect_to_itself(self):
        first, received = await self.make("first")
        first.put_peer(make_peer("first", first))
        first.send(make_report("first"))
        await asyncio.sleep(0.05)
        self.assertTrue(received.empty())

    async def test_malformed_report_only_ends_its_connection(self):
        first, received = await self.make("first")
        stranger = await tcp_stream.connect(entry_bench.HOST, first.port, 1.0)
        stranger.write(b"\xc1 no report")
        async with asyncio.timeout(5.0):
            await stranger.wait_closed_by_peer()
        stranger.abort()
        second, _ = await self.make("second")
        second.put_peer(make_peer("first", first))
        await self.send_until_received(second, received, "second")

    async def make_fleet(self, data_centre_by_name):
        """Starts routers that know each other.

        Returns:
            The links and the queue of received reports, by name.
        """
        fleet = {n: await self.make(n, dc) for n, dc in data_centre_by_name.items()}
        for links, _ in fleet.values():
            for name, (other, _) in fleet.items():
                links.put_peer(make_peer(name, other, data_centre_by_name[name]))
        return fleet

    async def send_until_all_receive(self, fleet, sender, names):
        async with asyncio.timeout(8.0):
            while any(fleet[name][1].empty() for name in names):
                fleet[sender][0].send(make_report(sender))
                await asyncio.sleep(0.02)

    async def test_report_is_forwarded_in_another_data_centre(self):
        fleet = await self.make_fleet({"s": "a", "x": "b", "y": "b", "z": "b"})
        await self.send_until_all_receive(fleet, "s", "xyz")
        for name in "xyz":
            self.drain(fleet[name][1])
        fleet["s"][0].send(make_report("s"))
        await asyncio.sleep(0.1)
        reports = [report for n in "xyz" for report in self.drain(fleet[n][1])]
        self.assertEqual(3, len(reports))
        self.assertEqual(1, sum(report.should_forward for report in reports))

    def drain(self, received):
        return [received.get_nowait() for _ in range(received.qsize())]

    async def test_silent_contact_is_replaced(self):
        """A frozen contact does not forward reports to the other routers there."""
        sender, _ = await self.make("s")
        sound, received = await self.make("sound", "b")
        frozen = listener.Listener(entry_bench.HOST, 0, lambda stream: None)
        self.addCleanup(frozen.close)
        names = (f"frozen{n}" for n in range(100))
        first = next(name for name in names if self.ranks_before("s", name, "sound"))
        sender.put_peer(make_peer("sound", sound, "b"))
        sender.put_peer(
            report_routes.Peer(
                ids.InstanceId(first), ids.DataCentre("b"), *frozen.address
            )
        )
        sound.put_peer(make_peer("s", sender))
        await asyncio.sleep(0.1)
        sender.send(make_report("s"))
        await asyncio.sleep(0.1)
        self.assertTrue(received.empty())
        async with asyncio.timeout(5.0):
            while received.empty():
                sound.send(make_report("sound"))
                sender.send(make_report("s"))
                await asyncio.sleep(0.02)

    async def test_connected_contact_is_preferred_to_routers_that_are_gone(self):
        """Entries of routers that are gone are never removed from the list."""
        sender, _ = await self.make("s")
        sound, received = await self.make("sound", "b")
        sender.put_peer(make_peer("sound", sound, "b"))
        await self.send_until_received(sender, received, "s")
        gone = [n for n in map("gone{}".format, range(20))]
        gone = [n for n in gone if self.ranks_before("s", n, "sound")]
        self.assertGreater(len(gone), report_routes.CONTACTS)
        for name in gone:
            peer = ids.InstanceId(name)
            data_centre = ids.DataCentre("b")
            sender.put_peer(report_routes.Peer(peer, data_centre, "127.0.0.9", 1))
        sender.send(make_report("s"))
        async with asyncio.timeout(5.0):
            await received.get()

    def ranks_before(self, sender, first, second):
        routes = report_routes.ReportRoutes(ids.InstanceId(sender), ids.DataCentre("a"))
        for name in (first, second):
            routes.put(
                report_routes.Peer(ids.InstanceId(name), ids.DataCentre("b"), "", 0)
            )
        ((chosen, _),) = routes.list_contacts(lambda peer: 0)
        return chosen == first
