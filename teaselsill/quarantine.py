"""Quarantines prompt parts whose requests crash the upstreams that run them."""

import collections
import collections.abc
import dataclasses
import logging
import math

from teaselsill import (
    calls,
    crash_analysis,
    crash_outbox,
    crash_reports,
    ids,
    part_survivals,
    quarantine_entry,
    trial_claims,
)

MIN_RETRY_AFTER_S = 1.0
MAX_QUARANTINED = 64
MAX_FORMER = 256
MAX_PARTS_PER_SUSPECT = 32
"""Of a longer prompt, parts without a known survival go first, then the last ones."""
CLAIM_MARGIN_S = 0.01
"""Added to the wait for a claim, since timers may be early."""
REPEAT_S = 1.0
"""How often one router tells all others about all quarantined parts."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Allowed:
    """The request may be sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """The request may be sent to test whether its part still crashes upstreams."""

    part: ids.PartKey


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The request may be sent as a trial later if no other router has a better claim.

    Attributes:
        part: The quarantined part of its prompt.
        wait_s: How long to wait before it is checked again, in seconds.
    """

    part: ids.PartKey
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Blocked:
    """The request must not be sent.

    Attributes:
        part: The quarantined part of its prompt.
        retry_after_s: When the part is tried again, in seconds.
    """

    part: ids.PartKey
    retry_after_s: float


Permission = Allowed | Trial | Claimed | Blocked
ALLOWED = Allowed()
FindClaimTime = collections.abc.Callable[[], float]


class Quarantine:
    """The prompt parts whose requests are rejected, and the evidence that led to it.

    A part is quarantined once it explains several crashes of upstreams. All routers
    share what they see, and decide alike. After some time, a router that has a request
    with the part sends it as a trial; if that does not crash the upstream, the
    quarantine ends.

    Attributes:
        outbox: What the other routers have not been told yet.
        on_quarantined: Called with each part that is put under quarantine.
    """

    def __init__(self):
        self.outbox = crash_outbox.CrashOutbox()
        self.on_quarantined: collections.abc.Callable[[ids.PartKey], None] = (
            lambda part: None
        )
        self._survivals = part_survivals.PartSurvivals()
        self._history = crash_analysis.CrashHistory()
        self._entry_by_part: dict[ids.PartKey, quarantine_entry.Entry] = {}
        self._former: collections.OrderedDict[ids.PartKey, None] = (
            collections.OrderedDict()
        )
        self._watched: set[ids.PartKey] = set()
        self._claims = trial_claims.TrialClaims()
        self._decide_at = math.inf
        self._repeated_at = -math.inf

    def list_parts(self) -> list[ids.PartKey]:
        """Returns the quarantined parts."""
        return list(self._entry_by_part)

    def concerns(self, parts: tuple[calls.PromptPart, ...]) -> bool:
        """Returns whether a prompt has a quarantined part."""
        return any(part in self._entry_by_part for part in list_shared(parts))

    def check(
        self,
        parts: tuple[calls.PromptPart, ...],
        now: float,
        find_claim_s: FindClaimTime,
    ) -> Permission:
        """Returns whether a request may be sent.

        Args:
            parts: The parts of its prompt.
            now: The time, in seconds.
            find_claim_s: Returns how long the claims of other routers are awaited
                before a trial, in seconds; 0 if there are no other routers.
        """
        self._decide_if_due(now)
        if not self._entry_by_part:
            return ALLOWED
        permission = ALLOWED
        for part in list_shared(parts):
            entry = self._entry_by_part.get(part)
            if entry is None:
                continue
            if entry.has_ended(now):
                self._expire(entry)
                continue
            found = self._check_entry(entry, now, find_claim_s)
            if isinstance(found, Blocked):
                return found
            if not isinstance(permission, Claimed):
                permission = found
        return permission

    def _check_entry(
        self, entry: quarantine_entry.Entry, now: float, find_claim_s: FindClaimTime
    ) -> Trial | Claimed | Blocked:
        """Returns whether a request with a quarantined part may be sent; see `check`.

        The request that leads to a claim waits until the claim is settled. Until then,
        others are blocked.
        """
        part = entry.part
        wait_s = entry.find_wait_s(now)
        if wait_s:
            return Blocked(part, max(MIN_RETRY_AFTER_S, wait_s))
        claim = self._claims.find(part, now)
        claim_s = find_claim_s()
        if claim is None and claim_s:
            self.outbox.add_claim(part, self._claims.make(part, now))
            return Claimed(part, claim_s + CLAIM_MARGIN_S)
        if claim is None or (claim.is_own and claim.is_settled(now, claim_s)):
            return Trial(part)
        return Blocked(part, MIN_RETRY_AFTER_S)

    def note_trial(self, part: ids.PartKey, now: float) -> None:
        """Records that a request is sent to test a part."""
        entry = self._entry_by_part.get(part)
        if entry is not None:
            entry.tried_at = now
            self._claims.forget(part)
            self.outbox.add_entries([entry])
            self.outbox.on_news()
            logger.info("trying quarantined prompt part", extra={"part": part})

    def note_survival(
        self, parts: tuple[calls.PromptPart, ...], began_at: float
    ) -> None:
        """Records a response that has not crashed its upstream.

        Args:
            parts: The parts of the prompt.
            began_at: When the response began, in seconds.
        """
        shared = list_shared(parts)
        self._survivals.note_response(shared, began_at)
        for part in shared:
            if part in self._watched and self._clear(part, began_at):
                self.outbox.add_survival(part, began_at)

    def make_suspect(
        self,
        request: ids.RequestId,
        parts: tuple[calls.PromptPart, ...],
        stage: crash_reports.Stage,
        now: float,
    ) -> crash_reports.Suspect:
        """Returns the description of a request that was broken off.

        Args:
            request: The request.
            parts: The parts of its prompt.
            stage: How far its response had come.
            now: The time, in seconds.
        """
        shared = [
            crash_reports.SuspectPart(part, self._survivals.has_survived(part, now))
            for part in list_shared(parts)
        ]
        if len(shared) > MAX_PARTS_PER_SUSPECT:
            shared = [part for part in shared if not part.has_survived]
        return crash_reports.Suspect(request, shared[-MAX_PARTS_PER_SUSPECT:], stage)

    def note_crash(self, crash: crash_reports.Crash, now: float) -> None:
        """Records a crash that this router has seen."""
        self.outbox.add_crash(crash, now)
        entry = self._add(crash, now)
        if entry is not None:
            logger.warning(
                "quarantined prompt part has crashed another upstream",
                extra={
                    "part": entry.part,
                    "upstream": crash.upstream,
                    "failed_trials": entry.failed_trials,
                    "retry_after_s": entry.find_trial_after_s(),
                },
            )

    def apply(self, news: crash_reports.News, now: float) -> None:
        """Applies what another router has told."""
        for survival in news.survivals:
            began_at = now - survival.age_s
            self._survivals.note(survival.part, began_at)
            self._clear(survival.part, began_at)
            self.outbox.note_told(survival.part, began_at)
        for crash in news.crashes:
            self._add(crash, now)
        for quarantined in news.quarantined:
            self._adopt(quarantined, now)
        for claim in news.claims:
            self._claims.add(claim.part, claim.rank, now - claim.age_s, now)
        self._decide_if_due(now)

    def take_news(
        self, now: float, should_repeat: bool, has_new_router: bool = False
    ) -> crash_reports.News:
        """Returns what the other routers have not been told yet.

        Args:
            now: The time, in seconds.
            should_repeat: Whether this router is the one that repeats all quarantined
                parts from time to time, for routers that have not heard of them.
            has_new_router: Whether it repeats them now, since there is such a router.
        """
        self._decide_if_due(now)
        for entry in list(self._entry_by_part.values()):
            if entry.has_ended(now):
                self._expire(entry)
        is_due = has_new_router or now - self._repeated_at >= REPEAT_S
        if should_repeat and is_due:
            self._repeated_at = now
            self.outbox.add_entries(self._entry_by_part.values())
        return self.outbox.take(now)

    def describe(self, now: float) -> crash_reports.News:
        """Returns all quarantined parts, for a router that may know none of them.

        Args:
            now: The time, in seconds.
        """
        entries = self._entry_by_part.values()
        return crash_reports.News(
            quarantined=[
                entry.describe(now) for entry in entries if not entry.has_ended(now)
            ]
        )

    def _add(
        self, crash: crash_reports.Crash, now: float
    ) -> quarantine_entry.Entry | None:
        """Adds a crash; returns the quarantine that explains it, if there is one."""
        record = self._history.add(crash, now)
        if record.culprit is not None:
            return self._entry_by_part.get(record.culprit)
        for entry in self._entry_by_part.values():
            if record.may_be_due_to(entry.part):
                record.culprit = entry.part
                entry.note_crash(record.at)
                return entry
        self._decide_at = min(self._decide_at, record.settled_at)
        self._update_watched(now)
        return None

    def _update_watched(self, now: float) -> None:
        """Chooses the parts whose survivals are told to the other routers.

        These are the parts that could be quarantined without that. A common part
        becomes one of them when it is in several crashes.
        """
        crashes_by_part: dict[ids.PartKey, list[crash_analysis.CrashRecord]] = {}
        self._watched = set(self._entry_by_part)
        for crash in self._history.list_unexplained(now):
            known = {p.key: p for s in crash.list_suspects() for p in s.parts}
            for part in known.values():
                crashes_by_part.setdefault(part.key, []).append(crash)
                if not part.has_survived or len(crashes_by_part[part.key]) > 1:
                    self._watched.add(part.key)
        self.outbox.forget_told(self._watched)
        for part in self._watched & crashes_by_part.keys():
            is_news = any(
                self._survivals.has_survived_since(part, crash.at)
                and not self.outbox.is_told(part, crash.at)
                for crash in crashes_by_part[part]
            )
            if is_news:
                self.outbox.add_survival(part, self._survivals.find_began_at(part))

    def _decide_if_due(self, now: float) -> None:
        """Decides once after each new piece of evidence, when it has settled."""
        if now < self._decide_at:
            return
        self._decide(now)
        unexplained = self._history.list_unexplained(now)
        unsettled = [
            crash.settled_at for crash in unexplained if crash.settled_at > now
        ]
        self._decide_at = min(unsettled, default=math.inf)

    def _decide(self, now: float) -> None:
        """Quarantines all parts against which there is enough evidence."""
        while True:
            culprit = crash_analysis.find_culprit(
                self._history.list_unexplained(now),
                self._survivals,
                self._former,
                now,
            )
            if culprit is None:
                return
            crashed_at = max(crash.at for crash in culprit.crashes)
            entry = quarantine_entry.Entry(culprit.part, crashed_at)
            self._quarantine(entry)
            self.outbox.add_entries([entry])
            self.outbox.on_news()
            logger.warning(
                "prompt part quarantined",
                extra={
                    "part": entry.part,
                    "crashed": [crash.upstream for crash in culprit.crashes],
                    "requests": sorted(culprit.requests),
                    "retry_after_s": entry.find_trial_after_s(),
                },
            )

    def _adopt(self, quarantined: crash_reports.QuarantinedPart, now: float) -> None:
        """Applies a quarantine that another router has told."""
        part = quarantined.part
        entry = quarantine_entry.make_entry(quarantined, now)
        if self._survivals.has_survived_since(part, entry.crashed_at):
            self.outbox.add_survival(part, self._survivals.find_began_at(part))
            return
        known = self._entry_by_part.get(part)
        if known is not None:
            known.merge(entry.crashed_at, entry.failed_trials, entry.tried_at)
            return
        if entry.has_ended(now):
            return
        self._quarantine(entry)
        logger.warning(
            "prompt part quarantined by another router", extra={"part": part}
        )

    def _quarantine(self, entry: quarantine_entry.Entry) -> None:
        if len(self._entry_by_part) >= MAX_QUARANTINED:
            oldest = min(self._entry_by_part.values(), key=lambda e: e.crashed_at)
            self._end(oldest, "too many parts are quarantined")
        self._entry_by_part[entry.part] = entry
        self._former.pop(entry.part, None)
        self._watched.add(entry.part)
        for crash in self._history:
            if crash.culprit is None and crash.may_be_due_to(entry.part):
                crash.culprit = entry.part
        self.on_quarantined(entry.part)

    def _clear(self, part: ids.PartKey, began_at: float) -> bool:
        """Ends the suspicion against a part that has survived; returns whether it did.

        Crashes that it seemed to explain need another explanation.

        Args:
            part: The part.
            began_at: When the response that has survived began, in seconds.
        """
        self._former.pop(part, None)
        is_suspected = False
        for crash in self._history:
            if crash.at >= began_at or not crash.may_be_due_to(part):
                continue
            if crash.culprit == part:
                crash.culprit = None
                self._decide_at = -math.inf
            is_suspected = True
        entry = self._entry_by_part.get(part)
        if entry is not None and began_at > entry.crashed_at:
            self._end(entry, "a request with it has survived")
            is_suspected = True
        if is_suspected:
            self._watched.discard(part)
        return is_suspected

    def _expire(self, entry: quarantine_entry.Entry) -> None:
        """Ends a quarantine that no trial could test; one more crash renews it."""
        self._end(entry, "no trial was possible")
        self._former[entry.part] = None
        if len(self._former) > MAX_FORMER:
            self._former.popitem(last=False)

    def _end(self, entry: quarantine_entry.Entry, reason: str) -> None:
        del self._entry_by_part[entry.part]
        self._claims.forget(entry.part)
        logger.warning(
            "quarantine ended",
            extra={
                "part": entry.part,
                "reason": reason,
                "failed_trials": entry.failed_trials,
            },
        )


def list_shared(parts: tuple[calls.PromptPart, ...]) -> list[ids.PartKey]:
    """Returns the parts of a prompt that other requests may share: all but the last."""
    return [crash_reports.make_key(part.id) for part in parts[:-1]]
