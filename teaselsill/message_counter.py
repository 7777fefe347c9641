"""Counts the HTTP messages on a connection without storing them."""

import httptools

from teaselsill import http_messages


class MessageCounter:
    """Counts the complete messages in one direction of a connection.

    Attributes:
        completed: The number of complete messages.
        is_in_message: Whether a message has started and not ended.
        is_unparsable: Whether the bytes were not HTTP; counting stops then.
    """

    def __init__(self, parser_class):
        self.completed = 0
        self.is_in_message = False
        self.is_unparsable = False
        self._parser = parser_class(self)

    def feed(self, data: bytes) -> None:
        """Parses the next bytes of the connection."""
        if self.is_unparsable:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_unparsable = True

    def on_message_begin(self) -> None:
        """Called by httptools."""
        self.is_in_message = True

    def on_message_complete(self) -> None:
        """Called by httptools."""
        self.is_in_message = False
        self.completed += self._is_final()

    def _is_final(self) -> bool:
        return True


class ResponseCounter(MessageCounter):
    """Counts complete final responses; interim responses do not count."""

    def __init__(self):
        super().__init__(httptools.HttpResponseParser)

    def _is_final(self) -> bool:
        return self._parser.get_status_code() >= http_messages.FIRST_FINAL_STATUS


class RequestCounter(MessageCounter):
    """Counts complete requests."""

    def __init__(self):
        super().__init__(httptools.HttpRequestParser)


class ExchangeTracker:
    """Tracks whether a response is pending on a connection.

    A response to HEAD has a length and no body. It counts as pending until the next
    response, so that the connection is closed too late rather than too early.
    """

    def __init__(self):
        self._requests = RequestCounter()
        self._responses = ResponseCounter()

    @property
    def is_response_pending(self) -> bool:
        """Whether a request has started whose response has not ended."""
        counters = self._requests, self._responses
        if any(c.is_in_message or c.is_unparsable for c in counters):
            return True
        return self._requests.completed > self._responses.completed

    @property
    def is_unanswered(self) -> bool:
        """Whether a complete request has no response, not even a part of one."""
        counters = self._requests, self._responses
        if self._responses.is_in_message or any(c.is_unparsable for c in counters):
            return False
        return self._requests.completed > self._responses.completed

    def feed_request(self, data: bytes) -> None:
        """Parses bytes sent by the caller."""
        self._requests.feed(data)

    def feed_response(self, data: bytes) -> None:
        """Parses bytes sent to the caller."""
        self._responses.feed(data)
