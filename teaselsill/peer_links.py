"""Connections between entry routers: each sends its reports to all others."""

import asyncio
import collections.abc
import logging
import math
import random

from teaselsill import fleet_view, ids, listener, peer_reports, tcp_stream, wire

IDLE_REPORT_S = 0.5
MAX_REPORT_BYTES = 1024 * 1024
MAX_UNSENT_BYTES = 256 * 1024
"""A peer that leaves more unread loses its connection."""
CONNECT_TIMEOUT_S = 0.5
FIRST_PAUSE_S = 0.2
"""How long to wait after a failed connection; each time in a row twice as long."""
MAX_PAUSE_S = 3.0

logger = logging.getLogger(__name__)


OnReport = collections.abc.Callable[[peer_reports.Report], None]


class PeerLinks:
    """The connections of one router to the others.

    Args:
        router: This router.
        on_report: Takes the others' reports.
    """

    def __init__(self, router: ids.InstanceId, on_report: OnReport):
        self._router = router
        self._on_report = on_report
        self._stream_by_peer: dict[ids.InstanceId, tcp_stream.TcpStream] = {}
        self._dialing_by_peer: dict[ids.InstanceId, asyncio.Task] = {}
        self._address_by_peer: dict[ids.InstanceId, tuple[str, int]] = {}
        self._receiving: set[asyncio.Task] = set()
        self._listener: listener.Listener | None = None

    def listen(self, host: str, port: int) -> None:
        """Takes the connections of other routers.

        Raises:
            ListenError: The address cannot be used.
        """
        self._listener = listener.Listener(host, port, self._accept)

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return self._listener.address[1]

    def close(self) -> None:
        """Ends all connections."""
        if self._listener is not None:
            self._listener.close()
        for task in [*self._dialing_by_peer.values(), *self._receiving]:
            task.cancel()

    def put_peer(self, peer: ids.InstanceId, host: str, port: int) -> None:
        """Connects to a router, or to its new address."""
        if peer == self._router or self._address_by_peer.get(peer) == (host, port):
            return
        self.remove_peer(peer)
        self._address_by_peer[peer] = host, port
        task = asyncio.create_task(self._stay_connected(peer, host, port))
        self._dialing_by_peer[peer] = task

    def remove_peer(self, peer: ids.InstanceId) -> None:
        """Ends the connection to a router that has left."""
        self._address_by_peer.pop(peer, None)
        task = self._dialing_by_peer.pop(peer, None)
        if task is not None:
            task.cancel()

    def keep_only(self, peers: set[ids.InstanceId]) -> None:
        """Ends the connections to all other routers."""
        for peer in list(self._address_by_peer):
            if peer not in peers:
                self.remove_peer(peer)

    def send(self, report: peer_reports.Report) -> None:
        """Sends a report to all routers that are connected."""
        packed = wire.pack(report)
        for peer, stream in self._stream_by_peer.items():
            if stream.unsent_bytes > MAX_UNSENT_BYTES:
                logger.warning("peer does not read", extra={"peer": peer})
                stream.abort()
            else:
                stream.write(packed)

    async def report_on(self, view: fleet_view.FleetView) -> None:
        """Sends what a view has learned, for ever."""
        sent_at = -math.inf
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(view.find_report_period_s())
            if view.has_news or loop.time() - sent_at > IDLE_REPORT_S:
                sent_at = loop.time()
                self.send(view.take_report())

    async def _stay_connected(self, peer, host: str, port: int) -> None:
        """Keeps a connection to one router until it is cancelled."""
        pause_s = FIRST_PAUSE_S
        while True:
            try:
                stream = await tcp_stream.connect(host, port, CONNECT_TIMEOUT_S)
            except tcp_stream.ConnectionFailedError as error:
                logger.info(
                    "peer not reached", extra={"peer": peer, "reason": str(error)}
                )
                await asyncio.sleep(pause_s * random.uniform(0.7, 1.0))
                pause_s = min(2 * pause_s, MAX_PAUSE_S)
                continue
            pause_s = FIRST_PAUSE_S
            stream.check_alive()
            logger.info("peer connected", extra={"peer": peer})
            self._stream_by_peer[peer] = stream
            try:
                await stream.wait_left()
            finally:
                del self._stream_by_peer[peer]
                stream.abort()
            logger.info("peer lost", extra={"peer": peer})
            await asyncio.sleep(pause_s)

    def _accept(self, stream: tcp_stream.TcpStream) -> None:
        task = asyncio.create_task(self._receive(stream))
        self._receiving.add(task)
        task.add_done_callback(self._receiving.discard)

    async def _receive(self, stream: tcp_stream.TcpStream) -> None:
        """Takes the reports of one connection until it ends."""
        unpacker = wire.Unpacker(MAX_REPORT_BYTES, peer_reports.Report)
        try:
            while data := await stream.read():
                for report in unpacker.feed(data):
                    self._on_report(report)
        except tcp_stream.ConnectionResetError:
            pass
        except wire.MalformedMessageError as error:
            logger.warning("malformed report", extra={"reason": str(error)})
        finally:
            stream.abort()
