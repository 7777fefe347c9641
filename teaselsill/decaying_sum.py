"""A sum in which what lies back counts less and less."""

import math


class DecayingSum:
    """A sum that fades.

    Args:
        decay_s: What lies so far back counts e times less, in seconds.
    """

    __slots__ = ("_memory_s", "_updated_at", "_value")

    def __init__(self, decay_s: float):
        self._memory_s = decay_s
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds to the sum.

        Args:
            amount: What is added.
            now: The time, in seconds.
        """
        self._value = self.read(now) + amount
        self._updated_at = now

    def read(self, now: float) -> float:
        """Returns the sum at a time, in seconds."""
        return self._value * math.exp((self._updated_at - now) / self._memory_s)

    def read_rate(self, now: float) -> float:
        """Returns what has been added in a second, of late."""
        return self.read(now) / self._memory_s
