"""The router's state of one attempt to run a request at an agent."""

import asyncio
import collections.abc
import dataclasses

from teaselsill import errors, ids, invariants, messages, response_delivery

ACK_BYTES = 32 * 1024
"""The router acknowledges a response each time it has delivered this many bytes."""


class AgentLostError(errors.RequestError):
    """The agent was lost and it is unknown whether the request ran."""


class NotRunError(errors.RequestError):
    """The agent states that it has not run the attempt and never will.

    Attributes:
        reason: Why the agent has not run it.
    """

    def __init__(self, reason: messages.Reason):
        super().__init__(reason.value)
        self.reason = reason


class IncompleteResponseError(errors.RequestError):
    """The response ended before it was complete.

    Attributes:
        reason: Why the response is incomplete.
        outcome: What is known about whether the request ran.
    """

    def __init__(self, reason: messages.Reason, outcome: messages.Outcome):
        super().__init__(reason.value)
        self.reason = reason
        self.outcome = outcome


@dataclasses.dataclass(frozen=True, slots=True)
class BodyChunk:
    """A part of the body of a response.

    Attributes:
        data: The bytes.
        is_last: Whether the response is complete with this chunk.
    """

    data: bytes
    is_last: bool


class Exchange:
    """One attempt at one agent incarnation, from its dispatch to its end.

    Args:
        attempt: The attempt's id.
        incarnation: The incarnation of the agent that received the dispatch.
        acknowledge: Called with the sequence number up to which frames are delivered.
        repeatable: Whether the request may run more than once.

    Attributes:
        attempt: The attempt's id.
        incarnation: The incarnation of the agent that received the dispatch.
    """

    def __init__(
        self,
        attempt: ids.AttemptId,
        incarnation: ids.Incarnation,
        acknowledge: collections.abc.Callable[[int], None],
        repeatable: bool = False,
    ):
        self.attempt = attempt
        self.incarnation = incarnation
        self._acknowledge = acknowledge
        self._repeatable = repeatable
        self._receiver = response_delivery.ResponseReceiver(attempt)
        self._events: asyncio.Queue = asyncio.Queue()
        self._unacknowledged_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def next_sequence(self) -> int:
        """The sequence number of the next frame that is missing."""
        return self._receiver.next_sequence

    @property
    def can_restart(self) -> bool:
        """Whether the request may be sent to another agent instead.

        It must be repeatable, and no part of a response may have been received.
        """
        return self._repeatable and self.next_sequence == 0

    def receive(self, message: messages.Message) -> None:
        """Accepts a frame of the response; duplicates are ignored.

        Raises:
            MissingFrameError: Frames before this one are missing.
            CrossedAnswerError: The frame belongs to another attempt.
            TruncatedAnswerError: The frame contradicts the count in the end frame.
        """
        for frame in self._receiver.receive(message):
            self._events.put_nowait(frame)

    def mark_not_run(self, message: messages.NotRun) -> None:
        """Records the agent's statement that the attempt has not run."""
        self._events.put_nowait(message)

    def mark_lost(self) -> None:
        """Ends the attempt because the agent was lost."""
        self._events.put_nowait(AgentLostError("the agent is gone"))

    def expire_after(self, delay_s: float) -> None:
        """Ends the attempt after a delay, unless the agent has ended it by then."""
        error = IncompleteResponseError(
            messages.Reason.DEADLINE, messages.Outcome.UNKNOWN
        )
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._events.put_nowait, error)

    def close(self) -> None:
        """Stops the timer."""
        if self._timer is not None:
            self._timer.cancel()

    async def head(self) -> messages.Head:
        """Waits for the status and headers of the response.

        Raises:
            AgentLostError: The agent was lost.
            NotRunError: The attempt has not run.
            IncompleteResponseError: There is no response, but the request may have run.
        """
        match await self._events.get():
            case messages.Head() as head:
                return head
            case messages.NotRun(reason=reason):
                raise NotRunError(reason)
            case messages.End(reason=reason, outcome=outcome, sequence=sequence):
                self._acknowledge(sequence)
                raise IncompleteResponseError(reason, outcome)
            case error:
                raise error

    async def body(self) -> collections.abc.AsyncIterator[BodyChunk]:
        """Yields the body as it arrives; chunks that have queued up are joined.

        Raises:
            AgentLostError: The agent was lost.
            IncompleteResponseError: The response ended before it was complete.
            TruncatedAnswerError: The response claims to be complete but lacks frames.
        """
        while True:
            event = await self._events.get()
            frames = []
            while isinstance(event, messages.Body):
                frames.append(event)
                event = None if self._events.empty() else self._events.get_nowait()
            is_complete = _is_complete_end(event)
            if is_complete:
                self._check_complete()
            if frames or is_complete:
                yield BodyChunk(b"".join(frame.data for frame in frames), is_complete)
            self._acknowledge_delivered(frames)
            if event is not None:
                self._handle_last(event)
            if is_complete:
                return

    def _handle_last(self, event) -> None:
        match event:
            case messages.End(reason=reason, outcome=outcome, sequence=sequence):
                self._acknowledge(sequence)
                if reason is not messages.Reason.NONE:
                    raise IncompleteResponseError(reason, outcome)
            case messages.NotRun(reason=reason):
                raise IncompleteResponseError(reason, messages.Outcome.UNKNOWN)
            case error:
                raise error

    def _check_complete(self) -> None:
        try:
            self._receiver.check_complete()
        except response_delivery.TruncatedAnswerError as error:
            invariants.report(error)

    def _acknowledge_delivered(self, frames: list[messages.Body]) -> None:
        for frame in frames:
            size = len(frame.data) + response_delivery.FRAME_OVERHEAD_BYTES
            self._unacknowledged_bytes += size
        if self._unacknowledged_bytes >= ACK_BYTES:
            self._unacknowledged_bytes = 0
            self._acknowledge(frames[-1].sequence)


def _is_complete_end(event) -> bool:
    """Returns whether an event is the end frame of a complete response."""
    return isinstance(event, messages.End) and event.reason is messages.Reason.NONE
