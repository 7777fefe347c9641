import asyncio
import unittest

from standins import relay
from teaselsill import callers, errors, messages
from tests import bench


class LeavingAgentTest(unittest.IsolatedAsyncioTestCase):
    """An agent is told to stop while a dispatch is under way to it."""

    async def test_dispatch_under_way_is_not_lost(self):
        async with bench.Bench(agents=1) as fleet:
            member = fleet.agents[0]
            stopping = []

            def stop_at_dispatch(connection, direction, data):
                if watching(connection, direction, data) is not relay.Action.PASS:
                    stopping.append(asyncio.create_task(self.stop(member)))
                return relay.Action.PASS

            watching = bench.OnMessage(messages.Dispatch, relay.Action.CUT_BEFORE)
            member.relay.inspect = stop_at_dispatch
            with self.assertRaises(errors.RequestError) as caught:
                await fleet.call(bench.ORDER, deadline_s=1.5)
            refusal = callers.describe(caught.exception)
            self.assertEqual(messages.Outcome.NOT_RUN, refusal.outcome)
            self.assertEqual(0, fleet.count(bench.ORDER))

    async def stop(self, member):
        await member.agent.leave()
        await member.agent.close()
        await member.kill()
