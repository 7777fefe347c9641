"""Aggregates the counters of a service over a tree of its agents.

Each agent reports to its parent what was served in its subtree. The root sums the
reports and sends the counters down in digests. Each agent derives the tree from the
instance list alone, without any coordination. A node without a live parent acts as
the root of its subtree. Two roots at the same time are safe: their counters merge by
taking the maximum.
"""

import asyncio
import collections.abc
import random
import time
import typing

from teaselsill import counters, errors, fairness, ids, instances, link, messages

FAN_OUT = 4
"""The maximum number of children of a node."""
PERIOD_S = 1.0
"""The reporting period assumed where the current backlog is unknown."""
MIN_PERIOD_S = 0.25
MAX_PERIOD_S = 4.0
REPORT_BYTES_PER_ACCOUNT = 27
DIGEST_BYTES_PER_ACCOUNT = 16
"""What each client account adds to a report, and to a digest to one child."""
BYTES_PER_S = 1600
"""The bandwidth that a node may use for reports and digests."""
HOP_LEAD_S = 0.1
"""How much earlier than its parent a node reports, so that the parent includes it."""
RETRY_JITTER_S = 1.0
"""A lost parent is retried after a random fraction of this time."""
ORPHAN_GRACE_S = 3.0
"""A node whose parent is unreachable acts as the root after this long.

Until then it keeps its service for the next parent. Service that two roots count at
the same time is merged by taking the maximum, so the smaller part would be lost.
"""

LinkKey = collections.abc.Hashable
SequenceByChild = dict[LinkKey, int]


def parent_of(
    agent: ids.InstanceId,
    agents: collections.abc.Iterable[ids.InstanceId],
    fan_out: int = FAN_OUT,
) -> ids.InstanceId | None:
    """Returns the parent of an agent in the tree, or none for the root.

    A parent's id always sorts before its child's, so no cycle forms even if agents
    see different lists.

    Args:
        agent: The agent, which counts as present even if the list lacks it.
        agents: The live agents of the service.
        fan_out: How many children a node has.
    """
    ordered = sorted({agent, *agents})
    position = ordered.index(agent)
    return ordered[(position - 1) // fan_out] if position else None


def depth_of(
    agent: ids.InstanceId,
    agents: collections.abc.Iterable[ids.InstanceId],
    fan_out: int = FAN_OUT,
) -> int:
    """Returns the number of links between an agent and the root."""
    position = sorted({agent, *agents}).index(agent)
    depth = 0
    while position:
        position = (position - 1) // fan_out
        depth += 1
    return depth


def bytes_per_account(agents: int) -> int:
    """Returns the bytes per client account and period that the busiest node sends.

    The root sends a digest to each child. An interior node also sends a report.
    """
    children = min(FAN_OUT, max(0, agents - 1))
    digests = children * DIGEST_BYTES_PER_ACCOUNT
    has_interior_nodes = agents > 1 + FAN_OUT
    return digests + (REPORT_BYTES_PER_ACCOUNT if has_interior_nodes else 0)


def period_for(backlogged: int, agents: int) -> float:
    """Returns the reporting period that keeps the busiest node within `BYTES_PER_S`.

    The fewer client accounts wait and the smaller the tree, the shorter the period.

    Args:
        backlogged: The number of client accounts that wait.
        agents: The number of agents in the tree.
    """
    shortest_s = backlogged * bytes_per_account(agents) / BYTES_PER_S
    return min(MAX_PERIOD_S, max(MIN_PERIOD_S, shortest_s))


def report_delay_s(depth: int, period_s: float = PERIOD_S) -> float:
    """Returns how long after a digest a node sends its next report.

    The deepest nodes report first and each node reports after its children, so that
    all reports reach the root just before its next digest.
    """
    return max(period_s / 2, period_s - depth * min(HOP_LEAD_S, period_s / 10))


class Node:
    """The state of one agent in the tree, without any I/O.

    Reports and digests on one link arrive in order, or the link is lost. The
    `included` number of a digest acknowledges reports and is translated at each hop:
    a node remembers which of its children's reports each of its own contained.

    Args:
        service_counters: The counters of the service at this agent.
    """

    def __init__(self, service_counters: counters.Counters):
        self._counters = service_counters
        self._sequence = 0
        self._is_new_link = True
        self._reported_backlog = False
        self._last_report_by_child: SequenceByChild = {}
        self._included_by_child: SequenceByChild = {}
        self._backlogged_by_child: dict[LinkKey, frozenset[ids.AccountId]] = {}
        self._contained_by_sequence: dict[int, SequenceByChild] = {}
        self._has_new_reports = False
        self._is_digest_due = False

    @property
    def backlogged(self) -> frozenset[ids.AccountId]:
        """The client accounts that wait anywhere in this node's subtree."""
        return self._counters.backlogged.union(*self._backlogged_by_child.values())

    @property
    def is_busy(self) -> bool:
        """Whether reports to the parent are unacknowledged, so a digest is expected."""
        return bool(self._contained_by_sequence)

    @property
    def is_digest_due(self) -> bool:
        """Whether a digest is due to the children."""
        return self._is_digest_due

    def reset_uplink(self) -> None:
        """Restarts the numbering of reports when the parent link opens or closes."""
        self._counters.merge_unacknowledged()
        for contained in self._contained_by_sequence.values():
            self._included_by_child.update(contained)
        self._contained_by_sequence.clear()
        self._sequence = 0
        self._is_new_link = True

    def next_report(self) -> messages.Report | None:
        """Returns the next report for the parent, or none if nothing has changed."""
        backlogged = self._take_backlogged()
        child_counters = self._take_child_counters()
        has_changes = self._counters.has_pending or child_counters
        if not (has_changes or backlogged or self._reported_backlog):
            return None
        self._sequence += 1
        self._reported_backlog = bool(backlogged)
        self._contained_by_sequence[self._sequence] = dict(self._last_report_by_child)
        if len(self._contained_by_sequence) > counters.MAX_REPORTS_KEPT:
            del self._contained_by_sequence[min(self._contained_by_sequence)]
        served = self._counters.take_pending(self._sequence)
        return messages.Report(
            self._sequence, served, sorted(backlogged), child_counters
        )

    def handle_report(self, child: LinkKey, report: messages.Report) -> None:
        """Adds a child's report.

        Args:
            child: The key of the link that the report arrived on.
            report: The report.
        """
        self._last_report_by_child[child] = report.sequence
        self._backlogged_by_child[child] = frozenset(report.backlogged)
        self._counters.add_pending(report.served_by_account)
        self._counters.add_child_counters(report.known_by_account)
        self._has_new_reports = True

    def remove_child(self, child: LinkKey) -> None:
        """Drops the state of a child's link."""
        self._last_report_by_child.pop(child, None)
        self._included_by_child.pop(child, None)
        self._backlogged_by_child.pop(child, None)
        for contained in self._contained_by_sequence.values():
            contained.pop(child, None)

    def update_as_root(self) -> None:
        """Ends a reporting period as the root."""
        if self._contained_by_sequence:
            self.reset_uplink()
        self._counters.update_as_root(self._take_backlogged())
        self._included_by_child = dict(self._last_report_by_child)
        if self._has_new_reports or self._counters.fleet_backlogged:
            self._is_digest_due = True
        self._has_new_reports = False

    def handle_digest(self, digest: messages.Digest) -> None:
        """Merges a digest from the parent."""
        self._counters.merge_digest(digest.counter_by_account, digest.included)
        for sequence in [
            s for s in self._contained_by_sequence if s <= digest.included
        ]:
            contained = self._contained_by_sequence.pop(sequence)
            self._included_by_child.update(contained)
        self._is_digest_due = True

    def digest_for(self, child: LinkKey) -> messages.Digest:
        """Returns the digest for a child."""
        return messages.Digest(
            self._counters.fleet_counter_by_account,
            self._included_by_child.get(child, 0),
        )

    def mark_digest_sent(self) -> None:
        """Records that the digest was sent to all children."""
        self._is_digest_due = False

    def _take_backlogged(self) -> frozenset[ids.AccountId]:
        own = self._counters.take_backlogged()
        return own.union(*self._backlogged_by_child.values())

    def _take_child_counters(self) -> counters.CounterByAccount:
        """Returns the counters to send up for merging.

        The first report on a link also carries this node's own copy, from which a
        restarted root recovers.
        """
        child_counters = self._counters.take_child_counters()
        if self._is_new_link:
            counters.merge_max(child_counters, self._counters.counter_by_account)
        self._is_new_link = False
        return child_counters


class CounterExchange:
    """Exchanges reports and digests with the parent and the children of one agent.

    The agent runs `run` as a task, passes each `Report` that arrives on an accepted
    link to `handle_report`, and calls `remove_child` when such a link closes.

    Args:
        identity: The identity of this agent.
        secret: The secret shared by all processes of the fleet.
        service: The service that the agent's upstream belongs to.
        list_instances: Returns all listed instances.
        service_counters: The counters of the service at this agent.
        version: Returns this process's configuration version.
        tls: An `ssl.SSLContext` for outgoing links, or none.
        meter: Measures the fairness gap while this agent is the root.
    """

    def __init__(
        self,
        identity: link.Identity,
        secret: bytes,
        service: ids.ServiceName,
        list_instances: typing.Callable[
            [], collections.abc.Iterable[instances.Instance]
        ],
        service_counters: counters.Counters,
        version: typing.Callable[[], ids.Version] = lambda: ids.NO_VERSION,
        tls=None,
        meter: fairness.GapMeter | None = None,
    ):
        self.meter = meter or fairness.GapMeter()
        self._counters = service_counters
        self._merges = service_counters.merges
        self._identity = identity
        self._secret = secret
        self._service = service
        self._list_instances = list_instances
        self._version = version
        self._tls = tls
        self._node = Node(service_counters)
        self._uplink: link.Link | None = None
        self._uplink_lost_at = time.monotonic()
        self._reports_at = 0.0
        self._has_reported = False
        self._digest_received = asyncio.Event()
        self._children: set[link.Link] = set()

    @property
    def parent(self) -> ids.InstanceId | None:
        """The parent that this agent is connected to, or none."""
        return self._uplink.peer.instance if self._uplink else None

    @property
    def period_s(self) -> float:
        """The current reporting period in seconds."""
        return period_for(len(self._counters.fleet_backlogged), self._counters.agents)

    async def run(self) -> None:
        """Reports periodically and maintains the parent link, until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._report_each_period())
                tasks.create_task(self._keep_uplink())
        finally:
            self._drop_uplink()

    def handle_report(self, child: link.Link, message: messages.Report) -> None:
        """Adds a report that arrived on an accepted link."""
        self._children.add(child)
        self._node.handle_report(child, message)

    def remove_child(self, child: link.Link) -> None:
        """Drops the state of an accepted link that has closed."""
        self._children.discard(child)
        self._node.remove_child(child)

    async def _report_each_period(self) -> None:
        while True:
            await self._wait_for_report_time()
            self._counters.agents = len(self._agent_by_id())
            if self._uplink and not self._is_parent(self._uplink):
                self._uplink.abort()
            elif self._uplink:
                self._report()
            elif self._is_root():
                self._node.update_as_root()
                self._measure_gap()
                self._send_digests()

    async def _wait_for_report_time(self) -> None:
        """Waits for one period, or until the time that a received digest sets."""
        self._digest_received.clear()
        self._reports_at = time.monotonic() + self.period_s
        while (left_s := self._reports_at - time.monotonic()) > 0:
            try:
                async with asyncio.timeout(left_s):
                    await self._digest_received.wait()
            except TimeoutError:
                return
            self._digest_received.clear()

    async def _keep_uplink(self) -> None:
        while True:
            parent = self._find_parent()
            if parent is not None:
                await self._run_uplink(parent)
            await asyncio.sleep(random.uniform(0.1, 1.0) * RETRY_JITTER_S)

    async def _run_uplink(self, parent: instances.Instance) -> None:
        """Connects to a parent and receives its digests until the link is lost."""
        try:
            self._uplink = await link.connect(
                parent.host, parent.port, self._secret, self._identity, self._tls
            )
            self._node.reset_uplink()
            self.meter.restart()
            self._report()
            await self._receive_digests(self._uplink)
        except errors.LinkError:
            return
        finally:
            self._drop_uplink()

    async def _receive_digests(self, uplink: link.Link) -> None:
        while not uplink.is_closed:
            received = await uplink.receive(lambda: self._node.is_busy, self._version)
            for message in received:
                if isinstance(message, messages.Digest):
                    self._node.handle_digest(message)
                    self._schedule_report()
            self._send_digests()

    def _schedule_report(self) -> None:
        """Schedules the next report relative to the digest just received.

        A report that is still due after an earlier digest is not postponed again.
        """
        if not self._has_reported:
            return
        self._has_reported = False
        depth = depth_of(self._identity.instance, self._agent_by_id())
        delay_s = report_delay_s(depth, self.period_s)
        self._reports_at = time.monotonic() + delay_s
        self._digest_received.set()

    def _report(self) -> None:
        self._has_reported = True
        report = self._node.next_report()
        if report is not None:
            self._uplink.send(report)

    def _measure_gap(self) -> None:
        if self._counters.merges != self._merges:
            self._merges = self._counters.merges
            self.meter.restart()
        service_by_account = {
            account: units / counters.UNITS_PER_COST
            for account, units in self._counters.fleet_counter_by_account.items()
        }
        self.meter.sample(service_by_account, service_by_account)

    def _send_digests(self) -> None:
        if not self._node.is_digest_due:
            return
        for child in self._children:
            child.send(self._node.digest_for(child))
        self._node.mark_digest_sent()

    def _drop_uplink(self) -> None:
        if self._uplink is not None:
            self._uplink.abort()
            self._uplink = None
            self._uplink_lost_at = time.monotonic()
            self._node.reset_uplink()

    def _is_parent(self, uplink: link.Link) -> bool:
        parent = self._find_parent()
        return parent is not None and parent.id == uplink.peer.instance

    def _is_root(self) -> bool:
        is_orphaned = time.monotonic() - self._uplink_lost_at >= ORPHAN_GRACE_S
        return is_orphaned or self._find_parent() is None

    def _find_parent(self) -> instances.Instance | None:
        agent_by_id = self._agent_by_id()
        return agent_by_id.get(parent_of(self._identity.instance, agent_by_id))

    def _agent_by_id(self) -> dict[ids.InstanceId, instances.Instance]:
        return {
            instance.id: instance
            for instance in self._list_instances()
            if instance.role is instances.Role.AGENT
            and instance.service == self._service
            and instance.state is instances.InstanceState.LIVE
        }
