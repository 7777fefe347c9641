"""Delivers a complete response from an agent to a router despite lost connections.

The agent numbers the frames of a response and keeps them until the router acknowledges
them. After a reconnect the router asks for the frames from the first missing one on.
"""

import asyncio
import collections
import typing

from teaselsill import errors, ids, messages

FRAME_OVERHEAD_BYTES = 128
"""Added to the size of each buffered frame, so that small frames are not free."""

Frame = messages.Head | messages.Body | messages.End
Send = typing.Callable[[messages.Message], object]


class ResponseError(errors.TeaselsillError):
    """The frames of a response were added in the wrong order."""


class ResponseEndedError(ResponseError):
    """A frame was added to a response that has ended."""


class SequenceError(errors.LinkError):
    """A peer named a sequence number that was discarded or has not been sent."""


class MissingFrameError(errors.LinkError):
    """A frame arrived before an earlier frame.

    Attributes:
        expected: The sequence number to resume from.
    """

    def __init__(self, attempt: ids.AttemptId, expected: int, received: int):
        super().__init__(f"{attempt}: expected frame {expected}, received {received}")
        self.expected = expected


class TruncatedAnswerError(errors.InvariantError):
    """The number of received frames contradicts the count in the end frame.

    Without this check an incomplete response would be passed on as complete.
    """


class CrossedAnswerError(errors.InvariantError):
    """A frame belongs to another attempt than the response it was added to."""


def sequence_of(frame: Frame) -> int:
    """Returns the sequence number of a frame."""
    match frame:
        case messages.Head():
            return 0
        case messages.Body(sequence=sequence) | messages.End(sequence=sequence):
            return sequence
    raise TypeError(f"not a response frame: {type(frame).__name__}")


class ResponseSender:
    """The agent's side: buffers frames until the router acknowledges them.

    Args:
        attempt: The attempt that the response belongs to.
        window_bytes: The number of unacknowledged bytes above which `put_body` waits.
    """

    def __init__(self, attempt: ids.AttemptId, window_bytes: int):
        self.attempt = attempt
        self._window_bytes = window_bytes
        self._frames: collections.deque[Frame] = collections.deque()
        self._first = 0
        self._unacknowledged_bytes = 0
        self._ended = False
        self._discarded = False
        self._send: Send | None = None
        self._has_room = asyncio.Event()
        self._has_room.set()
        self._delivered = asyncio.Event()

    @property
    def unacknowledged_bytes(self) -> int:
        """The size of the buffered frames, with their overhead, in bytes."""
        return self._unacknowledged_bytes

    @property
    def has_head(self) -> bool:
        """Whether the response has begun."""
        return self._next_sequence > 0

    @property
    def is_ended(self) -> bool:
        """Whether the end frame has been added."""
        return self._ended

    @property
    def is_delivered(self) -> bool:
        """Whether the router has acknowledged the end frame."""
        return self._delivered.is_set()

    async def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Adds the status and the headers, which come before any body."""
        if self._next_sequence:
            raise ResponseError(f"{self.attempt}: the head is not the first frame")
        self._add(messages.Head(self.attempt, status, headers))

    async def put_body(self, data: bytes) -> None:
        """Adds a chunk of the body once the window has room for it.

        Raises:
            ResponseEndedError: The response has ended, possibly while this call waited.
        """
        while not self._ended and self._unacknowledged_bytes > self._window_bytes:
            self._has_room.clear()
            await self._has_room.wait()
        if not self._next_sequence:
            raise ResponseError(f"{self.attempt}: body added before the head")
        if data:
            self._add(messages.Body(self.attempt, self._next_sequence, data))

    def end(self, outcome: messages.Outcome, reason: messages.Reason) -> None:
        """Adds the end frame, which counts the frames before it."""
        self._add(messages.End(self.attempt, self._next_sequence, outcome, reason))
        self._ended = True
        self._has_room.set()
        if self._discarded:
            self._delivered.set()

    def attach(self, send: Send, from_sequence: int) -> None:
        """Sends all frames from a sequence number on over a connection.

        The router has every frame before that number, so they count as acknowledged.
        A later call replaces the connection.

        Raises:
            SequenceError: The frames from that number on are not buffered.
        """
        if not self._first <= from_sequence <= self._next_sequence:
            raise SequenceError(f"{self.attempt}: cannot resume from {from_sequence}")
        self.acknowledge(from_sequence - 1)
        self._send = send
        for frame in list(self._frames):
            self._transmit(frame)

    def detach(self, send: Send) -> None:
        """Stops sending over a connection, unless another has replaced it."""
        if self._send == send:
            self._send = None

    def discard(self) -> None:
        """Discards buffered and later frames, as the response is no longer needed."""
        self._discarded = True
        self._send = None
        self.acknowledge(self._next_sequence - 1)

    def acknowledge(self, through: int) -> None:
        """Discards the frames up to and including a sequence number.

        Raises:
            SequenceError: There is no such frame yet.
        """
        if through >= self._next_sequence:
            raise SequenceError(f"{self.attempt}: frame {through} was not sent")
        while self._first <= through:
            self._unacknowledged_bytes -= _size_of(self._frames.popleft())
            self._first += 1
        if self._unacknowledged_bytes <= self._window_bytes:
            self._has_room.set()
        if self._ended and not self._frames:
            self._delivered.set()

    async def wait_delivered(self, timeout_s: float) -> bool:
        """Waits until the end frame is acknowledged; returns whether it was in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._delivered.wait()
        except TimeoutError:
            return False
        return True

    @property
    def _next_sequence(self):
        return self._first + len(self._frames)

    def _add(self, frame):
        if self._ended:
            raise ResponseEndedError(f"{self.attempt}: the response has ended")
        self._frames.append(frame)
        self._unacknowledged_bytes += _size_of(frame)
        self._transmit(frame)
        if self._discarded:
            self.acknowledge(self._next_sequence - 1)

    def _transmit(self, frame):
        if self._send is None:
            return
        try:
            self._send(frame)
        except errors.LinkError:
            self._send = None


class ResponseReceiver:
    """The router's side: accepts the frames of one attempt in order, each once.

    Attributes:
        attempt: The attempt that the response belongs to.
        next_sequence: The sequence number of the next frame, to resume from.
        end: The end frame, once it has been received.
    """

    def __init__(self, attempt: ids.AttemptId):
        self.attempt = attempt
        self.next_sequence = 0
        self.end: messages.End | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the end frame and every frame that it counts were received."""
        return self.end is not None and self.end.sequence + 1 == self.next_sequence

    def receive(self, frame: Frame) -> list[Frame]:
        """Accepts a frame from any connection and returns it if it is new.

        Returns:
            A list of the frame, or an empty list if it was received before.

        Raises:
            CrossedAnswerError: The frame belongs to another attempt.
            MissingFrameError: An earlier frame is missing; resume from `next_sequence`.
            TruncatedAnswerError: The frame contradicts the count in the end frame.
        """
        if frame.attempt != self.attempt:
            raise CrossedAnswerError(
                f"{self.attempt}: received a frame of {frame.attempt}"
            )
        sequence = sequence_of(frame)
        self._check_count(frame, sequence)
        if sequence < self.next_sequence:
            return []
        if sequence > self.next_sequence or _lacks_head(frame):
            raise MissingFrameError(self.attempt, self.next_sequence, sequence)
        self.next_sequence += 1
        if isinstance(frame, messages.End):
            self.end = frame
        return [frame]

    def check_complete(self) -> None:
        """Checks that the response is complete, before the caller's body is ended.

        Raises:
            TruncatedAnswerError: The response is incomplete.
        """
        if not self.is_complete:
            raise TruncatedAnswerError(
                f"{self.attempt}: ended after {self.next_sequence} frames without "
                "an end frame that counts them"
            )

    def _check_count(self, frame, sequence):
        match frame:
            case messages.End():
                is_first = self.end is None and sequence >= self.next_sequence
                is_consistent = is_first or frame == self.end
            case _:
                is_consistent = self.end is None or sequence < self.end.sequence
        if not is_consistent:
            raise TruncatedAnswerError(
                f"{self.attempt}: frame {sequence} contradicts the end frame"
            )


def _lacks_head(frame):
    return isinstance(frame, messages.Body) and frame.sequence == 0


def _size_of(frame):
    match frame:
        case messages.Head(headers=headers):
            text_bytes = sum(len(name) + len(value) for name, value in headers)
            return FRAME_OVERHEAD_BYTES + text_bytes
        case messages.Body(data=data):
            return FRAME_OVERHEAD_BYTES + len(data)
    return FRAME_OVERHEAD_BYTES
