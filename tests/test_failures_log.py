import asyncio
import time
import unittest

from teaselsill import errors, log, messages, refusals
from tests import bench

WHOLE = (200, b"one two three")
AT_ONCE_S = 0.5


class SlowLog(log.MemoryLog):
    """A log whose calls take long while it is told to."""

    delay_s = 0.0

    async def append(self, stream, data):
        await asyncio.sleep(self.delay_s)
        return await super().append(stream, data)


class LogTest(unittest.IsolatedAsyncioTestCase):
    """The log service fails around the claim of a key."""

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(bench.Bench(agents=2))

    async def refusal(self, path, key, deadline_s=5.0):
        with self.assertRaises(errors.RequestError) as caught:
            await self.fleet.call(path, key, deadline_s)
        return refusals.describe(caught.exception)

    async def test_down_at_the_claim(self):
        self.fleet.log.down = True
        began_at = time.monotonic()
        refusal = await self.refusal(bench.ORDER, "key-1")
        self.assertLess(time.monotonic() - began_at, AT_ONCE_S)
        self.assertEqual(messages.Outcome.NOT_RUN, refusal.outcome)
        self.assertEqual(503, refusal.status)
        self.assertGreaterEqual(refusal.retry_after_s, 1)
        self.assertEqual(0, self.fleet.count(bench.ORDER))
        self.assertEqual(WHOLE, await self.fleet.call(bench.ORDER))
        self.assertEqual(WHOLE, await self.fleet.call(bench.LOOKUP))

    async def test_runs_once_the_log_is_back(self):
        self.fleet.log.down = True
        await self.refusal(bench.ORDER, "key-1")
        self.fleet.log.down = False
        await asyncio.sleep(0.2)
        self.assertEqual(WHOLE, await self.fleet.call(bench.ORDER, "key-1"))
        self.assertEqual(1, self.fleet.count(bench.ORDER))

    async def test_replies_lost(self):
        self.fleet.log.lose_replies = True
        for _ in range(2):
            self.assertEqual(WHOLE, await self.fleet.call(bench.ORDER, "key-1"))
        self.assertEqual(1, self.fleet.count(bench.ORDER))

    async def test_same_key_through_two_routers_at_two_agents(self):
        other = self.fleet.make_router("router-1")
        for number in range(40):
            path = f"/orders/{number}"
            answers = await asyncio.gather(
                self.fleet.call(path, path),
                self.fleet.call(path, path, through=other),
                return_exceptions=True,
            )
            self.assertIn(WHOLE, answers)
            self.assertEqual(1, self.fleet.count(path))
        await other.close()


class SlowLogTest(unittest.IsolatedAsyncioTestCase):
    """The log service takes seconds for a call."""

    async def asyncSetUp(self):
        self.fleet = bench.Bench(log_service=SlowLog())
        await self.enterAsyncContext(self.fleet)

    async def test_answer_does_not_wait_for_its_record(self):
        upstream = self.fleet.agents[0].upstream
        upstream.may_go_on.clear()
        call = asyncio.create_task(self.fleet.call(bench.ORDER, "key-1"))
        await self.fleet.wait_until_run(bench.ORDER)
        self.fleet.log.delay_s = 2.0
        upstream.may_go_on.set()
        began_at = time.monotonic()
        self.assertEqual(WHOLE, await call)
        self.assertLess(time.monotonic() - began_at, AT_ONCE_S)
        self.assertEqual(0, self.fleet.agents[0].agent.scheduler.slots.running)
        await self.fleet.agents[0].agent.leave()
        self.fleet.log.delay_s = 0.0
        page = await self.fleet.log.read_to_end(self.claims_stream(), 0)
        self.assertEqual(2, len(page.records))

    def claims_stream(self):
        return next(iter(self.fleet.log._records_by_stream))

    async def test_deadline_at_the_claim_is_told_in_time(self):
        self.fleet.log.delay_s = 2.5
        began_at = time.monotonic()
        with self.assertRaises(errors.RequestError) as caught:
            await self.fleet.call(bench.ORDER, "key-1", deadline_s=0.5)
        self.assertLess(time.monotonic() - began_at, 0.5 + AT_ONCE_S)
        refusal = refusals.describe(caught.exception)
        self.assertEqual(messages.Outcome.NOT_RUN, refusal.outcome)
        self.assertEqual(0, self.fleet.count(bench.ORDER))
