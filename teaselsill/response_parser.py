"""Parses upstreams' responses with httptools, part by part."""

import collections.abc

import httptools

from teaselsill import http_messages

BODILESS_STATUSES = frozenset({204, 304})
MAX_BYTES_WITHOUT_PART = 64 * 1024
"""More received bytes without a complete part count as an endless head or trailer."""


class ResponseParser:
    """Parses received bytes into the parts of one response.

    An upstream may repeat its response to an earlier request: a response whose head is
    not expected is skipped.

    Args:
        method: The method of the request.
        is_expected: Returns whether a response head belongs to the request.

    Attributes:
        has_extra_bytes: Whether bytes arrived that do not belong to the response.
        is_complete: Whether the complete response has been received.
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
        self._bytes_without_part = 0
        self._parts: list[http_messages.Part] = []
        self._bodies: list[bytes] = []
        self._reason = ""
        self._headers: http_messages.Headers = []

    def feed(self, data: bytes) -> list[http_messages.Part]:
        """Parses received bytes and returns the parts that they complete.

        Raises:
            MalformedMessageError: The response is malformed. Earlier parts in the same
                bytes are lost.
        """
        if self.is_complete:
            self.has_extra_bytes = self.has_extra_bytes or bool(data)
            return []
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise http_messages.MalformedMessageError(
                "protocol upgrades are not supported"
            ) from error
        except httptools.HttpParserError as error:
            if not self.is_complete:
                raise http_messages.MalformedMessageError(str(error)) from error
            self.has_extra_bytes = True
        self._join_bodies()
        parts, self._parts = self._parts, []
        self._bytes_without_part = 0 if parts else self._bytes_without_part + len(data)
        if self._bytes_without_part > MAX_BYTES_WITHOUT_PART:
            raise http_messages.MalformedMessageError(
                f"no complete part of a response in {self._bytes_without_part} bytes"
            )
        return parts

    def close(self) -> list[http_messages.Part]:
        """Handles the orderly end of the connection.

        Raises:
            PrematureCloseError: The response was not complete.
        """
        if self.is_complete:
            return []
        if (
            self._head is None
            or self._head.framing is not http_messages.Framing.UNTIL_CLOSE
        ):
            raise http_messages.PrematureCloseError(
                "the connection closed before the end of the response"
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
            self._bodies.append(body)

    def on_message_complete(self) -> None:
        """Called by httptools."""
        if self._head is not None and not self.is_complete:
            self._end()

    def _join_bodies(self) -> None:
        """Makes one part of the chunks of a body, since each part is an object."""
        if not self._bodies:
            return
        body = self._bodies[0] if len(self._bodies) == 1 else b"".join(self._bodies)
        self._bodies = []
        self._parts.append(http_messages.Data(body))

    def _end(self) -> None:
        self._join_bodies()
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
