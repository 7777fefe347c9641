"""Simulates a load of client accounts on the admission and a few engines."""

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
UNCACHED_RATIO = 0.35
"""The mean part of a request's cost that an engine has to prefill."""


@dataclasses.dataclass(frozen=True)
class Load:
    """The load of one client account.

    Attributes:
        requests_per_s: The rate of new requests; each is retried once if rejected.
        cost: The cost of each request, in tokens.
    """

    requests_per_s: float
    cost: int


@dataclasses.dataclass
class Counts:
    """The requested and admitted tokens of one client account by second.

    Attributes:
        requested_by_second: The cost of its requests, including retries.
        admitted_by_second: The cost of those that were sent.
    """

    requested_by_second: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    admitted_by_second: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class Replay:
    """Engines, the usage of all accounts, and an admission with full knowledge of them.

    Each request goes to a random engine, since routers know the engines' load late.

    Args:
        seed: The seed of all random numbers.
        engines: The number of engines.
        configured_tokens_per_s: The capacity of the configuration.
        estimate_ratio: The estimated prefill rate of the engines, relative to the real
            one.
    """

    def __init__(
        self,
        seed: int,
        engines: int = 8,
        configured_tokens_per_s: float = 600_000,
        estimate_ratio: float = 1.0,
    ):
        self._random = random.Random(seed)
        random.seed(seed)
        self.usage = account_usage.AccountUsage()
        self.usage.capacity = configured_tokens_per_s * account_usage.DECAY_S
        usable = engine_queue.PREFILL_RATIO * engine_queue.INITIAL_RATE * engines
        self.usage.engine_capacity = estimate_ratio * usable * account_usage.DECAY_S
        self._admission = admission.Admission(self.usage)
        self._engines = [
            test_placement.make_candidate(f"engine-{n}") for n in range(engines)
        ]
        self._retries = collections.deque()
        self._sent = 0
        self.counts_by_account = collections.defaultdict(Counts)

    def run(self, load_by_account: dict[ids.AccountId, Load], until_s: float) -> None:
        """Simulates the load from the start to a time, in seconds."""
        for tick in range(int(until_s / TICK_S)):
            now = tick * TICK_S
            arriving = [*self._take_due_retries(now), *self._draw(load_by_account)]
            self._random.shuffle(arriving)
            for account, cost, call in arriving:
                self._send(account, cost, call, now)

    def sum_admitted(self, account: ids.AccountId, first: int, last: int) -> int:
        """Returns the tokens admitted for an account from one second to another."""
        admitted = self.counts_by_account[account].admitted_by_second
        return sum(admitted[second] for second in range(first, last))

    def sum_requested(self, account: ids.AccountId, first: int, last: int) -> int:
        """Returns the tokens requested by an account from one second to another."""
        requested = self.counts_by_account[account].requested_by_second
        return sum(requested[second] for second in range(first, last))

    def _draw(self, load_by_account):
        for account, load in load_by_account.items():
            expected = load.requests_per_s * TICK_S
            while expected > 0:
                if self._random.random() < expected:
                    yield account, load.cost, None
                expected -= 1

    def _take_due_retries(self, now):
        waiting = [retry for retry in self._retries if retry[0] > now]
        due = [retry[1:] for retry in self._retries if retry[0] <= now]
        self._retries = collections.deque(waiting)
        return due

    def _send(self, account, cost, call, now) -> None:
        is_new = call is None
        if is_new:
            self._sent += 1
            call = test_placement.make_call(("session", 500), (f"{self._sent}", 500))
        engine = self._random.choice(self._engines)
        counts = self.counts_by_account[account]
        counts.requested_by_second[int(now)] += cost
        self.usage.add(account, cost, 0, now)
        choice = placement.Choice(engine, call.prompt_tokens, 0.0)
        assessment = self._admission.assess(call, ROUTE, account, choice, now)
        try:
            self._admission.check(call, account, assessment, now)
        except rejections.RejectedError as error:
            if is_new:
                retry_at = now + error.retry_after_s
                self._retries.append((retry_at, account, cost, call))
            return
        counts.admitted_by_second[int(now)] += cost
        self.usage.add(account, 0, cost, now)
        prefill_tokens = int(
            cost * UNCACHED_RATIO * self._random.lognormvariate(-0.5, 1.0)
        )
        engine.queue.add(prefill_tokens, now)
