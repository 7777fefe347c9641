import asyncio

from teaselsill import connection_limit, http_messages, memory_budget
from tests import entry_bench, test_entry_router

MB = memory_budget.MB
LIMIT_BYTES = 4 * MB
BODY_BYTES = 900_000
"""Almost the largest body that the scripted upstream takes."""


def start_body(length=BODY_BYTES, request="1"):
    """Returns the head of a request with a body."""
    head = [("host", "a.example"), ("id", request), ("content-length", str(length))]
    return http_messages.encode_request("POST", "/x/1", head, b"").replace(
        b"content-length: 0", b"content-length: %d" % length
    )


class MemoryTest(test_entry_router.EntryCase):
    async def start_small(self, script=entry_bench.respond_ok):
        self.budget = memory_budget.MemoryBudget(LIMIT_BYTES)
        bench = await self.start(script, budget=self.budget, timeout_s=30.0)
        maintenance = asyncio.create_task(bench.router.run_maintenance())
        self.addCleanup(maintenance.cancel)
        return bench

    async def wait_for(self, condition):
        async with asyncio.timeout(5.0):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_received_bytes_are_counted_and_freed(self):
        bench = await self.start_small()
        caller = await bench.connect()
        caller.send_bytes(start_body() + b"x" * 500_000)
        await self.wait_for(lambda: self.budget.held_bytes >= 500_000)
        caller.send_bytes(b"x" * 400_000)
        self.assertEqual((200, b"ok", True), await caller.receive())
        caller.abort()
        await self.wait_for(lambda: self.budget.held_bytes < 1000)

    async def test_reading_pauses_and_the_unfinished_are_refused_as_not_run(self):
        bench = await self.start_small()
        callers = [await bench.connect() for _ in range(8)]
        for caller in callers:
            caller.send_bytes(start_body() + b"x" * 600_000)
        await self.wait_for(lambda: self.budget.is_pausing)
        self.assertLessEqual(self.budget.held_bytes, LIMIT_BYTES)
        await self.wait_for(lambda: not self.budget.is_pausing)
        for caller in callers:
            caller.send_bytes(b"x" * (BODY_BYTES - 600_000))
        statuses = [(await caller.receive())[0] for caller in callers]
        self.assertLessEqual(set(statuses), {0, 200, 503})
        self.assertIn(200, statuses)
        self.assertLess(len(self.upstream.requests), 8)
        self.assertEqual(statuses.count(200), len(self.upstream.requests))
        counted = bench.metrics.client_refusals.labels("no-memory")._value.get()
        self.assertEqual(8 - statuses.count(200), counted)

    async def test_large_request_is_refused_beside_many_that_were_passed_on(self):
        go_on = asyncio.Event()

        async def hold(request, stream):
            await go_on.wait()
            await entry_bench.respond_ok(request, stream)

        bench = await self.start_small(hold)
        callers = [await bench.connect() for _ in range(5)]
        for n, caller in enumerate(callers):
            caller.send(str(n), body=b"x" * BODY_BYTES)
        refused = bench.metrics.client_refusals.labels("no-memory")._value
        await self.wait_for(lambda: len(self.upstream.requests) + refused.get() == 5)
        passed_on = len(self.upstream.requests)
        self.assertGreaterEqual(passed_on, 1)
        self.assertGreaterEqual(refused.get(), 1)
        small = asyncio.create_task(bench.ask("9", body=b"x" * 12 * 1024))
        await self.wait_for(lambda: len(self.upstream.requests) == passed_on + 1)
        go_on.set()
        self.assertEqual(200, (await small)[0])
        statuses = [(await caller.receive())[0] for caller in callers]
        self.assertEqual(passed_on, statuses.count(200))
        self.assertLessEqual(set(statuses), {0, 200, 503})

    async def test_single_request_of_any_legal_size_is_served(self):
        self.budget = memory_budget.MemoryBudget(MB)
        bench = await self.start(budget=self.budget, timeout_s=30.0)
        self.assertEqual(200, (await bench.ask(body=b"x" * 400_000))[0])


class ConnectionsTest(test_entry_router.EntryCase):
    async def start_small(self, script=entry_bench.respond_ok):
        return await self.start(script, max_sockets=1, timeout_s=30.0)

    async def test_silent_connections_make_room(self):
        bench = await self.start_small()
        count = connection_limit.MIN_CONNECTIONS
        silent = [await bench.connect() for _ in range(2 * count)]
        self.assertEqual(200, (await bench.ask())[0])
        self.assertLessEqual(bench.router.caller_limit.count, count)
        for each in silent[:count]:
            await each.wait_closed()
        counted = bench.metrics.client_refusals.labels("no-connections")._value.get()
        self.assertGreaterEqual(counted, count)

    async def test_requests_in_progress_stay(self):
        go_on = asyncio.Event()

        async def hold(request, stream):
            await go_on.wait()
            await entry_bench.respond_ok(request, stream)

        bench = await self.start_small(hold)
        callers = [await bench.connect() for _ in range(8)]
        for n, caller in enumerate(callers):
            caller.send(str(n))
        async with asyncio.timeout(5.0):
            while len(self.upstream.requests) < 8:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        silent = [await bench.connect() for _ in range(100)]
        go_on.set()
        for caller in callers:
            self.assertEqual(200, (await caller.receive())[0])
        for each in silent:
            each.abort()

    async def test_requests_that_are_not_sent_leave_room(self):
        """They counted for two, and ordinary callers lost their connections."""
        bench = await self.start_small()
        count = connection_limit.MIN_CONNECTIONS - 4
        callers = [await bench.connect() for _ in range(count)]
        bench.router._forwarder.table = None
        for n, caller in enumerate(callers):
            caller.send(str(n))
        statuses = [(await caller.receive())[0] for caller in callers]
        self.assertEqual([503] * count, statuses)
        counted = bench.metrics.client_refusals.labels("no-connections")._value.get()
        self.assertEqual(0, counted)

    async def test_pages_are_served_beside_a_crowd_of_callers(self):
        bench = await self.start_small()
        bench.router.listen_for_page(
            entry_bench.HOST, 0, "/ready", bench.router.render_readiness
        )
        callers = [await bench.connect() for _ in range(100)]
        bench.port = bench.router.addresses[-1][1]
        self.assertEqual(200, (await bench.ask(path="/ready", method="GET"))[0])
        for each in callers:
            each.abort()
