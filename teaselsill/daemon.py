"""Assembles the process of each role, and runs it until a graceful stop."""

import asyncio
import dataclasses
import logging
import signal
import sys
import time

from teaselsill import (
    admin,
    agent,
    agent_peer,
    aggregation_tree,
    callers,
    claims,
    configuration,
    console,
    counters,
    descriptors,
    fairness,
    fencing,
    gap_watch,
    handover,
    ids,
    instances,
    invariants,
    link,
    logs,
    membership,
    memory_budget,
    metered_log,
    metrics,
    peer_tls,
    process_memory,
    registry,
    reports,
    request_memory,
    router,
    running,
    sampling,
    servers,
    service_levels,
    settings,
    slot_scheduler,
)

REFUSALS_LOG_INTERVAL_S = 1.0
REFUSALS = (
    metrics.Metric.HEADS_REFUSED,
    metrics.Metric.MEMORY_REFUSED,
    metrics.Metric.CONNECTIONS_REFUSED,
    metrics.Metric.CONNECTIONS_EXPIRED,
)

logger = logging.getLogger(__name__)


class Node:
    """The parts that all roles share, such as identity, configuration and metrics.

    Args:
        loaded: The settings of the process.
        role: The role of the process.
        max_body_bytes: The largest request body.

    Attributes:
        identity: The identity of this process.
        secret: The secret that all peers share.
        log: The client of the log service.
        instance_list: The client of the instance list.
        membership: The current instances of the fleet.
        follower: Follows the configuration.
        metrics: Records the metrics.
        host: The address that the ports of this process are bound to.
        budget: The account of the memory of the process.
        descriptors: How many connections each port may have.
    """

    def __init__(
        self,
        loaded: settings.CommonSettings,
        role: instances.Role,
        max_body_bytes: int,
    ):
        logs.configure(loaded.log_level, role, loaded.instance)
        registry.load_built_in()
        incarnation = ids.Incarnation(ids.new_random_id())
        self.identity = link.Identity(
            ids.InstanceId(loaded.instance), incarnation, role
        )
        self.secret = loaded.secret.encode()
        self.metrics = metrics.Metrics(loaded.statsd)
        client = registry.get(registry.Kind.LOG, loaded.log.plugin)(loaded.log.url)
        self.log = metered_log.MeteredLog(client, self.metrics)
        self.instance_list = registry.get(
            registry.Kind.INSTANCES, loaded.instances.plugin
        )(loaded.instances.url)
        self.membership = membership.Membership(self.instance_list)
        self.follower = configuration.Follower(self.log)
        self.host = str(loaded.host)
        limit_bytes = process_memory.find_client_bytes(loaded.memory_mb, max_body_bytes)
        self.budget = memory_budget.MemoryBudget(
            limit_bytes, lambda: self.metrics.count(metrics.Metric.MEMORY_REFUSED)
        )
        self.descriptors = descriptors.divide(loaded.max_fds)
        self._settings = loaded
        self._started_at = time.monotonic()
        self._tasks: list[asyncio.Task] = []
        self._stop_requested = asyncio.Event()
        self._admin_server: servers.HttpServer | None = None

    def run_in_background(self, coroutine) -> None:
        """Runs a coroutine until the process stops.

        If it raises an exception, the process stops.
        """
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._handle_task_done)
        self._tasks.append(task)

    async def start(self, is_ready, make_report_fields) -> None:
        """Opens the admin port and starts following configuration and instance list.

        Args:
            is_ready: Tells whether the process accepts new work.
            make_report_fields: Returns the report fields that only this role has.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        source = admin.StatusSource(
            is_ready=lambda: is_ready() and not self._stop_requested.is_set(),
            version=lambda: self.follower.version,
            report=lambda: self._make_report(make_report_fields()),
            totals=self.metrics.get_totals,
        )
        app = admin.create_app(source)
        self._admin_server = servers.HttpServer(
            app,
            self.host,
            self._settings.admin_port,
            max_connections=self.descriptors.admin,
            sink=self.metrics,
            budget=self.budget,
        )
        await self._admin_server.start()
        self.run_in_background(self._log_refusals())
        self.run_in_background(self.follower.run())
        self.run_in_background(self.membership.run())

    async def wait_stop(self) -> None:
        """Waits for a signal to stop or the failure of a background task."""
        await self._stop_requested.wait()
        logger.info("stopping")

    async def stop(self) -> None:
        """Cancels the background tasks and closes the admin port and the clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._admin_server.stop()
        await self.log.close()
        await self.instance_list.close()
        self.metrics.close()

    async def _log_refusals(self) -> None:
        """Logs how many clients have been refused, at most one line a second."""
        logged = {}
        while True:
            await asyncio.sleep(REFUSALS_LOG_INTERVAL_S)
            counts = {m.name.lower(): self.metrics.get_count(m) for m in REFUSALS}
            if counts != logged and any(counts.values()):
                logger.warning("clients refused", extra=counts)
            logged = counts

    def _handle_task_done(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            logger.error("background task failed, stopping", exc_info=task.exception())
            self._stop_requested.set()

    def _make_report(self, fields) -> reports.NodeReport:
        return reports.NodeReport(
            instance=self.identity.instance,
            role=self.identity.role,
            incarnation=self.identity.incarnation,
            data_centre=ids.DataCentre(self._settings.data_centre),
            version=self.follower.version,
            uptime_s=time.monotonic() - self._started_at,
            violation_count_by_name=dict(invariants.violation_count_by_name),
            **fields,
        )


async def run_router(loaded: settings.RouterSettings) -> None:
    """Runs a router until it is told to stop, then completes requests in progress."""
    node = Node(loaded, instances.Role.ROUTER, loaded.max_body_bytes)
    levels = service_levels.Recorder(time.monotonic)
    context = agent_peer.PeerContext(
        node.identity,
        node.secret,
        agent_peer.AttemptIds(node.identity.incarnation),
        node.follower,
        node.metrics,
        peer_tls.make_client_context(loaded.peer_tls),
    )
    fleet_router = router.Router(context, node.membership, loaded.agents_per_service)
    node.follower.subscribe(lambda: levels.set_targets(node.follower.document))
    api = callers.CallerApi(fleet_router, levels, node.metrics, loaded.max_body_bytes)
    caller_server = servers.HttpServer(
        api.create_app(),
        node.host,
        loaded.port,
        loaded.tls,
        node.descriptors.clients,
        node.metrics,
        node.budget,
    )
    await node.start(
        lambda: node.follower.document is not None,
        lambda: _make_router_fields(fleet_router, levels),
    )
    node.run_in_background(fleet_router.run())
    sampler = sampling.Sampler(
        node.metrics, fleet_router.gauges, fleet_router.sent_bytes_by_type
    )
    node.run_in_background(sampler.run())
    node.run_in_background(handover.fetch_until_ready(node, loaded.peer_tls))
    await caller_server.start()
    await node.wait_stop()
    await asyncio.sleep(loaded.stop_delay_s)
    await caller_server.stop()
    await fleet_router.close()
    await node.stop()


async def run_agent(loaded: settings.AgentSettings) -> None:
    """Runs an agent until it is told to stop, then delivers responses in progress."""
    node = Node(loaded, instances.Role.AGENT, request_memory.MAX_REQUEST_BYTES)
    parts = _make_agent(
        node, loaded, node.descriptors.unauthenticated, node.budget.limit_bytes
    )
    slot_agent = parts.agent
    node.membership.subscribe(lambda: _update_listed_state(node, slot_agent.scheduler))
    listener = await servers.listen(
        slot_agent.accept,
        node.host,
        loaded.port,
        peer_tls.make_server_context(loaded.peer_tls),
    )
    await node.start(
        lambda: not slot_agent.scheduler.is_leaving,
        lambda: _make_agent_fields(parts, loaded),
    )
    node.run_in_background(parts.exchange.run())
    service = ids.ServiceName(loaded.service)
    watch = gap_watch.GapWatch(
        parts.exchange,
        slot_agent.scheduler,
        lambda: len(node.membership.agents_of(service)),
        node.metrics,
    )
    node.run_in_background(watch.run())
    node.run_in_background(parts.fence.obtain())
    sampler = sampling.Sampler(
        node.metrics, parts.gauges, slot_agent.sent_bytes_by_type
    )
    node.run_in_background(sampler.run())
    node.run_in_background(handover.fetch_until_ready(node, loaded.peer_tls))
    await node.wait_stop()
    await slot_agent.leave()
    listener.close()
    await slot_agent.close()
    await node.stop()


async def run_console(loaded: settings.ConsoleSettings) -> None:
    """Runs a console until it is told to stop."""
    node = Node(loaded, instances.Role.CONSOLE, console.MAX_FORM_BYTES)
    app = console.create_app(node.log, node.instance_list)
    page_server = servers.HttpServer(
        app,
        node.host,
        loaded.port,
        max_connections=node.descriptors.clients,
        sink=node.metrics,
        budget=node.budget,
    )
    await node.start(lambda: True, dict)
    await page_server.start()
    logger.info("console listens on %s:%s", node.host, loaded.port)
    await node.wait_stop()
    await page_server.stop()
    await node.stop()


def _update_listed_state(node: Node, scheduler: slot_scheduler.SlotScheduler) -> None:
    """Stops an agent from granting slots while the instance list says it is leaving."""
    listed = node.membership.by_id.get(node.identity.instance)
    scheduler.is_listed_leaving = (
        listed is not None and listed.state is instances.InstanceState.LEAVING
    )
    scheduler.grant_free_slots()


@dataclasses.dataclass(frozen=True, slots=True)
class AgentParts:
    """The parts of an agent's process.

    Attributes:
        agent: Serves the routers and the other agents.
        service_counters: The counters of the service.
        exchange: This agent's node in the aggregation tree.
        fence: Obtains and holds the fencing number.
    """

    agent: agent.Agent
    service_counters: counters.Counters
    exchange: aggregation_tree.CounterExchange
    fence: fencing.Fence

    def gauges(self) -> dict[metrics.Metric, float]:
        """Returns the gauges of the slots and connections."""
        slots = self.agent.scheduler.slots
        return {
            metrics.Metric.SLOTS_BUSY: slots.running,
            metrics.Metric.SLOTS_TOTAL: slots.total,
            metrics.Metric.PEERS_CONNECTED: len(self.agent.scheduler.peers),
        }


def _make_agent(
    node: Node,
    loaded: settings.AgentSettings,
    max_unauthenticated: int = agent.MAX_UNAUTHENTICATED,
    client_bytes: int = sys.maxsize,
) -> AgentParts:
    service = ids.ServiceName(loaded.service)
    upstream = ids.UpstreamId(loaded.upstream)
    service_counters = counters.Counters(0)
    exchange = aggregation_tree.CounterExchange(
        node.identity,
        node.secret,
        service,
        lambda: node.membership.by_id.values(),
        service_counters,
        lambda: node.follower.version,
        peer_tls.make_client_context(loaded.peer_tls),
        fairness.GapMeter(lambda account: _get_allowed_upstreams(node, account)),
    )
    policy = registry.get(registry.Kind.POLICY, loaded.policy)()
    scheduler = slot_scheduler.SlotScheduler(
        service, upstream, node.follower, service_counters, policy, node.metrics
    )
    fence = fencing.Fence(node.log, service, upstream, node.identity.incarnation)
    runner = running.Runner(
        registry.get(registry.Kind.UPSTREAM, loaded.upstream_kind)(loaded.upstream_url),
        claims.Ledger(node.log, service, node.identity.incarnation, time.time),
        fence,
        scheduler,
        node.metrics,
    )
    slot_agent = agent.Agent(
        node.identity,
        node.secret,
        node.follower,
        scheduler,
        runner,
        service_counters,
        exchange,
        policy,
        node.metrics,
        max_unauthenticated,
        client_bytes,
        client_bytes // 2,
    )
    return AgentParts(slot_agent, service_counters, exchange, fence)


def _get_allowed_upstreams(node: Node, account: ids.AccountId) -> frozenset[str]:
    """Returns the upstreams that a client account is limited to; empty for all."""
    current = node.follower.document
    found = current.account_by_id.get(account) if current else None
    return frozenset(found.upstreams) if found else frozenset()


def _make_router_fields(fleet_router: router.Router, levels: service_levels.Recorder):
    """Returns the fields of a report that only routers have."""
    count_by_outcome = {
        outcome.value: count for outcome, count in levels.count_by_outcome.items()
    }
    return {
        "levels": levels.snapshot(),
        "count_by_outcome": count_by_outcome,
        "control_bytes_by_type": fleet_router.sent_bytes_by_type(),
    }


def _make_agent_fields(parts: AgentParts, loaded: settings.AgentSettings):
    """Returns the fields of a report that only agents have."""
    service = ids.ServiceName(loaded.service)
    slots = parts.agent.scheduler.slots
    backlogged = parts.service_counters.backlogged
    counter_by_account = parts.service_counters.counter_by_account
    metered_by_account = parts.service_counters.metered_by_account
    accounts = {*backlogged, *counter_by_account, *metered_by_account}
    return {
        "served": [
            reports.AccountCounters(
                service,
                account,
                counter_by_account.get(account, 0) / counters.UNITS_PER_COST,
                account in backlogged,
                metered_by_account.get(account, 0.0),
            )
            for account in sorted(accounts)
        ],
        "slots": reports.Slots(slots.running, slots.total, slots.busy_s),
        "upstream": ids.UpstreamId(loaded.upstream),
        "service": service,
        "served_cost": parts.agent.scheduler.served_cost,
        "control_bytes_by_type": parts.agent.sent_bytes_by_type(),
    }
