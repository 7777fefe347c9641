"""The upstreams that the platform lists, and which of them may get new requests."""

import dataclasses
import enum
import logging
import typing

from teaselsill import ids

GRACE_AFTER_OUTAGE_S = 1.8
"""How long an upstream is kept if its entry was lost while the list was unavailable."""
GONE_KEPT_S = 600.0
"""How long an upstream that is gone is remembered, in case a copy still lists it."""

logger = logging.getLogger(__name__)


class State(enum.Enum):
    """Whether an upstream takes new requests."""

    READY = "ready"
    LEAVING = "leaving"


class UpstreamKey(typing.NamedTuple):
    """Identifies one incarnation of an upstream.

    Attributes:
        upstream: Its id.
        born_ms: When it started, in Unix milliseconds.
    """

    upstream: ids.UpstreamId
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of a listed upstream.

    Attributes:
        id: Its id.
        born_ms: When it started, in Unix milliseconds; identifies the incarnation.
        service: The service that it belongs to.
        host: Its IP address.
        port: Its port.
        data_centre: Where it runs.
        slots: How many requests it runs at a time.
        state: Whether it takes new requests.
    """

    id: ids.UpstreamId
    born_ms: int
    service: ids.ServiceName
    host: str
    port: int
    data_centre: ids.DataCentre
    slots: int
    state: State

    @property
    def key(self) -> UpstreamKey:
        """Identifies this incarnation."""
        return UpstreamKey(self.id, self.born_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Gone:
    """The last incarnation of an upstream that is no longer listed.

    Attributes:
        born_ms: When it started, in Unix milliseconds.
        since: Since when it is gone, in seconds.
    """

    born_ms: int
    since: float


class UpstreamList:
    """The upstreams on the platform's list.

    If an entry is missing right after the list was unavailable, it may belong to a
    live upstream whose lease expired meanwhile, so it is kept for a short time.

    Attributes:
        by_id: The listed upstreams by their id.
    """

    def __init__(self):
        self.by_id: dict[ids.UpstreamId, Upstream] = {}
        self._entry_by_id: dict[ids.UpstreamId, Upstream] = {}
        self._leaving: set[UpstreamKey] = set()
        self._grace_until_by_id: dict[ids.UpstreamId, float] = {}
        self._gone_by_id: dict[ids.UpstreamId, Gone] = {}
        self._outage_ended_at = float("-inf")

    def is_listed(self, upstream: Upstream) -> bool:
        """Returns whether this incarnation of an upstream is listed."""
        known = self.by_id.get(upstream.id)
        return known is not None and known.born_ms >= upstream.born_ms

    def note_outage(self, now: float) -> None:
        """Records that the list was unavailable until now.

        Args:
            now: The time, in seconds.
        """
        self._outage_ended_at = now

    def put(self, upstream: Upstream) -> bool:
        """Applies an entry; returns whether anything but its heartbeat changed.

        The entry is compared with the previous entry, not with what is known from other
        sources.

        An upstream that has begun to leave stays in that state, and an entry of an
        earlier incarnation is ignored, since heartbeats may be written late.
        """
        known = self.by_id.get(upstream.id)
        if known is not None and upstream.born_ms < known.born_ms:
            return False
        has_changed = self._entry_by_id.get(upstream.id) != upstream
        self._entry_by_id[upstream.id] = upstream
        self._grace_until_by_id.pop(upstream.id, None)
        if upstream.state is State.LEAVING:
            self._leaving.add(upstream.key)
        elif upstream.key in self._leaving:
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

    def put_restored(self, upstream: Upstream) -> bool:
        """Applies an entry of an older copy of the list; see `put`.

        An incarnation that is known to be gone does not come back by its entry in the
        copy; if it is alive, it writes another one.
        """
        return not self._is_gone(upstream) and self.put(upstream)

    def note_leaving(self, upstream: Upstream) -> bool:
        """Records an upstream's announcement that it leaves; returns whether it is new.

        It stays in that state for the rest of its incarnation, whatever its entry says
        later.
        """
        if upstream.key in self._leaving:
            return False
        self._leaving.add(upstream.key)
        listed = self.by_id.get(upstream.id)
        if listed is not None and listed.born_ms == upstream.born_ms:
            self.by_id[upstream.id] = dataclasses.replace(listed, state=State.LEAVING)
        logger.info("upstream says that it leaves", extra={"upstream": upstream.id})
        return True

    def remove(self, upstream_id: ids.UpstreamId, now: float) -> None:
        """Removes an upstream whose entry is gone, at once or after a grace period.

        Args:
            upstream_id: The upstream.
            now: The time, in seconds.
        """
        if upstream_id not in self.by_id:
            return
        until = self._outage_ended_at + GRACE_AFTER_OUTAGE_S
        if now < until:
            self._grace_until_by_id.setdefault(upstream_id, until)
            return
        self._drop(upstream_id, "its entry was removed", now)

    def keep_only(self, listed: set[ids.UpstreamId], now: float) -> None:
        """Removes all upstreams that are missing from a complete listing."""
        for upstream_id in list(self.by_id):
            if upstream_id not in listed:
                self.remove(upstream_id, now)

    def expire(self, now: float) -> None:
        """Drops the upstreams whose entries did not come back in the grace period."""
        for upstream_id, until in list(self._grace_until_by_id.items()):
            if now >= until:
                self._drop(upstream_id, "its entry did not come back", now)
        for upstream_id, gone in list(self._gone_by_id.items()):
            if now >= gone.since + GONE_KEPT_S:
                del self._gone_by_id[upstream_id]

    def _is_gone(self, upstream: Upstream) -> bool:
        gone = self._gone_by_id.get(upstream.id)
        return gone is not None and upstream.born_ms <= gone.born_ms

    def usable(self, service: ids.ServiceName) -> list[Upstream]:
        """Returns the upstreams of a service that may get new requests."""
        return [
            upstream
            for upstream in self.by_id.values()
            if upstream.service == service and upstream.state is State.READY
        ]

    def _drop(self, upstream_id: ids.UpstreamId, reason: str, now: float) -> None:
        self._grace_until_by_id.pop(upstream_id, None)
        upstream = self.by_id.pop(upstream_id)
        self._gone_by_id[upstream_id] = Gone(upstream.born_ms, now)
        self._entry_by_id.pop(upstream_id, None)
        logger.info("upstream gone", extra={"upstream": upstream_id, "reason": reason})
