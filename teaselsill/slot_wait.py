"""Estimates how long a request waits at an upstream for a free slot."""

INITIAL_HOLD_S = 1.0
"""Hold time assumed before any request has been measured."""
WEIGHT = 0.05
"""Weight of one request in the moving average."""


class HoldTime:
    """How long requests hold a slot at the upstreams of one service.

    Attributes:
        average_s: The exponential moving average where work takes as long as usual, in
            seconds.
    """

    def __init__(self):
        self.average_s = INITIAL_HOLD_S

    def note(self, held_s: float, slowdown: float = 1.0) -> None:
        """Records how long a request held a slot.

        Args:
            held_s: That time, in seconds.
            slowdown: How long work takes at the upstream, relative to the usual time.
        """
        self.average_s += WEIGHT * (held_s / slowdown - self.average_s)

    def predict_wait_s(self, requests: int, slots: int, slowdown: float = 1.0) -> float:
        """Returns how long one more request waits for a slot, in seconds.

        Args:
            requests: How many requests run or wait at the upstream.
            slots: How many requests it runs at a time; no wait is predicted if 0.
            slowdown: How long work takes there, relative to the usual time.
        """
        if requests < slots or not slots:
            return 0.0
        return (requests + 1 - slots) * self.average_s * slowdown / slots
