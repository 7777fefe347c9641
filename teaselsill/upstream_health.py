"""Passive health checks: detects failing upstreams from the results of requests."""

import collections
import enum
import logging

from teaselsill import ids

WINDOW_S = 5.0
"""Length of the sliding window of results."""
MIN_FAILURES = 3
"""With fewer failures in the window, an upstream is not avoided."""
MAX_FAILURE_RATIO = 0.3
AVOIDED_S = 1.0
"""How long an upstream is avoided at first; the time doubles with each repetition."""
MAX_AVOIDED_S = 4.0

logger = logging.getLogger(__name__)


class Result(enum.Enum):
    """How a request at an upstream ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    UNREACHABLE = "unreachable"


class UpstreamHealth:
    """The recent results of one upstream.

    Args:
        upstream: The upstream, for the log.
    """

    def __init__(self, upstream: ids.UpstreamId):
        self._upstream = upstream
        self._recent: collections.deque[tuple[float, Result]] = collections.deque()
        self._avoided_until = float("-inf")
        self._avoided_s = AVOIDED_S

    def note(self, result: Result, now: float) -> None:
        """Records how a request ended, and avoids the upstream if too many fail.

        An upstream that cannot be reached is avoided at once.

        Args:
            result: How it ended.
            now: The time, in seconds.
        """
        self._recent.append((now, result))
        self._forget(now)
        if result is Result.ANSWERED:
            if now >= self._avoided_until:
                self._avoided_s = AVOIDED_S
            return
        failures = sum(r is not Result.ANSWERED for _, r in self._recent)
        is_frequent = failures >= MAX_FAILURE_RATIO * len(self._recent)
        is_unreachable = result is Result.UNREACHABLE
        if is_unreachable or (failures >= MIN_FAILURES and is_frequent):
            self.avoid(now, result.value)

    def avoid(self, now: float, reason: str) -> None:
        """Avoids the upstream for some time.

        Args:
            now: The time, in seconds.
            reason: The reason, for the log.
        """
        if now < self._avoided_until:
            return
        self._avoided_until = now + self._avoided_s
        logger.warning(
            "avoiding upstream",
            extra={
                "upstream": self._upstream,
                "reason": reason,
                "for_s": self._avoided_s,
                "recent": len(self._recent),
            },
        )
        self._avoided_s = min(2 * self._avoided_s, MAX_AVOIDED_S)

    def is_avoided(self, now: float) -> bool:
        """Returns whether the upstream is avoided now."""
        return now < self._avoided_until

    def _forget(self, now: float) -> None:
        while self._recent and self._recent[0][0] <= now - WINDOW_S:
            self._recent.popleft()
