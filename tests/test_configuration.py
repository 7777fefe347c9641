import asyncio
import dataclasses
import json
import logging
import random
import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import configuration, configuration_fold, document, errors, ids, log

NODES = 3


def setUpModule():
    logging.disable(logging.WARNING)


def tearDownModule():
    logging.disable(logging.NOTSET)


def text_of(name):
    """Returns a valid document that is told apart by its only client account."""
    account = {"id": name, "share": 1, "services": []}
    return json.dumps({"client_accounts": [account], "services": []}).encode()


def pack_publish(based_on, text, publisher="kim"):
    record = configuration_fold.Publish(
        based_on, text, publisher, ids.new_random_id(), 0.0
    )
    return configuration_fold.pack(record)


class PagedLog(log.MemoryLog):
    """A log that hands out one record a page and fails at chosen reads."""

    def __init__(self):
        super().__init__()
        self.reads_until_failure = None

    async def read(self, stream, start, wait_s=0.0, limit=1000):
        if self.reads_until_failure is not None:
            self.reads_until_failure -= 1
            if self.reads_until_failure < 0:
                self.reads_until_failure = None
                raise log.LogUnavailableError("one read fails")
        return await super().read(stream, start, wait_s, limit=1)


class SlowLog(log.MemoryLog):
    """A log whose callers overtake each other."""

    async def append(self, stream, data):
        await asyncio.sleep(0)
        offset = await super().append(stream, data)
        await asyncio.sleep(0)
        return offset

    async def read(self, stream, start, wait_s=0.0, limit=1000):
        await asyncio.sleep(0)
        return await super().read(stream, start, wait_s, limit)


class DroppingLog(log.MemoryLog):
    """A log that loses appends, as far as their sender can tell."""

    async def append(self, stream, data):
        raise log.LogUnavailableError("no reply")


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
        self.log = log.MemoryLog()
        self.folds = [configuration_fold.Fold() for _ in range(NODES)]
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
                record = configuration_fold.Restate(version, as_of, text, "", 0.0)
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
                self.folds[node] = configuration_fold.Fold()
            case Offer(sender, receiver):
                sent = self.folds[sender]
                self.folds[receiver].offer(sent.version, sent.text, 1.0)
        return versions

    async def publish(self, offset_of_state, is_valid):
        based_on, _ = self.states[offset_of_state]
        text = text_of(f"a{self.end}") if is_valid else b"{}"
        is_accepted = is_valid and based_on == self.states[-1][0]
        state = (self.end, text) if is_accepted else self.states[-1]
        await self.append(pack_publish(based_on, text), state)

    async def append(self, data, state):
        await self.log.append(configuration_fold.STREAM, data)
        self.states.append(state)


class FoldPropertyTest(unittest.TestCase):
    @hypothesis.settings(max_examples=600)
    @hypothesis.given(strategies.lists(ACTION, max_size=40))
    def test_nodes_agree_with_a_model_of_every_record(self, actions):
        asyncio.run(self.check(actions))

    async def check(self, actions):
        simulation = Simulation()
        for action in actions:
            versions = await simulation.perform(action)
            for before, fold in zip(versions, simulation.folds, strict=True):
                self.assertGreaterEqual(fold.version, before)
                state = (fold.version, fold.text)
                self.assertIn(state, simulation.states)
                if fold.is_anchored:
                    expected = simulation.states[fold.next_offset]
                    self.assertEqual(expected, state)

    @hypothesis.given(
        strategies.integers(-1, 3), strategies.integers(-1, 3), strategies.booleans()
    )
    def test_wrong_restate_changes_no_anchored_node(self, version, as_of, is_valid):
        fold = configuration_fold.Fold()
        fold.take(log.Record(0, pack_publish(-1, text_of("a"))))
        fold.take(log.Record(1, pack_publish(0, text_of("b"))))
        text = text_of("wrong") if is_valid else b"{"
        record = configuration_fold.Restate(version, as_of, text, "", 0.0)
        fold.take(log.Record(2, configuration_fold.pack(record)))
        self.assertEqual((1, text_of("b")), (fold.version, fold.text))
        fold.expire(9)
        fold.take(log.Record(9, configuration_fold.pack(record)))
        self.assertEqual((1, text_of("b")), (fold.version, fold.text))

    def test_restate_that_cannot_be_true_is_no_anchor(self):
        for version, as_of in ((0, 8), (9, 9), (10, 9), (9, 8)):
            fold = configuration_fold.Fold()
            fold.take(log.Record(0, pack_publish(-1, text_of("a"))))
            fold.take(log.Record(1, pack_publish(0, text_of("b"))))
            fold.expire(9)
            record = configuration_fold.Restate(
                version, as_of, text_of("wrong"), "", 0.0
            )
            fold.take(log.Record(9, configuration_fold.pack(record)))
            self.assertEqual((1, False), (fold.version, fold.is_anchored))

    def test_restate_of_the_same_version_changes_no_text(self):
        fold = configuration_fold.Fold()
        fold.take(log.Record(0, pack_publish(-1, text_of("a"))))
        fold.expire(9)
        record = configuration_fold.Restate(0, 8, text_of("wrong"), "", 0.0)
        fold.take(log.Record(9, configuration_fold.pack(record)))
        self.assertEqual((text_of("a"), True), (fold.text, fold.is_anchored))

    def test_offer_that_contradicts_the_stream_is_refused(self):
        fold = configuration_fold.Fold()
        fold.take(log.Record(0, pack_publish(-1, text_of("a"))))
        fold.take(log.Record(1, pack_publish(-1, text_of("b"))))
        self.assertFalse(fold.offer(1, text_of("b"), 1.0))
        self.assertEqual(0, fold.version)

    @hypothesis.given(strategies.binary(max_size=300))
    def test_garbage_is_a_record_error(self, data):
        try:
            configuration_fold.unpack(data)
        except configuration_fold.RecordError:
            return

    def test_large_document_is_refused(self):
        with self.assertRaises(configuration_fold.RecordError):
            pack_publish(-1, bytes(configuration_fold.MAX_DOCUMENT_BYTES + 1))


class PublishTest(unittest.IsolatedAsyncioTestCase):
    async def publish(self, service, based_on, name="a", publisher="kim"):
        return await configuration.publish(
            service, text_of(name), based_on, publisher, resolve_s=0.0
        )

    async def test_racing_operators_have_one_winner_each_time(self):
        service = SlowLog()
        version = ids.NO_VERSION
        for race in range(200):
            results = await asyncio.gather(
                *(self.publish(service, version, f"n{race}-{n}") for n in range(3)),
                return_exceptions=True,
            )
            won = [result for result in results if isinstance(result, int)]
            lost = [r for r in results if isinstance(r, configuration.ConflictError)]
            self.assertEqual((1, 2), (len(won), len(lost)))
            version = won[0]
            self.assertEqual({version}, {error.version for error in lost})
        self.assertEqual(version, (await configuration.show(service)).version)

    async def test_conflict_names_the_version_and_its_publisher(self):
        service = log.MemoryLog()
        await self.publish(service, -1, publisher="ida")
        with self.assertRaisesRegex(configuration.ConflictError, "version 0 .* ida"):
            await self.publish(service, -1)

    async def test_lost_reply_is_resolved(self):
        service = log.MemoryLog()
        service.lose_replies = True
        self.assertEqual(0, await self.publish(service, -1))

    async def test_lost_append_is_said_to_be_unknown(self):
        with self.assertRaises(configuration.PublishUnknownError):
            await self.publish(DroppingLog(), -1)

    async def test_log_down_is_said_to_have_failed(self):
        service = log.MemoryLog()
        service.down = True
        with self.assertRaises(configuration.PublishFailedError):
            await self.publish(service, -1)

    async def test_read_that_fails_behind_the_own_record_loses_no_verdict(self):
        for reads in range(8):
            service = PagedLog()
            await self.publish(service, -1)
            append = service.append

            async def append_and_two_more(
                stream, data, append=append, service=service, reads=reads
            ):
                offset = await append(stream, data)
                await append(stream, b"garbage")
                await append(stream, b"garbage")
                service.reads_until_failure = reads
                return offset

            service.append = append_and_two_more
            published = configuration.publish(service, text_of("b"), 0, "kim")
            self.assertEqual(1, await published)

    async def test_history_tells_each_verdict(self):
        service = log.MemoryLog()
        for based_on, text in ((-1, text_of("a")), (-1, text_of("b")), (0, b"{}")):
            data = pack_publish(based_on, text)
            await service.append(configuration_fold.STREAM, data)
        verdicts = [entry.verdict for entry in await configuration.history(service)]
        expected = [
            configuration_fold.Verdict.ACCEPTED,
            configuration_fold.Verdict.CONFLICT,
            configuration_fold.Verdict.INVALID,
        ]
        self.assertEqual(expected, verdicts)


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = log.MemoryLog()
        self.now = 1000.0
        self.tasks = []

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        results = await asyncio.gather(*self.tasks, return_exceptions=True)
        for result in results:
            self.assertIsInstance(result, asyncio.CancelledError)

    def follow(self, restate_after_s=1e6, seed=1):
        follower = configuration.Follower(
            self.log,
            restate_after_s=restate_after_s,
            clock=lambda: self.now,
            random=random.Random(seed),
        )
        self.tasks.append(asyncio.create_task(follower.run()))
        return follower

    async def publish(self, based_on, name="a"):
        return await configuration.publish(self.log, text_of(name), based_on, "kim")

    async def wait_for(self, condition):
        for _ in range(500):
            if condition():
                return
            await asyncio.sleep(0.01)
        self.fail("the condition did not come true within 5 s")

    async def test_followers_see_a_publication_and_tell_subscribers(self):
        followers = [self.follow(seed=seed) for seed in range(5)]
        changed = []
        followers[0].subscribe(lambda: changed.append(followers[0].version))
        for name in ("a", "b", "c"):
            version = await self.publish(followers[0].version, name)
            await self.wait_for(lambda v=version: {f.version for f in followers} == {v})
        self.assertEqual([0, 1, 2], changed)
        self.assertEqual("c", followers[0].document.client_accounts[0].id)

    async def test_restart_while_the_log_is_down_is_helped_by_a_peer(self):
        await self.publish(-1)
        self.log.down = True
        follower = self.follow()
        await asyncio.sleep(0.05)
        self.assertFalse(follower.is_ready)
        with self.assertRaises(errors.ConfigurationError):
            follower.offer(0, b"{}")
        self.assertTrue(follower.offer(0, text_of("a")))
        self.assertFalse(follower.offer(0, text_of("a")))
        await follower.wait_ready()
        self.log.down = False
        version = await self.publish(0, "b")
        await self.wait_for(lambda: follower.version == version)

    async def test_empty_stream_is_ready_without_a_document(self):
        follower = self.follow()
        await follower.wait_ready()
        self.assertIsNone(follower.document)

    async def test_restated_configuration_outlives_its_publication(self):
        await self.publish(-1)
        follower = self.follow(restate_after_s=100)
        await follower.wait_ready()
        self.now += 160
        await self.publish(0, "b")
        await self.wait_for(lambda: self.end_of_stream() > 2)
        self.log.expire(configuration_fold.STREAM, 2)
        late = self.follow()
        await late.wait_ready()
        self.assertEqual((1, text_of("b")), (late.version, late.text))

    async def test_without_an_anchor_a_reader_is_not_ready(self):
        await self.publish(-1)
        await self.publish(0, "b")
        self.log.expire(configuration_fold.STREAM, 1)
        follower = self.follow()
        await asyncio.sleep(0.05)
        self.assertEqual((False, -1), (follower.is_ready, follower.version))
        with self.assertRaises(configuration.UndeterminedError):
            await self.publish(1, "c")

    async def test_many_followers_restate_seldom(self):
        await self.publish(-1)
        followers = [self.follow(restate_after_s=1000, seed=n) for n in range(100)]
        await self.wait_for(lambda: all(f.is_ready for f in followers))
        for _ in range(130):
            self.now += 20
            await self.log.append(configuration_fold.STREAM, b"wakes the readers")
            await asyncio.sleep(0.002)
        restated = 0
        for record in (
            await self.log.read_to_end(configuration_fold.STREAM, 0)
        ).records:
            restated += record.data != b"wakes the readers"
        self.assertTrue(2 <= restated - 1 <= 10, restated - 1)

    def end_of_stream(self):
        return len(self.log._records_by_stream[configuration_fold.STREAM])


class InvariantTest(unittest.TestCase):
    def test_version_that_would_fall_raises_and_is_counted(self):
        fold = configuration_fold.Fold()
        fold.offer(5, text_of("a"), 1.0)
        with self.assertRaises(configuration_fold.RevertedConfigurationError):
            fold._set(4, text_of("b"), document.parse(text_of("b")), "")
        self.assertEqual((5, 1), (fold.version, fold.reverts))
