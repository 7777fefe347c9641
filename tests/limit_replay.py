"""Replays requests of many routers to one upstream that names a limit.

A virtual clock, with the product's own decisions: who grants permits, and which request
gets the next one. `python -m tests.limit_replay` prints a table of policies and fleets.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from teaselsill import (
    announcements,
    grantor,
    grantor_members,
    ids,
    loop_lag,
    peer_liveness,
    peer_reports,
    permit_queue,
    upstream_list,
)

KEY = upstream_list.UpstreamKey(ids.UpstreamId("u"), 1)
LINK_S = 0.002
"""How long a message between two routers takes."""
SEND_S = 0.001
MAX_WAIT_S = 0.24
"""How long a request waits for a permit."""
REPLY_MARGIN_S = 0.1
WINDOW_S = 4.0
CHECK_S = 0.25
WARM_UP_S = 3.0
"""What is counted begins so long after the limit is first named, as in the rule."""
UPTIME_S = 60


@dataclasses.dataclass(frozen=True)
class Outage:
    """Something that happens to routers.

    Attributes:
        kind: `pause`, `kill`, `stop` (after it was announced) or `cut` (those routers
            from the others; all reach the upstream).
        routers: The numbers of the routers; -1 is the one that grants the permits then.
        at_s: When it begins.
        for_s: How long it lasts.
    """

    kind: str
    routers: tuple[int, ...]
    at_s: float
    for_s: float


@dataclasses.dataclass(frozen=True)
class Load:
    """What is played.

    Attributes:
        routers: How many routers there are.
        limits: Pairs of a time in seconds and the limit from then on, a second.
        requests_per_s: How many requests come to all routers in a second.
        skew: 0 if each router gets as many; else the part that the first one gets.
        duration_s: How long it is played.
        outages: What happens to routers.
        flood: The part of the requests that belong to the first of four accounts.
        seed: The seed.
    """

    routers: int
    limits: tuple[tuple[float, float], ...] = ((0.0, 8.0),)
    requests_per_s: float = 60.0
    skew: float = 0.0
    duration_s: float = 30.0
    outages: tuple[Outage, ...] = ()
    flood: float = 0.25
    seed: int = 1


@dataclasses.dataclass
class Heard:
    """The part of a report that liveness is concluded from."""

    router: ids.InstanceId
    status: peer_reports.RouterStatus
    interval_s: float


class Router:
    """One router: its view of the others, and its part in granting permits."""

    def __init__(self, replay, number, started_at):
        self.number = number
        self.id = ids.InstanceId(f"r{number:03}")
        self.replay = replay
        self.paused_until = 0.0
        self.is_down = False
        self.is_stopping = False
        self.started_at = started_at
        self.measured_at = started_at
        self.lag = loop_lag.LoopLag()
        self.liveness = peer_liveness.PeerLiveness(self.lag)
        self.grantor = grantor.Grantor(
            self.id, self.describe_members, lambda key: self.find_limit(key)
        )
        self.decide = {}
        self.unread = {}

    @property
    def status(self):
        """The status that the router reports."""
        return peer_reports.RouterStatus(
            ids.DataCentre("a"),
            "h",
            0,
            0.0,
            False,
            False,
            uptime_s=int(self.replay.now - self.started_at),
            permit_port=0 if self.is_stopping else 1,
        )

    def describe_members(self, now):
        """Returns the routers as this one sees them."""
        for heard, at in self.unread.values():
            self.liveness.note_report(heard, max(at, self.paused_until))
        self.unread = {}
        return grantor_members.describe(
            self.id,
            self.status,
            self.liveness,
            self.lag,
            len(self.replay.routers),
            now,
        )

    def find_limit(self, key):
        """Returns the limit of an upstream in force."""
        return self.replay.find_limit()

    def ask(self, waiter, reply, key=KEY):
        """Asks this router for a permit; `reply` is called with the decision."""
        self.decide[waiter] = reply
        self.deliver(self.grantor.ask(key, waiter, self.replay.now))

    def settle(self):
        """Grants the permits that there are by now."""
        self.deliver(self.grantor.settle(self.replay.now))

    def deliver(self, decisions):
        """Passes decisions on, and settles again when the next permit is there."""
        for decision in decisions:
            self.decide.pop(decision.waiter)(decision)
        next_s = self.grantor.find_next_s(self.replay.now)
        if next_s < CHECK_S:
            self.replay.after(next_s, lambda: self.replay.run_at(self, self.settle))


class Replay:
    """Plays a load.

    Args:
        load: The load.
        policy: `permits`, `whole` (each router keeps to the whole limit by itself) or
            `share` (each to its part).

    Attributes:
        router_class: Makes the routers.
        arrived_at: When requests reached the upstream, in seconds.
        denied_waits_s: The waits that denied requests were told.
        granted_by_account: How many requests of each account were sent.
    """

    router_class = Router

    def __init__(self, load, policy="permits"):
        self.load = load
        self.policy = policy
        self.random = random.Random(load.seed)
        self.now = 0.0
        self.arrived_at = []
        self.denied_waits_s = []
        self.granted_by_account = collections.Counter()
        self.events = []
        self.numbers = itertools.count()
        self.cut = frozenset()
        self.routers = [
            self.router_class(self, n, -UPTIME_S) for n in range(load.routers)
        ]
        self.bucket_by_router = {}
        self.period_s = peer_reports.find_period_s(load.routers - 1)
        self.interval_s = peer_reports.find_interval_s(load.routers - 1)

    def after(self, delay_s, call):
        """Calls a function later."""
        heapq.heappush(self.events, (self.now + delay_s, next(self.numbers), call))

    def run_at(self, router, call):
        """Calls a function in a router, or once its pause is over."""
        if router.is_down or self.routers[router.number] is not router:
            return
        if self.now < router.paused_until:
            self.after(router.paused_until - self.now, lambda: call())
            return
        call()

    def play(self):
        """Plays the load and returns this replay."""
        for router in self.routers:
            for other in self.routers:
                if other is not router:
                    self.hear(router, other)
            self.start(router)
        for outage in self.load.outages:
            self.after(outage.at_s, lambda outage=outage: self.begin(outage))
        self.request()
        while self.events and self.events[0][0] < self.load.duration_s:
            self.now, _, call = heapq.heappop(self.events)
            call()
        return self

    def start(self, router):
        """Starts the periodic work of a router."""
        if self.policy == "permits":
            self.after(
                self.random.uniform(0, self.period_s), lambda: self.report(router)
            )
            self.after(self.random.uniform(0, CHECK_S), lambda: self.check(router))
        self.after(self.random.uniform(0, loop_lag.PERIOD_S), lambda: self.lag(router))

    def lag(self, router):
        """Measures the delay of a router's event loop; rarely, to be quick."""
        if self.routers[router.number] is not router:
            return
        if self.now >= router.paused_until and not router.is_down:
            delay_s = self.now - router.measured_at - CHECK_S
            steps = int((self.now - router.measured_at) / loop_lag.MAX_STEP_S)
            if delay_s <= loop_lag.INTERRUPTION_S:
                for step in range(steps, 0, -1):
                    router.lag.add(0.0, self.now - step * loop_lag.MAX_STEP_S)
            router.lag.add(max(0.0, delay_s), self.now)
            router.measured_at = self.now
        self.after(CHECK_S, lambda: self.lag(router))

    def check(self, router):
        """Checks periodically what a router is responsible for."""
        if self.routers[router.number] is router:
            if router.grantor.has_queues:
                self.run_at(router, router.settle)
            self.after(CHECK_S, lambda: self.check(router))

    def reaches(self, first, second):
        """Returns whether two routers can exchange messages."""
        return (first.number in self.cut) == (second.number in self.cut)

    def hear(self, router, other):
        """Applies a report of another router."""
        heard = Heard(other.id, other.status, self.interval_s)
        router.unread[other.id] = heard, self.now

    def report(self, router):
        """Sends a router's report to all others."""
        if self.routers[router.number] is not router:
            return
        if not router.is_down and self.now >= router.paused_until:
            heard = Heard(router.id, router.status, self.interval_s)
            for other in self.routers:
                if self.reaches(router, other) and not other.is_down:
                    other.unread[router.id] = heard, self.now
            del router.unread[router.id]
        self.after(self.period_s, lambda: self.report(router))

    def find_limit(self):
        """Returns the limit in force; None if there is none."""
        known = [(at, limit) for at, limit in self.load.limits if at <= self.now]
        if not known or known[-1][1] is None:
            return None
        return announcements.Limit(known[-1][1], since=known[0][0])

    def begin(self, outage):
        """Begins an outage."""
        numbers = outage.routers
        if numbers == (-1,):
            found = self.routers[-1].grantor.find_grantor(KEY, self.now)
            numbers = (int(found[1:]),)
        routers = [self.routers[number] for number in numbers]
        match outage.kind:
            case "cut":
                self.cut = frozenset(numbers)
                self.after(outage.for_s, lambda: setattr(self, "cut", frozenset()))
            case "pause":
                for router in routers:
                    router.paused_until = self.now + outage.for_s
            case "kill":
                for router in routers:
                    router.is_down = True
                    self.after(outage.for_s, lambda each=router: self.restart(each))
            case "stop":
                for router in routers:
                    router.is_stopping = True
                    self.after(1.0, lambda each=router: setattr(each, "is_down", True))
                    self.after(
                        1.0 + outage.for_s, lambda each=router: self.restart(each)
                    )

    def restart(self, router):
        """Replaces a router by a new process."""
        new = self.router_class(self, router.number, self.now)
        self.routers[router.number] = new
        self.start(new)

    def request(self):
        """Has the next request come to a router."""
        self.after(
            self.random.expovariate(self.load.requests_per_s), lambda: self.request()
        )
        is_skewed = self.random.random() < self.load.skew
        number = 0 if is_skewed else self.random.randrange(self.load.routers)
        is_flood = self.random.random() < self.load.flood
        account = "a0" if is_flood else f"a{self.random.randrange(1, 4)}"
        router = self.routers[number]
        self.run_at(router, lambda: self.serve(router, account))

    def serve(self, router, account):
        """Sends a request if it gets a permit."""
        limit = self.find_limit()
        if limit is None:
            self.send(account)
        elif self.policy == "permits":
            self.acquire(router, account)
        else:
            self.spend(router, limit, account)

    def spend(self, router, limit, account):
        """Sends a request if the router's own bucket has a permit now."""
        per_s = limit.per_s / (1 if self.policy == "whole" else self.load.routers)
        most = 1.0 + permit_queue.BURST_S * per_s
        permits, counted_at = self.bucket_by_router.get(router.number, (most, 0.0))
        permits = min(most, permits + per_s * (self.now - counted_at))
        if permits >= 1.0:
            permits -= 1.0
            self.send(account)
        self.bucket_by_router[router.number] = permits, self.now

    def acquire(self, router, account):
        """Asks the responsible router for a permit."""
        found = router.grantor.find_grantor(KEY, self.now)
        if found is None:
            return
        target = self.routers[int(found[1:])]
        waiter = permit_queue.Waiter(account, self.now, self.now + MAX_WAIT_S)
        link_s = 0.0 if target is router else LINK_S
        asked_at = self.now

        def reply(decision):
            if self.reaches(router, target):
                self.after(link_s, lambda: self.run_at(router, lambda: use(decision)))

        def use(decision):
            is_late = self.now - asked_at > MAX_WAIT_S + REPLY_MARGIN_S
            match decision:
                case permit_queue.Granted() if not is_late:
                    self.send(account)
                case permit_queue.Denied(wait_s=wait_s):
                    self.denied_waits_s.append(wait_s)

        def ask():
            target.ask(waiter, reply)

        if self.reaches(router, target):
            self.after(link_s, lambda: self.run_at(target, ask))

    def send(self, account):
        """Sends a request to the upstream."""
        self.granted_by_account[account] += 1
        self.arrived_at.append(self.now + SEND_S)

    def find_most(self):
        """Returns the most requests in a window, after the limit has been known."""
        since = self.load.limits[0][0] + WARM_UP_S
        times = [at for at in self.arrived_at if at >= since]
        most = start = 0
        for end, at in enumerate(times):
            while times[start] <= at - WINDOW_S:
                start += 1
            most = max(most, end - start + 1)
        return most

    def find_longest_pause_s(self):
        """Returns the longest time without a request, after the limit was known."""
        times = [at for at in self.arrived_at if at >= WARM_UP_S]
        return max(late - early for early, late in itertools.pairwise(times))

    def find_bound(self):
        """Returns the most requests that the users allow in a window."""
        highest = max(limit for _, limit in self.load.limits if limit is not None)
        return 1.5 * WINDOW_S * highest + 5

    def find_used_part(self, since=WARM_UP_S, until=None):
        """Returns the part of the limit that was used in a time."""
        until = until or self.load.duration_s
        sent = sum(since <= at < until for at in self.arrived_at)
        return sent / ((until - since) * self.load.limits[0][1])


def main():
    """Prints what each policy does with each fleet."""
    print("policy   routers  traffic   in 4 s  bound  part of the limit used")
    for policy in ("whole", "share", "permits"):
        for routers in (4, 68, 300):
            for name, skew in (("even", 0.0), ("uneven", 0.9)):
                replay = Replay(Load(routers, skew=skew), policy).play()
                print(
                    f"{policy:8} {routers:7}  {name:8} {replay.find_most():7}"
                    f" {replay.find_bound():6.0f}  {replay.find_used_part():.2f}"
                )


if __name__ == "__main__":
    main()
