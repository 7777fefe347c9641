"""Detects overload of the process from the delay of its event loop."""

import asyncio
import logging
import math

PERIOD_S = 0.05
"""How often the delay is measured."""
WEIGHT = 0.25
"""The weight of one sample in the exponential moving average."""
MAX_SAMPLE_S = 0.2
"""Samples are capped at this: after a longer delay the process was interrupted, not
overloaded."""
BUSY_S = 0.02
"""The average delay above which another process should take new work."""
OVERLOADED_S = 0.06
"""The average delay above which the process becomes overloaded."""
RECOVERED_S = 0.015
"""The average delay below which the process stops being overloaded."""
MIN_HOLD_S = 3.0
"""The minimum duration of an overload; it doubles with each repeated overload."""
MAX_HOLD_S = 12.0
INTERRUPTION_S = 0.5
"""A longer delay means that the process did not run."""
MAX_STEP_S = 2 * PERIOD_S
"""The running time that passes between two measurements, however long they take."""
REPEAT_WINDOW_S = 6.0
"""An overload that starts this soon after the previous one ended is a repetition."""

logger = logging.getLogger(__name__)


class LoopLag:
    """Measures the delay of the event loop.

    The load that delayed a process returns as soon as the process accepts work again.
    An overload is therefore held for some time, and longer each time it repeats.

    Attributes:
        average_s: The average delay, in seconds.
        is_overloaded: Whether other routers should serve the callers.
    """

    def __init__(self):
        self.average_s = 0.0
        self.is_overloaded = False
        self._hold_s = MIN_HOLD_S
        self._changed_at = -math.inf
        self._measured_at = math.inf
        self._ran_s = 0.0
        self._uninterrupted_since = -math.inf

    def find_uninterrupted_s(self, now: float) -> float:
        """Returns how long the process has run without an interruption, in seconds.

        After an interruption, the bytes that arrived meanwhile have not been read yet,
        so a silent connection is no sign of a failed peer.

        Args:
            now: The event loop's time, in seconds.
        """
        if now - self._measured_at > PERIOD_S + INTERRUPTION_S:
            return 0.0
        return now - self._uninterrupted_since

    def read_running_time(self, now: float) -> float:
        """Returns a time that hardly passes while the process does not run, in seconds.

        Args:
            now: The event loop's time, in seconds.
        """
        if self._measured_at == math.inf:
            return now
        return self._ran_s + min(MAX_STEP_S, max(0.0, now - self._measured_at))

    def add(self, delay_s: float, now: float) -> None:
        """Adds one sample.

        Args:
            delay_s: The measured delay, in seconds.
            now: The event loop's time, in seconds.
        """
        self._ran_s = self.read_running_time(now)
        self._measured_at = now
        if delay_s > INTERRUPTION_S:
            self._uninterrupted_since = now
        sample_s = min(MAX_SAMPLE_S, max(0.0, delay_s))
        self.average_s += WEIGHT * (sample_s - self.average_s)
        lasted_s = now - self._changed_at
        if self.is_overloaded:
            if self.average_s < RECOVERED_S and lasted_s >= self._hold_s:
                self._set_overloaded(False, now)
        elif self.average_s > OVERLOADED_S:
            is_repeated = lasted_s < REPEAT_WINDOW_S
            self._hold_s = (
                min(2 * self._hold_s, MAX_HOLD_S) if is_repeated else MIN_HOLD_S
            )
            self._set_overloaded(True, now)

    def _set_overloaded(self, is_overloaded: bool, now: float) -> None:
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
        """Whether another process should take new work."""
        return self.is_overloaded or self.average_s > BUSY_S

    @property
    def is_late(self) -> bool:
        """Whether a request that arrives now would wait too long."""
        return self.average_s > OVERLOADED_S

    async def run(self) -> None:
        """Measures the delay periodically."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + PERIOD_S
            await asyncio.sleep(PERIOD_S)
            now = loop.time()
            self.add(now - due_at, now)
