"""Tells from the event loop's own delay whether the process has too much work."""

import asyncio
import logging
import math

PERIOD_S = 0.05
"""How often the delay is measured."""
WEIGHT = 0.25
"""How much one measurement counts in the average."""
MAX_SAMPLE_S = 0.2
"""A longer delay counts as this: the process was stopped, not overloaded."""
BUSY_S = 0.02
"""With a longer average delay, new work is better done by another process."""
OVERLOADED_S = 0.06
"""With a longer average delay the process is overloaded."""
RELIEVED_S = 0.015
"""With a shorter average delay it is not any more."""
MIN_HOLD_S = 3.0
"""How long it counts as overloaded at least; each time in a row twice as long."""
MAX_HOLD_S = 12.0
INTERRUPTION_S = 0.5
"""A longer delay means that the process did not run."""
REPEAT_WINDOW_S = 6.0
"""An overload that begins so soon after the last one is in a row with it."""

logger = logging.getLogger(__name__)


class LoopLag:
    """The delay of the event loop.

    What made a process late comes back once it takes work again. So it counts as
    overloaded for some time, and for longer each time in a row.

    Attributes:
        average_s: The average delay, in seconds.
        is_overloaded: Whether callers are better served by other routers.
    """

    def __init__(self):
        self.average_s = 0.0
        self.is_overloaded = False
        self._hold_s = MIN_HOLD_S
        self._changed_at = -math.inf
        self._measured_at = math.inf
        self._ran_since = -math.inf

    def find_uninterrupted_s(self, now: float) -> float:
        """Returns for how long the process has run without a standstill, in seconds.

        After a standstill what has come meanwhile is not read yet, so nothing can be
        told from what has not been heard.

        Args:
            now: The event loop's time, in seconds.
        """
        if now - self._measured_at > PERIOD_S + INTERRUPTION_S:
            return 0.0
        return now - self._ran_since

    def add(self, delay_s: float, now: float) -> None:
        """Takes one measurement.

        Args:
            delay_s: The delay, in seconds.
            now: The time, in seconds.
        """
        self._measured_at = now
        if delay_s > INTERRUPTION_S:
            self._ran_since = now
        sample_s = min(MAX_SAMPLE_S, max(0.0, delay_s))
        self.average_s += WEIGHT * (sample_s - self.average_s)
        lasted_s = now - self._changed_at
        if self.is_overloaded:
            if self.average_s < RELIEVED_S and lasted_s >= self._hold_s:
                self._change(False, now)
        elif self.average_s > OVERLOADED_S:
            is_again = lasted_s < REPEAT_WINDOW_S
            self._hold_s = min(2 * self._hold_s, MAX_HOLD_S) if is_again else MIN_HOLD_S
            self._change(True, now)

    def _change(self, is_overloaded: bool, now: float) -> None:
        self.is_overloaded = is_overloaded
        self._changed_at = now
        logger.warning(
            "load of the process changed",
            extra={
                "overloaded": is_overloaded,
                "delay_ms": round(1000 * self.average_s, 1),
                "for_s": self._hold_s if is_overloaded else None,
            },
        )

    @property
    def is_busy(self) -> bool:
        """Whether new work is better done elsewhere."""
        return self.is_overloaded or self.average_s > BUSY_S

    @property
    def is_late(self) -> bool:
        """Whether what comes now would wait here for too long."""
        return self.average_s > OVERLOADED_S

    async def run(self) -> None:
        """Measures the delay for ever."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + PERIOD_S
            await asyncio.sleep(PERIOD_S)
            now = loop.time()
            self.add(now - due_at, now)
