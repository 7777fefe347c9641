import asyncio
import unittest

import uvloop

from teaselsill import listener, tcp_stream

HOST = "127.0.0.1"


class ResetTest(unittest.TestCase):
    """A reset of a connection that had just ended ended the whole process."""

    def run_on_all_loops(self, make_coroutine):
        for loop_factory in (asyncio.new_event_loop, uvloop.new_event_loop):
            with asyncio.Runner(loop_factory=loop_factory) as runner:
                runner.run(make_coroutine())

    async def connect(self):
        accepted = asyncio.get_running_loop().create_future()
        server = listener.Listener(HOST, 0, accepted.set_result)
        self.addCleanup(server.close)
        stream = await tcp_stream.connect(*server.address, 1.0)
        return stream, await accepted

    async def check_reset(self):
        stream, peer = await self.connect()
        stream.reset()
        with self.assertRaises(tcp_stream.ConnectionResetError):
            await peer.read()
        peer.abort()

    async def check_reset_after_the_end(self):
        stream, peer = await self.connect()
        stream.abort()
        await asyncio.sleep(0.01)
        stream.reset()
        peer.abort()

    def test_peer_sees_no_orderly_end(self):
        self.run_on_all_loops(self.check_reset)

    def test_connection_that_has_ended(self):
        self.run_on_all_loops(self.check_reset_after_the_end)
