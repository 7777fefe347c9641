import asyncio
import contextlib
import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import aggregation_tree, counters, ids, instances, link, messages

ACCOUNT = "a"
COUNT = 7
FAN_OUT = 2
UNITS = counters.UNITS_PER_COST


class ParentTest(unittest.TestCase):
    def test_small_service_is_a_star(self):
        agents = ["a3", "a1", "a5", "a2", "a4"]
        parents = [
            aggregation_tree.parent_of(agent, agents) for agent in sorted(agents)
        ]
        self.assertEqual([None, "a1", "a1", "a1", "a1"], parents)

    @hypothesis.given(
        strategies.sets(strategies.text(min_size=1), min_size=1),
        strategies.text(min_size=1),
    )
    def test_parents_sort_before_children_whatever_the_list(self, agents, agent):
        parent = aggregation_tree.parent_of(agent, agents)
        self.assertEqual(parent is None, agent <= min(agents))
        if parent is not None:
            self.assertLess(parent, agent)


class TimingTest(unittest.TestCase):
    @hypothesis.given(strategies.integers(1, 200), strategies.integers(1, 5))
    def test_children_report_before_their_parents(self, count, fan_out):
        agents = [f"{number:04}" for number in range(count)]
        for agent in agents[1:]:
            parent = aggregation_tree.parent_of(agent, agents, fan_out)
            depth = aggregation_tree.depth_of(agent, agents, fan_out)
            self.assertEqual(
                depth - 1, aggregation_tree.depth_of(parent, agents, fan_out)
            )
            earlier = aggregation_tree.report_delay_s(
                depth
            ) < aggregation_tree.report_delay_s(depth - 1)
            self.assertTrue(
                earlier
                or depth * aggregation_tree.HOP_LEAD_S > aggregation_tree.PERIOD_S / 2
            )

    def test_fewer_waiting_accounts_shorten_the_period(self):
        periods = [
            aggregation_tree.period_for(count, 21) for count in (0, 1, 8, 28, 280)
        ]
        self.assertEqual(sorted(periods), periods)
        self.assertEqual(aggregation_tree.MIN_PERIOD_S, periods[0])
        self.assertEqual(aggregation_tree.MAX_PERIOD_S, periods[-1])

    def test_no_node_sends_more_than_the_budget(self):
        for agents, count in ((3, 16), (4, 16), (5, 16), (21, 8), (21, 28)):
            sent = count * aggregation_tree.bytes_per_account(agents)
            period_s = aggregation_tree.period_for(count, agents)
            self.assertLessEqual(round(sent / period_s), aggregation_tree.BYTES_PER_S)

    def test_smaller_tree_has_a_shorter_period(self):
        self.assertLess(
            aggregation_tree.period_for(16, 3), aggregation_tree.period_for(16, 5)
        )
        self.assertLess(
            aggregation_tree.period_for(16, 5), aggregation_tree.period_for(16, 6)
        )

    def test_digest_does_not_postpone_a_report_that_is_due(self):
        identity = link.Identity("agent-1", "i", instances.Role.AGENT)
        service_counters = counters.Counters(1.0)
        exchange = aggregation_tree.CounterExchange(
            identity, SECRET, SERVICE, list, service_counters
        )
        exchange._has_reported = True
        exchange._schedule_report()
        due_at = exchange._reports_at
        exchange._schedule_report()
        self.assertEqual(due_at, exchange._reports_at)


def make_report(sequence, units, backlogged=(ACCOUNT,)):
    return messages.Report(sequence, {ACCOUNT: units}, list(backlogged), {})


class InteriorNodeTest(unittest.TestCase):
    def setUp(self):
        self.service_counters = counters.Counters(1e12)
        self.node = aggregation_tree.Node(self.service_counters)
        self.node.reset_uplink()
        self.node.handle_report("child", make_report(1, 10))
        self.node.next_report()
        self.node.handle_report("child", make_report(2, 5))

    def test_digest_includes_only_what_the_included_report_contained(self):
        self.node.next_report()
        self.node.handle_digest(messages.Digest({ACCOUNT: 10}, 1))
        self.assertEqual(
            messages.Digest({ACCOUNT: 10}, 1), self.node.digest_for("child")
        )
        self.node.handle_digest(messages.Digest({ACCOUNT: 15}, 2))
        self.assertEqual(2, self.node.digest_for("child").included)

    def test_unacknowledged_reports_count_as_included_on_a_new_link(self):
        self.node.reset_uplink()
        self.node.handle_digest(messages.Digest({ACCOUNT: 0}, 0))
        self.assertEqual(
            messages.Digest({ACCOUNT: 10}, 1), self.node.digest_for("child")
        )

    def test_backlog_of_a_closed_link_is_dropped(self):
        self.assertEqual({ACCOUNT}, self.node.backlogged)
        self.node.remove_child("child")
        self.assertEqual(set(), self.node.backlogged)


class Fleet:
    """A simulated fleet whose links can break and lose messages in flight."""

    def __init__(self):
        self.served = 0
        self.nodes = {}
        self.parents = {}
        self.queues = {}
        self.links = 0
        for number in range(COUNT):
            self.restart(number)
        self.connect(set(range(COUNT)))

    def restart(self, number):
        service_counters = counters.Counters(1e12, lambda: 0.0)
        service_counters.set_backlogged([ACCOUNT])
        self.nodes[number] = (service_counters, aggregation_tree.Node(service_counters))
        for child, (parent, _) in list(self.parents.items()):
            if number in (child, parent):
                self.cut(child)

    def cut(self, child):
        parent, key = self.parents.pop(child)
        self.queues.pop(key)
        self.nodes[parent][1].remove_child(key)
        self.nodes[child][1].reset_uplink()

    def connect(self, side):
        """Connects the nodes of a side in one tree, and the others in another."""
        for members in (side, set(range(COUNT)) - side):
            for number in members:
                names = [str(member) for member in members]
                parent = aggregation_tree.parent_of(str(number), names, FAN_OUT)
                self.attach(number, parent)

    def attach(self, number, name):
        parent = None if name is None else int(name)
        if number in self.parents:
            if self.parents[number][0] == parent:
                return
            self.cut(number)
        if parent is not None:
            self.links += 1
            self.parents[number] = (parent, self.links)
            self.queues[self.links] = ([], [])
            self.nodes[number][1].reset_uplink()

    def serve(self, number, units):
        self.served += units
        self.nodes[number][0].add_served(ACCOUNT, units / UNITS)

    def tick(self, number):
        node = self.nodes[number][1]
        if number not in self.parents:
            node.update_as_root()
            self.send_digests(number)
            return
        report = node.next_report()
        if report is not None:
            self.queues[self.parents[number][1]][0].append(report)

    def send_digests(self, number):
        node = self.nodes[number][1]
        if not node.is_digest_due:
            return
        for parent, key in self.parents.values():
            if parent == number:
                self.queues[key][1].append(node.digest_for(key))
        node.mark_digest_sent()

    def deliver(self, number):
        if number not in self.parents:
            return
        parent, key = self.parents[number]
        up, down = self.queues[key]
        if up:
            self.nodes[parent][1].handle_report(key, up.pop(0))
        if down:
            self.nodes[number][1].handle_digest(down.pop(0))
            self.send_digests(number)

    def quiesce(self):
        for _ in range(8):
            for number in range(COUNT):
                self.tick(number)
            for _ in range(12):
                for number in range(COUNT):
                    self.deliver(number)

    def estimates(self):
        return {
            number: round(service_counters.estimate(ACCOUNT) * UNITS)
            for number, (service_counters, _) in self.nodes.items()
        }


NODES = strategies.integers(0, COUNT - 1)


@dataclasses.dataclass(frozen=True)
class Step:
    name: str
    node: int
    units: int = 0
    side: frozenset = frozenset()


STEP_WITHOUT_FAULT = strategies.builds(
    Step,
    strategies.sampled_from(["serve", "tick", "tick", "deliver", "deliver"]),
    NODES,
    strategies.integers(1, 50),
)
FAULT = strategies.builds(
    Step,
    strategies.sampled_from(["restart", "cut", "connect"]),
    NODES,
    side=strategies.frozensets(NODES),
)


def apply(fleet, step):
    match step.name:
        case "serve":
            fleet.serve(step.node, step.units)
        case "connect":
            fleet.connect(step.side)
        case "cut":
            if step.node in fleet.parents:
                fleet.cut(step.node)
        case other:
            getattr(fleet, other)(step.node)


class TreeTest(unittest.TestCase):
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(strategies.lists(STEP_WITHOUT_FAULT, max_size=80))
    def test_without_faults_all_service_counts_exactly_once(self, steps):
        fleet = Fleet()
        for step in steps:
            apply(fleet, step)
            self.assertLessEqual(max(fleet.estimates().values()), fleet.served)
        fleet.quiesce()
        self.assertEqual({fleet.served}, set(fleet.estimates().values()))

    @hypothesis.settings(max_examples=600)
    @hypothesis.given(
        strategies.lists(
            STEP_WITHOUT_FAULT | STEP_WITHOUT_FAULT | STEP_WITHOUT_FAULT | FAULT,
            max_size=120,
        )
    )
    def test_with_faults_estimates_never_fall_nor_exceed_what_was_served(self, steps):
        fleet = Fleet()
        for step in steps:
            before = fleet.estimates()
            apply(fleet, step)
            after = fleet.estimates()
            self.assertLessEqual(max(after.values()), fleet.served)
            for number in range(COUNT):
                if (step.name, step.node) != ("restart", number):
                    self.assertGreaterEqual(after[number], before[number])
        greatest = max(fleet.estimates().values())
        fleet.connect(set(range(COUNT)))
        fleet.quiesce()
        estimates = set(fleet.estimates().values())
        self.assertEqual(1, len(estimates))
        self.assertLessEqual(greatest, min(estimates))

    def test_restarted_root_recovers_from_its_childrens_copies(self):
        fleet = Fleet()
        fleet.serve(5, 40)
        fleet.quiesce()
        fleet.restart(0)
        fleet.connect(set(range(COUNT)))
        fleet.quiesce()
        self.assertEqual({40}, set(fleet.estimates().values()))

    def test_two_roots_merge_by_maximum(self):
        fleet = Fleet()
        fleet.serve(0, 100)
        fleet.quiesce()
        fleet.connect({0, 1, 2})
        fleet.serve(1, 10)
        fleet.serve(6, 30)
        fleet.quiesce()
        self.assertEqual({110, 130}, set(fleet.estimates().values()))
        fleet.connect(set(range(COUNT)))
        fleet.quiesce()
        self.assertEqual({130}, set(fleet.estimates().values()))


class IdleTest(unittest.TestCase):
    def test_idle_nodes_send_nothing_once_the_backlog_is_reported(self):
        fleet = Fleet()
        fleet.serve(3, 5)
        fleet.quiesce()
        for service_counters, _ in fleet.nodes.values():
            service_counters.set_backlogged([])
        fleet.quiesce()
        for number in range(COUNT):
            fleet.tick(number)
        self.assertFalse(any(up or down for up, down in fleet.queues.values()))


LIST_LAG_S = 1.2
SECRET = b"0123456789abcdef0123456789abcdef"
SERVICE = ids.ServiceName("assistant-pool")


class FakeAgent:
    """The parts of an agent that the exchange needs: a port and a receive loop."""

    def __init__(self, name, listed):
        self.identity = link.Identity(name, ids.new_random_id(), instances.Role.AGENT)
        self.service_counters = counters.Counters(1e12)
        self.links = set()
        self.listed = listed
        self.exchange = aggregation_tree.CounterExchange(
            self.identity, SECRET, SERVICE, lambda: listed, self.service_counters
        )

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.instance = instances.Instance(
            self.identity.instance,
            self.identity.role,
            "couva",
            "127.0.0.1",
            port,
            service=SERVICE,
        )
        self.listed.append(self.instance)
        self.task = asyncio.create_task(self.exchange.run())

    async def serve(self, reader, writer):
        child = await link.accept(reader, writer, SECRET, self.identity)
        self.links.add(child)
        with contextlib.suppress(link.PeerClosedError):
            while not child.is_closed:
                for message in await child.receive(lambda: False, lambda: -1):
                    if isinstance(message, messages.Report):
                        self.exchange.handle_report(child, message)
        self.exchange.remove_child(child)
        child.abort()

    async def stop(self):
        self.task.cancel()
        self.server.close()
        for child in self.links:
            child.abort()
        await asyncio.gather(self.task, return_exceptions=True)


def estimates_of(agents):
    return {agent.service_counters.estimate(ACCOUNT) for agent in agents}


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def wait_until(self, read, expected):
        for _ in range(300):
            if read() == expected:
                return
            await asyncio.sleep(0.05)
        self.assertEqual(expected, read())

    async def start(self, count, listed):
        agents = [FakeAgent(f"agent-{number}", listed) for number in range(count)]
        for agent in agents:
            await agent.start()
            agent.service_counters.set_backlogged([ACCOUNT, "b"])
        return agents

    async def test_root_measures_the_gap_of_the_fleet(self):
        agents = await self.start(2, [])
        meter = agents[0].exchange.meter
        await self.wait_until(
            lambda: agents[1].service_counters.fleet_backlogged, {ACCOUNT, "b"}
        )
        agents[1].service_counters.add_served("b", 9)
        await self.wait_until(lambda: meter.greatest, 9)
        self.assertEqual(2, agents[0].service_counters.agents)
        for agent in agents:
            await agent.stop()

    async def test_nothing_is_lost_when_the_root_dies_and_the_list_lags(self):
        listed = []
        agents = await self.start(6, listed)
        for agent in agents:
            agent.service_counters.add_served(ACCOUNT, 10)
        await self.wait_until(lambda: estimates_of(agents), {60})
        self.assertEqual("agent-1", agents[5].exchange.parent)
        root, *others = agents
        await root.stop()
        for agent in others:
            agent.service_counters.add_served(ACCOUNT, 1)
        await asyncio.sleep(LIST_LAG_S)
        listed.remove(root.instance)
        await self.wait_until(lambda: estimates_of(others), {65})
        for agent in others:
            await agent.stop()
