"""uvicorn's HTTP protocol with bounds on what a client can make it keep.

The parser, httptools, sets no limit of its own on heads, trailers or chunk extensions,
and uvicorn none on the requests that arrive in one read.
"""

import asyncio
import enum
import sys
import time

import httptools
from uvicorn.protocols.http import flow_control, httptools_impl

from teaselsill import http_connections, ids, memory_budget, metrics, passed_on

READ_BYTES = 16 * 1024
"""How much is read from a connection at a time."""
MAX_HEAD_BYTES = 64 * 1024
"""The maximum size of a request line with its headers, and of a request's trailers."""
HEADER_BYTES = 384
"""What a header costs beside its text: objects here, and those of the request."""
BODY_COPIES = 2
"""How often the bytes of a body are in memory while it is joined and passed on."""
UNREAD_BYTES = 256 * 1024
"""What more is held of a response that its caller does not read."""
RESPONSE_BYTES = 256 * 1024
"""What may arrive of a response before its caller takes any of it."""
UNLIMITED = sys.maxsize
END_OF_HEAD = b"\r\n\r\n"
STATE_KEY = "connection"
"""The key of the protocol in the state of a request's ASGI scope."""
BUSY_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nTeaselsill-Outcome: not-run\r\n"
    b"Retry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
"""Written to a connection whose request has not arrived whole, before it is closed."""

_read_buffer = bytearray(READ_BYTES)


class Reason(enum.Enum):
    """Why reading from a connection is held."""

    UNPARSED = "unparsed"
    """Much has arrived that waits for the response to an earlier request."""
    BUDGET = "budget"
    """The process has little memory left."""


class Flow(flow_control.FlowControl):
    """Pauses reading for uvicorn's own reasons and, apart from them, while it is held.

    uvicorn resumes reading whenever the application waits for something to arrive.
    """

    def __init__(self, transport: asyncio.Transport):
        super().__init__(transport)
        self._reasons: set[Reason] = set()

    def set_held(self, reason: Reason, is_held: bool) -> None:
        """Pauses reading until this is called again with false for each reason."""
        if is_held:
            self._reasons.add(reason)
            self._transport.pause_reading()
            return
        self._reasons.discard(reason)
        if not self.read_paused:
            self.resume_reading()

    def resume_reading(self) -> None:
        """Ends uvicorn's own pause."""
        self.read_paused = False
        if not self._reasons:
            self._transport.resume_reading()


class Protocol(
    httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol, memory_budget.Owner
):
    """The HTTP protocol of one connection.

    The parser gets at most one end of a head at a time. Once a request waits for the
    response to the one before it, the rest of what was read stays as it came.

    Args:
        connections: The connections of the port.
        sink: Receives the metrics.
        budget: The account of the memory of the process.
        requests: The requests of the port that have been passed on.
        **options: The arguments of uvicorn.
    """

    def __init__(
        self,
        connections: http_connections.Connections,
        sink: metrics.Metrics,
        budget: memory_budget.MemoryBudget,
        requests: passed_on.PassedOn,
        **options,
    ):
        super().__init__(**options)
        self._holding = budget.open(self)
        self._kept_bytes = 0
        self._requests = requests
        self._passed_on: tuple[ids.AccountId, int] | None = None
        self._open_connections = connections
        self._sink = sink
        self._unparsed = bytearray()
        self._bytes_without_body = 0
        self._is_in_head = True
        self._is_given_up = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Called by asyncio once the connection is open."""
        super().connection_made(transport)
        self.flow = Flow(transport)
        closed = self._open_connections.add(self, time.monotonic())
        if closed is not None:
            self._sink.count(metrics.Metric.CONNECTIONS_REFUSED)
            closed.give_up()
        if self._unparsed:
            self._parse()

    @property
    def is_lost(self) -> bool:
        """Whether the connection has been closed."""
        return self.parser is None

    def abandon(self) -> None:
        """Ends a connection that has never been made, as TLS has failed."""
        self.parser = None
        self._unparsed.clear()
        self._holding.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio once the connection is closed."""
        if self.transport is None:
            self.abandon()
            return
        self._open_connections.remove(self)
        self._holding.close()
        self._end_request()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Called by asyncio when the client takes too little of a response."""
        self._open_connections.set_unread(self, True, time.monotonic())
        super().pause_writing()
        # A response that its client does not read may be given up for want of memory.
        self._holding.is_passed_on = False
        self._holding.update(self.measure_for_budget())

    def resume_writing(self) -> None:
        """Called by asyncio when the client has taken most of a response."""
        self._open_connections.set_unread(self, False, time.monotonic())
        super().resume_writing()
        self._holding.is_passed_on = self._passed_on is not None

    def admit(self, account: ids.AccountId) -> bool:
        """Returns whether a client account may use this connection for its request."""
        self._holding.client = account
        return self._open_connections.admit(self, account)

    def pass_on(self, scope) -> bool:
        """Returns whether there is memory for a request, which is passed on now.

        It does not count if the caller has disconnected meanwhile. A request that has
        been given up is not passed on: its client has been told that it has not run.

        Args:
            scope: The ASGI scope of the request, whose headers are dropped.
        """
        if self._is_given_up:
            return False
        if self.is_lost:
            return True
        size = self._kept_bytes + RESPONSE_BYTES
        account = ids.AccountId(self._holding.client)
        if not self._requests.add(account, size):
            self._holding.budget.note_refused()
            return False
        self._passed_on = (account, size)
        self._holding.is_passed_on = True
        self._holding.free_bytes = UNLIMITED
        self._kept_bytes += RESPONSE_BYTES
        self._holding.update(self.measure_for_budget())
        _drop_headers(scope)
        if scope is self.scope:
            self.headers.clear()
        return True

    def _end_request(self) -> None:
        """Ends the request that was passed on."""
        if self._passed_on is not None:
            self._requests.remove(*self._passed_on)
            self._passed_on = None

    def pause_for_budget(self) -> None:
        """See `memory_budget.Owner`."""
        self.flow.set_held(Reason.BUDGET, True)

    def resume_for_budget(self) -> None:
        """See `memory_budget.Owner`."""
        self.flow.set_held(Reason.BUDGET, False)

    def refuse_for_budget(self) -> None:
        """See `memory_budget.Owner`."""
        self._unparsed.clear()
        if self.headers is not None:
            self.headers.clear()
            _drop_headers(self.scope)
        if self.cycle is not None and not self.cycle.response_started:
            self.cycle.body.clear()
        self.give_up()

    def measure_for_budget(self) -> int:
        """See `memory_budget.Owner`."""
        held = self._kept_bytes + len(self._unparsed)
        if self.flow is not None and self.flow.write_paused:
            held += UNREAD_BYTES + self.transport.get_write_buffer_size()
        return held

    def give_up(self) -> None:
        """Closes the connection, to make room for others."""
        self._is_given_up = True
        if self._is_response_due() and not self.transport.is_closing():
            self.transport.write(BUSY_RESPONSE)
            self.transport.close()
        else:
            self.transport.abort()
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            # The application must not take what has arrived for the whole body.
            cycle.disconnected = True
            cycle.message_event.set()

    def _is_response_due(self) -> bool:
        """Returns whether a response could only be that to the request being read."""
        cycle = self.cycle
        if self.pipeline:
            return False
        if cycle is None:
            return True
        if cycle.response_complete:
            return self._is_in_head and self._bytes_without_body > 0
        return not cycle.response_started

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns the buffer that the next bytes are read into."""
        return _read_buffer

    def buffer_updated(self, size: int) -> None:
        """Parses the bytes that have been read into the buffer."""
        self.data_received(bytes(memoryview(_read_buffer)[:size]))

    def data_received(self, data: bytes) -> None:
        """Parses the next bytes; closes the connection if they exceed a bound."""
        self._unparsed += data
        # With TLS, the first bytes may come before the connection is made.
        if self.transport is not None:
            self._parse()

    def on_message_begin(self) -> None:
        """Prepares the scope of a request; called by the parser."""
        super().on_message_begin()
        if self.cycle is None or self.cycle.response_complete:
            self._kept_bytes = 0
        self.scope["state"][STATE_KEY] = self

    def on_headers_complete(self) -> None:
        """Starts to handle the request; called by the parser."""
        super().on_headers_complete()
        self._is_in_head = False
        if not self.pipeline:
            self._move(http_connections.Stage.BODY)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header and drops a trailer; called by the parser."""
        if self._is_in_head:
            self._kept_bytes += HEADER_BYTES + 2 * (len(name) + len(value))
            super().on_header(name, value)

    def on_body(self, body: bytes) -> None:
        """Keeps a part of the body; called by the parser."""
        self._bytes_without_body = 0
        if not self.cycle.response_complete:
            self._kept_bytes += BODY_COPIES * len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Starts to count the head of the next request; called by the parser."""
        self._bytes_without_body = 0
        self._is_in_head = True
        super().on_message_complete()
        self._move(self._find_stage())

    def on_response_complete(self) -> None:
        """Starts the next request that has arrived."""
        super().on_response_complete()
        self._holding.completed += 1
        self._end_request()
        self._holding.is_passed_on = False
        self._holding.free_bytes = memory_budget.FREE_BYTES
        if not self.pipeline and self.cycle.response_complete:
            self._kept_bytes = 0
        self._holding.update(self.measure_for_budget())
        self._move(self._find_stage())
        if self._unparsed:
            self.loop.call_soon(self._parse)

    def _find_stage(self) -> http_connections.Stage:
        if self.cycle.response_complete:
            return http_connections.Stage.IDLE
        if self.cycle.more_body and not self.pipeline:
            return http_connections.Stage.BODY
        return http_connections.Stage.BUSY

    def _move(self, stage: http_connections.Stage) -> None:
        self._open_connections.move(self, stage, time.monotonic())

    def _parse(self) -> None:
        """Parses what has arrived, until a request has to wait for its turn."""
        while self._unparsed and not self.pipeline and not self.transport.is_closing():
            end = self._unparsed.find(END_OF_HEAD)
            size = len(self._unparsed) if end < 0 else end + len(END_OF_HEAD)
            part = bytes(memoryview(self._unparsed)[:size])
            del self._unparsed[:size]
            self._feed(part)
            self._holding.update(self.measure_for_budget())
        self.flow.set_held(Reason.UNPARSED, len(self._unparsed) >= READ_BYTES)

    def _feed(self, part: bytes) -> None:
        self._unset_keepalive_if_required()
        self._bytes_without_body += len(part)
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserError:
            self._refuse("Invalid HTTP request received.")
            return
        except httptools.HttpParserUpgrade:
            return
        if self._bytes_without_body > MAX_HEAD_BYTES:
            self._refuse("The request's head is too large.")

    def _refuse(self, text: str) -> None:
        """Refuses the request that is being read, and closes the connection.

        A response that says so is written only where no other one is due.
        """
        self._sink.count(metrics.Metric.HEADS_REFUSED)
        self._unparsed.clear()
        cycle = self.cycle
        if self._is_in_head:
            is_due = cycle is None or cycle.response_complete
        else:
            is_due = not cycle.response_started
        if is_due:
            self.send_400_response(text)
        else:
            self.transport.close()


def _drop_headers(scope) -> None:
    """Drops the headers of a request that are not needed any more."""
    headers = scope["headers"]
    if isinstance(headers, list):
        headers.clear()
