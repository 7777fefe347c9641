"""HTTP/1.1 messages, their parts and their encoding."""

import dataclasses
import enum

from teaselsill import errors

Headers = list[tuple[str, str]]
"""Pairs of a lower-case name and a value, in order; names may repeat."""

HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers that apply to one connection only and are not forwarded."""
EVENT_STREAM_TYPE = "text/event-stream"
FIRST_FINAL_STATUS = 200
"""Lower statuses are interim: the final response still follows."""
LAST_CHUNK = b"0\r\n\r\n"


class MalformedMessageError(errors.TeaselsillError):
    """Received bytes are not an HTTP message, or its framing is ambiguous."""


class HeadTooLargeError(MalformedMessageError):
    """The head of a request is larger than allowed."""


class BodyTooLargeError(MalformedMessageError):
    """The body of a request is larger than allowed."""


class PrematureCloseError(errors.UpstreamError):
    """A response ended before it was complete."""


class Framing(enum.Enum):
    """How the end of a body is determined."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until-close"


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request.

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
        """Returns the value of a header; see `get_header`."""
        return get_header(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of a response.

    Attributes:
        status: The status code.
        reason: The reason phrase.
        headers: All headers, as received.
        framing: How the end of the body is determined.
        keep_alive: Whether the upstream keeps the connection open.
    """

    status: int
    reason: str
    headers: Headers
    framing: Framing
    keep_alive: bool

    def get(self, name: str) -> str | None:
        """Returns the value of a header; see `get_header`."""
        return get_header(self.headers, name)

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        media_type = (self.get("content-type") or "").partition(";")[0]
        return media_type.strip().lower() == EVENT_STREAM_TYPE


@dataclasses.dataclass(frozen=True, slots=True)
class Data:
    """A part of a response's body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The end of a complete response."""


Part = Head | Data | End


def get_header(headers: Headers, name: str) -> str | None:
    """Returns the value of a header; `None` if it is missing or occurs twice."""
    values = [value for known, value in headers if known == name]
    return values[0] if len(values) == 1 else None


def remove_hop_by_hop_headers(headers: Headers) -> Headers:
    """Returns the headers without those that apply to one connection only.

    These include the headers named by `Connection`.
    """
    listed = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    removed = HOP_BY_HOP_HEADERS | listed
    return [(name, value) for name, value in headers if name not in removed]


def encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Encodes a request and sets its `content-length`."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{n}: {v}" for n, v in headers if n != "content-length"]
    if body or method not in ("GET", "HEAD", "OPTIONS"):
        lines.append(f"content-length: {len(body)}")
    return _join(lines) + body


def encode_head(status: int, reason: str, headers: Headers) -> bytes:
    """Encodes the head of a response."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return _join(lines)


def encode_chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _join(lines: list[str]) -> bytes:
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
