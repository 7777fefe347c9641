"""What upstreams announce about their own state in their responses."""

import dataclasses
import logging
import math

from teaselsill import ids

SMALL_CHANGE_RATIO = 0.05
"""A limit that changes by a smaller part is not reported to the other routers."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Limited:
    """The upstream takes so many requests a second from all routers together."""

    per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unlimited:
    """The upstream names no limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """The upstream names a limit that makes no sense; what was known stays in force."""

    text: str


RateLimit = Limited | Unlimited | Unreadable


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What one response states about the upstream that sent it.

    Attributes:
        is_leaving: Whether it is leaving.
        pause_s: How long it wants no request of this router, in seconds, if it has
            refused the request and states this.
        rate_limit: The limit on requests that it names; None if nothing follows from
            its absence, since the response may not be the upstream's own.
        cold_left_s: How long it stays cold, in seconds, if it states this.
    """

    is_leaving: bool = False
    pause_s: float | None = None
    rate_limit: RateLimit | None = None
    cold_left_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A limit in force.

    Attributes:
        per_s: How many requests a second the upstream takes.
        since: Since when the limit is known, in seconds.
        is_strict: Whether it holds for any second, since the upstream crashes beyond
            it.
    """

    per_s: float
    since: float
    is_strict: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """What a response said about a limit.

    Attributes:
        per_s: The limit, in requests a second; None if none was named.
        sent_at: When the request of that response was sent, in seconds.
        heard_at: When the head of the response arrived, in seconds.
        limited_since: Since when a limit has been named, in seconds, if that is known
            to be earlier.
    """

    per_s: float | None
    sent_at: float
    heard_at: float
    limited_since: float = math.inf


class AnnouncedState:
    """What one upstream has announced about its own state.

    Args:
        upstream: The upstream, for the log.

    Attributes:
        limited_since: Since when it has named a limit, in seconds.
    """

    def __init__(self, upstream: ids.UpstreamId):
        self._upstream = upstream
        self._paused_until = float("-inf")
        self._sighting: Sighting | None = None
        self.limited_since = math.inf
        self._reported_per_s: float | None = None
        self._unreadable: Unreadable | None = None

    @property
    def limit(self) -> Limit | None:
        """The limit in force, or None."""
        sighting = self._sighting
        if sighting is None or sighting.per_s is None:
            return None
        return Limit(sighting.per_s, self.limited_since)

    @property
    def limit_per_s(self) -> float | None:
        """The limit in force, in requests a second; None if there is none."""
        return self._sighting.per_s if self._sighting is not None else None

    @property
    def last_sighting(self) -> Sighting | None:
        """The last response that began, confirmed or ended a limit."""
        return self._sighting

    def find_pause_left_s(self, now: float) -> float:
        """Returns the remaining time of the pause, in seconds; 0 if there is none."""
        return max(0.0, self._paused_until - now)

    def note(self, announcement: Announcement, sent_at: float, now: float) -> bool:
        """Records an announcement in a response to this router.

        Args:
            announcement: The announcement.
            sent_at: When the request was sent, in seconds.
            now: The time, in seconds.

        Returns:
            Whether the limit has changed so that other routers should know.
        """
        if announcement.pause_s is not None:
            self._pause(now, announcement.pause_s)
        match announcement.rate_limit:
            case Limited(per_s=per_s):
                return self.note_sighting(Sighting(per_s, sent_at, now))
            case Unlimited():
                return self.note_sighting(Sighting(None, sent_at, now))
            case Unreadable() as unreadable:
                self._note_unreadable(unreadable)
        return False

    def note_sighting(
        self, sighting: Sighting, told_by: ids.InstanceId | None = None
    ) -> bool:
        """Records what a response to this or another router said about a limit.

        Responses to different routers, or on different connections, are read in any
        order. So a response ends a limit only if its request was sent after the last
        response that named one had arrived.

        Args:
            sighting: What it said.
            told_by: The router that got the response; None if it is this one.

        Returns:
            Whether the limit has changed so that other routers should know.
        """
        known = self._sighting
        if sighting.per_s is None:
            if known is None or known.per_s is None:
                return False
            if sighting.sent_at <= known.heard_at:
                return False
        elif known is not None and sighting.heard_at < known.heard_at:
            self.limited_since = min(self.limited_since, sighting.limited_since)
            return False
        if known is None or known.per_s is None:
            self.limited_since = sighting.heard_at
        self.limited_since = min(self.limited_since, sighting.limited_since)
        self._sighting = sighting
        has_changed = _differ(self._reported_per_s, sighting.per_s)
        if has_changed:
            self._reported_per_s = sighting.per_s
            self._log_change(
                "upstream limits its requests"
                if sighting.per_s is not None
                else "upstream ends its limit",
                per_s=sighting.per_s,
                told_by=told_by,
            )
        return has_changed

    def _pause(self, now: float, for_s: float) -> None:
        if now + for_s <= self._paused_until:
            return
        self._paused_until = now + for_s
        self._log_change("upstream wants a pause", for_s=for_s)

    def _note_unreadable(self, unreadable: Unreadable) -> None:
        if unreadable != self._unreadable:
            self._unreadable = unreadable
            self._log_change("upstream names an unreadable limit", text=unreadable.text)

    def _log_change(self, message: str, **fields) -> None:
        logger.info(message, extra={"upstream": self._upstream, **fields})


def _differ(reported_per_s: float | None, per_s: float | None) -> bool:
    if reported_per_s is None or per_s is None:
        return reported_per_s != per_s
    return abs(per_s - reported_per_s) > SMALL_CHANGE_RATIO * reported_per_s
