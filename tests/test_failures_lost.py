import asyncio
import time
import unittest

from teaselsill import agent_pool, errors, messages, refusals
from tests import bench

COMPLETE_RESPONSE = (200, b"one two three")


class LostAgentTest(unittest.IsolatedAsyncioTestCase):
    """An agent that has a request is lost and does not come back."""

    async def begin(self, fleet, path, key="", deadline_s=5.0):
        """Starts a call; returns it and the agent that runs it and does not respond."""
        for member in fleet.agents:
            member.upstream.may_start.clear()
        call = asyncio.create_task(fleet.call(path, key, deadline_s))
        await fleet.wait_until_run(path)
        for member in fleet.agents:
            if not member.upstream.count_by_path[path]:
                member.upstream.may_start.set()
        return call, next(a for a in fleet.agents if a.upstream.count_by_path[path])

    async def outcome_of(self, call):
        with self.assertRaises(errors.RequestError) as caught:
            await call
        return refusals.describe(caught.exception).outcome

    async def test_unknown_outcome_is_not_reported_as_not_run(self):
        async with bench.Bench(agents=2) as fleet:
            call, holder = await self.begin(fleet, bench.ORDER, "key-1")
            fleet.log.down = True
            await holder.kill()
            self.assertEqual(messages.Outcome.UNKNOWN, await self.outcome_of(call))

    async def test_outcome_stays_unknown_at_the_deadline(self):
        async with bench.Bench() as fleet:
            call, holder = await self.begin(fleet, bench.LOOKUP, deadline_s=3.0)
            await holder.kill()
            self.assertEqual(messages.Outcome.UNKNOWN, await self.outcome_of(call))

    async def test_outcome_stays_unknown_when_no_agent_is_left(self):
        async with bench.Bench() as fleet:
            call, holder = await self.begin(fleet, bench.LOOKUP, deadline_s=60.0)
            await holder.kill()
            async with asyncio.timeout(3 * agent_pool.NO_AGENT_TIMEOUT_S):
                self.assertEqual(messages.Outcome.UNKNOWN, await self.outcome_of(call))

    async def test_waiting_for_a_response_ends_at_the_deadline(self):
        async with bench.Bench() as fleet:
            fleet.agents[0].upstream.may_go_on.clear()
            began_at = time.monotonic()
            call = asyncio.create_task(fleet.call(bench.ORDER, deadline_s=0.5))
            await fleet.wait_until_run(bench.ORDER)
            fleet.agents[0].relay.hold_new(True)
            fleet.agents[0].relay.silence()
            self.assertEqual(messages.Outcome.UNKNOWN, await self.outcome_of(call))
            self.assertLess(time.monotonic() - began_at, 0.5 + 2.0)

    async def test_lookup_is_retried_elsewhere_at_once(self):
        async with bench.Bench(agents=2) as fleet:
            call, holder = await self.begin(fleet, bench.LOOKUP)
            began_at = time.monotonic()
            await holder.kill()
            self.assertEqual(COMPLETE_RESPONSE, await call)
            self.assertLess(time.monotonic() - began_at, 1.0)


class NoAgentTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_is_refused_long_before_its_deadline(self):
        async with bench.Bench(agents=1) as fleet:
            await fleet.agents[0].kill()
            async with asyncio.timeout(2 * agent_pool.NO_AGENT_TIMEOUT_S):
                with self.assertRaises(agent_pool.NoAgentError) as caught:
                    await fleet.call(bench.LOOKUP, deadline_s=60.0)
            self.assertGreater(caught.exception.retry_after_s, 0)
            self.assertEqual(0, fleet.count(bench.LOOKUP))
