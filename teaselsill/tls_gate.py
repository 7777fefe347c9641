"""Counts a connection before its TLS handshake, which asyncio's servers don't."""

import asyncio
import ssl
import time

from teaselsill import http_connections, http_protocol, metrics


class TlsGate(asyncio.Protocol):
    """The protocol of a connection until its TLS handshake is complete.

    Args:
        protocol: The HTTP protocol that takes over.
        context: The TLS context.
        connections: The connections of the port.
        sink: Receives the metrics.
    """

    def __init__(
        self,
        protocol: http_protocol.Protocol,
        context: ssl.SSLContext,
        connections: http_connections.Connections,
        sink: metrics.Metrics,
    ):
        self.transport: asyncio.Transport | None = None
        self._protocol = protocol
        self._context = context
        self._connections = connections
        self._sink = sink
        self._task: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Called by asyncio once the connection is open."""
        self.transport = transport
        closed = self._connections.add(self, time.monotonic())
        if closed is not None:
            self._sink.count(metrics.Metric.CONNECTIONS_REFUSED)
            closed.give_up()
        if closed is self:
            self._protocol.abandon()
            return
        self._task = asyncio.create_task(self._start_tls())

    def give_up(self) -> None:
        """Closes the connection, to make room for others."""
        self.transport.abort()

    async def _start_tls(self) -> None:
        try:
            transport = await asyncio.get_running_loop().start_tls(
                self.transport,
                self._protocol,
                self._context,
                server_side=True,
                ssl_handshake_timeout=http_connections.HEAD_TIMEOUT_S,
            )
        except OSError:
            self._protocol.abandon()
            self.transport.abort()
            return
        finally:
            self._connections.remove(self)
        if transport is None:
            self._protocol.abandon()
        elif not self._protocol.is_lost:
            self._protocol.connection_made(transport)
