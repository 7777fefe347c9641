"""The time since boot, including time in which the machine was suspended."""

import time


def now() -> float:
    """Returns the time since boot, in seconds.

    The event loop's monotonic clock does not advance while the machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
