import asyncio
import signal
import statistics
import time
import unittest

from soak import checks, failures, schedule, workload
from standins import fleet, shapes

SHAPE = shapes.Shape(
    ("oslo-a", "oslo-b"),
    (
        shapes.ServiceShape("engines", "completions", 2),
        shapes.ServiceShape("bookings", "plain", 2),
    ),
    routers=2,
    accounts=4,
)
LIST_LAG_S = 1.0
NEW_WORK_LIMIT_S = 3.0
REFUSAL_LIMIT_S = 0.5
SEED = 7


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """A small fleet of real processes under mixed load, with all checks of the soak."""

    async def asyncSetUp(self):
        deployment = fleet.Fleet(SHAPE, lag_s=LIST_LAG_S, is_relayed=True)
        self.fleet = await self.enterAsyncContext(deployment)
        self.workload = workload.Workload(self.fleet, SEED)
        self.checks = checks.Checker(self.fleet, self.workload.calls)
        self.failures = failures.FailureInjector(
            self.fleet, self.workload.balancer, self.checks
        )
        self.calls_task = asyncio.create_task(self.workload.run())
        self.addAsyncCleanup(self.finish_calls)
        await asyncio.sleep(0.5)

    async def finish_calls(self):
        self.workload.stop()
        await self.calls_task

    async def fail_step(self, *kinds, target=0, duration_s=1.0):
        injected = tuple(
            schedule.Failure(kind, target, 0.0, duration_s) for kind in kinds
        )
        await self.failures.run_step(schedule.Step(0.0, injected))

    async def check(self):
        await self.finish_calls()
        await asyncio.sleep(0.3)
        await self.checks.check_all()
        self.assertEqual([], self.checks.violations)

    def calls_since(self, began_at, kind):
        """Returns the calls of a kind, without retries of earlier orders."""
        earlier = {
            call.order_path for call in self.workload.calls if call.began_at < began_at
        }
        return [
            call
            for call in self.workload.calls
            if call.began_at >= began_at
            and call.kind is kind
            and not (call.order_path and call.order_path in earlier)
            and call.result is not workload.Result.CALLER_ABORTED
        ]

    async def count_runs(self, node):
        page = await self.fleet.get_json(f"{node.url}/admin/executions")
        return sum(page["by_request"].values())


class PlannedStopTest(FleetCase):
    async def test_rolling_stop_of_all(self):
        watching = asyncio.create_task(self.checks.watch_versions())
        for number in range(2):
            await self.fail_step(schedule.FailureKind.ROUTER_STOPPED, target=number)
        for number in range(4):
            await self.fail_step(schedule.FailureKind.AGENT_STOPPED, target=number)
        watching.cancel()
        await self.check()
        self.assertEqual(6, self.checks.checked_by_name["planned-stop-exits-0"])
        self.assertEqual(4, self.checks.checked_by_name["agent-stop-cuts-nothing"])
        self.assertEqual(2, self.checks.checked_by_name["router-stop-cuts-nothing"])


class FrozenAgentTest(FleetCase):
    async def test_resumes_after_its_replacement_has_started(self):
        await self.fail_step(
            schedule.FailureKind.AGENT_REPLACED, target=0, duration_s=3.0
        )
        await self.check()

    async def test_key_is_retried_elsewhere_meanwhile(self):
        agents = self.fleet.agents_of("bookings")
        number = 0
        for agent in agents:
            await self.fleet.set_faults(self.fleet.upstream_of(agent), delay_s=0.5)
        orders = [self.order(n) for n in range(8)]
        await asyncio.sleep(0.2)
        self.fleet.signal(agents[0], signal.SIGSTOP)
        retries = [self.order(n, router=1) for n in range(8)]
        all_outcomes = await asyncio.gather(*orders, *retries)
        self.fleet.signal(agents[0], signal.SIGCONT)
        await asyncio.sleep(1.5)
        pages = [
            await self.fleet.get_json(f"{node.url}/admin/executions")
            for node in map(self.fleet.upstream_of, agents)
        ]
        self.assertIn("ran", all_outcomes)
        for number in range(8):
            path = f"/orders/frozen-{number}"
            runs = sum(page["by_path"].get(path, 0) for page in pages)
            outcomes = {all_outcomes[number], all_outcomes[number + 8]}
            self.assertLessEqual(runs, 1, path)
            if "ran" in outcomes:
                self.assertEqual(1, runs, path)
            if outcomes == {"not-run"}:
                self.assertEqual(0, runs, path)
        await self.check()

    def order(self, number, router=0):
        return asyncio.create_task(self.send_order(number, router))

    async def send_order(self, number, router):
        node = self.fleet.with_role(fleet.Role.ROUTER)[router]
        headers = self.fleet.request_headers(shapes.account_name(0))
        headers |= {"Idempotency-Key": f"frozen-{number}", "Teaselsill-Deadline": "4"}
        url = f"{node.url}/services/bookings/orders/frozen-{number}"
        async with self.fleet.session.post(url, headers=headers) as response:
            await response.read()
            return response.headers["Teaselsill-Outcome"]


class LeavingTest(FleetCase):
    """A leaving upstream soon gets no new work, even if the instance list lags."""

    async def check_idle_after(self, node, began_at):
        await asyncio.sleep(began_at + NEW_WORK_LIMIT_S - time.monotonic())
        before = await self.count_runs(node)
        await asyncio.sleep(1.0)
        self.assertEqual(before, await self.count_runs(node))

    async def test_each_way(self):
        await self.fail_step(schedule.FailureKind.UPSTREAM_LEAVES, target=3)
        self.assertEqual(1, self.checks.checked_by_name["left-upstream-idle"])
        await self.leave_by_list()
        await self.leave_by_signal_with_log_and_list_down()
        await self.check()

    async def leave_by_list(self):
        agent = self.fleet.agents_of("bookings")[0]
        began_at = time.monotonic()
        await self.fleet.set_listing(agent, "leaving")
        await self.check_idle_after(self.fleet.upstream_of(agent), began_at)
        await self.fleet.set_listing(agent, "live")

    async def leave_by_signal_with_log_and_list_down(self):
        await asyncio.sleep(LIST_LAG_S)
        for name in ("log", "list"):
            await self.fleet.set_faults(self.fleet.node_by_name[name], down=True)
        agent = self.fleet.agents_of("engines")[0]
        began_at = time.monotonic()
        self.assertEqual(0, await self.fleet.stop(agent))
        await self.check_idle_after(self.fleet.upstream_of(agent), began_at)


class ConfigurationTest(FleetCase):
    async def test_racing_operators(self):
        watching = asyncio.create_task(self.checks.watch_versions())
        for _ in range(10):
            await self.fail_step(schedule.FailureKind.OPERATORS_RACE)
        watching.cancel()
        await self.check()
        self.assertEqual(10, self.checks.checked_by_name["one-winner"])


class LogDownTest(FleetCase):
    async def test_throughout(self):
        log = self.fleet.node_by_name["log"]
        await self.fleet.set_faults(log, down=True)
        await asyncio.sleep(1.0)
        began_at = time.monotonic()
        await asyncio.sleep(4.0)
        await self.check()
        for kind in workload.RequestKind:
            calls = self.calls_since(began_at, kind)
            is_keyed = kind is workload.RequestKind.KEYED_ORDER
            wanted = workload.Result.REFUSED if is_keyed else workload.Result.COMPLETE
            self.assertEqual({wanted}, {call.result for call in calls}, kind)
        for call in self.calls_since(began_at, workload.RequestKind.KEYED_ORDER):
            self.assertEqual(503, call.status)
            self.assertLess(call.ended_at - call.began_at, REFUSAL_LIMIT_S)


class StallTest(FleetCase):
    async def request_stream(self):
        router = self.fleet.with_role(fleet.Role.ROUTER)[0]
        headers = self.fleet.request_headers(shapes.account_name(0))
        request = {
            "model": "engines-model",
            "stream": True,
            "max_tokens": 60,
            "messages": [{"role": "user", "content": "a long answer"}],
        }
        url = router.url + "/v1/chat/completions"
        parts = []
        async with self.fleet.session.post(
            url, json=request, headers=headers
        ) as response:
            try:
                async for data in response.content.iter_any():
                    parts.append(data)
            except fleet.aiohttp.ClientError:
                return b"".join(parts), False
        return b"".join(parts), True

    async def test_stalled_stream_is_resumed(self):
        for agent in self.fleet.agents_of("engines"):
            node = self.fleet.upstream_of(agent)
            await self.fleet.set_faults(node, stall_after=10)
        began_at = time.monotonic()
        body, is_complete = await self.request_stream()
        self.assertLess(time.monotonic() - began_at, 5.0)
        self.assertTrue(is_complete)
        self.assertEqual(60, body.count(b'"delta"'))
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))
        await self.check()

    async def test_permanently_stalled_stream_ends_with_an_error(self):
        engines = map(self.fleet.upstream_of, self.fleet.agents_of("engines"))
        stalling = asyncio.create_task(self.stall_after_delay(list(engines)))
        began_at = time.monotonic()
        body, is_complete = await self.request_stream()
        await stalling
        self.assertLess(time.monotonic() - began_at, 15.0)
        self.assertFalse(is_complete)
        self.assertNotIn(b"[DONE]", body)
        self.assertIn(b'"error"', body)

    async def stall_after_delay(self, engines):
        await asyncio.sleep(0.1)
        for node in engines:
            await self.fleet.set_faults(node, stall=True)


class FloodTest(unittest.IsolatedAsyncioTestCase):
    """One client account sends far more than its share.

    The limits are multiples of the duration of calls that need no service, which is how
    long any response takes under the flood, on this machine and through this client.
    """

    async def asyncSetUp(self):
        deployment = fleet.Fleet(SHAPE, work_ms=40.0)
        self.fleet = await self.enterAsyncContext(deployment)
        self.refused = []
        self.refused_s = []
        self.unserved_s = []

    async def test_others_keep_their_pace(self):
        quiet_s = await self.measure_others()
        flooding = [asyncio.create_task(self.flood()) for _ in range(600)]
        flooding += [
            asyncio.create_task(self.call_without_service()) for _ in range(100)
        ]
        await asyncio.sleep(1.0)
        busy_s = await self.measure_others()
        for task in flooding:
            task.cancel()
        await asyncio.gather(*flooding, return_exceptions=True)
        self.assertTrue(self.refused)
        for status, headers in self.refused:
            self.assertEqual(429, status)
            self.assertEqual("not-run", headers["Teaselsill-Outcome"])
            self.assertIn("Retry-After", headers)
        unserved_s = statistics.median(self.unserved_s)
        self.assertLess(statistics.median(self.refused_s), 2 * unserved_s)
        longest_s = max(self.unserved_s)
        self.assertLess(max(self.refused_s), 2 * longest_s)
        print(f"others waited {busy_s:.3f} s, without the flood {quiet_s:.3f} s")
        self.assertLess(busy_s, quiet_s + 2 * longest_s)

    async def flood(self):
        while True:
            duration_s, status, headers = await self.send(0)
            if status != 200:
                self.refused.append((status, headers))
                self.refused_s.append(duration_s)
                await asyncio.sleep(0.5)

    async def call_without_service(self):
        """Sends calls that get a response without any service."""
        while True:
            duration_s, status, _ = await self.send(0, "/services/none/")
            self.assertEqual(404, status)
            self.unserved_s.append(duration_s)
            await asyncio.sleep(0.5)

    async def measure_others(self):
        """Returns the longest duration of some calls of the other client accounts."""
        longest_s = 0.0
        for _ in range(20):
            responses = await asyncio.gather(*(self.send(n) for n in (1, 2, 3)))
            self.assertEqual([200] * 3, [status for _, status, _ in responses])
            longest_s = max(longest_s, *(duration_s for duration_s, _, _ in responses))
        return longest_s

    async def send(self, account, path="/services/bookings/rooms/1"):
        router = self.fleet.with_role(fleet.Role.ROUTER)[0]
        headers = self.fleet.request_headers(shapes.account_name(account))
        began_at = time.monotonic()
        url = f"{router.url}{path}"
        async with self.fleet.session.get(url, headers=headers) as response:
            await response.read()
            return time.monotonic() - began_at, response.status, response.headers
