"""Decides when a router that has just started knows what the other routers know.

Until then it may send requests that the others know not to send, such as those beyond
the limit of an upstream.
"""

import collections.abc
import logging

from teaselsill import peer_reports

MAX_WAIT_S = 1.0
"""So long after it is first asked for, a router goes on without the others: they may be
out of reach."""
ENOUGH_RATIO = 0.5
"""The part of the other routers that is enough if none of them has run for long."""

logger = logging.getLogger(__name__)


class Introduction:
    """Waits for the reports of the other routers after the start.

    Args:
        list_heard: Returns the statuses of the routers that have reported.
        count_listed: Returns how many other routers are listed; None if that is not
            known yet.
    """

    def __init__(
        self,
        list_heard: collections.abc.Callable[[], list[peer_reports.RouterStatus]],
        count_listed: collections.abc.Callable[[], int | None],
    ):
        self._list_heard = list_heard
        self._count_listed = count_listed
        self._began_at: float | None = None
        self._is_over = False

    def is_over(self, now: float) -> bool:
        """Returns whether the router knows enough, from then on for good.

        Args:
            now: The time, in seconds.
        """
        if not self._is_over:
            self._is_over = self._knows_enough(now)
            if self._is_over:
                logger.info("introduced", extra={"heard": len(self._list_heard())})
        return self._is_over

    def _knows_enough(self, now: float) -> bool:
        if self._began_at is None:
            self._began_at = now
        if now - self._began_at > MAX_WAIT_S:
            return True
        heard = self._list_heard()
        if any(status.is_settled for status in heard):
            return True
        listed = self._count_listed()
        return listed is not None and len(heard) >= ENOUGH_RATIO * listed
