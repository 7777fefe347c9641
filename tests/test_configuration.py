import asyncio
import logging
import random
import unittest

from teaselsill import configuration, configuration_fold, errors, ids, log
from tests import configurations


def setUpModule():
    logging.disable(logging.WARNING)


def tearDownModule():
    logging.disable(logging.NOTSET)


class PagedLog(log.MemoryLog):
    """A log with one record per page, which fails at a given read."""

    def __init__(self):
        super().__init__()
        self.reads_until_failure = None

    async def read(self, stream, start, wait_s=0.0, limit=1000):
        if self.reads_until_failure is not None:
            self.reads_until_failure -= 1
            if self.reads_until_failure < 0:
                self.reads_until_failure = None
                raise log.LogUnavailableError("read failed")
        return await super().read(stream, start, wait_s, limit=1)


class InterruptingLog(log.MemoryLog):
    """A log that runs a function after its next read, before the reader continues."""

    def __init__(self):
        super().__init__()
        self.interruption = None

    async def read(self, stream, start, wait_s=0.0, limit=1000):
        page = await super().read(stream, start, wait_s, limit)
        if self.interruption is not None:
            interruption, self.interruption = self.interruption, None
            await interruption()
        return page


class DroppingLog(log.MemoryLog):
    """A log that loses all appends."""

    async def append(self, stream, data):
        raise log.LogUnavailableError("no reply")


class PublishTest(unittest.IsolatedAsyncioTestCase):
    async def publish(self, service, based_on, name="a", publisher="kim"):
        return await configuration.publish(
            service, configurations.text_of(name), based_on, publisher, resolve_s=0.0
        )

    async def test_racing_operators_have_one_winner_each_time(self):
        service = configurations.InterleavingLog()
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

    async def test_conflict_names_the_version_in_force_and_its_publisher(self):
        service = log.MemoryLog()
        await self.publish(service, -1, publisher="ida")
        with self.assertRaisesRegex(configuration.ConflictError, "version 0 .* ida"):
            await self.publish(service, -1)

    async def test_publication_with_a_lost_reply_is_found(self):
        service = log.MemoryLog()
        service.lose_replies = True
        self.assertEqual(0, await self.publish(service, -1))

    async def test_lost_append_is_reported_as_unknown(self):
        with self.assertRaises(configuration.PublishUnknownError):
            await self.publish(DroppingLog(), -1)

    async def test_publication_while_the_log_is_down_fails(self):
        service = log.MemoryLog()
        service.down = True
        with self.assertRaises(configuration.PublishFailedError):
            await self.publish(service, -1)

    async def test_failed_read_after_the_own_record_keeps_its_verdict(self):
        for reads in range(8):
            service = PagedLog()
            await self.publish(service, -1)
            append = service.append

            async def append_and_add_records(
                stream, data, append=append, service=service, reads=reads
            ):
                offset = await append(stream, data)
                await append(stream, b"garbage")
                await append(stream, b"garbage")
                service.reads_until_failure = reads
                return offset

            service.append = append_and_add_records
            published = configuration.publish(
                service, configurations.text_of("b"), 0, "kim"
            )
            self.assertEqual(1, await published)

    async def test_history_has_the_verdict_of_each_publication(self):
        service = log.MemoryLog()
        for based_on, text in (
            (-1, configurations.text_of("a")),
            (-1, configurations.text_of("b")),
            (0, b"{}"),
        ):
            data = configurations.pack_publish(based_on, text)
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
        self.log = configurations.InterleavingLog()
        self.now = 1000.0
        self.tasks = []

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        results = await asyncio.gather(*self.tasks, return_exceptions=True)
        for result in results:
            self.assertIsInstance(result, asyncio.CancelledError)

    def follow(self, snapshot_after_s=1e6, seed=1):
        follower = configuration.Follower(
            self.log,
            snapshot_after_s=snapshot_after_s,
            clock=lambda: self.now,
            random=random.Random(seed),
        )
        self.tasks.append(asyncio.create_task(follower.run()))
        return follower

    async def publish(self, based_on, name="a"):
        return await configuration.publish(
            self.log, configurations.text_of(name), based_on, "kim"
        )

    async def wait_for(self, condition):
        for _ in range(500):
            if condition():
                return
            await asyncio.sleep(0.01)
        self.fail("the condition did not come true within 5 s")

    async def test_followers_apply_publications_and_call_subscribers(self):
        followers = [self.follow(seed=seed) for seed in range(5)]
        changed = []
        followers[0].subscribe(lambda: changed.append(followers[0].version))
        for name in ("a", "b", "c"):
            version = await self.publish(followers[0].version, name)
            await self.wait_for(lambda v=version: {f.version for f in followers} == {v})
        self.assertEqual([0, 1, 2], changed)
        self.assertEqual("c", followers[0].document.client_accounts[0].id)

    async def test_restart_while_the_log_is_down_uses_a_peer(self):
        await self.publish(-1)
        self.log.down = True
        follower = self.follow()
        await asyncio.sleep(0.05)
        self.assertFalse(follower.is_ready)
        with self.assertRaises(errors.ConfigurationError):
            follower.apply_from_peer(0, b"{}")
        self.assertTrue(follower.apply_from_peer(0, configurations.text_of("a")))
        self.assertFalse(follower.apply_from_peer(0, configurations.text_of("a")))
        await follower.wait_ready()
        self.log.down = False
        version = await self.publish(0, "b")
        await self.wait_for(lambda: follower.version == version)

    async def test_empty_stream_is_ready_without_a_document(self):
        follower = self.follow()
        await follower.wait_ready()
        self.assertIsNone(follower.document)

    async def test_snapshot_outlives_the_publication(self):
        await self.publish(-1)
        follower = self.follow(snapshot_after_s=100)
        await follower.wait_ready()
        self.now += 160
        await self.publish(0, "b")
        await self.wait_for(lambda: self.end_of_stream() > 2)
        self.log.expire(configuration_fold.STREAM, 2)
        late = self.follow()
        await self.wait_for(lambda: late.is_ready)
        self.assertEqual((1, configurations.text_of("b")), (late.version, late.text))

    async def test_follower_without_an_anchor_is_not_ready(self):
        await self.publish(-1)
        await self.publish(0, "b")
        self.log.expire(configuration_fold.STREAM, 1)
        follower = self.follow()
        await asyncio.sleep(0.05)
        self.assertEqual((False, -1), (follower.is_ready, follower.version))
        with self.assertRaises(configuration.UndeterminedError):
            await self.publish(1, "c")

    async def test_many_followers_write_few_snapshots(self):
        await self.publish(-1)
        await self.start_followers(100)
        await self.advance(130, 20)
        self.assertTrue(2 <= await self.count_snapshots() <= 10)

    async def test_many_followers_with_an_old_anchor_write_few_snapshots(self):
        old = configurations.pack_publish(-1, configurations.text_of("a"))
        await self.log.append(configuration_fold.STREAM, old)
        self.now = 1e6
        await self.start_followers(100)
        await self.advance(100, 0.1)
        self.assertTrue(1 <= await self.count_snapshots() <= 10)

    async def start_followers(self, count):
        followers = [self.follow(snapshot_after_s=1000, seed=n) for n in range(count)]
        await self.wait_for(lambda: all(f.is_ready for f in followers))

    async def advance(self, steps, step_s):
        for _ in range(steps):
            self.now += step_s
            await self.log.append(configuration_fold.STREAM, b"wakes the readers")
            await asyncio.sleep(0.002)

    async def count_snapshots(self):
        page = await self.log.read_to_end(configuration_fold.STREAM, 0)
        return sum(b"restate" in record.data for record in page.records)

    async def test_interrupted_follower_reads_again_before_a_snapshot(self):
        self.log = InterruptingLog()
        await self.publish(-1)
        follower = self.follow(snapshot_after_s=100)
        await follower.wait_ready()
        self.log.interruption = self.write_snapshot_of_another_node
        await self.log.append(configuration_fold.STREAM, b"wakes the reader")
        await asyncio.sleep(0.05)
        self.assertIsNone(self.log.interruption)
        self.assertEqual(3, self.end_of_stream())

    async def write_snapshot_of_another_node(self):
        self.now += 160
        record = configuration_fold.Snapshot(
            0, 1, configurations.text_of("a"), "", self.now
        )
        data = configuration_fold.pack(record)
        await self.log.append(configuration_fold.STREAM, data)

    def end_of_stream(self):
        return len(self.log._records_by_stream[configuration_fold.STREAM])
