"""An entry router: accepts callers' connections and forwards to upstreams directly."""

import asyncio
import collections.abc
import dataclasses
import logging
import math
import time

from teaselsill import (
    caller_connection,
    client_refusals,
    connection_limit,
    directory,
    fleet_view,
    forwarding,
    http_messages,
    ids,
    listener,
    loop_lag,
    memory_budget,
    offload,
    offload_server,
    peer_reports,
    permit_server,
    routing_table,
    tcp_stream,
    topic_copy,
)

TEXT_TYPE = "text/plain; charset=utf-8"
MAINTENANCE_INTERVAL_S = 0.25
"""How often idle connections and unlisted upstreams are removed."""
LISTEN_AFTER_STOP_S = 3.0
"""How long a stopping router accepts connections, until the balancer has noticed."""
KILL_MARGIN_S = 0.8
"""How long before the process is killed a stop gives up on unfinished requests."""
RESPONSE_MARGIN_S = 0.2
"""How long before that unfinished requests get a response that says so."""
STOP_CHECK_INTERVAL_S = 0.05
PERMIT_PORT_OFFSET = 1
"""The port for permits follows the one for requests of other routers."""
COPY_PORT_OFFSET = 2
"""The port for copies of a topic follows the one for permits."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """A response that is made at once.

    Attributes:
        status: The HTTP status.
        reason: The reason phrase.
        text: The body.
    """

    status: int
    reason: str
    text: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """The location of a router.

    Attributes:
        data_centre: The data centre.
        host: The IP address.
        port: The port for requests that other routers offer; the next one is for
            permits. 0 for any ports.
        cores: The CPU capacity, in cores.
    """

    data_centre: ids.DataCentre
    host: str
    port: int
    cores: float


Render = collections.abc.Callable[[], Page]
ServeStream = collections.abc.Callable[
    [tcp_stream.TcpStream], collections.abc.Coroutine
]


class EntryRouter:
    """Serves callers and the balancer's readiness checks.

    Args:
        router: The id of the router.
        location: Its location.
        forwarder: Serves the requests.
        upstreams: The directory of upstreams.
        view: The status of the other routers, as reported by them.
        has_started: Returns whether the router has what it needs to serve requests.
        grace_s: The maximum duration of a stop, in seconds.
        lag: Measures the delay of the event loop.
        is_behind: Returns whether this router cannot have the newest configuration.
        budget: The account of the bytes that the process holds for its clients.
        max_sockets: How many sockets the process may have open.

    Attributes:
        grace_s: The maximum duration of a stop, in seconds.
        cores: The CPU capacity of the router, in cores.
        budget: The account of the bytes that the process holds for its clients.
        refusals: Counts what clients are refused for.
        caller_limit: The bound on connections of callers and to upstreams.
        router_limit: The bound on connections that other routers have opened.
    """

    def __init__(
        self,
        router: ids.InstanceId,
        location: Location,
        forwarder: forwarding.Forwarder,
        upstreams: directory.Directory,
        view: fleet_view.FleetView,
        has_started: collections.abc.Callable[[], bool],
        grace_s: float,
        lag: loop_lag.LoopLag,
        is_behind: collections.abc.Callable[[], bool] = lambda: False,
        budget: memory_budget.MemoryBudget | None = None,
        max_sockets: float = math.inf,
    ):
        self.grace_s = grace_s
        self.cores = location.cores
        self.budget = budget or memory_budget.MemoryBudget()
        self.refusals = client_refusals.ClientRefusals(forwarder.metrics.note_refused)
        self.budget.on_refused = self._note_no_memory
        self.caller_limit = self._make_limit()
        self.caller_limit.count_idle = upstreams.count_idle_connections
        self.caller_limit.release_idle = upstreams.close_idle_connection
        self.router_limit = self._make_limit()
        self._limits = [self.caller_limit, self.router_limit]
        self.limit_sockets(max_sockets)
        forwarder.use(self.budget, self.caller_limit)
        self._location = location
        self._forwarder = forwarder
        self._directory = upstreams
        self._view = view
        self._has_started = has_started
        self._lag = lag
        self._is_stopping = False
        self._connections: set[caller_connection.CallerConnection] = set()
        self._offloader = offload.Offloader(
            router, view, lag, forwarder, self.describe_status, is_behind
        )
        self._offload_server = offload_server.OffloadServer(
            forwarder.serve, self._takes_requests, lambda: forwarder.version
        )
        self._permit_server = permit_server.PermitServer(
            forwarder.permits.issuer, view, upstreams
        )
        self._request_port = 0
        self._copy_port = 0
        self._tasks: set[asyncio.Task] = set()
        self._listeners: list[listener.Listener] = []
        self._started_at = time.monotonic()
        self._was_ready = False

    def limit_sockets(self, max_sockets: float) -> None:
        """Applies a bound on the sockets of the process."""
        for limit, ratio in (
            (self.caller_limit, connection_limit.CALLER_RATIO),
            (self.router_limit, connection_limit.ROUTER_RATIO),
        ):
            limit.max_connections = max(
                connection_limit.MIN_CONNECTIONS, ratio * max_sockets
            )

    def _note_no_memory(self) -> None:
        self.refusals.note(client_refusals.Cause.NO_MEMORY)

    def _note_no_connections(self) -> None:
        self.refusals.note(client_refusals.Cause.NO_CONNECTIONS)

    def _make_limit(self) -> connection_limit.ConnectionLimit:
        return connection_limit.ConnectionLimit(on_closed=self._note_no_connections)

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send new connections to this router."""
        can_accept = not self._is_stopping and not self._lag.is_overloaded
        is_ready = can_accept and self._has_started()
        if is_ready != self._was_ready:
            logger.info("readiness changed", extra={"ready": is_ready})
            self._was_ready = is_ready
        return is_ready

    def describe_status(self) -> peer_reports.RouterStatus:
        """Returns the status of this router that is reported to the others."""
        load = self._forwarder.active_requests + self._offloader.cost
        return peer_reports.RouterStatus(
            self._location.data_centre,
            self._location.host,
            connection_port=0,
            load=load / self.cores,
            takes_connections=False,
            recalls_connections=False,
            version=self._forwarder.version,
            uptime_s=int(time.monotonic() - self._started_at),
            request_port=self._request_port,
            takes_requests=self._takes_requests() and not self._lag.is_busy,
            permit_port=0 if self._is_stopping else self._permit_server.port,
            copy_port=self._copy_port,
        )

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The listening hosts and ports, in the order of the calls."""
        return [each.address for each in self._listeners]

    def listen(self, host: str, port: int) -> None:
        """Accepts callers' connections at an address.

        Raises:
            ListenError: The address cannot be used.
        """
        self._listen(host, port, self._serve_caller, self.caller_limit)

    def listen_for_routers(self) -> None:
        """Accepts connections of routers that offer requests or ask for permits.

        Raises:
            ListenError: The address cannot be used.
        """
        new_listener = self._listen(
            self._location.host,
            self._location.port,
            self._offload_server.serve_connection,
            self.router_limit,
            serves_routers=True,
        )
        self._request_port = new_listener.address[1]
        port = self._location.port and self._location.port + PERMIT_PORT_OFFSET
        self._permit_server.listen(
            self._location.host, port, self.budget, self.router_limit
        )

    def listen_for_copies(self, render: Render) -> None:
        """Serves copies of the topic with the configuration to other routers.

        Args:
            render: Returns the page with the copy.

        Raises:
            ListenError: The address cannot be used.
        """
        port = self._location.port and self._location.port + COPY_PORT_OFFSET
        new_listener = self.listen_for_page(
            self._location.host, port, topic_copy.PATH, render, self.router_limit
        )
        self._copy_port = new_listener.address[1]

    def listen_for_page(
        self,
        host: str,
        port: int,
        path: str,
        render: Render,
        limit: connection_limit.ConnectionLimit | None = None,
    ) -> listener.Listener:
        """Serves one page to operators, the balancer or other routers.

        Args:
            host: The IP address to listen on.
            port: The port to listen on.
            path: The page's path; other paths get status 404.
            render: Returns the page.
            limit: The bound on its connections; by default it has one of its own, so
                that callers' connections do not keep the balancer out.

        Returns:
            The listener.

        Raises:
            ListenError: The address cannot be used.
        """
        limit = limit or connection_limit.ConnectionLimit(
            connection_limit.PAGE_CONNECTIONS, self._note_no_connections
        )
        if limit not in self._limits:
            self._limits.append(limit)

        async def write_page(message, response) -> None:
            page = render() if message.path == path else Page(404, "Not Found")
            head = http_messages.Head(
                page.status,
                page.reason,
                [
                    ("content-type", TEXT_TYPE),
                    ("content-length", str(len(page.text))),
                ],
                http_messages.Framing.LENGTH,
                keep_alive=True,
            )
            try:
                async with asyncio.timeout(caller_connection.UNREAD_S):
                    await response.start(head)
                    await response.write(page.text)
                    await response.end()
            except TimeoutError:
                response.abort()

        async def serve_page(stream: tcp_stream.TcpStream) -> None:
            await self._serve(stream, write_page, limit)

        return self._listen(host, port, serve_page, limit)

    def render_readiness(self) -> Page:
        """Returns the readiness page for the balancer."""
        return Page(200, "OK") if self.is_ready else Page(503, "Not Ready")

    async def run_maintenance(self) -> None:
        """Removes unlisted upstreams and idle connections periodically."""
        while True:
            self._directory.prune(self._now())
            self._offloader.drop_unused()
            self._forwarder.permits.drop_unused()
            self._check_clients()
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    def _check_clients(self) -> None:
        """Measures what is held for clients, and logs what they were refused for."""
        now = self._now()
        self.budget.tick(now)
        for limit in self._limits:
            limit.drop_unread(now)
        held_bytes = self.budget.held_bytes
        self.refusals.log(now, held_bytes, self.caller_limit.count)

    async def stop(self) -> None:
        """Finishes the requests in progress and closes all connections."""
        logger.info("stopping", extra={"underway": self._forwarder.active_requests})
        self._is_stopping = True
        self._view.report_status()
        began_at = self._now()
        deadline = began_at + self.grace_s - KILL_MARGIN_S
        self._forwarder.shutdown.begin(deadline - RESPONSE_MARGIN_S)
        await asyncio.sleep(min(LISTEN_AFTER_STOP_S, self.grace_s / 2))
        self._close_listeners()
        self._forwarder.shutdown.is_refusing = True
        while self._now() < deadline:
            # After a delay, requests that have arrived may not have been read.
            await tcp_stream.process_pending_events()
            self._close_idle()
            is_accepting = any(each.is_accepting for each in self._listeners)
            if not self._tasks and not is_accepting:
                break
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        logger.info(
            "stopped",
            extra={
                "unfinished": self._forwarder.active_requests,
                "took_s": round(self._now() - began_at, 2),
            },
        )

    def close(self) -> None:
        """Closes all listeners and connections at once."""
        self._close_listeners()
        for task in self._tasks:
            task.cancel()
        self._offloader.close()
        self._permit_server.close()
        self._forwarder.close()
        self._directory.close()

    def _close_listeners(self) -> None:
        for each in self._listeners:
            each.close()

    def _close_idle(self) -> None:
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()
        self._offload_server.announce_closing()

    def _listen(
        self,
        host: str,
        port: int,
        serve: ServeStream,
        limit: connection_limit.ConnectionLimit,
        serves_routers: bool = False,
    ) -> listener.Listener:
        new_listener = listener.Listener(
            host,
            port,
            lambda stream: self._start(serve(stream)),
            self.budget,
            limit,
            serves_routers,
        )
        self._listeners.append(new_listener)
        return new_listener

    def _start(self, serving: collections.abc.Coroutine) -> None:
        task = asyncio.create_task(serving)
        self._tasks.add(task)
        task.add_done_callback(self._remove_task)

    def _remove_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("connection failed", exc_info=task.exception())

    async def _serve_caller(self, stream: tcp_stream.TcpStream) -> None:
        await self._serve(
            stream, self._offloader.serve, self.caller_limit, self._forwarder.refuse
        )

    def _takes_requests(self) -> bool:
        """Returns whether a request that another router offers now is served."""
        is_stopping = self._forwarder.shutdown.is_refusing
        has_room = not self.budget.is_pausing and not self.caller_limit.is_full
        return self.is_ready and not is_stopping and has_room

    async def _serve(
        self,
        stream: tcp_stream.TcpStream,
        serve: caller_connection.Serve,
        limit: connection_limit.ConnectionLimit,
        refuse: caller_connection.Serve = caller_connection.refuse_without_memory,
    ) -> None:
        """Serves a connection until it ends.

        Args:
            stream: The connection.
            serve: Serves each of its requests.
            limit: The bound that the connection counts toward.
            refuse: Refuses a request for which no memory is left.
        """
        connection = caller_connection.CallerConnection(
            stream,
            serve,
            self._find_limits,
            should_close=self._should_close,
            must_close=lambda: self._is_stopping,
            budget=self.budget,
            refusals=self.refusals,
            find_client=self._find_client,
            refuse=refuse,
        )
        self._connections.add(connection)
        if not stream.is_lost:
            limit.add(connection)
            stream.on_lost.append(lambda: limit.remove(connection))
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    def _should_close(self) -> bool:
        """Returns whether callers should reconnect, preferably to another router."""
        return self._is_stopping or (self._lag.is_busy and not self._offloader.relieves)

    def _find_client(self, headers: http_messages.Headers) -> str:
        return self._forwarder.find_account(headers) or ""

    def _find_limits(self) -> routing_table.Limits:
        table = self._forwarder.table
        return table.limits if table is not None else routing_table.Limits()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
