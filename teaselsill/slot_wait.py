"""Estimates how long a request waits at an upstream for a free slot."""

INITIAL_HOLD_S = 1.0
"""Hold time assumed before any request has been measured."""
WEIGHT = 0.05
"""Weight of one request in the moving average."""


class HoldTime:
    """How long requests hold a slot at the upstreams of one service.

    Attributes:
        average_s: The exponential moving average, in seconds.
    """

    def __init__(self):
        self.average_s = INITIAL_HOLD_S

    def note(self, held_s: float) -> None:
        """Records how long a request held a slot, in seconds."""
        self.average_s += WEIGHT * (held_s - self.average_s)

    def predict_wait_s(self, requests: int, slots: int) -> float:
        """Returns how long one more request waits for a slot, in seconds.

        Args:
            requests: How many requests run or wait at the upstream.
            slots: How many requests it runs at a time; no wait is predicted if 0.
        """
        if not slots:
            return 0.0
        ahead = max(0, requests + 1 - slots)
        return ahead * self.average_s / slots
