"""Followers of a log, under any order of writes, restores, late answers and reports."""

import asyncio
import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies

from teaselsill import ids, keyed_follower, keyed_log, log_era
from tests import test_keyed_follower, test_keyed_log

TOPIC = "keyed.t"
FOLLOWERS = 3
KEYS = "ab"
ROUNDS = 12
"""How often the event loop runs before a read that is not held has ended."""

FOLLOWER = strategies.integers(0, FOLLOWERS - 1)
READERS = strategies.sets(FOLLOWER)
KEY = strategies.sampled_from(KEYS)
STEP = strategies.one_of(
    strategies.tuples(strategies.just("write"), KEY, READERS),
    strategies.tuples(strategies.just("write"), KEY, READERS),
    strategies.tuples(strategies.just("write"), KEY, READERS),
    strategies.tuples(strategies.just("restore"), strategies.integers(1, 6), READERS),
    strategies.tuples(strategies.just("hold"), FOLLOWER),
    strategies.tuples(strategies.just("release"), FOLLOWER),
    strategies.tuples(strategies.just("report"), FOLLOWER, FOLLOWER, FOLLOWER),
    strategies.tuples(strategies.just("wake"), FOLLOWER, FOLLOWER),
    strategies.tuples(strategies.just("tell"), FOLLOWER, FOLLOWER),
    strategies.tuples(strategies.just("other call"), FOLLOWER),
)


class Client(keyed_log.KeyedLog):
    """One router's access to the log; its answers may be held on the way.

    Attributes:
        era: The era that the router knows.
        may_answer: Unset while answers are held.
    """

    def __init__(self, source):
        self.era = log_era.LogEra()
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self._source = source

    async def list_newest(self, topic):
        return await self._pass(await self._source.list_newest(topic))

    async def read(self, topic, start, wait_s):
        return await self._pass(await self._source.read(topic, start, wait_s))

    async def put(self, topic, record):
        raise NotImplementedError

    async def _pass(self, page):
        await self.may_answer.wait()
        self.era.note_response(page.end.era, "call")
        return page


class Router:
    """A router that follows the log.

    Attributes:
        updates: What it has read, to report it to others.
    """

    def __init__(self, source):
        self.client = Client(source)
        self.view = test_keyed_follower.MemoryView()
        self.updates = []
        self.follower = keyed_follower.Follower(
            self.client,
            TOPIC,
            self.view,
            find_wait_s=lambda: 0.0,
            find_pause_s=lambda: 3600.0,
            on_read=lambda topic, update, at: self.updates.append(update),
        )
        self.client.era.on_restore.append(self.follower.note_restore)
        self.client.era.on_hint.append(self.follower.read_now)


class Fleet:
    """Three routers that follow one log, and the writers of its records."""

    def __init__(self):
        self.source = test_keyed_log.MemoryKeyedLog()
        self.source.era = ids.Era(1)
        self.routers = [Router(self.source) for _ in range(FOLLOWERS)]
        self.newest_by_key = {}
        self._written = 0

    async def run(self, steps):
        """Takes all steps; then all answers arrive and each router reads once more."""
        running = [asyncio.create_task(each.follower.run()) for each in self.routers]
        try:
            for step in steps:
                self._take(*step)
                await settle()
            for router in self.routers:
                router.client.may_answer.set()
            await settle()
            for router in self.routers:
                router.follower.read_now()
            await settle()
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    def _take(self, kind, *arguments):
        routers = self.routers
        match kind, *arguments:
            case "write", key, readers:
                self._written += 1
                self.newest_by_key[key] = b"%d" % self._written
                self.source.add(key, self.newest_by_key[key])
                self._read(readers)
            case "restore", lost, readers:
                self._restore(lost)
                self._read(readers)
            case "hold", reader:
                routers[reader].client.may_answer.clear()
                routers[reader].follower.read_now()
            case "release", reader:
                routers[reader].client.may_answer.set()
            case "report", sender, receiver, age:
                updates = routers[sender].updates
                for update in updates[-1 - age :]:
                    routers[receiver].follower.apply_update(update, 0.0)
            case "wake", sender, receiver:
                position = routers[sender].follower._position
                if position is not None:
                    routers[receiver].follower.wake_for(position)
            case "tell", sender, receiver:
                era = routers[sender].client.era.current
                routers[receiver].client.era.note_told(era, ids.InstanceId("r"))

            case "other call", reader:
                routers[reader].client.era.note_response(self.source.era, "other")

    def _read(self, readers):
        for reader in readers:
            self.routers[reader].follower.read_now()

    def _restore(self, lost):
        """Loses the last records; the newest one of each key is written again."""
        self.source.restore(self.source.records[:-lost])
        for key, value in self.newest_by_key.items():
            self.source.add(key, value)


async def settle():
    """Lets all that can happen without another step happen."""
    for _ in range(ROUNDS):
        await asyncio.sleep(0)


class RestoreOrdersTest(unittest.TestCase):
    def setUp(self):
        self.enterContext(unittest.mock.patch.object(keyed_log, "MIN_BACKOFF_S", 0.0))

    @hypothesis.settings(max_examples=400, deadline=None)
    @hypothesis.given(strategies.lists(STEP, min_size=5, max_size=40))
    def test_followers_end_with_what_the_log_holds(self, steps):
        """Records at offsets that are given out again were never read."""
        fleet = Fleet()
        asyncio.run(fleet.run(steps))
        for router in fleet.routers:
            self.assertEqual(fleet.newest_by_key, router.view.by_key)
            if router.client.era.current != fleet.source.era:
                self.fail("the restore was not noticed")
