"""How long requests have to wait for something, as a router has last heard."""


class ExpectedWait:
    """A wait that goes by until a router hears of it again."""

    def __init__(self):
        self._wait_s = 0.0
        self._noted_at = 0.0

    def note(self, wait_s: float, now: float) -> None:
        """Records the wait of a request.

        Args:
            wait_s: How long one more request waits, in seconds.
            now: The time, in seconds.
        """
        self._wait_s = wait_s
        self._noted_at = now

    def predict_s(self, now: float) -> float:
        """Returns how long one more request probably waits, in seconds."""
        return max(0.0, self._wait_s - (now - self._noted_at))
