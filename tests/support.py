"""Helpers for tests of HTTP applications."""

import asyncio
import contextlib

import aiohttp
import msgspec
import uvicorn


class _Server(uvicorn.Server):
    """A server that installs no signal handlers and signals when it listens."""

    def __init__(self, config):
        super().__init__(config)
        self.listening = asyncio.Event()

    def capture_signals(self):
        return contextlib.nullcontext()

    async def startup(self, sockets=None):
        await super().startup(sockets)
        self.listening.set()


@contextlib.asynccontextmanager
async def serve(app):
    """Runs an ASGI application in the current event loop; yields its URL and server."""
    config = uvicorn.Config(
        app,
        host="127.0.0.1",
        port=0,
        log_level="critical",
        lifespan="off",
        timeout_graceful_shutdown=0,
    )
    server = _Server(config)
    task = asyncio.create_task(server.serve())
    try:
        await server.listening.wait()
        port = server.servers[0].sockets[0].getsockname()[1]
        yield f"http://127.0.0.1:{port}", server
    finally:
        server.should_exit = True
        await task


class HttpCase:
    """A test case mixin that starts an application and a client for each test."""

    def make_app(self):
        raise NotImplementedError

    async def asyncSetUp(self):
        self.url, _ = await self.enterAsyncContext(serve(self.make_app()))
        session = aiohttp.ClientSession(self.url)
        self.session = await self.enterAsyncContext(session)

    async def set_faults(self, **faults):
        async with self.session.put("/admin/faults", json=faults) as response:
            self.assertEqual(200, response.status)

    async def call(self, method, path, **arguments):
        """Sends a request and returns its status and decoded JSON body."""
        async with self.session.request(method, path, **arguments) as response:
            return response.status, msgspec.json.decode(
                await response.read() or b"null"
            )
