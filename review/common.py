"""Stand-ins and tools that the review's scripts share.

Everything runs in the process of the script but the routers, which are started with the
command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
DEPLOY = ROOT / "deploy/system.toml"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
STRETCH_MAX_S = 5.0
DRAIN_S = 2.0
GRACE_S = 8.0
FRONT_PORT, READY_PORT = 8783, 8780
NETWORK = f"127.{20 + os.getpid() // 200 % 200}.{1 + os.getpid() % 200}"
HOST = "ficu95.example"


class CannotRunError(Exception):
    """The case cannot run here; nothing follows from it."""


class Record:
    """Writes what was sent, answered and run to `record.txt`.

    Args:
        folder: The folder of the case.
    """

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self._began_at = time.monotonic()

    def write(self, text):
        """Writes one line with the time since the start of the script."""
        self._file.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
        self._file.flush()


class Message:
    """An HTTP message.

    Attributes:
        first: The first line.
        headers: The headers by lower-case name; the last one counts.
        body: The body.
    """

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Reads the head of a message; returns None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text.decode("latin-1").split("\r\n")[:-2]
    pairs = [line.partition(":") for line in lines]
    return Message(first, {name.lower(): value.strip() for name, _, value in pairs})


async def read_message(reader):
    """Reads a message with a length, with chunks or without a body.

    Returns:
        The message, or None if the connection ended before its end.
    """
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                message.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            length = int(message.headers.get("content-length", 0))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return message


def encode(first, headers, body=b""):
    """Returns the bytes of a message with a length."""
    lines = [first, *[f"{n}: {v}" for n, v in headers.items()]]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


class TcpServer:
    """A server on a loopback address of its own, which can go away and come back.

    Attributes:
        host: Its address.
        port: Its port.
    """

    def __init__(self, host):
        self.host = host
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        """The address as `host:port`."""
        return f"{self.host}:{self.port}"

    async def open(self):
        """Starts to listen, on the same port as before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=500
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stops to listen and resets all connections, as a killed process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.handle(reader, writer)
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, reader, writer):
        """Serves one connection."""
        raise NotImplementedError


class Store(TcpServer):
    """The platform's store: keyed topics with one partition.

    `Store-Era` is in all answers. A read from an offset that the store doesn't have
    gets 410, as one from a deleted record does.
    """

    def __init__(self, host, record):
        super().__init__(host)
        self.era = 1
        self._record = record
        self._records_by_topic = {}
        self._changed = asyncio.Event()

    def put(self, topic, key, value):
        """Appends a record; a value of None removes the key. Returns its offset."""
        records = self._records_by_topic.setdefault(topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def copy(self):
        """Returns a copy of everything that is in the store."""
        return {topic: list(each) for topic, each in self._records_by_topic.items()}

    def restore(self, records_by_topic):
        """Goes back to a copy; the era rises by one."""
        self._records_by_topic = {t: list(r) for t, r in records_by_topic.items()}
        self.era += 1

    async def handle(self, reader, writer):
        """Serves one connection."""
        while (request := await read_message(reader)) is not None:
            writer.write(await self.serve(request))
            await writer.drain()

    async def serve(self, request):
        """Returns the answer to a call."""
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        status, body = await self._answer(f"{method} {path}", fields, request.body)
        headers = {"Store-Era": self.era, "Content-Type": "application/json"}
        return encode(f"HTTP/1.1 {status} X", headers, body)

    async def _answer(self, call, fields, body):
        topic = fields.get("Topic", "")
        match call:
            case "GET /v1/log-newest":
                return 200, self._list(topic)
            case "GET /v1/log-read":
                return await self._read(topic, fields)
            case "POST /v1/log-append" if topic not in ("keyed.op", "keyed.servers"):
                return 200, self._append(topic, body)
            case "POST /v1/log-append":
                return 403, b"{}"
        return 404, b"{}"

    def _list(self, topic):
        records = self._records_by_topic.setdefault(topic, [])
        newest = {key: (n, value) for n, (key, value) in enumerate(records)}
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": n}
            for key, (n, value) in sorted(newest.items())
            if value is not None
        ]
        answer = {"Items": items, "HasMore": False, "EndOffset": len(records)}
        return json.dumps(answer).encode()

    def _append(self, topic, body):
        size = body[4]
        key = body[5 : 5 + size].decode()
        offset = self.put(topic, key, body[5 + size :] or None)
        return json.dumps({"Offset": offset, "EndOffset": offset + 1}).encode()

    async def _read(self, topic, fields):
        start = int(fields["From"])
        wait_s = int(fields.get("WaitMs", 0)) / 1000
        until = time.monotonic() + wait_s
        while True:
            records = self._records_by_topic.setdefault(topic, [])
            if start > len(records):
                return 410, json.dumps({"FirstOffset": 0}).encode()
            left_s = until - time.monotonic()
            if start < len(records) or left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return 200, body


class Server(TcpServer):
    """A server of a service.

    Attributes:
        id: Its id.
        runs: The attempt ids of the requests that it has begun to work on, with times.
    """

    def __init__(self, host, server_id, service, zone, record):
        super().__init__(host)
        self.id = server_id
        self.service = service
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.runs = []
        self.work_s = 0.01
        self._seq = 0
        self._record = record

    def describe(self):
        """Returns the entry for the store."""
        self._seq += 1
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "1",
            "Slots": 8,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": self._seq,
            "born": self.born,
        }
        return json.dumps(entry).encode()

    def register(self, store):
        """Writes its entry."""
        store.put("keyed.servers", self.id, self.describe())

    async def beat(self, store, is_away):
        """Writes its entry every heartbeat until it is cancelled."""
        while True:
            if not is_away():
                self.register(store)
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, reader, writer):
        """Serves one connection."""
        while (request := await read_message(reader)) is not None:
            answer = await self.answer(request)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()

    async def answer(self, request):
        """Returns the answer to one request."""
        attempt = request.headers.get("teaselsill-attempt-id", "")
        headers = {"Teaselsill-Attempt-Id": attempt}
        if request.headers.get("teaselsill-expect-instance") != self.id:
            headers["Teaselsill-Instance-Id"] = self.id
            return encode("HTTP/1.1 421 Misdirected Request", headers)
        self.runs.append((attempt, time.monotonic()))
        self._record.write(f"run {attempt} at {self.id} of {self.service}")
        await asyncio.sleep(self.work_s)
        headers["Teaselsill-Server-Seal"] = f"seal.{attempt}"
        return encode("HTTP/1.1 200 OK", headers, f"body of {attempt}".encode())


class Router:
    """A router process, started with the command of the deploy file.

    Attributes:
        name: Its node name.
        host: Its address.
    """

    def __init__(self, number, store_address, folder, zone="a"):
        self.name = f"edge-{zone}-{number}"
        self.host = f"{NETWORK}.{40 + number}"
        self.process = None
        self._settings = folder / f"{self.name}.toml"
        self._settings.write_text(make_settings(self, zone, store_address))
        self._log_path = folder / f"{self.name}.log"

    async def start(self):
        """Starts the process."""
        run = tomllib.loads(DEPLOY.read_text())["roles"]["router"]["run"].split()
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        variables = {
            "TEASELSILL_CONFIG": str(self._settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *run, cwd=ROOT, env=kept | variables, stdout=log, stderr=log
            )

    async def wait_ready(self, within_s=20.0):
        """Waits until it says that it is ready."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if await self._ask_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready after {within_s} s")

    async def _ask_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, READY_PORT)
        except OSError:
            return False
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await read_message(reader)
            return answer is not None and " 200 " in answer.first
        finally:
            writer.close()

    def read_log(self):
        """Returns what it has logged."""
        return self._log_path.read_text(errors="replace")

    async def kill(self):
        """Kills the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


def make_settings(router, zone, store_address):
    """Returns a settings file as the platform writes it."""
    return f"""
Node = "{router.name}"
Role = "router"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{router.host}"
Zone = "{zone}"
Region = "r"
PortRange = [7400, 7415]
Seeds = []
FirstStart = true
InTolerance = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = {int(HEARTBEAT_S * 1000)}
[Zones]
a = "r"
[Listen]
Front = "{router.host}:{FRONT_PORT}"
Ready = "{router.host}:{READY_PORT}"
[Limits]
CpuShare = 0.817
Cores = 1
MemoryMb = 300
MaxFds = 4100
[Tolerate]
Machines = 1
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 3000
AckMs = 4000
DrainMs = {int(DRAIN_S * 1000)}
GraceS = {GRACE_S}
LossSlackMs = 200
ConfigApplyMs = {int(CONFIG_APPLY_S * 1000)}
RollbackSlackMs = 250
StretchMaxMs = {int(STRETCH_MAX_S * 1000)}
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetBurst = 54
[Platform]
Address = "{store_address}"
form = "log"
WritesPerS = 400
ReadsPerS = 2000
keep_s = 20
"""


def make_route(name, service, kind="idempotent", **fields):
    """Returns a route of a manifest, with the path prefix `/NAME/`."""
    route = {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Type": kind,
        "TimeoutMs": 800,
        "LatencyTargetMs": 150,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 2 if kind == "idempotent" else 1,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
    }
    return route | fields


def make_manifest(version, routes, services, keys_by_tenant):
    """Returns a manifest as the operator writes it."""
    manifest = {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": name, "HealthPath": "/health", "MaxConns": 100}
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
            "TokensPerS": 200000,
        },
        "Tenants": [
            {"Name": name, "ApiKeys": keys, "Priority": 1}
            for name, keys in keys_by_tenant.items()
        ],
    }
    return json.dumps(manifest).encode()


class Client:
    """Sends requests, each on a connection of its own.

    Args:
        record: Where requests and answers are written.
    """

    def __init__(self, record):
        self._record = record
        self._number = 0

    async def send(self, router, path, key, method="GET", budget_ms=1500):
        """Sends one request; returns its id, when it was sent, and its status or 0."""
        self._number += 1
        attempt = f"{self._number:06x}{random.getrandbits(40):010x}"
        sent_at = time.monotonic()
        self._record.write(f"send {attempt} {method} {path} to {router.name} key {key}")
        status = 0
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(budget_ms / 1000 + 1.0):
                status = await self._exchange(
                    router, path, key, method, budget_ms, attempt
                )
        self._record.write(f"answer {attempt} {status or 'none'} from {router.name}")
        return attempt, sent_at, status

    async def _exchange(self, router, path, key, method, budget_ms, attempt):
        reader, writer = await asyncio.open_connection(router.host, FRONT_PORT)
        headers = {
            "Host": HOST,
            "Teaselsill-Attempt-Id": attempt,
            "Teaselsill-Time-Budget-Ms": budget_ms,
            "Authorization": f"Bearer {key}",
        }
        try:
            writer.write(encode(f"{method} {path} HTTP/1.1", headers))
            answer = await read_message(reader)
        finally:
            writer.close()
        return int(answer.first.split(" ")[1]) if answer is not None else 0


def check_addresses():
    """Checks that the addresses of the run can be used.

    Raises:
        CannotRunError: They cannot.
    """
    for port in (FRONT_PORT, READY_PORT, 7400, 7401, 7402, 9464):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((f"{NETWORK}.40", port))
            except OSError as error:
                raise CannotRunError(f"{NETWORK}.40:{port}: {error}") from error


def main(case, file):
    """Runs a case and ends the script with its exit status.

    Args:
        case: A coroutine function that takes whether there is trouble, a record and a
            temporary folder, and returns whether the rule held.
        file: The script, which stands in the folder of the case.
    """
    folder = pathlib.Path(file).resolve().parent
    record = Record(folder)
    temporary = pathlib.Path(tempfile.mkdtemp())
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble {int(has_trouble)}")
    status = NOT_RUN
    try:
        check_addresses()
        if not (ROOT / "target/deps").is_dir():
            raise CannotRunError("target/deps is missing: build first")
        held = asyncio.run(case(has_trouble, record, temporary))
        status = HELD if held else BROKEN
    except Exception as error:
        record.write(f"cannot run: {error!r}")
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    verdict = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[status]
    record.write(f"verdict: {verdict}")
    print(verdict)
    sys.exit(status)
