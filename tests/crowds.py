"""Starts an entry router as a process of its own and sends it a crowd of connections.

Each connection of a crowd sends a fixed number of bytes and stays open, unless the
router closes it. The tests check that the process lives, its memory and descriptors,
and one ordinary request. They check no times, which depend on the machine's speed.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import socket
import subprocess
import sys
import tempfile
import unittest

from adapter import settings

from teaselsill import http_messages
from tests.adapter import store_bench, test_manifest

ROOT = pathlib.Path(__file__).parents[1]
HOST = f"127.{100 + os.getpid() // 200 % 50}.{1 + os.getpid() % 200}.8"
FRONT_PORT = 8783
READY_PORT = 8780
REPORT_PORT = 7400
OFFER_PORT = 7401
PERMIT_PORT = 7402
METRICS_PORT = 9464
MEMORY_MB = 100
"""The memory of the router's machine, from which the bound follows."""
MAX_FDS = 500
FILE_FDS = 200
"""How many of the descriptors are for files; sockets share the others."""
HEAD_BYTES = 16 * 1024
BODY_BYTES = 4 * 1024 * 1024
HEAD_TIMEOUT_MS = 8000
PART_BYTES = 16 * 1024
"""How many bytes a connection of a crowd sends at a time."""
PATIENCE_S = 120.0
"""No bound of a test: after this long, a test that hangs fails."""
SETTLED_S = 1.0
"""Upstreams whose sent bytes stay the same for this long have filled all buffers."""
NOT_RUN_STATUSES = {408, 421, 429, 503}
START = (
    b"POST /pufi791/1 HTTP/1.1\r\nHost: ficu95.example\r\n"
    b"Authorization: Bearer k1\r\nTeaselsill-Attempt-Id: 9c41\r\n"
)
"""The start of a head; the empty line is missing."""
SETTINGS = f"""
Node = "edge-1"
Role = "router"
Ip = "{HOST}"
Zone = "a"
PortRange = [{REPORT_PORT}, 7415]
HeartbeatMs = 1200
[Listen]
Front = "{HOST}:{FRONT_PORT}"
Ready = "{HOST}:{READY_PORT}"
[Limits]
CpuShare = 1.0
Cores = 1
MemoryMb = {MEMORY_MB}
MaxFds = {MAX_FDS}
[Bounds]
DrainMs = 2000
GraceS = 8
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetBurst = 54
[Platform]
Address = "STORE"
"""


def make_manifest():
    """Returns a manifest with one route, to a service without an engine."""
    route = test_manifest.MANIFEST["Routes"][1] | {
        "Service": "wuno96b",
        "Type": "idempotent",
        "TimeoutMs": 60000,
        "MaxAttempts": 1,
    }
    limits = test_manifest.MANIFEST["Limits"] | {
        "MaxHeaderBytes": HEAD_BYTES,
        "MaxBodyBytes": BODY_BYTES,
        "HeaderTimeoutMs": HEAD_TIMEOUT_MS,
    }
    service = {"Name": "wuno96b", "HealthPath": "/health", "MaxConns": 2000}
    fields = {"Routes": [route], "Services": [service], "Limits": limits}
    return json.dumps(test_manifest.MANIFEST | fields).encode()


class Upstream:
    """A stand-in for an upstream, which keeps nothing of the requests.

    Attributes:
        sent_bytes: How many bytes of responses it has sent.
        requests: How many requests it has received.
    """

    def __init__(self):
        self.sent_bytes = 0
        self.requests = 0
        self.released = asyncio.Event()

    async def start(self):
        """Starts listening."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2**20, backlog=1024
        )
        return self._server.sockets[0].getsockname()

    def close(self):
        """Stops listening."""
        self.released.set()
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"\r\ncontent-length: (\d+)", head)
                left = int(length[1]) if length else 0
                while left:
                    left -= len(await reader.read(min(left, 65536)) or b" " * left)
                self.requests += 1
                await self._respond(head, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _respond(self, head, writer):
        target = head.split(b" ", 2)[1]
        attempt = re.search(rb"teaselsill-attempt-id: (\S+)", head)[1].decode()
        parts = [b"ok"]
        if target.endswith(b"/held"):
            await self.released.wait()
        elif target.endswith(b"/large"):
            parts = [b"x" * 65536] * 64
        elif target.endswith(b"/small-chunks"):
            parts = [b"1\r\nx\r\n" * 8192] * 40
        is_chunked = target.endswith(b"/small-chunks")
        framing = (
            ("transfer-encoding", "chunked")
            if is_chunked
            else ("content-length", str(sum(len(part) for part in parts)))
        )
        fields = [
            ("teaselsill-attempt-id", attempt),
            ("teaselsill-server-seal", "s"),
            framing,
        ]
        writer.write(http_messages.encode_head(200, "OK", fields))
        for part in parts:
            writer.write(part)
            self.sent_bytes += len(part)
            await writer.drain()
        if is_chunked:
            writer.write(b"0\r\n\r\n")


class Crowd:
    """Connections that send fixed bytes and stay open.

    Args:
        port: The router's port.
        messages: What each connection sends: a list of pieces, or an iterable of it.
        receives: Whether the connections read what the router sends.
    """

    def __init__(self, port, messages, receives=True):
        self._port = port
        self._messages = messages
        self._receives = receives
        self._sockets = []
        self.closed = 0

    async def run(self):
        """Sends everything; returns when each has sent all or has been closed."""
        await asyncio.gather(*[self._send(message) for message in self._messages])

    def close(self):
        """Closes the connections."""
        for each in self._sockets:
            each.close()

    async def _send(self, pieces):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setblocking(False)
        if not self._receives:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        try:
            await loop.sock_connect(sock, (HOST, self._port))
            for piece in pieces:
                await loop.sock_sendall(sock, piece)
        except OSError:
            self.closed += 1


class CrowdTestCase(unittest.IsolatedAsyncioTestCase):
    """A router process with a stand-in store and upstream."""

    runs_alone = True
    memory_mb = MEMORY_MB
    max_fds = MAX_FDS

    async def asyncSetUp(self):
        self.upstream = Upstream()
        host, port = await self.upstream.start()
        self.addCleanup(self.upstream.close)
        store = await self.enterAsyncContext(store_bench.KeyedStore())
        store.put("keyed.op", "config", make_manifest())
        entry = {
            "Service": "wuno96b",
            "Address": f"{host}:{port}",
            "Zone": "a",
            "Version": "v1",
            "Slots": 2000,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
            "born": 1,
        }
        store.put("keyed.servers", "i-1", json.dumps(entry).encode())
        address = store.describe()
        self._start(f"{address.host}:{address.port}")
        await self._wait_ordinary()

    def _start(self, store_address):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        path = folder / "settings.toml"
        text = SETTINGS.replace("STORE", store_address)
        text = text.replace(f"MemoryMb = {MEMORY_MB}", f"MemoryMb = {self.memory_mb}")
        text = text.replace(f"MaxFds = {MAX_FDS}", f"MaxFds = {self.max_fds}")
        path.write_text(text)
        self.log = folder / "router.log"
        log = self.enterContext(self.log.open("wb"))
        self.process = subprocess.Popen(
            [sys.executable, str(ROOT / "platform/run.py"), "router"],
            env=os.environ | {settings.PATH_VARIABLE: str(path)},
            stdout=log,
            stderr=log,
        )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)

    async def press(self, messages, port=FRONT_PORT, receives=True):
        """Sends a crowd, checks the router and an ordinary request beside the crowd."""
        crowd = Crowd(port, messages, receives)
        self.addCleanup(crowd.close)
        async with asyncio.timeout(PATIENCE_S):
            await crowd.run()
        await self.wait_settled()
        self.check_process()
        await self._wait_ordinary()
        self.check_process()

    async def wait_settled(self):
        """Waits until the upstream can send no more."""
        before = -1
        while before != self.upstream.sent_bytes:
            before = self.upstream.sent_bytes
            await asyncio.sleep(SETTLED_S)

    def check_process(self):
        """Checks that the router lives and is within its memory and descriptors."""
        self.assertIsNone(self.process.poll(), "the router has ended")
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        peak_mb = int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024
        links = list_descriptors(self.process.pid)
        sockets = sum(link.startswith("socket:") for link in links)
        print(f"CROWD {self.id()}: peak {peak_mb:.0f} MB, {sockets} sockets")
        with self.subTest(bound="memory"):
            self.assertLess(peak_mb, self.memory_mb)
        with self.subTest(bound="sockets"):
            self.assertLessEqual(sockets, self.max_fds - FILE_FDS)
        with self.subTest(bound="descriptors"):
            self.assertLessEqual(len(links), self.max_fds)

    async def _wait_ordinary(self):
        """Sends an ordinary request, again while it is not run, until it gets 200."""
        async with asyncio.timeout(PATIENCE_S):
            while (status := await self._ask()) != 200:
                is_again = status is None or status in NOT_RUN_STATUSES | {404}
                self.assertTrue(is_again, f"status {status}")
                await asyncio.sleep(0.2)

    async def _ask(self):
        """Returns the status of an ordinary request; None without a response."""
        try:
            reader, writer = await asyncio.open_connection(HOST, FRONT_PORT)
        except OSError:
            return None
        try:
            body = b"x" * 12 * 1024
            length = b"Content-Length: %d\r\n\r\n" % len(body)
            writer.write(START + length + body)
            head = await reader.readuntil(b"\r\n\r\n")
            return int(head.split(b" ")[1])
        except (OSError, asyncio.IncompleteReadError):
            return None
        finally:
            writer.close()


def list_descriptors(pid):
    """Returns what the open descriptors of a process lead to."""
    links = []
    for each in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):
            links.append(os.readlink(each))
    return links


def repeat(start, piece, total):
    """Yields a start and then a piece again and again, `total` bytes of it."""
    yield start
    part = piece * max(1, PART_BYTES // len(piece))
    for _ in range(total // len(part)):
        yield part
