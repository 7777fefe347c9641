"""Estimates how long a request waits at an upstream until a slot is free."""

FIRST_HOLD_S = 1.0
"""How long a request is first taken to hold a slot."""
WEIGHT = 0.05
"""How much one request counts in the average."""


class HoldTime:
    """How long requests hold a slot at the upstreams of one service.

    Attributes:
        average_s: The average of late, in seconds.
    """

    def __init__(self):
        self.average_s = FIRST_HOLD_S

    def note(self, held_s: float) -> None:
        """Takes note of how long a request held a slot, in seconds."""
        self.average_s += WEIGHT * (held_s - self.average_s)

    def predict_wait_s(self, requests: int, slots: int) -> float:
        """Returns how long one more request waits for a slot, in seconds.

        Args:
            requests: How many requests run or wait at the upstream.
            slots: How many it runs at a time.
        """
        if not slots:
            return 0.0
        ahead = max(0, requests + 1 - slots)
        return ahead * self.average_s / slots
