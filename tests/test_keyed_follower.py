import asyncio
import unittest
import unittest.mock

from teaselsill import boot_clock, ids, keyed_follower, keyed_log
from tests import test_keyed_log

TOPIC = "keyed.t"


class MemoryView(keyed_log.View):
    def __init__(self):
        self.by_key = {}
        self.outages = []
        self.changed = asyncio.Event()

    def put(self, record):
        if record.value is None:
            self.by_key.pop(record.key, None)
        else:
            self.by_key[record.key] = record.value
        self.changed.set()
        return True

    def keep_only(self, keys):
        self.by_key = {k: v for k, v in self.by_key.items() if k in keys}
        self.changed.set()

    def note_outage(self, lasted_s):
        self.outages.append(lasted_s)
        self.changed.set()


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.source = test_keyed_log.MemoryKeyedLog()
        self.view = MemoryView()
        self.seen = []
        self.updates = []

    def start(self, wait_s=5.0, **fields):
        self.follower = keyed_follower.Follower(
            self.source,
            TOPIC,
            self.view,
            lambda: wait_s,
            on_change=lambda topic, offset: self.seen.append(offset),
            on_read=lambda topic, update, at: self.updates.append((update, at)),
            **fields,
        )
        task = asyncio.create_task(self.follower.run())
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)

    async def wait_for(self, by_key):
        async with asyncio.timeout(5.0):
            while self.view.by_key != by_key:
                self.view.changed.clear()
                await self.view.changed.wait()

    async def wait_listed(self):
        async with asyncio.timeout(5.0):
            await self.view.changed.wait()
        await asyncio.sleep(0)
        self.assertTrue(self.follower.is_listed)

    async def test_lists_then_follows(self):
        self.source.add("a", b"1")
        self.start()
        await self.wait_for({"a": b"1"})
        self.source.add("b", b"2")
        await self.wait_for({"a": b"1", "b": b"2"})
        self.source.add("a", None)
        await self.wait_for({"b": b"2"})
        self.assertEqual([1, 2], self.seen)

    async def test_lists_anew_when_history_is_gone(self):
        self.source.add("a", b"1")
        self.start(wait_s=0.0, find_pause_s=lambda: 0.01)
        await self.wait_for({"a": b"1"})
        self.source.earliest = 9
        for number in range(8):
            self.source.add("b", b"%d" % number)
        self.source.add("a", None)
        await self.wait_for({"b": b"7"})

    async def test_goes_on_with_what_is_known_and_tells_of_an_outage(self):
        self.source.add("a", b"1")
        self.start(wait_s=0.0, find_pause_s=lambda: 0.01)
        await self.wait_for({"a": b"1"})
        self.source.down = True
        await asyncio.sleep(0.05)
        self.assertEqual({"a": b"1"}, self.view.by_key)
        self.source.down = False
        async with asyncio.timeout(5.0):
            while not self.view.outages:
                self.view.changed.clear()
                await self.view.changed.wait()
        self.assertTrue(self.follower.is_listed)

    async def test_first_read_after_an_outage_waits_for_a_short_time(self):
        self.start(wait_s=6.0)
        self.source.down = True
        await asyncio.sleep(0.3)
        self.source.down = False
        self.source.add("a", b"1")
        await self.wait_for({"a": b"1"})
        self.assertTrue(
            all(
                wait_s <= keyed_follower.MIN_WAIT_AFTER_FAILURE_S
                for wait_s in self.source.reads[:1]
            )
        )

    async def test_poke_ends_a_pause(self):
        self.start(wait_s=0.0, find_pause_s=lambda: 60.0)
        await self.wait_listed()
        self.source.add("a", b"1")
        self.follower.wake_for(ids.Offset(0))
        await self.wait_for({"a": b"1"})

    async def test_poke_ends_a_read_on_a_silent_connection(self):
        class Silent(test_keyed_log.MemoryKeyedLog):
            async def read(self, topic, start, wait_s):
                if wait_s:
                    await asyncio.sleep(60)
                return await super().read(topic, start, wait_s)

        self.source = Silent()
        self.start(wait_s=60.0)
        await self.wait_listed()
        self.source.add("a", b"1")
        self.follower.wake_for(ids.Offset(0))
        await self.wait_for({"a": b"1"})

    async def start_idle(self):
        """Starts a follower that has listed two records and does not read on."""
        self.source.add("a", b"1")
        self.source.add("b", b"1")
        self.start(wait_s=0.0, find_pause_s=lambda: 60.0)
        await self.wait_for({"a": b"1", "b": b"1"})
        await asyncio.sleep(0)

    def hear(self, first, following, *changes, outage_s=0.0, age_s=0.0):
        told = [
            keyed_log.Change(ids.Offset(o), key, value) for o, key, value in changes
        ]
        update = keyed_log.Update(
            ids.Offset(first), ids.Offset(following), told, outage_s
        )
        self.follower.apply_update(update, age_s)

    async def test_reading_without_news_counts_as_a_read(self):
        await self.start_idle()
        fresh_at = self.follower._fresh_at
        await asyncio.sleep(0.01)
        self.hear(2, 2)
        self.assertLess(fresh_at, self.follower._fresh_at)

    async def test_call_that_was_held_up_is_as_old_as_its_start(self):
        held_up_s = 0.05

        class Slow(test_keyed_log.MemoryKeyedLog):
            async def read(self, topic, start, wait_s):
                page = await super().read(topic, start, wait_s)
                await asyncio.sleep(held_up_s)
                return page

        self.source = Slow()
        await self.start_idle()
        with unittest.mock.patch.object(keyed_follower, "SLOW_READ_S", held_up_s / 2):
            self.follower.wake_for(ids.Offset(2))
            async with asyncio.timeout(5.0):
                while not self.updates:  # noqa: ASYNC110
                    await asyncio.sleep(0)
        ((_, read_at),) = self.updates
        self.assertEqual(read_at, self.follower._fresh_at)
        self.assertGreaterEqual(boot_clock.now() - read_at, held_up_s)

    async def test_what_another_has_read_counts_as_a_read(self):
        await self.start_idle()
        fresh_at = self.follower._fresh_at
        await asyncio.sleep(0.01)
        self.hear(2, 4, (3, "a", b"2"))
        self.assertEqual({"a": b"2", "b": b"1"}, self.view.by_key)
        self.assertLess(fresh_at, self.follower._fresh_at)
        self.assertEqual([], self.source.reads)
        for _ in range(3):
            self.source.add("c", b"3")
        self.follower.wake_for(ids.Offset(4))
        await self.wait_for({"a": b"2", "b": b"1", "c": b"3"})

    async def test_told_records_that_are_known_are_left_out(self):
        await self.start_idle()
        self.hear(0, 3, (0, "a", b"0"), (2, "b", b"2"))
        self.assertEqual({"a": b"1", "b": b"2"}, self.view.by_key)

    async def test_update_that_was_held_up_is_not_fresh(self):
        await self.start_idle()
        fresh_at = self.follower._fresh_at
        self.hear(0, 1, (0, "a", b"old"), outage_s=5.0)
        self.hear(2, 2, age_s=30.0)
        self.assertEqual({"a": b"1", "b": b"1"}, self.view.by_key)
        self.assertEqual(fresh_at, self.follower._fresh_at)
        self.assertEqual([], self.view.outages)

    async def test_gap_in_what_is_told_is_read(self):
        await self.start_idle()
        self.source.add("c", b"3")
        self.source.add("d", b"4")
        self.hear(3, 4, (3, "d", b"4"))
        await self.wait_for({"a": b"1", "b": b"1", "c": b"3", "d": b"4"})

    async def test_outage_that_another_has_noticed(self):
        await self.start_idle()
        self.hear(2, 3, (2, "a", None), outage_s=5.0)
        self.assertEqual([5.0], self.view.outages)

    async def test_tells_what_it_has_read(self):
        await self.start_idle()
        self.source.add("a", None)
        self.follower.wake_for(ids.Offset(2))
        await self.wait_for({"b": b"1"})
        ((update, _),) = self.updates
        change = keyed_log.Change(ids.Offset(2), "a", None)
        self.assertEqual(
            keyed_log.Update(ids.Offset(2), ids.Offset(3), [change], 0.0), update
        )

    async def read_while_told(self, told_until, *changes):
        """Has two records read, and others told before they have come."""
        go_on = asyncio.Event()

        class Slow(test_keyed_log.MemoryKeyedLog):
            async def read(self, topic, start, wait_s):
                page = await super().read(topic, start, wait_s)
                await go_on.wait()
                return page

        self.source = Slow()
        await self.start_idle()
        self.source.add("a", b"2")
        self.source.add("b", b"2")
        self.follower.wake_for(ids.Offset(3))
        async with asyncio.timeout(5.0):
            while not self.source.reads:  # noqa: ASYNC110
                await asyncio.sleep(0)
        self.hear(2, told_until, *changes)
        go_on.set()
        await self.wait_update()

    async def wait_update(self):
        async with asyncio.timeout(5.0):
            while not self.updates:  # noqa: ASYNC110
                await asyncio.sleep(0)

    async def test_what_is_told_during_a_read_is_not_taken_twice(self):
        await self.read_while_told(5, (2, "a", b"2"), (4, "a", b"3"))
        self.assertEqual({"a": b"3", "b": b"1"}, self.view.by_key)
        self.assertEqual(5, self.follower._next)

    async def test_update_covers_no_record_that_it_leaves_to_another(self):
        """Who had not heard the other reader never learned of the first record."""
        await self.read_while_told(3, (2, "a", b"2"))
        ((update, _),) = self.updates
        change = keyed_log.Change(ids.Offset(3), "b", b"2")
        self.assertEqual(
            keyed_log.Update(ids.Offset(3), ids.Offset(4), [change], 0.0), update
        )

    async def test_record_that_the_listing_held_already_is_told(self):
        """To the reader it was no news, and the others never learned of it."""

        class Ahead(test_keyed_log.MemoryKeyedLog):
            async def list_newest(self, topic):
                page = await super().list_newest(topic)
                return keyed_log.KeyedPage(
                    page.records, ids.Offset(page.next_offset - 1)
                )

        class PickyView(MemoryView):
            def put(self, record):
                is_news = self.by_key.get(record.key) != record.value
                super().put(record)
                return is_news

        self.source = Ahead()
        self.view = PickyView()
        await self.start_idle()
        self.follower.wake_for(ids.Offset(1))
        await self.wait_update()
        ((update, _),) = self.updates
        change = keyed_log.Change(ids.Offset(1), "b", b"1")
        self.assertEqual([change], update.changes)
