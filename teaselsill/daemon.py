"""Joins the parts of each role into a process, and stops it gracefully."""

import asyncio
import contextlib
import logging
import signal
import ssl
import time

from teaselsill import (
    admin,
    agent,
    agent_peer,
    callers,
    claims,
    configuration,
    counters,
    digest,
    ids,
    instances,
    invariants,
    link,
    logs,
    membership,
    metrics,
    registry,
    reports,
    router,
    servers,
    service_levels,
    settings,
    upstream,
)

START_POLL_S = 0.05

logger = logging.getLogger(__name__)


class Node:
    """What every role has: identity, platform clients, configuration, metrics.

    Args:
        loaded: The process's settings.
        role: What the process does.

    Attributes:
        me: Who this process is.
        secret: The secret that all peers know.
        log: The log service.
        membership: The list of instances.
        follower: The configuration.
        metrics: Takes the metrics.
    """

    def __init__(self, loaded: settings.CommonSettings, role: instances.Role):
        logs.configure(loaded.log_level, role, loaded.instance)
        registry.load_built_in()
        incarnation = ids.Incarnation(ids.new_random_id())
        self.me = link.Identity(ids.InstanceId(loaded.instance), incarnation, role)
        self.secret = loaded.secret.encode()
        self.log = registry.get(registry.Kind.LOG, loaded.log.plugin)(loaded.log.url)
        self._instances = registry.get(
            registry.Kind.INSTANCES, loaded.instances.plugin
        )(loaded.instances.url)
        self.membership = membership.Membership(self._instances)
        self.follower = configuration.Follower(self.log)
        self.metrics = metrics.Metrics(loaded.statsd)
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
        state = admin.State(
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
        await self._instances.close()
        self.metrics.close()

    def _note_done(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            logger.error("a part of the process failed", exc_info=task.exception())
            self._stop.set()

    def _make_report(self, fields) -> reports.NodeReport:
        return reports.NodeReport(
            instance=self.me.instance,
            role=self.me.role,
            incarnation=self.me.incarnation,
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
    served = router.Router(
        node.me,
        node.secret,
        node.follower,
        node.membership,
        loaded.agents_per_service,
        _make_client_tls(loaded.peer_tls),
    )
    app = callers.Callers(served, levels, node.metrics, loaded.max_body_bytes)
    node.follower.subscribe(lambda: levels.set_targets(node.follower.document))
    front = servers.HttpServer(app.create_app(), node.host, loaded.port, loaded.tls)
    await node.start(
        lambda: node.follower.is_ready and node.follower.document is not None,
        lambda: _report_router(served, levels),
    )
    node.run_in_background(served.run())
    await front.start()
    logger.info("router listens on %s:%s", node.host, loaded.port)
    await node.wait_stop()
    await asyncio.sleep(loaded.stop_delay_s)
    await front.stop()
    await served.close()
    await node.stop()


async def run_agent(loaded: settings.AgentSettings) -> None:
    """Runs an agent until it is told to stop, then delivers every running answer."""
    node = Node(loaded, instances.Role.AGENT)
    service = ids.ServiceName(loaded.service)
    node.run_in_background(_note_failures(node))
    known = counters.Counters(counters.DEFAULT_DEBT_CAP)
    exchange = digest.Exchange(
        node.me,
        node.secret,
        service,
        lambda: node.membership.agents_of(service),
        known,
        lambda: node.follower.version,
        _make_client_tls(loaded.peer_tls),
    )
    ledger = claims.Ledger(node.log, service, node.me.incarnation, time.time)
    is_ready = lambda: node.follower.document is not None  # noqa: E731
    serving = _Serving()
    await node.start(
        lambda: is_ready() and serving.agent is not None, serving.make_report
    )
    while not is_ready() and not node.is_stopping:
        await asyncio.sleep(START_POLL_S)
