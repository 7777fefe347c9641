"""Parses callers' requests with httptools and validates their framing."""

import collections

import httptools

from teaselsill import http_messages


class RequestParser:
    """Parses received bytes into complete requests.

    Args:
        max_head_bytes: The maximum size of a head.
        max_body_bytes: The maximum size of a body.

    Attributes:
        expects_continue: Whether the caller waits for `100 Continue` before the body.
        is_in_message: Whether a request has been received in part.
    """

    def __init__(self, max_head_bytes: int, max_body_bytes: int):
        self.expects_continue = False
        self.is_in_message = False
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes
        self._requests: collections.deque[http_messages.Request] = collections.deque()
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self._body_bytes = 0
        self._in_body = False
        self._error: http_messages.MalformedMessageError | None = None
        self._target = b""
        self._headers: http_messages.Headers = []
        self._body: list[bytes] = []

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
            MalformedMessageError: The request is malformed or too large.
        """
        if data and not self._in_body:
            self._head_bytes += len(data)
            self.is_in_message = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise http_messages.MalformedMessageError(
                "protocol upgrades are not supported"
            ) from error
        except httptools.HttpParserError as error:
            raise self._error or http_messages.MalformedMessageError(
                str(error)
            ) from error
        is_head_unfinished = self.is_in_message and not self._in_body
        if is_head_unfinished and self._head_bytes > self._max_head_bytes:
            raise http_messages.HeadTooLargeError(
                f"head is larger than {self._max_head_bytes} bytes"
            )

    def take(self) -> http_messages.Request | None:
        """Returns the next complete request, or `None`."""
        return self._requests.popleft() if self._requests else None

    def on_message_begin(self) -> None:
        """Called by httptools."""
        self.is_in_message = True
        self._target = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Called by httptools, possibly with only a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools."""
        header = name.decode("latin-1").lower(), value.decode("latin-1")
        self._headers.append(header)

    def on_headers_complete(self) -> None:
        """Called by httptools."""
        self._in_body = True
        size = sum(len(n) + len(v) + 4 for n, v in self._headers) + len(self._target)
        if size > self._max_head_bytes:
            self._fail(
                http_messages.HeadTooLargeError(
                    f"head is larger than {self._max_head_bytes} bytes"
                )
            )
        self._check_framing()
        expected = http_messages.get_header(self._headers, "expect") or ""
        self.expects_continue = expected.lower() == "100-continue"

    def on_body(self, body: bytes) -> None:
        """Called by httptools."""
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            self._fail(
                http_messages.BodyTooLargeError(
                    f"body is larger than {self._max_body_bytes} bytes"
                )
            )
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Called by httptools."""
        self._requests.append(
            http_messages.Request(
                method=self._parser.get_method().decode("latin-1"),
                target=self._target.decode("latin-1"),
                headers=self._headers,
                body=b"".join(self._body),
                keep_alive=self._parser.should_keep_alive(),
                version=self._parser.get_http_version(),
            )
        )
        self._head_bytes = 0
        self._in_body = False
        self.is_in_message = False
        self.expects_continue = False

    def _check_framing(self) -> None:
        lengths = [v for n, v in self._headers if n == "content-length"]
        encodings = [v for n, v in self._headers if n == "transfer-encoding"]
        if len(lengths) > 1 or (lengths and encodings):
            self._fail(http_messages.MalformedMessageError("conflicting body lengths"))
        if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
            self._fail(
                http_messages.MalformedMessageError("content-length is not a number")
            )
        if encodings and [e.strip().lower() for e in encodings] != ["chunked"]:
            self._fail(
                http_messages.MalformedMessageError("unsupported transfer encoding")
            )
        if lengths and int(lengths[0]) > self._max_body_bytes:
            self._fail(
                http_messages.BodyTooLargeError(
                    f"body is larger than {self._max_body_bytes} bytes"
                )
            )

    def _fail(self, error: http_messages.MalformedMessageError) -> None:
        """Stores and raises an error, since httptools wraps what a callback raises."""
        self._error = error
        raise error
