"""Runs HTTP applications in the event loop of a daemon."""

import asyncio
import contextlib

import uvicorn

START_POLL_S = 0.005


class Server(uvicorn.Server):
    """A uvicorn server that leaves the signals to its daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Installs no signal handlers."""
        yield


class HttpServer:
    """One application on one port.

    Args:
        app: The ASGI application.
        host: The IP number to listen on.
        port: The TCP port.
        tls: The certificate settings, or none.
    """

    def __init__(self, app, host: str, port: int, tls=None):
        options = {}
        if tls is not None:
            options = {"ssl_certfile": tls.certificate, "ssl_keyfile": tls.key}
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            lifespan="off",
            log_config=None,
            log_level="warning",
            access_log=False,
            server_header=False,
            **options,
        )
        self._server = Server(config)
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Returns when the port is open.

        Raises:
            OSError: The port cannot be opened.
        """
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise OSError("the server did not start")
            await asyncio.sleep(START_POLL_S)

    async def stop(self) -> None:
        """Takes no new connections and returns when every request is answered."""
        self._server.should_exit = True
        await self._task

    async def _serve(self) -> None:
        try:
            await self._server.serve()
        except SystemExit as error:
            raise OSError("the port cannot be opened") from error
