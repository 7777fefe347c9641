"""Simulates the scheduling policies and measures their fairness gap.

Agents with slots serve client accounts whose requests have costs that are unknown
until they end. The simulation runs the real counters, aggregation tree and policies
with simulated requests and a virtual clock. Prints one JSON line per policy and seed.

Example:
    .venv/bin/python scripts/measure_policies.py --seeds 5 --set seen=0.5
"""

import argparse
import concurrent.futures
import dataclasses
import itertools
import json
import random
import statistics

from teaselsill import (
    aggregation_tree,
    cost_estimator,
    counters,
    fairness,
    ids,
    policies,
    registry,
)

TICK_S = 0.1
SAMPLE_S = 1.0
RATE_PER_SLOT = 100.0
"""The cost that one slot serves per second."""
HINT_FACTOR = 4.0
COST_SIGMA = 1.0
LARGEST_COST = 16_000.0
MEAN_COSTS = (200.0, 1600.0)
SHARES = (1.0, 1.0, 1.0, 4.0)
DEFAULT_EXPECTED = 800.0


@dataclasses.dataclass(frozen=True)
class Settings:
    """The parameters of a run.

    Attributes:
        agents: The number of agents.
        slots: The number of slots of each agent.
        accounts: The number of client accounts.
        seen: The fraction of the agents at which a client account's requests wait.
        on_off_s: The mean length of a client account's busy and idle periods, or 0 if
            all are always busy.
        restricted: The number of client accounts that may use the first agent only.
        run_s: The simulated length of the run.
        warm_up_s: The time before the gap is measured.
        period_s: The reporting period of the nodes.
        expect: The source of the expected cost: `hint`, which is wrong by a factor of
            up to 4; `clipped`, a hint limited to within a factor of 4 of the account's
            mean; `mean`; or `default`.
        fan_out: The number of children of a node in the aggregation tree.
        timed: Whether digests schedule the reports; otherwise each node reports on its
            own schedule.
        rejoin_s: How long, in the middle of the run, two halves of the agents are
            partitioned from each other.
    """

    agents: int = 9
    slots: int = 16
    accounts: int = 16
    seen: float = 0.5
    on_off_s: float = 0.0
    restricted: int = 0
    run_s: float = 600.0
    warm_up_s: float = 30.0
    period_s: float = 1.0
    expect: str = "mean"
    fan_out: int = aggregation_tree.FAN_OUT
    timed: bool = True
    rejoin_s: float = 0.0


@dataclasses.dataclass
class Account:
    """A client account with an unlimited number of requests while it is on."""

    id: ids.AccountId
    share: float
    mean_cost: float
    agents: frozenset[int]
    waits_since: float = 0.0
    toggles_at: float = float("inf")
    is_on: bool = True


@dataclasses.dataclass
class Running:
    """A request that occupies a slot."""

    account: Account
    cost: float
    remaining_cost: float
    reserved: float


@dataclasses.dataclass
class Agent:
    """An agent with its copy of the counters and its node in the tree."""

    index: int
    service_counters: counters.Counters
    node: aggregation_tree.Node
    policy: policies.Policy
    estimator: cost_estimator.CostEstimator
    reports_at: float
    depth: int = 0
    has_reported: bool = False
    parent: "Agent | None" = None
    children: list["Agent"] = dataclasses.field(default_factory=list)
    running: list[Running] = dataclasses.field(default_factory=list)


class Run:
    """One run of one policy with one seed."""

    def __init__(self, policy: str, seed: int, settings: Settings):
        self._settings = settings
        self._random = random.Random(seed)
        self._now = 0.0
        self._accounts = self._make_accounts()
        self._agents = [self._make_agent(n, policy) for n in range(settings.agents)]
        self._served_by_account = {account.id: 0.0 for account in self._accounts}
        self._meter = fairness.GapMeter(self._is_restricted)
        self._waiting_since_sample = set()
        self._largest_cost = 0.0
        self._largest_expected = 0.0
        self._max_in_flight = 0
        self._busy = 0
        self._free = 0
        self._build_trees(range(settings.agents))

    def _make_accounts(self) -> list[Account]:
        """Draws client accounts until the unrestricted ones can be served equally."""
        while True:
            accounts = [self._make_account(n) for n in range(self._settings.accounts)]
            unrestricted = accounts[self._settings.restricted :]
            if can_serve_equally(unrestricted, self._agents_without_restricted()):
                return accounts

    def _agents_without_restricted(self) -> list[int]:
        """Lists the agents that restricted client accounts may not use."""
        first = 1 if self._settings.restricted else 0
        return list(range(first, self._settings.agents))

    def _make_account(self, number: int) -> Account:
        settings = self._settings
        share = SHARES[number % len(SHARES)]
        mean = MEAN_COSTS[number // 2 % len(MEAN_COSTS)]
        agent_indexes = self._agents_without_restricted()
        count = max(1, round(settings.seen * len(agent_indexes)))
        seen = self._random.sample(agent_indexes, count)
        if settings.restricted:
            seen = [0] if number < settings.restricted else [0, *seen]
        account = Account(ids.AccountId(f"c{number:02}"), share, mean, frozenset(seen))
        if settings.on_off_s:
            account.toggles_at = self._random.expovariate(1 / settings.on_off_s)
        return account

    def _make_agent(self, number: int, policy: str) -> Agent:
        cap = counters.debt_cap(DEFAULT_EXPECTED, min(SHARES))
        service_counters = counters.Counters(cap, lambda: self._now)
        service_counters.agents = self._settings.agents
        source = random.Random(self._random.random())
        chosen_policy = registry.get(registry.Kind.POLICY, policy)(source)
        reports_at = self._random.uniform(0, self._settings.period_s)
        estimator = cost_estimator.CostEstimator(DEFAULT_EXPECTED)
        node = aggregation_tree.Node(service_counters)
        return Agent(
            number, service_counters, node, chosen_policy, estimator, reports_at
        )

    def _build_trees(self, *sides) -> None:
        for side in sides:
            names = [f"{number:04}" for number in side]
            for number in side:
                parent = aggregation_tree.parent_of(
                    f"{number:04}", names, self._settings.fan_out
                )
                self._agents[number].depth = aggregation_tree.depth_of(
                    f"{number:04}", names, self._settings.fan_out
                )
                self._set_parent(self._agents[number], parent)

    def _set_parent(self, agent: Agent, parent: str | None) -> None:
        if agent.parent is not None:
            agent.parent.children.remove(agent)
            agent.parent.node.remove_child(agent.index)
        agent.parent = self._agents[int(parent)] if parent else None
        agent.node.reset_uplink()
        if agent.parent is not None:
            agent.parent.children.append(agent)

    def _is_restricted(self, account: ids.AccountId) -> bool:
        return int(account[1:]) < self._settings.restricted

    def measure(self) -> dict:
        """Runs the simulation and returns its figures."""
        settings = self._settings
        ticks = round(settings.run_s / TICK_S)
        for tick in range(ticks):
            self._now = tick * TICK_S
            self._toggle_accounts()
            for agent in self._agents:
                self._serve(agent)
                self._fill(agent)
            self._exchange()
            if tick % round(SAMPLE_S / TICK_S) == 0:
                self._sample()
            self._partition_and_rejoin(tick, ticks)
        return self._figures()

    def _partition_and_rejoin(self, tick: int, ticks: int) -> None:
        settings = self._settings
        if not settings.rejoin_s:
            return
        partitioned_ticks = tick - ticks // 3
        if partitioned_ticks == 0:
            middle = settings.agents // 2
            halves = range(middle), range(middle, settings.agents)
            self._build_trees(*halves)
        if partitioned_ticks == round(settings.rejoin_s / TICK_S):
            self._build_trees(range(settings.agents))

    def _toggle_accounts(self) -> None:
        for account in self._accounts:
            if self._now >= account.toggles_at:
                account.is_on = not account.is_on
                account.waits_since = self._now
                self._waiting_since_sample.discard(account.id)
                length = self._random.expovariate(1 / self._settings.on_off_s)
                account.toggles_at = self._now + length

    def _serve(self, agent: Agent) -> None:
        unfinished = []
        for running in agent.running:
            cost = min(running.remaining_cost, RATE_PER_SLOT * TICK_S)
            running.remaining_cost -= cost
            self._meter_cost(agent, running, cost)
            if running.remaining_cost > 0:
                unfinished.append(running)
            else:
                agent.service_counters.release(running.account.id, running.reserved)
                agent.estimator.update(running.account.id, running.cost)
        agent.running = unfinished

    def _meter_cost(self, agent: Agent, running: Running, cost: float) -> None:
        account = running.account
        normalised = cost / account.share
        self._served_by_account[account.id] += normalised
        agent.service_counters.add_served(account.id, normalised)
        agent.policy.add_served(account.id, normalised)
        released = min(running.reserved, normalised)
        if released > 0:
            running.reserved -= released
            agent.service_counters.release(account.id, released)

    def _fill(self, agent: Agent) -> None:
        waiting = [a for a in self._accounts if a.is_on and agent.index in a.agents]
        agent.service_counters.set_backlogged([account.id for account in waiting])
        while waiting and len(agent.running) < self._settings.slots:
            self._start(agent, waiting)
        if waiting:
            self._busy += len(agent.running)
        self._free += self._settings.slots - len(agent.running) if waiting else 0

    def _start(self, agent: Agent, waiting: list[Account]) -> None:
        candidates = [self._make_candidate(agent, account) for account in waiting]
        chosen = agent.policy.choose(candidates, agent.service_counters)
        account = waiting[candidates.index(chosen)]
        account.waits_since = self._now
        cost = self._draw_cost(account)
        reserved = self._expect(agent, account, cost) / account.share
        agent.service_counters.reserve(account.id, reserved)
        agent.running.append(Running(account, cost, cost, reserved))
        self._largest_cost = max(self._largest_cost, cost / account.share)
        self._largest_expected = max(self._largest_expected, reserved)

    def _make_candidate(self, agent: Agent, account: Account) -> policies.Candidate:
        oldest_ms = round((self._now - account.waits_since) * 1000)
        expected = agent.estimator.estimate(account.id) / account.share
        return policies.Candidate(account.id, oldest_ms, expected)

    def _draw_cost(self, account: Account) -> float:
        location = -COST_SIGMA * COST_SIGMA / 2
        factor = self._random.lognormvariate(location, COST_SIGMA)
        return min(LARGEST_COST, max(1.0, account.mean_cost * factor))

    def _expect(self, agent: Agent, account: Account, cost: float) -> float:
        hint = cost * HINT_FACTOR ** self._random.uniform(-1, 1)
        mean = agent.estimator.estimate(account.id)
        match self._settings.expect:
            case "hint":
                return hint
            case "clipped":
                return min(max(hint, mean / HINT_FACTOR), mean * HINT_FACTOR)
            case "mean":
                return mean
        return DEFAULT_EXPECTED

    def _exchange(self) -> None:
        for agent in self._agents:
            if self._now < agent.reports_at:
                continue
            agent.reports_at += self._settings.period_s
            if agent.parent is None:
                agent.node.update_as_root()
                self._send_digests(agent)
                continue
            agent.has_reported = True
            report = agent.node.next_report()
            if report is not None:
                agent.parent.node.handle_report(agent.index, report)

    def _send_digests(self, agent: Agent) -> None:
        if not agent.node.is_digest_due:
            return
        for child in agent.children:
            child.node.handle_digest(agent.node.digest_for(child.index))
            if self._settings.timed and child.has_reported:
                child.has_reported = False
                period_s = self._settings.period_s
                delay_s = aggregation_tree.report_delay_s(child.depth, period_s)
                child.reports_at = self._now + delay_s - TICK_S / 2
            self._send_digests(child)
        agent.node.mark_digest_sent()

    def _sample(self) -> None:
        in_flight = {}
        for agent in self._agents:
            for running in agent.running:
                key = running.account.id
                in_flight[key] = in_flight.get(key, 0) + 1
        self._max_in_flight = max(self._max_in_flight, *in_flight.values(), 0)
        if self._now >= self._settings.warm_up_s:
            self._meter.sample(self._served_by_account, self._waiting_since_sample)
        self._waiting_since_sample = {
            account.id for account in self._accounts if account.is_on
        }

    def _figures(self) -> dict:
        settings = self._settings
        depth = max(agent.depth for agent in self._agents)
        inputs = fairness.BoundInputs(
            in_flight=self._max_in_flight,
            largest_cost=max(self._largest_cost, self._largest_expected),
            digest_age_s=fairness.digest_age_s(
                depth, settings.period_s, aggregation_tree.HOP_LEAD_S
            ),
            rate=settings.agents * settings.slots * RATE_PER_SLOT / min(SHARES),
        )
        gap = self._meter.greatest
        target = min(fairness.gap_bound(inputs), 2 * self._largest_cost)
        return {
            "gap": round(gap),
            "largest_request": round(self._largest_cost),
            "bound": round(fairness.gap_bound(inputs)),
            "target": round(target),
            "met": gap <= target,
            "busy_ratio": round(self._busy / max(1, self._busy + self._free), 4),
        }


def can_serve_equally(accounts: list[Account], agents: list[int]) -> bool:
    """Returns whether busy agents can serve all accounts at the same normalised rate.

    This holds if, for no set of agents, the accounts that can only use these agents
    have more than the set's proportion of all shares.
    """
    if all(account.agents >= set(agents) for account in accounts):
        return True
    total = sum(account.share for account in accounts)
    for size in range(1, len(agents)):
        for agent_indexes in itertools.combinations(agents, size):
            exclusive = [
                a for a in accounts if a.agents & set(agents) <= set(agent_indexes)
            ]
            share = sum(account.share for account in exclusive)
            if share * len(agents) > total * size:
                return False
    return True


def run(policy: str, seed: int, settings: Settings) -> dict:
    """Runs one policy with one seed and returns the result to print."""
    figures = Run(policy, seed, settings).measure()
    return {
        "policy": policy,
        "seed": seed,
        "settings": dataclasses.asdict(settings),
        **figures,
    }


def parse_settings(pairs: list[str]) -> Settings:
    """Returns the default settings with changes given as `FIELD=VALUE`."""
    changes = {}
    for pair in pairs:
        name, _, value = pair.partition("=")
        kind = type(getattr(Settings, name))
        changes[name] = kind(json.loads(value) if kind is bool else value)
    return dataclasses.replace(Settings(), **changes)


def main() -> None:
    """Prints a JSON line for each run, and a summary line for each policy."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--policies", default="")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--set", nargs="*", default=[], metavar="FIELD=VALUE")
    options = parser.parse_args()
    names = [name for name in options.policies.split(",") if name]
    names = names or registry.names(registry.Kind.POLICY)
    settings = parse_settings(options.set)
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        for name in names:
            seeds = range(options.seeds)
            count = len(seeds)
            lines = list(pool.map(run, [name] * count, seeds, [settings] * count))
            for line in lines:
                print(json.dumps(line), flush=True)
            print(json.dumps(summarise(name, lines)), flush=True)


def summarise(name: str, lines: list[dict]) -> dict:
    """Returns the medians and extremes of one policy's runs."""
    gaps = [line["gap"] for line in lines]
    return {
        "policy": name,
        "seeds": len(lines),
        "settings": lines[0]["settings"],
        "median_gap": statistics.median(gaps),
        "worst_gap": max(gaps),
        "median_target": statistics.median(line["target"] for line in lines),
        "met": sum(line["met"] for line in lines),
    }


if __name__ == "__main__":
    main()
