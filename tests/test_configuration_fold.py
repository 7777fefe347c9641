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
    back: int
    is_valid: bool


@dataclasses.dataclass(frozen=True)
class AppendRestate:
    back: int


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
class Offer:
    sender: int
    receiver: int


NODE = strategies.integers(0, NODES - 1)
BACK = strategies.one_of(strategies.just(0), strategies.integers(0, 6))
ACTION = strategies.one_of(
    strategies.builds(AppendPublish, BACK, strategies.booleans()),
    strategies.builds(AppendRestate, BACK),
    strategies.builds(AppendGarbage, strategies.binary(max_size=8)),
    strategies.builds(Expire, strategies.integers(1, 4)),
    strategies.builds(Read, NODE),
    strategies.builds(Restart, NODE),
    strategies.builds(Offer, NODE, NODE),
)


class Simulation:
    """Nodes that read one stream, beside a model of what the records lead to.

    Attributes:
        states: The version and text after each record, and before the first one.
    """

    def __init__(self):
        self.log = configurations.SlowLog()
        self.folds = [configuration_fold.ConfigurationState() for _ in range(NODES)]
        self.states = [(ids.NO_VERSION, b"")]
        self.earliest = 0

    @property
    def end(self):
        return len(self.states) - 1

    async def perform(self, action):
        """Performs an action and returns the least versions that nodes may have."""
        versions = [fold.version for fold in self.folds]
        match action:
            case AppendPublish(back, is_valid):
                await self.publish(max(0, self.end - back), is_valid)
            case AppendRestate(back):
                as_of = max(-1, self.end - 1 - back)
                version, text = self.states[as_of + 1]
                record = configuration_fold.Snapshot(version, as_of, text, "", 0.0)
                await self.append(configuration_fold.pack(record), self.states[-1])
            case AppendGarbage(data):
                await self.append(data, self.states[-1])
            case Expire(count):
                self.earliest = min(self.earliest + count, self.end)
                self.log.expire(configuration_fold.STREAM, self.earliest)
            case Read(node):
                await configuration.catch_up(self.log, self.folds[node], {})
            case Restart(node):
                versions[node] = ids.NO_VERSION
                self.folds[node] = configuration_fold.ConfigurationState()
            case Offer(sender, receiver):
                sent = self.folds[sender]
                self.folds[receiver].apply_from_peer(sent.version, sent.text, 1.0)
        return versions

    async def publish(self, offset_of_state, is_valid):
        based_on, _ = self.states[offset_of_state]
        text = configurations.text_of(f"a{self.end}") if is_valid else b"{}"
        is_accepted = is_valid and based_on == self.states[-1][0]
        state = (self.end, text) if is_accepted else self.states[-1]
        await self.append(configurations.pack_publish(based_on, text), state)

    async def append(self, data, state):
        await self.log.append(configuration_fold.STREAM, data)
        self.states.append(state)


def fold_two_versions():
    """Returns a fold that has accepted the offsets 0 and 1."""
    fold = configuration_fold.ConfigurationState()
    for offset, name in ((0, "a"), (1, "b")):
        text = configurations.text_of(name)
        fold.apply(log.Record(offset, configurations.pack_publish(offset - 1, text)))
    return fold


class FoldPropertyTest(unittest.TestCase):
    @hypothesis.settings(max_examples=600)
    @hypothesis.given(strategies.lists(ACTION, max_size=40))
    def test_nodes_agree_with_a_model_of_every_record(self, actions):
        asyncio.run(self.check(actions))

    async def check(self, actions):
        simulation = Simulation()
        async with asyncio.timeout(20):
            for action in actions:
                versions = await simulation.perform(action)
                for before, fold in zip(versions, simulation.folds, strict=True):
                    self.assertGreaterEqual(fold.version, before)
                    self.check_state(simulation, fold)
                fresh = configuration_fold.ConfigurationState()
                await configuration.catch_up(simulation.log, fresh, {})
                self.check_state(simulation, fresh)

    def check_state(self, simulation, fold):
        state = (fold.version, fold.text)
        self.assertIn(state, simulation.states)
        if fold.is_anchored:
            self.assertEqual(simulation.states[fold.next_offset], state)

    @hypothesis.given(
        strategies.integers(-1, 3), strategies.integers(-1, 3), strategies.booleans()
    )
    def test_wrong_restate_changes_no_anchored_node(self, version, as_of, is_valid):
        fold = fold_two_versions()
        text = configurations.text_of("wrong") if is_valid else b"{"
        record = configuration_fold.Snapshot(version, as_of, text, "", 0.0)
        fold.apply(log.Record(2, b"garbage"))
        fold.apply(log.Record(3, b"garbage"))
        fold.apply(log.Record(4, configuration_fold.pack(record)))
        self.assertEqual(5, fold.next_offset)
        self.assertEqual((1, configurations.text_of("b")), (fold.version, fold.text))
        fold.skip_expired(9)
        fold.apply(log.Record(9, configuration_fold.pack(record)))
        self.assertEqual((1, configurations.text_of("b")), (fold.version, fold.text))

    def test_restate_that_cannot_be_true_is_no_anchor(self):
        for version, as_of in ((0, 8), (9, 9), (10, 9), (9, 8)):
            fold = fold_two_versions()
            fold.skip_expired(9)
            record = configuration_fold.Snapshot(
                version, as_of, configurations.text_of("wrong"), "", 0.0
            )
            fold.apply(log.Record(9, configuration_fold.pack(record)))
            self.assertEqual((1, False), (fold.version, fold.is_anchored))

    def test_restate_of_the_same_version_changes_no_text(self):
        fold = configuration_fold.ConfigurationState()
        fold.apply(
            log.Record(0, configurations.pack_publish(-1, configurations.text_of("a")))
        )
        fold.skip_expired(9)
        record = configuration_fold.Snapshot(
            0, 8, configurations.text_of("wrong"), "", 0.0
        )
        fold.apply(log.Record(9, configuration_fold.pack(record)))
        self.assertEqual(
            (configurations.text_of("a"), True), (fold.text, fold.is_anchored)
        )

    def test_offer_that_contradicts_the_stream_is_refused(self):
        fold = configuration_fold.ConfigurationState()
        fold.apply(
            log.Record(0, configurations.pack_publish(-1, configurations.text_of("a")))
        )
        fold.apply(
            log.Record(1, configurations.pack_publish(-1, configurations.text_of("b")))
        )
        self.assertFalse(fold.apply_from_peer(1, configurations.text_of("b"), 1.0))
        self.assertEqual(0, fold.version)

    @hypothesis.given(strategies.binary(max_size=300))
    def test_garbage_is_a_record_error(self, data):
        try:
            configuration_fold.unpack(data)
        except configuration_fold.RecordError:
            return

    def test_large_document_is_refused(self):
        with self.assertRaises(configuration_fold.RecordError):
            configurations.pack_publish(
                -1, bytes(configuration_fold.MAX_DOCUMENT_BYTES + 1)
            )


class InvariantTest(unittest.TestCase):
    def test_version_that_would_fall_raises_and_is_counted(self):
        fold = configuration_fold.ConfigurationState()
        fold.apply_from_peer(5, configurations.text_of("a"), 1.0)
        with self.assertRaises(configuration_fold.RevertedConfigurationError):
            fold._set(
                4,
                configurations.text_of("b"),
                document.parse(configurations.text_of("b")),
                "",
            )
        self.assertEqual((5, 1), (fold.version, fold.reverts))
