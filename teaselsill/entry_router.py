"""An entry router: takes callers' connections and forwards straight to upstreams."""

import asyncio
import collections.abc
import dataclasses
import logging

from teaselsill import (
    caller_connection,
    directory,
    forwarding,
    http_messages,
    listener,
    loop_lag,
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


Render = collections.abc.Callable[[], Page]


class EntryRouter:
    """Serves callers and the balancer's readiness checks.

    Args:
        forwarder: Answers the requests.
        known: The upstreams.
        has_started: Tells whether the router knows enough to serve.
        grace_s: How long a stop may take, in seconds.
        lag: Tells whether the process has too much work.
    """

    def __init__(
        self,
        forwarder: forwarding.Forwarder,
        known: directory.Directory,
        has_started: collections.abc.Callable[[], bool],
        grace_s: float,
        lag: loop_lag.LoopLag,
    ):
        self._forwarder = forwarder
        self._directory = known
        self._has_started = has_started
        self._grace_s = grace_s
        self._lag = lag
        self._is_stopping = False
        self._connections: set[caller_connection.CallerConnection] = set()
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

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The hosts and ports that are listened on, in the order of the calls."""
        return [listening.address for listening in self._listeners]

    def listen(self, host: str, port: int) -> None:
        """Takes callers' connections at an address.

        Raises:
            ListenError: The address cannot be used.
        """
        self._listen(host, port, self._forwarder.serve)

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

        self._listen(host, port, answer_page)

    def render_readiness(self) -> Page:
        """Returns the page that tells whether new connections should come here."""
        return Page(200, "OK") if self.is_ready else Page(503, "Not Ready")

    async def tidy(self) -> None:
        """Looks after upstreams and idle connections for ever."""
        while True:
            self._directory.tidy(self._now())
            await asyncio.sleep(TIDY_S)

    async def stop(self) -> None:
        """Finishes the requests in hand and closes all connections."""
        logger.info("stopping", extra={"underway": self._forwarder.underway})
        self._is_stopping = True
        began_at = self._now()
        deadline = began_at + self._grace_s - EXIT_BEFORE_KILL_S
        await asyncio.sleep(min(LISTEN_AFTER_STOP_S, self._grace_s / 2))
        self._close_listeners()
        self._forwarder.is_stopping = True
        while self._now() < deadline:
            self._close_idle()
            if not self._connections:
                break
            await asyncio.sleep(STOP_CHECK_S)
        logger.info(
            "stopped",
            extra={
                "unfinished": self._forwarder.underway,
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

    def _listen(self, host: str, port: int, serve) -> None:
        self._listeners.append(
            listener.Listener(host, port, lambda stream: self._accept(stream, serve))
        )

    def _accept(self, stream: tcp_stream.TcpStream, serve) -> None:
        connection = caller_connection.CallerConnection(
            stream,
            serve,
            self._find_limits,
            closes=self._closes_connections,
            must_close=lambda: self._is_stopping,
        )
        self._connections.add(connection)
        task = asyncio.create_task(connection.run())
        self._tasks.add(task)

        def forget(done: asyncio.Task) -> None:
            self._tasks.discard(done)
            self._connections.discard(connection)
            if not done.cancelled() and done.exception() is not None:
                logger.error("connection failed", exc_info=done.exception())

        task.add_done_callback(forget)

    def _closes_connections(self) -> bool:
        """Tells whether callers should come back over a new connection, elsewhere."""
        return self._is_stopping or self._lag.is_overloaded

    def _find_limits(self) -> routing_table.Limits:
        table = self._forwarder.table
        return table.limits if table is not None else routing_table.Limits()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
