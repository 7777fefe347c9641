"""Estimates how long a prompt waits at a model engine before it is read."""

import math

INITIAL_RATE = 100_000.0
"""How many prompt tokens an engine is first taken to read in a second."""
MIN_RATE = 5_000.0
PRIOR_S = 0.1
"""How long an engine is taken to have read at the first rate."""
MEMORY_S = 3.0
"""What lies so far back counts e times less."""
BUSY_TOKENS = 6_000
"""With fewer tokens to read, the engine's own latency hides its rate."""
PREFILL_RATIO = 0.8
"""The part of an engine's time that may go into prompts; the rest generates."""


class EngineQueue:
    """The prompt tokens that all routers have sent to one engine, as it reads them.

    Two counts are kept. One drains at the rate that may be used for prompts, so that
    the engine keeps time to generate. The other holds the tokens of prompts whose
    answers have not begun: it shows an engine that is slower than it was.

    Attributes:
        outstanding_tokens: The prompt tokens whose answers have not begun.
        rate: How many prompt tokens the engine reads in a second.
    """

    def __init__(self):
        self._planned_tokens = 0.0
        self._planned_at = 0.0
        self.outstanding_tokens = 0
        self._changed_at = 0.0
        self._busy_s = 0.0
        self._read_tokens = 0.0
        self.rate = INITIAL_RATE

    @property
    def is_used(self) -> bool:
        """Whether any prompt has been sent there."""
        return bool(self._planned_at)

    def add(self, tokens: int, now: float) -> None:
        """Takes note of a prompt that is sent there.

        Args:
            tokens: How many of its tokens the engine has to read.
            now: The time, in seconds.
        """
        self._planned_tokens = self.count_planned(now) + tokens
        self._planned_at = now

    def note_prefilled(self, tokens: int, now: float) -> None:
        """Takes note of prompts whose answers have begun."""
        self._read_tokens += tokens
        self._pass_time(now)

    def set_outstanding(self, tokens: int, now: float) -> None:
        """Takes note of the prompt tokens whose answers have not begun."""
        self._pass_time(now)
        self.outstanding_tokens = tokens

    def count_planned(self, now: float) -> float:
        """Returns the tokens for which there is no time yet."""
        read = (now - self._planned_at) * self.rate * PREFILL_RATIO
        return max(0.0, self._planned_tokens - read)

    def count_tokens(self, now: float) -> float:
        """Returns how many prompt tokens are ahead of one that is sent now."""
        return max(self.count_planned(now), self.outstanding_tokens)

    def predict_wait_s(self, now: float) -> float:
        """Returns how long a prompt waits that is sent now, in seconds."""
        return self.count_tokens(now) / self.rate

    def _pass_time(self, now: float) -> None:
        passed_s = max(0.0, now - self._changed_at)
        self._changed_at = now
        fading = math.exp(-passed_s / MEMORY_S)
        self._read_tokens *= fading
        self._busy_s *= fading
        if self.outstanding_tokens >= BUSY_TOKENS:
            self._busy_s += min(passed_s, MEMORY_S)
        read_tokens = self._read_tokens + PRIOR_S * INITIAL_RATE
        self.rate = max(MIN_RATE, read_tokens / (self._busy_s + PRIOR_S))
