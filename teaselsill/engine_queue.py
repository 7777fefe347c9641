"""Estimates how long a prompt waits at a model engine before it is read."""

FIRST_RATE = 100_000.0
"""How many prompt tokens an engine is first taken to read in a second."""
MIN_RATE = 5_000.0
MAX_RATE = 1_000_000.0
FIRST_EVENT_S = 0.06
"""From the last prompt token to the first event of the answer."""
USABLE_RATIO = 0.8
"""The part of an engine's time that may go into prompts; the rest generates."""
SLOWER = 0.96
FASTER = 1.02
"""How much one observation changes the rate."""
LATE_RATIO = 1.5
LATE_S = 0.08
"""An answer is later than predicted beyond this ratio and these seconds."""
EARLY_RATIO = 0.6
INFORMATIVE_S = 0.1
"""Only predictions of at least this wait tell that an engine is faster."""


class EngineQueue:
    """The prompt tokens that all routers have sent to one engine, as it reads them.

    Attributes:
        rate: How many prompt tokens the engine reads in a second.
    """

    def __init__(self):
        self.rate = FIRST_RATE
        self._unread_tokens = 0.0
        self._updated_at = 0.0

    @property
    def is_used(self) -> bool:
        """Whether any prompt has been sent there."""
        return bool(self._updated_at)

    def add(self, tokens: int, now: float) -> None:
        """Takes note of a prompt that is sent there.

        Args:
            tokens: How many of its tokens the engine has to read.
            now: The time, in seconds.
        """
        self._unread_tokens = self.count_tokens(now) + tokens
        self._updated_at = now

    def count_tokens(self, now: float) -> float:
        """Returns how many prompt tokens are still to be read."""
        read = (now - self._updated_at) * self.rate * USABLE_RATIO
        return max(0.0, self._unread_tokens - read)

    def predict_wait_s(self, now: float) -> float:
        """Returns how long a prompt waits that is sent now, in seconds."""
        return self.count_tokens(now) / self.rate

    def predict_read_s(self, tokens: int) -> float:
        """Returns how long a prompt takes from its turn to its first event."""
        return tokens / self.rate + FIRST_EVENT_S

    def observe(self, predicted_s: float, actual_s: float) -> None:
        """Learns from the time until a first event.

        Args:
            predicted_s: What was predicted, in seconds.
            actual_s: What it took, in seconds.
        """
        if actual_s > LATE_RATIO * predicted_s + LATE_S:
            self.rate = max(MIN_RATE, self.rate * SLOWER)
        elif predicted_s > INFORMATIVE_S and actual_s < EARLY_RATIO * predicted_s:
            self.rate = min(MAX_RATE, self.rate * FASTER)
