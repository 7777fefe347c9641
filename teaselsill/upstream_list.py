"""The upstreams that the platform lists, and which of them may get new work."""

import dataclasses
import enum
import logging

from teaselsill import ids

GRACE_AFTER_OUTAGE_S = 1.8
"""How long an upstream is kept whose entry was lost while the list was unavailable."""

logger = logging.getLogger(__name__)


class State(enum.Enum):
    """Whether an upstream takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One life of a listed upstream.

    Attributes:
        id: Its id.
        born_ms: When it started, in Unix milliseconds; another start has another one.
        service: The service that it belongs to.
        host: Its IP address.
        port: Its port.
        data_centre: Where it runs.
        slots: How many requests it runs at a time.
        state: Whether it takes new work.
    """

    id: ids.UpstreamId
    born_ms: int
    service: ids.ServiceName
    host: str
    port: int
    data_centre: ids.DataCentre
    slots: int
    state: State


class UpstreamList:
    """The upstreams that may be used, by the platform's list.

    An entry that is missing right after the list was unavailable may belong to a live
    upstream whose lease ran out meanwhile: it is kept for a short time.

    Attributes:
        by_id: The listed upstreams by their id.
    """

    def __init__(self):
        self.by_id: dict[ids.UpstreamId, Upstream] = {}
        self._entry_by_id: dict[ids.UpstreamId, Upstream] = {}
        self._left: set[tuple[ids.UpstreamId, int]] = set()
        self._doubtful_until_by_id: dict[ids.UpstreamId, float] = {}
        self._outage_ended_at = float("-inf")

    def note_outage(self, now: float) -> None:
        """Takes note that the list was unavailable until now.

        Args:
            now: The time, in seconds.
        """
        self._outage_ended_at = now

    def put(self, upstream: Upstream) -> bool:
        """Takes an entry; returns whether anything but its heartbeat changed.

        It is compared with the entry before, not with what is known from elsewhere.

        An upstream that has begun to leave stays leaving, and an entry of an earlier
        life is ignored: heartbeats may be written late.
        """
        known = self.by_id.get(upstream.id)
        if known is not None and upstream.born_ms < known.born_ms:
            return False
        has_changed = self._entry_by_id.get(upstream.id) != upstream
        self._entry_by_id[upstream.id] = upstream
        self._doubtful_until_by_id.pop(upstream.id, None)
        life = upstream.id, upstream.born_ms
        if upstream.state is State.LEAVING:
            self._left.add(life)
        elif life in self._left:
            upstream = dataclasses.replace(upstream, state=State.LEAVING)
        self.by_id[upstream.id] = upstream
        if known == upstream:
            return has_changed
        logger.info(
            "upstream listed",
            extra={
                "upstream": upstream.id,
                "service": upstream.service,
                "state": upstream.state.value,
                "born_ms": upstream.born_ms,
            },
        )
        return has_changed

    def note_leaving(self, upstream: Upstream) -> bool:
        """Takes note that an upstream says that it leaves; returns whether it is new.

        This holds for the rest of its life, whatever its entry says later.
        """
        life = upstream.id, upstream.born_ms
        if life in self._left:
            return False
        self._left.add(life)
        listed = self.by_id.get(upstream.id)
        if listed is not None and listed.born_ms == upstream.born_ms:
            self.by_id[upstream.id] = dataclasses.replace(listed, state=State.LEAVING)
        logger.info("upstream says that it leaves", extra={"upstream": upstream.id})
        return True

    def discard(self, upstream_id: ids.UpstreamId, reason: str) -> None:
        """Drops an upstream whose entry cannot be used."""
        if upstream_id in self.by_id:
            self._drop(upstream_id, reason)

    def remove(self, upstream_id: ids.UpstreamId, now: float) -> None:
        """Takes note that an entry is gone.

        Args:
            upstream_id: The upstream.
            now: The time, in seconds.
        """
        if upstream_id not in self.by_id:
            return
        until = self._outage_ended_at + GRACE_AFTER_OUTAGE_S
        if now < until:
            self._doubtful_until_by_id.setdefault(upstream_id, until)
            return
        self._drop(upstream_id, "its entry was removed")

    def keep_only(self, listed: set[ids.UpstreamId], now: float) -> None:
        """Removes all upstreams that a complete listing does not name."""
        for upstream_id in list(self.by_id):
            if upstream_id not in listed:
                self.remove(upstream_id, now)

    def expire(self, now: float) -> None:
        """Drops the upstreams whose entries have not come back in time."""
        for upstream_id, until in list(self._doubtful_until_by_id.items()):
            if now >= until:
                self._drop(upstream_id, "its entry did not come back")

    def usable(self, service: ids.ServiceName) -> list[Upstream]:
        """Returns the upstreams of a service that may get new work."""
        return [
            upstream
            for upstream in self.by_id.values()
            if upstream.service == service and upstream.state is State.READY
        ]

    def _drop(self, upstream_id: ids.UpstreamId, reason: str) -> None:
        self._doubtful_until_by_id.pop(upstream_id, None)
        del self.by_id[upstream_id]
        self._entry_by_id.pop(upstream_id, None)
        logger.info("upstream gone", extra={"upstream": upstream_id, "reason": reason})
