import asyncio
import socket
import unittest

from starlette import applications, responses, routing

from standins import fleet
from teaselsill import http_protocol, servers


async def _respond(request):
    return responses.PlainTextResponse("hello")


class HttpServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        app = applications.Starlette(routes=[routing.Route("/", _respond)])
        port = fleet.find_free_port()
        self.server = servers.HttpServer(app, fleet.HOST, port)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.reader, self.writer = await asyncio.open_connection(fleet.HOST, port)
        self.addCleanup(self.writer.close)

    async def test_requests_on_a_persistent_connection(self):
        for _ in range(3):
            self.writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            response = await self.reader.readuntil(b"hello")
            self.assertTrue(response.startswith(b"HTTP/1.1 200"))

    async def test_pipelined_requests_do_not_add_up_to_a_large_head(self):
        request = (
            b"GET / HTTP/1.1\r\nHost: a\r\nX-Padding: " + b"x" * 4096 + b"\r\n\r\n"
        )
        count = http_protocol.MAX_HEAD_BYTES // len(request) + 4
        for _ in range(count):
            self.writer.write(request)
        for _ in range(count):
            await self.reader.readuntil(b"hello")

    async def test_small_writes_are_not_delayed(self):
        """asyncio sets this only for sockets that name their protocol."""
        self.writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await self.reader.readuntil(b"hello")
        (protocol,) = self.server._server.server_state.connections
        accepted = protocol.transport.get_extra_info("socket")
        self.assertTrue(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))

    async def test_endless_head_is_refused(self):
        self.writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nX-Padding: ")
        self.writer.write(b"x" * (http_protocol.MAX_HEAD_BYTES + 1))
        async with asyncio.timeout(5):
            response = await self.reader.read()
        self.assertTrue(response.startswith(b"HTTP/1.1 400"))
