"""Servers that run in the event loop of a daemon: HTTP, and connections of peers."""

import asyncio
import contextlib
import socket
import ssl
import time

import uvicorn

from teaselsill import (
    certificates,
    errors,
    http_connections,
    http_protocol,
    memory_budget,
    metrics,
    passed_on,
    tls_gate,
)

START_POLL_S = 0.005
ACCEPT_BATCH = 4
"""How many connections are accepted before the ones too many are closed."""
LISTEN_BACKLOG = 1024
"""How many connections wait to be accepted."""
SWEEP_INTERVAL_S = 0.25
"""How often the memory and the connections that do nothing are checked."""
DEFAULT_MAX_CONNECTIONS = 10_000
"""How many connections a port may have if nothing is set."""
TLS_HANDSHAKE_TIMEOUT_S = 1.0


class ListenError(errors.TeaselsillError):
    """A port cannot be bound."""


def open_socket(host: str, port: int) -> socket.socket:
    """Binds a port.

    asyncio accepts as many connections at once as its backlog says, before any of them
    is seen. So it gets a small one, and the socket a larger one afterwards.

    Args:
        host: The IP address.
        port: The TCP port.

    Raises:
        ListenError: The port cannot be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio delays small writes unless the socket names its protocol.
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            bound.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        bound.bind((host, port))
        return bound
    except OSError as error:
        bound.close()
        raise ListenError(f"cannot listen on {host}:{port}: {error}") from error


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
    options = {"sock": open_socket(host, port), "backlog": ACCEPT_BATCH}
    if tls is not None:
        options |= {"ssl": tls, "ssl_handshake_timeout": TLS_HANDSHAKE_TIMEOUT_S}
    server = await asyncio.start_server(serve, **options)
    options["sock"].listen(LISTEN_BACKLOG)
    return server


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
        max_connections: How many connections may be open.
        sink: Receives the metrics.
        budget: The account of the memory of the process.

    Raises:
        CertificateError: A certificate file cannot be loaded.
    """

    def __init__(
        self,
        app,
        host: str,
        port: int,
        tls=None,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        sink: metrics.Metrics | None = None,
        budget: memory_budget.MemoryBudget | None = None,
    ):
        self._host = host
        self._port = port
        self._sink = sink or metrics.Metrics()
        self._budget = budget or memory_budget.MemoryBudget()
        self._connections = http_connections.Connections(max_connections)
        self._requests = passed_on.PassedOn(self._budget.limit_bytes)
        self._context = None
        if tls is not None:
            self._context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            certificates.load_chain(self._context, tls)
        config = uvicorn.Config(
            app,
            lifespan="off",
            backlog=ACCEPT_BATCH,
            http=self._make_protocol,
            ws="none",
            proxy_headers=False,
            log_config=None,
            log_level="warning",
            access_log=False,
            server_header=False,
        )
        self._server = Server(config)
        self._task: asyncio.Task | None = None
        self._sweep_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the server and returns when it accepts connections.

        Raises:
            ListenError: The port cannot be bound.
        """
        listening = open_socket(self._host, self._port)
        self._task = asyncio.create_task(self._server.serve([listening]))
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise ListenError(f"cannot listen on {self._host}:{self._port}")
            await asyncio.sleep(START_POLL_S)
        listening.listen(LISTEN_BACKLOG)
        self._sweep_task = asyncio.create_task(self._sweep())

    async def stop(self) -> None:
        """Stops accepting connections and returns when every request is completed."""
        self._server.should_exit = True
        await self._task
        self._sweep_task.cancel()

    def _make_protocol(self, **options) -> asyncio.BaseProtocol:
        """Returns the protocol of a new connection; called by uvicorn."""
        protocol = http_protocol.Protocol(
            self._connections, self._sink, self._budget, self._requests, **options
        )
        if self._context is None:
            return protocol
        return tls_gate.TlsGate(protocol, self._context, self._connections, self._sink)

    async def _sweep(self) -> None:
        """Keeps within the memory, and closes connections that do nothing for long."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._budget.tick(time.monotonic())
            for expired in self._connections.find_expired(time.monotonic()):
                self._sink.count(metrics.Metric.CONNECTIONS_EXPIRED)
                expired.transport.abort()
