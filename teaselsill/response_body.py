"""Reads the bodies of aiohttp's responses up to a bound."""

import aiohttp

from teaselsill import bounded_body

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Bound of a body for which nothing says that it must be smaller."""


async def read(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Reads the rest of a response's body, and closes the connection if it is too long.

    Args:
        response: The response.
        max_bytes: The bound, in bytes.

    Raises:
        aiohttp.ClientPayloadError: The body is incomplete or exceeds the bound.
    """
    body = bounded_body.BoundedBody(str(response.url), max_bytes)
    try:
        async for data in response.content.iter_any():
            body.add(data)
    except bounded_body.BodyTooLargeError as error:
        response.close()
        raise aiohttp.ClientPayloadError(str(error)) from error
    return body.join()


async def read_start(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Reads the start of a response's body; what follows can be read afterwards.

    Args:
        response: The response.
        max_bytes: About how many bytes to read, if the body has as many.
    """
    start = b""
    while len(start) < max_bytes:
        data = await response.content.readany()
        if not data:
            break
        start += data
    return start
