"""The time since the machine was started, which goes on while it is suspended."""

import time


def now() -> float:
    """Returns the time, in seconds; the event loop's time may stand still."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
