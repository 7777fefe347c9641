"""What an agent needs of an upstream: the interface that the plug-ins implement."""

import abc
import collections.abc
import dataclasses

import aiohttp

from teaselsill import document, errors, ids

FENCING_HEADER = "Teaselsill-Fencing"
REQUEST_ID_HEADER = "X-Request-Id"
STALE_FENCING_STATUS = 409
STALE_FENCING_MARK = b"stale fencing number"
"""What an upstream that checks fencing numbers answers to an old one."""
CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 64 * 1024
AIOHTTP_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
"""Headers that aiohttp would add to a request without them."""


class UpstreamUnreachableError(errors.UpstreamError):
    """No connection could be made: the upstream has not seen the request."""


class UpstreamRefusedError(errors.UpstreamError):
    """The upstream refused the order for its fencing number: it has not run."""


class UpstreamFailedError(errors.UpstreamError):
    """The upstream's answer broke off, or never came: it may have run."""


class StreamStalledError(errors.UpstreamError):
    """The answer stopped coming and could not be resumed."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request as an upstream gets it.

    Attributes:
        request: The id of the caller's request.
        method: The HTTP method.
        path: The path and query.
        headers: The header names and values to pass on.
        body: The request body.
        deadline: When the caller stops waiting, on the monotonic clock, in seconds.
        repeatable: Whether it may be sent again.
        fencing: The fencing number, or none.
    """

    request: ids.RequestId
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline: float
    repeatable: bool
    fencing: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The upstream has begun to answer."""

    status: int
    headers: list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class BodyChunk:
    """Some bytes of the answer's body, and what they cost in the service's unit."""

    data: bytes
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The answer is whole; the cost corrects what the pieces said, and may be < 0."""

    cost: float


Event = Started | BodyChunk | Finished


@dataclasses.dataclass(frozen=True, slots=True)
class Capabilities:
    """What a kind of upstream can do.

    Attributes:
        resume: It can go on with a stream after a lost connection.
        cancel: It stops a request when asked to.
        fencing: It can be told to check fencing numbers.
        load_report: It reports its load.
        drain: It can be told to finish its work.
    """

    resume: bool = False
    cancel: bool = False
    fencing: bool = False
    load_report: bool = False
    drain: bool = False


class Upstream(abc.ABC):
    """One upstream, as its agent calls it.

    Args:
        url: The upstream's address.

    Attributes:
        capabilities: What this kind of upstream can do.
        charges_busy_time: Whether the cost is the busy time, in milliseconds, and not
            what the chunks of the answer say.
    """

    capabilities = Capabilities()
    charges_busy_time = False

    def __init__(self, url: str):
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    @abc.abstractmethod
    def run(
        self, order: UpstreamRequest, service: document.Service
    ) -> collections.abc.AsyncIterator[Event]:
        """Sends an order and yields its answer: `Started`, `Piece`s, `Finished`.

        Raises:
            UpstreamUnreachableError: The order was not sent.
            UpstreamRefusedError: The upstream refused it without running it.
            UpstreamFailedError: The order was sent; the answer is not whole.
            StreamStalledError: As above, because the answer stopped coming.
        """

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    def send(self, order: UpstreamRequest, url: str | None = None):
        """Returns the aiohttp request context for an order."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(
                connector=connector, auto_decompress=False
            )
        headers = [(name, _as_utf_8(value)) for name, value in order.headers]
        headers.append((REQUEST_ID_HEADER, order.request))
        if order.fencing is not None:
            headers.append((FENCING_HEADER, str(order.fencing)))
        return self._session.request(
            order.method,
            url or self._url + order.path,
            headers=headers,
            data=order.body or None,
            skip_auto_headers=AIOHTTP_HEADERS,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
            middlewares=() if order.repeatable else (SendOnce(),),
        )


class SendOnce:
    """Keeps aiohttp from sending a request again on its own after a lost connection.

    The library repeats methods such as DELETE, which a service may not repeat.
    """

    def __init__(self):
        self._sent = False

    async def __call__(self, request, handler):
        """Passes the request on the first time."""
        if self._sent:
            raise UpstreamFailedError("the connection was lost after the request")
        self._sent = True
        try:
            return await handler(request)
        except aiohttp.ClientConnectorError:
            self._sent = False
            raise


HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that belong to one connection (RFC 9110, section 7.6.1), and lengths."""


def end_to_end_headers(headers) -> list[tuple[str, str]]:
    """Returns the headers that may be passed on, their names as plain strings."""
    return [
        (str(name), value) for name, value in headers if name.lower() not in HOP_BY_HOP
    ]


def response_headers(response: aiohttp.ClientResponse) -> list[tuple[str, str]]:
    """Returns an answer's headers that may be passed on, a character for each byte."""
    return end_to_end_headers(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.raw_headers
    )


def _as_utf_8(value: str) -> str:
    """Returns the text of a header value that has a character for each byte.

    aiohttp sends text as UTF-8, so a value in another encoding changes into that.
    """
    try:
        return value.encode("latin-1").decode("utf-8")
    except UnicodeError:
        return value


async def check_fencing(
    response: aiohttp.ClientResponse, order: UpstreamRequest
) -> bytes:
    """Checks whether the upstream refused an order for its fencing number.

    Returns:
        What had to be read of the body to tell: it belongs to the answer.

    Raises:
        UpstreamRefusedError: The upstream refused; the order has not run.
    """
    if order.fencing is None or response.status != STALE_FENCING_STATUS:
        return b""
    body = await response.read()
    if STALE_FENCING_MARK in body:
        raise UpstreamRefusedError("the fencing number is stale")
    return body
