import asyncio
import unittest

from teaselsill import (
    http_messages,
    ids,
    listener,
    offload_messages,
    offload_server,
    tcp_stream,
    wire,
)
from tests import entry_bench

HEAD = http_messages.Head(200, "OK", [], http_messages.Framing.CHUNKED, True)


class OffloadServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.is_accepting = True
        self.version = ids.Version(1)
        self.sent = []
        self.cancelled = []
        self.received_at = None
        self.body = b"ok"
        self.server = offload_server.OffloadServer(
            self.serve, lambda: self.is_accepting, lambda: self.version
        )
        self.tasks = set()
        server_listener = listener.Listener(entry_bench.HOST, 0, self.accept)
        self.addCleanup(server_listener.close)
        self.stream = await tcp_stream.connect(*server_listener.address, 1.0)
        self.unpacker = wire.Unpacker(message_type=offload_messages.FromOther)
        self.received = []
        self.send(offload_messages.Hello(ids.InstanceId("busy")))

    def accept(self, stream):
        self.tasks.add(asyncio.create_task(self.server.serve_connection(stream)))

    async def serve(self, message, response, received_at):
        self.received_at = received_at
        self.assertEqual("busy", response.via)
        try:
            await response.confirm_send(ids.UpstreamId("u"))
            self.sent.append(message.target)
            await response.start(HEAD)
            await response.write(self.body)
            await response.write(self.body)
            await response.end()
        except asyncio.CancelledError:
            self.cancelled.append(message.target)
            raise

    def send(self, message):
        self.stream.write(wire.pack(message))

    def offer(self, number=0, age_s=0.0, version=1):
        self.send(
            offload_messages.Offer(
                number, "POST", f"/{number}", [], b"", age_s, ids.Version(version)
            )
        )

    async def receive(self, message_type):
        async with asyncio.timeout(2.0):
            while True:
                for message in self.received:
                    if isinstance(message, message_type):
                        self.received.remove(message)
                        return message
                data = await self.stream.read()
                if not data:
                    raise EOFError
                self.received += self.unpacker.feed(data)

    async def wait_for(self, condition):
        async with asyncio.timeout(2.0):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_request_is_sent_only_after_it_was_allowed(self):
        self.offer(age_s=1.0)
        await self.receive(offload_messages.SendWanted)
        await asyncio.sleep(0.05)
        self.assertEqual([], self.sent)
        self.send(offload_messages.SendAllowed(0))
        await self.receive(offload_messages.Head)
        end = await self.receive(offload_messages.End)
        self.assertTrue(end.is_complete)
        now = asyncio.get_running_loop().time()
        self.assertAlmostEqual(now - 1.0, self.received_at, delta=0.5)

    async def test_request_that_was_withdrawn_before_it_was_allowed_is_not_sent(self):
        """Both arrive at once after a pause of this router."""
        self.offer()
        await self.receive(offload_messages.SendWanted)
        self.stream.write(
            wire.pack(offload_messages.SendAllowed(0))
            + wire.pack(offload_messages.Withdrawn(0))
        )
        await self.wait_for(lambda: self.cancelled)
        self.assertEqual([], self.sent)

    async def test_stopping_router_declines(self):
        self.is_accepting = False
        self.offer()
        await self.receive(offload_messages.Declined)
        self.assertEqual([], self.sent)

    async def test_router_waits_for_the_configuration_of_the_offer(self):
        self.offer(version=2)
        await asyncio.sleep(0.03)
        self.version = ids.Version(2)
        await self.receive(offload_messages.SendWanted)

    async def test_router_with_an_older_configuration_declines(self):
        self.offer(version=2)
        await self.receive(offload_messages.Declined)

    async def test_response_waits_for_a_caller_who_does_not_read(self):
        self.body = b"x" * offload_server.WINDOW_BYTES
        self.offer()
        await self.receive(offload_messages.SendWanted)
        self.send(offload_messages.SendAllowed(0))
        await self.receive(offload_messages.Head)
        await self.receive(offload_messages.Data)
        await self.receive(offload_messages.Data)
        await asyncio.sleep(0.05)
        self.assertFalse(self.received)
        self.send(offload_messages.Consumed(0, offload_server.WINDOW_BYTES))
        await self.receive(offload_messages.End)

    async def test_requests_end_with_their_connection(self):
        for number in range(3):
            self.offer(number)
        await self.receive(offload_messages.SendWanted)
        self.stream.abort()
        await self.wait_for(lambda: len(self.cancelled) == 3)

    async def test_stopping_router_lets_the_other_one_close(self):
        """If it closed the connection itself, bytes on their way would reset it."""
        self.offer()
        await self.receive(offload_messages.SendWanted)
        self.server.announce_closing()
        self.server.announce_closing()
        await self.receive(offload_messages.Closing)
        self.send(offload_messages.SendAllowed(0))
        await self.receive(offload_messages.End)
        self.server.announce_closing()
        self.send(offload_messages.Consumed(0, 4))
        await asyncio.sleep(0.1)
        self.assertFalse(self.stream.is_closed_by_peer)
        closing = offload_messages.Closing
        self.assertFalse([m for m in self.received if isinstance(m, closing)])

    async def test_malformed_bytes_end_the_connection(self):
        self.stream.write(b"POST /x/1 HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(2.0):
            await self.stream.wait_closed_by_peer()
