"""Runs HTTP applications in the event loop of a daemon."""

import asyncio
import contextlib
import ssl

import uvicorn
from uvicorn.protocols.http import httptools_impl

from teaselsill import certificates, errors

START_POLL_S = 0.005
MAX_HEAD_BYTES = 64 * 1024
"""The largest request line with headers that is accepted."""
TLS_HANDSHAKE_TIMEOUT_S = 1.0


class ListenError(errors.TeaselsillError):
    """A port cannot be opened."""


async def listen(serve, host: str, port: int, tls=None) -> asyncio.Server:
    """Opens a port for connections between peers.

    Args:
        serve: The coroutine function that gets each connection's reader and writer.
        host: The IP number to listen on.
        port: The TCP port.
        tls: An `ssl.SSLContext`, or none.

    Raises:
        ListenError: The port cannot be opened.
    """
    options = {}
    if tls is not None:
        options = {"ssl": tls, "ssl_handshake_timeout": TLS_HANDSHAKE_TIMEOUT_S}
    try:
        return await asyncio.start_server(serve, host, port, **options)
    except OSError as error:
        raise ListenError(f"cannot listen on {host}:{port}: {error}") from error


class Protocol(httptools_impl.HttpToolsProtocol):
    """The HTTP protocol with a bound on the head of a request.

    The parser itself buffers a head of any size.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self._head_bytes = 0
        self._is_in_head = True

    def data_received(self, data: bytes) -> None:
        """Takes the next bytes of the connection; refuses a head that is too large."""
        if self._is_in_head:
            self._head_bytes += len(data)
        super().data_received(data)
        if self._is_in_head and self._head_bytes > MAX_HEAD_BYTES:
            self.send_400_response("The request's head is too large.")

    def on_headers_complete(self) -> None:
        """Starts the request; called by the parser."""
        self._is_in_head = False
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Ends the request; called by the parser."""
        self._head_bytes = 0
        self._is_in_head = True
        super().on_message_complete()


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

    Raises:
        CertificateError: A certificate file cannot be used.
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
            http=Protocol,
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
            ListenError: The port cannot be opened.
        """
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise ListenError(f"cannot listen on {self._address}")
            await asyncio.sleep(START_POLL_S)

    async def stop(self) -> None:
        """Takes no new connections and returns when every request is answered."""
        self._server.should_exit = True
        await self._task

    async def _serve(self) -> None:
        try:
            await self._server.serve()
        except SystemExit as error:
            raise ListenError(
                f"cannot listen on {self._address}: the port is taken or not allowed"
            ) from error
