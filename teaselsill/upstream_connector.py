"""The connector of agents, which tells a reset from the end of a response."""

import asyncio
import functools

import aiohttp
from aiohttp import client_proto

READ_BYTES = 64 * 1024
"""How much is read from an upstream at a time."""


class _ResetAwareHandler(client_proto.ResponseHandler):
    """Fails a response whose connection is reset, and reads it in small parts.

    A body without a length ends with its connection. aiohttp takes such a body for
    complete however the connection ends.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        super().connection_made(transport)
        # asyncio reads 256 KiB at a time, whatever the reader of the body allows.
        if hasattr(transport, "max_size"):
            transport.max_size = READ_BYTES

    def connection_lost(self, exc: BaseException | None) -> None:
        """Called by asyncio."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"the connection was lost: {exc}")
            )
        super().connection_lost(exc)


class Connector(aiohttp.TCPConnector):
    """Opens any number of connections, each of which notices a reset."""

    def __init__(self):
        super().__init__(limit=0)
        loop = asyncio.get_running_loop()
        self._factory = functools.partial(_ResetAwareHandler, loop=loop)
