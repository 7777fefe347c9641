import asyncio
import time
import unittest

from standins import relay
from teaselsill import messages
from tests import bench

WHOLE = (200, b"one two three")
RECOVERY_S = 3.0


class CutTest(unittest.IsolatedAsyncioTestCase):
    """The connection is cut at each step of the exchange."""

    async def check(self, path, kind, action):
        async with bench.Bench() as fleet:
            cutting = bench.OnMessage(kind, action)
            fleet.agents[0].relay.inspect = cutting
            self.assertEqual(WHOLE, await fleet.call(path))
            async with asyncio.timeout(1):
                await cutting.done.wait()
            self.assertEqual(1, fleet.count(path))

    async def test_each_step(self):
        for path in (bench.ORDER, bench.LOOKUP):
            for kind in (
                messages.Demand,
                messages.Grant,
                messages.Dispatch,
                messages.Head,
                messages.Body,
                messages.End,
                messages.Ack,
            ):
                for action in (relay.Action.CUT_BEFORE, relay.Action.CUT_AFTER):
                    with self.subTest(path=path, kind=kind.__name__, action=action):
                        await self.check(path, kind, action)


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    """A connection goes silent while new ones work."""

    async def test_replaced_at_each_step(self):
        steps = (messages.Demand, messages.Dispatch, messages.Body, messages.End)
        await asyncio.gather(*(self.check(kind) for kind in steps))

    async def check(self, kind):
        async with bench.Bench() as fleet:
            silencing = bench.OnMessage(kind, relay.Action.SILENCE)
            fleet.agents[0].relay.inspect = silencing
            began_at = time.monotonic()
            self.assertEqual(WHOLE, await fleet.call(bench.ORDER))
            self.assertLess(time.monotonic() - began_at, RECOVERY_S)
            self.assertTrue(silencing.done.is_set())
            self.assertEqual(1, fleet.count(bench.ORDER))
