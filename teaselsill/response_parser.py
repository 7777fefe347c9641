"""Parses upstreams' answers with httptools, part by part."""

import collections.abc

import httptools

from teaselsill import http_messages

BODILESS_STATUSES = frozenset({204, 304})
MAX_BYTES_WITHOUT_PART = 256 * 1024
"""So many received bytes without a part of an answer are taken for a head or a trailer
without end."""


class ResponseParser:
    """Turns received bytes into the parts of one answer.

    An upstream may send an answer to an earlier request once more: a head that is not
    expected is skipped together with its body.

    Args:
        method: The method of the request that is answered.
        is_expected: Tells from a head whether it answers the request.

    Attributes:
        has_extra_bytes: Whether bytes came that belong to no answer of the request.
        is_complete: Whether the whole answer has been received.
    """

    def __init__(
        self,
        method: str,
        is_expected: collections.abc.Callable[
            [http_messages.Head], bool
        ] = lambda head: True,
    ):
        self.has_extra_bytes = False
        self.is_complete = False
        self._method = method
        self._is_expected = is_expected
        self._parser = httptools.HttpResponseParser(self)
        self._head: http_messages.Head | None = None
        self._unused_bytes = 0
        self._parts: list[http_messages.Part] = []
        self._reason = ""
        self._headers: http_messages.Headers = []

    def feed(self, data: bytes) -> list[http_messages.Part]:
        """Takes received bytes and returns the parts that they complete.

        Raises:
            MalformedMessageError: They are no answer. Parts before are lost.
        """
        if self.is_complete:
            self.has_extra_bytes = self.has_extra_bytes or bool(data)
            return []
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise http_messages.MalformedMessageError(
                "no other protocol is spoken"
            ) from error
        except httptools.HttpParserError as error:
            if not self.is_complete:
                raise http_messages.MalformedMessageError(str(error)) from error
            self.has_extra_bytes = True
        parts, self._parts = self._parts, []
        self._unused_bytes = 0 if parts else self._unused_bytes + len(data)
        if self._unused_bytes > MAX_BYTES_WITHOUT_PART:
            raise http_messages.MalformedMessageError(
                f"no part of an answer in {self._unused_bytes} bytes"
            )
        return parts

    def close(self) -> list[http_messages.Part]:
        """Takes note that the upstream has closed the connection in order.

        Raises:
            PrematureCloseError: The answer was not complete.
        """
        if self.is_complete:
            return []
        if (
            self._head is None
            or self._head.framing is not http_messages.Framing.UNTIL_CLOSE
        ):
            raise http_messages.PrematureCloseError(
                "the connection closed before the answer's end"
            )
        self.is_complete = True
        return [http_messages.End()]

    def on_message_begin(self) -> None:
        """Called by httptools."""
        if self.is_complete:
            self.has_extra_bytes = True
        self._reason = ""
        self._headers = []

    def on_status(self, status: bytes) -> None:
        """Called by httptools."""
        self._reason += status.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools."""
        header = name.decode("latin-1").lower(), value.decode("latin-1")
        self._headers.append(header)

    def on_headers_complete(self) -> None:
        """Called by httptools."""
        status = self._parser.get_status_code()
        if self.is_complete or status < http_messages.FIRST_FINAL_STATUS:
            return
        head = http_messages.Head(
            status=status,
            reason=self._reason,
            headers=self._headers,
            framing=self._find_framing(status),
            keep_alive=self._parser.should_keep_alive(),
        )
        if not self._is_expected(head):
            self.has_extra_bytes = True
            return
        self._head = head
        self._parts.append(head)
        if self._method == "HEAD":
            self._end()

    def on_body(self, body: bytes) -> None:
        """Called by httptools."""
        if self._head is not None and not self.is_complete:
            self._parts.append(http_messages.Data(body))

    def on_message_complete(self) -> None:
        """Called by httptools."""
        if self._head is not None and not self.is_complete:
            self._end()

    def _end(self) -> None:
        self.is_complete = True
        self._parts.append(http_messages.End())

    def _find_framing(self, status: int) -> http_messages.Framing:
        names = {name for name, _ in self._headers}
        if status in BODILESS_STATUSES or self._method == "HEAD":
            return http_messages.Framing.NONE
        if "transfer-encoding" in names:
            return http_messages.Framing.CHUNKED
        if "content-length" in names:
            return http_messages.Framing.LENGTH
        return http_messages.Framing.UNTIL_CLOSE
