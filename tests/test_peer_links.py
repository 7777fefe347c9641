import asyncio
import unittest

import msgspec

from teaselsill import (
    crash_reports,
    ids,
    listener,
    peer_links,
    peer_reports,
    quarantine,
    report_routes,
    tcp_stream,
)
from tests import entry_bench, test_fleet_view

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
    async def make(self, name, data_centre="a", **fields):
        received = asyncio.Queue()
        links = peer_links.PeerLinks(
            ids.InstanceId(name),
            ids.DataCentre(data_centre),
            received.put_nowait,
            **fields,
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

    async def test_router_that_is_heard_stays_although_a_listing_lacks_it(self):
        """A restored log lacks its entry until it has written it again."""
        first, _ = await self.make("first")
        second, received = await self.make("second")
        first.put_peer(make_peer("second", second))
        await self.send_until_received(first, received, "first")
        first.keep_only(set())
        self.assertTrue(first.has_peer(ids.InstanceId("second")))
        first._liveness.is_live = lambda peer, now: False
        first.keep_only(set())
        self.assertFalse(first.has_peer(ids.InstanceId("second")))

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

    async def test_router_gets_a_report_when_a_connection_to_it_opens(self):
        """Those before it went nowhere, and the next one may be due much later."""
        first, _ = await self.make("first", make_greeting=lambda: make_report("first"))
        second, received = await self.make("second")
        first.send(make_report("first", uptime_s=1))
        first.put_peer(make_peer("second", second))
        async with asyncio.timeout(5.0):
            report = await received.get()
        self.assertEqual(make_report("first"), report)

    async def test_router_that_connects_is_greeted_before_its_address_is_known(self):
        """A router that was added waited for a second until it was heard of."""
        first, received = await self.make("first")
        second, _ = await self.make(
            "second", make_greeting=lambda: make_report("second")
        )
        first.put_peer(make_peer("second", second))
        async with asyncio.timeout(5.0):
            self.assertEqual(make_report("second"), await received.get())

    async def test_router_that_is_not_listed_yet_gets_reports(self):
        """Each held itself responsible, as only one of them heard the other."""
        first, received = await self.make("first")
        second, _ = await self.make("second")
        first._make_greeting = lambda: make_report("first")
        first.put_peer(make_peer("second", second))
        async with asyncio.timeout(5.0):
            while "first" not in second._accepted_by_router:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            second.send(make_report("second"))
            self.assertEqual("second", (await received.get()).router)

    async def make_with_view(self, name, quarantined=()):
        """Starts a router whose links pass reports to and from its view."""
        view, _ = test_fleet_view.make_view(name)
        parts = [
            crash_reports.QuarantinedPart(ids.PartKey(part), 0.0, 0)
            for part in quarantined
        ]
        news = crash_reports.News(quarantined=parts)
        view.quarantine.apply(news, asyncio.get_running_loop().time())
        links = peer_links.PeerLinks(
            ids.InstanceId(name), ids.DataCentre("a"), view.apply, view.make_greeting
        )
        self.addCleanup(links.close)
        links.listen(entry_bench.HOST, 0)
        return links, view

    async def test_restarted_router_is_told_what_is_quarantined_without_a_repeat(self):
        """It was told only by the next repeat, and sent a deadly request until then.

        The others had repeated what is quarantined before they were connected to it.
        """
        first, first_view = await self.make_with_view("first", quarantined=("bad",))
        second, _ = await self.make_with_view("second")
        port = second.port
        first.put_peer(make_peer("second", second))
        second.put_peer(make_peer("first", first))
        async with asyncio.timeout(5.0):
            while not any(s.uptime_s for s in first_view.list_statuses().values()):
                second.send(make_report("second", uptime_s=1))
                await asyncio.sleep(0.01)
        second.close()
        await asyncio.sleep(3 * peer_links.INITIAL_BACKOFF_S)
        again, again_view = await self.make_with_view("second")
        again.close()
        again.listen(entry_bench.HOST, port)
        told = asyncio.Queue()
        again_view.quarantine.on_quarantined = told.put_nowait
        first.send(first_view.take_report())
        again.put_peer(make_peer("first", first))
        async with asyncio.timeout(quarantine.REPEAT_S / 2):
            self.assertEqual("bad", await told.get())

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
