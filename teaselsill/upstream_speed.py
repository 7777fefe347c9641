"""How fast each upstream works now, from what it announces and what is measured."""

import logging
import math

from teaselsill import ids

INITIAL_RATE = 100_000.0
"""Prefill rate assumed before any was measured, in prompt tokens a second."""
MIN_RATE = 5_000.0
INITIAL_S = 0.5
"""Weight of the initial rate: it counts as if measured over this busy time."""
RATE_DECAY_S = 20.0
"""Time constant of the usual rate of a service, which hardly changes."""
FRESH_S = 0.5
"""How long an announced figure is used by itself: it changes many times a second."""
USUAL_DECAY_S = 4.0
"""Time constant of the average that is used when there is no fresh figure."""
MAX_AVERAGED = 8
"""Up to so many figures, the average weights all alike."""
STALE_S = 5.0
"""An upstream that is said to be slow gets no requests and so tells nothing new. After
this time it is tried again."""
MAX_STALE_SLOWDOWN = 2.0
MIN_NEWS_RATIO = 1.1
"""A figure that differs by less from what is known is no news while that is fresh."""
MEASURED_DECAY_S = 3.0
"""Time constant of the measurement that an announced figure is checked against."""
MEASURED_PRIOR_S = 0.3
"""The announced figure counts as if confirmed over this busy time."""
TRUSTED_RATIO = 1.5
"""Up to this ratio a measurement does not contradict the announced figure."""
MAX_DISTRUST = 10.0

logger = logging.getLogger(__name__)


class UsualRate:
    """The prefill rate of a service's engines while work takes as long as usual.

    It is learned from all engines together, from own requests and other routers'
    reports.

    Attributes:
        per_s: The rate, in prompt tokens a second.
        is_learned: Whether any engine of the service that announces its speed has been
            measured.
    """

    def __init__(self):
        self.per_s = INITIAL_RATE
        self.is_learned = False
        self._tokens = INITIAL_S * INITIAL_RATE
        self._busy_s = INITIAL_S
        self._changed_at = 0.0

    def note(self, tokens: int, usual_s: float, now: float) -> None:
        """Records what a busy engine has done.

        Args:
            tokens: The prompt tokens that it has prefilled.
            usual_s: How long that usually takes, in seconds: the time that has passed,
                divided by the announced slowdown.
            now: The time, in seconds.
        """
        self.is_learned = True
        decay = math.exp(min(0.0, self._changed_at - now) / RATE_DECAY_S)
        self._changed_at = now
        self._tokens = self._tokens * decay + tokens
        self._busy_s = self._busy_s * decay + usual_s
        if self._busy_s:
            self.per_s = max(MIN_RATE, self._tokens / self._busy_s)


class UpstreamSpeed:
    """The speed of one upstream.

    The newest announced figure is used while it is fresh, then the average of those
    before. What the upstream does while it is busy contradicts a false figure.

    Args:
        usual_rate: The usual rate of the engines of its service.
        upstream: The upstream, for the log.

    Attributes:
        is_announced: Whether the upstream has announced how long work takes there.
    """

    __slots__ = (
        "_announced",
        "_average",
        "_count",
        "_distrust",
        "_fresh_until",
        "_heard_at",
        "_measured_at",
        "_tokens",
        "_upstream",
        "_usual_busy_s",
        "is_announced",
        "usual_rate",
    )

    def __init__(
        self,
        usual_rate: UsualRate | None = None,
        upstream: ids.UpstreamId | None = None,
    ):
        self.usual_rate = usual_rate or UsualRate()
        self._upstream = upstream
        self.is_announced = False
        self._announced = 1.0
        self._average = 1.0
        self._count = 0
        self._heard_at = -math.inf
        self._fresh_until = -math.inf
        self._distrust = 1.0
        self._tokens = 0.0
        self._usual_busy_s = 0.0
        self._measured_at = 0.0

    @property
    def is_known(self) -> bool:
        """Whether it announces its speed, or others of its service do."""
        return self.is_announced or self.usual_rate.is_learned

    @property
    def distrust(self) -> float:
        """How much slower it is measured to be than it announces; 1.0 if it is not."""
        return self._distrust

    def note_announced(self, slowdown: float, now: float) -> bool:
        """Records how long the upstream says that work takes.

        Args:
            slowdown: That time, relative to the usual time.
            now: The time, in seconds.

        Returns:
            Whether other routers should be told.
        """
        known = self._find_announced(now)
        is_news = (
            not self.is_announced
            or now > self._fresh_until - FRESH_S / 2
            or max(slowdown, known) > MIN_NEWS_RATIO * min(slowdown, known)
        )
        self._count = min(self._count + 1, MAX_AVERAGED)
        elapsed_s = max(0.0, now - self._heard_at)
        weight = max(1 - math.exp(-elapsed_s / USUAL_DECAY_S), 0.0)
        if self._count < MAX_AVERAGED:
            weight = max(weight, 1 / self._count)
        self._average += weight * (slowdown - self._average)
        self._announced = slowdown
        self._heard_at = now
        self._fresh_until = now + FRESH_S
        self.is_announced = True
        return is_news

    def note_busy(self, busy_s: float, now: float) -> None:
        """Records that the upstream has had prompts to prefill for some time.

        Args:
            busy_s: How long, in seconds.
            now: The time, in seconds.
        """
        self._measure(0, busy_s / self._find_announced(now), now)

    def note_prefilled(self, tokens: int, now: float) -> None:
        """Records prompt tokens that the upstream has prefilled while it was busy."""
        self._measure(tokens, 0.0, now)

    def find_slowdown(self, now: float) -> float:
        """Returns how long work takes there, relative to the usual time."""
        slowdown = self._find_announced(now)
        if self._distrust != 1.0 and now - self._measured_at <= STALE_S:
            slowdown *= self._distrust
        return slowdown

    def find_rate(self, now: float) -> float:
        """Returns the rate at which it prefills prompts, in tokens a second."""
        if self._distrust == 1.0 and now <= self._fresh_until:
            return self.usual_rate.per_s / self._announced
        return self.usual_rate.per_s / self.find_slowdown(now)

    def _find_announced(self, now: float) -> float:
        if now <= self._fresh_until:
            return self._announced
        if now - self._heard_at <= STALE_S:
            return self._average
        return min(self._average, MAX_STALE_SLOWDOWN)

    def _measure(self, tokens: int, usual_s: float, now: float) -> None:
        if not self.is_announced:
            return
        self.usual_rate.note(tokens, usual_s, now)
        decay = math.exp(min(0.0, self._measured_at - now) / MEASURED_DECAY_S)
        self._measured_at = now
        self._tokens = self._tokens * decay + tokens
        self._usual_busy_s = self._usual_busy_s * decay + usual_s
        per_s = self.usual_rate.per_s
        expected = (self._usual_busy_s + MEASURED_PRIOR_S) * per_s
        ratio = expected / (self._tokens + MEASURED_PRIOR_S * per_s)
        is_plausible = 1 / TRUSTED_RATIO < ratio < TRUSTED_RATIO
        bounded = min(MAX_DISTRUST, max(1 / MAX_DISTRUST, ratio))
        distrust = 1.0 if is_plausible else bounded
        if (distrust == 1.0) != (self._distrust == 1.0):
            self._log_distrust(distrust, now)
        self._distrust = distrust

    def _log_distrust(self, distrust: float, now: float) -> None:
        """Logs that measurements begin or cease to contradict the announced figure."""
        logger.info(
            "trust in announced speed changed",
            extra={
                "upstream": self._upstream,
                "slower_than_announced": round(distrust, 2),
                "announced": round(self._find_announced(now), 2),
                "age_s": round(now - self._heard_at, 2),
                "busy_s": round(self._usual_busy_s, 2),
                "tokens": round(self._tokens),
            },
        )
