"""A sum whose terms decay exponentially with their age."""

import math


class DecayingSum:
    """A sum with exponential decay.

    Args:
        decay_s: The time constant in seconds: a term of this age has a weight of 1/e.
    """

    __slots__ = ("_decay_s", "_updated_at", "_value")

    def __init__(self, decay_s: float):
        self._decay_s = decay_s
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds to the sum.

        Args:
            amount: The amount to add.
            now: The time, in seconds.
        """
        self._value = self.read(now) + amount
        self._updated_at = now

    def read(self, now: float) -> float:
        """Returns the sum at a time, in seconds."""
        return self._value * math.exp((self._updated_at - now) / self._decay_s)

    def read_rate(self, now: float) -> float:
        """Returns the recent rate of additions per second."""
        return self.read(now) / self._decay_s
