"""Counts the HTTP messages that have passed on a connection, without keeping them."""

import httptools

from teaselsill import http_messages


class MessageCounter:
    """Counts the whole messages in the bytes of one direction of a connection.

    Attributes:
        completed: How many messages have ended.
        is_in_message: Whether a message has begun and not ended.
        is_unparsable: Whether bytes came that are not HTTP; counting stops then.
    """

    def __init__(self, parser_class):
        self.completed = 0
        self.is_in_message = False
        self.is_unparsable = False
        self._parser = parser_class(self)

    def feed(self, data: bytes) -> None:
        """Takes bytes that have passed."""
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
    """Counts whole answers, without those that only come before one."""

    def __init__(self):
        super().__init__(httptools.HttpResponseParser)

    def _is_final(self) -> bool:
        return self._parser.get_status_code() >= http_messages.FIRST_FINAL_STATUS


class RequestCounter(MessageCounter):
    """Counts whole requests."""

    def __init__(self):
        super().__init__(httptools.HttpRequestParser)


class ExchangeTracker:
    """The requests and answers of one connection.

    An answer to HEAD has a length and no body; it counts as under way until the next
    one, so that the connection is closed too late rather than too early.
    """

    def __init__(self):
        self._requests = RequestCounter()
        self._answers = ResponseCounter()

    @property
    def is_response_pending(self) -> bool:
        """Whether a request has begun whose answer has not ended."""
        sides = self._requests, self._answers
        if any(side.is_in_message or side.is_unparsable for side in sides):
            return True
        return self._requests.completed > self._answers.completed

    def feed_request(self, data: bytes) -> None:
        """Takes bytes that the caller has sent."""
        self._requests.feed(data)

    def feed_response(self, data: bytes) -> None:
        """Takes bytes that the caller gets."""
        self._answers.feed(data)
