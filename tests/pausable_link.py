"""A TCP relay that can be paused: what arrives meanwhile is delivered afterwards."""

import asyncio

HOST = "127.0.0.1"
READ_BYTES = 65_536


class PausableLink:
    """Relays connections to a port and holds back their bytes while it is paused.

    Args:
        target_port: The port to which connections are relayed.

    Attributes:
        port: The port on which it listens.
    """

    def __init__(self, target_port):
        self.port = 0
        self._target_port = target_port
        self._running = asyncio.Event()
        self._running.set()
        self._tasks = set()
        self._writers = []

    async def __aenter__(self):
        """Starts the relay."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc):
        """Closes all connections and stops the relay."""
        self._server.close()
        self.reset()

    def pause(self):
        """Holds back all bytes, in both directions."""
        self._running.clear()

    def resume(self):
        """Delivers what was held back."""
        self._running.set()

    def reset(self):
        """Resets all connections; what was held back is lost."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        target = await asyncio.open_connection(HOST, self._target_port)
        self._writers += [writer, target[1]]
        for source, sink in ((reader, target[1]), (target[0], writer)):
            task = asyncio.create_task(self._copy(source, sink))
            self._tasks.add(task)

    async def _copy(self, source, sink):
        try:
            while data := await source.read(READ_BYTES):
                await self._running.wait()
                sink.write(data)
                await sink.drain()
            await self._running.wait()
        except ConnectionError:
            pass
        finally:
            sink.close()
