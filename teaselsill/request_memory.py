"""Bounds the memory of the requests that an agent has offered slots for."""

MAX_REQUEST_BYTES = 4 * 1024 * 1024
"""What a request may bring; offers are made before its size is known."""
HEADER_BYTES = 256
"""What a header costs beside its text."""


class RequestMemory:
    """The requests of an agent that run.

    Args:
        limit_bytes: What running and offered requests may hold in all.
    """

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._size_by_attempt: dict = {}
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """What all running requests hold."""
        return self._held_bytes

    def add(self, dispatch) -> None:
        """Adds a request that has arrived."""
        size = _size_of(dispatch)
        self._size_by_attempt[dispatch.attempt] = size
        self._held_bytes += size

    def remove(self, attempt) -> None:
        """Removes a request that has ended."""
        self._held_bytes -= self._size_by_attempt.pop(attempt, 0)

    def may_offer(self, offer_count: int) -> bool:
        """Returns whether a slot may be offered to one more request.

        Args:
            offer_count: How many offers are open.
        """
        if not (self._size_by_attempt or offer_count):
            return True
        expected_bytes = (offer_count + 1) * MAX_REQUEST_BYTES
        return self._held_bytes + expected_bytes <= self._limit_bytes


def _size_of(dispatch) -> int:
    text_bytes = sum(len(name) + len(value) for name, value in dispatch.headers)
    return len(dispatch.body) + text_bytes + HEADER_BYTES * len(dispatch.headers)
