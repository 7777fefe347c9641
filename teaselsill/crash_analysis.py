"""Finds the prompt part that explains a series of crashes of upstreams."""

import collections
import collections.abc
import dataclasses
import math

from teaselsill import crash_reports, ids, part_survivals

MAX_CRASHES = 32
MAX_SUSPECTS = 64
"""The most suspects that are remembered of one crash."""
CRASH_TTL_S = 600.0
"""How long a crash is remembered."""
COMMON_CAUSE_S = 0.05
"""Upstreams that crash within this time of each other count as one crash, since an
outage of their hosts is the likelier cause."""
MAX_COMMON_CAUSE_S = 0.15
"""The most time between the first and the last of a series of such crashes."""
MAX_CHANCE_MATCHES = 0.03
"""A part is not blamed if more harmless parts than this are expected to be in as many
crashes by chance."""
MIN_CRASHES = 2
"""How many crashes quarantine a part of which no survival is known."""
MIN_CRASHES_AFTER_SURVIVAL = 4
"""How many crashes quarantine a part of which a survival before them is known."""
MIN_SPAN_AFTER_SURVIVAL_S = 1.0
"""The least time between the first and the last of those crashes, in which harmless
requests with this part would have survived."""
MAX_SUSPECTS_PER_CRASH = 3.0
"""More requests with a part mean that it is just common: the first one that begins
crashes the upstream."""
CERTAIN_CRASHES = 4
"""With so many crashes, one of several equally likely parts is chosen."""
SETTLE_S = 0.12
"""How long after a crash the reports of other routers about it are awaited: the request
that has caused it may be theirs, and others of it may be bystanders."""


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """What all routers have seen of one crash.

    Attributes:
        upstream: The upstream.
        born_ms: When the crashed incarnation started, in Unix milliseconds.
        at: When it crashed, in seconds.
        suspect_by_request: The requests that may have caused it.
        culprit: The prompt part that explains it, or None.
    """

    upstream: ids.UpstreamId
    born_ms: int
    at: float
    suspect_by_request: dict[ids.RequestId, crash_reports.Suspect] = dataclasses.field(
        default_factory=dict
    )
    culprit: ids.PartKey | None = None

    @property
    def settled_at(self) -> float:
        """When all routers should have told what they have seen of it, in seconds."""
        return self.at + SETTLE_S

    def add(self, suspects: list[crash_reports.Suspect]) -> None:
        """Adds the suspects that a router has reported, first those that had begun."""
        for suspect in suspects:
            self.suspect_by_request[suspect.request] = suspect
        if len(self.suspect_by_request) > MAX_SUSPECTS:
            known = self.suspect_by_request.values()
            kept = sorted(known, key=lambda suspect: not suspect.has_begun)
            self.suspect_by_request = {s.request: s for s in kept[:MAX_SUSPECTS]}

    def list_suspects(self) -> list[crash_reports.Suspect]:
        """Returns the requests that had begun, or all if none had."""
        suspects = list(self.suspect_by_request.values())
        return [suspect for suspect in suspects if suspect.has_begun] or suspects

    def count_stages(self) -> collections.Counter[crash_reports.Stage]:
        """Returns how many of the suspects of `list_suspects` had come how far."""
        return collections.Counter(suspect.stage for suspect in self.list_suspects())

    def group_suspects(self) -> dict[ids.PartKey, list[crash_reports.Suspect]]:
        """Returns the suspects of `list_suspects` by the parts of their prompts."""
        suspects_by_part: dict[ids.PartKey, list[crash_reports.Suspect]] = {}
        for suspect in self.list_suspects():
            for part in dict.fromkeys(part.key for part in suspect.parts):
                suspects_by_part.setdefault(part, []).append(suspect)
        return suspects_by_part

    def may_be_due_to(self, part: ids.PartKey) -> bool:
        """Returns whether a suspect's prompt has a part, begun or not."""
        return any(
            part == known.key
            for suspect in self.suspect_by_request.values()
            for known in suspect.parts
        )


@dataclasses.dataclass(slots=True)
class Evidence:
    """The crashes that a prompt part may have caused.

    Attributes:
        part: The prompt part.
        crashes: The crashes, oldest first.
        requests: The suspects of these crashes whose prompts have the part.
        occurrences: The same, where a request counts once for each crash.
        depth: The position of the part in a prompt, from 0.
        has_survived: Whether a router knew a survival before one of the crashes.
        moments: The positions of the crashes in the series of moments.
        rivals: How many requests may have caused each of the crashes: all, or those
            whose response had a head and no data if one with the part is among them.
        crashes_with_head: In how many of the crashes the response to one of these
            requests had a head and no data.
    """

    part: ids.PartKey
    crashes: list[CrashRecord] = dataclasses.field(default_factory=list)
    requests: set[ids.RequestId] = dataclasses.field(default_factory=set)
    occurrences: int = 0
    depth: int = 0
    has_survived: bool = False
    moments: set[int] = dataclasses.field(default_factory=set)
    rivals: list[int] = dataclasses.field(default_factory=list)
    crashes_with_head: int = 0

    def add(
        self,
        crash: CrashRecord,
        moment: int,
        stages: collections.Counter[crash_reports.Stage],
        suspects: list[crash_reports.Suspect],
    ) -> None:
        """Adds the suspects of a crash whose prompts have the part.

        Args:
            crash: The crash.
            moment: The position of its moment in the series of moments.
            stages: How many suspects of the crash had come how far.
            suspects: Those that have the part.
        """
        self.crashes.append(crash)
        has_head = any(s.stage is crash_reports.Stage.HEAD for s in suspects)
        self.crashes_with_head += has_head
        self.moments.add(moment)
        head = crash_reports.Stage.HEAD
        self.rivals.append(stages[head] if has_head else stages.total())
        self.occurrences += len(suspects)
        for suspect in suspects:
            self.requests.add(suspect.request)
            keys = [part.key for part in suspect.parts]
            self.depth = keys.index(self.part)
            self.has_survived |= suspect.parts[self.depth].has_survived

    @property
    def rank(self) -> tuple[int, int, int, int]:
        """How well the part explains the crashes; higher is better.

        A part that crashes upstreams is in many crashes, each time in a request whose
        response has just begun, rarely in more than one, and in different requests.
        """
        independent = self.count_independent_crashes()
        excess = self.occurrences - len(self.crashes)
        return independent, self.crashes_with_head, -excess, len(self.requests)

    def count_independent_crashes(self) -> int:
        """Returns the number of crashes that did not happen at the same moment."""
        return len(self.moments)

    def find_chance_matches(self, moments: int, share: float) -> float:
        """Returns how many harmless parts are expected to fit as well by chance.

        At each moment, the upstreams that crash run a random choice of the requests
        that are beginning everywhere. All series of moments count that are at most as
        long as the one in which the part was found as many times.

        Args:
            moments: The number of moments at which upstreams have crashed.
            share: The share of all requests that have the part.
        """
        matches = len(self.moments)
        if matches < MIN_CRASHES:
            return math.inf
        length = max(self.moments) - min(self.moments) + 1
        series = math.comb(length - 1, matches - 1) * (moments - matches + 1)
        harmless = 1.0 / share
        return series * harmless * math.prod(share * count for count in self.rivals)

    def find_span_s(self) -> float:
        """Returns the time between the first and the last crash, in seconds."""
        times = [crash.at for crash in self.crashes]
        return max(times) - min(times)


class CrashHistory:
    """The last crashes of upstreams."""

    def __init__(self):
        self._record_by_incarnation: collections.OrderedDict[
            tuple[ids.UpstreamId, int], CrashRecord
        ] = collections.OrderedDict()

    def __iter__(self) -> collections.abc.Iterator[CrashRecord]:
        return iter(list(self._record_by_incarnation.values()))

    def add(self, crash: crash_reports.Crash, now: float) -> CrashRecord:
        """Adds what a router has seen of a crash and returns all that is known of it.

        Args:
            crash: The crash.
            now: The time, in seconds.
        """
        incarnation = crash.upstream, crash.born_ms
        at = now - crash.age_s
        record = self._record_by_incarnation.get(incarnation)
        if record is None:
            record = CrashRecord(crash.upstream, crash.born_ms, at)
            self._record_by_incarnation[incarnation] = record
        record.at = min(record.at, at)
        record.add(crash.suspects)
        if len(self._record_by_incarnation) > MAX_CRASHES:
            self._record_by_incarnation.popitem(last=False)
        return record

    def list_unexplained(self, now: float) -> list[CrashRecord]:
        """Returns the crashes for which no cause is known, oldest first.

        Args:
            now: The time, in seconds.
        """
        return sorted(
            (c for c in self if c.culprit is None and now - c.at <= CRASH_TTL_S),
            key=lambda crash: crash.at,
        )


def find_culprit(
    crashes: list[CrashRecord],
    survivals: part_survivals.PartSurvivals,
    former: collections.abc.Container[ids.PartKey],
    now: float,
) -> Evidence | None:
    """Returns the evidence against the part that explains most crashes, if it suffices.

    Crashes of which other routers may not have told yet do not count.

    Of parts that explain the crashes equally well because the same requests have them,
    the last one in the prompt is chosen, since fewest requests share it. If different
    requests have them, further crashes are awaited.

    Args:
        crashes: The unexplained crashes, oldest first.
        survivals: The parts that upstreams have responded to without a crash.
        former: Parts whose quarantine has ended without a successful trial. One more
            crash suffices for them.
        now: The time, in seconds.
    """
    moments = group_by_moment([c for c in crashes if now >= c.settled_at])
    sufficient = [
        evidence
        for evidence in _collect(moments, survivals)
        if _is_sufficient(evidence, len(moments), survivals, former, now)
    ]
    if not sufficient:
        return None
    best = max(sufficient, key=lambda evidence: (evidence.rank, evidence.depth))
    is_ambiguous = any(
        other.rank == best.rank and other.requests != best.requests
        for other in sufficient
    )
    if is_ambiguous and best.count_independent_crashes() < CERTAIN_CRASHES:
        return None
    return best


def group_by_moment(crashes: list[CrashRecord]) -> list[list[CrashRecord]]:
    """Returns the crashes in groups of those that may have a common cause.

    Args:
        crashes: The crashes.
    """
    moments: list[list[CrashRecord]] = []
    for crash in sorted(crashes, key=lambda crash: crash.at):
        moment = moments[-1] if moments else None
        if (
            moment is not None
            and crash.at - moment[-1].at <= COMMON_CAUSE_S
            and crash.at - moment[0].at <= MAX_COMMON_CAUSE_S
        ):
            moment.append(crash)
        else:
            moments.append([crash])
    return moments


def _collect(
    moments: list[list[CrashRecord]], survivals: part_survivals.PartSurvivals
) -> collections.abc.Iterable[Evidence]:
    """Returns the evidence against each part, without crashes before a survival.

    If several upstreams crash at one moment, that is no evidence against a part which
    cannot have crashed all of them.
    """
    evidence_by_part: dict[ids.PartKey, Evidence] = {}
    for number, moment in enumerate(moments):
        for crash in moment:
            stages = crash.count_stages()
            for part, suspects in crash.group_suspects().items():
                if survivals.has_survived_since(part, crash.at):
                    continue
                others = (other for other in moment if other is not crash)
                if not all(other.may_be_due_to(part) for other in others):
                    continue
                evidence = evidence_by_part.setdefault(part, Evidence(part))
                evidence.add(crash, number, stages, suspects)
    return evidence_by_part.values()


def _is_sufficient(
    evidence: Evidence,
    moments: int,
    survivals: part_survivals.PartSurvivals,
    former: collections.abc.Container[ids.PartKey],
    now: float,
) -> bool:
    if evidence.part in former:
        return True
    if evidence.occurrences > MAX_SUSPECTS_PER_CRASH * len(evidence.crashes):
        return False
    share = survivals.find_share(evidence.part, now)
    if evidence.find_chance_matches(moments, share) > MAX_CHANCE_MATCHES:
        return False
    independent = evidence.count_independent_crashes()
    if evidence.has_survived or survivals.has_survived(evidence.part, now):
        return (
            independent >= MIN_CRASHES_AFTER_SURVIVAL
            and evidence.find_span_s() >= MIN_SPAN_AFTER_SURVIVAL_S
        )
    return independent >= MIN_CRASHES
