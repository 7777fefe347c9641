"""Keeps a view up to date with one topic of a keyed log."""

import asyncio
import collections.abc
import logging
import math
import random

from teaselsill import boot_clock, ids, keyed_log, log

WAIT_AFTER_FAILURE_S = 0.5
"""The longest wait of the first read after a failure; doubled with each read."""
SLOW_READ_S = 0.3
"""A read that takes this much longer than its wait is dated at its start.

Its reply was delayed on the way, so its content may be as old as the call.
"""
WAKE_GRACE_S = 0.1
"""How long a waiting read may go on once another reader has seen a change.

The read should have ended by then; its connection may be dead, so a new one starts.
"""

logger = logging.getLogger(__name__)

OnChange = collections.abc.Callable[[str, ids.Offset], None]
OnRead = collections.abc.Callable[[str, keyed_log.Update, float], None]


class Follower:
    """Keeps a view up to date with one topic.

    It lists the newest records once and then reads from there on. Several processes
    can share the reading: `on_read` passes on what was read, and `apply_update`
    applies what another process has read.

    Args:
        source: The log.
        topic: The topic.
        view: The view.
        find_wait_s: Returns how long one read waits for a record, in seconds.
        find_pause_s: Returns how long to wait between two reads, in seconds. An
            update from another reader counts as a read.
        on_change: Called with the topic and the offset of the newest change that was
            read.
        on_read: Called after each read with the topic, the update and the time by
            the boot clock up to which the view is current.

    Attributes:
        is_listed: Whether the topic has been listed at least once.
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
        self._current_at = -math.inf
        self._wake_event = asyncio.Event()
        self._next_offset: ids.Offset | None = None
        self._is_first_read_after_listing = False
        self._lost_at: float | None = None
        self._failures = 0
        self._max_wait_s = math.inf

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        while True:
            await self._pause()
            try:
                await self._step()
            except log.OffsetExpiredError as error:
                logger.info(
                    "records expired, listing the topic again",
                    extra={"topic": self._topic, "reason": str(error)},
                )
                self._next_offset = None
                continue
            except log.LogUnavailableError as error:
                await self._wait_after_failure(error)

    def wake_for(self, offset: ids.Offset) -> None:
        """Starts a read at once if the record at an offset has not been read yet."""
        if self._next_offset is None or offset >= self._next_offset:
            self._wake_event.set()

    def apply_update(self, update: keyed_log.Update, age_s: float) -> None:
        """Applies what another reader has read, as if it were read here.

        An update that leaves a gap is not applied; if it has changes, the topic is
        read at once. An update that ends before the next offset is out of date.

        Args:
            update: The update.
            age_s: The age of the read, in seconds.
        """
        if self._next_offset is None or update.next_offset < self._next_offset:
            return
        if update.first_offset > self._next_offset:
            if update.changes:
                self._wake_event.set()
            return
        if update.outage_s:
            self._view.note_outage(update.outage_s)
        self._note_available(boot_clock.now() - age_s)
        for change in update.changes:
            if change.offset >= self._next_offset:
                self._view.put(keyed_log.KeyedRecord(change.key, change.value))
        self._next_offset = update.next_offset

    async def _pause(self) -> None:
        """Waits until the next read is due or requested."""
        while not self._wake_event.is_set():
            left_s = self._current_at + self._find_pause_s() - boot_clock.now()
            if left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self._wake_event.wait()
            except TimeoutError:
                pass
        self._wake_event.clear()

    async def _step(self) -> None:
        if self._next_offset is None:
            await self._list()
            return
        start = self._next_offset
        began_at = boot_clock.now()
        wait_s = min(self._find_wait_s(), self._max_wait_s)
        page = await self._read_on(start, wait_s)
        read_at = boot_clock.now()
        if read_at - began_at > wait_s + SLOW_READ_S:
            read_at = began_at
        outage_s = self._note_available(read_at)
        # Updates from another reader may have been applied during the read.
        already_applied = self._next_offset - start
        first_offset = self._next_offset
        changes = self._apply(page.records[already_applied:], page.next_offset)
        update = keyed_log.Update(first_offset, self._next_offset, changes, outage_s)
        self._on_read(self._topic, update, read_at)
        if changes:
            self._on_change(self._topic, changes[-1].offset)

    def _apply(
        self, records: list[keyed_log.KeyedRecord], next_offset: ids.Offset
    ) -> list[keyed_log.Change]:
        """Applies records to the view; returns the changes to share with others.

        The records of the first read after a listing may have been in the listing
        already. They change nothing here, but other readers may not know them, so all
        of them are returned.

        Args:
            records: The records from the next offset on.
            next_offset: The offset after the last record.
        """
        changes = []
        for position, record in enumerate(records, self._next_offset):
            if self._view.put(record) or self._is_first_read_after_listing:
                offset = ids.Offset(position)
                changes.append(keyed_log.Change(offset, record.key, record.value))
        self._is_first_read_after_listing = False
        self._next_offset = max(self._next_offset, next_offset)
        return changes

    async def _list(self) -> None:
        began_at = boot_clock.now()
        page = await self._source.list_newest(self._topic)
        self._note_available(began_at)
        self._view.keep_only({record.key for record in page.records})
        has_changed = False
        for record in page.records:
            has_changed |= self._view.put(record)
        self._next_offset = page.next_offset
        self._is_first_read_after_listing = True
        if has_changed and self.is_listed:
            self._on_change(self._topic, ids.Offset(self._next_offset - 1))
        self.is_listed = True

    async def _read_on(self, start: ids.Offset, wait_s: float) -> keyed_log.KeyedPage:
        """Reads on; ends the wait early once another reader has seen a change."""
        self._max_wait_s *= 2
        if not wait_s:
            return await self._source.read(self._topic, start, 0.0)
        reading = asyncio.create_task(self._source.read(self._topic, start, wait_s))
        waking = asyncio.create_task(self._wake_event.wait())
        try:
            await asyncio.wait({reading, waking}, return_when=asyncio.FIRST_COMPLETED)
            if not reading.done():
                await asyncio.wait({reading}, timeout=WAKE_GRACE_S)
            if reading.done():
                return reading.result()
        finally:
            self._wake_event.clear()
            waking.cancel()
            reading.cancel()
            await asyncio.gather(reading, waking, return_exceptions=True)
        return await self._source.read(self._topic, start, 0.0)

    def _note_available(self, read_at: float) -> float:
        """Records a successful read; returns the length of the outage before it.

        Args:
            read_at: The time up to which the view is current, by the boot clock.

        Returns:
            How long the log was unavailable, in seconds; 0 if it was available.
        """
        self._failures = 0
        self._current_at = max(self._current_at, read_at)
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
        self._max_wait_s = WAIT_AFTER_FAILURE_S
        backoff_s = min(
            keyed_log.MAX_BACKOFF_S, keyed_log.MIN_BACKOFF_S * 2**self._failures
        )
        self._failures += 1
        await asyncio.sleep(backoff_s * random.uniform(0.7, 1.0))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
