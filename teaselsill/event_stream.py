"""Cuts a stream of server-sent events into whole events and follows their ids."""

import re

EVENT_END = re.compile(rb"\r?\n\r?\n")
ID_LINE = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


class EventCutter:
    """Passes whole events on and holds back the beginning of the next.

    Attributes:
        last_event: The id of the last whole event, or none.
        events: How many whole events have passed.
    """

    def __init__(self, last_event: str | None = None):
        self.last_event = last_event
        self.events = 0
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Takes received bytes and returns the whole events that they complete."""
        self._rest += data
        end = 0
        for match in EVENT_END.finditer(self._rest):
            end = match.end()
            self.events += 1
        whole, self._rest = self._rest[:end], self._rest[end:]
        found = ID_LINE.findall(whole)
        if found:
            self.last_event = found[-1].decode("latin-1")
        return whole

    def take_rest(self) -> bytes:
        """Returns what has come after the last whole event."""
        rest, self._rest = self._rest, b""
        return rest

    def drop_rest(self) -> None:
        """Forgets what has come after the last whole event."""
        self._rest = b""
