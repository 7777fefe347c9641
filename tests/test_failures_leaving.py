import asyncio
import unittest

from standins import relay
from teaselsill import errors, messages, refusals
from tests import bench

STOP_S = 6.0


class LeavingAgentTest(unittest.IsolatedAsyncioTestCase):
    """An agent is stopped while a dispatch is in transit to it.

    The request must end as not run, and its upstream must not have received it.
    """

    async def test_dispatch_in_transit_is_not_lost(self):
        async with bench.Bench(agents=1) as fleet:
            member = fleet.agents[0]
            stopping = []

            def stop_at_dispatch(connection, direction, data):
                if detecting(connection, direction, data) is not relay.Action.PASS:
                    stopping.append(asyncio.create_task(self.stop(member)))
                return relay.Action.PASS

            detecting = bench.OnMessage(messages.Dispatch, relay.Action.CUT_BEFORE)
            member.relay.inspect = stop_at_dispatch
            with self.assertRaises(errors.RequestError) as caught:
                await fleet.call(bench.ORDER, deadline_s=1.5)
            refusal = refusals.describe(caught.exception)
            self.assertEqual(messages.Outcome.NOT_RUN, refusal.outcome)
            self.assertEqual(0, fleet.count(bench.ORDER))

    async def stop(self, member):
        await member.agent.leave()
        await member.agent.close()
        await member.kill()


class UnwantedResponseTest(unittest.IsolatedAsyncioTestCase):
    """The message that would let an agent discard a response is lost.

    The response then stays at the agent, but must not delay the agent's stop.
    """

    async def check(self, kind, call):
        async with bench.Bench() as fleet:
            member = fleet.agents[0]
            cutting = bench.OnMessage(kind, relay.Action.CUT_BEFORE)
            member.relay.inspect = cutting
            await call(fleet)
            async with asyncio.timeout(1):
                await cutting.done.wait()
            await fleet.call(bench.LOOKUP)
            async with asyncio.timeout(STOP_S):
                await member.agent.leave()

    async def test_lost_acknowledgement_does_not_delay_a_stop(self):
        await self.check(messages.Ack, lambda fleet: fleet.call(bench.ORDER))

    async def test_lost_cancellation_does_not_delay_a_stop(self):
        async def cancel_early(fleet):
            fleet.agents[0].upstream.may_go_on.clear()
            call = asyncio.create_task(fleet.call(bench.LOOKUP))
            await fleet.wait_until_run(bench.LOOKUP)
            call.cancel()
            await asyncio.wait([call])
            fleet.agents[0].upstream.may_go_on.set()

        await self.check(messages.Cancel, cancel_early)


class ClosingAgentTest(unittest.IsolatedAsyncioTestCase):
    """An agent is closed while a peer is connected and another is in its handshake."""

    async def test_connections_end_without_errors(self):
        found = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: found.append(context))
        async with bench.Bench() as fleet:
            await fleet.call(bench.LOOKUP)
            relay_port = fleet.agents[0].relay.port
            _, writer = await asyncio.open_connection(bench.HOST, relay_port)
            await fleet.agents[0].agent.close()
            serving = [t for t in asyncio.all_tasks() if "Agent." in str(t.get_coro())]
            for task in serving:
                task.cancel()
            await asyncio.sleep(0.05)
            writer.close()
        self.assertEqual([], serving)
        self.assertEqual([], found)
