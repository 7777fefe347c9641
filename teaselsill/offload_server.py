"""Serves requests that other routers offer while they are busy."""

import asyncio
import collections.abc
import logging

from teaselsill import (
    caller_connection,
    http_messages,
    ids,
    offload_messages,
    tcp_stream,
    wire,
)

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
KEEPALIVE_PROBES = 3
DEAD_AFTER_S = 4.0
"""A connection and its requests end if the busy router's machine does not acknowledge
for so long: sooner than the busy router gives this one up and sends them again."""
WINDOW_BYTES = 64 * 1024
"""How many bytes of a body may be on their way to a caller who does not read."""
VERSION_WAIT_S = 0.1
"""How long an offer waits until the configuration that it needs is in force."""
VERSION_CHECK_S = 0.01

logger = logging.getLogger(__name__)


class RemoteResponse(caller_connection.Response):
    """Sends the response to an offered request to the router that offered it.

    Args:
        number: Identifies the request on the connection.
        router: The router that offered it.
        stream: The connection to it.
        is_confirmed: Whether that router confirms what its caller has taken.
    """

    def __init__(
        self, number: int, router: ids.InstanceId, stream, is_confirmed: bool = False
    ):
        super().__init__()
        self._is_confirmed = is_confirmed
        if is_confirmed:
            self.taken_late_s = offload_messages.CONFIRM_S
        self.via = router
        self.is_counted = True
        self._number = number
        self._stream = stream
        self._allowed = asyncio.Event()
        self._is_asked = False
        self._unconsumed_bytes = 0
        self._has_room = asyncio.Event()

    def allow(self) -> None:
        """Records that the request may be sent to upstreams."""
        self._allowed.set()

    def note_consumed(self, size: int) -> None:
        """Records that the caller has taken some bytes."""
        self._unconsumed_bytes -= size
        self._has_room.set()
        self.taken_at = asyncio.get_running_loop().time()

    def decline(self) -> bool:
        """Leaves the request to the router that offered it, unless it may have run."""
        if self._is_asked:
            return False
        self._send(offload_messages.Declined(self._number))
        return True

    async def confirm_send(self, upstream: ids.UpstreamId) -> None:
        """Waits until the router that offered the request agrees that it is sent."""
        self._is_asked = True
        self._allowed.clear()
        self._send(offload_messages.SendWanted(self._number, upstream))
        await self._allowed.wait()

    async def start(self, head: http_messages.Head) -> None:
        """Sends the head of an upstream's response."""
        self.status = head.status
        self.progress = caller_connection.Progress.HEAD
        self._send(
            offload_messages.Head(
                self._number, head.status, head.reason, head.headers, head.framing
            )
        )
        await self._stream.drain()

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the caller does not read."""
        if not data:
            return
        self._unconsumed_bytes += len(data)
        self._send(offload_messages.Data(self._number, data))
        await self._stream.drain()
        while self._unconsumed_bytes > WINDOW_BYTES:
            self._has_room.clear()
            await self._has_room.wait()
        if not self._is_confirmed:
            self.taken_at = asyncio.get_running_loop().time()

    async def end(self) -> None:
        """Sends the end of a complete response."""
        self.progress = caller_connection.Progress.COMPLETE
        self._send(offload_messages.End(self._number, is_complete=True))
        await self._stream.drain()

    def abort(self) -> None:
        """Breaks the response off."""
        self.progress = caller_connection.Progress.ABORTED
        self._send(offload_messages.End(self._number, is_complete=False))

    async def send_error(self, status: int, headers: http_messages.Headers) -> None:
        """Rejects the request; a response that has started is aborted instead."""
        if self.progress is not caller_connection.Progress.NOT_STARTED:
            self.abort()
            return
        self.status = status
        self.progress = caller_connection.Progress.COMPLETE
        self._send(offload_messages.Rejected(self._number, status, headers))
        await self._stream.drain()

    def _send(self, message: offload_messages.FromOther) -> None:
        self._stream.write(wire.pack(message))


Serve = collections.abc.Callable[
    [http_messages.Request, RemoteResponse, float], collections.abc.Awaitable[None]
]


class OffloadServer:
    """Serves the requests that arrive on the connections of other routers.

    Args:
        serve: Serves a request that arrived at a time, in seconds on the event loop's
            clock. It is cancelled when the request is withdrawn.
        is_accepting: Returns whether requests are served at all.
        find_version: Returns the version of the configuration that is in force.
    """

    def __init__(
        self,
        serve: Serve,
        is_accepting: collections.abc.Callable[[], bool],
        find_version: collections.abc.Callable[[], ids.Version],
    ):
        self._serve = serve
        self._is_accepting = is_accepting
        self._find_version = find_version
        self._connections: set[Connection] = set()

    async def serve_connection(self, stream: tcp_stream.TcpStream) -> None:
        """Serves the requests of one connection until it ends."""
        connection = Connection(stream, self._serve_offer)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    def announce_closing(self) -> None:
        """Asks the other routers to close their connections after the last response.

        If this router closed them, bytes on their way would reset the connections, and
        responses that had not arrived yet would be lost.
        """
        for connection in self._connections:
            connection.announce_closing()

    async def _serve_offer(
        self, offer: offload_messages.Offer, response: RemoteResponse
    ) -> None:
        received_at = asyncio.get_running_loop().time() - offer.age_s
        if not self._is_accepting() or not await self._wait_for_version(offer.version):
            response.decline()
            return
        message = http_messages.Request(
            offer.method,
            offer.target,
            offer.headers,
            offer.body,
            keep_alive=True,
            version="1.1",
        )
        await self._serve(message, response, received_at)

    async def _wait_for_version(self, version: ids.Version) -> bool:
        """Waits until a version is in force; returns whether it is."""
        waited_s = 0.0
        while self._find_version() < version:
            if waited_s >= VERSION_WAIT_S:
                return False
            await asyncio.sleep(VERSION_CHECK_S)
            waited_s += VERSION_CHECK_S
        return True


ServeOffer = collections.abc.Callable[
    [offload_messages.Offer, RemoteResponse], collections.abc.Coroutine
]


class Connection:
    """The connection of one busy router.

    The tasks of its requests all write to the connection, one whole message at a time.

    Args:
        stream: The connection.
        serve_offer: Serves one offered request.
    """

    def __init__(self, stream: tcp_stream.TcpStream, serve_offer: ServeOffer):
        self._stream = stream
        self._serve_offer = serve_offer
        self._is_closing = False
        self._router = ids.InstanceId("")
        self._is_confirmed = False
        self._unfinished_bytes = 0
        self._offered_bytes = 0
        self._response_by_number: dict[int, RemoteResponse] = {}
        self._task_by_number: dict[int, asyncio.Task] = {}

    def announce_closing(self) -> None:
        """Asks the busy router, once, to close the connection when it is idle."""
        if not self._is_closing:
            self._is_closing = True
            self._stream.write(wire.pack(offload_messages.Closing()))

    async def run(self) -> None:
        """Serves requests until the connection ends; then withdraws the rest."""
        unpacker = wire.Unpacker(MAX_MESSAGE_BYTES, offload_messages.FromBusy)
        self._stream.enable_keepalive(KEEPALIVE_PROBES, DEAD_AFTER_S)
        try:
            while data := await self._stream.read():
                for message in unpacker.feed(data):
                    self._stream.has_identified = True
                    self._handle(message)
                self._note_kept(unpacker.held_bytes)
        except (tcp_stream.ConnectionResetError, tcp_stream.RefusedError):
            pass
        except wire.MalformedMessageError as error:
            logger.warning("malformed offer", extra={"reason": str(error)})
        finally:
            self._stream.abort()
            tasks = list(self._task_by_number.values())
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _note_kept(self, unfinished_bytes: int) -> None:
        """Counts what is kept: the offers in progress and the unfinished message."""
        if self._stream.holding is not None:
            self._stream.holding.is_passed_on = bool(self._task_by_number)
        self._unfinished_bytes = unfinished_bytes
        self._stream.note_kept(unfinished_bytes + self._offered_bytes)

    def _handle(self, message: offload_messages.FromBusy) -> None:
        match message:
            case offload_messages.Hello(router=router, confirms=confirms):
                self._router = router
                self._is_confirmed = confirms
            case offload_messages.Offer():
                self._begin(message)
            case offload_messages.SendAllowed(number=number):
                if number in self._response_by_number:
                    self._response_by_number[number].allow()
            case offload_messages.Consumed(number=number, size=size):
                if number in self._response_by_number:
                    self._response_by_number[number].note_consumed(size)
            case offload_messages.Withdrawn(number=number):
                if number in self._task_by_number:
                    self._task_by_number[number].cancel()

    def _begin(self, offer: offload_messages.Offer) -> None:
        response = RemoteResponse(
            offer.number, self._router, self._stream, self._is_confirmed
        )
        self._offered_bytes += len(offer.body)
        task = asyncio.create_task(self._serve_offer(offer, response))
        self._response_by_number[offer.number] = response
        self._task_by_number[offer.number] = task
        number, size = offer.number, len(offer.body)
        task.add_done_callback(lambda done: self._forget(number, size, done))

    def _forget(self, number: int, body_bytes: int, task: asyncio.Task) -> None:
        self._offered_bytes -= body_bytes
        del self._response_by_number[number]
        del self._task_by_number[number]
        self._note_kept(self._unfinished_bytes)
        if not task.cancelled() and task.exception() is not None:
            logger.error("offered request failed", exc_info=task.exception())
            self._stream.write(
                wire.pack(offload_messages.End(number, is_complete=False))
            )
