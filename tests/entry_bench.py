"""Runs an entry router in this process, with upstreams scripted by the test."""

import asyncio
import contextlib

from teaselsill import (
    admission,
    announcements,
    calls,
    directory,
    entry_metrics,
    entry_router,
    fleet_view,
    forwarding,
    http_messages,
    ids,
    listener,
    loop_lag,
    request_parser,
    response_parser,
    retry_budget,
    tcp_stream,
)
from tests import test_routing_table, test_upstream_list

HOST = "127.0.0.1"
SERVICE = ids.ServiceName("s")
BUDGET = retry_budget.BudgetPolicy(ratio=1.0, window_s=10.0, burst=10.0)


class PlainDialect(calls.Dialect):
    """A dialect with plain header names such as `id`, `budget-ms` and `last`.

    The header `parts` names the parts of a prompt, comma-separated; each counts as
    100 tokens.
    """

    def read_call(self, message, received_at):
        """See `Dialect.read_call`."""
        request = message.get("id")
        if request is None:
            raise calls.BadCallError("no id")
        budget_ms = message.get("budget-ms")
        parts = (message.get("parts") or "").split(",")
        return calls.Call(
            id=ids.RequestId(request),
            message=message,
            received_at=received_at,
            budget_s=float(budget_ms) / 1000 if budget_ms else None,
            key=message.get("key"),
            parts=tuple(calls.PromptPart(part, 100) for part in parts if part),
        )

    def make_headers(self, call, target, account, left_s, last_event, fetch_from):
        """See `Dialect.make_headers`."""
        headers = [h for h in call.message.headers if h[0] not in ("budget-ms", "key")]
        headers.append(("budget-ms", str(int(left_s * 1000))))
        if last_event is not None:
            headers.append(("last", last_event))
        return headers

    def read_response(self, head):
        """See `Dialect.read_response`."""
        return calls.ResponseMetadata(
            request=head.get("id"),
            has_not_run=head.get("not-run") is not None,
            is_wrong_instance=head.status == 421,
            is_sealed=head.get("seal") is not None,
            announcement=announcements.Announcement(
                is_leaving=head.get("leaving") is not None,
                pause_s=float(head.get("pause")) if head.get("pause") else None,
                rate_limit=announcements.Limited(float(head.get("limit")))
                if head.get("limit")
                else announcements.Unlimited(),
            ),
        )

    def make_rejection_headers(self, call, retry_after_s):
        """See `Dialect.make_rejection_headers`."""
        if retry_after_s is None:
            return []
        return [("retry-after", f"{retry_after_s:.2f}")]


class ScriptedUpstream:
    """An upstream that runs a script for each request.

    Args:
        name: The id of the upstream.
        script: A coroutine function that gets the request and the TCP stream.
        data_centre: Where it runs.

    Attributes:
        requests: The received requests.
        connections: The number of accepted connections.
        disconnected: Set when the router closed a connection while a script ran.
    """

    def __init__(self, name, script, data_centre="a"):
        self.name = name
        self.data_centre = ids.DataCentre(data_centre)
        self.requests = []
        self.connections = 0
        self.disconnected = asyncio.Event()
        self._script = script
        self._listener = None
        self._port = 0
        self._tasks = set()
        self._streams = set()

    @property
    def is_listening(self):
        """Whether the upstream has been started."""
        return self._listener is not None

    async def __aenter__(self):
        """Starts listening."""
        self._listener = listener.Listener(HOST, self._port, self._accept)
        return self

    async def __aexit__(self, *exc):
        """Stops listening and cancels all scripts."""
        if self._listener is not None:
            self._listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def crash(self):
        """Stops listening and closes all connections in the middle of their responses.

        The upstream can be started again at the same port.
        """
        self._port = self._listener.address[1]
        self._listener.close()
        self._listener = None
        for stream in self._streams:
            stream.abort()

    def describe(self, state=None):
        """Returns the upstream's entry in the list of upstreams."""
        return test_upstream_list.make_upstream(
            self.name,
            host=HOST,
            port=self._listener.address[1],
            data_centre=self.data_centre,
            **({"state": state} if state else {}),
        )

    async def wait_disconnected(self):
        """Waits until the router closes a connection while a script runs."""
        async with asyncio.timeout(5.0):
            await self.disconnected.wait()

    def _accept(self, stream):
        self.connections += 1
        task = asyncio.create_task(self._serve(stream))
        self._tasks.add(task)

    async def _serve(self, stream):
        parser = request_parser.RequestParser(100_000, 1_000_000)
        self._streams.add(stream)
        try:
            while data := await stream.read():
                parser.feed(data)
                while (request := parser.take()) is not None:
                    self.requests.append(request)
                    await self._run_script(request, stream)
        except tcp_stream.ConnectionResetError:
            pass
        finally:
            self._streams.discard(stream)
            stream.abort()

    async def _run_script(self, request, stream):
        running = asyncio.create_task(self._script(request, stream))
        closing = asyncio.create_task(stream.wait_closed_by_peer())
        await asyncio.wait({running, closing}, return_when=asyncio.FIRST_COMPLETED)
        closing.cancel()
        if running.done():
            running.result()
            return
        running.cancel()
        self.disconnected.set()


def make_response(request, body=b"ok", status=200, headers=()):
    """Returns the bytes of a complete response."""
    fields = [
        ("id", request.get("id")),
        ("seal", "s"),
        ("content-length", str(len(body))),
        *headers,
    ]
    return http_messages.encode_head(status, "X", fields) + body


def stream_head(request):
    """Returns the response head of a stream of events."""
    fields = [
        ("id", request.get("id")),
        ("seal", "s"),
        ("content-type", "text/event-stream"),
        ("transfer-encoding", "chunked"),
    ]
    return http_messages.encode_head(200, "OK", fields)


def event(number):
    """Returns one event encoded as a chunk."""
    return http_messages.encode_chunk(b"id: %d\ndata: x\n\n" % number)


def stream_until(go_on):
    """Returns a script that sends one event and ends the stream once `go_on` is set."""

    async def script(request, stream):
        stream.write(stream_head(request) + event(1))
        await go_on.wait()
        stream.write(http_messages.LAST_CHUNK)

    return script


async def respond_ok(request, stream):
    """A script that responds at once with status 200."""
    stream.write(make_response(request))


class EntryBench(contextlib.AsyncExitStack):
    """An entry router and its upstreams.

    Args:
        upstreams: The upstreams.
        name: The router's id.
        cores: The CPU capacity of the router, in cores.
        budget: The account of the bytes that the router holds for its clients.
        max_sockets: How many sockets the router may have open.
        fields: Fields of the only route.

    Attributes:
        router: The router.
        forwarder: The router's forwarder.
        directory: The router's directory of upstreams.
        view: The router's view of the fleet.
        metrics: The router's metrics.
        lag: Measures the delay of the router's event loop.
    """

    def __init__(
        self, upstreams, name="r", cores=1.0, budget=None, max_sockets=1000, **fields
    ):
        super().__init__()
        self._upstreams = upstreams
        self._fields = fields
        self.directory = directory.Directory()
        self.lag = loop_lag.LoopLag()
        self.metrics = entry_metrics.EntryMetrics(self.directory)
        self.view = view = fleet_view.FleetView(
            ids.InstanceId(name),
            self.directory,
            lambda: self.router.describe_status(),
        )
        self.forwarder = forwarding.Forwarder(
            PlainDialect(),
            self.directory,
            ids.DataCentre("a"),
            BUDGET,
            view,
            admission.Admission(view.usage),
            self.metrics,
            self.lag,
            count_routers=lambda: 1,
        )
        self.router = entry_router.EntryRouter(
            ids.InstanceId(name),
            entry_router.Location(ids.DataCentre("a"), HOST, 0, cores),
            self.forwarder,
            self.directory,
            view,
            lambda: True,
            8.0,
            self.lag,
            budget=budget,
            max_sockets=max_sockets,
        )
        self.port = 0

    async def __aenter__(self):
        """Starts the upstreams and the router."""
        for upstream in self._upstreams:
            if not upstream.is_listening:
                await self.enter_async_context(upstream)
            self.directory.listed.put(upstream.describe())
        self.apply_configuration()
        self.router.listen(HOST, 0)
        self.router.listen_for_routers()
        self.port = self.router.addresses[0][1]
        return self

    async def __aexit__(self, *exc):
        """Stops the router and the upstreams."""
        self.router.close()
        return await super().__aexit__(*exc)

    def apply_configuration(self, version=1, keys=None, **fields):
        """Applies a new configuration to the router."""
        route = test_routing_table.make_route(**(self._fields | fields))
        self.forwarder.apply_configuration(
            test_routing_table.make_table([route], version, keys)
        )

    async def connect(self):
        """Opens a caller's connection to the router."""
        return Caller(await tcp_stream.connect(HOST, self.port, 1.0))

    async def ask(self, request="1", **fields):
        """Sends one request on a new connection and returns the response."""
        caller = await self.connect()
        try:
            return await caller.ask(request, **fields)
        finally:
            caller.abort()


class Caller:
    """A caller's connection.

    Attributes:
        received: The bytes received since the last request was sent.
    """

    def __init__(self, stream):
        self._stream = stream
        self.received = b""

    def send(self, request="1", path="/x/1", method="POST", body=b"", **headers):
        """Sends a request."""
        fields = [("host", "a.example"), ("id", request)]
        fields += [(name.replace("_", "-"), value) for name, value in headers.items()]
        self.received = b""
        self._stream.write(http_messages.encode_request(method, path, fields, body))

    def send_bytes(self, data):
        """Sends raw bytes."""
        self._stream.write(data)

    async def ask(self, request="1", **fields):
        """Sends a request and returns the response; see `receive`."""
        self.send(request, **fields)
        return await self.receive()

    async def receive(self, timeout_s=5.0):
        """Returns the status, the body and whether the response was complete."""
        parser = response_parser.ResponseParser("POST")
        status, body = 0, b""
        async with asyncio.timeout(timeout_s):
            while not parser.is_complete:
                try:
                    data = await self._stream.read()
                    self.received += data
                    parts = parser.feed(data) if data else parser.close()
                except (
                    tcp_stream.ConnectionResetError,
                    http_messages.PrematureCloseError,
                ):
                    return status, body, False
                for part in parts:
                    match part:
                        case http_messages.Head():
                            status = part.status
                        case http_messages.Data(data=data):
                            body += data
        return status, body, True

    async def receive_until(self, mark):
        """Receives until the bytes `mark` have arrived."""
        async with asyncio.timeout(5.0):
            while mark not in self.received:
                data = await self._stream.read()
                if not data:
                    raise EOFError(f"closed before {mark!r}")
                self.received += data

    async def wait_closed(self):
        """Waits until the router closes the connection."""
        async with asyncio.timeout(5.0):
            await self._stream.wait_closed_by_peer()

    def close(self):
        """Closes the connection after sending all written bytes."""
        self._stream.close()

    def abort(self):
        """Closes the connection at once."""
        self._stream.abort()
