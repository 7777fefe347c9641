"""Grants permits to the requests of other routers."""

import asyncio
import collections.abc
import logging

from teaselsill import (
    connection_limit,
    directory,
    fleet_view,
    ids,
    listener,
    memory_budget,
    permit_issuer,
    permit_messages,
    permit_queue,
    placement,
    tcp_stream,
    upstream_list,
    wire,
)

MAX_MESSAGE_BYTES = 64 * 1024
MAX_WAITING = 1000
"""With more requests of one router waiting, further ones are denied."""
BUSY_WAIT_S = 1.0
"""How long these should wait."""
UNKNOWN_WAIT_S = 0.5
"""How long a request should wait for an upstream that is not known here."""

logger = logging.getLogger(__name__)


class PermitServer:
    """The connections of other routers that ask for permits.

    Args:
        issuer: Issues the permits.
        view: Hears of limits from the other routers.
        upstreams: The upstreams.
    """

    def __init__(
        self,
        issuer: permit_issuer.PermitIssuer,
        view: fleet_view.FleetView,
        upstreams: directory.Directory,
    ):
        self._issuer = issuer
        self._view = view
        self._directory = upstreams
        self._tasks: set[asyncio.Task] = set()
        self._listener: listener.Listener | None = None

    @property
    def port(self) -> int:
        """The port that the server listens on; 0 if it does not."""
        return self._listener.address[1] if self._listener is not None else 0

    def listen(
        self,
        host: str,
        port: int,
        budget: memory_budget.MemoryBudget | None = None,
        limit: connection_limit.ConnectionLimit | None = None,
    ) -> None:
        """Starts to accept connections.

        Args:
            host: The IP address.
            port: The port; 0 for any free one.
            budget: The account that the bytes of the connections belong to.
            limit: The bound on the connections.

        Raises:
            ListenError: The address cannot be used.
        """
        self._listener = listener.Listener(
            host, port, self._accept, budget, limit, serves_routers=True
        )

    def close(self) -> None:
        """Closes all connections."""
        if self._listener is not None:
            self._listener.close()
        for task in self._tasks:
            task.cancel()

    def _accept(self, stream: tcp_stream.TcpStream) -> None:
        connection = Connection(stream, self._issuer, self._find)
        task = asyncio.create_task(connection.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _find(
        self, router: ids.InstanceId, ask: permit_messages.Ask
    ) -> placement.Candidate | None:
        """Returns the upstream of a request, after hearing what is known of it."""
        news = ask.limit
        self._view.apply_limit_news(router, news)
        if ask.cold is not None:
            self._view.apply_cold_news(router, ask.cold)
        candidate = self._directory.find(news.upstream)
        if candidate is None or candidate.upstream.born_ms != news.born_ms:
            return None
        return candidate


FindCandidate = collections.abc.Callable[
    [ids.InstanceId, permit_messages.Ask], placement.Candidate | None
]


class Connection:
    """The connection of one router that asks for permits.

    Args:
        stream: The connection.
        issuer: Issues the permits.
        find: Returns the upstream of a request.
    """

    def __init__(
        self,
        stream: tcp_stream.TcpStream,
        issuer: permit_issuer.PermitIssuer,
        find: FindCandidate,
    ):
        self._stream = stream
        self._issuer = issuer
        self._find = find
        self._router = ids.InstanceId("")
        self._waiting_by_number: dict[
            int, tuple[upstream_list.UpstreamKey, permit_queue.Waiter]
        ] = {}

    async def run(self) -> None:
        """Grants permits until the connection ends; then withdraws the requests."""
        unpacker = wire.Unpacker(MAX_MESSAGE_BYTES, permit_messages.FromAsking)
        self._stream.enable_keepalive()
        try:
            while data := await self._stream.read():
                for message in unpacker.feed(data):
                    self._stream.has_identified = True
                    self._handle(message)
                self._stream.note_kept(unpacker.held_bytes)
        except (tcp_stream.ConnectionResetError, tcp_stream.RefusedError):
            pass
        except wire.MalformedMessageError as error:
            logger.warning(
                "malformed request for a permit", extra={"reason": str(error)}
            )
        finally:
            self._stream.abort()
            for key, waiter in self._waiting_by_number.values():
                self._issuer.withdraw(key, waiter)

    def _handle(self, message: permit_messages.FromAsking) -> None:
        match message:
            case permit_messages.Hello(router=router):
                self._router = router
            case permit_messages.Ask():
                self._ask(message)
            case permit_messages.Withdrawn(number=number):
                waiting = self._waiting_by_number.pop(number, None)
                if waiting is not None:
                    self._issuer.withdraw(*waiting)
            case permit_messages.Unused(upstream=upstream, born_ms=born_ms):
                self._issuer.give_back(upstream_list.UpstreamKey(upstream, born_ms))

    def _ask(self, ask: permit_messages.Ask) -> None:
        candidate = self._find(self._router, ask)
        if candidate is None:
            self._send(permit_messages.Denied(ask.number, UNKNOWN_WAIT_S))
            return
        if len(self._waiting_by_number) >= MAX_WAITING:
            self._send(permit_messages.Denied(ask.number, BUSY_WAIT_S))
            return
        now = asyncio.get_running_loop().time()
        waiter = permit_queue.Waiter(
            ask.account, now, now + ask.max_wait_s, ask.is_retry
        )
        self._waiting_by_number[ask.number] = candidate.key, waiter
        self._issuer.ask(
            candidate.key,
            waiter,
            lambda decision: self._reply(ask.number, decision),
        )

    def _reply(self, number: int, decision: permit_queue.Decision) -> None:
        self._waiting_by_number.pop(number, None)
        match decision:
            case permit_queue.Granted():
                self._send(permit_messages.Granted(number))
            case permit_queue.Denied(wait_s=wait_s):
                self._send(permit_messages.Denied(number, wait_s))

    def _send(self, message: permit_messages.FromGrantor) -> None:
        self._stream.write(wire.pack(message))
