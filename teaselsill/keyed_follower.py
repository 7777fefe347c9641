"""Keeps a view up to date with one topic of a keyed log."""

import asyncio
import collections.abc
import dataclasses
import logging
import math
import random

from teaselsill import boot_clock, ids, keyed_log, log, log_position

WAIT_AFTER_FAILURE_S = 0.5
"""The longest wait of the second read after a failure; doubled with each read.

The first one does not wait: its response shows whether the log has been restored.
"""
SLOW_READ_S = 0.3
"""A read that takes this much longer than its wait is dated at its start.

Its reply was delayed on the way, so its content may be as old as the call. If no reply
has come by then, its connection may be dead.
"""
MAX_UNSEEN_S = 0.7
"""Records read after a longer time without reads may have been written long before."""
MAX_UNREAD_S = 0.2
"""After so long, a change that another reader has seen makes this one count as
behind."""
COPY_AFTER_S = 0.5
"""After so long, such a change is fetched as a copy from another reader."""
WAKE_GRACE_S = 0.1
"""How long a waiting read may go on once another reader has seen a change.

The read should have ended by then; its connection may be dead, so a new one starts.
"""

logger = logging.getLogger(__name__)

OnChange = collections.abc.Callable[[str, log_position.Position], None]
OnRead = collections.abc.Callable[[str, keyed_log.Update, float], None]


class Follower:
    """Keeps a view up to date with one topic.

    It lists the newest records once and then reads from there on. Several processes
    can share the reading: `on_read` passes on what was read, and `apply_update`
    applies what another process has read.

    If the log comes back from an older copy, the follower lists the topic again. It
    then drops everything that rests on offsets of the earlier era.

    Args:
        source: The log.
        topic: The topic.
        view: The view.
        find_wait_s: Returns how long one read waits for a record, in seconds.
        find_pause_s: Returns how long to wait between two reads, in seconds. An
            update from another reader counts as a read.
        on_change: Called with the topic and the position of the newest change that was
            read.
        on_read: Called after each read with the topic, the update and the time by
            the boot clock up to which the view is current.
        find_spread_s: Returns over how much time the processes spread their listings
            after the log has come back from an older copy, in seconds.
        keeps_records: Whether the newest records are kept, for `copy` and
            `apply_again`.

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
        on_change: OnChange = lambda topic, position: None,
        on_read: OnRead = lambda topic, update, read_at: None,
        find_spread_s: collections.abc.Callable[[], float] = lambda: 0.0,
        keeps_records: bool = False,
    ):
        self.is_listed = False
        self._source = source
        self._topic = topic
        self._view = view
        self._find_wait_s = find_wait_s
        self._find_pause_s = find_pause_s
        self._on_change = on_change
        self._on_read = on_read
        self._find_spread_s = find_spread_s
        self._current_at = -math.inf
        self._wake_event = asyncio.Event()
        self._position: log_position.Position | None = None
        self._listed_era: ids.Era | None = None
        self._newest_era = ids.NO_ERA
        self._is_first_read_after_listing = False
        self._lost_at: float | None = None
        self._unread_position: log_position.Position | None = None
        self._unread_since = -math.inf
        self._keeps_records = keeps_records
        self._newest_by_key: dict[str, keyed_log.KeyedRecord] = {}
        self._failures = 0
        self._max_wait_s = math.inf

    @property
    def is_behind(self) -> bool:
        """Whether there may be changes that cannot be read at present."""
        if self._lost_at is not None:
            return True
        return self._has_unread and self._now() - self._unread_since > MAX_UNREAD_S

    @property
    def needs_copy(self) -> bool:
        """Whether there are known changes that cannot be read at present."""
        unread_s = self._now() - self._unread_since
        is_late = self._lost_at is not None or unread_s > COPY_AFTER_S
        return self._has_unread and is_late

    @property
    def _has_unread(self) -> bool:
        """Whether another reader has seen a change that was not read yet."""
        unread, position = self._unread_position, self._position
        if unread is None or position is None or unread.era != position.era:
            return False
        return unread >= position

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
                self._position = None
            except log.LogRestoredError as error:
                logger.info(
                    "log restored, listing the topic again",
                    extra={"topic": self._topic, "reason": str(error)},
                )
                self._position = None
            except log.LogUnavailableError as error:
                await self._wait_after_failure(error)

    def note_restore(self, era: ids.Era) -> None:
        """Ends a wait of an earlier era and lists the topic again at once."""
        self._newest_era = era
        if self._position is not None and self._position.era != era:
            self._position = None
            self._wake_event.set()

    def forget(self) -> None:
        """Lists the topic again: from now on, calls go to another log service."""
        self.note_restore(ids.NO_ERA)

    def read_now(self) -> None:
        """Starts a read at once, since the one that waits may get no response."""
        self._wake_event.set()

    def wake_for(self, position: log_position.Position) -> None:
        """Starts a read at once if the record at a position has not been read yet."""
        if self._position is None or (
            position.era == self._position.era and position >= self._position
        ):
            self._note_unread(position)
            self._wake_event.set()

    def _note_unread(self, position: log_position.Position) -> None:
        if self._has_unread and position.era == self._unread_position.era:
            self._unread_position = max(self._unread_position, position)
            return
        self._unread_since = self._now()
        self._unread_position = position

    def apply_again(self) -> None:
        """Applies the newest records once more, to a view that uses others now."""
        for record in list(self._newest_by_key.values()):
            self._view.put(record)

    def apply_update(self, update: keyed_log.Update, age_s: float) -> None:
        """Applies what another reader has read, as if it were read here.

        An update that leaves a gap is not applied; if it has changes, the topic is
        read at once. An update that ends before the next record, or that belongs to
        another era, is not applied either.

        Args:
            update: The update.
            age_s: The age of the read, in seconds.
        """
        if self._position is None or update.era != self._position.era:
            return
        if update.end < self._position:
            return
        if update.start > self._position:
            if update.changes:
                self._wake_event.set()
            return
        if update.outage_s:
            self._view.note_outage(update.outage_s)
        self._note_available(boot_clock.now() - age_s)
        for change in update.list_changes_from(self._position):
            self._put(keyed_log.KeyedRecord(change.key, change.value, age_s))
        self._position = update.end

    def copy(self) -> keyed_log.KeyedPage | None:
        """Returns the newest records, as in a listing; None if they are not known."""
        if self._position is None or not self._keeps_records:
            return None
        return keyed_log.KeyedPage(list(self._newest_by_key.values()), self._position)

    def apply_copy(self, page: keyed_log.KeyedPage) -> bool:
        """Applies a listing that another reader has, unless this one knows more.

        A listing of another era is not applied: it says nothing of what is newer.

        Args:
            page: The newest record of each key.

        Returns:
            Whether it was applied.
        """
        if self._position is None or page.end.era != self._position.era:
            return False
        if page.end <= self._position:
            return False
        self._apply_listing(page)
        self._position = page.end
        return True

    async def _pause(self) -> None:
        """Waits until the next read is due or requested; a listing is always due."""
        while self._position is not None and not self._wake_event.is_set():
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
        if self._position is None:
            await self._list()
            return
        start = self._position
        began_at = boot_clock.now()
        wait_s = min(self._find_wait_s(), self._max_wait_s)
        page = await self._read_on(start, wait_s)
        self._check_era(page, start)
        read_at = boot_clock.now()
        if read_at - began_at > wait_s + SLOW_READ_S:
            read_at = began_at
        is_fresh = began_at - self._current_at <= MAX_UNSEEN_S
        outage_s = self._note_available(read_at)
        # Updates from another reader may have been applied during the read.
        first = self._position
        records = page.records[first.count_since(start) :]
        if not is_fresh:
            records = [dataclasses.replace(each, is_recent=False) for each in records]
        changes = self._apply(records, page.end)
        update = keyed_log.Update(
            first.offset, self._position.offset, changes, outage_s, first.era
        )
        self._on_read(self._topic, update, read_at)
        if changes:
            self._on_change(
                self._topic, log_position.Position(first.era, changes[-1].offset)
            )

    def _check_era(
        self, page: keyed_log.KeyedPage, start: log_position.Position
    ) -> None:
        """Checks that what was read continues what is known.

        Raises:
            LogRestoredError: The log has come back from an older copy since the topic
                was listed.
        """
        self._newest_era = max(self._newest_era, page.end.era)
        if self._position is None or page.end.era != start.era:
            raise log.LogRestoredError(
                f"read of era {start.era}, now era {self._newest_era}"
            )

    def _apply(
        self, records: list[keyed_log.KeyedRecord], end: log_position.Position
    ) -> list[keyed_log.Change]:
        """Applies records to the view; returns the changes to share with others.

        The records of the first read after a listing may have been in the listing
        already. They change nothing here, but other readers may not know them, so all
        of them are returned.

        Args:
            records: The records from the next position on.
            end: The position after the last record.
        """
        changes = []
        for offset, record in enumerate(records, self._position.offset):
            if self._put(record) or self._is_first_read_after_listing:
                changes.append(
                    keyed_log.Change(ids.Offset(offset), record.key, record.value)
                )
        self._is_first_read_after_listing = False
        self._position = max(self._position, end)
        return changes

    async def _list(self) -> None:
        if self._listed_era is not None and self._listed_era != self._newest_era:
            await asyncio.sleep(random.uniform(0.0, self._find_spread_s()))
        began_at = boot_clock.now()
        page = await self._source.list_newest(self._topic)
        if page.end.era < self._newest_era:
            raise log.LogRestoredError(
                f"listing of era {page.end.era}, now era {self._newest_era}"
            )
        self._newest_era = page.end.era
        self._note_available(began_at)
        has_changed = self._apply_listing(page)
        self._listed_era = page.end.era
        self._position = page.end
        self._is_first_read_after_listing = True
        if has_changed and self.is_listed:
            self._on_change(self._topic, page.end.advance(-1))
        self.is_listed = True

    def _apply_listing(self, page: keyed_log.KeyedPage) -> bool:
        """Applies a complete listing; returns whether it changes the view."""
        if self._keeps_records:
            self._newest_by_key = {record.key: record for record in page.records}
        records = [dataclasses.replace(each, age_s=None) for each in page.records]
        if self._listed_era not in (None, page.end.era):
            logger.info(
                "topic listed again",
                extra={
                    "topic": self._topic,
                    "era": page.end.era,
                    "earlier_era": self._listed_era,
                    "records": len(page.records),
                },
            )
            return self._view.restore(records)
        self._view.keep_only({record.key for record in records})
        has_changed = False
        for record in records:
            has_changed |= self._view.put(record)
        return has_changed

    def _put(self, record: keyed_log.KeyedRecord) -> bool:
        """Applies the next record; returns whether it changes the view."""
        if record.value is None:
            self._newest_by_key.pop(record.key, None)
        elif self._keeps_records:
            self._newest_by_key[record.key] = record
        return self._view.put(record)

    async def _read_on(
        self, start: log_position.Position, wait_s: float
    ) -> keyed_log.KeyedPage:
        """Reads on; ends the wait early once another reader has seen a change.

        A read whose response is overdue is replaced by one that does not wait.

        Raises:
            LogRestoredError: Meanwhile the log has come back from an older copy.
        """
        self._max_wait_s = max(WAIT_AFTER_FAILURE_S, 2 * self._max_wait_s)
        if not wait_s:
            return await self._source.read(self._topic, start, 0.0)
        reading = asyncio.create_task(self._source.read(self._topic, start, wait_s))
        waking = asyncio.create_task(self._wake_event.wait())
        try:
            await asyncio.wait(
                {reading, waking},
                timeout=wait_s + SLOW_READ_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if waking.done() and self._position is not None:
                await asyncio.wait({reading}, timeout=WAKE_GRACE_S)
            if reading.done():
                return reading.result()
        finally:
            self._wake_event.clear()
            waking.cancel()
            reading.cancel()
            await asyncio.gather(reading, waking, return_exceptions=True)
        if self._position is None:
            raise log.LogRestoredError(
                f"wait of era {start.era}, now era {self._newest_era}"
            )
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
        self._max_wait_s = 0.0
        backoff_s = min(
            keyed_log.MAX_BACKOFF_S, keyed_log.MIN_BACKOFF_S * 2**self._failures
        )
        self._failures += 1
        await asyncio.sleep(backoff_s * random.uniform(0.7, 1.0))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
