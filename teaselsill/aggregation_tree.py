"""Carries the counters of a service through a tree of its agents.

Each agent reports to its parent what was served in its subtree. The root adds the
reports up and sends the counters down. The tree follows from the instance list
alone. A node without a live parent does the root's part for its subtree, and two
roots do no harm: their counters merge by the greater value.
"""

import asyncio
import collections.abc
import random
import time
import typing

from teaselsill import counters, errors, fairness, ids, instances, link, messages

FAN_OUT = 4
"""How many children a node of the tree has."""
PERIOD_S = 1.0
"""How often a node reports while it does not know how many client accounts wait."""
MIN_PERIOD_S = 0.25
MAX_PERIOD_S = 4.0
REPORT_BYTES_PER_ACCOUNT = 27
DIGEST_BYTES_PER_ACCOUNT = 16
"""What a client account adds to a report, and to a digest to one child."""
BYTES_PER_S = 1600
"""What a node may send for the counters."""
HOP_LEAD_S = 0.1
"""How much earlier than its parent a node reports, so that the report goes along."""
RETRY_JITTER_S = 1.0
"""A lost parent is tried again after a random part of this time."""
ORPHAN_GRACE_S = 3.0
"""A node whose parent is out of reach does the root's part after this long.

Until then it keeps its service for the next parent: service that two roots count
at the same time merges by the greater value, so the lesser part is lost.
"""

LinkKey = collections.abc.Hashable
SequenceByChild = dict[LinkKey, int]


def parent_of(
    me: ids.InstanceId,
    agents: collections.abc.Iterable[ids.InstanceId],
    fan_out: int = FAN_OUT,
) -> ids.InstanceId | None:
    """Returns the parent of an agent in the tree, or none for the root.

    A parent's id always sorts before its child's, so agents that see different
    lists build no cycle.

    Args:
        me: The agent; it counts as present whatever the list says.
        agents: The live agents of the service.
        fan_out: How many children a node has.
    """
    ordered = sorted({me, *agents})
    position = ordered.index(me)
    return ordered[(position - 1) // fan_out] if position else None


def depth_of(
    me: ids.InstanceId,
    agents: collections.abc.Iterable[ids.InstanceId],
    fan_out: int = FAN_OUT,
) -> int:
    """Returns how many links lie between an agent and the root."""
    position = sorted({me, *agents}).index(me)
    depth = 0
    while position:
        position = (position - 1) // fan_out
        depth += 1
    return depth


def bytes_per_account(agents: int) -> int:
    """Returns what the busiest node of a tree sends for a client account, in bytes.

    A root sends digests to its children; a node between sends a report, too.
    """
    children = min(FAN_OUT, max(0, agents - 1))
    digests = children * DIGEST_BYTES_PER_ACCOUNT
    has_nodes_between = agents > 1 + FAN_OUT
    return digests + (REPORT_BYTES_PER_ACCOUNT if has_nodes_between else 0)


def period_for(backlogged: int, agents: int) -> float:
    """Returns how often the counters go round while some client accounts wait.

    The fewer wait, and the smaller the tree, the more often the budget allows.
    """
    affordable_s = backlogged * bytes_per_account(agents) / BYTES_PER_S
    return min(MAX_PERIOD_S, max(MIN_PERIOD_S, affordable_s))


def report_delay_s(depth: int, period_s: float = PERIOD_S) -> float:
    """Returns how long after a digest a node reports.

    The deepest report first and each of the others after its children, so that what
    all have served reaches the root just before its next digest.
    """
    return max(period_s / 2, period_s - depth * min(HOP_LEAD_S, period_s / 10))


class Node:
    """The bookkeeping of one agent's place in the tree, without input or output.

    Reports and digests on one link arrive in order or the link is lost. `included`
    is translated at each hop: a node remembers which reports of its children each
    of its own reports contained.

    Args:
        known: The counters of the service at this agent.
    """

    def __init__(self, known: counters.Counters):
        self._counters = known
        self._sequence = 0
        self._is_new_link = True
        self._told_backlog = False
        self._taken_by_child: SequenceByChild = {}
        self._included_by_child: SequenceByChild = {}
        self._backlogged_by_child: dict[LinkKey, frozenset[ids.AccountId]] = {}
        self._contained_by_sequence: dict[int, SequenceByChild] = {}
        self._has_news = False
        self._is_digest_due = False

    @property
    def backlogged(self) -> frozenset[ids.AccountId]:
        """The client accounts that wait at this agent or at one below it."""
        return self._counters.backlogged.union(*self._backlogged_by_child.values())

    @property
    def is_busy(self) -> bool:
        """Whether an answer from the parent should come within the next periods."""
        return bool(self._contained_by_sequence)

    @property
    def is_digest_due(self) -> bool:
        """Whether the children should get a digest."""
        return self._is_digest_due

    def reset_uplink(self) -> None:
        """Starts to count the reports to a new parent, or to none."""
        self._counters.merge_unacknowledged()
        for contained in self._contained_by_sequence.values():
            self._included_by_child.update(contained)
        self._contained_by_sequence.clear()
        self._sequence = 0
        self._is_new_link = True

    def next_report(self) -> messages.Report | None:
        """Returns the next report for the parent, or none if there is no news."""
        backlogged = self._take_backlogged()
        known = self._take_known()
        has_news = self._counters.has_pending or known
        if not (has_news or backlogged or self._told_backlog):
            return None
        self._sequence += 1
        self._told_backlog = bool(backlogged)
        self._contained_by_sequence[self._sequence] = dict(self._taken_by_child)
        if len(self._contained_by_sequence) > counters.MAX_REPORTS_KEPT:
            del self._contained_by_sequence[min(self._contained_by_sequence)]
        served = self._counters.take_pending(self._sequence)
        return messages.Report(self._sequence, served, sorted(backlogged), known)

    def handle_report(self, child: LinkKey, report: messages.Report) -> None:
        """Takes a child's report.

        Args:
            child: Stands for the link that the report came on.
            report: The report.
        """
        self._taken_by_child[child] = report.sequence
        self._backlogged_by_child[child] = frozenset(report.backlogged)
        self._counters.add_pending(report.served_by_account)
        self._counters.add_child_counters(report.known_by_account)
        self._has_news = True

    def remove_child(self, child: LinkKey) -> None:
        """Drops what is kept for a child's link."""
        self._taken_by_child.pop(child, None)
        self._included_by_child.pop(child, None)
        self._backlogged_by_child.pop(child, None)
        for contained in self._contained_by_sequence.values():
            contained.pop(child, None)

    def update_as_root(self) -> None:
        """Does the root's part for one period."""
        if self._contained_by_sequence:
            self.reset_uplink()
        self._counters.update_as_root(self._take_backlogged())
        self._included_by_child = dict(self._taken_by_child)
        if self._has_news or self._counters.fleet_backlogged:
            self._is_digest_due = True
        self._has_news = False

    def handle_digest(self, digest: messages.Digest) -> None:
        """Takes the parent's digest."""
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
        """Notes that all children have got the digest."""
        self._is_digest_due = False

    def _take_backlogged(self) -> frozenset[ids.AccountId]:
        own = self._counters.take_backlogged()
        return own.union(*self._backlogged_by_child.values())

    def _take_known(self) -> counters.CounterByAccount:
        known = self._counters.take_child_counters()
        if self._is_new_link:
            counters.merge_max(known, self._counters.counter_by_account)
        self._is_new_link = False
        return known


class CounterExchange:
    """Keeps one agent's place in the digest tree of its service.

    The agent runs `run` as a task, passes each `Report` that comes on an accepted
    link to `take`, and calls `forget` when such a link closes.

    Args:
        me: This process.
        secret: The secret that the fleet's processes share.
        service: The service that the agent's upstream belongs to.
        list_agents: Returns the instances that this process knows of.
        known: The counters of the service at this agent.
        version: Returns this process's configuration version.
        tls: An `ssl.SSLContext` for outgoing links, or none.
        meter: Measures the fairness gap while this agent is the root.
    """

    def __init__(
        self,
        me: link.Identity,
        secret: bytes,
        service: ids.ServiceName,
        list_agents: typing.Callable[[], collections.abc.Iterable[instances.Instance]],
        known: counters.Counters,
        version: typing.Callable[[], ids.Version] = lambda: ids.NO_VERSION,
        tls=None,
        meter: fairness.GapMeter | None = None,
    ):
        self.meter = meter or fairness.GapMeter()
        self._known = known
        self._merges = known.merges
        self._me = me
        self._secret = secret
        self._service = service
        self._list_agents = list_agents
        self._version = version
        self._tls = tls
        self._node = Node(known)
        self._uplink: link.Link | None = None
        self._orphaned_at = time.monotonic()
        self._reports_at = 0.0
        self._has_reported = False
        self._digest_came = asyncio.Event()
        self._children: set[link.Link] = set()

    @property
    def parent(self) -> ids.InstanceId | None:
        """The parent that this agent is linked to, or none."""
        return self._uplink.peer.instance if self._uplink else None

    @property
    def period_s(self) -> float:
        """How often the counters go round now, in seconds."""
        return period_for(len(self._known.fleet_backlogged), self._known.agents)

    async def run(self) -> None:
        """Reports, and keeps the link to the parent, until it is cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._report_each_period())
                tasks.create_task(self._keep_uplink())
        finally:
            self._drop_uplink()

    def handle_report(self, child: link.Link, message: messages.Report) -> None:
        """Takes a report that came on an accepted link."""
        self._children.add(child)
        self._node.handle_report(child, message)

    def remove_child(self, child: link.Link) -> None:
        """Drops what is kept for an accepted link that has closed."""
        self._children.discard(child)
        self._node.remove_child(child)

    async def _report_each_period(self) -> None:
        while True:
            await self._wait_for_turn()
            self._known.agents = len(self._agent_by_id())
            if self._uplink and not self._is_parent(self._uplink):
                self._uplink.abort()
            elif self._uplink:
                self._report()
            elif self._is_root():
                self._node.update_as_root()
                self._measure()
                self._send_digests()

    async def _wait_for_turn(self) -> None:
        """Waits for a period, or for less if a digest sets the time."""
        self._digest_came.clear()
        self._reports_at = time.monotonic() + self.period_s
        while (left_s := self._reports_at - time.monotonic()) > 0:
            try:
                async with asyncio.timeout(left_s):
                    await self._digest_came.wait()
            except TimeoutError:
                return
            self._digest_came.clear()

    async def _keep_uplink(self) -> None:
        while True:
            parent = self._find_parent()
            if parent is not None:
                await self._follow(parent)
            await asyncio.sleep(random.uniform(0.1, 1.0) * RETRY_JITTER_S)

    async def _follow(self, parent: instances.Instance) -> None:
        """Connects to a parent and takes its digests until the link is lost."""
        try:
            self._uplink = await link.connect(
                parent.host, parent.port, self._secret, self._me, self._tls
            )
            self._node.reset_uplink()
            self.meter.restart()
            self._report()
            await self._take_digests(self._uplink)
        except errors.LinkError:
            return
        finally:
            self._drop_uplink()

    async def _take_digests(self, uplink: link.Link) -> None:
        while not uplink.is_closed:
            received = await uplink.receive(lambda: self._node.is_busy, self._version)
            for message in received:
                if isinstance(message, messages.Digest):
                    self._node.handle_digest(message)
                    self._set_time()
            self._send_digests()

    def _set_time(self) -> None:
        """Sets the time of the next report from the digest that has come.

        A report that is late already is not put off again.
        """
        if not self._has_reported:
            return
        self._has_reported = False
        depth = depth_of(self._me.instance, self._agent_by_id())
        delay_s = report_delay_s(depth, self.period_s)
        self._reports_at = time.monotonic() + delay_s
        self._digest_came.set()

    def _report(self) -> None:
        self._has_reported = True
        report = self._node.next_report()
        if report is not None:
            self._uplink.send(report)

    def _measure(self) -> None:
        if self._known.merges != self._merges:
            self._merges = self._known.merges
            self.meter.restart()
        service_by_account = {
            account: units / counters.UNITS_PER_COST
            for account, units in self._known.fleet_counter_by_account.items()
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
            self._orphaned_at = time.monotonic()
            self._node.reset_uplink()

    def _is_parent(self, uplink: link.Link) -> bool:
        parent = self._find_parent()
        return parent is not None and parent.id == uplink.peer.instance

    def _is_root(self) -> bool:
        is_alone = time.monotonic() - self._orphaned_at >= ORPHAN_GRACE_S
        return is_alone or self._find_parent() is None

    def _find_parent(self) -> instances.Instance | None:
        agent_by_id = self._agent_by_id()
        return agent_by_id.get(parent_of(self._me.instance, agent_by_id))

    def _agent_by_id(self) -> dict[ids.InstanceId, instances.Instance]:
        return {
            instance.id: instance
            for instance in self._list_agents()
            if instance.role is instances.Role.AGENT
            and instance.service == self._service
            and instance.state is instances.InstanceState.LIVE
        }
