import asyncio
import time
import unittest

from standins import relay
from teaselsill import messages, wire
from tests import bench

COMPLETE_RESPONSE = (200, b"one two three")
RECOVERY_S = 3.0
LEAVING = bench.DOCUMENT | {"leaving_upstreams": ["upstream-of-agent-0"]}


class CutTest(unittest.IsolatedAsyncioTestCase):
    """The connection is cut before or after each message of an exchange."""

    async def check(self, path, kind, action):
        async with bench.Bench() as fleet:
            cutting = bench.OnMessage(kind, action)
            fleet.agents[0].relay.inspect = cutting
            self.assertEqual(COMPLETE_RESPONSE, await fleet.call(path))
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
    """A connection stops carrying data, while new connections work."""

    async def test_replaced_at_each_step(self):
        steps = (messages.Demand, messages.Dispatch, messages.Body, messages.End)
        await asyncio.gather(*(self.check(kind) for kind in steps))

    async def check(self, kind):
        async with bench.Bench() as fleet:
            silencing = bench.OnMessage(kind, relay.Action.SILENCE)
            fleet.agents[0].relay.inspect = silencing
            began_at = time.monotonic()
            self.assertEqual(COMPLETE_RESPONSE, await fleet.call(bench.ORDER))
            self.assertLess(time.monotonic() - began_at, RECOVERY_S)
            self.assertTrue(silencing.done.is_set())
            self.assertEqual(1, fleet.count(bench.ORDER))


class PartitionTest(unittest.IsolatedAsyncioTestCase):
    """A network partition leaves one router and one agent on each side, then heals."""

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(bench.Bench(agents=2))
        self.other = self.fleet.make_router("router-1")
        self.addAsyncCleanup(self.other.close)
        self.routers = [self.fleet.router, self.other]
        for number, member in enumerate(self.fleet.agents):
            member.relay.inspect = _Partition(f"router-{1 - number}")

    async def call_on_both_sides(self, path, key=""):
        return await asyncio.gather(
            *(self.fleet.call(path, key, through=r) for r in self.routers),
            return_exceptions=True,
        )

    async def test_both_sides_serve_and_keys_run_once(self):
        for number in range(10):
            path = f"/orders/{number}"
            self.assertEqual(
                [COMPLETE_RESPONSE] * 2, await self.call_on_both_sides(bench.LOOKUP)
            )
            self.assertIn(COMPLETE_RESPONSE, await self.call_on_both_sides(path, path))
            self.assertEqual(1, self.fleet.count(path))
        self.assertEqual([10, 10], self.count_lookups())
        for member in self.fleet.agents:
            member.relay.inspect = relay.pass_all
        self.fleet.agents[0].follower.change(LEAVING)
        self.assertEqual(
            COMPLETE_RESPONSE, await self.fleet.call(bench.LOOKUP, deadline_s=10.0)
        )
        self.assertEqual([10, 11], self.count_lookups())

    def count_lookups(self):
        agents = self.fleet.agents
        return [a.upstream.count_by_path[bench.LOOKUP] for a in agents]


class _Partition:
    """Tells a relay to silence the connections of one router.

    Args:
        instance: The router's instance id.
    """

    def __init__(self, instance):
        self._instance = instance
        self._unpacker_by_connection = {}

    def __call__(self, connection, direction, data):
        if direction is not relay.Direction.TO_TARGET:
            return relay.Action.PASS
        unpacker = self._unpacker_by_connection.setdefault(connection, wire.Unpacker())
        for message in unpacker.feed(data):
            is_proof = isinstance(message, messages.Proof)
            if is_proof and message.instance == self._instance:
                return relay.Action.SILENCE
        return relay.Action.PASS
