"""Parses callers' requests with httptools and validates their framing."""

import collections

import httptools

from teaselsill import http_messages

SEPARATOR_BYTES = 4
"""The colon, the space and the end of a header line."""
HEADER_LINE_COST_BYTES = 200
"""What the objects of one header line occupy, without its characters."""
MAX_PARTS = 64
"""More parts of a body are joined, since each of them is an object."""
REQUEST_COST_BYTES = 600
"""What the other objects of one request occupy."""


class RequestParser:
    """Parses received bytes into complete requests.

    Trailers are counted toward the maximum size of a head and dropped. So are the bytes
    between two parts of a chunked body, such as chunk extensions.

    Args:
        max_head_bytes: The maximum size of a head.
        max_body_bytes: The maximum size of a body.

    Attributes:
        expects_continue: Whether the caller waits for `100 Continue` before the body.
        is_in_message: Whether a request has been received in part.
        headers: The header lines of the request that is being received.
        taken_bytes: What the request that was last taken occupies, with its objects.
    """

    def __init__(self, max_head_bytes: int, max_body_bytes: int):
        self.expects_continue = False
        self.is_in_message = False
        self.taken_bytes = 0
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes
        self._pending: collections.deque[tuple[http_messages.Request, int]] = (
            collections.deque()
        )
        self._pending_bytes = 0
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self._kept_head_bytes = 0
        self._bytes_without_part = 0
        self._trailer_bytes = 0
        self._body_bytes = 0
        self._in_body = False
        self._error: http_messages.MalformedMessageError | None = None
        self._target = b""
        self.headers: http_messages.Headers = []
        self._parts: list[bytes] = []
        self._joined = bytearray()

    @property
    def held_bytes(self) -> int:
        """What is kept of requests that have not been taken, with its objects."""
        if not self.is_in_message:
            return self._pending_bytes
        return self._pending_bytes + self._estimate_cost()

    @property
    def is_head_complete(self) -> bool:
        """Whether the head of the request that is being received is complete."""
        return self._in_body

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        What is kept exceeds the limits by the size of these bytes, at the most.

        Raises:
            MalformedMessageError: The request is malformed or too large.
        """
        try:
            self._feed(data)
        except httptools.HttpParserUpgrade as error:
            self.drop()
            raise http_messages.MalformedMessageError(
                "protocol upgrades are not supported"
            ) from error
        except httptools.HttpParserError as error:
            failure, self._error = self._error, None
            self.drop()
            raise failure or http_messages.MalformedMessageError(str(error)) from error
        except http_messages.MalformedMessageError:
            self.drop()
            raise

    def _feed(self, data: bytes) -> None:
        """Parses a piece, and checks the size of what is unfinished after it."""
        if self._in_body:
            self._bytes_without_part += len(data)
        elif data:
            self._head_bytes += len(data)
            self.is_in_message = True
        self._parser.feed_data(data)
        if self.is_in_message:
            size = self._bytes_without_part if self._in_body else self._head_bytes
            if size > self._max_head_bytes:
                raise self._make_head_error()

    def _make_head_error(self) -> http_messages.HeadTooLargeError:
        return http_messages.HeadTooLargeError(
            f"head or trailers are larger than {self._max_head_bytes} bytes"
        )

    def drop(self) -> None:
        """Drops what has been received, which a failure would keep otherwise."""
        self._body_bytes = 0
        self._head_bytes = 0
        self.headers = []
        self._parts = []
        self._joined = bytearray()
        self._kept_head_bytes = 0
        self._pending.clear()
        self._pending_bytes = 0

    def take(self) -> http_messages.Request | None:
        """Returns the next complete request, or `None`."""
        if not self._pending:
            return None
        request, cost_bytes = self._pending.popleft()
        self._pending_bytes -= cost_bytes
        self.taken_bytes = cost_bytes
        return request

    def on_message_begin(self) -> None:
        """Called by httptools."""
        self.is_in_message = True

    def on_url(self, url: bytes) -> None:
        """Called by httptools, possibly with only a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools for each line of a head, and for each trailer."""
        if self._in_body:
            self._count_trailer(name, value)
            return
        self.headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Called by httptools."""
        self._in_body = True
        self._bytes_without_part = 0
        self._trailer_bytes = 0
        lines = sum(len(n) + len(v) + SEPARATOR_BYTES for n, v in self.headers)
        self._kept_head_bytes = lines + len(self._target)
        if self._kept_head_bytes > self._max_head_bytes:
            self._fail(self._make_head_error())
        self._check_framing()
        expected = http_messages.get_header(self.headers, "expect") or ""
        self.expects_continue = expected.lower() == "100-continue"

    def _count_trailer(self, name: bytes, value: bytes) -> None:
        self._trailer_bytes += len(name) + len(value) + SEPARATOR_BYTES
        if self._trailer_bytes > self._max_head_bytes:
            self._fail(self._make_head_error())

    def on_body(self, body: bytes) -> None:
        """Called by httptools."""
        self._bytes_without_part = 0
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            self._fail(
                http_messages.BodyTooLargeError(
                    f"body is larger than {self._max_body_bytes} bytes"
                )
            )
        self._parts.append(body)
        if len(self._parts) > MAX_PARTS:
            self._joined += b"".join(self._parts)
            self._parts.clear()

    def on_message_complete(self) -> None:
        """Called by httptools."""
        cost_bytes = self._estimate_cost()
        self._pending_bytes += cost_bytes
        parts = self._parts
        body = parts[0] if len(parts) == 1 else b"".join(parts)
        if self._joined:
            self._joined += body
            body = bytes(self._joined)
            self._joined = bytearray()
        request = http_messages.Request(
            method=self._parser.get_method().decode("latin-1"),
            target=self._target.decode("latin-1"),
            headers=self.headers,
            body=body,
            keep_alive=self._parser.should_keep_alive(),
            version=self._parser.get_http_version(),
        )
        self._pending.append((request, cost_bytes))
        self._target = b""
        self.headers = []
        self._parts = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._kept_head_bytes = 0
        self._in_body = False
        self.is_in_message = False
        self.expects_continue = False

    def _estimate_cost(self) -> int:
        """Returns what the request that is being received occupies, in bytes."""
        objects = REQUEST_COST_BYTES + HEADER_LINE_COST_BYTES * len(self.headers)
        head_bytes = self._kept_head_bytes if self._in_body else self._head_bytes
        return objects + head_bytes + self._body_bytes

    def _check_framing(self) -> None:
        lengths = [v for n, v in self.headers if n == "content-length"]
        encodings = [v for n, v in self.headers if n == "transfer-encoding"]
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
