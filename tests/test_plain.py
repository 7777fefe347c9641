import asyncio
import contextlib
import time
import unittest

from teaselsill import document, plain, upstream

SERVICE = document.Service(name="bookings", kind=document.ServiceKind.PLAIN)


class FixedResponseServer:
    """Responds to every connection with fixed bytes and records what it received."""

    def __init__(self, reply):
        self.received = b""
        self._reply = reply

    async def serve(self, reader, writer):
        self.received = await reader.readuntil(b"\r\n\r\n")
        writer.write(self._reply)
        writer.close()

    @contextlib.asynccontextmanager
    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            yield plain.PlainUpstream(f"http://127.0.0.1:{port}")


def make_request(headers):
    return upstream.UpstreamRequest(
        "r1", "GET", "/x", headers, b"", time.monotonic() + 5, repeatable=True
    )


class HeadersTest(unittest.IsolatedAsyncioTestCase):
    """Header values are forwarded unchanged, held in memory as Latin-1."""

    async def exchange(self, headers, reply_header=b"X-A: b"):
        reply = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + reply_header
        raw = FixedResponseServer(reply + b"\r\n\r\n")
        async with raw.start() as client:
            events = [
                event async for event in client.run(make_request(headers), SERVICE)
            ]
            await client.close()
        return raw.received, dict(events[0].headers)

    async def test_responses_in_any_encoding(self):
        for value in ("Grünerløkka €".encode(), "Grünerløkka".encode("latin-1")):
            _, headers = await self.exchange([], b"X-Place: " + value)
            self.assertEqual(value, headers["X-Place"].encode("latin-1"))

    async def test_requests_in_any_encoding(self):
        for place, encoding in (("Grünerløkka €", "utf-8"), ("Årnes", "latin-1")):
            value = place.encode(encoding).decode("latin-1")
            received, _ = await self.exchange([("X-Place", value)])
            self.assertIn(f"X-Place: {place}\r\n".encode(), received)

    async def test_accept_encoding_is_not_added(self):
        received, _ = await self.exchange([("Accept", "text/plain")])
        self.assertNotIn(b"accept-encoding", received.lower())
        self.assertEqual(1, received.lower().count(b"accept:"))
