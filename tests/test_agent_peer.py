import asyncio
import unittest

from teaselsill import (
    agent_peer,
    backlog,
    configuration,
    errors,
    instances,
    link,
    log,
    messages,
    metrics,
)
from tests import bench

SECRET = b"a secret that both sides know"
ROUTER = link.Identity("router-0", "run-r", instances.Role.ROUTER)
AGENT = link.Identity("agent-0", "run-a", instances.Role.AGENT)


class InvalidMessageTest(unittest.IsolatedAsyncioTestCase):
    """A router reconnects to an agent that has sent it an invalid message."""

    async def check_reconnects(self, message):
        accepted = asyncio.Queue()

        async def serve(reader, writer):
            connected = await link.accept(reader, writer, SECRET, AGENT)
            accepted.put_nowait(connected)
            connected.send(message)
            try:
                await connected.receive(lambda: True, lambda: 0)
            except errors.LinkError:
                connected.abort()

        async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
            port = server.sockets[0].getsockname()[1]
            listed = instances.Instance(
                "agent-0", instances.Role.AGENT, "oslo-a", "127.0.0.1", port
            )
            follower = configuration.Follower(log.MemoryLog())
            attempt_ids = agent_peer.AttemptIds(ROUTER.incarnation)
            context = agent_peer.PeerContext(
                ROUTER, SECRET, attempt_ids, follower, metrics.Metrics("")
            )
            peer = agent_peer.AgentPeer(listed, context, backlog.Backlog(), id)
            async with asyncio.timeout(5):
                await accepted.get()
                await accepted.get()
            await peer.close()

    async def test_document_that_is_not_valid(self):
        await self.check_reconnects(messages.DocumentHandover(9, b"no document"))

    async def test_message_that_is_not_allowed(self):
        await self.check_reconnects(messages.Cancel("run-r:1"))


class DemandTest(unittest.IsolatedAsyncioTestCase):
    """The demand that a router announces to an agent that grants nothing."""

    async def asyncSetUp(self):
        self.announced = asyncio.Queue()
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        listed = instances.Instance(
            "agent-0",
            instances.Role.AGENT,
            "oslo-a",
            "127.0.0.1",
            server.sockets[0].getsockname()[1],
            service=bench.SERVICE,
            upstream="any",
        )
        follower = bench.FixedFollower()
        attempt_ids = agent_peer.AttemptIds(ROUTER.incarnation)
        context = agent_peer.PeerContext(
            ROUTER, SECRET, attempt_ids, follower, metrics.Metrics("")
        )
        self.backlog = backlog.Backlog()
        is_connected = asyncio.Event()
        self.peer = agent_peer.AgentPeer(
            listed, context, self.backlog, lambda _: is_connected.set()
        )
        self.addAsyncCleanup(self.peer.close)
        async with asyncio.timeout(5):
            await is_connected.wait()

    async def serve(self, reader, writer):
        connected = await link.accept(reader, writer, SECRET, AGENT)
        try:
            while True:
                for message in await connected.receive(lambda: True, lambda: 0):
                    if isinstance(message, messages.Demand):
                        self.announced.put_nowait(message.waiting)
        except errors.LinkError:
            connected.abort()

    async def wait_announced(self, expected):
        async with asyncio.timeout(5):
            self.assertEqual(expected, await self.announced.get())

    async def test_small_changes_are_not_announced(self):
        queued = []
        for expected in (1, 3, 7, 15):
            while len(queued) < expected:
                queued.append(self.backlog.add(bench.make_request("/x"), 100))
                self.peer.schedule_demand_update()
                await asyncio.sleep(0.02)
            await self.wait_announced(expected)
        self.assertTrue(self.announced.empty())

    async def test_end_of_the_wait_is_announced(self):
        queued = self.backlog.add(bench.make_request("/x"), 100)
        self.peer.schedule_demand_update()
        await self.wait_announced(1)
        self.backlog.remove(queued)
        self.peer.schedule_demand_update()
        await self.wait_announced(0)
