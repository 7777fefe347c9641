"""The interface of a keyed log, which keeps at least the newest record of each key."""

import abc
import dataclasses

import msgspec

from teaselsill import ids, log_position

MIN_BACKOFF_S = 0.2
"""How long to wait after a failed call; doubled with every further failure."""
MAX_BACKOFF_S = 0.8
"""The limit of the doubling."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed log.

    Attributes:
        key: The key.
        value: The value; none if the record deletes the key.
        age_s: How long ago another reader has read it, in seconds; 0 if it was just
            read here, None if it was listed, so that it may be of any age.
        is_recent: Whether it was written shortly before it was read.
    """

    key: str
    value: bytes | None
    age_s: float | None = 0.0
    is_recent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records and the position at which to continue reading.

    Attributes:
        records: The records, in order.
        end: The position after the last record.
    """

    records: list[KeyedRecord]
    end: log_position.Position


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
        era: The era of all offsets. Routers of earlier versions state none.
    """

    first_offset: ids.Offset
    next_offset: ids.Offset
    changes: list[Change]
    outage_s: float
    era: ids.Era = ids.NO_ERA

    @property
    def start(self) -> log_position.Position:
        """The position of the first record of the range."""
        return log_position.Position(self.era, self.first_offset)

    @property
    def end(self) -> log_position.Position:
        """The position after the range."""
        return log_position.Position(self.era, self.next_offset)

    def list_changes_from(self, position: log_position.Position) -> list[Change]:
        """Returns the changes that are not before a position.

        Raises:
            EraMismatchError: The position is of another era.
        """
        return [
            change
            for change in self.changes
            if log_position.Position(self.era, change.offset) >= position
        ]

    def merge_earlier(self, earlier: "Update | None") -> "Update":
        """Returns both updates as one; ignores an earlier one that is not adjacent."""
        if earlier is None or earlier.end != self.start:
            return self
        return Update(
            earlier.first_offset,
            self.next_offset,
            earlier.changes + self.changes,
            max(earlier.outage_s, self.outage_s),
            self.era,
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
    async def read(
        self, topic: str, start: log_position.Position, wait_s: float
    ) -> KeyedPage:
        """Reads records, starting at a position.

        The log service knows offsets only. If it has come back from an older copy
        since, the page is of a later era than the position, and its records may be
        others than the ones that were asked for.

        Args:
            topic: The topic.
            start: The position of the first record to read.
            wait_s: How long to wait for a record if there is none yet, in seconds.

        Raises:
            OffsetExpiredError: The record at `start` may have been deleted, or the log
                has no such offset.
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

    @abc.abstractmethod
    def restore(self, records: list[KeyedRecord]) -> bool:
        """Applies the first listing after the log has come back from an older copy.

        The listing may lack records that were acknowledged, until their writers write
        them again, and may contain older ones than are known. What is in force must
        not go back by it.

        Args:
            records: The newest record of each key.

        Returns:
            Whether it changes the view.
        """

    def note_outage(self, lasted_s: float) -> None:
        """Called when the log is available again, with the seconds that it was not."""
