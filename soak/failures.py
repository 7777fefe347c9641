"""Injects the failures of a schedule into a fleet and recovers from them."""

import asyncio
import contextlib
import copy
import itertools
import signal
import time

import aiohttp

from soak import checks, operators, schedule, workload
from standins import fleet

FREEZE_BEFORE_REPLACEMENT_S = 0.3
OVERLAP_S = 2.0
"""How long an agent that was frozen runs beside its replacement."""
LISTING_RETRY_S = 0.2
STOP_SETTLE_S = 1.0
"""How long after an agent's stop it is checked that no calls were cut off."""
LOG_DELAY_S = 1.0
LIST_LAG_S = 5.0
IN_FORCE_TIMEOUT_S = 4.0
"""Within this time every node must use a published configuration."""
LEAVING_GRACE_S = 3.0
"""How long an upstream may still get new requests after it is marked as leaving."""
IDLE_CHECK_S = 1.5
"""For how long it is then checked that the upstream gets no request."""
RESTART_DELAY_S = 0.5


class FailureInjector:
    """Injects the failures of one step after another.

    Args:
        deployment: The fleet.
        balancer: The load balancer, which is told which routers are in service.
        checker: Records violations and router outages.
    """

    def __init__(
        self,
        deployment: fleet.Fleet,
        balancer: workload.Balancer,
        checker: checks.Checker,
    ):
        self._fleet = deployment
        self._balancer = balancer
        self._checker = checker
        self._operators = operators.Operators(deployment)
        self._replacement_numbers = itertools.count(1)
        self._affected_names: set[str] = set()
        self._is_single_failure = False

    async def run_step(self, step: schedule.Step) -> None:
        """Injects the failures of a step and recovers from them."""
        self._affected_names.clear()
        self._is_single_failure = len(step.failures) == 1
        await asyncio.gather(*(self._run(failure) for failure in step.failures))

    async def _run(self, failure: schedule.Failure) -> None:
        await asyncio.sleep(failure.offset_s)
        match failure.kind:
            case schedule.FailureKind.ROUTER_KILLED:
                await self._kill_router(failure)
            case schedule.FailureKind.AGENT_KILLED:
                await self._kill_agent(failure)
            case schedule.FailureKind.ROUTER_FROZEN:
                await self._freeze_router(failure)
            case schedule.FailureKind.AGENT_FROZEN:
                await self._freeze(
                    self._choose_node(fleet.Role.AGENT, failure), failure
                )
            case schedule.FailureKind.AGENT_REPLACED:
                await self._replace_agent(failure)
            case schedule.FailureKind.ROUTER_STOPPED:
                await self._stop_router(failure)
            case schedule.FailureKind.AGENT_STOPPED:
                await self._stop_agent(failure)
            case schedule.FailureKind.LINKS_CUT:
                await self._cut_links(failure)
            case schedule.FailureKind.LINKS_SILENT:
                await self._silence_links(failure)
            case schedule.FailureKind.OPERATORS_RACE:
                await self._race_operators()
            case schedule.FailureKind.UPSTREAM_LEAVES:
                await self._mark_upstream_leaving(failure)
            case _:
                await self._inject_stand_in_fault(failure)

    def _choose_node(self, role: fleet.Role, failure: schedule.Failure) -> fleet.Node:
        """Chooses a running process that no other failure of this step affects."""
        running = [
            node for node in self._checker.list_running_nodes() if node.role is role
        ]
        names = sorted(node.name for node in running)
        candidates = [name for name in names if name not in self._affected_names]
        name = candidates[failure.target % len(candidates)]
        self._affected_names.add(name)
        return self._fleet.node_by_name[name]

    async def _kill_router(self, failure: schedule.Failure) -> None:
        router = self._choose_node(fleet.Role.ROUTER, failure)
        with self._record_outage(router):
            await self._fleet.kill(router)
            self._balancer.remove(router)
        await asyncio.sleep(failure.duration_s)
        await self._restart(router)
        self._balancer.add(router)

    async def _kill_agent(self, failure: schedule.Failure) -> None:
        agent = self._choose_node(fleet.Role.AGENT, failure)
        await self._fleet.kill(agent)
        await asyncio.sleep(failure.duration_s)
        await self._restart(agent)

    async def _freeze_router(self, failure: schedule.Failure) -> None:
        router = self._choose_node(fleet.Role.ROUTER, failure)
        with self._record_outage(router):
            await self._freeze(router, failure)

    async def _freeze(self, node: fleet.Node, failure: schedule.Failure) -> None:
        self._fleet.signal(node, signal.SIGSTOP)
        try:
            await asyncio.sleep(failure.duration_s)
        finally:
            self._fleet.signal(node, signal.SIGCONT)

    async def _replace_agent(self, failure: schedule.Failure) -> None:
        agent = self._choose_node(fleet.Role.AGENT, failure)
        name = f"{agent.name}-r{next(self._replacement_numbers)}"
        replacement = self._fleet.plan_replacement(agent, name)
        self._affected_names.add(name)
        self._fleet.signal(agent, signal.SIGSTOP)
        try:
            await asyncio.sleep(FREEZE_BEFORE_REPLACEMENT_S)
            await self._fleet.start(replacement, is_listed=False)
            await self._fleet.wait_ready([replacement])
            await self._retry_listing(self._fleet.unlist, agent)
            await self._retry_listing(self._fleet.set_listing, replacement, "live")
            await asyncio.sleep(failure.duration_s)
        finally:
            self._fleet.signal(agent, signal.SIGCONT)
        await asyncio.sleep(OVERLAP_S)
        await self._fleet.kill(agent)

    async def _stop_router(self, failure: schedule.Failure) -> None:
        router = self._choose_node(fleet.Role.ROUTER, failure)
        self._balancer.remove(router)
        began_at = time.monotonic()
        status = await self._fleet.stop(router)
        self._check_stop(router, status, began_at)
        if self._is_single_failure:
            name = "router-stop-cuts-nothing"
            self._checker.check_calls_uninterrupted(name, began_at, router.name)
        await self._restart(router)
        self._balancer.add(router)

    async def _stop_agent(self, failure: schedule.Failure) -> None:
        agent = self._choose_node(fleet.Role.AGENT, failure)
        began_at = time.monotonic()
        status = await self._fleet.stop(agent)
        self._check_stop(agent, status, began_at)
        await asyncio.sleep(STOP_SETTLE_S)
        if self._is_single_failure:
            name = "agent-stop-cuts-nothing"
            self._checker.check_calls_uninterrupted(name, began_at, "")
        await self._restart(agent)

    def _check_stop(self, node: fleet.Node, status: int, began_at: float) -> None:
        self._checker.checked_by_name["planned-stop-exits-0"] += 1
        took_s = time.monotonic() - began_at
        print(f"{node.name} stopped in {took_s:.2f} s, status {status}", flush=True)
        if status:
            self._checker.record_violation(
                "planned-stop-exits-0", f"{node.name}: status {status}"
            )

    async def _restart(self, node: fleet.Node) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        await self._fleet.start(node, is_listed=False)
        await self._fleet.wait_ready([node])

    async def _cut_links(self, failure: schedule.Failure) -> None:
        relay = self._relay_of(self._choose_node(fleet.Role.AGENT, failure))
        ends_at = time.monotonic() + failure.duration_s
        while time.monotonic() < ends_at:
            relay.cut()
            await asyncio.sleep(failure.duration_s / 4)

    async def _silence_links(self, failure: schedule.Failure) -> None:
        relay = self._relay_of(self._choose_node(fleet.Role.AGENT, failure))
        holds_new = failure.target % 2 == 0
        relay.hold_new(holds_new)
        relay.silence()
        await asyncio.sleep(failure.duration_s)
        relay.hold_new(False)

    def _relay_of(self, agent: fleet.Node):
        relays = self._fleet.relay_by_agent
        return relays.get(agent.name) or next(iter(relays.values()))

    async def _inject_stand_in_fault(self, failure: schedule.Failure) -> None:
        node, faults = self._choose_fault(failure)
        await self._fleet.set_faults(node, **faults)
        try:
            await asyncio.sleep(failure.duration_s)
        finally:
            await self._fleet.set_faults(node)

    def _choose_fault(self, failure: schedule.Failure):
        log = self._fleet.node_by_name["log"]
        listing = self._fleet.node_by_name["list"]
        match failure.kind:
            case schedule.FailureKind.LOG_DOWN:
                return log, {"down": True}
            case schedule.FailureKind.LOG_SLOW:
                return log, {"delay_s": LOG_DELAY_S}
            case schedule.FailureKind.LOG_REPLIES_LOST:
                return log, {"lose_replies": True}
            case schedule.FailureKind.LIST_DOWN:
                return listing, {"down": True}
            case schedule.FailureKind.LIST_LAGS:
                return listing, {"lag_s": LIST_LAG_S}
        upstreams = self._fleet.with_role(fleet.Role.UPSTREAM)
        node = upstreams[failure.target % len(upstreams)]
        is_engine = "model_engine" in " ".join(node.command)
        match failure.kind:
            case schedule.FailureKind.UPSTREAM_STALLS:
                return node, {"stall": True} if is_engine else {"freeze": True}
            case schedule.FailureKind.UPSTREAM_DROPS:
                return node, (
                    {"drop_connection": True} if is_engine else {"drop_after": True}
                )
        return node, {"refuse": True} if is_engine else {"drop_before": True}

    async def _race_operators(self) -> None:
        race = await self._operators.race()
        self._checker.checked_by_name["one-winner"] += 1
        if len(race.versions) > 1 or (self._is_single_failure and not race.versions):
            self._checker.record_violation("one-winner", str(race))
        if race.versions and self._is_single_failure:
            await self._check_in_force(race.versions[0])

    async def _check_in_force(self, version: int) -> None:
        self._checker.checked_by_name["in-force-within-4s"] += 1
        nodes = self._checker.list_running_nodes()
        late = await self._operators.wait_in_force(version, nodes, IN_FORCE_TIMEOUT_S)
        if late:
            detail = f"version {version} is not in force at {late}"
            self._checker.record_violation("in-force-within-4s", detail)

    async def _mark_upstream_leaving(self, failure: schedule.Failure) -> None:
        upstreams = self._fleet.with_role(fleet.Role.UPSTREAM)
        node = upstreams[failure.target % len(upstreams)]
        document = copy.deepcopy(self._fleet.document)
        document["leaving_upstreams"] = [node.name]
        is_published = await self._operators.publish(document)
        if is_published and self._is_single_failure:
            await asyncio.sleep(LEAVING_GRACE_S)
            before = await self._count_executions(node)
            await asyncio.sleep(IDLE_CHECK_S)
            after = await self._count_executions(node)
            self._checker.checked_by_name["left-upstream-idle"] += 1
            if after != before:
                detail = f"{node.name}: {after - before} requests after 3 s"
                self._checker.record_violation("left-upstream-idle", detail)
        await self._operators.publish(self._fleet.document)

    async def _count_executions(self, node: fleet.Node) -> int:
        page = await self._fleet.get_json(f"{node.url}/admin/executions")
        return sum(page["by_request"].values())

    async def _retry_listing(self, change, *arguments) -> None:
        while True:
            try:
                await change(*arguments)
                return
            except aiohttp.ClientError:
                await asyncio.sleep(LISTING_RETRY_S)

    @contextlib.contextmanager
    def _record_outage(self, router: fleet.Node):
        began_at = time.monotonic()
        index = len(self._checker.outages)
        self._checker.outages.append(checks.Outage(router.name, began_at, float("inf")))
        try:
            yield
        finally:
            ended_at = time.monotonic() + checks.POLL_S
            outage = checks.Outage(router.name, began_at, ended_at)
            self._checker.outages[index] = outage
