"""Replays requests of many routers to upstreams that become cold.

A virtual clock, with the product's own decisions: what each router believes of each
upstream, who grants permits, and which request gets the next one. `python -m
tests.cold_replay` prints a table of fleets.
"""

import dataclasses

from teaselsill import cold_start, ids, permit_queue, upstream_list
from tests import limit_replay

POLICY = cold_start.Policy(duration_s=3.0, per_s=13.0)
ALLOWANCE = cold_start.Allowance(overage=1.5, slack=5.0)
HEARTBEAT_S = 1.2
READ_S = 0.25
"""How long it takes at most until an entry is read, and what it says reported."""
WINDOW_S = 1.0
TRIES = 3
"""How many upstreams a request tries."""


@dataclasses.dataclass(frozen=True)
class Turn:
    """An upstream becomes cold.

    Attributes:
        upstream: Its number.
        at_s: When.
        for_s: For how long.
        is_birth: Whether it has just started: then it is listed with its cold time.
            Otherwise nobody knows until its next entry.
    """

    upstream: int
    at_s: float
    for_s: float = POLICY.duration_s
    is_birth: bool = True


@dataclasses.dataclass(frozen=True)
class Load(limit_replay.Load):
    """What is played.

    Attributes:
        upstreams: How many upstreams there are.
        turns: When they become cold.
        deaf: The numbers of routers that neither read entries nor hear the others.
    """

    limits: tuple = ()
    requests_per_s: float = 200.0
    upstreams: int = 3
    turns: tuple[Turn, ...] = (Turn(0, 2.0), Turn(1, 2.0), Turn(2, 2.0))
    deaf: tuple[int, ...] = ()
    duration_s: float = 8.0


class Router(limit_replay.Router):
    """One router, with what it believes of the upstreams."""

    def __init__(self, replay, number, started_at):
        super().__init__(replay, number, started_at)
        self.state_by_key = {}
        for key in replay.keys:
            state = cold_start.ColdState(key.upstream)
            state.policy = POLICY
            state.allowance = ALLOWANCE
            self.state_by_key[key] = state

    def find_limit(self, key):
        """Returns the limit of an upstream in force, as this router knows it."""
        if self.replay.policy == "none":
            return None
        return self.state_by_key[key].find_limit(self.replay.now)

    def tell(self, key, statement):
        """Tells the router what an entry said."""
        self.state_by_key[key].note(statement, self.replay.now)


class Replay(limit_replay.Replay):
    """Plays a load; with the policy `none`, cold upstreams are treated as warm.

    Attributes:
        arrived_at_by_key: When requests reached each upstream, in seconds.
        known_at_by_turn: When all routers in touch knew that an upstream was cold.
    """

    router_class = Router

    def __init__(self, load, policy="permits"):
        self.keys = [
            upstream_list.UpstreamKey(ids.UpstreamId(f"u{n}"), n)
            for n in range(load.upstreams)
        ]
        self.arrived_at_by_key = {key: [] for key in self.keys}
        self.known_at_by_turn = {}
        super().__init__(load, policy)
        self.cut = frozenset(load.deaf)
        for turn in load.turns:
            self.after(turn.at_s, lambda turn=turn: self.turn(turn))

    def start(self, router):
        """Starts the periodic work of a router, and tells it what is known."""
        super().start(router)
        self.after(0.0, lambda: self.watch(router))
        for other in self.routers:
            if other is not router and self.reaches(router, other):
                for key, state in other.state_by_key.items():
                    if state.is_cold(self.now):
                        router.tell(key, state.statement)
                return

    def watch(self, router):
        """Notes periodically whether the routers have changed."""
        if self.routers[router.number] is router:
            self.run_at(router, lambda: router.grantor.watch(self.now))
            self.after(self.period_s, lambda: self.watch(router))

    def turn(self, turn):
        """Makes an upstream cold, and tells the routers with its next entry."""
        key = self.keys[turn.upstream]
        statement = cold_start.Statement(
            self.now + turn.for_s, self.now, cold_start.Source.ENTRY
        )
        written_s = 0.0 if turn.is_birth else self.random.uniform(0, HEARTBEAT_S)
        last_s = 0.0
        for router in self.routers:
            if router.number in self.cut:
                continue
            late_s = 0.0
            if not turn.is_birth:
                late_s = written_s + self.random.uniform(0, READ_S + self.period_s)
            last_s = max(last_s, late_s)
            number = router.number
            self.after(
                late_s,
                lambda number=number: self.routers[number].tell(key, statement),
            )
        self.known_at_by_turn[turn] = self.now + last_s

    def serve(self, router, account):
        """Sends a request to one of the upstreams."""
        keys = self.random.sample(self.keys, min(TRIES, len(self.keys)))
        self.try_next(router, account, keys)

    def try_next(self, router, account, keys):
        """Sends a request to the first upstream that has room for it."""
        if not keys:
            return
        key, *others = keys
        if router.find_limit(key) is None:
            self.send_to(key)
            return
        found = router.grantor.find_grantor(key, self.now)
        if found is None:
            return
        target = self.routers[int(found[1:])]
        link_s = 0.0 if target is router else limit_replay.LINK_S
        waiter = permit_queue.Waiter(
            account, self.now, self.now + limit_replay.MAX_WAIT_S
        )
        statement = router.state_by_key[key].statement
        asked_at = self.now

        def reply(decision):
            if self.reaches(router, target):
                self.after(link_s, lambda: self.run_at(router, lambda: use(decision)))

        def use(decision):
            late_s = self.now - asked_at - limit_replay.MAX_WAIT_S
            match decision:
                case permit_queue.Granted() if late_s <= cold_start.PERMIT_TTL_S:
                    self.send_to(key)
                case permit_queue.Denied():
                    self.try_next(router, account, others)

        def ask():
            target.tell(key, statement)
            target.ask(waiter, reply, key)

        if self.reaches(router, target):
            self.after(link_s, lambda: self.run_at(target, ask))

    def send_to(self, key):
        """Sends a request to an upstream."""
        self.arrived_at_by_key[key].append(self.now + limit_replay.SEND_S)

    def list_arrivals(self, turn):
        """Returns when requests reached an upstream that was cold and known to be."""
        since = self.known_at_by_turn[turn]
        until = turn.at_s + turn.for_s
        times = self.arrived_at_by_key[self.keys[turn.upstream]]
        return [at for at in times if since <= at < until]

    def find_most(self):
        """Returns the most requests in a second at any cold upstream."""
        return max(
            count_most(self.list_arrivals(turn), WINDOW_S)
            for turn in self.known_at_by_turn
        )

    def find_bound(self):
        """Returns the most requests that the users allow in a second."""
        return ALLOWANCE.count(POLICY)

    def find_least_used(self):
        """Returns the least part of its rate that a cold upstream was sent."""
        return min(
            len(self.list_arrivals(turn))
            / (POLICY.per_s * (turn.at_s + turn.for_s - known_at))
            for turn, known_at in self.known_at_by_turn.items()
        )


def count_most(times, window_s):
    """Returns the most times in a window."""
    most = start = 0
    for end, at in enumerate(times):
        while times[start] <= at - window_s:
            start += 1
        most = max(most, end - start + 1)
    return most


def main():
    """Prints what fleets of several sizes send to cold upstreams."""
    print("policy   routers  traffic   in 1 s  bound  part of the rate used")
    for policy in ("none", "permits"):
        for routers in (4, 68, 300):
            for name, skew in (("even", 0.0), ("uneven", 0.9)):
                replay = Replay(Load(routers, skew=skew), policy).play()
                print(
                    f"{policy:8} {routers:7}  {name:8} {replay.find_most():7}"
                    f" {replay.find_bound():6.1f}  {replay.find_least_used():.2f}"
                )


if __name__ == "__main__":
    main()
