"""Replays requests, and crashes of upstreams, against the quarantine of a few routers.

Upstreams crash at given times, and when they begin to respond to a deadly part.
"""

import dataclasses
import functools
import heapq
import itertools
import random

from teaselsill import (
    calls,
    crash_analysis,
    crash_reports,
    ids,
    open_attempts,
    quarantine,
    trial_claims,
)

Stage = crash_reports.Stage

DEADLY = ids.PartKey("deadly")
FIFTH_CRASH = 5
REPORT_S = 0.05
CONFIRM_S = 0.035
"""How long after a crash a router reports it."""
DEADLY_AFTER_S = 0.05
"""How long after its head the response to a deadly part crashes its upstream."""
DOWN_S = 1.2
"""How long a crashed upstream is down."""


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        share: Its share of all requests.
        firsts: How many first parts there are.
        things: How many second parts there are.
    """

    share: float
    firsts: int
    things: int


KINDS = (Kind(0.23, 1, 97), Kind(0.41, 20, 264), Kind(0.36, 8, 349))


@dataclasses.dataclass(frozen=True)
class Load:
    """What is played.

    Attributes:
        seed: The seed.
        requests_per_s: How many requests arrive in a second.
        duration_s: How long it is played, in seconds.
        routers: How many routers there are.
        upstreams: How many upstreams there are.
        crash_s: Time between two crashes without a cause in the requests; 0 for none.
        crash_ratio: The part of the upstreams that crash together then.
        deadly_ratio: The part of the first kind's requests that have the deadly part.
        deadly_from_s: From when on they come, in seconds.
        hot_ratio: The part of the last kind's requests that are about one thing.
    """

    seed: int
    requests_per_s: float = 120.0
    duration_s: float = 28.0
    routers: int = 4
    upstreams: int = 9
    crash_s: float = 0.0
    crash_ratio: float = 0.33
    deadly_ratio: float = 0.0
    deadly_from_s: float = 4.0
    hot_ratio: float = 0.3


@dataclasses.dataclass(eq=False)
class Request:
    """A request that was sent to an upstream."""

    id: ids.RequestId
    router: quarantine.Quarantine
    parts: tuple[calls.PromptPart, ...]
    head_at: float
    data_at: float
    end_at: float

    @property
    def is_deadly(self):
        """Whether it crashes its upstream."""
        return any(part.id == DEADLY for part in self.parts)

    def find_stage(self, now):
        """Returns the stage of its response; None if it has gone on for too long."""
        if now < self.head_at:
            return Stage.WAITING
        if now - self.head_at > open_attempts.BEGINNING_S:
            return None
        return Stage.DATA if now >= self.data_at else Stage.HEAD


class Replay:
    """Plays a load.

    Attributes:
        crashes_by_deadly: How many crashes there were by deadly requests.
        crashes_before_blame: How many of them had been known everywhere when the deadly
            part was quarantined at some router; None if it never was. Those within
            `crash_analysis.COMMON_CAUSE_S` count as one.
        deadly_after_fifth_crash: How many deadly requests were sent after the fifth
            crash by deadly ones.
        blamed: The sound parts that were quarantined.
        rejected: How many sound requests were rejected.
        trials: How many trials were sent.
    """

    def __init__(self, load):
        self.crashes_by_deadly = 0
        self._crashed_at = []
        self._now = 0.0
        self.crashes_before_blame = None
        self.deadly_after_fifth_crash = 0
        self.blamed = set()
        self.rejected = 0
        self.trials = 0
        self._load = load
        self._source = random.Random(load.seed)
        self._routers = [self._make_router() for _ in range(load.routers)]
        self._requests_by_upstream = {n: set() for n in range(load.upstreams)}
        self._down = set()
        self._born = 0
        self._events = []
        self._numbers = itertools.count()

    def _make_router(self):
        router = quarantine.Quarantine()
        router.on_quarantined = self._note_blamed
        return router

    def run(self):
        """Plays it and returns itself."""
        load = self._load
        self._at(0.0, self._arrive)
        self._at(REPORT_S, self._report)
        if load.crash_s:
            self._at(load.deadly_from_s, self._crash_some)
        while self._events:
            now, _, step = heapq.heappop(self._events)
            if now > load.duration_s:
                return self
            self._now = now
            step(now)
        return self

    def _at(self, when, step):
        heapq.heappush(self._events, (when, next(self._numbers), step))

    def _note_blamed(self, part):
        if part != DEADLY:
            self.blamed.add(part)
        elif self.crashes_before_blame is None:
            known_at = self._now - crash_analysis.SETTLE_S - REPORT_S
            known = [at for at in self._crashed_at if at <= known_at]
            self.crashes_before_blame = count_moments(known)

    def _arrive(self, now):
        self._at(
            now + self._source.expovariate(self._load.requests_per_s), self._arrive
        )
        router = self._source.choice(self._routers)
        self._check(router, self._choose_parts(now), now)

    def _check(self, router, parts, now):
        permission = router.check(parts, now, lambda: trial_claims.CLAIM_S)
        if isinstance(permission, quarantine.Claimed):
            again = functools.partial(self._check, router, parts)
            self._at(now + permission.wait_s, again)
            return
        is_deadly = any(part.id == DEADLY for part in parts)
        if isinstance(permission, quarantine.Blocked):
            self.rejected += not is_deadly
            return
        up = [n for n in self._requests_by_upstream if n not in self._down]
        if not up:
            return
        if isinstance(permission, quarantine.Trial):
            self.trials += 1
            router.note_trial(permission.part, now)
        self._send(router, parts, self._source.choice(up), now)

    def _choose_parts(self, now):
        load, source = self._load, self._source
        shares = [kind.share for kind in KINDS]
        (index,) = source.choices(range(len(KINDS)), shares)
        kind = KINDS[index]
        thing = min(source.randrange(kind.things), source.randrange(kind.things))
        if index == len(KINDS) - 1 and source.random() < load.hot_ratio:
            thing = 0
        names = [f"f{index}-{source.randrange(kind.firsts)}", f"t{index}-{thing}"]
        is_time = now >= load.deadly_from_s
        if index == 0 and is_time and source.random() < load.deadly_ratio:
            names.append(DEADLY)
        return tuple(calls.PromptPart(name, 100) for name in (*names, "own"))

    def _send(self, router, parts, upstream, now):
        head_at = now + self._source.uniform(0.02, 0.1)
        data_at = head_at + self._source.uniform(0.03, 0.1)
        end_at = data_at + self._source.lognormvariate(-0.5, 1.0)
        name = ids.RequestId(f"{next(self._numbers):08x}")
        request = Request(name, router, parts, head_at, data_at, end_at)
        self._requests_by_upstream[upstream].add(request)
        if request.is_deadly:
            self.deadly_after_fifth_crash += self.crashes_by_deadly >= FIFTH_CRASH
            step = functools.partial(self._crash_by, request, upstream)
            self._at(head_at + DEADLY_AFTER_S, step)
            return
        survived_at = min(end_at, head_at + open_attempts.BEGINNING_S)
        self._at(survived_at, functools.partial(self._survive, request, upstream))
        self._at(end_at, functools.partial(self._end, request, upstream))

    def _survive(self, request, upstream, now):
        if request in self._requests_by_upstream[upstream]:
            request.router.note_survival(request.parts, request.head_at)

    def _end(self, request, upstream, now):
        self._requests_by_upstream[upstream].discard(request)

    def _crash_by(self, request, upstream, now):
        if request in self._requests_by_upstream[upstream]:
            self.crashes_by_deadly += 1
            self._crashed_at.append(now)
            self._crash(upstream, now)

    def _crash_some(self, now):
        load = self._load
        up = [n for n in self._requests_by_upstream if n not in self._down]
        count = min(len(up), max(1, int(load.crash_ratio * load.upstreams)))
        for upstream in self._source.sample(up, count):
            self._crash(upstream, now)
        self._at(now + load.crash_s, self._crash_some)

    def _crash(self, upstream, now):
        lost = self._requests_by_upstream[upstream]
        self._requests_by_upstream[upstream] = set()
        self._down.add(upstream)
        self._born += 1
        self._at(now + DOWN_S, lambda now: self._down.discard(upstream))
        for router in self._routers:
            own = [r for r in lost if r.router is router and r.find_stage(now)]
            own.sort(key=lambda r: r.id)
            if own or any(r.router is router for r in lost):
                report = functools.partial(
                    self._tell_crash, router, own, upstream, self._born, now
                )
                self._at(now + CONFIRM_S, report)

    def _tell_crash(self, router, lost, upstream, born, crashed_at, now):
        suspects = [
            router.make_suspect(r.id, r.parts, r.find_stage(crashed_at), now)
            for r in lost
        ]
        age_s = now - crashed_at
        name = ids.UpstreamId(f"u{upstream}")
        if suspects:
            router.note_crash(crash_reports.Crash(name, born, age_s, suspects), now)

    def _report(self, now):
        for router in self._routers:
            news = router.take_news(now, should_repeat=False)
            if news == crash_reports.NO_NEWS:
                continue
            for other in self._routers:
                if other is not router:
                    other.apply(news, now)
        self._at(now + REPORT_S, self._report)


def count_moments(times):
    """Returns how many crashes were not at the same moment as the one before.

    Args:
        times: When upstreams crashed, in seconds, in order.
    """
    pairs = itertools.pairwise([float("-inf"), *times])
    limit_s = crash_analysis.COMMON_CAUSE_S
    return sum(later - earlier > limit_s for earlier, later in pairs)
