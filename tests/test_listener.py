import asyncio
import unittest

from teaselsill import listener, tcp_stream

HOST = "127.0.0.1"


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    async def test_burst_is_accepted_at_once(self):
        streams = asyncio.Queue()
        server = listener.Listener(HOST, 0, streams.put_nowait)
        self.addCleanup(server.close)
        host, port = server.address
        callers = [await tcp_stream.connect(host, port, 1.0) for _ in range(50)]
        async with asyncio.timeout(5.0):
            accepted = [await streams.get() for _ in callers]
        for stream in [*callers, *accepted]:
            stream.abort()

    async def test_address_in_use(self):
        first = listener.Listener(HOST, 0, lambda stream: None)
        self.addCleanup(first.close)
        with self.assertRaisesRegex(listener.ListenError, str(first.address[1])):
            listener.Listener(HOST, first.address[1], lambda stream: None)

    async def test_closed_listener_accepts_no_connections(self):
        server = listener.Listener(HOST, 0, lambda stream: None)
        host, port = server.address
        server.close()
        server.close()
        with self.assertRaises(tcp_stream.ConnectionFailedError):
            await tcp_stream.connect(host, port, 1.0)
