"""Servers that run in the event loop of a daemon: HTTP, and connections of peers."""

import asyncio
import contextlib
import ssl

import uvicorn

from teaselsill import certificates, errors, http_protocol

START_POLL_S = 0.005
TLS_HANDSHAKE_TIMEOUT_S = 1.0


class ListenError(errors.TeaselsillError):
    """A port cannot be bound."""


async def listen(serve, host: str, port: int, tls=None) -> asyncio.Server:
    """Starts to accept connections of peers.

    Args:
        serve: The coroutine function that is called with the reader and the writer of
            each connection.
        host: The IP address to listen on.
        port: The TCP port.
        tls: An `ssl.SSLContext`, or None for plain TCP.

    Raises:
        ListenError: The port cannot be bound.
    """
    options = {}
    if tls is not None:
        options = {"ssl": tls, "ssl_handshake_timeout": TLS_HANDSHAKE_TIMEOUT_S}
    try:
        return await asyncio.start_server(serve, host, port, **options)
    except OSError as error:
        raise ListenError(f"cannot listen on {host}:{port}: {error}") from error


class Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Installs no signal handlers."""
        yield


class HttpServer:
    """Serves an ASGI application on a port.

    Args:
        app: The ASGI application.
        host: The IP address to listen on.
        port: The TCP port.
        tls: The TLS settings, or None for plain HTTP.

    Raises:
        CertificateError: A certificate file cannot be loaded.
    """

    def __init__(self, app, host: str, port: int, tls=None):
        self._address = f"{host}:{port}"
        options = {}
        if tls is not None:
            certificates.load_chain(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER), tls)
            options = {"ssl_certfile": tls.certificate, "ssl_keyfile": tls.key}
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            lifespan="off",
            http=http_protocol.Protocol,
            ws="none",
            log_config=None,
            log_level="warning",
            access_log=False,
            server_header=False,
            **options,
        )
        self._server = Server(config)
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the server and returns when it accepts connections.

        Raises:
            ListenError: The port cannot be bound.
        """
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise ListenError(f"cannot listen on {self._address}")
            await asyncio.sleep(START_POLL_S)

    async def stop(self) -> None:
        """Stops accepting connections and returns when every request is completed."""
        self._server.should_exit = True
        await self._task

    async def _serve(self) -> None:
        try:
            await self._server.serve()
        except SystemExit as error:
            raise ListenError(
                f"cannot listen on {self._address}: the port is taken or not allowed"
            ) from error
