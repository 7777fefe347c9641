"""A server whose responses do not end until the client closes the connection."""

import asyncio

HOST = "127.0.0.1"
BLOCK = b"x" * 65536
CLOSE_S = 10.0


class EndlessServer:
    """Answers each request with a start and then the same bytes again and again.

    Args:
        start: The first bytes of each response.
        block: The bytes that are repeated.

    Attributes:
        sent_bytes: How many bytes have been passed to the operating system.
        closed: How many connections clients have closed.
    """

    def __init__(self, start, block=BLOCK):
        self.sent_bytes = 0
        self.closed = 0
        self._start = start
        self._block = block
        self._server = None

    async def __aenter__(self):
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=500)
        return self

    async def __aexit__(self, *exc):
        """Stops listening."""
        self._server.close()

    @property
    def port(self):
        """The port that it listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def wait_closed(self):
        """Waits until a client has closed a connection."""
        async with asyncio.timeout(CLOSE_S):
            while not self.closed:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._start)
            while True:
                writer.write(self._block)
                await writer.drain()
                self.sent_bytes += len(self._block)
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed += 1
        finally:
            writer.close()


def make_chunk(data):
    """Returns a chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
