"""Counts clients that are refused before their request is passed on, and logs it."""

import collections
import collections.abc
import enum
import logging
import math

LOG_INTERVAL_S = 1.0
"""At most one line is logged in this time, whatever clients send."""

logger = logging.getLogger(__name__)


class Cause(enum.StrEnum):
    """Why a client's request or connection was refused."""

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head-too-large"
    BODY_TOO_LARGE = "body-too-large"
    INCOMPLETE = "incomplete"
    NO_MEMORY = "no-memory"
    NO_CONNECTIONS = "no-connections"


class ClientRefusals:
    """The refusals of one process.

    Args:
        on_refused: Called with the cause of each refusal, such as to count it.
    """

    def __init__(
        self,
        on_refused: collections.abc.Callable[[Cause], object] = lambda cause: None,
    ):
        self._on_refused = on_refused
        self._count_by_cause: collections.Counter[Cause] = collections.Counter()
        self._last_reason = ""
        self._logged_at = -math.inf

    def note(self, cause: Cause, reason: str = "") -> None:
        """Counts one refusal."""
        self._count_by_cause[cause] += 1
        self._last_reason = reason or self._last_reason
        self._on_refused(cause)

    def log(self, now: float, held_bytes: int, connections: int) -> None:
        """Logs the refusals since the last line, if it is time for one.

        Args:
            now: The event loop's time, in seconds.
            held_bytes: What the process holds for its clients.
            connections: The number of connections that count toward the limit.
        """
        if not self._count_by_cause or now - self._logged_at < LOG_INTERVAL_S:
            return
        logger.warning(
            "refused clients",
            extra={
                "causes": {
                    cause.value: count for cause, count in self._count_by_cause.items()
                },
                "last": self._last_reason,
                "held_mb": round(held_bytes / 2**20, 1),
                "connections": connections,
            },
        )
        self._count_by_cause.clear()
        self._last_reason = ""
        self._logged_at = now
