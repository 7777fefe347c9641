"""The interface between an agent and its upstream, implemented by plug-ins."""

import abc
import collections.abc
import dataclasses

import aiohttp

from teaselsill import document, errors, ids, response_body, upstream_connector

FENCING_HEADER = "Teaselsill-Fencing"
REQUEST_ID_HEADER = "X-Request-Id"
STALE_FENCING_STATUS = 409
STALE_FENCING_MARK = b"stale fencing number"
"""The body of the response to a stale fencing number contains this."""
MAX_REFUSAL_BYTES = 4096
"""How much of a response's body is searched for that mark."""
CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 64 * 1024
AIOHTTP_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
"""Headers that aiohttp would otherwise add by default."""


class UpstreamUnreachableError(errors.UpstreamError):
    """No connection could be made; the upstream has not seen the request."""


class UpstreamRefusedError(errors.UpstreamError):
    """The upstream rejected the request for its fencing number; it has not run."""


class UpstreamFailedError(errors.UpstreamError):
    """The response broke off or never arrived; the request may have run."""


class StreamStalledError(errors.UpstreamError):
    """The response stalled or broke off and could not be resumed."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to an upstream.

    Attributes:
        request: The id of the caller's request.
        method: The HTTP method.
        path: The path and query.
        headers: The header names and values to send.
        body: The request body.
        deadline: When the caller stops waiting, in seconds on the monotonic clock.
        repeatable: Whether it may be sent more than once.
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
    """The status and headers of the response."""

    status: int
    headers: list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class BodyChunk:
    """A part of the response body and its cost in the service's unit."""

    data: bytes
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The end of the response, with a correction of its cost, which may be negative."""

    cost: float


Event = Started | BodyChunk | Finished


@dataclasses.dataclass(frozen=True, slots=True)
class Capabilities:
    """What a kind of upstream supports.

    Attributes:
        resume: Resuming a stream after a lost connection.
        cancel: Cancelling a request.
        fencing: Checking fencing numbers.
        load_report: Reporting its load.
        drain: Finishing running requests without accepting new ones.
    """

    resume: bool = False
    cancel: bool = False
    fencing: bool = False
    load_report: bool = False
    drain: bool = False


class Upstream(abc.ABC):
    """The client of one upstream.

    Args:
        url: The upstream's base URL.

    Attributes:
        capabilities: What this kind of upstream supports.
        charges_busy_time: Whether the cost is the busy time, in milliseconds, rather
            than the sum of the costs of the events.
    """

    capabilities = Capabilities()
    charges_busy_time = False

    def __init__(self, url: str):
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    @abc.abstractmethod
    def run(
        self, request: UpstreamRequest, service: document.Service
    ) -> collections.abc.AsyncIterator[Event]:
        """Sends a request and yields its response.

        The events are `Started`, any number of `BodyChunk`, and `Finished`.

        Raises:
            UpstreamUnreachableError: The request was not sent.
            UpstreamRefusedError: The upstream rejected it without running it.
            UpstreamFailedError: It was sent, but the response is incomplete.
            StreamStalledError: It was sent, but the response stalled.
        """

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    def send(self, request: UpstreamRequest, url: str | None = None):
        """Returns the aiohttp context manager that sends a request.

        Args:
            request: The request.
            url: The URL to use instead of the upstream's URL and the request's path.
        """
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=upstream_connector.Connector(), auto_decompress=False
            )
        headers = [(name, _decode_utf_8(value)) for name, value in request.headers]
        headers.append((REQUEST_ID_HEADER, request.request))
        if request.fencing is not None:
            headers.append((FENCING_HEADER, str(request.fencing)))
        return self._session.request(
            request.method,
            url or self._url + request.path,
            headers=headers,
            data=request.body or None,
            skip_auto_headers=AIOHTTP_HEADERS,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
            middlewares=() if request.repeatable else (SendOnce(),),
        )


class SendOnce:
    """Prevents aiohttp from retrying a request after a lost connection.

    aiohttp retries methods such as DELETE, which not every service may repeat.
    """

    def __init__(self):
        self._sent = False

    async def __call__(self, request, handler):
        """Sends the request the first time; fails on a retry."""
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
"""Headers that apply to one connection (RFC 9110, section 7.6.1) or are recomputed."""


def end_to_end_headers(headers) -> list[tuple[str, str]]:
    """Returns the headers that may be forwarded, with names as plain strings."""
    return [
        (str(name), value) for name, value in headers if name.lower() not in HOP_BY_HOP
    ]


def response_headers(response: aiohttp.ClientResponse) -> list[tuple[str, str]]:
    """Returns the forwardable headers of a response, decoded as Latin-1."""
    return end_to_end_headers(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.raw_headers
    )


def _decode_utf_8(value: str) -> str:
    """Decodes a header value, held as Latin-1, as UTF-8 if it is valid UTF-8.

    aiohttp encodes headers as UTF-8. Without this, UTF-8 values would be encoded
    twice. A value in another encoding is sent as UTF-8.
    """
    try:
        return value.encode("latin-1").decode("utf-8")
    except UnicodeError:
        return value


async def check_fencing(
    response: aiohttp.ClientResponse, request: UpstreamRequest
) -> bytes:
    """Checks whether the upstream rejected a request for its fencing number.

    Returns:
        The start of the response's body, which was read for the check. The caller has
        to forward it, and what follows it.

    Raises:
        UpstreamRefusedError: It was rejected and has not run.
    """
    if request.fencing is None or response.status != STALE_FENCING_STATUS:
        return b""
    body = await response_body.read_start(response, MAX_REFUSAL_BYTES)
    if STALE_FENCING_MARK in body:
        raise UpstreamRefusedError("the fencing number is stale")
    return body
