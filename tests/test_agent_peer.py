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

SECRET = b"a secret that both sides know"
ROUTER = link.Identity("router-0", "run-r", instances.Role.ROUTER)
AGENT = link.Identity("agent-0", "run-a", instances.Role.AGENT)


class GarbageTest(unittest.IsolatedAsyncioTestCase):
    """A router connects again to an agent that has sent it garbage."""

    async def check_connects_again(self, garbage):
        accepted = asyncio.Queue()

        async def serve(reader, writer):
            connected = await link.accept(reader, writer, SECRET, AGENT)
            accepted.put_nowait(connected)
            connected.send(garbage)
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
            numbers = agent_peer.AttemptNumbers(ROUTER.incarnation)
            context = agent_peer.Context(
                ROUTER, SECRET, numbers, follower, metrics.Metrics("")
            )
            peer = agent_peer.AgentPeer(listed, context, backlog.Backlog(), id)
            async with asyncio.timeout(5):
                await accepted.get()
                await accepted.get()
            await peer.close()

    async def test_document_that_is_not_valid(self):
        await self.check_connects_again(messages.DocumentHandover(9, b"no document"))

    async def test_message_that_has_no_place(self):
        await self.check_connects_again(messages.Cancel("run-r:1"))
