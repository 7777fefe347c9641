"""The messages by which a busy router has another one serve requests of its callers.

A request is offered first. The other router asks before it sends the request to an
upstream, and sends it only after the busy router has agreed. Until then the busy router
may withdraw the request at any time, even without a reply, and knows that it never runs
there.
"""

import msgspec

from teaselsill import http_messages, ids

CONFIRM_S = 0.25
"""The shortest time between two confirmations of what a caller has taken."""


class Hello(msgspec.Struct, array_like=True, frozen=True, tag="hello"):
    """The first message on a connection.

    Attributes:
        router: The busy router.
        confirms: Whether it confirms within `CONFIRM_S` what callers have taken.
            Routers of earlier versions confirm large parts only.
    """

    router: ids.InstanceId
    confirms: bool = False


class Offer(msgspec.Struct, array_like=True, frozen=True, tag="offer"):
    """A caller's request.

    Attributes:
        number: Identifies the request on this connection.
        method: The HTTP method.
        target: The path and query.
        headers: All headers, as received from the caller.
        body: The body.
        age_s: How long ago the last byte of the request arrived, in seconds.
        version: The configuration must not be older than this version, whose effects
            the caller may have seen.
    """

    number: int
    method: str
    target: str
    headers: http_messages.Headers
    body: bytes
    age_s: float
    version: ids.Version


class Declined(msgspec.Struct, array_like=True, frozen=True, tag="declined"):
    """The other router does not serve the request; it has not run."""

    number: int


class SendWanted(msgspec.Struct, array_like=True, frozen=True, tag="send"):
    """The other router wants to send the request to an upstream.

    Attributes:
        number: The request.
        upstream: The upstream.
    """

    number: int
    upstream: ids.UpstreamId


class SendAllowed(msgspec.Struct, array_like=True, frozen=True, tag="allowed"):
    """The other router may send the request to the upstream that it asked for."""

    number: int


class Rejected(msgspec.Struct, array_like=True, frozen=True, tag="rejected"):
    """The request ends with a response of the other router's own.

    Attributes:
        number: The request.
        status: The HTTP status.
        headers: The headers.
    """

    number: int
    status: int
    headers: http_messages.Headers


class Head(msgspec.Struct, array_like=True, frozen=True, tag="head"):
    """The head of an upstream's response; see `http_messages.Head`."""

    number: int
    status: int
    reason: str
    headers: http_messages.Headers
    framing: http_messages.Framing


class Data(msgspec.Struct, array_like=True, frozen=True, tag="data"):
    """A part of a response's body."""

    number: int
    data: bytes


class End(msgspec.Struct, array_like=True, frozen=True, tag="end"):
    """The end of a response.

    Attributes:
        number: The request.
        is_complete: Whether the response is complete; if not, it was broken off.
    """

    number: int
    is_complete: bool


class Consumed(msgspec.Struct, array_like=True, frozen=True, tag="consumed"):
    """The caller has taken some bytes of the body, so that more may be sent."""

    number: int
    size: int


class Withdrawn(msgspec.Struct, array_like=True, frozen=True, tag="withdrawn"):
    """The busy router does not want the response any more."""

    number: int


class Closing(msgspec.Struct, array_like=True, frozen=True, tag="closing"):
    """The other router stops: no more offers, and close after the last response."""


FromBusy = Hello | Offer | SendAllowed | Consumed | Withdrawn
"""What the busy router sends."""
FromOther = Declined | SendWanted | Rejected | Head | Data | End | Closing
"""What the router that serves the requests sends."""
