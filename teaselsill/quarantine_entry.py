"""A quarantined prompt part, and when a request with it may be sent as a trial."""

import dataclasses
import math

from teaselsill import crash_reports, ids

TRIAL_AFTER_S = 15.0
"""How long after the last crash a part is tried again; doubled by each failed trial."""
MAX_TRIAL_AFTER_S = 900.0
END_RATIO = 6.0
"""If there was no trial for this multiple of that time, the quarantine ends."""


@dataclasses.dataclass(slots=True)
class Entry:
    """A quarantined part.

    Attributes:
        part: The part.
        crashed_at: When it was last seen to crash an upstream, in seconds.
        failed_trials: How many trials in a row have crashed an upstream.
        tried_at: When a router has last sent a request with it as a trial, in seconds.
    """

    part: ids.PartKey
    crashed_at: float
    failed_trials: int = 0
    tried_at: float = -math.inf

    def find_trial_after_s(self) -> float:
        """Returns how long after the last crash the next trial is due, in seconds."""
        return min(TRIAL_AFTER_S * 2**self.failed_trials, MAX_TRIAL_AFTER_S)

    def find_wait_s(self, now: float) -> float:
        """Returns how long until the next trial, in seconds.

        Args:
            now: The time, in seconds.
        """
        last_at = max(self.crashed_at, self.tried_at)
        return max(0.0, last_at + self.find_trial_after_s() - now)

    def has_ended(self, now: float) -> bool:
        """Returns whether there was no result of a trial for so long that it ends.

        Args:
            now: The time, in seconds.
        """
        return now - self.crashed_at > END_RATIO * self.find_trial_after_s()

    def note_crash(self, at: float) -> None:
        """Records that a request with the part has crashed an upstream.

        Args:
            at: When it crashed, in seconds.
        """
        is_failed_trial = at - self.crashed_at > self.find_trial_after_s()
        self.failed_trials += is_failed_trial
        self.crashed_at = max(self.crashed_at, at)

    def merge(
        self, crashed_at: float, failed_trials: int, tried_at: float = -math.inf
    ) -> None:
        """Applies what another router knows of the part."""
        self.crashed_at = max(self.crashed_at, crashed_at)
        self.failed_trials = max(self.failed_trials, failed_trials)
        self.tried_at = max(self.tried_at, tried_at)

    def describe(self, now: float) -> crash_reports.QuarantinedPart:
        """Returns the description for the other routers.

        Args:
            now: The time, in seconds.
        """
        was_tried = self.tried_at > -math.inf
        return crash_reports.QuarantinedPart(
            self.part,
            now - self.crashed_at,
            self.failed_trials,
            now - self.tried_at if was_tried else None,
        )


def make_entry(described: crash_reports.QuarantinedPart, now: float) -> Entry:
    """Returns the entry that another router has described.

    Args:
        described: The description.
        now: The time, in seconds.
    """
    tried_age_s = described.tried_age_s
    return Entry(
        described.part,
        now - described.age_s,
        described.failed_trials,
        -math.inf if tried_age_s is None else now - tried_age_s,
    )
