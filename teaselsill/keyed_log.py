"""A log whose records have keys, and of which the newest of each key is kept."""

import abc
import asyncio
import dataclasses
import logging
import random

import msgspec

from teaselsill import ids, log

MIN_BACKOFF_S = 0.2
"""How long a follower waits after a failed call; each time in a row twice as long."""
MAX_BACKOFF_S = 0.8

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record.

    Attributes:
        key: Its key.
        value: Its value; none if the key was dropped.
    """

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedPage:
    """Some records and where to read on.

    Attributes:
        records: The records, in order.
        next: The offset after them.
    """

    records: list[KeyedRecord]
    next_offset: ids.Offset


class Change(msgspec.Struct, array_like=True, frozen=True):
    """A record that said something new.

    Attributes:
        offset: Its offset.
        key: Its key.
        value: Its value; none if the key was dropped.
    """

    offset: ids.Offset
    key: str
    value: bytes | None


class Update(msgspec.Struct, array_like=True, frozen=True):
    """What one reader of a topic tells the others, so that they need not read it.

    Attributes:
        first: The offset of the first record that it covers.
        next: The offset after the last record.
        changes: The records between them that say something new to whoever knows all
            before them.
        outage_s: How long the log could not be read before, in seconds; 0 if it could.
    """

    first_offset: ids.Offset
    next_offset: ids.Offset
    changes: list[Change]
    outage_s: float

    def merge_earlier(self, earlier: "Update | None") -> "Update":
        """Returns this update with what was read just before it."""
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
        """Returns the newest record of each key.

        Raises:
            LogUnavailableError: No usable reply came.
        """

    @abc.abstractmethod
    async def read(self, topic: str, start: ids.Offset, wait_s: float) -> KeyedPage:
        """Returns the records from an offset on.

        Args:
            topic: The topic.
            start: The first offset that is wanted.
            wait_s: How long to wait, in seconds, while there is no such record.

        Raises:
            OffsetExpiredError: Records from there on have been deleted.
            LogUnavailableError: No usable reply came.
        """

    @abc.abstractmethod
    async def put(self, topic: str, record: KeyedRecord) -> None:
        """Appends a record.

        Raises:
            LogUnavailableError: No usable reply came; the record may be there.
        """


class View(abc.ABC):
    """What a follower keeps up to date."""

    @abc.abstractmethod
    def put(self, record: KeyedRecord) -> bool:
        """Takes one record, in the order of the log; returns whether it is news."""

    @abc.abstractmethod
    def keep_only(self, keys: set[str]) -> None:
        """Takes note that a complete listing names these keys only."""

    def note_outage(self, lasted_s: float) -> None:
        """Takes note that the log can be read again after some time."""


async def put_with_retries(target: KeyedLog, topic: str, record: KeyedRecord) -> None:
    """Appends a record, trying until the log has taken it."""
    pause_s = MIN_BACKOFF_S
    while True:
        try:
            await target.put(topic, record)
            return
        except log.LogUnavailableError as error:
            logger.warning(
                "record not taken", extra={"topic": topic, "reason": str(error)}
            )
        await asyncio.sleep(pause_s * random.uniform(0.7, 1.0))
        pause_s = min(2 * pause_s, MAX_BACKOFF_S)
