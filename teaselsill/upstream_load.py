"""What a router knows of the work at one upstream."""

import dataclasses
import itertools
import typing

from teaselsill import ids

REPORT_LIFE_S = 1.5
"""How long a report of other routers' work counts."""


class Summary(typing.NamedTuple):
    """A router's work at an upstream.

    Attributes:
        running: How many of its requests are there.
        unread_tokens: The prompt tokens of those whose answers have not begun.
    """

    running: int
    unread_tokens: int


@dataclasses.dataclass(slots=True)
class Work:
    """A request that this router has sent to an upstream.

    Attributes:
        unread_tokens: What of its prompt the upstream must still read.
        total_tokens: What it takes of the upstream's memory.
        sent_at: When it was sent, in seconds.
        has_started: Whether the answer has begun.
    """

    unread_tokens: int
    total_tokens: int
    sent_at: float
    has_started: bool = False


class UpstreamLoad:
    """The requests of this router at one upstream, and what it says of the others'.

    Attributes:
        heard_at: When bytes last came from the upstream, in seconds.
    """

    def __init__(self):
        self.heard_at = float("-inf")
        self._numbers = itertools.count()
        self._work_by_number: dict[int, Work] = {}
        self._others = 0
        self._reported_at = float("-inf")
        self._work_by_peer: dict[ids.InstanceId, tuple[Summary, float]] = {}

    @property
    def own(self) -> int:
        """How many requests of this router are there."""
        return len(self._work_by_number)

    def add(self, work: Work) -> int:
        """Takes note of a request that is sent; returns a number for it."""
        number = next(self._numbers)
        self._work_by_number[number] = work
        return number

    def start(self, number: int) -> Work | None:
        """Takes note of data of an answer; returns the work if it is the first."""
        work = self._work_by_number[number]
        if work.has_started:
            return None
        work.has_started = True
        return work

    def remove(self, number: int) -> None:
        """Takes note that a request has ended."""
        del self._work_by_number[number]

    def note_report(self, total: int, now: float) -> None:
        """Takes note of how many requests the upstream says that it has."""
        self._others = max(0, total - self.own)
        self._reported_at = now

    def note_peer(self, router: ids.InstanceId, work: Summary, now: float) -> None:
        """Takes note of another router's work there."""
        self._work_by_peer[router] = work, now

    def summarize(self) -> Summary:
        """Returns what the other routers are told of this router's work there."""
        return Summary(self.own, self.count_own_unread_tokens())

    def count_own_unread_tokens(self) -> int:
        """Returns the prompt tokens of this router whose answers have not begun."""
        return sum(
            work.unread_tokens
            for work in self._work_by_number.values()
            if not work.has_started
        )

    def count_unread_tokens(self, now: float) -> int:
        """Returns the prompt tokens of all routers whose answers have not begun."""
        told = sum(work.unread_tokens for work in self._told(now))
        return self.count_own_unread_tokens() + told

    def count(self, now: float) -> int:
        """Returns how many requests are there, by all routers.

        What the upstream said last is older than what the other routers tell.
        """
        told = self._told(now)
        if told:
            return self.own + sum(work.running for work in told)
        is_fresh = now - self._reported_at <= REPORT_LIFE_S
        return self.own + (self._others if is_fresh else 0)

    def _told(self, now: float) -> list[Summary]:
        return [
            work
            for work, at in self._work_by_peer.values()
            if now - at <= REPORT_LIFE_S
        ]

    def count_total_tokens(self) -> int:
        """Returns the memory that this router's requests take, in tokens."""
        return sum(work.total_tokens for work in self._work_by_number.values())

    def is_silent(self, now: float, silence_s: float) -> bool:
        """Tells whether requests have waited, and nothing at all has come, for long.

        Args:
            now: The time, in seconds.
            silence_s: How long is long, in seconds.
        """
        if not self._work_by_number:
            return False
        oldest = min(work.sent_at for work in self._work_by_number.values())
        return now - max(oldest, self.heard_at) > silence_s
