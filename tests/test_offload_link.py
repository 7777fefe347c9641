import asyncio
import socket
import threading
import time
import unittest

from teaselsill import (
    caller_connection,
    http_messages,
    ids,
    listener,
    offload_link,
    offload_messages,
    tcp_stream,
    wire,
)
from tests import entry_bench

REQUEST = http_messages.Request("POST", "/x/1", [("id", "1")], b"body", True, "1.1")


class RecordedResponse(caller_connection.Response):
    """A response that is recorded instead of written."""

    is_wanted = True

    def __init__(self):
        super().__init__()
        self.calls = []

    async def start(self, head):
        """See `Response.start`."""
        self.calls.append(("start", head.status))

    async def write(self, data):
        """See `Response.write`."""
        self.calls.append(("write", data))

    async def end(self):
        """See `Response.end`."""
        self.calls.append(("end",))

    def abort(self):
        """See `Response.abort`."""
        self.calls.append(("abort",))

    async def send_error(self, status, headers):
        """See `Response.send_error`."""
        self.calls.append(("error", status))


class OtherRouter:
    """The other end of a link, which a test plays.

    Attributes:
        received: The messages of the busy router.
    """

    def __init__(self):
        self.received = []
        self.stream = None
        self._unpacker = wire.Unpacker(message_type=offload_messages.FromBusy)
        self._accepted = asyncio.get_running_loop().create_future()
        self.listener = listener.Listener(
            entry_bench.HOST, 0, self._accepted.set_result
        )

    async def receive(self, message_type):
        """Returns the next message of a type."""
        if self.stream is None:
            self.stream = await self._accepted
        async with asyncio.timeout(2.0):
            while True:
                for message in self.received:
                    if isinstance(message, message_type):
                        self.received.remove(message)
                        return message
                data = await self.stream.read()
                if not data:
                    raise EOFError
                self.received += self._unpacker.feed(data)

    def send(self, message):
        """Sends a message."""
        self.stream.write(wire.pack(message))


class OffloadLinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.other = OtherRouter()
        self.addCleanup(self.other.listener.close)
        stream = await tcp_stream.connect(*self.other.listener.address, 1.0)
        own, router = ids.InstanceId("busy"), ids.InstanceId("other")
        self.link = offload_link.OffloadLink(own, router, stream)
        self.running = asyncio.create_task(self.link.run())
        self.addCleanup(self.running.cancel)
        self.response = RecordedResponse()

    def serve(self, timeout_s=5.0, age_s=0.0):
        now = asyncio.get_running_loop().time()
        return asyncio.create_task(
            self.link.serve(
                REQUEST, self.response, now - age_s, now + timeout_s, ids.Version(7)
            )
        )

    async def test_offer_has_the_request_its_age_and_the_version(self):
        serving = self.serve(age_s=0.5)
        hello = await self.other.receive(offload_messages.Hello)
        offer = await self.other.receive(offload_messages.Offer)
        self.assertEqual("busy", hello.router)
        self.assertEqual(("POST", b"body"), (offer.method, offer.body))
        self.assertEqual(7, offer.version)
        self.assertAlmostEqual(0.5, offer.age_s, delta=0.2)
        serving.cancel()

    async def test_response_is_passed_on(self):
        serving = self.serve()
        offer = await self.other.receive(offload_messages.Offer)
        self.other.send(offload_messages.SendWanted(offer.number, "u"))
        await self.other.receive(offload_messages.SendAllowed)
        length = http_messages.Framing.LENGTH
        head = offload_messages.Head(offer.number, 200, "OK", [], length)
        self.other.send(head)
        self.other.send(offload_messages.Data(offer.number, b"ok"))
        self.other.send(offload_messages.End(offer.number, is_complete=True))
        self.assertEqual(offload_link.Served(), await serving)
        expected = [("start", 200), ("write", b"ok"), ("end",)]
        self.assertEqual(expected, self.response.calls)
        self.assertTrue(self.link.is_idle)

    async def test_withdrawn_request_is_never_allowed(self):
        """A router that was paused asks after the request has run elsewhere."""
        serving = self.serve()
        offer = await self.other.receive(offload_messages.Offer)
        self.assertEqual(offload_link.NotSent("no reply"), await serving)
        await self.other.receive(offload_messages.Withdrawn)
        self.other.send(offload_messages.SendWanted(offer.number, "u"))
        again = self.serve()
        await self.other.receive(offload_messages.Offer)
        allowed = offload_messages.SendAllowed
        self.assertFalse([m for m in self.other.received if isinstance(m, allowed)])
        again.cancel()

    async def test_loss_of_the_connection_before_the_request_was_allowed(self):
        serving = self.serve()
        await self.other.receive(offload_messages.Offer)
        self.other.stream.abort()
        self.assertIsInstance(await serving, offload_link.NotSent)
        self.assertTrue(self.link.is_lost)
        self.assertIsInstance(await self.serve(), offload_link.NotSent)

    async def test_loss_of_the_connection_after_the_request_was_allowed(self):
        serving = self.serve()
        offer = await self.other.receive(offload_messages.Offer)
        self.other.send(offload_messages.SendWanted(offer.number, "u"))
        await self.other.receive(offload_messages.SendAllowed)
        self.other.stream.abort()
        self.assertIsInstance(await serving, offload_link.BrokenOff)

    async def test_silence_after_the_request_was_allowed_ends_at_the_deadline(self):
        serving = self.serve(timeout_s=0.6)
        offer = await self.other.receive(offload_messages.Offer)
        self.other.send(offload_messages.SendWanted(offer.number, "u"))
        async with asyncio.timeout(1.0):
            self.assertIsInstance(await serving, offload_link.BrokenOff)
        await self.other.receive(offload_messages.Withdrawn)

    async def test_request_of_a_caller_that_leaves_is_withdrawn(self):
        serving = self.serve()
        offer = await self.other.receive(offload_messages.Offer)
        serving.cancel()
        withdrawn = await self.other.receive(offload_messages.Withdrawn)
        self.assertEqual(offer.number, withdrawn.number)

    async def test_request_of_a_caller_that_has_left_is_never_allowed(self):
        """The end of its connection is read after the other router's question."""
        serving = self.serve()
        offer = await self.other.receive(offload_messages.Offer)
        self.response.is_wanted = False
        self.other.send(offload_messages.SendWanted(offer.number, "u"))
        self.assertIsInstance(await serving, offload_link.NotSent)
        await self.other.receive(offload_messages.Withdrawn)
        allowed = offload_messages.SendAllowed
        self.assertFalse([m for m in self.other.received if isinstance(m, allowed)])

    async def test_rejection_is_passed_on(self):
        serving = self.serve()
        offer = await self.other.receive(offload_messages.Offer)
        self.other.send(offload_messages.Rejected(offer.number, 429, []))
        self.assertEqual(offload_link.Served(), await serving)
        self.assertEqual([("error", 429)], self.response.calls)

    async def test_response_that_is_broken_off_there(self):
        serving = self.serve()
        offer = await self.other.receive(offload_messages.Offer)
        self.other.send(offload_messages.SendWanted(offer.number, "u"))
        self.other.send(offload_messages.End(offer.number, is_complete=False))
        self.assertIsInstance(await serving, offload_link.BrokenOff)


def reply_at_once(server):
    """Plays another router in a thread of its own: asks to send each request."""
    connection, _ = server.accept()
    unpacker = wire.Unpacker(message_type=offload_messages.FromBusy)
    while data := connection.recv(65_536):
        for message in unpacker.feed(data):
            if isinstance(message, offload_messages.Offer):
                connection.sendall(
                    wire.pack(offload_messages.SendWanted(message.number, "u"))
                )
    connection.close()


class LateLoopTest(unittest.IsolatedAsyncioTestCase):
    """A router that is late itself does not take the other one for silent."""

    async def test_reply_that_waits_to_be_read_counts(self):
        server = socket.create_server((entry_bench.HOST, 0))
        self.addCleanup(server.close)
        playing = threading.Thread(target=reply_at_once, args=(server,))
        playing.start()
        stream = await tcp_stream.connect(*server.getsockname(), 1.0)
        link = offload_link.OffloadLink(
            ids.InstanceId("busy"), ids.InstanceId("other"), stream
        )
        running = asyncio.create_task(link.run())
        now = asyncio.get_running_loop().time()
        serving = asyncio.create_task(
            link.serve(REQUEST, RecordedResponse(), now, now + 2.0, ids.Version(7))
        )
        while not serving.done():
            time.sleep(1.2 * offload_link.OFFER_TIMEOUT_S)  # noqa: ASYNC251
            await asyncio.sleep(0)
        self.assertIsInstance(await serving, offload_link.BrokenOff)
        link.close()
        await running
        playing.join()
