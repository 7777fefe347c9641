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

    def restore(self, records):
        for record in records:
            self.put(record)
        return bool(records)

    def note_outage(self, lasted_s):
        self.outages.append(lasted_s)
        self.changed.set()


class HeldLog(test_keyed_log.MemoryKeyedLog):
    """A log whose replies to reads are held on the way until `may_reply` is set."""

    def __init__(self):
        super().__init__()
        self.may_reply = asyncio.Event()

    async def read(self, topic, start, wait_s):
        page = await super().read(topic, start, wait_s)
        await self.may_reply.wait()
        return page


class FollowerTestCase(unittest.IsolatedAsyncioTestCase):
    """A follower of a log in memory, which `start` starts."""

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
            on_change=lambda topic, position: self.seen.append(position.offset),
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


class FollowerTest(FollowerTestCase):
    async def test_lists_the_topic_then_reads_on(self):
        self.source.add("a", b"1")
        self.start()
        await self.wait_for({"a": b"1"})
        self.source.add("b", b"2")
        await self.wait_for({"a": b"1", "b": b"2"})
        self.source.add("a", None)
        await self.wait_for({"b": b"2"})
        self.assertEqual([1, 2], self.seen)

    async def test_lists_again_after_records_expired(self):
        self.source.add("a", b"1")
        self.start(wait_s=0.0, find_pause_s=lambda: 0.01)
        await self.wait_for({"a": b"1"})
        self.source.earliest = 9
        for number in range(8):
            self.source.add("b", b"%d" % number)
        self.source.add("a", None)
        await self.wait_for({"b": b"7"})

    async def test_keeps_the_view_during_an_outage_and_reports_it(self):
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

    async def test_first_read_after_an_outage_has_a_short_wait(self):
        self.start(wait_s=6.0)
        self.source.down = True
        await asyncio.sleep(0.3)
        self.source.down = False
        self.source.add("a", b"1")
        await self.wait_for({"a": b"1"})
        self.assertTrue(
            all(
                wait_s <= keyed_follower.WAIT_AFTER_FAILURE_S
                for wait_s in self.source.reads[:1]
            )
        )

    async def test_wake_for_ends_a_pause(self):
        self.start(wait_s=0.0, find_pause_s=lambda: 60.0)
        await self.wait_listed()
        self.source.add("a", b"1")
        self.follower.wake_for(test_keyed_log.at(0))
        await self.wait_for({"a": b"1"})

    async def test_is_behind_while_a_known_change_cannot_be_read(self):
        self.source = HeldLog()
        self.start()
        await asyncio.sleep(0.01)
        self.assertTrue(self.follower.is_listed)
        self.assertFalse(self.follower.is_behind)
        self.follower.wake_for(test_keyed_log.at(0))
        self.assertFalse(self.follower.is_behind)
        await asyncio.sleep(keyed_follower.MAX_UNREAD_S + 0.1)
        self.assertTrue(self.follower.is_behind)
        self.source.may_reply.set()
        await self.source.put(TOPIC, keyed_log.KeyedRecord("a", b"1"))
        await self.wait_for({"a": b"1"})
        self.assertFalse(self.follower.is_behind)

    async def test_newest_of_the_known_changes_is_waited_for(self):
        self.source = HeldLog()
        self.start(keeps_records=True)
        await asyncio.sleep(0.01)
        self.follower.wake_for(test_keyed_log.at(9))
        self.follower.wake_for(test_keyed_log.at(4))
        record = keyed_log.KeyedRecord("a", b"1")
        page = keyed_log.KeyedPage([record], test_keyed_log.at(5))
        self.assertTrue(self.follower.apply_copy(page))
        await asyncio.sleep(keyed_follower.COPY_AFTER_S + 0.1)
        self.assertTrue(self.follower.needs_copy)
        self.view.by_key.clear()
        self.follower.apply_again()
        self.assertEqual({"a": b"1"}, self.view.by_key)

    async def test_wake_for_ends_a_read_on_a_silent_connection(self):
        class Silent(test_keyed_log.MemoryKeyedLog):
            async def read(self, topic, start, wait_s):
                if wait_s:
                    await asyncio.sleep(60)
                return await super().read(topic, start, wait_s)

        self.source = Silent()
        self.start(wait_s=60.0)
        await self.wait_listed()
        self.source.add("a", b"1")
        self.follower.wake_for(test_keyed_log.at(0))
        await self.wait_for({"a": b"1"})

    async def start_idle(self):
        """Starts a follower that has listed two records and pauses before a read."""
        self.source.add("a", b"1")
        self.source.add("b", b"1")
        self.start(wait_s=0.0, find_pause_s=lambda: 60.0)
        await self.wait_for({"a": b"1", "b": b"1"})
        await asyncio.sleep(0)

    def apply_update(
        self, first_offset, next_offset, *changes, outage_s=0.0, age_s=0.0
    ):
        applied = [
            keyed_log.Change(ids.Offset(o), key, value) for o, key, value in changes
        ]
        update = keyed_log.Update(
            ids.Offset(first_offset), ids.Offset(next_offset), applied, outage_s
        )
        self.follower.apply_update(update, age_s)

    async def test_update_without_changes_counts_as_a_read(self):
        await self.start_idle()
        current_at = self.follower._current_at
        await asyncio.sleep(0.01)
        self.apply_update(2, 2)
        self.assertLess(current_at, self.follower._current_at)

    async def test_delayed_read_is_dated_at_its_start(self):
        delay_s = 0.05

        class Slow(test_keyed_log.MemoryKeyedLog):
            async def read(self, topic, start, wait_s):
                page = await super().read(topic, start, wait_s)
                await asyncio.sleep(delay_s)
                return page

        self.source = Slow()
        await self.start_idle()
        with unittest.mock.patch.object(keyed_follower, "SLOW_READ_S", delay_s / 2):
            self.follower.wake_for(test_keyed_log.at(2))
            async with asyncio.timeout(5.0):
                while not self.updates:  # noqa: ASYNC110
                    await asyncio.sleep(0)
        ((_, read_at),) = self.updates
        self.assertEqual(read_at, self.follower._current_at)
        self.assertGreaterEqual(boot_clock.now() - read_at, delay_s)

    async def test_update_counts_as_a_read_and_is_applied(self):
        await self.start_idle()
        current_at = self.follower._current_at
        await asyncio.sleep(0.01)
        self.apply_update(2, 4, (3, "a", b"2"))
        self.assertEqual({"a": b"2", "b": b"1"}, self.view.by_key)
        self.assertLess(current_at, self.follower._current_at)
        self.assertEqual([], self.source.reads)
        for _ in range(3):
            self.source.add("c", b"3")
        self.follower.wake_for(test_keyed_log.at(4))
        await self.wait_for({"a": b"2", "b": b"1", "c": b"3"})

    async def test_changes_that_are_applied_already_are_skipped(self):
        await self.start_idle()
        self.apply_update(0, 3, (0, "a", b"0"), (2, "b", b"2"))
        self.assertEqual({"a": b"1", "b": b"2"}, self.view.by_key)

    async def test_old_update_changes_nothing(self):
        await self.start_idle()
        current_at = self.follower._current_at
        self.apply_update(0, 1, (0, "a", b"old"), outage_s=5.0)
        self.apply_update(2, 2, age_s=30.0)
        self.assertEqual({"a": b"1", "b": b"1"}, self.view.by_key)
        self.assertEqual(current_at, self.follower._current_at)
        self.assertEqual([], self.view.outages)

    async def test_gap_before_an_update_is_read(self):
        await self.start_idle()
        self.source.add("c", b"3")
        self.source.add("d", b"4")
        self.apply_update(3, 4, (3, "d", b"4"))
        await self.wait_for({"a": b"1", "b": b"1", "c": b"3", "d": b"4"})

    async def test_outage_in_an_update_is_reported(self):
        await self.start_idle()
        self.apply_update(2, 3, (2, "a", None), outage_s=5.0)
        self.assertEqual([5.0], self.view.outages)

    async def test_on_read_gets_what_was_read(self):
        await self.start_idle()
        self.source.add("a", None)
        self.follower.wake_for(test_keyed_log.at(2))
        await self.wait_for({"b": b"1"})
        ((update, _),) = self.updates
        change = keyed_log.Change(ids.Offset(2), "a", None)
        self.assertEqual(
            keyed_log.Update(ids.Offset(2), ids.Offset(3), [change], 0.0), update
        )

    async def read_during_update(self, next_offset, *changes):
        """Reads two records and applies an update before the reply arrives."""
        self.source = HeldLog()
        await self.start_idle()
        self.source.add("a", b"2")
        self.source.add("b", b"2")
        self.follower.wake_for(test_keyed_log.at(3))
        async with asyncio.timeout(5.0):
            while not self.source.reads:  # noqa: ASYNC110
                await asyncio.sleep(0)
        self.apply_update(2, next_offset, *changes)
        self.source.may_reply.set()
        await self.wait_update()

    async def wait_update(self):
        async with asyncio.timeout(5.0):
            while not self.updates:  # noqa: ASYNC110
                await asyncio.sleep(0)

    async def test_update_during_a_read_is_not_applied_twice(self):
        await self.read_during_update(5, (2, "a", b"2"), (4, "a", b"3"))
        self.assertEqual({"a": b"3", "b": b"1"}, self.view.by_key)
        self.assertEqual(test_keyed_log.at(5), self.follower._position)

    async def test_update_range_excludes_records_of_another_update(self):
        """A reader that missed the other update would otherwise skip its record."""
        await self.read_during_update(3, (2, "a", b"2"))
        ((update, _),) = self.updates
        change = keyed_log.Change(ids.Offset(3), "b", b"2")
        self.assertEqual(
            keyed_log.Update(ids.Offset(3), ids.Offset(4), [change], 0.0), update
        )

    async def test_first_update_after_a_listing_has_all_records(self):
        """Other readers may not know a record that the listing here contained."""

        class Ahead(test_keyed_log.MemoryKeyedLog):
            async def list_newest(self, topic):
                page = await super().list_newest(topic)
                return keyed_log.KeyedPage(page.records, page.end.advance(-1))

        class ComparingView(MemoryView):
            def put(self, record):
                is_change = self.by_key.get(record.key) != record.value
                super().put(record)
                return is_change

        self.source = Ahead()
        self.view = ComparingView()
        await self.start_idle()
        self.follower.wake_for(test_keyed_log.at(1))
        await self.wait_update()
        ((update, _),) = self.updates
        change = keyed_log.Change(ids.Offset(1), "b", b"1")
        self.assertEqual([change], update.changes)


class RestoreTest(FollowerTestCase):
    """The log comes back from an older copy, while a follower reads it."""

    async def start_in_era(self, wait_s=60.0, **fields):
        """Starts a follower of a log in era 1 that waits at offset 3."""
        self.source.era = ids.Era(1)
        for number in range(3):
            self.source.add("a", b"%d" % number)
        self.start(wait_s, **fields)
        await self.wait_for({"a": b"2"})
        await self.wait_position(test_keyed_log.at(3, 1))

    async def wait_position(self, position):
        async with asyncio.timeout(5.0):
            while self.follower._position != position:  # noqa: ASYNC110
                await asyncio.sleep(0)

    def restore(self, *values):
        """Goes back to the first record; then the given values are written."""
        self.source.restore(self.source.records[:1])
        for value in values:
            self.source.add("a", value)

    async def test_offset_that_exists_again_is_not_waited_at(self):
        """The next manifest after a drill of the store was never read."""
        await self.start_in_era(wait_s=0.02)
        self.restore(b"2", b"3")
        await self.wait_for({"a": b"3"})
        self.assertEqual(test_keyed_log.at(3, 2), self.follower._position)

    async def test_restore_ends_a_wait_that_gets_no_response(self):
        await self.start_in_era()
        self.restore(b"2", b"3")
        self.follower.note_restore(ids.Era(2))
        await self.wait_for({"a": b"3"})

    async def test_read_beyond_the_end_is_followed_by_a_listing_at_once(self):
        """A router that reads rarely went on without a listing until its next read."""
        await self.start_in_era(wait_s=0.0, find_pause_s=lambda: 60.0)
        self.restore()
        self.follower.read_now()
        await self.wait_for({"a": b"0"})

    async def test_two_restores_in_series(self):
        await self.start_in_era()
        for era, value in ((2, b"3"), (3, b"4")):
            self.restore(value)
            self.follower.note_restore(ids.Era(era))
        await self.wait_for({"a": b"4"})
        await self.wait_position(test_keyed_log.at(2, 3))

    async def test_read_of_one_era_is_not_applied_in_another(self):
        """It was answered in time but handled after another call had seen the rise."""
        self.source = HeldLog()
        await self.start_in_era(wait_s=0.0, find_pause_s=lambda: 0.01)
        self.source.add("a", b"lost")
        await asyncio.sleep(0.01)
        self.restore(b"3")
        self.follower.note_restore(ids.Era(2))
        self.source.may_reply.set()
        await self.wait_for({"a": b"3"})
        self.assertEqual([], [u for u, _ in self.updates if u.changes and u.era == 1])

    async def test_listing_of_an_earlier_era_is_not_applied(self):
        """It began before the restore and ended after it."""
        may_reply = asyncio.Event()

        class Slow(test_keyed_log.MemoryKeyedLog):
            async def list_newest(self, topic):
                page = await super().list_newest(topic)
                await may_reply.wait()
                return page

        self.source = Slow()
        self.source.era = ids.Era(1)
        self.source.add("a", b"lost")
        self.start()
        await asyncio.sleep(0.01)
        self.source.restore([])
        self.source.add("a", b"2")
        self.follower.note_restore(ids.Era(2))
        may_reply.set()
        await self.wait_for({"a": b"2"})
        self.assertEqual(2, self.source.listings)

    async def test_update_of_another_era_is_not_applied(self):
        """Offsets of two eras were compared by number."""
        await self.start_in_era()
        changes = [keyed_log.Change(ids.Offset(3), "a", b"other")]
        for era in (0, 2):
            update = keyed_log.Update(ids.Offset(3), ids.Offset(9), changes, 5.0, era)
            self.follower.apply_update(update, 0.0)
        self.assertEqual({"a": b"2"}, self.view.by_key)
        self.assertEqual([], self.view.outages)
        update = keyed_log.Update(ids.Offset(3), ids.Offset(4), changes, 0.0, 1)
        self.follower.apply_update(update, 0.0)
        self.assertEqual({"a": b"other"}, self.view.by_key)

    async def test_change_of_another_era_causes_no_read(self):
        await self.start_in_era()
        await asyncio.sleep(0.01)
        reads = len(self.source.reads)
        for position in (test_keyed_log.at(9, 0), test_keyed_log.at(9, 2)):
            self.follower.wake_for(position)
        await asyncio.sleep(0.01)
        self.assertEqual(reads, len(self.source.reads))

    async def test_first_read_after_a_failure_does_not_wait(self):
        """Only a response shows the era."""
        await self.start_in_era(wait_s=0.05)
        self.source.down = True
        await asyncio.sleep(0.1)
        self.source.reads.clear()
        self.source.down = False
        async with asyncio.timeout(5.0):
            while not self.source.reads:  # noqa: ASYNC110
                await asyncio.sleep(0)
        self.assertEqual(0.0, self.source.reads[0])

    async def test_another_log_service_is_listed_also_in_an_earlier_era(self):
        await self.start_in_era()
        self.source.restore([])
        self.source.era = ids.NO_ERA
        self.source.add("a", b"moved")
        self.follower.forget()
        await self.wait_for({"a": b"moved"})
