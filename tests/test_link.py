import asyncio
import contextlib
import time
import unittest
from unittest import mock

import hypothesis
import msgpack
from hypothesis import strategies

from teaselsill import errors, ids, instances, link, messages, wire

SECRET = b"a secret that both sides know"
ROUTER = link.Identity("router-0", "run-r", instances.Role.ROUTER)
AGENT = link.Identity("agent-0", "run-a", instances.Role.AGENT)
HELLO = wire.pack(messages.Hello(messages.PROTOCOL_VERSION, bytes(link.NONCE_BYTES)))


class StubWriter:
    """Keeps the written bytes and whether the connection was aborted."""

    def __init__(self):
        self.written = b""
        self.is_aborted = False
        self.transport = self

    def write(self, data):
        self.written += data

    def abort(self):
        self.is_aborted = True


class Listener:
    """Accepts links and keeps the messages and errors of all of them."""

    def __init__(self):
        self.errors = asyncio.Queue()
        self.received = []
        self.host = "127.0.0.1"
        self.port = 0
        self._task_by_writer = {}

    async def accept(self, reader, writer):
        self._task_by_writer[writer] = asyncio.current_task()
        try:
            accepted = await link.accept(reader, writer, SECRET, AGENT)
            while True:
                self.received += await accepted.receive(lambda: True, lambda: 0)
        except errors.LinkError as error:
            self.errors.put_nowait(error)
        finally:
            writer.transport.abort()

    @contextlib.asynccontextmanager
    async def start(self):
        server = await asyncio.start_server(self.accept, self.host, 0)
        async with server:
            self.port = server.sockets[0].getsockname()[1]
            yield
            for writer in self._task_by_writer:
                writer.transport.abort()
            await asyncio.gather(*self._task_by_writer.values())


async def accept_bytes(data):
    """Returns the error of a side that accepts some bytes, and its writer."""
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    writer = StubWriter()
    try:
        await link.accept(reader, writer, SECRET, AGENT)
    except errors.LinkError as error:
        return error, writer
    return None, writer


class UnauthenticatedPeerTest(unittest.TestCase):
    """A peer that has not proved that it knows the secret gets at most a nonce."""

    def check(self, data):
        error, writer = asyncio.run(accept_bytes(data))
        self.assertIsInstance(error, errors.LinkError)
        self.assertTrue(writer.is_aborted)
        self.assertNotIn(AGENT.instance.encode(), writer.written)
        replies = wire.Unpacker().feed(writer.written)
        self.assertLessEqual(len(replies), 1)
        for message in replies:
            self.assertIsInstance(message, messages.Challenge)
        return error, replies

    @hypothesis.given(strategies.binary(max_size=300))
    def test_random_bytes(self, data):
        self.check(data)

    @hypothesis.given(strategies.binary(max_size=300))
    def test_random_bytes_after_the_hello(self, data):
        self.check(HELLO + data)

    @hypothesis.given(
        strategies.recursive(
            strategies.none() | strategies.integers(-(2**63), 2**64 - 1)
            | strategies.binary(max_size=9) | strategies.text(max_size=9)
            | strategies.floats(),
            lambda inner: strategies.lists(inner, max_size=5)
            | strategies.dictionaries(strategies.text(max_size=3), inner, max_size=3),
        ),
        strategies.booleans(),
    )  # fmt: skip
    def test_well_formed_msgpack_that_is_not_a_handshake(self, value, is_after_hello):
        hypothesis.assume(not isinstance(value, list) or value[:1] not in ([1], [3]))
        self.check((HELLO if is_after_hello else b"") + msgpack.packb(value))

    def test_other_protocol_version_gets_no_reply(self):
        hello = messages.Hello(messages.PROTOCOL_VERSION + 1, bytes(link.NONCE_BYTES))
        error, replies = self.check(wire.pack(hello))
        self.assertIsInstance(error, link.UnsupportedProtocolError)
        self.assertEqual([], replies)

    def test_short_nonce_gets_no_reply(self):
        hello = messages.Hello(messages.PROTOCOL_VERSION, b"")
        error, replies = self.check(wire.pack(hello))
        self.assertIsInstance(error, link.HandshakeError)
        self.assertEqual([], replies)

    def test_handshake_message_over_the_size_limit(self):
        hello = messages.Hello(
            messages.PROTOCOL_VERSION, bytes(link.MAX_HANDSHAKE_BYTES)
        )
        error, replies = self.check(wire.pack(hello))
        self.assertIsInstance(error, link.HandshakeError)
        self.assertEqual([], replies)


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.listener = Listener()
        await self.enterAsyncContext(self.listener.start())

    async def connect(self, secret=SECRET):
        host, port = self.listener.host, self.listener.port
        connected = await link.connect(host, port, secret, ROUTER)
        self.addCleanup(connected.abort)
        return connected

    async def test_sides_with_the_same_secret_identify_each_other(self):
        connected = await self.connect()
        self.assertEqual(AGENT, connected.peer)
        connected.send(messages.Demand("north", 1, 0))
        connected.send(messages.Ping(ids.NO_VERSION))
        async with asyncio.timeout(5):
            received = await connected.receive(lambda: True, lambda: ids.NO_VERSION)
        self.assertEqual([messages.Pong(0)], received)
        self.assertIn(messages.Demand("north", 1, 0), self.listener.received)

    async def test_wrong_secret(self):
        with self.assertRaises(link.PeerClosedError):
            await self.connect(b"another secret, quite as long")
        self.assertIsInstance(await self.listener.errors.get(), link.HandshakeError)

    async def test_handshake_that_stalls(self):
        with mock.patch.object(link, "HANDSHAKE_TIMEOUT_S", 0.05):
            _, writer = await asyncio.open_connection(
                self.listener.host, self.listener.port
            )
            since = time.monotonic()
            writer.write(HELLO[:5])
            self.assertIsInstance(
                await self.listener.errors.get(), link.PeerSilentError
            )
        self.assertLess(time.monotonic() - since, 1)
        writer.close()

    async def test_garbage_on_one_link_leaves_others_working(self):
        healthy = await self.connect()
        unknown_type = msgpack.packb([99, 1])
        wrong_field = msgpack.packb([7, "north", "many", 0])
        for data in (b"\xc1", b"\xff" * 5000, unknown_type, wrong_field):
            broken = await self.connect()
            broken._writer.write(data)
            error = await self.listener.errors.get()
            self.assertIsInstance(error, wire.MalformedMessageError)
        healthy.send(messages.Ping(ids.NO_VERSION))
        async with asyncio.timeout(5):
            received = await healthy.receive(lambda: True, lambda: ids.NO_VERSION)
        self.assertEqual([messages.Pong(0)], received)


class SilentPeerTest(unittest.IsolatedAsyncioTestCase):
    """A peer that sends nothing after the handshake is noticed.

    Sending a message can make an idle link busy while a read waits with the long
    timeout of an idle link; the read must then switch to the short one.
    """

    async def test_link_that_becomes_busy_during_an_idle_wait_is_watched_as_busy(self):
        async def serve(reader, writer):
            accepted = await link.accept(reader, writer, SECRET, AGENT)
            self.addCleanup(accepted.abort)

        is_busy = False
        async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
            port = server.sockets[0].getsockname()[1]
            connected = await link.connect("127.0.0.1", port, SECRET, ROUTER)
            self.addCleanup(connected.abort)
            with (
                mock.patch.object(link, "BUSY_PING_INTERVAL_S", 0.05),
                mock.patch.object(link, "BUSY_TIMEOUT_S", 0.1),
            ):
                receiving = asyncio.create_task(
                    connected.receive(lambda: is_busy, lambda: ids.NO_VERSION)
                )
                await asyncio.sleep(0.2)
                self.assertFalse(receiving.done())
                is_busy = True
                connected.send(messages.Demand("north", 1, 0))
                with self.assertRaises(link.PeerSilentError):
                    async with asyncio.timeout(2):
                        await receiving


class InvalidListenerTest(unittest.IsolatedAsyncioTestCase):
    """Connecting to a listener that does not complete the handshake fails."""

    async def check(self, reply, expected):
        async def serve(reader, writer):
            await reader.read(10)
            writer.write(reply)
            await reader.read()
            writer.close()

        async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
            port = server.sockets[0].getsockname()[1]
            with (
                mock.patch.object(link, "HANDSHAKE_TIMEOUT_S", 0.1),
                self.assertRaises(expected),
            ):
                await link.connect("127.0.0.1", port, SECRET, ROUTER)

    async def test_listener_that_sends_nothing(self):
        await self.check(b"", link.PeerSilentError)

    async def test_listener_that_sends_http(self):
        reply = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n"
        await self.check(reply, errors.LinkError)

    async def test_listener_that_does_not_know_the_secret(self):
        challenge = messages.Challenge(bytes(link.NONCE_BYTES))
        welcome = messages.Welcome(bytes(32), "agent-0", "run", instances.Role.AGENT)
        reply = wire.pack(challenge) + wire.pack(welcome)
        await self.check(reply, errors.LinkError)
        await self.check(wire.pack(challenge), link.PeerSilentError)

    async def test_listener_that_sends_too_much(self):
        await self.check(b"\xc6\x00\xf0\x00\x00" + bytes(100_000), errors.LinkError)
