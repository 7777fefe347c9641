"""What a router knows of the work at one upstream."""

import dataclasses
import itertools
import typing

from teaselsill import ids

REPORT_TTL_S = 1.5
"""How long a report of other routers' work counts."""


class LoadSummary(typing.NamedTuple):
    """A router's work at an upstream.

    Attributes:
        running: How many of its requests are there.
        unread_tokens: The prompt tokens of those whose answers have not begun.
    """

    running: int
    unread_tokens: int


@dataclasses.dataclass(slots=True)
class InFlightRequest:
    """A request that this router has sent to an upstream.

    Attributes:
        unread_tokens: What of its prompt the upstream must still read.
        sent_at: When it was sent, in seconds.
        started_at: When the answer began, in seconds; none if it has not.
        progressed_at: When data of it last passed to the caller, in seconds.
    """

    unread_tokens: int
    sent_at: float
    started_at: float | None = None
    progressed_at: float | None = None

    @property
    def has_started(self) -> bool:
        """Whether the answer has begun."""
        return self.started_at is not None

    def has_stalled(self, now: float, stall_s: float) -> bool:
        """Tells whether the answer has begun and then made no progress for long.

        Args:
            now: The time, in seconds.
            stall_s: How long is long, in seconds.
        """
        progressed_at = self.progressed_at or self.started_at
        return progressed_at is not None and now - progressed_at > stall_s


class UpstreamLoad:
    """The requests of this router at one upstream, and what it says of the others'.

    Attributes:
        last_received_at: When bytes last came from the upstream, in seconds.
        own: How many requests of this router are there.
        own_unread_tokens: The prompt tokens of those whose answers have not begun.
    """

    def __init__(self):
        self.last_received_at = float("-inf")
        self.own = 0
        self.own_unread_tokens = 0
        self._numbers = itertools.count()
        self._work_by_number: dict[int, InFlightRequest] = {}
        self._others = 0
        self._reported_at = float("-inf")
        self._work_by_peer: dict[ids.InstanceId, tuple[LoadSummary, float]] = {}
        self._told_running = 0
        self._told_unread_tokens = 0

    def add(self, work: InFlightRequest) -> int:
        """Takes note of a request that is sent; returns a number for it."""
        number = next(self._numbers)
        self._work_by_number[number] = work
        self.own += 1
        self.own_unread_tokens += work.unread_tokens
        return number

    def start(self, number: int, now: float) -> InFlightRequest | None:
        """Takes note of data of an answer; returns the work if it is the first.

        Args:
            number: The number of the request.
            now: The time, in seconds.
        """
        work = self._work_by_number[number]
        if work.has_started:
            return None
        work.started_at = now
        self.own_unread_tokens -= work.unread_tokens
        return work

    def note_progress(self, number: int, now: float) -> None:
        """Takes note that data of an answer has passed to the caller."""
        self._work_by_number[number].progressed_at = now

    def remove(self, number: int) -> InFlightRequest:
        """Takes note that a request has ended; returns it."""
        work = self._work_by_number.pop(number)
        self.own -= 1
        if not work.has_started:
            self.own_unread_tokens -= work.unread_tokens
        return work

    def note_report(self, total: int, now: float) -> None:
        """Takes note of how many requests the upstream says that it has."""
        self._others = max(0, total - self.own)
        self._reported_at = now

    def note_peer(self, router: ids.InstanceId, work: LoadSummary, now: float) -> None:
        """Takes note of another router's work there."""
        self._forget_peer(router)
        self._work_by_peer[router] = work, now
        self._told_running += work.running
        self._told_unread_tokens += work.unread_tokens

    def expire_peer_reports(self, now: float) -> None:
        """Drops what was told by routers that have not been heard for long."""
        for router, (_, told_at) in list(self._work_by_peer.items()):
            if now - told_at > REPORT_TTL_S:
                self._forget_peer(router)

    def summarize(self) -> LoadSummary:
        """Returns what the other routers are told of this router's work there."""
        return LoadSummary(self.own, self.own_unread_tokens)

    def count(self, now: float) -> int:
        """Returns how many requests are there, by all routers.

        What the upstream said last is older than what the other routers tell.
        """
        if self._work_by_peer:
            return self.own + self._told_running
        is_fresh = now - self._reported_at <= REPORT_TTL_S
        return self.own + (self._others if is_fresh else 0)

    def count_unread_tokens(self) -> int:
        """Returns the prompt tokens of all routers whose answers have not begun."""
        return self.own_unread_tokens + self._told_unread_tokens

    def is_silent(self, now: float, silence_s: float) -> bool:
        """Tells whether requests have waited, and nothing at all has come, for long.

        Args:
            now: The time, in seconds.
            silence_s: How long is long, in seconds.
        """
        if not self._work_by_number or now - self.last_received_at <= silence_s:
            return False
        oldest = next(iter(self._work_by_number.values()))
        return now - oldest.sent_at > silence_s

    def _forget_peer(self, router: ids.InstanceId) -> None:
        known = self._work_by_peer.pop(router, None)
        if known is not None:
            self._told_running -= known[0].running
            self._told_unread_tokens -= known[0].unread_tokens
