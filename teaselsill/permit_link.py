"""A router's connection to another one that grants it permits."""

import asyncio
import math

from teaselsill import (
    ids,
    peer_reports,
    permit_messages,
    tcp_stream,
    wire,
)

MAX_MESSAGE_BYTES = 64 * 1024
REPLY_MARGIN_S = 0.1
"""How much longer than its wait for a permit a request waits for a reply."""
SILENT_WAIT_S = 0.5
"""How long a request should wait if the other router does not reply."""


class PermitLink:
    """A connection to one router, for any number of requests at a time.

    Args:
        own: The id of this router.
        router: The id of the other router.
        stream: The connection.

    Attributes:
        router: The id of the other router.
        is_lost: Whether the connection has ended.
        used_at: When it was last used, on the event loop's clock, in seconds.
    """

    def __init__(
        self,
        own: ids.InstanceId,
        router: ids.InstanceId,
        stream: tcp_stream.TcpStream,
    ):
        self.router = router
        self.is_lost = False
        self.used_at = _now()
        self._stream = stream
        self._next_number = 0
        self._reply_by_number: dict[int, asyncio.Future] = {}
        self._unanswered_at = -math.inf
        stream.enable_keepalive()
        self._send(permit_messages.Hello(own))

    @property
    def is_idle(self) -> bool:
        """Whether no request waits for a reply."""
        return not self._reply_by_number

    @property
    def is_usable(self) -> bool:
        """Whether permits may be asked for."""
        return not self.is_lost

    @property
    def is_silent(self) -> bool:
        """Whether nothing has arrived since a request that got no reply in time."""
        return self.is_lost or self._unanswered_at > self._stream.last_received_at

    def close(self) -> None:
        """Closes the connection at once."""
        self._stream.abort()

    def close_when_idle(self) -> None:
        """Closes the connection at once; requests that wait are denied."""
        self.close()

    async def run(self) -> None:
        """Handles the replies of the other router until the connection ends."""
        unpacker = wire.Unpacker(MAX_MESSAGE_BYTES, permit_messages.FromGrantor)
        try:
            while data := await self._stream.read():
                for message in unpacker.feed(data):
                    self._handle(message)
        except (tcp_stream.ConnectionResetError, wire.MalformedMessageError):
            pass
        finally:
            self.is_lost = True
            self._stream.abort()
            for number, reply in self._reply_by_number.items():
                if not reply.done():
                    reply.set_result(permit_messages.Denied(number, SILENT_WAIT_S))

    async def ask(
        self,
        limit: peer_reports.LimitNews,
        account: ids.AccountId | None,
        max_wait_s: float,
        is_retry: bool,
        cold: peer_reports.ColdNews | None = None,
    ) -> permit_messages.FromGrantor:
        """Asks for a permit; cancelling the call withdraws the request.

        Args:
            limit: The upstream and its limit.
            account: The client account; None for a public route.
            max_wait_s: How long the request waits, in seconds.
            is_retry: Whether the request was sent before.
            cold: What is known of the upstream's cold start.

        Returns:
            The reply. A request without a reply in time is denied.
        """
        number = self._next_number
        self._next_number += 1
        asked_at = self.used_at = _now()
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_number[number] = reply
        self._send(
            permit_messages.Ask(number, limit, account, max_wait_s, is_retry, cold)
        )
        if self.is_lost:
            return permit_messages.Denied(number, SILENT_WAIT_S)
        try:
            async with asyncio.timeout(max_wait_s + REPLY_MARGIN_S):
                return await asyncio.shield(reply)
        except TimeoutError:
            self._unanswered_at = asked_at
            self._discard(number, reply, limit)
            return permit_messages.Denied(number, SILENT_WAIT_S)
        except asyncio.CancelledError:
            self._discard(number, reply, limit)
            raise
        finally:
            del self._reply_by_number[number]

    def give_back(self, upstream: ids.UpstreamId, born_ms: int) -> None:
        """Gives a permit back that is not used."""
        self._send(permit_messages.Unused(upstream, born_ms))

    def _discard(
        self, number: int, reply: asyncio.Future, limit: peer_reports.LimitNews
    ) -> None:
        """Withdraws a request, or gives back the permit that it has just got."""
        if not reply.done():
            self._send(permit_messages.Withdrawn(number))
        elif isinstance(reply.result(), permit_messages.Granted):
            self.give_back(limit.upstream, limit.born_ms)

    def _handle(self, message: permit_messages.FromGrantor) -> None:
        reply = self._reply_by_number.get(message.number)
        if reply is not None and not reply.done():
            reply.set_result(message)

    def _send(self, message: permit_messages.FromAsking) -> None:
        if not self.is_lost:
            self._stream.write(wire.pack(message))


def _now() -> float:
    return asyncio.get_running_loop().time()
