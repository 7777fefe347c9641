"""Bounds the connections of peers that have not authenticated themselves yet."""

LOG_INTERVAL_S = 1.0
"""The least time between two log lines about refused peers."""


class UnauthenticatedPeers:
    """The connections whose handshake is in progress, oldest first.

    Args:
        max_count: How many there may be.
    """

    def __init__(self, max_count: int):
        self._max_count = max_count
        self._connections: dict = {}
        self._logged_at = float("-inf")
        self._unlogged = 0

    def add(self, connection):
        """Adds a connection; returns the oldest one if it has to be closed, or None."""
        self._connections[connection] = None
        if len(self._connections) <= self._max_count:
            return None
        oldest = next(iter(self._connections))
        del self._connections[oldest]
        return oldest

    def discard(self, connection) -> None:
        """Removes a connection whose handshake has ended."""
        self._connections.pop(connection, None)

    def count_refused(self, now: float) -> int:
        """Counts a refused peer.

        Args:
            now: The monotonic time, in seconds.

        Returns:
            How many were refused since the last log line, or 0 if no line is due.
        """
        self._unlogged += 1
        if now - self._logged_at < LOG_INTERVAL_S:
            return 0
        count, self._unlogged = self._unlogged, 0
        self._logged_at = now
        return count
