import asyncio
import unittest

from starlette import applications, responses, routing

from standins import fleet
from teaselsill import http_protocol, memory_budget, process_memory, servers

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ROOM = 2 * http_protocol.MAX_HEAD_BYTES


class ProtocolTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.bodies = []
        self.headers = []
        self.may_respond = asyncio.Event()
        self.may_respond.set()
        app = applications.Starlette(
            routes=[
                routing.Route("/", self.respond, methods=["GET", "POST"]),
                routing.Route("/early", self.respond_early, methods=["POST"]),
            ]
        )
        port = fleet.find_free_port()
        self.server = servers.HttpServer(app, fleet.HOST, port)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.reader, self.writer = await asyncio.open_connection(fleet.HOST, port)
        self.addCleanup(self.writer.close)

    async def respond(self, request):
        self.bodies.append(await request.body())
        await self.may_respond.wait()
        self.headers.append(request.headers.raw)
        return responses.PlainTextResponse("hello")

    async def respond_early(self, request):
        return responses.PlainTextResponse("early")

    async def send(self, data):
        """Sends bytes and returns all that comes until the connection is closed."""
        self.writer.write(data)
        async with asyncio.timeout(5):
            try:
                return await self.reader.read()
            except ConnectionError:
                return b""

    async def check_refused(self, data):
        response = await self.send(data)
        self.assertIn(response[:12], (b"HTTP/1.1 400", b""))
        self.assertEqual([], self.bodies)

    async def test_trailers_are_dropped(self):
        self.writer.write(CHUNKED + b"1\r\na\r\n0\r\nx: y\r\n\r\n")
        await self.reader.readuntil(b"hello")
        self.assertEqual([b"a"], self.bodies)
        self.assertNotIn((b"x", b"y"), self.headers[0])

    async def test_trailers_without_end_are_refused(self):
        await self.check_refused(CHUNKED + b"1\r\na\r\n0\r\n" + b"x: y\r\n" * ROOM)

    async def test_trailer_without_end_is_refused(self):
        await self.check_refused(CHUNKED + b"1\r\na\r\n0\r\nx: " + b"y" * ROOM)

    async def test_chunk_extension_without_end_is_refused(self):
        await self.check_refused(CHUNKED + b"1;" + b"a" * ROOM)

    async def test_empty_lines_without_end_are_refused(self):
        await self.check_refused(b"\r\n" * ROOM)

    async def test_lines_without_end_are_refused(self):
        await self.check_refused(HEAD + b"a: b\r\n" * ROOM)

    async def test_trailers_after_the_response_close_the_connection(self):
        early = CHUNKED.replace(b"/ ", b"/early ", 1)
        self.writer.write(early)
        await self.reader.readuntil(b"early")
        self.assertEqual(b"", await self.send(b"0\r\n" + b"x: y\r\n" * ROOM))

    async def test_body_in_one_byte_chunks(self):
        self.writer.write(CHUNKED + b"1\r\na\r\n" * 100_000 + b"0\r\n\r\n")
        await self.reader.readuntil(b"hello")
        self.assertEqual([b"a" * 100_000], self.bodies)

    async def test_pipelined_requests_with_bodies_are_served_in_order(self):
        for number in range(1000):
            body = b"\r\n\r\n%d" % number
            self.writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        for _ in range(1000):
            await self.reader.readuntil(b"hello")
        self.assertEqual([b"\r\n\r\n%d" % n for n in range(1000)], self.bodies)

    async def test_pipelined_requests_wait_unparsed(self):
        self.may_respond.clear()
        self.writer.write((HEAD + b"Content-Length: 0\r\n\r\n") * 10_000)
        await asyncio.sleep(0.2)
        (protocol,) = self.server._server.server_state.connections
        self.assertEqual(1, len(protocol.pipeline))
        self.assertLessEqual(len(protocol._unparsed), 2 * http_protocol.READ_BYTES)
        self.may_respond.set()


class FullOwner(memory_budget.Owner):
    """Holds what it was given, whatever the budget says."""

    def pause_for_budget(self):
        pass

    def resume_for_budget(self):
        pass

    def refuse_for_budget(self):
        pass

    def measure_for_budget(self):
        return 0


class MemoryTest(unittest.IsolatedAsyncioTestCase):
    """Connections of one port share an account of 4 MB."""

    async def asyncSetUp(self):
        self.budget = memory_budget.MemoryBudget(4 * 1024 * 1024)
        self.read = []
        self.respond_to = None
        app = applications.Starlette(
            routes=[routing.Route("/", self.respond, methods=["POST"])]
        )
        self.port = fleet.find_free_port()
        server = servers.HttpServer(app, fleet.HOST, self.port, budget=self.budget)
        await server.start()
        self.addAsyncCleanup(server.stop)

    async def respond(self, request):
        if self.respond_to is not None:
            return await self.respond_to(request)
        self.read.append(len(await request.body()))
        return responses.PlainTextResponse("hello")

    async def connect(self, data):
        reader, writer = await asyncio.open_connection(fleet.HOST, self.port)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader

    async def test_unfinished_bodies_are_refused_and_others_served(self):
        body = HEAD + b"Content-Length: 1000000\r\n\r\n" + b"a" * 900_000
        flood = [await self.connect(body) for _ in range(20)]
        async with asyncio.timeout(10):
            first = await flood[0].read(12)
            small = await self.connect(HEAD + b"Content-Length: 5\r\n\r\nhello")
            answer = await small.readuntil(b"hello")
        self.assertEqual(b"HTTP/1.1 503", first)
        self.assertIn(b"200 OK", answer)
        self.assertLessEqual(self.budget.held_bytes, self.budget.limit_bytes)

    async def test_request_that_was_refused_is_not_passed_on(self):
        """Its client was told so, and it went on with a part of its body."""
        passed_on = []

        async def respond(request):
            connection = request.scope["state"][http_protocol.STATE_KEY]
            self.read.append(len(await request.body()))
            passed_on.append(connection.pass_on(request.scope))
            return responses.PlainTextResponse("ran")

        self.respond_to = respond
        reader, writer = await asyncio.open_connection(fleet.HOST, self.port)
        self.addCleanup(writer.close)
        writer.write(HEAD + b"Content-Length: 50000\r\n\r\n" + b"x" * 40_000)
        await self.wait_for(lambda: self.budget.held_bytes > 40_000)
        async with asyncio.timeout(10):
            other = self.budget.open(FullOwner())
            other.is_passed_on = True
            other.update(self.budget.limit_bytes - self.budget.held_bytes - 5000)
            writer.write(b"x" * 10_000)
            self.assertEqual(b"HTTP/1.1 503", (await reader.read())[:12])
        await asyncio.sleep(0.1)
        self.assertNotIn(True, passed_on)
        self.assertNotIn(40_000, self.read)

    async def test_largest_request_alone_is_served_with_the_least_memory(self):
        body = b"a" * (4 * 1024 * 1024)
        self.budget.limit_bytes = process_memory.find_client_bytes(1, len(body))
        lines = b"a:\r\n" * 16_000
        requests = [HEAD + lines, HEAD + b"Content-Length: %d\r\n" % len(body)]
        for request, sent in zip(requests, (b"", body), strict=True):
            reader = await self.connect(request + b"\r\n" + sent)
            async with asyncio.timeout(10):
                self.assertIn(b"200 OK", await reader.readuntil(b"hello"))
        self.assertEqual([0, len(body)], self.read)

    async def test_account_is_empty_after_the_response(self):
        reader = await self.connect(HEAD + b"Content-Length: 5\r\n\r\nhello")
        await reader.readuntil(b"hello")
        self.assertEqual([5], self.read)
        self.assertEqual(0, self.budget.held_bytes)

    async def test_account_is_empty_after_a_disconnect(self):
        _, writer = await asyncio.open_connection(fleet.HOST, self.port)
        writer.write(HEAD + b"Content-Length: 500000\r\n\r\n" + b"a" * 100_000)
        await self.wait_for(lambda: self.budget.held_bytes > 0)
        writer.close()
        await self.wait_for(lambda: self.budget.held_bytes == 0)

    async def wait_for(self, condition):
        for _ in range(500):
            if condition():
                return
            await asyncio.sleep(0.01)
        self.fail("not within 5 s")
