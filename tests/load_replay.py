"""Replays a load of client accounts against the admission and a few engines."""

import collections
import dataclasses
import random

from teaselsill import (
    account_usage,
    admission,
    engine_queue,
    ids,
    placement,
    rejections,
)
from tests import test_placement, test_routing_table

TICK_S = 0.005
OBJECTIVE_S = 0.4
ROUTE = test_routing_table.make_route(objective_s=OBJECTIVE_S)
UNREAD_RATIO = 0.35
"""What engines have to read of a request's cost, in the mean."""


@dataclasses.dataclass(frozen=True)
class Load:
    """What one client account sends.

    Attributes:
        requests_per_s: How many new requests; each that is rejected comes back once.
        cost: What each costs, in tokens.
    """

    requests_per_s: float
    cost: int


@dataclasses.dataclass
class Counts:
    """What became of the requests of one client account, in tokens by second.

    Attributes:
        asked_by_second: The cost of its requests, with those that came back.
        given_by_second: The cost of those that were sent.
    """

    asked_by_second: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    given_by_second: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class Replay:
    """Engines, the use of all accounts, and an admission that knows all of it.

    A request goes to an engine drawn at random: routers see the engines late.

    Args:
        seed: Of all that is random.
        engines: How many engines.
        stated_tokens_per_s: The capacity that the configuration states.
        estimate_ratio: What the engines are estimated to read, relative to what they
            do.
    """

    def __init__(
        self,
        seed: int,
        engines: int = 8,
        stated_tokens_per_s: float = 600_000,
        estimate_ratio: float = 1.0,
    ):
        self._random = random.Random(seed)
        random.seed(seed)
        self.usage = account_usage.AccountUsage()
        self.usage.capacity = stated_tokens_per_s * account_usage.DECAY_S
        usable = engine_queue.PREFILL_RATIO * engine_queue.INITIAL_RATE * engines
        self.usage.engine_capacity = estimate_ratio * usable * account_usage.DECAY_S
        self._admission = admission.Admission(self.usage)
        self._engines = [
            test_placement.make_candidate(f"engine-{n}") for n in range(engines)
        ]
        self._returning = collections.deque()
        self._sent = 0
        self.counts_by_account = collections.defaultdict(Counts)

    def play(self, load_by_account: dict[ids.AccountId, Load], until_s: float) -> None:
        """Plays the load from the start to a time, in seconds."""
        for tick in range(int(until_s / TICK_S)):
            now = tick * TICK_S
            arriving = [*self._take_returning(now), *self._draw(load_by_account)]
            self._random.shuffle(arriving)
            for account, cost, call in arriving:
                self._ask(account, cost, call, now)

    def sum_given(self, account: ids.AccountId, first: int, last: int) -> int:
        """Returns what an account was given from one second to another, in tokens."""
        given = self.counts_by_account[account].given_by_second
        return sum(given[second] for second in range(first, last))

    def sum_asked(self, account: ids.AccountId, first: int, last: int) -> int:
        """Returns what an account asked for from one second to another, in tokens."""
        asked = self.counts_by_account[account].asked_by_second
        return sum(asked[second] for second in range(first, last))

    def _draw(self, load_by_account):
        for account, load in load_by_account.items():
            wanted = load.requests_per_s * TICK_S
            while wanted > 0:
                if self._random.random() < wanted:
                    yield account, load.cost, None
                wanted -= 1

    def _take_returning(self, now):
        waiting = [back for back in self._returning if back[0] > now]
        due = [back[1:] for back in self._returning if back[0] <= now]
        self._returning = collections.deque(waiting)
        return due

    def _ask(self, account, cost, call, now) -> None:
        is_new = call is None
        if is_new:
            self._sent += 1
            call = test_placement.make_call(("session", 500), (f"{self._sent}", 500))
        engine = self._random.choice(self._engines)
        counts = self.counts_by_account[account]
        counts.asked_by_second[int(now)] += cost
        self.usage.add(account, cost, 0, now)
        choice = placement.Choice(engine, call.prompt_tokens, 0.0)
        evidence = self._admission.assess(call, ROUTE, account, choice, now)
        try:
            self._admission.check(call, account, evidence, now)
        except rejections.RejectedError as error:
            if is_new:
                back_at = now + error.retry_after_s
                self._returning.append((back_at, account, cost, call))
            return
        counts.given_by_second[int(now)] += cost
        self.usage.add(account, 0, cost, now)
        unread = int(cost * UNREAD_RATIO * self._random.lognormvariate(-0.5, 1.0))
        engine.queue.add(unread, now)
