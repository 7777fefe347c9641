"""The messages by which a router asks another one for permits."""

import typing

import msgspec

from teaselsill import ids, peer_reports

MAX_WAIT_S = 60.0


class Hello(msgspec.Struct, array_like=True, frozen=True, tag="hello"):
    """The first message on a connection.

    Attributes:
        router: The router that asks.
    """

    router: ids.InstanceId


class Ask(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """A request wants a permit.

    Attributes:
        number: Identifies the request on this connection.
        limit: The upstream and its limit, as the asking router knows it.
        account: The client account; None for a public route.
        max_wait_s: How long the request waits, in seconds.
        is_retry: Whether the request was sent before.
        cold: What the asking router knows of the upstream's cold start.
    """

    number: int
    limit: peer_reports.LimitNews
    account: ids.AccountId | None
    max_wait_s: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_S)]
    is_retry: bool
    cold: peer_reports.ColdNews | None = None


class Withdrawn(msgspec.Struct, array_like=True, frozen=True, tag="withdrawn"):
    """The request wants no permit any more."""

    number: int


class Unused(msgspec.Struct, array_like=True, frozen=True, tag="unused"):
    """A permit that was granted is given back.

    Attributes:
        upstream: The upstream.
        born_ms: When this incarnation started, in Unix milliseconds.
    """

    upstream: ids.UpstreamId
    born_ms: int


class Granted(msgspec.Struct, array_like=True, frozen=True, tag="granted"):
    """The request may be sent now, once."""

    number: int


class Denied(msgspec.Struct, array_like=True, frozen=True, tag="denied"):
    """The request gets no permit in time.

    Attributes:
        number: The request.
        wait_s: How long until there will be room for it, in seconds.
    """

    number: int
    wait_s: float


FromAsking = Hello | Ask | Withdrawn | Unused
"""What the router sends that asks for permits."""
FromGrantor = Granted | Denied
"""What the router sends that grants them."""
