"""Requests that come while a router stops, at an upstream that takes its time."""

import asyncio
import dataclasses
import unittest

import aiohttp

from standins import fleet, shapes
from teaselsill import durations, rejections, routing_table, shutdown
from tests import entry_bench, test_routing_table

SLOW_S = 6.0
FAST_S = 0.5
LIMIT_S = 15.0
MOMENTS_S = (0.5, 2.0, 2.9, 3.1)
"""When requests are sent, after the stop has begun."""
STOP_S = 8.0


@dataclasses.dataclass(frozen=True)
class Result:
    """What became of one request.

    Attributes:
        status: The status; 0 if no head came.
        is_complete: Whether the response is complete.
        has_run: Whether it reached the upstream.
    """

    status: int
    is_complete: bool
    has_run: bool


class StopTest(unittest.IsolatedAsyncioTestCase):
    """A request was taken late and cut at the end of the grace, with no response."""

    async def start(self, took_s, repeat, **fields):
        async def answer(request, stream):
            await asyncio.sleep(took_s)
            stream.write(entry_bench.make_response(request))

        self.upstream = entry_bench.ScriptedUpstream("u", answer)
        bench = entry_bench.EntryBench(
            [self.upstream], repeat=repeat, **({"timeout_s": LIMIT_S} | fields)
        )
        await self.enterAsyncContext(bench)
        return bench

    async def stop(self, bench, moments_s=MOMENTS_S):
        """Stops a router while requests arrive on connections opened before."""
        callers = [await bench.connect() for _ in moments_s]
        sending = [
            asyncio.create_task(self.send(str(number), caller, moment_s))
            for number, (caller, moment_s) in enumerate(
                zip(callers, moments_s, strict=True)
            )
        ]
        # One response keeps each connection from being closed while it is idle.
        await asyncio.sleep(0)
        async with asyncio.timeout(STOP_S):
            await bench.router.stop()
        bench.router.close()
        return await asyncio.gather(*sending)

    async def send(self, number, caller, moment_s):
        await asyncio.sleep(moment_s)
        caller.send(number)
        status, _, is_complete = await caller.receive(STOP_S)
        has_run = number in [request.get("id") for request in self.upstream.requests]
        return Result(status, is_complete, has_run)

    async def test_order_that_may_not_end_in_time_is_not_taken(self):
        bench = await self.start(SLOW_S, routing_table.Repeat.NEVER)
        for result in await self.stop(bench):
            if result.status:
                self.assertEqual(Result(503, True, False), result)
            self.assertFalse(result.has_run)

    async def test_order_that_ends_in_time_is_taken(self):
        bench = await self.start(FAST_S, routing_table.Repeat.NEVER, timeout_s=1.5)
        *taken, _ = await self.stop(bench)
        self.assertEqual([Result(200, True, True)] * 3, taken)

    async def test_every_request_gets_a_response(self):
        for repeat in (routing_table.Repeat.FREELY, routing_table.Repeat.RESUME):
            with self.subTest(repeat=repeat):
                bench = await self.start(SLOW_S, repeat)
                bench.forwarder.shutdown.durations.note("r", SLOW_S / 4)
                *early, _ = await self.stop(bench)
                for result in early:
                    self.assertTrue(result.is_complete, result)
                    taken = {200, 502} if result.has_run else {503}
                    self.assertIn(result.status, taken)
                self.assertTrue(early[0].has_run)

    async def test_order_that_was_taken_before_gets_a_response(self):
        bench = await self.start(LIMIT_S, routing_table.Repeat.NEVER)
        caller = await bench.connect()
        caller.send("early")
        while not self.upstream.requests:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        receiving = asyncio.create_task(caller.receive(STOP_S))
        await self.stop(bench, moments_s=())
        status, _, is_complete = await receiving
        self.assertEqual((502, True), (status, is_complete))

    async def test_request_that_waits_gets_a_promise_that_it_has_not_run(self):
        bench = await self.start(FAST_S, routing_table.Repeat.NEVER)
        permission = asyncio.Event()

        async def wait(call):
            await permission.wait()

        bench.forwarder._chooser.choose = wait
        caller = await bench.connect()
        caller.send("early")
        receiving = asyncio.create_task(caller.receive(STOP_S))
        await asyncio.sleep(0.05)
        await self.stop(bench, moments_s=())
        status, _, is_complete = await receiving
        self.assertEqual((503, True), (status, is_complete))
        self.assertEqual([], self.upstream.requests)


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    """The decisions alone, replayed on a clock of the test."""

    def setUp(self):
        self.shutdown = shutdown.Shutdown()

    def takes(self, repeat, limit_s, now):
        route = test_routing_table.make_route(repeat=repeat)
        try:
            self.shutdown.check(route, limit_s, now)
        except rejections.RejectedError as error:
            self.assertEqual(rejections.Cause.STOPPING, error.cause)
            return False
        return True

    async def test_decisions_for_each_kind_of_request(self):
        repeats = routing_table.Repeat
        for _ in range(20):
            self.shutdown.durations.note("r", 2.0)
        self.assertTrue(self.takes(repeats.NEVER, 15.0, now=0.0))
        self.shutdown.begin(7.0)
        expected = {
            (repeats.NEVER, 15.0, 0.5): False,
            (repeats.NEVER, 1.5, 5.4): True,
            (repeats.NEVER, 1.5, 5.6): False,
            (repeats.FREELY, 15.0, 0.5): True,
            (repeats.RESUME, 15.0, 4.0): True,
            (repeats.RESUME, 15.0, 5.5): False,
            (repeats.RESUME, 1.0, 5.5): True,
        }
        taken = {case: self.takes(*case) for case in expected}
        self.assertEqual(expected, taken)
        self.shutdown.is_refusing = True
        self.assertFalse(self.takes(repeats.NEVER, 0.1, now=0.5))

    async def test_unknown_duration_counts_as_the_objective(self):
        """Routers that stop soon after their start rejected everything."""
        self.shutdown.begin(7.0)
        self.assertTrue(self.takes(routing_table.Repeat.FREELY, 15.0, now=6.7))
        self.assertFalse(self.takes(routing_table.Repeat.FREELY, 15.0, now=6.9))

    async def test_stop_shortens_what_has_begun(self):
        now = asyncio.get_running_loop().time()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(5.0), self.shutdown.limit(now + 60.0):
                self.shutdown.begin(now + 0.05)
                await asyncio.Event().wait()
        self.assertTrue(self.shutdown.is_over(now + 0.05))
        self.assertEqual(set(), self.shutdown._open)

    def test_duration_follows_what_is_seen(self):
        seen = durations.Durations()
        self.assertIsNone(seen.predict_s("r"))
        seen.note("r", 1.0)
        self.assertEqual(3.0, seen.predict_s("r"))
        for _ in range(50):
            seen.note("r", 2.0)
        self.assertAlmostEqual(2.0, seen.predict_s("r"), places=1)


class AgentPathTest(unittest.IsolatedAsyncioTestCase):
    """Processes of routers and agents: their stop waits for what they have taken."""

    SHAPE = shapes.Shape(
        ("oslo-a",),
        (shapes.ServiceShape("bookings", "plain", 1),),
        routers=1,
        accounts=1,
    )
    WORK_MS = 3000
    MOMENTS_S = (0.0, 0.1, 0.3, 1.0)
    """When orders are sent after the signal; the router listens on for 0.2 s."""

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(fleet.Fleet(self.SHAPE))
        self.router = self.fleet.with_role(fleet.Role.ROUTER)[0]

    async def order(self, number, moment_s):
        """Sends an order; returns its status and outcome, or None if none was taken."""
        await asyncio.sleep(moment_s)
        headers = self.fleet.request_headers(shapes.account_name(0))
        url = f"{self.router.url}/services/bookings/orders/{number}"
        try:
            async with self.fleet.session.post(
                url, headers=headers, params={"work_ms": self.WORK_MS}
            ) as response:
                await response.read()
                return response.status, response.headers["Teaselsill-Outcome"]
        except aiohttp.ClientConnectorError:
            return None

    async def count_runs(self):
        upstream = self.fleet.upstream_of(self.fleet.agents_of("bookings")[0])
        page = await self.fleet.get_json(f"{upstream.url}/admin/executions")
        return page["by_path"]

    async def stop(self, node):
        """Stops a process while an order runs and others arrive.

        Returns:
            The results by number; 0 is the order that runs already.
        """
        sending = [asyncio.create_task(self.order(0, 0.0))]
        await self.wait_until_running()
        sending += [
            asyncio.create_task(self.order(number, moment_s))
            for number, moment_s in enumerate(self.MOMENTS_S, 1)
        ]
        self.assertEqual(0, await self.fleet.stop(node))
        return dict(enumerate(await asyncio.gather(*sending)))

    async def wait_until_running(self):
        """Waits until an order runs in a slot of the agent."""
        agent = self.fleet.agents_of("bookings")[0]
        async with asyncio.timeout(10.0):
            while True:
                report = await self.fleet.get_json(f"{agent.admin_url}/report")
                if report["slots"]["busy"]:
                    return
                await asyncio.sleep(0.02)

    async def test_router_answers_what_it_has_taken(self):
        results = await self.stop(self.router)
        runs = await self.count_runs()
        for number, result in results.items():
            has_run = runs.get(f"/orders/{number}", 0)
            self.assertIn(result, [(200, "ran"), None])
            self.assertEqual(result is not None, bool(has_run))
        self.assertEqual((200, "ran"), results[0])

    async def test_agent_answers_what_it_has_taken(self):
        results = await self.stop(self.fleet.agents_of("bookings")[0])
        runs = await self.count_runs()
        for number, (_, outcome) in results.items():
            has_run = runs.get(f"/orders/{number}", 0)
            self.assertEqual(outcome == "ran", bool(has_run), results)
            self.assertIn(outcome, ("ran", "not-run"))
        self.assertEqual((200, "ran"), results[0])
