"""Crowds of clients without limits, and the processes that they meet."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import socket
import sys

import aiohttp

from standins import fleet, shapes
from teaselsill import settings

SERVICE = "bookings"
SLOTS = 256
SHAPE = shapes.Shape(
    ("oslo-a",),
    (shapes.ServiceShape(SERVICE, "plain", 1, SLOTS),),
    routers=1,
    accounts=2,
)
MEMORY_MB = 128
"""What each process may use, also the bound on its resident memory."""
MAX_BODY_BYTES = 1024 * 1024
MAX_FDS = 1024
FEW_FDS = 128
"""What each process may open where a crowd has more connections than that."""
SPARE_FDS = 32
"""By how much the system's limit is higher than the one in the settings."""
SENDING_S = 15.0
"""After this time a client that can't send any more just keeps its connection open."""
ANSWER_S = 60.0
"""An ordinary request that takes longer has no answer."""
SAMPLE_S = 0.05
PIECE_BYTES = 64 * 1024

WITH_LIMIT = """
import os, resource, sys
limit = int(sys.argv[1])
resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
os.execv(sys.argv[2], sys.argv[2:])
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Crowd:
    """Connections that all send the same bytes and read nothing.

    Attributes:
        port: The port that they connect to.
        connections: Their number.
        parts: What each sends, each part a number of times.
        stays_s: How long it stays before the ordinary request comes, in seconds.
    """

    port: int
    connections: int
    parts: tuple[tuple[bytes, int], ...]
    stays_s: float = 0.0


class LimitedFleet(fleet.Fleet):
    """A small fleet with a console, whose processes have limits.

    Args:
        max_fds: How many descriptors a process may open.
    """

    def __init__(self, max_fds: int = MAX_FDS):
        super().__init__(SHAPE, work_ms=1.0)
        self._max_fds = max_fds

    def _add_nodes(self):
        super()._add_nodes()
        settings_by_role = {"router": {"max_body_bytes": MAX_BODY_BYTES}}
        self._add_console()
        for node in [n for n in self.node_by_name.values() if n.listing]:
            role = node.listing["role"]
            self._limit(node, settings.MODEL_BY_ROLE[role], settings_by_role.get(role))

    def _add_console(self):
        node = self._add_instance("console", fleet.Role.ROUTER, "oslo-a", {})
        node.listing["role"] = "console"
        node.command[node.command.index("router")] = "console"

    def _limit(self, node, model, more):
        """Names the limits in the settings, as far as the role has such settings."""
        path = self.directory / f"{node.name}.json"
        wanted = {"memory_mb": MEMORY_MB, "max_fds": self._max_fds}
        known = {k: v for k, v in wanted.items() if k in model.model_fields}
        path.write_text(json.dumps(json.loads(path.read_text()) | known | (more or {})))
        limit = str(self._max_fds + SPARE_FDS)
        node.command[:0] = [sys.executable, "-c", WITH_LIMIT, limit]


class Watch:
    """Watches the descriptors of a process.

    Attributes:
        most_fds: The most that were open at a time.
    """

    def __init__(self, pid: int):
        self._pid = pid
        self.most_fds = 0

    async def run(self) -> None:
        """Counts the descriptors until it is cancelled."""
        while True:
            with contextlib.suppress(OSError):
                count = len(os.listdir(f"/proc/{self._pid}/fd"))
                self.most_fds = max(self.most_fds, count)
            await asyncio.sleep(SAMPLE_S)


@contextlib.asynccontextmanager
async def run(watches):
    """Runs watches until the end."""
    tasks = [asyncio.create_task(watch.run()) for watch in watches]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def read_peak_mb(pid: int) -> float:
    """Returns the largest resident memory that a process has had, in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"{pid} has ended")


@contextlib.asynccontextmanager
async def join(crowds):
    """Lets crowds connect and send; they stay connected until the end."""
    sockets = []
    clients = [
        asyncio.create_task(_send(crowd, sockets))
        for crowd in crowds
        for _ in range(crowd.connections)
    ]
    try:
        await asyncio.wait(clients, timeout=SENDING_S)
        await asyncio.sleep(max(crowd.stays_s for crowd in crowds))
        yield
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        for opened in sockets:
            opened.close()


async def _send(crowd, sockets):
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setblocking(False)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sockets.append(client)
    with contextlib.suppress(OSError):
        await loop.sock_connect(client, (fleet.HOST, crowd.port))
        for block, times in crowd.parts:
            data = memoryview(block * times)
            for start in range(0, len(data), PIECE_BYTES):
                await loop.sock_sendall(client, data[start : start + PIECE_BYTES])


async def fetch(url, headers=None):
    """Sends one ordinary request on a connection of its own; returns the status."""
    timeout = aiohttp.ClientTimeout(total=ANSWER_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.get(url, headers=headers) as response,
    ):
        await response.read()
        return response.status
