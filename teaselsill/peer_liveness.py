"""Decides which other routers are alive, from when their reports arrive."""

import dataclasses

from teaselsill import ids, loop_lag, peer_reports

INTERVALS = 2
"""How many of its intervals a responsive router may be silent: a report may be lost."""
TRANSIT_S = 0.5
"""How long a report may take: it waits in event loops, which may be late for so long
without an interruption."""
MAX_PAUSE_S = 3.0
"""A live router may have been paused for so long."""
LOST_S = 30.0
"""How long a router that is not responsive any more may be running out of reach. One
that has crashed has been replaced by then."""
CATCH_UP_S = 1.0
"""How long after an interruption of this router reports may still wait to be read."""


def find_responsive_s(interval_s: float) -> float:
    """Returns how long a responsive router may be silent, in seconds.

    Args:
        interval_s: The longest time between its reports, in seconds.
    """
    return INTERVALS * interval_s + TRANSIT_S


def find_live_s(interval_s: float) -> float:
    """Returns how long a live router may be silent, in seconds.

    While a contact is paused, the routers behind it are silent until each of them has
    noticed that and has sent its next report through another contact.

    Args:
        interval_s: The longest time between its reports, in seconds.
    """
    contact_s = 2 * interval_s + TRANSIT_S
    return find_responsive_s(interval_s) + max(MAX_PAUSE_S, contact_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """What is known of another router.

    Attributes:
        status: The status in its last report; None if there was none.
        responsive_until: Until when it is responsive, in running time, in seconds.
        live_until: Until when it is live, in running time, in seconds.
    """

    status: peer_reports.RouterStatus | None
    responsive_until: float
    live_until: float


class PeerLiveness:
    """Which other routers are alive, as far as their reports tell.

    Silence counts in running time, in which this router could have read reports, and in
    relation to the interval that each router states for its reports. There are two
    verdicts. A router is responsive until it has missed a report or two: a cheap
    verdict for choices that may be wrong. It is live until it must have been gone for
    longer than any usual pause.

    Args:
        lag: Measures how long this router has run.
    """

    def __init__(self, lag: loop_lag.LoopLag):
        self._lag = lag
        self._peer_by_id: dict[ids.InstanceId, Peer] = {}

    def note_report(self, report: peer_reports.Report, now: float) -> bool:
        """Records a report.

        Args:
            report: The report.
            now: The event loop's time, in seconds.

        Returns:
            Whether its router may not know what the others know: it is new, has
            restarted or was not responsive.
        """
        known = self._peer_by_id.get(report.router)
        is_new = (
            known is None
            or report.status.has_restarted_since(known.status)
            or not self.is_responsive(report.router, now)
        )
        interval_s = report.interval_s or self._guess_interval_s()
        self._put(report.router, report.status, interval_s, now)
        return is_new

    def note_connected(self, router: ids.InstanceId, now: float) -> None:
        """Records a connection to a router: from now on, its reports are awaited."""
        known = self._peer_by_id.get(router)
        status = known.status if known is not None else None
        self._put(router, status, self._guess_interval_s(), now)

    def is_responsive(self, router: ids.InstanceId, now: float) -> bool:
        """Returns whether a router has missed no more than a report.

        Args:
            router: The router.
            now: The event loop's time, in seconds.
        """
        peer = self._peer_by_id.get(router)
        return peer is not None and self.count_until(now) <= peer.responsive_until

    def is_live(self, router: ids.InstanceId, now: float) -> bool:
        """Returns whether a router may still be running.

        Args:
            router: The router.
            now: The event loop's time, in seconds.
        """
        peer = self._peer_by_id.get(router)
        return peer is not None and self.count_until(now) <= peer.live_until

    def list_responsive(self, now: float) -> list[ids.InstanceId]:
        """Returns the responsive routers."""
        until = self.count_until(now)
        known = self._peer_by_id.items()
        return [router for router, peer in known if until <= peer.responsive_until]

    def find_status(self, router: ids.InstanceId) -> peer_reports.RouterStatus | None:
        """Returns the last status of a router; None if it has not sent any."""
        peer = self._peer_by_id.get(router)
        return peer.status if peer is not None else None

    def list_lost(self, now: float) -> list[ids.InstanceId]:
        """Returns the routers that have lately become unresponsive.

        They may be running out of reach of this router.
        """
        until = self.count_until(now)
        return [
            router
            for router, peer in self._peer_by_id.items()
            if peer.responsive_until < until <= peer.responsive_until + LOST_S
        ]

    def list_live(self, now: float) -> list[ids.InstanceId]:
        """Returns the live routers."""
        until = self.count_until(now)
        known = self._peer_by_id.items()
        return [router for router, peer in known if until <= peer.live_until]

    def find_responsive_until(self, router: ids.InstanceId) -> float:
        """Returns until when a router is responsive, in running time, in seconds."""
        return self._peer_by_id[router].responsive_until

    def count_until(self, now: float) -> float:
        """Returns the running time up to which silence counts, in seconds.

        After an interruption it does not count until the reports that have arrived
        meanwhile can have been read.
        """
        ran_s = self._lag.read_running_time(now)
        uninterrupted_s = self._lag.find_uninterrupted_s(now)
        return ran_s - uninterrupted_s if uninterrupted_s <= CATCH_UP_S else ran_s

    def _put(
        self,
        router: ids.InstanceId,
        status: peer_reports.RouterStatus | None,
        interval_s: float,
        now: float,
    ) -> None:
        ran_s = self._lag.read_running_time(now)
        responsive_until = ran_s + find_responsive_s(interval_s)
        live_until = ran_s + find_live_s(interval_s)
        self._peer_by_id[router] = Peer(status, responsive_until, live_until)

    def _guess_interval_s(self) -> float:
        """Returns the interval of a router that has stated none, in seconds."""
        return peer_reports.find_interval_s(len(self._peer_by_id))
