"""Bodies that are read whole, up to a bound, so that no peer can exhaust the memory."""

import logging

from teaselsill import errors

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
