"""One hand-over of a request to an agent, as the router sees it."""

import asyncio
import collections.abc
import dataclasses

from teaselsill import errors, ids, invariants, messages, response_delivery

ACK_BYTES = 32 * 1024
"""How many bytes of an answer the router takes before it acknowledges them."""


class AgentLostError(errors.RequestError):
    """The agent is gone and nobody can tell whether the request ran."""


class NotRunError(errors.RequestError):
    """The agent says that the attempt has not run and never will.

    Attributes:
        reason: Why.
    """

    def __init__(self, reason: messages.Reason):
        super().__init__(reason.value)
        self.reason = reason


class IncompleteResponseError(errors.RequestError):
    """The answer ended before it was whole.

    Attributes:
        reason: Why.
        outcome: What is known of the run.
    """

    def __init__(self, reason: messages.Reason, outcome: messages.Outcome):
        super().__init__(reason.value)
        self.reason = reason
        self.outcome = outcome


@dataclasses.dataclass(frozen=True, slots=True)
class BodyChunk:
    """A part of the body of an answer.

    Attributes:
        data: The bytes.
        is_last: Whether the answer is whole with them.
    """

    data: bytes
    is_last: bool


class Exchange:
    """The attempt at one agent incarnation, from the dispatch to the end.

    Args:
        attempt: The attempt's id.
        incarnation: The run of the agent process that has the attempt.
        acknowledge: Called with the sequence number that the agent may forget.
        repeatable: Whether the request may run more than once.

    Attributes:
        attempt: The attempt's id.
        incarnation: The run of the agent process that has the attempt.
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
        self._assembly = response_delivery.ResponseReceiver(attempt)
        self._events: asyncio.Queue = asyncio.Queue()
        self._unacknowledged_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def next_sequence(self) -> int:
        """The sequence number of the next frame that is missing."""
        return self._assembly.next_sequence

    @property
    def can_restart(self) -> bool:
        """Whether the request can go to another agent: nothing has come of it."""
        return self._repeatable and self.next_sequence == 0

    def receive(self, message: messages.Message) -> None:
        """Takes a frame of the answer, in any order and any number of times.

        Raises:
            MissingFrameError: Frames before this one are missing.
            CrossedAnswerError: The frame belongs to another attempt.
        """
        for frame in self._assembly.receive(message):
            self._events.put_nowait(frame)

    def mark_not_run(self, message: messages.NotRun) -> None:
        """Takes the agent's word that the attempt has not run."""
        self._events.put_nowait(message)

    def mark_lost(self) -> None:
        """Gives the agent up."""
        self._events.put_nowait(AgentLostError("the agent is gone"))

    def expire_after(self, delay_s: float) -> None:
        """Gives up, after a time, an agent that has not ended the answer by itself."""
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
        """Waits for the start of the answer.

        Raises:
            AgentLostError: The agent is gone.
            NotRunError: The attempt has not run.
            IncompleteResponseError: There is no answer, but it may have run.
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
        """Yields the pieces of the body as they come; those that wait are joined.

        Raises:
            AgentLostError: The agent is gone.
            IncompleteResponseError: The answer ended before it was whole.
            TruncatedAnswerError: It was about to pass for whole with frames missing.
        """
        while True:
            event = await self._events.get()
            frames = []
            while isinstance(event, messages.Body):
                frames.append(event)
                event = None if self._events.empty() else self._events.get_nowait()
            is_whole = _is_whole(event)
            if is_whole:
                self._check_complete()
            if frames or is_whole:
                yield BodyChunk(b"".join(frame.data for frame in frames), is_whole)
            self._note_delivered(frames)
            if event is not None:
                self._take_last(event)
            if is_whole:
                return

    def _take_last(self, event) -> None:
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
            self._assembly.check_complete()
        except response_delivery.TruncatedAnswerError as error:
            invariants.report(error)

    def _note_delivered(self, frames: list[messages.Body]) -> None:
        for frame in frames:
            size = len(frame.data) + response_delivery.FRAME_OVERHEAD_BYTES
            self._unacknowledged_bytes += size
        if self._unacknowledged_bytes >= ACK_BYTES:
            self._unacknowledged_bytes = 0
            self._acknowledge(frames[-1].sequence)


def _is_whole(event) -> bool:
    """Tells whether an event is the end mark of a whole answer."""
    return isinstance(event, messages.End) and event.reason is messages.Reason.NONE
