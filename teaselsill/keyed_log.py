"""The interface of a keyed log, which keeps at least the newest record of each key."""

import abc
import asyncio
import dataclasses
import logging
import random

import msgspec

from teaselsill import ids, log

MIN_BACKOFF_S = 0.2
"""How long to wait after a failed call; doubled with every further failure."""
MAX_BACKOFF_S = 0.8
"""The limit of the doubling."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed log.

    Attributes:
        key: The key.
        value: The value; none if the record deletes the key.
    """

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records and the offset at which to continue reading.

    Attributes:
        records: The records, in order.
        next_offset: The offset after the last record.
    """

    records: list[KeyedRecord]
    next_offset: ids.Offset


class Change(msgspec.Struct, array_like=True, frozen=True):
    """A record that changed a view, with its offset.

    Attributes:
        offset: The offset of the record.
        key: The key.
        value: The value; none if the record deletes the key.
    """

    offset: ids.Offset
    key: str
    value: bytes | None


class Update(msgspec.Struct, array_like=True, frozen=True):
    """The result of reading a range of a topic, shared so that others need not read it.

    Attributes:
        first_offset: The first offset of the range.
        next_offset: The offset after the range.
        changes: The records of the range that change the view of a reader that has
            applied all earlier records.
        outage_s: How long the log was unavailable before the read, in seconds; 0 if
            it was available.
    """

    first_offset: ids.Offset
    next_offset: ids.Offset
    changes: list[Change]
    outage_s: float

    def merge_earlier(self, earlier: "Update | None") -> "Update":
        """Returns both updates as one; ignores an earlier one that is not adjacent."""
        if earlier is None or earlier.next_offset != self.first_offset:
            return self
        return Update(
            earlier.first_offset,
            self.next_offset,
            earlier.changes + self.changes,
            max(earlier.outage_s, self.outage_s),
        )


class KeyedLog(abc.ABC):
    """A client of the platform's keyed log."""

    @abc.abstractmethod
    async def list_newest(self, topic: str) -> KeyedPage:
        """Returns the newest record of each key that is not deleted.

        Raises:
            LogUnavailableError: No usable reply came.
        """

    @abc.abstractmethod
    async def read(self, topic: str, start: ids.Offset, wait_s: float) -> KeyedPage:
        """Reads records, starting at an offset.

        Args:
            topic: The topic.
            start: The first offset to read.
            wait_s: How long to wait for a record if there is none yet, in seconds.

        Raises:
            OffsetExpiredError: The record at `start` may have been deleted.
            LogUnavailableError: No usable reply came.
        """

    @abc.abstractmethod
    async def put(self, topic: str, record: KeyedRecord) -> None:
        """Appends a record.

        Raises:
            LogUnavailableError: No usable reply came; the record may have been
                appended.
        """


class View(abc.ABC):
    """State that a follower keeps up to date with the records of a topic."""

    @abc.abstractmethod
    def put(self, record: KeyedRecord) -> bool:
        """Applies the next record of the log; returns whether it changes the view."""

    @abc.abstractmethod
    def keep_only(self, keys: set[str]) -> None:
        """Removes all keys but these, which a complete listing contained."""

    def note_outage(self, lasted_s: float) -> None:
        """Called when the log is available again, with the seconds that it was not."""


async def put_with_retries(target: KeyedLog, topic: str, record: KeyedRecord) -> None:
    """Appends a record, retrying with backoff until the log has accepted it."""
    backoff_s = MIN_BACKOFF_S
    while True:
        try:
            await target.put(topic, record)
            return
        except log.LogUnavailableError as error:
            logger.warning(
                "record not appended, retrying",
                extra={"topic": topic, "reason": str(error)},
            )
        await asyncio.sleep(backoff_s * random.uniform(0.7, 1.0))
        backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
