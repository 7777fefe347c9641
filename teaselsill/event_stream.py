"""Splits a stream of server-sent events into complete events and tracks their ids."""

import re

from teaselsill import errors

EVENT_END = re.compile(rb"\r?\n\r?\n")
ID_LINE = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)
MAX_EVENT_END_BYTES = len(b"\r\n\r\n")
MAX_EVENT_BYTES = 256 * 1024
"""A longer event is rejected as endless."""


class EventTooLargeError(errors.UpstreamError):
    """An event is longer than allowed."""


class EventSplitter:
    """Returns complete events and buffers the beginning of the next one.

    Attributes:
        last_event_id: The id of the last complete event, or `None`.
        events: The number of complete events.
    """

    def __init__(self, last_event_id: str | None = None):
        self.last_event_id = last_event_id
        self.events = 0
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Buffers received bytes and returns the events that they complete.

        Raises:
            EventTooLargeError: The event is larger than `MAX_EVENT_BYTES`.
        """
        search_start = max(0, len(self._buffer) - MAX_EVENT_END_BYTES)
        self._buffer += data
        end = 0
        for match in EVENT_END.finditer(self._buffer, search_start):
            end = match.end()
            self.events += 1
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.drop_partial_event()
            raise EventTooLargeError(f"event is larger than {MAX_EVENT_BYTES} bytes")
        ids = ID_LINE.findall(complete)
        if ids:
            self.last_event_id = ids[-1].decode("latin-1")
        return complete

    def take_partial_event(self) -> bytes:
        """Returns and clears the bytes after the last complete event."""
        partial, self._buffer = self._buffer, b""
        return partial

    def drop_partial_event(self) -> None:
        """Discards the bytes after the last complete event."""
        self._buffer = b""


class EventBoundary:
    """Follows a stream to tell whether it is inside an event, without keeping it.

    A line of an event has then arrived, but not yet the empty line that ends the event.
    Comments belong to no event.
    """

    def __init__(self):
        self._has_field = False
        self._line_start = b""

    @property
    def is_inside(self) -> bool:
        """Whether the stream is inside an event."""
        return self._has_field or _is_field(self._line_start)

    def feed(self, data: bytes) -> None:
        """Follows received bytes."""
        *complete, rest = (self._line_start + data).split(b"\n")
        for line in complete:
            if not line.rstrip(b"\r"):
                self._has_field = False
            elif _is_field(line):
                self._has_field = True
        self._line_start = rest[:1]


def _is_field(line: bytes) -> bool:
    """Returns whether a line, or its beginning, is neither empty nor a comment."""
    return bool(line.rstrip(b"\r")) and not line.startswith(b":")
