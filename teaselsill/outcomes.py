"""The state of a caller's request, and the possible outcomes of one attempt."""

import dataclasses
import math

from teaselsill import (
    admission,
    boot_clock,
    caller_connection,
    calls,
    event_stream,
    ids,
    request_log_line,
    routing_table,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The caller has the complete response.

    Attributes:
        status: Its HTTP status.
    """

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unsent:
    """The upstream could not be reached: it has not seen the request."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream has refused the request and states that it has not run."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """There is no complete response; the request may have run."""

    reason: str


Outcome = Delivered | Unsent | NotRun | Failed


@dataclasses.dataclass(frozen=True, slots=True)
class FailedElsewhere:
    """Another router could not serve the request; upstreams may have run it.

    Attributes:
        reason: Why.
        upstreams: The upstreams that it may have been sent to, in order.
    """

    reason: str
    upstreams: list[ids.UpstreamId]


PATIENCE_MARGIN_S = 0.1
"""How long after a caller's patience has ended its request is given up."""
MAX_CRASHES = 2
"""A request is not sent again once it was beginning at so many crashes."""
NO_METADATA = calls.ResponseMetadata()


@dataclasses.dataclass(slots=True)
class RequestState:
    """The state of a request that the router forwards.

    Attributes:
        call: The request.
        route: Its route.
        service: The service that it goes to.
        account: The client account; None for a public route.
        response: The response to the caller.
        deadline: When the response must be complete, on the event loop's clock, in
            seconds.
        boot_deadline: The same on the boot clock, which goes on while the router is
            suspended.
        events: Splits the response into events if it can be resumed.
        excluded: The upstreams that must not get the request any more.
        sends: How many times it was sent.
        possible_runs: How many upstreams may have run it.
        crashes: How many upstreams have crashed when they began to respond to it.
        allowed_regions: The regions to which it may be sent; None for any.
        line: Its log line.
        is_event_stream: Whether the response that has started is a stream of events.
        metadata: The metadata of the last response.
        assessment: What admission was last based on; None for a call without a prompt.
        is_writing: Whether the caller has yet to take a part that there is.
    """

    call: calls.Call
    route: routing_table.Route
    service: routing_table.Service
    account: ids.AccountId | None
    response: caller_connection.Response
    deadline: float
    boot_deadline: float
    events: event_stream.EventSplitter
    line: request_log_line.RequestLogLine
    is_event_stream: bool = False
    metadata: calls.ResponseMetadata = NO_METADATA
    assessment: admission.Assessment | None = None
    excluded: set[ids.UpstreamId] = dataclasses.field(default_factory=set)
    sends: int = 0
    possible_runs: int = 0
    crashes: int = 0
    allowed_regions: frozenset[ids.Region] | None = None
    is_writing: bool = False

    @property
    def has_patience_limit(self) -> bool:
        """Whether the caller abandons the response if nothing arrives for a time."""
        return math.isfinite(self.route.patience_s)

    def find_patience_left_s(self, now: float) -> float:
        """Returns how long until the caller has abandoned the stream, in seconds.

        A caller that takes its response slowly has not abandoned it.

        Args:
            now: The event loop's time, in seconds.
        """
        if self.is_writing:
            return self.route.patience_s
        taken_at = max(self.call.received_at, self.response.taken_at)
        margin_s = PATIENCE_MARGIN_S + self.response.taken_late_s
        return taken_at + self.route.patience_s + margin_s - now

    def find_time_left_s(self, now: float) -> float:
        """Returns the time left until the deadline, in seconds.

        Args:
            now: The event loop's time, in seconds.
        """
        return min(self.deadline - now, self.boot_deadline - boot_clock.now())

    @property
    def has_response_started(self) -> bool:
        """Whether the caller has received a part of a response."""
        return self.response.progress is not caller_connection.Progress.NOT_STARTED

    @property
    def is_repeatable(self) -> bool:
        """Whether another upstream may run it after one that may have run it."""
        match self.route.repeat:
            case routing_table.Repeat.FREELY:
                return not self.has_response_started
            case routing_table.Repeat.RESUME:
                return not self.has_response_started or self.can_be_resumed
        return False

    @property
    def can_be_resumed(self) -> bool:
        """Whether another upstream can go on with the response that has started."""
        is_resumable = self.route.repeat is routing_table.Repeat.RESUME
        return is_resumable and self.is_event_stream

    @property
    def may_run_elsewhere(self) -> bool:
        """Whether it is repeatable and its route allows one more upstream.

        A request that was beginning when two upstreams crashed may be the cause.
        """
        return (
            self.is_repeatable
            and self.possible_runs < self.route.max_upstreams
            and self.crashes < MAX_CRASHES
        )
