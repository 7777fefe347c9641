"""A TCP relay that can cut, delay or silence its connections."""

import asyncio
import enum
import typing

READ_BYTES = 64 * 1024
DELAY_S = 0.15
"""What a delay adds to some bytes."""


class Direction(enum.Enum):
    """Which way bytes go."""

    TO_TARGET = "to-target"
    TO_CLIENT = "to-client"


class Action(enum.Enum):
    """What an inspector has done with some bytes and their connection."""

    PASS = "pass"
    CUT_BEFORE = "cut-before"
    CUT_AFTER = "cut-after"
    SILENCE = "silence"
    SILENCE_WAY = "silence-way"
    DELAY = "delay"


Inspect = typing.Callable[["Connection", Direction, bytes], Action]


def pass_all(connection, direction, data) -> Action:
    """Lets everything pass."""
    return Action.PASS


class Connection:
    """One relayed connection.

    Args:
        inspect: Decides on all bytes before they are passed on.
    """

    def __init__(self, inspect: Inspect):
        self._inspect = inspect
        self._may_pass = asyncio.Event()
        self._may_pass.set()
        self._writers: list[asyncio.StreamWriter] = []

    async def run(self, reader, writer, host: str, port: int) -> None:
        """Relays until either side closes the connection."""
        self._writers.append(writer)
        try:
            await self._may_pass.wait()
            target_reader, target_writer = await asyncio.open_connection(host, port)
            self._writers.append(target_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._pump(reader, target_writer, Direction.TO_TARGET)
                )
                group.create_task(
                    self._pump(target_reader, writer, Direction.TO_CLIENT)
                )
        except* OSError:
            pass
        finally:
            self.cut()

    def silence(self) -> None:
        """Holds all bytes from now on, and the end of the connection too."""
        self._may_pass.clear()

    def cut(self) -> None:
        """Resets the connection on both sides."""
        for writer in self._writers:
            writer.transport.abort()

    async def _pump(self, reader, writer, direction: Direction) -> None:
        while True:
            data = await reader.read(READ_BYTES)
            await self._may_pass.wait()
            action = self._inspect(self, direction, data) if data else Action.PASS
            match action:
                case Action.CUT_BEFORE:
                    raise ConnectionResetError
                case Action.SILENCE:
                    self.silence()
                    await self._may_pass.wait()
                case Action.SILENCE_WAY:
                    await asyncio.Event().wait()
                case Action.DELAY:
                    await asyncio.sleep(DELAY_S)
            if not data:
                raise ConnectionResetError
            writer.write(data)
            await writer.drain()
            if action is Action.CUT_AFTER:
                raise ConnectionResetError


class Relay:
    """Listens on a port of its own and relays to another.

    Args:
        host: The address of both ports.
        target_port: Where the connections go.
        port: Where the relay listens; 0 for any free port.

    Attributes:
        port: Where the relay listens, once it has started.
        inspect: Decides on the bytes of connections that come from now on.
    """

    def __init__(self, host: str, target_port: int, port: int = 0):
        self.port = port
        self.inspect: Inspect = pass_all
        self._host = host
        self._target_port = target_port
        self._holds_new = False
        self._open: set[Connection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Opens the port."""
        self._server = await asyncio.start_server(self._accept, self._host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Resets the open connections; new ones work."""
        for connection in self._open:
            connection.cut()

    def silence(self) -> None:
        """Lets the open connections go silent for good; new ones work."""
        for connection in self._open:
            connection.silence()

    def hold_new(self, holds: bool) -> None:
        """Says whether new connections are accepted and stay silent."""
        self._holds_new = holds

    async def close(self) -> None:
        """Closes the port and all connections."""
        self._server.close()
        self.cut()

    async def _accept(self, reader, writer) -> None:
        connection = Connection(self.inspect)
        if self._holds_new:
            connection.silence()
        self._open.add(connection)
        try:
            await connection.run(reader, writer, self._host, self._target_port)
        except asyncio.CancelledError:
            pass  # The loop ends; the server has no use for the error.
        finally:
            self._open.discard(connection)
