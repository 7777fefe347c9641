"""A busy router's connection to a router that serves requests of its callers."""

import asyncio
import collections
import dataclasses
import enum
import math

from teaselsill import (
    caller_connection,
    errors,
    http_messages,
    ids,
    offload_messages,
    tcp_stream,
    wire,
)

OFFER_TIMEOUT_S = 0.25
"""How long an offer may remain without a reply before it is withdrawn."""
REPLY_ROUNDS = 3
"""How many times pending events are processed until a reply that has arrived is known:
it is read, then parsed by another task, then allowed."""
CONSUMED_BYTES = 16 * 1024
"""After so many bytes that a caller has taken the other router is told at once."""
MAX_MESSAGE_BYTES = 1024 * 1024
MAX_UNSENT_BYTES = 1024 * 1024
"""With more bytes that the other router has not read, nothing is offered."""
KEEPALIVE_PROBES = 5
DEAD_AFTER_S = 6.0
"""A connection ends if the other router's machine does not acknowledge for so long. A
machine may be suspended for some seconds and go on."""


class LinkLostError(errors.LinkError):
    """The connection to the other router ended."""


class State(enum.Enum):
    """How far the other router may have got with a request."""

    OFFERED = "offered"
    ALLOWED = "allowed"


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """The caller has the complete response."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The request has reached no upstream and will reach none from there.

    Attributes:
        reason: Why.
        is_late_here: Whether this router may just not have read the reply.
    """

    reason: str
    is_late_here: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenOff:
    """There is no complete response, and upstreams may have run the request.

    Attributes:
        reason: Why.
        upstreams: The upstreams that it may have been sent to, in order.
    """

    reason: str
    upstreams: list[ids.UpstreamId]


Outcome = Served | NotSent | BrokenOff


class RemoteRequest:
    """A request at the other router.

    Args:
        number: Identifies it on the connection.
        response: The response to the caller.

    Attributes:
        number: Identifies it on the connection.
        response: The response to the caller.
        state: How far the other router may have got.
        upstreams: The upstreams that it may have been sent to, in order.
        offered_at: When it was offered, on the event loop's clock, in seconds.
        is_ended: Whether the other router is done with it.
    """

    def __init__(self, number: int, response: caller_connection.Response):
        self.number = number
        self.response = response
        self.state = State.OFFERED
        self.upstreams: list[ids.UpstreamId] = []
        self.offered_at = asyncio.get_running_loop().time()
        self.is_ended = False
        self._arrived: collections.deque = collections.deque()
        self._wake = asyncio.Event()

    def put(self, message: offload_messages.FromOther | LinkLostError) -> None:
        """Adds a message of the other router, or the loss of the connection."""
        self._arrived.append(message)
        self._wake.set()

    def note_allowed(self, upstream: ids.UpstreamId) -> None:
        """Records that the other router may send the request to an upstream."""
        self.state = State.ALLOWED
        self.upstreams.append(upstream)
        self._wake.set()

    async def wait_for_reply(self) -> bool:
        """Waits for any reply to the offer; returns whether there was one in time."""
        try:
            async with asyncio.timeout(OFFER_TIMEOUT_S):
                await self._wake.wait()
        except TimeoutError:
            # After a delay of the event loop, a reply may be waiting to be read.
            for _ in range(REPLY_ROUNDS):
                await tcp_stream.process_pending_events()
        return self._wake.is_set()

    async def take_all(self) -> list[offload_messages.FromOther | LinkLostError]:
        """Waits for messages and returns all that have arrived."""
        while not self._arrived:
            self._wake.clear()
            await self._wake.wait()
        arrived = list(self._arrived)
        self._arrived.clear()
        return arrived


class OffloadLink:
    """A connection to one router, for any number of requests at a time.

    Args:
        own: The id of this router.
        router: The id of the other router.
        stream: The connection.

    Attributes:
        router: The id of the other router.
        is_lost: Whether the connection has ended.
        used_at: When the last request was offered, on the event loop's clock, in
            seconds.
    """

    def __init__(
        self,
        own: ids.InstanceId,
        router: ids.InstanceId,
        stream: tcp_stream.TcpStream,
    ):
        self.router = router
        self.is_lost = False
        self.used_at = asyncio.get_running_loop().time()
        self._is_closing = False
        self._unanswered_at = -math.inf
        self._stream = stream
        self._next_number = 0
        self._request_by_number: dict[int, RemoteRequest] = {}
        stream.enable_keepalive(KEEPALIVE_PROBES, DEAD_AFTER_S)
        self._send(offload_messages.Hello(own, confirms=True))

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return not self._request_by_number

    @property
    def is_usable(self) -> bool:
        """Whether requests may be offered: nothing speaks for a silent connection."""
        is_silent = self._unanswered_at > self._stream.last_received_at
        is_stuck = self._stream.unsent_bytes > MAX_UNSENT_BYTES
        return not (self.is_lost or self._is_closing or is_silent or is_stuck)

    def close_when_idle(self) -> None:
        """Closes the connection once no request is in progress."""
        self._is_closing = True
        if self.is_idle:
            self._stream.close()

    def close(self) -> None:
        """Closes the connection at once."""
        self._stream.abort()

    async def run(self) -> None:
        """Handles the messages of the other router until the connection ends."""
        unpacker = wire.Unpacker(MAX_MESSAGE_BYTES, offload_messages.FromOther)
        reason = "the connection closed"
        try:
            while data := await self._stream.read():
                for message in unpacker.feed(data):
                    self._handle(message)
        except (tcp_stream.ConnectionResetError, wire.MalformedMessageError) as error:
            reason = str(error)
        finally:
            self.is_lost = True
            self._stream.abort()
            for request in self._request_by_number.values():
                request.put(LinkLostError(reason))

    async def serve(
        self,
        message: http_messages.Request,
        response: caller_connection.Response,
        received_at: float,
        deadline: float,
        version: ids.Version,
    ) -> Outcome:
        """Has the other router serve a request, and passes its response on.

        Cancelling the call withdraws the request.

        Args:
            message: The request.
            response: The response to the caller.
            received_at: When the request arrived, on the event loop's clock, in
                seconds.
            deadline: Until when the response is awaited, on the same clock.
            version: The version of the configuration that is in force here.
        """
        request = self._open(response)
        self.used_at = request.offered_at
        self._send(
            offload_messages.Offer(
                request.number,
                message.method,
                message.target,
                message.headers,
                message.body,
                asyncio.get_running_loop().time() - received_at,
                version,
            )
        )
        try:
            if not await request.wait_for_reply():
                return self._give_up(request)
            async with asyncio.timeout_at(deadline):
                return await self._pass_on(request)
        except TimeoutError:
            reason = "no complete response until the deadline"
            return BrokenOff(reason, request.upstreams)
        finally:
            self._discard(request)

    def _open(self, response: caller_connection.Response) -> RemoteRequest:
        request = RemoteRequest(self._next_number, response)
        self._next_number += 1
        self._request_by_number[request.number] = request
        if self.is_lost:
            request.put(LinkLostError("the connection has ended"))
        return request

    def _discard(self, request: RemoteRequest) -> None:
        del self._request_by_number[request.number]
        if not request.is_ended and not self.is_lost:
            self._send(offload_messages.Withdrawn(request.number))
        if self._is_closing:
            self.close_when_idle()

    def _give_up(self, request: RemoteRequest) -> NotSent:
        """Returns the outcome of an offer without a reply."""
        has_received = self._stream.last_received_at > request.offered_at
        if not has_received:
            self._unanswered_at = request.offered_at
        return NotSent("no reply", is_late_here=has_received)

    def _handle(self, message: offload_messages.FromOther) -> None:
        if isinstance(message, offload_messages.Closing):
            self.close_when_idle()
            return
        request = self._request_by_number.get(message.number)
        if request is None:
            return
        match message:
            case offload_messages.SendWanted(upstream=upstream):
                # After a delay, the end of the caller's connection is read next.
                asyncio.get_running_loop().call_soon(self._allow, request, upstream)
            case _:
                request.put(message)

    def _allow(self, request: RemoteRequest, upstream: ids.UpstreamId) -> None:
        """Allows the other router to send a request that is still wanted."""
        is_open = request.number in self._request_by_number
        if is_open and request.response.is_wanted:
            request.note_allowed(upstream)
            self._send(offload_messages.SendAllowed(request.number))

    async def _pass_on(self, request: RemoteRequest) -> Outcome:
        """Passes on the response until the other router is done with the request."""
        response = request.response
        unreported_bytes = 0
        reported_at = -math.inf
        while True:
            for message in await request.take_all():
                match message:
                    case offload_messages.Head():
                        await response.start(_make_head(message))
                    case offload_messages.Data(data=data):
                        await response.write(data)
                        unreported_bytes += len(data)
                    case _:
                        request.is_ended = True
                        return await _end(request, message)
            now = asyncio.get_running_loop().time()
            is_due = now - reported_at >= offload_messages.CONFIRM_S
            if unreported_bytes >= CONSUMED_BYTES or (unreported_bytes and is_due):
                self._send(offload_messages.Consumed(request.number, unreported_bytes))
                unreported_bytes = 0
                reported_at = now

    def _send(self, message: offload_messages.FromBusy) -> None:
        self._stream.write(wire.pack(message))


def _make_head(message: offload_messages.Head) -> http_messages.Head:
    return http_messages.Head(
        message.status,
        message.reason,
        message.headers,
        message.framing,
        keep_alive=True,
    )


async def _end(
    request: RemoteRequest,
    message: offload_messages.FromOther | LinkLostError,
) -> Outcome:
    """Ends the response as the last message says, and returns the outcome."""
    match message:
        case offload_messages.End(is_complete=True):
            await request.response.end()
            return Served()
        case offload_messages.Rejected(status=status, headers=headers):
            await request.response.send_error(status, headers)
            return Served()
        case offload_messages.Declined():
            return NotSent("declined")
        case LinkLostError() if request.state is State.OFFERED:
            return NotSent(str(message))
        case LinkLostError():
            return BrokenOff(str(message), request.upstreams)
        case _:
            return BrokenOff("the response was broken off there", request.upstreams)
