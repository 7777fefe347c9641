"""Cuts a stream of server-sent events into whole events and follows their ids."""

import re

from teaselsill import errors

EVENT_END = re.compile(rb"\r?\n\r?\n")
ID_LINE = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)
LONGEST_END_BYTES = len(b"\r\n\r\n")
MAX_EVENT_BYTES = 256 * 1024
"""A longer event is taken for one without end."""


class EventTooLargeError(errors.UpstreamError):
    """An event is longer than any that is taken."""


class EventSplitter:
    """Passes whole events on and holds back the beginning of the next.

    Attributes:
        last_event: The id of the last whole event, or none.
        events: How many whole events have passed.
    """

    def __init__(self, last_event: str | None = None):
        self.last_event_id = last_event
        self.events = 0
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Takes received bytes and returns the whole events that they complete.

        Raises:
            EventTooLargeError: The event does not end.
        """
        searched = max(0, len(self._rest) - LONGEST_END_BYTES)
        self._rest += data
        end = 0
        for match in EVENT_END.finditer(self._rest, searched):
            end = match.end()
            self.events += 1
        whole, self._rest = self._rest[:end], self._rest[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            self.drop_partial_event()
            raise EventTooLargeError(f"event over {MAX_EVENT_BYTES} bytes")
        found = ID_LINE.findall(whole)
        if found:
            self.last_event_id = found[-1].decode("latin-1")
        return whole

    def take_partial_event(self) -> bytes:
        """Returns what has come after the last whole event."""
        rest, self._rest = self._rest, b""
        return rest

    def drop_partial_event(self) -> None:
        """Forgets what has come after the last whole event."""
        self._rest = b""
