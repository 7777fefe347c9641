"""Connections between entry routers, over which they exchange their reports."""

import asyncio
import collections.abc
import contextlib
import logging
import math
import random

import msgspec

from teaselsill import (
    connection_limit,
    fleet_view,
    ids,
    listener,
    loop_lag,
    memory_budget,
    peer_liveness,
    peer_reports,
    report_routes,
    tcp_stream,
    wire,
)

MAX_REPORT_BYTES = 1024 * 1024
MAX_UNSENT_BYTES = 256 * 1024
"""If a peer leaves more bytes unread, its connection is closed."""
CONNECT_TIMEOUT_S = 0.5
INITIAL_BACKOFF_S = 0.2
"""Delay after a failed connection attempt; it doubles with each further failure."""
MAX_BACKOFF_S = 3.0
SUSPICION_S = 5.0
"""How long a contact that was unreachable or silent is only chosen as a last resort."""
UNCONNECTED_PENALTY = 1
SUSPECTED_PENALTY = 2

logger = logging.getLogger(__name__)


OnReport = collections.abc.Callable[[peer_reports.Report], None]
MakeReport = collections.abc.Callable[[], peer_reports.Report]


class PeerLinks:
    """The connections between one router and the others.

    Args:
        router: This router.
        data_centre: Where it runs.
        on_report: Called with each report that is received.
        make_greeting: Returns the report that a router gets when a connection to it
            opens.
        lag: Measures the delay of the event loop; by default, it is never interrupted.
    """

    def __init__(
        self,
        router: ids.InstanceId,
        data_centre: ids.DataCentre,
        on_report: OnReport,
        make_greeting: MakeReport | None = None,
        lag: loop_lag.LoopLag | None = None,
    ):
        self._router = router
        self._on_report = on_report
        self._make_greeting = make_greeting
        self._routes = report_routes.ReportRoutes(router, data_centre)
        self._most_peers = 0
        self._stream_by_peer: dict[ids.InstanceId, tcp_stream.TcpStream] = {}
        self._liveness = peer_liveness.PeerLiveness(lag or loop_lag.LoopLag())
        self._suspected_until_by_peer: dict[ids.InstanceId, float] = {}
        self._connection_task_by_peer: dict[ids.InstanceId, asyncio.Task] = {}
        self._heard_again_by_peer: dict[ids.InstanceId, asyncio.Event] = {}
        self._receiving: set[asyncio.Task] = set()
        self._accepted_by_router: dict[ids.InstanceId, tcp_stream.TcpStream] = {}
        self._listener: listener.Listener | None = None

    def listen(
        self,
        host: str,
        port: int,
        budget: memory_budget.MemoryBudget | None = None,
        limit: connection_limit.ConnectionLimit | None = None,
    ) -> None:
        """Starts to accept the connections of other routers.

        Args:
            host: The IP address.
            port: The port; 0 for any free one.
            budget: The account that the bytes of the connections belong to.
            limit: The bound on the connections.

        Raises:
            ListenError: The router cannot listen on the address.
        """
        self._listener = listener.Listener(
            host, port, self._accept, budget, limit, serves_routers=True
        )

    @property
    def port(self) -> int:
        """The port that the router listens on."""
        return self._listener.address[1]

    def close(self) -> None:
        """Closes all connections."""
        if self._listener is not None:
            self._listener.close()
        for task in [*self._connection_task_by_peer.values(), *self._receiving]:
            task.cancel()

    def put_peer(self, peer: report_routes.Peer) -> None:
        """Adds another router, or updates its address."""
        if peer.id == self._router or self._routes.peer_by_id.get(peer.id) == peer:
            return
        self._disconnect(peer.id)
        self._routes.put(peer)
        self._most_peers = max(self._most_peers, len(self._routes.peer_by_id))
        self._update_connections()

    def has_peer(self, peer: ids.InstanceId) -> bool:
        """Returns whether another router is listed."""
        return peer in self._routes.peer_by_id

    def count_routers(self) -> int:
        """Returns the largest number of routers seen at a time, including this one."""
        return self._most_peers + 1

    def count_peers(self) -> int:
        """Returns the number of other routers that are listed."""
        return len(self._routes.peer_by_id)

    def remove_peer(self, peer: ids.InstanceId) -> None:
        """Removes a router that has left, and closes the connection to it."""
        self._disconnect(peer)
        self._routes.remove(peer)
        self._update_connections()

    def keep_only(self, peers: set[ids.InstanceId]) -> None:
        """Removes all routers that are not among the given ones.

        One that is heard is kept: the log has lost its entry and gets it again.
        """
        for peer in list(self._routes.peer_by_id):
            if peer not in peers and not self._liveness.is_live(peer, _now()):
                self.remove_peer(peer)

    def send(self, report: peer_reports.Report) -> None:
        """Sends a report to local routers and one contact in each other data centre."""
        self._suspect_silent_contacts()
        ranked_contacts = self._update_connections()
        self._send_to(self._routes.list_local(), report)
        self._send_to_unlisted(report)
        contacts = [
            contact
            for ranked in ranked_contacts
            if (contact := self._find_connected(ranked)) is not None
        ]
        if contacts:
            self._send_to(
                contacts, msgspec.structs.replace(report, should_forward=True)
            )

    def _send_to(self, peers, report: peer_reports.Report) -> None:
        packed = wire.pack(report)
        for peer in peers:
            stream = self._stream_by_peer.get(peer)
            if stream is None:
                continue
            if stream.unsent_bytes > MAX_UNSENT_BYTES:
                logger.warning("peer does not read", extra={"peer": peer})
                stream.abort()
            else:
                stream.write(packed)

    def _send_to_unlisted(self, report: peer_reports.Report) -> None:
        """Sends a report to routers that have connected before they were listed.

        While the store is away, they may not be listed for long. A router that hears
        another one, but is not heard by it, would take over work that both do then.
        """
        unlisted = self._accepted_by_router.keys() - self._routes.peer_by_id.keys()
        for router in unlisted:
            self._accepted_by_router[router].write(wire.pack(report))

    def _list_contacts(self) -> list[list[ids.InstanceId]]:
        return self._routes.list_contacts(self._find_penalty)

    def _find_penalty(self, peer: ids.InstanceId) -> int:
        """Returns the penalty of a router as a contact.

        Connected routers are preferred, since others may be gone for good.
        """
        if self._suspected_until_by_peer.get(peer, -math.inf) > _now():
            return SUSPECTED_PENALTY
        return 0 if peer in self._stream_by_peer else UNCONNECTED_PENALTY

    def _find_connected(self, peers: list[ids.InstanceId]) -> ids.InstanceId | None:
        return next((peer for peer in peers if peer in self._stream_by_peer), None)

    def _suspect_silent_contacts(self) -> None:
        """Suspects contacts that are connected but have sent no report for too long."""
        now = _now()
        for ranked in self._list_contacts():
            for peer in ranked:
                is_connected = peer in self._stream_by_peer
                if is_connected and not self._liveness.is_responsive(peer, now):
                    self._suspect(peer, "silent")

    def _suspect(self, peer: ids.InstanceId, reason: str) -> None:
        now = _now()
        if self._suspected_until_by_peer.get(peer, -math.inf) <= now:
            logger.info("peer doubted", extra={"peer": peer, "reason": reason})
        self._suspected_until_by_peer[peer] = now + SUSPICION_S

    def _update_connections(self) -> list[list[ids.InstanceId]]:
        """Connects to the routers that get reports, and closes other connections.

        Returns:
            The contacts in each other data centre, the best first.
        """
        contacts = self._list_contacts()
        wanted = set(self._routes.list_local()).union(*contacts)
        for peer in self._connection_task_by_peer.keys() - wanted:
            self._disconnect(peer)
        for peer in wanted - self._connection_task_by_peer.keys():
            task = asyncio.create_task(
                self._keep_connected(self._routes.peer_by_id[peer])
            )
            self._connection_task_by_peer[peer] = task
        return contacts

    def _disconnect(self, peer: ids.InstanceId) -> None:
        self._heard_again_by_peer.pop(peer, None)
        task = self._connection_task_by_peer.pop(peer, None)
        if task is not None:
            task.cancel()

    async def send_reports(self, view: fleet_view.FleetView) -> None:
        """Sends the reports of a view until it is cancelled."""
        sent_at = -math.inf
        loop = asyncio.get_running_loop()
        idle_s = peer_reports.IDLE_REPORT_S
        while True:
            await view.wait_for_report()
            if view.has_unreported_changes or loop.time() - sent_at > idle_s:
                sent_at = loop.time()
                self.send(view.take_report())

    async def _keep_connected(self, peer: report_routes.Peer) -> None:
        """Keeps a connection to one router until it is cancelled."""
        heard_again = self._heard_again_by_peer.setdefault(peer.id, asyncio.Event())
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                stream = await tcp_stream.connect(
                    peer.host, peer.port, CONNECT_TIMEOUT_S
                )
            except tcp_stream.ConnectionFailedError as error:
                logger.info(
                    "peer not reached", extra={"peer": peer.id, "reason": str(error)}
                )
                self._suspect(peer.id, "not reached")
                await _wait(heard_again, backoff_s * random.uniform(0.7, 1.0))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            backoff_s = INITIAL_BACKOFF_S
            await self._use(peer.id, stream)
            logger.info("peer lost", extra={"peer": peer.id})
            await _wait(heard_again, backoff_s)

    async def _use(self, peer: ids.InstanceId, stream: tcp_stream.TcpStream) -> None:
        """Uses a connection for reports until it ends."""
        stream.enable_keepalive()
        logger.info("peer connected", extra={"peer": peer})
        self._stream_by_peer[peer] = stream
        self._liveness.note_connected(peer, _now())
        self._greet(stream)
        try:
            async for _ in self._read_reports(stream):
                pass
        finally:
            if self._stream_by_peer.get(peer) is stream:
                del self._stream_by_peer[peer]

    def _greet(self, stream: tcp_stream.TcpStream) -> None:
        """Sends the first report on a connection.

        Earlier reports went to the other connections only, and the next one may be due
        much later.
        """
        if self._make_greeting is not None:
            stream.write(wire.pack(self._make_greeting()))

    def _accept(self, stream: tcp_stream.TcpStream) -> None:
        task = asyncio.create_task(self._receive(stream))
        self._receiving.add(task)
        task.add_done_callback(self._receiving.discard)

    async def _receive(self, stream: tcp_stream.TcpStream) -> None:
        """Greets a router that has connected, and handles its reports.

        If it has just started, this router may not know its address yet.
        """
        self._greet(stream)
        router = None
        try:
            async for report in self._read_reports(stream):
                # The first report is the greeting of the router that has connected.
                if router is None:
                    router = report.router
                    self._accepted_by_router[router] = stream
        finally:
            if self._accepted_by_router.get(router) is stream:
                del self._accepted_by_router[router]

    async def _read_reports(
        self, stream: tcp_stream.TcpStream
    ) -> collections.abc.AsyncIterator[peer_reports.Report]:
        """Handles and yields the reports of one connection until it ends."""
        unpacker = wire.Unpacker(MAX_REPORT_BYTES, peer_reports.Report)
        try:
            while data := await stream.read():
                for report in unpacker.feed(data):
                    stream.has_identified = True
                    self._handle_report(report)
                    yield report
                stream.note_kept(unpacker.held_bytes)
        except (tcp_stream.ConnectionResetError, tcp_stream.RefusedError):
            pass
        except wire.MalformedMessageError as error:
            logger.warning("malformed report", extra={"reason": str(error)})
        finally:
            stream.abort()

    def _note_heard(self, report: peer_reports.Report) -> None:
        """Records a report, and connects at once to a router that has just started.

        It knows nothing until it is told.
        """
        is_new = self._liveness.note_report(report, _now())
        heard_again = self._heard_again_by_peer.get(report.router)
        if heard_again is not None and is_new:
            heard_again.set()

    def _handle_report(self, report: peer_reports.Report) -> None:
        """Handles a report, and forwards it to the local routers if its sender asks.

        The sender has no connections to them.
        """
        self._note_heard(report)
        self._on_report(report)
        if report.should_forward:
            local = self._routes.list_local()
            self._send_to(local, msgspec.structs.replace(report, should_forward=False))


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    """Waits until an event occurs, at most for a time, and clears it."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
    event.clear()


def _now() -> float:
    return asyncio.get_running_loop().time()
