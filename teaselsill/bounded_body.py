"""Bodies that are read whole, up to a bound, so that no peer can exhaust the memory."""

import logging

import aiohttp

from teaselsill import errors

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Bound of a body for which nothing says that it must be smaller."""

logger = logging.getLogger(__name__)


class BodyTooLargeError(errors.TeaselsillError):
    """A body is larger than its reader allows; the rest of it was not read."""


class BoundedBody:
    """Collects the parts of a body up to a bound.

    Args:
        source: Whose body it is, for the error.
        max_bytes: The bound, in bytes.
    """

    def __init__(self, source: str, max_bytes: int):
        self._source = source
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._size = 0

    def add(self, data: bytes) -> None:
        """Adds received bytes.

        Raises:
            BodyTooLargeError: The body exceeds the bound; it has been dropped.
        """
        self._size += len(data)
        if self._size > self._max_bytes:
            self._parts.clear()
            logger.warning(
                "body too large",
                extra={"source": self._source, "max_bytes": self._max_bytes},
            )
            raise BodyTooLargeError(
                f"{self._source}: body exceeds {self._max_bytes} bytes"
            )
        self._parts.append(data)

    def join(self) -> bytes:
        """Returns the body."""
        return b"".join(self._parts)


async def read(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Reads the rest of a response's body, and closes the connection if it is too long.

    Args:
        response: The response.
        max_bytes: The bound, in bytes.

    Raises:
        BodyTooLargeError: The body exceeds the bound.
    """
    body = BoundedBody(str(response.url), max_bytes)
    try:
        async for data in response.content.iter_any():
            body.add(data)
    except BodyTooLargeError:
        response.close()
        raise
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
