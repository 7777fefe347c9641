import asyncio
import collections
import dataclasses
import random
import unittest
import unittest.mock

from teaselsill import (
    entry_router,
    http_messages,
    ids,
    loop_lag,
    offload,
)
from tests import entry_bench, offload_bench, test_fleet_view

make_status = test_fleet_view.make_status


def make_status_by_router(*statuses):
    return {ids.InstanceId(f"r{n}"): status for n, status in enumerate(statuses)}


class ChooseTest(unittest.TestCase):
    """One router gets a flood of requests while the others have little load."""

    def test_router_of_the_same_data_centre_is_preferred(self):
        others = make_status_by_router(
            make_status("a", 300.0), make_status("a", 80.0), make_status("b", 0.0)
        )
        self.assertEqual("r1", offload.choose_router(make_status("a", 400.0), others))

    def test_another_data_centre_if_no_local_router_is_eligible(self):
        others = make_status_by_router(
            make_status("a", 300.0),
            make_status("a", 10.0, takes_requests=False),
            make_status("b", 100.0),
        )
        self.assertEqual("r2", offload.choose_router(make_status("a", 400.0), others))

    def test_none_if_all_routers_have_similar_load(self):
        others = make_status_by_router(make_status("a", 300.0), make_status("b", 250.0))
        self.assertIsNone(offload.choose_router(make_status("a", 400.0), others))

    def test_router_with_an_older_configuration_is_not_chosen(self):
        """Such a router rejected a route that the caller had already used."""
        others = make_status_by_router(
            make_status(load=0.0, version=9), make_status(load=80.0)
        )
        own = make_status(load=400.0, version=10)
        self.assertIsNone(offload.choose_router(own, others))
        others = make_status_by_router(
            make_status(load=0.0, version=9), make_status(load=80.0, version=10)
        )
        self.assertEqual("r1", offload.choose_router(own, others))

    def test_router_that_cannot_have_the_newest_configuration_chooses_its_own(self):
        """Its callers saw the effects of a newer one and of its own in turn."""
        others = make_status_by_router(
            make_status(load=0.0, version=11), make_status(load=80.0, version=10)
        )
        own = make_status(load=400.0, version=10)
        chosen = {offload.choose_router(own, others, False) for _ in range(20)}
        self.assertEqual({"r1"}, chosen)

    def test_routers_with_the_same_reports_choose_different_routers(self):
        """Flooded routers choose by reports that are a third of a second old."""
        random.seed(1)
        others = make_status_by_router(*(make_status(load=load) for load in range(12)))
        chosen = [
            offload.choose_router(make_status(load=400.0), others) for _ in range(600)
        ]
        counts = collections.Counter(chosen)
        self.assertLess(max(counts.values()), 0.25 * len(chosen))
        self.assertGreater(counts["r0"], counts["r8"])

    def test_flood_is_spread_until_the_loads_are_similar(self):
        """Replays a flood at a slow router beside another slow one and a fast one."""
        cores_by_router = {"slow": 0.4, "fast": 2.0}
        count_by_router = dict.fromkeys(cores_by_router, 0)
        own = 200
        for _ in range(600):
            others = {
                ids.InstanceId(name): make_status(load=count / cores_by_router[name])
                for name, count in count_by_router.items()
            }
            router = offload.choose_router(make_status(load=own / 0.4), others)
            if router is None:
                own += 1
            else:
                count_by_router[router] += 1
        self.assertGreater(count_by_router["fast"], 4 * count_by_router["slow"])
        self.assertGreater(count_by_router["slow"], 50)


class OffloadTest(unittest.IsolatedAsyncioTestCase):
    """A busy router passes requests on to a less loaded one."""

    async def start(self, script=entry_bench.respond_ok, **fields):
        self.bench = offload_bench.OffloadBench(script, **fields)
        await self.enterAsyncContext(self.bench)
        self.busy, self.other = self.bench.busy, self.bench.other

    async def test_other_router_serves_the_requests(self):
        await self.start()
        caller = await self.busy.connect()
        self.assertEqual((200, b"ok", True), await caller.ask())
        self.assertEqual((200, b"ok", True), await caller.ask("2"))
        self.assertEqual(2, len(self.bench.list_requests()))
        self.assertEqual(2, self.bench.count_served_by(self.other))
        self.assertEqual(0, self.bench.count_served_by(self.busy))

    async def test_broken_stream_to_a_caller_without_chunks_is_reset(self):
        """The end of the other router's response must not look complete."""

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
        self.assertEqual(1, len(self.bench.list_requests()))

    async def test_disconnect_of_the_caller_reaches_the_upstream(self):
        async def script(request, stream):
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            await asyncio.Event().wait()

        await self.start(script)
        caller = await self.busy.connect()
        caller.send()
        await caller.receive_until(b"id: 1")
        caller.abort()
        await self.bench.wait_disconnected()

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
            if request.get("id") == "1":
                await asyncio.sleep(0.05)
                self.other.router.close()
                await asyncio.sleep(5.0)
            await entry_bench.respond_ok(request, stream)

        await self.start(script)
        caller = await self.busy.connect()
        self.assertEqual((502, b"", True), await caller.ask())
        self.assertEqual((200, b"ok", True), await caller.ask("2"))

    async def test_connection_is_served_here_if_the_other_router_is_unreachable(self):
        await self.start()
        self.other.router.close()
        caller = await self.busy.connect()
        self.assertEqual((200, b"ok", True), await caller.ask())

    async def test_request_is_answered_at_its_deadline_if_the_other_router_is_silent(
        self,
    ):
        async def script(request, stream):
            await asyncio.Event().wait()

        await self.start(script, timeout_s=1.0)
        caller = await self.busy.connect()
        caller.send()
        await self.bench.wait_for_requests()
        self.bench.has_reports = False
        self.bench.link.pause()
        async with asyncio.timeout(1.5):
            self.assertEqual((504, b"", True), await caller.receive())

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

    async def test_stop_closes_idle_connections(self):
        """Requests that arrived late in a stop were aborted at its end."""
        await self.start()
        caller = await self.busy.connect()
        await caller.ask("1")
        with unittest.mock.patch.object(entry_router, "LISTEN_AFTER_STOP_S", 0.1):
            stopping = asyncio.create_task(self.busy.router.stop())
            async with asyncio.timeout(2.0):
                await caller.wait_closed()
        async with asyncio.timeout(5.0):
            await stopping

    async def test_request_of_a_disconnected_caller_is_not_passed_on(self):
        await self.start()
        for number in range(20):
            caller = await self.busy.connect()
            caller.send(str(number))
            caller.close()
        await asyncio.sleep(0.2)
        self.assertEqual([], self.bench.list_requests())

    async def test_requests_beyond_the_limit_are_served_here(self):
        await self.start()
        with unittest.mock.patch.object(offload, "MAX_REMOTE_REQUESTS", 0):
            self.assertEqual((200, b"ok", True), await self.busy.ask("1"))
        self.assertEqual(1, self.bench.count_served_by(self.busy))

    async def test_connections_are_kept_while_another_router_relieves_this_one(self):
        await self.start()
        caller = await self.busy.connect()
        await caller.ask("1")
        self.assertNotIn(b"connection: close", caller.received)
        self.bench.has_reports = False
        for _ in range(20):
            self.other.lag.add(1.5 * loop_lag.BUSY_S, 0.0)
        self.bench.exchange_reports()
        await asyncio.sleep(2 * offload.CHOICE_TTL_S)
        self.assertEqual((200, b"ok", True), await caller.ask("2"))
        self.assertIn(b"connection: close", caller.received)

    def set_idle_timeout(self, bench, timeout_s):
        """Applies another idle timeout."""
        table = bench.forwarder.table
        table.limits = dataclasses.replace(table.limits, idle_timeout_s=timeout_s)

    async def test_idle_timeout_of_the_router_with_the_connection_counts(self):
        """If the other router closed it, requests already read would be lost."""
        await self.start()
        caller = await self.busy.connect()
        await caller.ask("1")
        self.set_idle_timeout(self.other, 0.05)
        await caller.ask("2")
        await asyncio.sleep(0.4)
        self.assertEqual((200, b"ok", True), await caller.ask("3"))
        self.set_idle_timeout(self.busy, 0.05)
        self.assertEqual((200, b"ok", True), await caller.ask("4"))
        await caller.wait_closed()

    async def test_router_with_an_older_configuration_gets_no_more_requests(self):
        await self.start()
        caller = await self.busy.connect()
        await caller.ask("1")
        self.busy.apply_configuration(version=2)
        self.bench.exchange_reports()
        await asyncio.sleep(2 * offload.CHOICE_TTL_S)
        self.other.forwarder.table = None
        self.assertEqual((200, b"ok", True), await caller.ask("2"))
        self.assertEqual(1, self.bench.count_served_by(self.busy))

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

    async def test_offered_request_is_not_passed_on_again(self):
        await self.start()
        self.bench.has_reports = False
        for _ in range(20):
            self.other.lag.add(1.5 * loop_lag.BUSY_S, 0.0)
        self.other.view.apply(self.busy.view.take_report())
        self.assertEqual((200, b"ok", True), await self.busy.ask())
        self.assertEqual(1, self.bench.count_served_by(self.other))

    async def test_body_beyond_the_window_arrives_at_a_slow_caller(self):
        body = b"x" * 1_000_000

        async def script(request, stream):
            stream.write(entry_bench.make_response(request, body))

        await self.start(script)
        caller = await self.busy.connect()
        caller.send()
        await asyncio.sleep(0.3)
        self.assertEqual((200, body, True), await caller.receive())

    async def test_router_of_version_0_1_hands_no_connections_over(self):
        """It would send HTTP to the port for offers."""
        await self.start()
        status = self.other.router.describe_status()
        self.assertFalse(status.takes_connections)
        self.assertEqual(0, status.connection_port)
