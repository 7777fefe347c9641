"""The load of one upstream, as far as a router knows it."""

import dataclasses
import itertools
import typing

from teaselsill import ids

REPORT_TTL_S = 1.5
"""How long an upstream's own report about other routers' requests is used."""
SILENCE_TTL_S = 0.5
"""How long a silence goes on after its last request has ended."""


class LoadSummary(typing.NamedTuple):
    """The load that one router puts on an upstream.

    Attributes:
        running: How many of its requests are there.
        outstanding_tokens: The tokens to prefill for those whose responses have not
            started.
    """

    running: int
    outstanding_tokens: int


@dataclasses.dataclass(slots=True)
class InFlightRequest:
    """A request that this router has sent to an upstream.

    Attributes:
        prefill_tokens: The prompt tokens that the upstream must still prefill.
        sent_at: When it was sent, in seconds.
        head_at: When the head of the response arrived, in seconds; None if it has not.
        started_at: When the response started, in seconds; None if it has not.
        progressed_at: When response data was last passed to the caller, in seconds.
        has_survived: Whether its response has gone on without a crash of the upstream.
        has_met_silence: Whether it was given up while the upstream was silent for no
            longer than a sound one may be.
        is_abandoned: Whether it was given up since its caller had abandoned it.
    """

    prefill_tokens: int
    sent_at: float
    head_at: float | None = None
    started_at: float | None = None
    progressed_at: float | None = None
    has_survived: bool = False
    has_met_silence: bool = False
    is_abandoned: bool = False

    @property
    def has_started(self) -> bool:
        """Whether the response has started."""
        return self.started_at is not None

    def has_stalled(self, now: float, stall_s: float) -> bool:
        """Returns whether the response has started and then made no progress.

        Args:
            now: The time, in seconds.
            stall_s: How long there must have been no progress, in seconds.
        """
        progressed_at = self.progressed_at or self.started_at
        return progressed_at is not None and now - progressed_at > stall_s


class UpstreamLoad:
    """This router's requests at one upstream, and reports about other routers'.

    Attributes:
        last_received_at: When bytes last came from the upstream, in seconds.
        own: How many requests of this router are there.
        own_outstanding_tokens: The tokens to prefill for those whose responses have not
            started.
    """

    def __init__(self):
        self.last_received_at = float("-inf")
        self.own = 0
        self.own_outstanding_tokens = 0
        self._numbers = itertools.count()
        self._request_by_number: dict[int, InFlightRequest] = {}
        self._waiting_since = float("-inf")
        self._last_sent_at = float("-inf")
        self._last_ended_at = float("-inf")
        self._others = 0
        self._reported_at = float("-inf")
        self._summary_by_peer: dict[ids.InstanceId, tuple[LoadSummary, float]] = {}
        self._peers_running = 0
        self._peers_outstanding_tokens = 0

    def add(self, request: InFlightRequest) -> int:
        """Records a request that is sent; returns a number that identifies it."""
        number = next(self._numbers)
        if not self._request_by_number and not self._is_still_silent(request.sent_at):
            self._waiting_since = request.sent_at
        self._last_sent_at = request.sent_at
        self._request_by_number[number] = request
        self.own += 1
        self.own_outstanding_tokens += request.prefill_tokens
        return number

    def start(self, number: int, now: float) -> InFlightRequest | None:
        """Records response data; returns the request if this is the first data.

        Args:
            number: The number of the request.
            now: The time, in seconds.
        """
        request = self._request_by_number[number]
        if request.has_started:
            return None
        request.started_at = now
        self.own_outstanding_tokens -= request.prefill_tokens
        return request

    def note_progress(self, number: int, now: float) -> None:
        """Records that response data was passed to the caller."""
        self._request_by_number[number].progressed_at = now

    def remove(self, number: int, now: float) -> InFlightRequest:
        """Removes and returns a request that has ended.

        Args:
            number: The number of the request.
            now: The time, in seconds.
        """
        request = self._request_by_number.pop(number)
        self._last_ended_at = now
        self.own -= 1
        if not request.has_started:
            self.own_outstanding_tokens -= request.prefill_tokens
        return request

    def note_report(self, total: int, now: float) -> None:
        """Records how many requests the upstream itself reports to have."""
        self._others = max(0, total - self.own)
        self._reported_at = now

    def note_peer(
        self, router: ids.InstanceId, summary: LoadSummary, valid_until: float
    ) -> None:
        """Records the load that another router reports to put on the upstream.

        Args:
            router: The other router.
            summary: The load.
            valid_until: Until when it is used, in this router's running time.
        """
        self._forget_peer(router)
        self._summary_by_peer[router] = summary, valid_until
        self._peers_running += summary.running
        self._peers_outstanding_tokens += summary.outstanding_tokens

    def expire_peer_reports(self, now: float) -> None:
        """Drops the load that other routers have not reported again in time.

        Args:
            now: The running time of this router, in seconds.
        """
        for router, (_, valid_until) in list(self._summary_by_peer.items()):
            if now > valid_until:
                self._forget_peer(router)

    def summarize(self) -> LoadSummary:
        """Returns this router's load, for its report to the other routers."""
        return LoadSummary(self.own, self.own_outstanding_tokens)

    def count(self, now: float) -> int:
        """Returns how many requests of all routers are there.

        The reports of other routers are preferred to that of the upstream, since they
        are newer.
        """
        if self._summary_by_peer:
            return self.own + self._peers_running
        is_fresh = now - self._reported_at <= REPORT_TTL_S
        return self.own + (self._others if is_fresh else 0)

    def count_outstanding_tokens(self) -> int:
        """Returns the tokens to prefill for requests whose responses have not started.

        This counts the requests of all routers.
        """
        return self.own_outstanding_tokens + self._peers_outstanding_tokens

    def find_silent_s(self, now: float) -> float:
        """Returns how long requests have waited and nothing at all has been received.

        It is 0 if no request is there. Requests that follow each other count as one
        wait, so that an upstream is seen to be silent although each one ends early.

        Args:
            now: The time, in seconds.
        """
        if not self._request_by_number:
            return 0.0
        return now - max(self.last_received_at, self._waiting_since)

    def _is_still_silent(self, now: float) -> bool:
        """Returns whether the last request has just ended and nothing came for it."""
        if self.last_received_at >= self._last_sent_at:
            return False
        return now - self._last_ended_at <= SILENCE_TTL_S

    def _forget_peer(self, router: ids.InstanceId) -> None:
        known = self._summary_by_peer.pop(router, None)
        if known is not None:
            self._peers_running -= known[0].running
            self._peers_outstanding_tokens -= known[0].outstanding_tokens
