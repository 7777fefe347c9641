"""Runs the router role in this process, beside a store and an upstream of the test."""

import asyncio
import json
import os
import pathlib
import tempfile
import unittest

from adapter import router_role, settings

from teaselsill import http_messages, listener, tcp_stream
from tests import entry_bench
from tests.adapter import store_bench, test_manifest

KEY = "k1"
PATH = "/pufi791/1"
CONFIG_APPLY_S = 2.0


def find_host():
    """Returns an address of this process alone: the page of metrics has a fixed port.

    The processes that run the tests are forked after the modules are imported.
    """
    return f"127.{200 + os.getpid() // 200 % 50}.{1 + os.getpid() % 200}.9"


def find_free_port():
    listening = listener.Listener(find_host(), 0, lambda stream: None)
    port = listening.address[1]
    listening.close()
    return port


def make_manifest(version):
    return json.dumps(test_manifest.MANIFEST | {"Version": version}).encode()


async def respond_ok(request, stream):
    body = b"id: 1\ndata: x\n\n"
    fields = [
        ("teaselsill-attempt-id", request.get("teaselsill-attempt-id")),
        ("teaselsill-server-seal", "s"),
        ("content-length", str(len(body))),
    ]
    stream.write(http_messages.encode_head(200, "OK", fields) + body)


class RoleTestCase(unittest.IsolatedAsyncioTestCase):
    """A store, an upstream and a router, which `start` starts."""

    async def asyncSetUp(self):
        self.store = await self.enterAsyncContext(store_bench.KeyedStore())
        folder = tempfile.TemporaryDirectory()
        self.folder = self.enterContext(folder)
        self.server = entry_bench.ScriptedUpstream("i-1", respond_ok)
        await self.enterAsyncContext(self.server)

    def make_role(self):
        store = self.store.describe()
        self.front = find_free_port()
        self.ready = find_free_port()
        current = settings.Settings(
            node="edge-1",
            role="router",
            zone="a",
            heartbeat_ms=1200,
            ip=find_host(),
            port_range=(find_free_port(), 65535),
            listen=settings.Listen(
                f"{find_host()}:{self.front}", f"{find_host()}:{self.ready}"
            ),
            limits=settings.Limits(1.0, 1.0),
            bounds=settings.Bounds(2000.0, 2.0, 0.2, 10.0, 54.0, 1000 * CONFIG_APPLY_S),
            platform=settings.Platform(f"{store.host}:{store.port}"),
            zones={"a": "north", "b": "north"},
        )
        self.path = pathlib.Path(self.folder) / "settings.toml"
        return router_role.RouterRole(self.path, current)

    def start(self):
        self.role = self.make_role()
        running = asyncio.create_task(self.role.run())
        self.addAsyncCleanup(asyncio.gather, running, return_exceptions=True)
        self.addCleanup(running.cancel)
        return running

    def register(self, **fields):
        self.store.register(self.server, **fields)

    async def ask(self, port, path, **fields):
        stream = await tcp_stream.connect(find_host(), port, 1.0)
        caller = entry_bench.Caller(stream)
        try:
            caller.send(path=path, method="GET", **fields)
            return await caller.receive()
        finally:
            caller.abort()

    async def call(self):
        stream = await tcp_stream.connect(find_host(), self.front, 1.0)
        caller = entry_bench.Caller(stream)
        head = [
            ("host", "ficu95.example"),
            ("teaselsill-attempt-id", "9c41"),
            ("authorization", f"Bearer {KEY}"),
        ]
        caller.send_bytes(http_messages.encode_request("POST", PATH, head, b"x"))
        try:
            return await caller.receive()
        finally:
            caller.abort()

    async def wait_status(self, status, ask):
        async with asyncio.timeout(10.0):
            while True:
                try:
                    if (await ask())[0] == status:
                        return
                except tcp_stream.ConnectionFailedError:
                    pass  # Not listening yet.
                await asyncio.sleep(0.02)

    async def wait_ready(self, status):
        await self.wait_status(status, lambda: self.ask(self.ready, "/v1/ready"))
