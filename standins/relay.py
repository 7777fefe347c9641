"""A TCP relay that can reset, delay or silence its connections on purpose."""

import asyncio
import enum
import typing

READ_BYTES = 64 * 1024
DELAY_S = 0.15
"""How long the action `DELAY` holds data back, in seconds."""


class Direction(enum.Enum):
    """The direction in which data is sent."""

    TO_TARGET = "to-target"
    TO_CLIENT = "to-client"


class Action(enum.Enum):
    """What the relay does with a chunk of data and its connection.

    `CUT_BEFORE` and `CUT_AFTER` reset the connection before or after the data is sent.
    `SILENCE` holds back the data and all that follows in both directions, and
    `SILENCE_WAY` in the direction of the data only; the connection stays open.
    """

    PASS = "pass"
    CUT_BEFORE = "cut-before"
    CUT_AFTER = "cut-after"
    SILENCE = "silence"
    SILENCE_WAY = "silence-way"
    DELAY = "delay"


Inspector = typing.Callable[["Connection", Direction, bytes], Action]


def pass_all(connection, direction, data) -> Action:
    """Inspects nothing: passes all data on."""
    return Action.PASS


class Connection:
    """One relayed connection.

    Args:
        inspect: Decides what to do with each chunk of data before it is sent.
    """

    def __init__(self, inspect: Inspector):
        self._inspect = inspect
        self._not_silenced = asyncio.Event()
        self._not_silenced.set()
        self._writers: list[asyncio.StreamWriter] = []

    async def run(self, reader, writer, host: str, port: int) -> None:
        """Relays data until either side closes the connection."""
        self._writers.append(writer)
        try:
            await self._not_silenced.wait()
            target_reader, target_writer = await asyncio.open_connection(host, port)
            self._writers.append(target_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward(reader, target_writer, Direction.TO_TARGET)
                )
                group.create_task(
                    self._forward(target_reader, writer, Direction.TO_CLIENT)
                )
        except* OSError:
            pass
        finally:
            self.cut()

    def silence(self) -> None:
        """Holds back all data from now on, and the close of either side as well."""
        self._not_silenced.clear()

    def cut(self) -> None:
        """Resets the connection on both sides."""
        for writer in self._writers:
            writer.transport.abort()

    async def _forward(self, reader, writer, direction: Direction) -> None:
        while True:
            data = await reader.read(READ_BYTES)
            await self._not_silenced.wait()
            action = self._inspect(self, direction, data) if data else Action.PASS
            match action:
                case Action.CUT_BEFORE:
                    raise ConnectionResetError
                case Action.SILENCE:
                    self.silence()
                    await self._not_silenced.wait()
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
    """Listens on a port and relays its connections to another port.

    Args:
        host: The IP address of both ports.
        target_port: The port that connections are relayed to.
        port: The port to listen on; 0 for any free port.

    Attributes:
        port: The port that the relay listens on, once it has started.
        inspect: The inspector of connections that are accepted from now on.
    """

    def __init__(self, host: str, target_port: int, port: int = 0):
        self.port = port
        self.inspect: Inspector = pass_all
        self._host = host
        self._target_port = target_port
        self._is_holding_new = False
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._accept, self._host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Resets the open connections; new ones are relayed."""
        for connection in self._connections:
            connection.cut()

    def silence(self) -> None:
        """Silences the open connections for good; new ones are relayed."""
        for connection in self._connections:
            connection.silence()

    def hold_new(self, is_held: bool) -> None:
        """Sets whether new connections are silenced as soon as they are accepted."""
        self._is_holding_new = is_held

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        self._server.close()
        self.cut()

    async def _accept(self, reader, writer) -> None:
        connection = Connection(self.inspect)
        if self._is_holding_new:
            connection.silence()
        self._connections.add(connection)
        try:
            await connection.run(reader, writer, self._host, self._target_port)
        except asyncio.CancelledError:
            pass  # The event loop is closing; the server has no use for the error.
        finally:
            self._connections.discard(connection)
