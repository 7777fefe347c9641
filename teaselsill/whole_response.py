"""Requests whose responses are read whole, up to a bound."""

import dataclasses

from teaselsill import bounded_body, http_messages, upstream_connection


@dataclasses.dataclass(frozen=True, slots=True)
class WholeResponse:
    """A complete response.

    Attributes:
        head: The head.
        body: The body.
    """

    head: http_messages.Head
    body: bytes


async def receive(
    connection: upstream_connection.UpstreamConnection, source: str, max_bytes: int
) -> WholeResponse:
    """Receives the response to the request that was sent on a connection.

    Args:
        connection: The connection.
        source: Whose response it is, for the error.
        max_bytes: The largest body that is accepted, in bytes.

    Raises:
        ResponseFailedError: The response is incomplete or malformed.
        BodyTooLargeError: The body exceeds the bound.
    """
    head = None
    body = bounded_body.BoundedBody(source, max_bytes)
    while True:
        for part in await connection.receive():
            match part:
                case http_messages.Head():
                    head = part
                case http_messages.Data(data=data):
                    body.add(data)
                case http_messages.End():
                    return WholeResponse(head, body.join())
