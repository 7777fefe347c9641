"""A router's attempts in progress, and what they tell about crashes of upstreams."""

import dataclasses
import logging

from teaselsill import (
    crash_detector,
    crash_reports,
    directory,
    entry_metrics,
    event_stream,
    ids,
    outcomes,
    placement,
    quarantine,
    upstream_connection,
    upstream_list,
    upstream_load,
)

BEGINNING_S = 0.5
"""A response that has gone on for longer will not crash its upstream."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Attempt:
    """An attempt in progress.

    Attributes:
        state: The request.
        candidate: The upstream.
        number: Identifies the request in the load of the upstream.
        in_flight: The request at that upstream.
        connection: The connection to it.
        boundary: Tells whether its stream of events is inside an event.
    """

    state: outcomes.RequestState
    candidate: placement.Candidate
    number: int
    in_flight: upstream_load.InFlightRequest
    connection: upstream_connection.UpstreamConnection
    boundary: event_stream.EventBoundary = dataclasses.field(
        default_factory=event_stream.EventBoundary
    )

    @property
    def target(self) -> upstream_list.Upstream:
        """The upstream's entry in the list."""
        return self.candidate.upstream

    @property
    def shared_parts(self) -> list[ids.PartKey]:
        """The parts of the prompt that other requests may share."""
        return quarantine.list_shared(self.state.call.parts)

    @property
    def stage(self) -> crash_reports.Stage:
        """How far the response has come."""
        if self.in_flight.head_at is None:
            return crash_reports.Stage.WAITING
        if not self.in_flight.has_started:
            return crash_reports.Stage.HEAD
        return crash_reports.Stage.DATA

    def may_crash_upstream(self, now: float) -> bool:
        """Returns whether the response has not begun, or only just.

        Args:
            now: The time, in seconds.
        """
        if self.stage is not crash_reports.Stage.DATA:
            return True
        return now - self.in_flight.head_at <= BEGINNING_S

    def log_failure(self, reason: str, now: float) -> None:
        """Logs that it has failed, so that attempts that failed together can be found.

        Args:
            reason: The reason.
            now: The time, in seconds.
        """
        in_flight = self.in_flight
        started_at = in_flight.started_at
        logger.info(
            "attempt failed",
            extra={
                "request": self.state.call.id,
                "upstream": self.target.id,
                "born_ms": self.target.born_ms,
                "reason": reason,
                "has_head": in_flight.head_at is not None,
                "sent_ms": round(1000 * (now - in_flight.sent_at), 1),
                "started_ms": started_at and round(1000 * (now - started_at), 1),
                "parts": [part.id for part in self.state.call.parts],
            },
        )


class OpenAttempts:
    """The attempts in progress.

    Args:
        upstreams: The directory of upstreams.
        parts_quarantine: Gets the crashes and the survivals.
        metrics: Receives the metrics.
    """

    def __init__(
        self,
        upstreams: directory.Directory,
        parts_quarantine: quarantine.Quarantine,
        metrics: entry_metrics.EntryMetrics,
    ):
        self._quarantine = parts_quarantine
        self._detector = crash_detector.CrashDetector(
            upstreams, parts_quarantine, metrics
        )
        self._attempts: set[Attempt] = set()

    def add(self, attempt: Attempt) -> None:
        """Adds an attempt that begins."""
        self._attempts.add(attempt)

    def discard(self, attempt: Attempt) -> None:
        """Removes an attempt that has ended."""
        self._attempts.discard(attempt)

    def close(self) -> None:
        """Cancels the background tasks."""
        self._detector.close()

    def abort_quarantined(self, part: ids.PartKey) -> None:
        """Aborts the attempts with a quarantined part, unless data has arrived.

        Those show whether it was quarantined wrongly.
        """
        for attempt in list(self._attempts):
            has_data = attempt.stage is crash_reports.Stage.DATA
            if part in attempt.shared_parts and not has_data:
                attempt.connection.abort("a part of the prompt is quarantined")

    async def has_crashed_upstream(self, attempt: Attempt, now: float) -> bool:
        """Returns whether an upstream may have crashed because of a lost attempt.

        Args:
            attempt: The attempt.
            now: The time, in seconds.
        """
        if not attempt.shared_parts or not attempt.may_crash_upstream(now):
            return False
        call, stage = attempt.state.call, attempt.stage
        suspect = self._quarantine.make_suspect(call.id, call.parts, stage, now)
        has_crashed = await self._detector.check(attempt.target, suspect)
        return has_crashed and stage is not crash_reports.Stage.WAITING

    def note_progress(self, attempt: Attempt, now: float) -> None:
        """Records data of a response; past its beginning, it has survived.

        Args:
            attempt: The attempt.
            now: The time, in seconds.
        """
        if not attempt.may_crash_upstream(now):
            self.note_survival(attempt)

    def note_survival(self, attempt: Attempt) -> None:
        """Records that a response has not crashed its upstream."""
        in_flight = attempt.in_flight
        if in_flight.has_survived or in_flight.head_at is None:
            return
        in_flight.has_survived = True
        self._quarantine.note_survival(attempt.state.call.parts, in_flight.head_at)
