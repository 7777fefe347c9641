"""Joins the parts of each role into a process, and stops it gracefully."""

import asyncio
import dataclasses
import logging
import signal
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
    metered_log,
    metrics,
    peer_tls,
    registry,
    reports,
    router,
    running,
    sampling,
    servers,
    service_levels,
    settings,
    slot_scheduler,
)

logger = logging.getLogger(__name__)


class Node:
    """What every role has: identity, platform clients, configuration, metrics.

    Args:
        loaded: The process's settings.
        role: What the process does.

    Attributes:
        identity: Who this process is.
        secret: The secret that all peers know.
        log: The log service.
        instance_list: The instance list's client.
        membership: The list of instances.
        follower: The configuration.
        metrics: Takes the metrics.
    """

    def __init__(self, loaded: settings.CommonSettings, role: instances.Role):
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
        self._settings = loaded
        self._started_at = time.monotonic()
        self._tasks: list[asyncio.Task] = []
        self._stop = asyncio.Event()
        self._admin: servers.HttpServer | None = None

    def run_in_background(self, coroutine) -> None:
        """Runs a part of the process until it stops; a part that fails ends it."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._note_done)
        self._tasks.append(task)

    async def start(self, is_ready, fill_report) -> None:
        """Opens the admin port and starts to follow the platform.

        Args:
            is_ready: Tells whether the process takes new work.
            fill_report: Returns the role's own fields of the report.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        state = admin.StatusSource(
            is_ready=lambda: is_ready() and not self._stop.is_set(),
            version=lambda: self.follower.version,
            report=lambda: self._make_report(fill_report()),
            totals=self.metrics.get_totals,
        )
        app = admin.create_app(state)
        self._admin = servers.HttpServer(app, self.host, self._settings.admin_port)
        await self._admin.start()
        self.run_in_background(self.follower.run())
        self.run_in_background(self.membership.run())

    async def wait_stop(self) -> None:
        """Waits until the process is told to stop, or a part of it has failed."""
        await self._stop.wait()
        logger.info("stopping")

    async def stop(self) -> None:
        """Ends the background parts and closes what is open."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._admin.stop()
        await self.log.close()
        await self.instance_list.close()
        self.metrics.close()

    def _note_done(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            logger.error("a part of the process failed", exc_info=task.exception())
            self._stop.set()

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
    """Runs a router until it is told to stop, then finishes every request in hand."""
    node = Node(loaded, instances.Role.ROUTER)
    levels = service_levels.Recorder(time.monotonic)
    context = agent_peer.PeerContext(
        node.identity,
        node.secret,
        agent_peer.AttemptIds(node.identity.incarnation),
        node.follower,
        node.metrics,
        peer_tls.make_client_context(loaded.peer_tls),
    )
    served = router.Router(context, node.membership, loaded.agents_per_service)
    node.follower.subscribe(lambda: levels.set_targets(node.follower.document))
    app = callers.CallerApi(served, levels, node.metrics, loaded.max_body_bytes)
    front = servers.HttpServer(app.create_app(), node.host, loaded.port, loaded.tls)
    await node.start(
        lambda: node.follower.document is not None,
        lambda: _report_router(served, levels),
    )
    node.run_in_background(served.run())
    sampler = sampling.Sampler(node.metrics, served.gauges, served.sent_bytes_by_type)
    node.run_in_background(sampler.run())
    node.run_in_background(handover.fetch_until_ready(node, loaded.peer_tls))
    await front.start()
    await node.wait_stop()
    await asyncio.sleep(loaded.stop_delay_s)
    await front.stop()
    await served.close()
    await node.stop()


async def run_agent(loaded: settings.AgentSettings) -> None:
    """Runs an agent until it is told to stop, then delivers every running answer."""
    node = Node(loaded, instances.Role.AGENT)
    parts = _make_agent(node, loaded)
    serving = parts.agent
    node.membership.subscribe(lambda: _note_listing(node, serving.scheduler))
    listener = await servers.listen(
        serving.accept,
        node.host,
        loaded.port,
        peer_tls.make_server_context(loaded.peer_tls),
    )
    await node.start(
        lambda: not serving.scheduler.is_leaving, lambda: _report_agent(parts, loaded)
    )
    node.run_in_background(parts.exchange.run())
    service = ids.ServiceName(loaded.service)
    watch = gap_watch.GapWatch(
        parts.exchange,
        serving.scheduler,
        lambda: len(node.membership.agents_of(service)),
        node.metrics,
    )
    node.run_in_background(watch.run())
    node.run_in_background(parts.fence.obtain())
    sampler = sampling.Sampler(node.metrics, parts.gauges, serving.sent_bytes_by_type)
    node.run_in_background(sampler.run())
    node.run_in_background(handover.fetch_until_ready(node, loaded.peer_tls))
    await node.wait_stop()
    await serving.leave()
    listener.close()
    await serving.close()
    await node.stop()


async def run_console(loaded: settings.ConsoleSettings) -> None:
    """Runs a console until it is told to stop."""
    node = Node(loaded, instances.Role.CONSOLE)
    app = console.create_app(node.log, node.instance_list)
    front = servers.HttpServer(app, node.host, loaded.port)
    await node.start(lambda: True, dict)
    await front.start()
    logger.info("console listens on %s:%s", node.host, loaded.port)
    await node.wait_stop()
    await front.stop()
    await node.stop()


def _note_listing(node: Node, grants: slot_scheduler.SlotScheduler) -> None:
    """Has an agent grant nothing while the platform lists it as leaving."""
    listed = node.membership.by_id.get(node.identity.instance)
    grants.is_listed_leaving = (
        listed is not None and listed.state is instances.InstanceState.LEAVING
    )
    grants.grant_free_slots()


@dataclasses.dataclass(frozen=True, slots=True)
class AgentParts:
    """The parts that an agent's process is joined of.

    Attributes:
        agent: Serves the peers.
        known: The counters of the service.
        exchange: The place in the digest tree.
        fence: Has the fencing number.
    """

    agent: agent.Agent
    known: counters.Counters
    exchange: aggregation_tree.CounterExchange
    fence: fencing.Fence

    def gauges(self) -> dict[metrics.Metric, float]:
        """Returns the use of the slots and the number of connections."""
        used = self.agent.scheduler.slots
        return {
            metrics.Metric.SLOTS_BUSY: used.running,
            metrics.Metric.SLOTS_TOTAL: used.total,
            metrics.Metric.PEERS_CONNECTED: len(self.agent.scheduler.peers),
        }


def _make_agent(node: Node, loaded: settings.AgentSettings) -> AgentParts:
    service = ids.ServiceName(loaded.service)
    upstream = ids.UpstreamId(loaded.upstream)
    known = counters.Counters(0)
    exchange = aggregation_tree.CounterExchange(
        node.identity,
        node.secret,
        service,
        lambda: node.membership.by_id.values(),
        known,
        lambda: node.follower.version,
        peer_tls.make_client_context(loaded.peer_tls),
        fairness.GapMeter(lambda account: _reach_of(node, account)),
    )
    policy = registry.get(registry.Kind.POLICY, loaded.policy)()
    grants = slot_scheduler.SlotScheduler(
        service, upstream, node.follower, known, policy, node.metrics
    )
    fence = fencing.Fence(node.log, service, upstream, node.identity.incarnation)
    runner = running.Runner(
        registry.get(registry.Kind.UPSTREAM, loaded.upstream_kind)(loaded.upstream_url),
        claims.Ledger(node.log, service, node.identity.incarnation, time.time),
        fence,
        grants,
        node.metrics,
    )
    serving = agent.Agent(
        node.identity,
        node.secret,
        node.follower,
        grants,
        runner,
        known,
        exchange,
        policy,
        node.metrics,
    )
    return AgentParts(serving, known, exchange, fence)


def _reach_of(node: Node, account: ids.AccountId) -> frozenset[str]:
    """Returns the upstreams that a client account is limited to; empty for all."""
    known = node.follower.document
    found = known.account_by_id.get(account) if known else None
    return frozenset(found.upstreams) if found else frozenset()


def _report_router(served: router.Router, levels: service_levels.Recorder):
    count_by_outcome = {o.value: n for o, n in levels.count_by_outcome.items()}
    return {
        "levels": levels.snapshot(),
        "count_by_outcome": count_by_outcome,
        "control_bytes_by_type": served.sent_bytes_by_type(),
    }


def _report_agent(parts: AgentParts, loaded: settings.AgentSettings):
    service = ids.ServiceName(loaded.service)
    used = parts.agent.scheduler.slots
    backlogged = parts.known.backlogged
    counter_by_account = parts.known.counter_by_account
    metered_by_account = parts.known.metered_by_account
    listed = {*backlogged, *counter_by_account, *metered_by_account}
    return {
        "served": [
            reports.AccountCounters(
                service,
                account,
                counter_by_account.get(account, 0) / counters.UNITS_PER_COST,
                account in backlogged,
                metered_by_account.get(account, 0.0),
            )
            for account in sorted(listed)
        ],
        "slots": reports.Slots(used.running, used.total, used.busy_s),
        "upstream": ids.UpstreamId(loaded.upstream),
        "service": service,
        "served_cost": parts.agent.scheduler.served_cost,
        "control_bytes_by_type": parts.agent.sent_bytes_by_type(),
    }
