"""Estimates how long a prompt waits at a model engine before it is prefilled."""

import math

from teaselsill import upstream_speed

INITIAL_RATE = upstream_speed.INITIAL_RATE
"""Prefill rate assumed for a new engine, in prompt tokens a second."""
INITIAL_MEAN_TOKENS = 2_000.0
"""The average prompt assumed before there has been any."""
MEAN_WEIGHT = 0.05
"""The weight of one prompt in the moving average."""
PRIOR_S = 0.1
"""Weight of the initial rate: it counts as if measured over this busy time."""
DECAY_S = 3.0
"""Time constant of the estimate: a measurement of this age has a weight of 1/e."""
BUSY_TOKENS = 6_000
"""With fewer outstanding tokens the engine's own latency hides its rate."""
PREFILL_RATIO = 0.8
"""The part of an engine's time that prefill may use; the rest is left for decoding."""


class EngineQueue:
    """The prompt tokens that all routers have sent to one engine.

    It keeps two counts. The planned tokens drain at the rate that prefill may use, so
    that the engine keeps time for decoding. The outstanding tokens are those of prompts
    whose responses have not started; they reveal an engine that has become slower.

    Args:
        speed: The speed of the engine, which it may announce.

    Attributes:
        speed: The speed of the engine.
        outstanding_tokens: The prompt tokens of requests whose responses have not
            started.
        rate: Measured prefill rate, in prompt tokens a second.
        mean_tokens: How many tokens the engine has to prefill for a prompt, as a moving
            average.
    """

    def __init__(self, speed: upstream_speed.UpstreamSpeed | None = None):
        self.speed = speed or upstream_speed.UpstreamSpeed()
        self._planned_tokens = 0.0
        self._planned_at = 0.0
        self.outstanding_tokens = 0
        self._changed_at = 0.0
        self._busy_s = 0.0
        self._prefilled_tokens = 0.0
        self.rate = INITIAL_RATE
        self.mean_tokens = INITIAL_MEAN_TOKENS

    @property
    def is_used(self) -> bool:
        """Whether any prompt has been sent to the engine."""
        return bool(self._planned_at)

    def add(self, tokens: int, now: float) -> None:
        """Records a prompt that is sent to the engine.

        Args:
            tokens: How many of its tokens the engine has to prefill.
            now: The time, in seconds.
        """
        self._planned_tokens = self.count_planned(now) + tokens
        self._planned_at = now
        self.mean_tokens += MEAN_WEIGHT * (tokens - self.mean_tokens)

    def note_slowdown(self, slowdown: float, now: float) -> bool:
        """Records what the engine announces; see `UpstreamSpeed.note_announced`."""
        self._planned_tokens = self.count_planned(now)
        if self.is_used:
            self._planned_at = now
        return self.speed.note_announced(slowdown, now)

    def note_prefilled(self, tokens: int, now: float) -> None:
        """Records prompt tokens of requests whose responses have started."""
        self._prefilled_tokens += tokens
        if self.outstanding_tokens >= BUSY_TOKENS:
            self.speed.note_prefilled(tokens, now)
        self._update_rate(now)

    def set_outstanding(self, tokens: int, now: float) -> None:
        """Sets the prompt tokens of requests whose responses have not started."""
        self._update_rate(now)
        self.outstanding_tokens = tokens

    def find_rate(self, now: float) -> float:
        """Returns the rate at which prompts are prefilled now, in tokens a second."""
        speed = self.speed
        return speed.find_rate(now) if speed.is_known else self.rate

    def find_compared_rate(self, now: float) -> float:
        """Returns the rate by which engines are compared, in tokens a second.

        Without an announced speed all of them count alike: the measured rate varies
        more than they differ.
        """
        speed = self.speed
        return speed.find_rate(now) if speed.is_known else INITIAL_RATE

    def count_planned(self, now: float) -> float:
        """Returns the planned tokens that have not drained yet."""
        return self.count_planned_at(self.find_rate(now), now)

    def count_planned_at(self, rate: float, now: float) -> float:
        """Returns the planned tokens that have not drained yet.

        Args:
            rate: The prefill rate, in prompt tokens a second; see `find_rate`.
            now: The time, in seconds.
        """
        drained = (now - self._planned_at) * rate * PREFILL_RATIO
        return max(0.0, self._planned_tokens - drained)

    def predict_wait_s(self, now: float) -> float:
        """Returns how long a prompt that is sent now waits, in seconds."""
        rate = self.find_rate(now)
        tokens = max(self.count_planned_at(rate, now), self.outstanding_tokens)
        return tokens / rate

    def _update_rate(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._changed_at)
        self._changed_at = now
        decay = math.exp(-elapsed_s / DECAY_S)
        self._prefilled_tokens *= decay
        self._busy_s *= decay
        if self.outstanding_tokens >= BUSY_TOKENS:
            self._busy_s += min(elapsed_s, DECAY_S)
            self.speed.note_busy(min(elapsed_s, DECAY_S), now)
        prefilled_tokens = self._prefilled_tokens + PRIOR_S * INITIAL_RATE
        self.rate = max(
            upstream_speed.MIN_RATE, prefilled_tokens / (self._busy_s + PRIOR_S)
        )
