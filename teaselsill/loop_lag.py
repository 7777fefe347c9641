"""Tells from the event loop's own delay whether the process has too much work."""

import asyncio
import logging

PERIOD_S = 0.05
"""How often the delay is measured."""
WEIGHT = 0.25
"""How much one measurement counts in the average."""
MAX_SAMPLE_S = 0.5
"""A longer delay counts as this: the process was stopped, not overloaded."""
OVERLOADED_S = 0.06
"""With a longer average delay the process is overloaded."""
RELIEVED_S = 0.015
"""With a shorter average delay it is not any more."""

logger = logging.getLogger(__name__)


class LoopLag:
    """The delay of the event loop.

    Attributes:
        average_s: The average delay, in seconds.
        is_overloaded: Whether callers are better served by other routers.
    """

    def __init__(self):
        self.average_s = 0.0
        self.is_overloaded = False

    def add(self, delay_s: float) -> None:
        """Takes one measurement, in seconds."""
        sample_s = min(MAX_SAMPLE_S, max(0.0, delay_s))
        self.average_s += WEIGHT * (sample_s - self.average_s)
        was_overloaded = self.is_overloaded
        if self.average_s > OVERLOADED_S:
            self.is_overloaded = True
        elif self.average_s < RELIEVED_S:
            self.is_overloaded = False
        if self.is_overloaded is not was_overloaded:
            logger.warning(
                "load of the process changed",
                extra={
                    "overloaded": self.is_overloaded,
                    "delay_ms": round(1000 * self.average_s, 1),
                },
            )

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
            self.add(loop.time() - due_at)
