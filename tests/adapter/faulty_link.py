"""A TCP proxy on loopback whose connections can be disturbed."""

import asyncio
import contextlib
import enum

HOST = "127.0.0.1"
DELAY_S = 0.15
"""What a delayed link adds to each piece that passes."""
PIECE_BYTES = 65536


class Fault(enum.Enum):
    """What is wrong with a link."""

    NONE = "none"
    DELAYED = "delayed"
    ONE_WAY = "one-way"
    SILENT = "silent"


class FaultyLink:
    """Passes the bytes of connections on, unless it has a fault.

    Connections that were silenced stay so when the fault ends; new ones work.

    Args:
        host: Where connections go.
        port: The port there.

    Attributes:
        port: The port that is listened on.
        fault: What is wrong.
    """

    def __init__(self, host, port):
        self.port = 0
        self.fault = Fault.NONE
        self._target = host, port
        self._server = None
        self._tasks = set()

    async def __aenter__(self):
        """Starts it."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc):
        """Ends all connections and stops."""
        self._server.close()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self):
        """Resets all connections; new ones work."""
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        other = None
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                other_reader, other = await asyncio.open_connection(*self._target)
                await self._pass_both(reader, writer, other_reader, other)
        finally:
            for ended in (writer, other):
                if ended is not None:
                    ended.transport.abort()

    async def _pass_both(self, reader, writer, other_reader, other):
        """Passes bytes on until one end leaves."""
        passing = [
            asyncio.create_task(self._pass(reader, other, is_back=False)),
            asyncio.create_task(self._pass(other_reader, writer, is_back=True)),
        ]
        try:
            await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in passing:
                task.cancel()
            await asyncio.gather(*passing, return_exceptions=True)

    async def _pass(self, reader, writer, is_back):
        while data := await reader.read(PIECE_BYTES):
            match self.fault:
                case Fault.DELAYED:
                    await asyncio.sleep(DELAY_S)
                case Fault.SILENT:
                    await asyncio.Event().wait()
                case Fault.ONE_WAY if is_back:
                    await asyncio.Event().wait()
            writer.write(data)
            await writer.drain()
