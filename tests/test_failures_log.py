import asyncio
import time
import unittest

from teaselsill import errors, log, messages, refusals
from tests import bench

RESPONSE = (200, b"one two three")
AT_ONCE_S = 0.5
"""The longest time of a call that does not wait for the log, in seconds."""


class SlowLog(log.MemoryLog):
    """A log with a configurable delay of appends."""

    delay_s = 0.0

    async def append(self, stream, data):
        await asyncio.sleep(self.delay_s)
        return await super().append(stream, data)


class LogTest(unittest.IsolatedAsyncioTestCase):
    """The log service fails while a key is claimed."""

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(bench.Bench(agents=2))

    async def refusal(self, path, key, deadline_s=5.0):
        with self.assertRaises(errors.RequestError) as caught:
            await self.fleet.call(path, key, deadline_s)
        return refusals.describe(caught.exception)

    async def test_log_down_during_the_claim(self):
        self.fleet.log.down = True
        began_at = time.monotonic()
        refusal = await self.refusal(bench.ORDER, "key-1")
        self.assertLess(time.monotonic() - began_at, AT_ONCE_S)
        self.assertEqual(messages.Outcome.NOT_RUN, refusal.outcome)
        self.assertEqual(503, refusal.status)
        self.assertGreaterEqual(refusal.retry_after_s, 1)
        self.assertEqual(0, self.fleet.count(bench.ORDER))
        self.assertEqual(RESPONSE, await self.fleet.call(bench.ORDER))
        self.assertEqual(RESPONSE, await self.fleet.call(bench.LOOKUP))

    async def test_request_runs_once_the_log_is_available_again(self):
        self.fleet.log.down = True
        await self.refusal(bench.ORDER, "key-1")
        self.fleet.log.down = False
        await asyncio.sleep(0.2)
        self.assertEqual(RESPONSE, await self.fleet.call(bench.ORDER, "key-1"))
        self.assertEqual(1, self.fleet.count(bench.ORDER))

    async def test_lost_replies_do_not_run_the_request_twice(self):
        self.fleet.log.lose_replies = True
        for _ in range(2):
            self.assertEqual(RESPONSE, await self.fleet.call(bench.ORDER, "key-1"))
        self.assertEqual(1, self.fleet.count(bench.ORDER))

    async def test_same_key_through_two_routers_and_agents_runs_once(self):
        other = self.fleet.make_router("router-1")
        for number in range(40):
            path = f"/orders/{number}"
            responses = await asyncio.gather(
                self.fleet.call(path, path),
                self.fleet.call(path, path, through=other),
                return_exceptions=True,
            )
            self.assertIn(RESPONSE, responses)
            self.assertEqual(1, self.fleet.count(path))
        await other.close()


class SlowLogTest(unittest.IsolatedAsyncioTestCase):
    """The log service takes seconds for an append."""

    async def asyncSetUp(self):
        self.fleet = bench.Bench(log_service=SlowLog())
        await self.enterAsyncContext(self.fleet)

    async def test_response_does_not_wait_for_its_record(self):
        upstream = self.fleet.agents[0].upstream
        upstream.may_go_on.clear()
        call = asyncio.create_task(self.fleet.call(bench.ORDER, "key-1"))
        await self.fleet.wait_until_run(bench.ORDER)
        self.fleet.log.delay_s = 2.0
        upstream.may_go_on.set()
        began_at = time.monotonic()
        self.assertEqual(RESPONSE, await call)
        self.assertLess(time.monotonic() - began_at, AT_ONCE_S)
        self.assertEqual(0, self.fleet.agents[0].agent.scheduler.slots.running)
        await self.fleet.agents[0].agent.leave()
        self.fleet.log.delay_s = 0.0
        page = await self.fleet.log.read_to_end(self.claims_stream(), 0)
        self.assertEqual(2, len(page.records))

    def claims_stream(self):
        return next(iter(self.fleet.log._records_by_stream))

    async def test_deadline_during_the_claim_is_reported_in_time(self):
        self.fleet.log.delay_s = 2.5
        began_at = time.monotonic()
        with self.assertRaises(errors.RequestError) as caught:
            await self.fleet.call(bench.ORDER, "key-1", deadline_s=0.5)
        self.assertLess(time.monotonic() - began_at, 0.5 + AT_ONCE_S)
        refusal = refusals.describe(caught.exception)
        self.assertEqual(messages.Outcome.NOT_RUN, refusal.outcome)
        self.assertEqual(0, self.fleet.count(bench.ORDER))
