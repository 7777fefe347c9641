import asyncio
import dataclasses
import logging
import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import configuration, configuration_fold, document, ids, log
from tests import configurations

NODES = 3


def setUpModule():
    logging.disable(logging.WARNING)


def tearDownModule():
    logging.disable(logging.NOTSET)


@dataclasses.dataclass(frozen=True)
class AppendPublish:
    records_back: int
    is_valid: bool


@dataclasses.dataclass(frozen=True)
class AppendSnapshot:
    records_back: int


@dataclasses.dataclass(frozen=True)
class AppendGarbage:
    data: bytes


@dataclasses.dataclass(frozen=True)
class Expire:
    count: int


@dataclasses.dataclass(frozen=True)
class Read:
    node: int


@dataclasses.dataclass(frozen=True)
class Restart:
    node: int


@dataclasses.dataclass(frozen=True)
class ApplyFromPeer:
    sender: int
    receiver: int


NODE = strategies.integers(0, NODES - 1)
BACK = strategies.one_of(strategies.just(0), strategies.integers(0, 6))
ACTION = strategies.one_of(
    strategies.builds(AppendPublish, BACK, strategies.booleans()),
    strategies.builds(AppendSnapshot, BACK),
    strategies.builds(AppendGarbage, strategies.binary(max_size=8)),
    strategies.builds(Expire, strategies.integers(1, 4)),
    strategies.builds(Read, NODE),
    strategies.builds(Restart, NODE),
    strategies.builds(ApplyFromPeer, NODE, NODE),
)


class Simulation:
    """Nodes that read one stream, and a model of the expected state.

    Attributes:
        expected: The version and text before the first record and after each record.
    """

    def __init__(self):
        self.log = configurations.InterleavingLog()
        self.nodes = [configuration_fold.ConfigurationState() for _ in range(NODES)]
        self.expected = [(ids.NO_VERSION, b"")]
        self.earliest = 0

    @property
    def end(self):
        return len(self.expected) - 1

    async def perform(self, action):
        """Performs an action; returns the lowest allowed version of each node."""
        versions = [node.version for node in self.nodes]
        match action:
            case AppendPublish(records_back, is_valid):
                await self.publish(max(0, self.end - records_back), is_valid)
            case AppendSnapshot(records_back):
                as_of = max(-1, self.end - 1 - records_back)
                version, text = self.expected[as_of + 1]
                record = configuration_fold.Snapshot(version, as_of, text, "", 0.0)
                await self.append(configuration_fold.pack(record), self.expected[-1])
            case AppendGarbage(data):
                await self.append(data, self.expected[-1])
            case Expire(count):
                self.earliest = min(self.earliest + count, self.end)
                self.log.expire(configuration_fold.STREAM, self.earliest)
            case Read(node):
                await configuration.catch_up(self.log, self.nodes[node], {})
            case Restart(node):
                versions[node] = ids.NO_VERSION
                self.nodes[node] = configuration_fold.ConfigurationState()
            case ApplyFromPeer(sender, receiver):
                sent = self.nodes[sender]
                self.nodes[receiver].apply_from_peer(sent.version, sent.text, 1.0)
        return versions

    async def publish(self, index_of_base, is_valid):
        based_on, _ = self.expected[index_of_base]
        text = configurations.text_of(f"a{self.end}") if is_valid else b"{}"
        is_accepted = is_valid and based_on == self.expected[-1][0]
        state = (self.end, text) if is_accepted else self.expected[-1]
        await self.append(configurations.pack_publish(based_on, text), state)

    async def append(self, data, state):
        await self.log.append(configuration_fold.STREAM, data)
        self.expected.append(state)


def make_two_versions():
    """Returns a state that has accepted the publications at the offsets 0 and 1."""
    node = configuration_fold.ConfigurationState()
    for offset, name in ((0, "a"), (1, "b")):
        text = configurations.text_of(name)
        node.apply(log.Record(offset, configurations.pack_publish(offset - 1, text)))
    return node


class ConfigurationStateTest(unittest.TestCase):
    @hypothesis.settings(max_examples=600)
    @hypothesis.given(strategies.lists(ACTION, max_size=40))
    def test_nodes_agree_with_the_model(self, actions):
        asyncio.run(self.check(actions))

    async def check(self, actions):
        simulation = Simulation()
        async with asyncio.timeout(20):
            for action in actions:
                versions = await simulation.perform(action)
                for before, node in zip(versions, simulation.nodes, strict=True):
                    self.assertGreaterEqual(node.version, before)
                    self.check_state(simulation, node)
                fresh = configuration_fold.ConfigurationState()
                await configuration.catch_up(simulation.log, fresh, {})
                self.check_state(simulation, fresh)

    def check_state(self, simulation, node):
        state = (node.version, node.text)
        self.assertIn(state, simulation.expected)
        if node.is_anchored:
            self.assertEqual(simulation.expected[node.next_offset], state)

    @hypothesis.given(
        strategies.integers(-1, 3), strategies.integers(-1, 3), strategies.booleans()
    )
    def test_wrong_snapshot_changes_no_state(self, version, as_of, is_valid):
        node = make_two_versions()
        text = configurations.text_of("wrong") if is_valid else b"{"
        record = configuration_fold.Snapshot(version, as_of, text, "", 0.0)
        node.apply(log.Record(2, b"garbage"))
        node.apply(log.Record(3, b"garbage"))
        node.apply(log.Record(4, configuration_fold.pack(record)))
        self.assertEqual(5, node.next_offset)
        self.assertEqual((1, configurations.text_of("b")), (node.version, node.text))
        node.skip_expired(9)
        node.apply(log.Record(9, configuration_fold.pack(record)))
        self.assertEqual((1, configurations.text_of("b")), (node.version, node.text))

    def test_impossible_snapshot_is_no_anchor(self):
        for version, as_of in ((0, 8), (9, 9), (10, 9), (9, 8)):
            node = make_two_versions()
            node.skip_expired(9)
            record = configuration_fold.Snapshot(
                version, as_of, configurations.text_of("wrong"), "", 0.0
            )
            node.apply(log.Record(9, configuration_fold.pack(record)))
            self.assertEqual((1, False), (node.version, node.is_anchored))

    def test_snapshot_of_the_same_version_changes_no_text(self):
        node = configuration_fold.ConfigurationState()
        node.apply(
            log.Record(0, configurations.pack_publish(-1, configurations.text_of("a")))
        )
        node.skip_expired(9)
        record = configuration_fold.Snapshot(
            0, 8, configurations.text_of("wrong"), "", 0.0
        )
        node.apply(log.Record(9, configuration_fold.pack(record)))
        self.assertEqual(
            (configurations.text_of("a"), True), (node.text, node.is_anchored)
        )

    def test_peer_that_contradicts_the_stream_is_ignored(self):
        node = configuration_fold.ConfigurationState()
        node.apply(
            log.Record(0, configurations.pack_publish(-1, configurations.text_of("a")))
        )
        node.apply(
            log.Record(1, configurations.pack_publish(-1, configurations.text_of("b")))
        )
        self.assertFalse(node.apply_from_peer(1, configurations.text_of("b"), 1.0))
        self.assertEqual(0, node.version)

    @hypothesis.given(strategies.binary(max_size=300))
    def test_undecodable_record_raises_a_record_error(self, data):
        try:
            configuration_fold.unpack(data)
        except configuration_fold.RecordError:
            return

    def test_large_document_raises_a_record_error(self):
        with self.assertRaises(configuration_fold.RecordError):
            configurations.pack_publish(
                -1, bytes(configuration_fold.MAX_DOCUMENT_BYTES + 1)
            )


class InvariantTest(unittest.TestCase):
    def test_older_version_raises_and_is_counted(self):
        node = configuration_fold.ConfigurationState()
        node.apply_from_peer(5, configurations.text_of("a"), 1.0)
        with self.assertRaises(configuration_fold.RevertedConfigurationError):
            node._set(
                4,
                configurations.text_of("b"),
                document.parse(configurations.text_of("b")),
                "",
            )
        self.assertEqual((5, 1), (node.version, node.reverts))
