"""An entry router: takes callers' connections and forwards straight to upstreams."""

import asyncio
import collections.abc
import dataclasses
import logging
import math

from teaselsill import (
    caller_connection,
    directory,
    fleet_view,
    forwarding,
    http_messages,
    ids,
    listener,
    loop_lag,
    offload,
    peer_reports,
    routing_table,
    tcp_stream,
)

TEXT_TYPE = "text/plain; charset=utf-8"
TIDY_S = 0.25
"""How often idle connections and missing upstreams are looked after."""
LISTEN_AFTER_STOP_S = 3.0
"""How long new connections are taken after a stop began: the balancer needs time."""
EXIT_BEFORE_KILL_S = 0.8
"""A stop gives up on unfinished requests this long before the process is killed."""
STOP_CHECK_S = 0.05
HANDED_OVER_IDLE_S = 10.0
"""How much longer an idle connection is kept that another router closes."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """A short page of text.

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
    """Where a router runs.

    Attributes:
        data_centre: Its data centre.
        host: Its IP address.
        port: The port for connections that other routers hand over; 0 for any.
        cores: The speed of its processor, in cores.
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
        place: Where it runs.
        forwarder: Answers the requests.
        known: The upstreams.
        view: What is known of the other routers.
        has_started: Tells whether the router knows enough to serve.
        grace_s: How long a stop may take, in seconds.
        lag: Tells whether the process has too much work.

    Attributes:
        grace_s: As above.
        cores: The speed of its processor, in cores.
    """

    def __init__(
        self,
        place: Location,
        forwarder: forwarding.Forwarder,
        known: directory.Directory,
        view: fleet_view.FleetView,
        has_started: collections.abc.Callable[[], bool],
        grace_s: float,
        lag: loop_lag.LoopLag,
    ):
        self.grace_s = grace_s
        self.cores = place.cores
        self._place = place
        self._forwarder = forwarder
        self._directory = known
        self._view = view
        self._has_started = has_started
        self._lag = lag
        self._is_stopping = False
        self._connections: set[caller_connection.CallerConnection] = set()
        self._offloader = offload.Offloader(
            view,
            lag,
            self.describe_status,
            lambda: self._find_limits().idle_timeout_s,
        )
        self._handover_port = 0
        self._tasks: set[asyncio.Task] = set()
        self._listeners: list[listener.Listener] = []
        self._was_ready = False

    @property
    def is_ready(self) -> bool:
        """Whether new connections should come here."""
        has_time = not self._is_stopping and not self._lag.is_overloaded
        is_ready = has_time and self._has_started()
        if is_ready != self._was_ready:
            logger.info("readiness changed", extra={"ready": is_ready})
            self._was_ready = is_ready
        return is_ready

    def describe_status(self) -> peer_reports.RouterStatus:
        """Returns what the other routers are told of this one's load."""
        work = self._forwarder.active_requests + self._offloader.cost
        return peer_reports.RouterStatus(
            self._place.data_centre,
            self._place.host,
            self._handover_port,
            work / self.cores,
            takes_connections=self.is_ready and not self._lag.is_busy,
            recalls_connections=self._is_stopping or self._offloader.has_many_relays,
            version=self._forwarder.version,
        )

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The hosts and ports that are listened on, in the order of the calls."""
        return [listening.address for listening in self._listeners]

    def listen(self, host: str, port: int) -> None:
        """Takes callers' connections at an address.

        Raises:
            ListenError: The address cannot be used.
        """
        self._listen(host, port, self._serve_caller)

    def listen_for_routers(self) -> None:
        """Takes the connections that other routers hand over.

        Raises:
            ListenError: The address cannot be used.
        """
        listening = self._listen(
            self._place.host, self._place.port, self._serve_handed_over
        )
        self._handover_port = listening.address[1]

    def listen_for_page(self, host: str, port: int, path: str, render: Render) -> None:
        """Serves one page to operators or the balancer.

        Args:
            host: The address.
            port: The port.
            path: The page's path; other paths are not found.
            render: Returns the page.

        Raises:
            ListenError: The address cannot be used.
        """

        async def answer_page(message, answer) -> None:
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
            await answer.start(head)
            await answer.write(page.text)
            await answer.end()

        async def serve_page(stream: tcp_stream.TcpStream) -> None:
            await self._serve(stream, answer_page)

        self._listen(host, port, serve_page)

    def render_readiness(self) -> Page:
        """Returns the page that tells whether new connections should come here."""
        return Page(200, "OK") if self.is_ready else Page(503, "Not Ready")

    async def run_maintenance(self) -> None:
        """Looks after upstreams and idle connections for ever."""
        while True:
            self._directory.prune(self._now())
            self._offloader.prune_relays(
                0.0 if self._forwarder.is_stopping else math.inf
            )
            await asyncio.sleep(TIDY_S)

    async def stop(self) -> None:
        """Finishes the requests in hand and closes all connections."""
        logger.info("stopping", extra={"underway": self._forwarder.active_requests})
        self._is_stopping = True
        began_at = self._now()
        deadline = began_at + self.grace_s - EXIT_BEFORE_KILL_S
        await asyncio.sleep(min(LISTEN_AFTER_STOP_S, self.grace_s / 2))
        self._close_listeners()
        self._forwarder.is_stopping = True
        while self._now() < deadline:
            self._close_idle()
            is_accepting = any(known.is_accepting for known in self._listeners)
            if not self._tasks and not is_accepting:
                break
            await asyncio.sleep(STOP_CHECK_S)
        logger.info(
            "stopped",
            extra={
                "unfinished": self._forwarder.active_requests,
                "took_s": round(self._now() - began_at, 2),
            },
        )

    def close(self) -> None:
        """Closes all listening addresses and ends all connections at once."""
        self._close_listeners()
        for task in self._tasks:
            task.cancel()
        self._directory.close()

    def _close_listeners(self) -> None:
        for listening in self._listeners:
            listening.close()

    def _close_idle(self) -> None:
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()

    def _listen(self, host: str, port: int, serve: ServeStream) -> listener.Listener:
        listening = listener.Listener(
            host, port, lambda stream: self._start(serve(stream))
        )
        self._listeners.append(listening)
        return listening

    def _start(self, serving: collections.abc.Coroutine) -> None:
        task = asyncio.create_task(serving)
        self._tasks.add(task)
        task.add_done_callback(self._forget)

    def _forget(self, done: asyncio.Task) -> None:
        self._tasks.discard(done)
        if not done.cancelled() and done.exception() is not None:
            logger.error("connection failed", exc_info=done.exception())

    async def _serve_caller(self, stream: tcp_stream.TcpStream) -> None:
        """Serves a caller's connection, or has a router with less to do serve it."""
        if self._is_stopping or not await self._offloader.try_hand_over(stream):
            await self._serve(stream, self._forwarder.serve)

    async def _serve_handed_over(self, stream: tcp_stream.TcpStream) -> None:
        """Serves a connection that another router has handed over.

        The other router closes it when it is idle: if it were closed here, a request
        that the other router has already read would be lost.
        """

        def closes() -> bool:
            is_recalled = self._view.is_recalling(stream.peer_host)
            return is_recalled or self._closes_connections()

        def find_limits() -> routing_table.Limits:
            limits = self._find_limits()
            idle_timeout_s = limits.idle_timeout_s + HANDED_OVER_IDLE_S
            return dataclasses.replace(limits, idle_timeout_s=idle_timeout_s)

        await self._serve(stream, self._forwarder.serve, find_limits, closes)

    async def _serve(
        self,
        stream: tcp_stream.TcpStream,
        answer: caller_connection.Serve,
        find_limits: collections.abc.Callable[[], routing_table.Limits] | None = None,
        closes: collections.abc.Callable[[], bool] | None = None,
    ) -> None:
        """Serves a connection until it ends.

        Args:
            stream: The connection.
            answer: Answers each of its requests.
            find_limits: Returns what the caller may send; by default, as configured.
            closes: Tells whether it ends after the next answer; by default, if the
                caller should come back elsewhere.
        """
        connection = caller_connection.CallerConnection(
            stream,
            answer,
            find_limits or self._find_limits,
            closes=closes or self._closes_connections,
            must_close=lambda: self._is_stopping,
        )
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    def _closes_connections(self) -> bool:
        """Tells whether callers should come back over a new connection, elsewhere."""
        return self._is_stopping or self._lag.is_busy

    def _find_limits(self) -> routing_table.Limits:
        table = self._forwarder.table
        return table.limits if table is not None else routing_table.Limits()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
