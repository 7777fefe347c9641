"""HTTP/1.1 messages: parsed by httptools, checked for framing, and written back."""

import collections
import collections.abc
import dataclasses
import enum

import httptools

from teaselsill import errors

Headers = list[tuple[str, str]]
"""Names in lower case and values, in order; a name may stand more than once."""

CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern one connection only."""
BODILESS_STATUSES = frozenset({204, 304})
FIRST_FINAL_STATUS = 200
"""Lower statuses are interim: the answer still follows."""
END_OF_CHUNKS = b"0\r\n\r\n"
MAX_UNUSED_BYTES = 256 * 1024
"""So many received bytes without a part of an answer are taken for a head or a trailer
without end."""


class MalformedMessageError(errors.TeaselsillError):
    """Received bytes are no HTTP message, or its framing is ambiguous."""


class HeadTooLargeError(MalformedMessageError):
    """The head of a request is larger than allowed."""


class BodyTooLargeError(MalformedMessageError):
    """The body of a request is larger than allowed."""


class BrokenAnswerError(errors.UpstreamError):
    """An answer ended before it was complete."""


class Framing(enum.Enum):
    """How the end of a body is found."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until-close"


@dataclasses.dataclass(slots=True)
class Request:
    """A whole request.

    Attributes:
        method: The HTTP method.
        target: The path and query, as received.
        headers: All headers, as received.
        body: The body, without chunking.
        keep_alive: Whether the caller keeps the connection open.
        version: The HTTP version, such as `1.1`.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    keep_alive: bool
    version: str

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition("?")[0]

    def get(self, name: str) -> str | None:
        """Returns the value of a header that stands once, or none."""
        return get_header(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of an answer.

    Attributes:
        status: The status code.
        reason: The reason phrase.
        headers: All headers, as received.
        framing: How the body ends.
        keep_alive: Whether the upstream keeps the connection open.
    """

    status: int
    reason: str
    headers: Headers
    framing: Framing
    keep_alive: bool

    def get(self, name: str) -> str | None:
        """Returns the value of a header that stands once, or none."""
        return get_header(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class Data:
    """A part of an answer's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The end of a complete answer."""


Part = Head | Data | End


def get_header(headers: Headers, name: str) -> str | None:
    """Returns the value of a header; none if it is missing or stands twice."""
    values = [value for known, value in headers if known == name]
    return values[0] if len(values) == 1 else None


def drop_connection_headers(headers: Headers) -> Headers:
    """Returns the headers without those that concern one connection only."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    dropped = CONNECTION_HEADERS | named
    return [(name, value) for name, value in headers if name not in dropped]


def encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Returns a request's bytes; the length is set here."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{n}: {v}" for n, v in headers if n != "content-length"]
    if body or method not in ("GET", "HEAD", "OPTIONS"):
        lines.append(f"content-length: {len(body)}")
    return _join(lines) + body


def encode_head(status: int, reason: str, headers: Headers) -> bytes:
    """Returns the bytes of an answer's head."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return _join(lines)


def encode_chunk(data: bytes) -> bytes:
    """Returns one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _join(lines: list[str]) -> bytes:
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class RequestParser:
    """Turns received bytes into whole requests.

    Args:
        max_head_bytes: The largest head that is taken.
        max_body_bytes: The largest body that is taken.

    Attributes:
        expects_continue: Whether a caller waits for leave to send its body.
        is_midway: Whether a part of a request has been received.
    """

    def __init__(self, max_head_bytes: int, max_body_bytes: int):
        self.expects_continue = False
        self.is_midway = False
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes
        self._requests: collections.deque[Request] = collections.deque()
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0
        self._body_bytes = 0
        self._in_body = False
        self._fault: MalformedMessageError | None = None
        self._target = b""
        self._headers: Headers = []
        self._body: list[bytes] = []

    def feed(self, data: bytes) -> None:
        """Takes received bytes.

        Raises:
            MalformedMessageError: They are no request that can be served.
        """
        if data and not self._in_body:
            self._head_bytes += len(data)
            self.is_midway = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MalformedMessageError("no other protocol is spoken") from error
        except httptools.HttpParserError as error:
            raise self._fault or MalformedMessageError(str(error)) from error
        is_head_unfinished = self.is_midway and not self._in_body
        if is_head_unfinished and self._head_bytes > self._max_head_bytes:
            raise HeadTooLargeError(f"head over {self._max_head_bytes} bytes")

    def take(self) -> Request | None:
        """Returns the next whole request, or none."""
        return self._requests.popleft() if self._requests else None

    def on_message_begin(self) -> None:
        """Called by httptools."""
        self.is_midway = True
        self._target = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Called by httptools, perhaps with a part of the target."""
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
            self._fail(HeadTooLargeError(f"head over {self._max_head_bytes} bytes"))
        self._check_framing()
        expected = get_header(self._headers, "expect") or ""
        self.expects_continue = expected.lower() == "100-continue"

    def on_body(self, body: bytes) -> None:
        """Called by httptools."""
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            self._fail(BodyTooLargeError(f"body over {self._max_body_bytes} bytes"))
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Called by httptools."""
        self._requests.append(
            Request(
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
        self.is_midway = False
        self.expects_continue = False

    def _check_framing(self) -> None:
        lengths = [v for n, v in self._headers if n == "content-length"]
        encodings = [v for n, v in self._headers if n == "transfer-encoding"]
        if len(lengths) > 1 or (lengths and encodings):
            self._fail(MalformedMessageError("more than one length"))
        if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
            self._fail(MalformedMessageError("the length is no number"))
        if encodings and [e.strip().lower() for e in encodings] != ["chunked"]:
            self._fail(MalformedMessageError("unknown transfer encoding"))
        if lengths and int(lengths[0]) > self._max_body_bytes:
            self._fail(BodyTooLargeError(f"body over {self._max_body_bytes} bytes"))

    def _fail(self, fault: MalformedMessageError) -> None:
        self._fault = fault
        raise fault


class AnswerParser:
    """Turns received bytes into the parts of one answer.

    An upstream may send an answer to an earlier request once more: a head that is not
    expected is skipped together with its body.

    Args:
        method: The method of the request that is answered.
        is_expected: Tells from a head whether it answers the request.

    Attributes:
        has_extra: Whether bytes came that belong to no answer of the request.
        is_complete: Whether the whole answer has been received.
    """

    def __init__(
        self,
        method: str,
        is_expected: collections.abc.Callable[[Head], bool] = lambda head: True,
    ):
        self.has_extra = False
        self.is_complete = False
        self._method = method
        self._is_expected = is_expected
        self._parser = httptools.HttpResponseParser(self)
        self._head: Head | None = None
        self._unused_bytes = 0
        self._parts: list[Part] = []
        self._reason = ""
        self._headers: Headers = []

    def feed(self, data: bytes) -> list[Part]:
        """Takes received bytes and returns the parts that they complete.

        Raises:
            MalformedMessageError: They are no answer. Parts before are lost.
        """
        if self.is_complete:
            self.has_extra = self.has_extra or bool(data)
            return []
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MalformedMessageError("no other protocol is spoken") from error
        except httptools.HttpParserError as error:
            if not self.is_complete:
                raise MalformedMessageError(str(error)) from error
            self.has_extra = True
        parts, self._parts = self._parts, []
        self._unused_bytes = 0 if parts else self._unused_bytes + len(data)
        if self._unused_bytes > MAX_UNUSED_BYTES:
            raise MalformedMessageError(
                f"no part of an answer in {self._unused_bytes} bytes"
            )
        return parts

    def close(self) -> list[Part]:
        """Takes note that the upstream has closed the connection in order.

        Raises:
            BrokenAnswerError: The answer was not complete.
        """
        if self.is_complete:
            return []
        if self._head is None or self._head.framing is not Framing.UNTIL_CLOSE:
            raise BrokenAnswerError("the connection closed before the answer's end")
        self.is_complete = True
        return [End()]

    def on_message_begin(self) -> None:
        """Called by httptools."""
        if self.is_complete:
            self.has_extra = True
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
        if self.is_complete or status < FIRST_FINAL_STATUS:
            return
        head = Head(
            status=status,
            reason=self._reason,
            headers=self._headers,
            framing=self._find_framing(status),
            keep_alive=self._parser.should_keep_alive(),
        )
        if not self._is_expected(head):
            self.has_extra = True
            return
        self._head = head
        self._parts.append(head)
        if self._method == "HEAD":
            self._end()

    def on_body(self, body: bytes) -> None:
        """Called by httptools."""
        if self._head is not None and not self.is_complete:
            self._parts.append(Data(body))

    def on_message_complete(self) -> None:
        """Called by httptools."""
        if self._head is not None and not self.is_complete:
            self._end()

    def _end(self) -> None:
        self.is_complete = True
        self._parts.append(End())

    def _find_framing(self, status: int) -> Framing:
        names = {name for name, _ in self._headers}
        if status in BODILESS_STATUSES or self._method == "HEAD":
            return Framing.NONE
        if "transfer-encoding" in names:
            return Framing.CHUNKED
        if "content-length" in names:
            return Framing.LENGTH
        return Framing.UNTIL_CLOSE
