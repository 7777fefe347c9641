"""Which requests a router still takes while it stops, and until when they may last."""

import asyncio
import collections.abc
import contextlib
import math

from teaselsill import durations, rejections, routing_table


class Shutdown:
    """The planned stop of a router, before and after it begins.

    A request that is cut without a response may have run, and its caller learns
    nothing. So one that probably cannot end in time is not taken, and the others end
    with a response of the router's own before the connections are closed.

    Attributes:
        durations: How long the requests of each route take.
        deadline: When all requests end, on the event loop's clock, in seconds;
            infinite before the stop begins.
        is_refusing: Whether no new request is taken at all.
    """

    def __init__(self):
        self.durations = durations.Durations()
        self.deadline = math.inf
        self.is_refusing = False
        self._open: set[asyncio.Timeout] = set()

    @property
    def has_begun(self) -> bool:
        """Whether the router is stopping."""
        return self.deadline != math.inf

    def begin(self, deadline: float) -> None:
        """Begins the stop.

        Args:
            deadline: When all requests end, on the event loop's clock, in seconds.
        """
        self.deadline = deadline
        for timeout in self._open:
            timeout.reschedule(min(deadline, timeout.when()))

    def is_over(self, now: float) -> bool:
        """Returns whether the deadline has passed."""
        return now >= self.deadline

    @contextlib.asynccontextmanager
    async def limit(self, deadline: float) -> collections.abc.AsyncIterator[None]:
        """Ends its body at a deadline, or at that of the stop if it is earlier.

        Args:
            deadline: The deadline, on the event loop's clock, in seconds.

        Raises:
            TimeoutError: The deadline has passed.
        """
        async with asyncio.timeout_at(min(deadline, self.deadline)) as timeout:
            self._open.add(timeout)
            try:
                yield
            finally:
                self._open.discard(timeout)

    def check(self, route: routing_table.Route, limit_s: float, now: float) -> None:
        """Checks that a new request can end before the stop does.

        Args:
            route: Its route.
            limit_s: The longest time that it may take, in seconds.
            now: The event loop's time, in seconds.

        Raises:
            RejectedError: It probably cannot. Another router can take it at once.
        """
        if not self.has_begun:
            return
        left_s = self.deadline - now
        needed_s = self._find_needed_s(route, limit_s)
        if self.is_refusing or needed_s > left_s:
            raise rejections.RejectedError(
                rejections.Cause.STOPPING,
                f"the router stops in {left_s:.1f} s, {needed_s:.1f} s needed",
                0.0,
            )

    def _find_needed_s(self, route: routing_table.Route, limit_s: float) -> float:
        """Returns how much time a request needs, in seconds.

        One that may run only once needs all the time that it may take, since nobody
        can repeat it if it is cut. Of a route without any history, requests are
        expected to meet their objective.
        """
        match route.repeat:
            case routing_table.Repeat.NEVER:
                return limit_s
        predicted_s = self.durations.predict_s(route.name)
        if predicted_s is None:
            predicted_s = route.objective_s
        return min(limit_s, predicted_s)
