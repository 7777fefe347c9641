"""HTTP/1.1 messages and their parts, and how they are written."""

import dataclasses
import enum

from teaselsill import errors

Headers = list[tuple[str, str]]
"""Names in lower case and values, in order; a name may stand more than once."""

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
"""Headers that concern one connection only."""
FIRST_FINAL_STATUS = 200
"""Lower statuses are interim: the answer still follows."""
LAST_CHUNK = b"0\r\n\r\n"


class MalformedMessageError(errors.TeaselsillError):
    """Received bytes are no HTTP message, or its framing is ambiguous."""


class HeadTooLargeError(MalformedMessageError):
    """The head of a request is larger than allowed."""


class BodyTooLargeError(MalformedMessageError):
    """The body of a request is larger than allowed."""


class PrematureCloseError(errors.UpstreamError):
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


def remove_hop_by_hop_headers(headers: Headers) -> Headers:
    """Returns the headers without those that concern one connection only."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | named
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
