"""Collects what a router has learnt about crashes for its next report."""

import collections.abc
import math

import msgspec

from teaselsill import crash_reports, ids, quarantine_entry, trial_claims


class CrashOutbox:
    """What the other routers have not been told yet.

    Attributes:
        on_news: Called when there is something that they should know soon.
    """

    def __init__(self):
        self.on_news: collections.abc.Callable[[], None] = lambda: None
        self._crashes: list[tuple[crash_reports.Crash, float]] = []
        self._survived_at_by_part: dict[ids.PartKey, float] = {}
        self._entry_by_part: dict[ids.PartKey, quarantine_entry.Entry] = {}
        self._told_survival_by_part: dict[ids.PartKey, float] = {}
        self._claim_by_part: dict[ids.PartKey, trial_claims.Claim] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to tell."""
        return not (
            self._crashes
            or self._survived_at_by_part
            or self._entry_by_part
            or self._claim_by_part
        )

    def add_crash(self, crash: crash_reports.Crash, now: float) -> None:
        """Adds a crash that this router has seen.

        Args:
            crash: The crash.
            now: The time to which its age refers, in seconds.
        """
        self._crashes.append((crash, now))
        self.on_news()

    def add_survival(self, part: ids.PartKey, began_at: float) -> None:
        """Adds a suspected part that has turned out to be harmless.

        Args:
            part: The part.
            began_at: When the response that has survived began, in seconds.
        """
        self._survived_at_by_part[part] = began_at
        self._told_survival_by_part[part] = began_at
        self.on_news()

    def add_entries(
        self, entries: collections.abc.Iterable[quarantine_entry.Entry]
    ) -> None:
        """Adds quarantined parts."""
        self._entry_by_part.update((entry.part, entry) for entry in entries)

    def add_claim(self, part: ids.PartKey, claim: trial_claims.Claim) -> None:
        """Adds a claim that this router has made."""
        self._claim_by_part[part] = claim
        self.on_news()

    def note_told(self, part: ids.PartKey, began_at: float) -> None:
        """Records a survival that another router has told all others."""
        told_at = self._told_survival_by_part.get(part, -math.inf)
        self._told_survival_by_part[part] = max(told_at, began_at)

    def is_told(self, part: ids.PartKey, since: float) -> bool:
        """Returns whether all routers were told of a survival that began after a time.

        Args:
            part: The part.
            since: The time, in seconds.
        """
        return self._told_survival_by_part.get(part, -math.inf) > since

    def forget_told(self, kept: collections.abc.Container[ids.PartKey]) -> None:
        """Forgets which survivals were told, except those of some parts."""
        self._told_survival_by_part = {
            part: at for part, at in self._told_survival_by_part.items() if part in kept
        }

    def take(self, now: float) -> crash_reports.News:
        """Returns everything that has not been told yet.

        Args:
            now: The time, in seconds.
        """
        if self.is_empty:
            return crash_reports.NO_NEWS
        news = crash_reports.News(
            [
                msgspec.structs.replace(crash, age_s=crash.age_s + now - added_at)
                for crash, added_at in self._crashes
            ],
            [
                crash_reports.Survival(part, now - began_at)
                for part, began_at in self._survived_at_by_part.items()
            ],
            [entry.describe(now) for entry in self._entry_by_part.values()],
            [
                crash_reports.TrialClaim(part, now - claim.made_at, claim.rank)
                for part, claim in self._claim_by_part.items()
            ],
        )
        self._claim_by_part = {}
        self._crashes = []
        self._survived_at_by_part = {}
        self._entry_by_part = {}
        return news
