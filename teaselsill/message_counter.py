"""Counts the HTTP messages that have passed on a connection, without keeping them."""

import httptools

from teaselsill import http_messages


class MessageCounter:
    """Counts the whole messages in the bytes of one direction of a connection.

    Attributes:
        whole: How many messages have ended.
        is_midway: Whether a message has begun and not ended.
        is_lost: Whether bytes came that are no HTTP, so that nothing is told any more.
    """

    def __init__(self, parser_class):
        self.whole = 0
        self.is_midway = False
        self.is_lost = False
        self._parser = parser_class(self)

    def feed(self, data: bytes) -> None:
        """Takes bytes that have passed."""
        if self.is_lost:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_lost = True

    def on_message_begin(self) -> None:
        """Called by httptools."""
        self.is_midway = True

    def on_message_complete(self) -> None:
        """Called by httptools."""
        self.is_midway = False
        self.whole += self._is_final()

    def _is_final(self) -> bool:
        return True


class AnswerCounter(MessageCounter):
    """Counts whole answers, without those that only come before one."""

    def __init__(self):
        super().__init__(httptools.HttpResponseParser)

    def _is_final(self) -> bool:
        return self._parser.get_status_code() >= http_messages.FIRST_FINAL_STATUS


class RequestCounter(MessageCounter):
    """Counts whole requests."""

    def __init__(self):
        super().__init__(httptools.HttpRequestParser)


class Exchanges:
    """The requests and answers of one connection.

    An answer to HEAD has a length and no body; it counts as under way until the next
    one, so that the connection is closed too late rather than too early.
    """

    def __init__(self):
        self._requests = RequestCounter()
        self._answers = AnswerCounter()

    @property
    def is_answer_due(self) -> bool:
        """Whether a request has begun whose answer has not ended."""
        sides = self._requests, self._answers
        if any(side.is_midway or side.is_lost for side in sides):
            return True
        return self._requests.whole > self._answers.whole

    def note_request(self, data: bytes) -> None:
        """Takes bytes that the caller has sent."""
        self._requests.feed(data)

    def note_answer(self, data: bytes) -> None:
        """Takes bytes that the caller gets."""
        self._answers.feed(data)
