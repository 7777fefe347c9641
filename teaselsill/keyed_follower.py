"""Follows one topic of a keyed log."""

import asyncio
import collections.abc
import logging
import math
import random

from teaselsill import boot_clock, ids, keyed_log, log

MIN_WAIT_AFTER_FAILURE_S = 0.5
"""How long the first read after a failure waits; each in a row twice as long."""
SLOW_READ_S = 0.3
"""What took longer, beyond the wait, was held up and may be as old as its call."""
WAKE_GRACE_S = 0.1
"""A waiting read that should have ended by now is given up after so long."""

logger = logging.getLogger(__name__)

OnChange = collections.abc.Callable[[str, ids.Offset], None]
OnRead = collections.abc.Callable[[str, keyed_log.Update, float], None]


class Follower:
    """Keeps a view up to date with one topic.

    Args:
        source: The log.
        topic: The topic.
        view: What is kept up to date.
        find_wait_s: Returns how long one read waits for a record, in seconds.
        find_pause_s: Returns how long to wait between two reads, in seconds. What
            another reader tells counts as a read.
        on_change: Called with the topic and the offset of a change.
        on_read: Called with the topic, what was read, and for when that holds, by
            the boot clock.

    Attributes:
        is_listed: Whether the topic has been listed once.
    """

    def __init__(
        self,
        source: keyed_log.KeyedLog,
        topic: str,
        view: keyed_log.View,
        find_wait_s: collections.abc.Callable[[], float],
        find_pause_s: collections.abc.Callable[[], float] = lambda: 0.0,
        on_change: OnChange = lambda topic, offset: None,
        on_read: OnRead = lambda topic, update, read_at: None,
    ):
        self.is_listed = False
        self._source = source
        self._topic = topic
        self._view = view
        self._find_wait_s = find_wait_s
        self._find_pause_s = find_pause_s
        self._on_change = on_change
        self._on_read = on_read
        self._fresh_at = -math.inf
        self._poked = asyncio.Event()
        self._next: ids.Offset | None = None
        self._has_just_listed = False
        self._lost_at: float | None = None
        self._failures = 0
        self._trusted_wait_s = math.inf

    async def run(self) -> None:
        """Follows the topic for ever."""
        while True:
            await self._pause()
            try:
                await self._step()
            except log.OffsetExpiredError as error:
                logger.info(
                    "records expired, listing anew",
                    extra={"topic": self._topic, "reason": str(error)},
                )
                self._next = None
                continue
            except log.LogUnavailableError as error:
                await self._wait_after_failure(error)

    def wake_for(self, offset: ids.Offset) -> None:
        """Reads at once if a change at an offset has not been read yet."""
        if self._next is None or offset >= self._next:
            self._poked.set()

    def apply_update(self, update: keyed_log.Update, age_s: float) -> None:
        """Takes what another reader has read.

        Args:
            update: What it has read.
            age_s: How long ago that was, in seconds.
        """
        if self._next is None or update.next_offset < self._next:
            return
        if update.first_offset > self._next:
            if update.changes:
                self._poked.set()
            return
        if update.outage_s:
            self._view.note_outage(update.outage_s)
        self._note_reached(boot_clock.now() - age_s)
        for change in update.changes:
            if change.offset >= self._next:
                self._view.put(keyed_log.KeyedRecord(change.key, change.value))
        self._next = update.next_offset

    async def _pause(self) -> None:
        """Waits until the topic has to be read."""
        while not self._poked.is_set():
            left_s = self._fresh_at + self._find_pause_s() - boot_clock.now()
            if left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self._poked.wait()
            except TimeoutError:
                pass
        self._poked.clear()

    async def _step(self) -> None:
        if self._next is None:
            await self._list()
            return
        first = self._next
        began_at = boot_clock.now()
        wait_s = min(self._find_wait_s(), self._trusted_wait_s)
        page = await self._read_on(first, wait_s)
        read_at = boot_clock.now()
        if read_at - began_at > wait_s + SLOW_READ_S:
            read_at = began_at
        outage_s = self._note_reached(read_at)
        told = self._next - first
        covered_from = self._next
        changes = self._take(page.records[told:], page.next_offset)
        update = keyed_log.Update(covered_from, self._next, changes, outage_s)
        self._on_read(self._topic, update, read_at)
        if changes:
            self._on_change(self._topic, changes[-1].offset)

    def _take(
        self, records: list[keyed_log.KeyedRecord], following: ids.Offset
    ) -> list[keyed_log.Change]:
        """Puts what was read beyond what was known; returns what others have to know.

        The first records after a listing may have been in it, and be no news only here.

        Args:
            records: The records from the next offset on.
            following: The offset after the last one.
        """
        changes = []
        for place, record in enumerate(records, self._next):
            if self._view.put(record) or self._has_just_listed:
                offset = ids.Offset(place)
                changes.append(keyed_log.Change(offset, record.key, record.value))
        self._has_just_listed = False
        self._next = max(self._next, following)
        return changes

    async def _list(self) -> None:
        began_at = boot_clock.now()
        page = await self._source.list_newest(self._topic)
        self._note_reached(began_at)
        self._view.keep_only({record.key for record in page.records})
        has_changed = False
        for record in page.records:
            has_changed |= self._view.put(record)
        self._next = page.next_offset
        self._has_just_listed = True
        if has_changed and self.is_listed:
            self._on_change(self._topic, ids.Offset(self._next - 1))
        self.is_listed = True

    async def _read_on(self, start: ids.Offset, wait_s: float) -> keyed_log.KeyedPage:
        """Reads on, without further waiting once another router has seen a change."""
        self._trusted_wait_s *= 2
        if not wait_s:
            return await self._source.read(self._topic, start, 0.0)
        reading = asyncio.create_task(self._source.read(self._topic, start, wait_s))
        poked = asyncio.create_task(self._poked.wait())
        try:
            await asyncio.wait({reading, poked}, return_when=asyncio.FIRST_COMPLETED)
            if not reading.done():
                await asyncio.wait({reading}, timeout=WAKE_GRACE_S)
            if reading.done():
                return reading.result()
        finally:
            self._poked.clear()
            poked.cancel()
            reading.cancel()
            await asyncio.gather(reading, poked, return_exceptions=True)
        return await self._source.read(self._topic, start, 0.0)

    def _note_reached(self, read_at: float) -> float:
        """Takes note of fresh records; returns how long there were none, in seconds.

        Args:
            read_at: For when they hold, by the boot clock.
        """
        self._failures = 0
        self._fresh_at = max(self._fresh_at, read_at)
        if self._lost_at is None:
            return 0.0
        lasted_s = self._now() - self._lost_at
        self._lost_at = None
        logger.info(
            "log reached again",
            extra={"topic": self._topic, "lost_for_s": round(lasted_s, 2)},
        )
        self._view.note_outage(lasted_s)
        return lasted_s

    async def _wait_after_failure(self, error: Exception) -> None:
        if self._lost_at is None:
            self._lost_at = self._now()
            logger.warning(
                "log lost, going on with what is known",
                extra={"topic": self._topic, "reason": str(error)},
            )
        self._trusted_wait_s = MIN_WAIT_AFTER_FAILURE_S
        pause_s = min(
            keyed_log.MAX_BACKOFF_S, keyed_log.MIN_BACKOFF_S * 2**self._failures
        )
        self._failures += 1
        await asyncio.sleep(pause_s * random.uniform(0.7, 1.0))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
