"""The interface of the platform's append-only log service, and a log in memory."""

import abc
import asyncio
import dataclasses

from teaselsill import errors, ids


class LogUnavailableError(errors.LogError):
    """The log service did not answer; an append may have taken effect all the same."""


class StaleResponseError(LogUnavailableError):
    """The response was given before the log service came back from an older copy."""


class LogRestoredError(errors.LogError):
    """The log service has come back from an older copy; offsets are given out again."""


class OffsetExpiredError(errors.LogError):
    """The record at the requested offset has expired.

    Attributes:
        earliest: The first offset that is still available.
    """

    def __init__(self, earliest: ids.Offset):
        super().__init__(f"records before offset {earliest} have expired")
        self.earliest = earliest


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of a stream.

    Attributes:
        offset: Its position in the stream.
        data: The appended bytes.
    """

    offset: ids.Offset
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Consecutive records and the end of the stream.

    Attributes:
        records: The records in order, from the requested offset on.
        end: The offset after the last record of the stream.
    """

    records: list[Record]
    end: ids.Offset


class Log(abc.ABC):
    """A client of an append-only log service, whose streams have numbered records."""

    @abc.abstractmethod
    async def append(self, stream: str, data: bytes) -> ids.Offset:
        """Appends one record and returns its offset.

        Raises:
            LogUnavailableError: No reply came; the record may have been appended.
        """

    @abc.abstractmethod
    async def read(
        self, stream: str, start: ids.Offset, wait_s: float = 0.0, limit: int = 1000
    ) -> Page:
        """Reads records, starting at an offset.

        Args:
            stream: The name of the stream; a stream that does not exist is empty.
            start: The first offset to read.
            wait_s: How long to wait for a record if there is none yet, in seconds.
            limit: The maximum number of records.

        Raises:
            OffsetExpiredError: The record at `start` has expired.
            LogUnavailableError: No reply came.
        """

    async def read_to_end(self, stream: str, start: ids.Offset) -> Page:
        """Reads all records from an offset to the end of the stream."""
        records = []
        while True:
            page = await self.read(stream, start)
            records.extend(page.records)
            if not page.records or page.records[-1].offset + 1 >= page.end:
                return Page(records, page.end)
            start = ids.Offset(page.records[-1].offset + 1)

    async def close(self) -> None:
        """Frees the client's resources."""


class MemoryLog(Log):
    """A log in memory with switchable failures, for tests.

    Attributes:
        down: While true, every call fails and has no effect.
        lose_replies: While true, appends take effect but raise as if no reply came.
    """

    def __init__(self):
        self.down = False
        self.lose_replies = False
        self._records_by_stream: dict[str, list[bytes]] = {}
        self._earliest_by_stream: dict[str, int] = {}
        self._changed = asyncio.Event()

    async def append(self, stream: str, data: bytes) -> ids.Offset:
        """Appends one record; see `Log.append`."""
        self._check_up()
        records = self._records_by_stream.setdefault(stream, [])
        records.append(data)
        self._changed.set()
        self._changed = asyncio.Event()
        if self.lose_replies:
            raise LogUnavailableError("the reply to an append was lost")
        return ids.Offset(len(records) - 1)

    async def read(
        self, stream: str, start: ids.Offset, wait_s: float = 0.0, limit: int = 1000
    ) -> Page:
        """Reads records; see `Log.read`."""
        self._check_up()
        if wait_s and start >= len(self._records_by_stream.get(stream, [])):
            await self._wait_for_change(wait_s)
            self._check_up()
        records = self._records_by_stream.get(stream, [])
        earliest = self._earliest_by_stream.get(stream, 0)
        if start < earliest:
            raise OffsetExpiredError(ids.Offset(earliest))
        page_records = [
            Record(ids.Offset(offset), records[offset])
            for offset in range(start, min(start + limit, len(records)))
        ]
        return Page(page_records, ids.Offset(len(records)))

    def expire(self, stream: str, before: ids.Offset) -> None:
        """Deletes the records of a stream before an offset."""
        self._earliest_by_stream[stream] = before

    async def _wait_for_change(self, wait_s: float) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout(wait_s):
                await changed.wait()
        except TimeoutError:
            pass

    def _check_up(self) -> None:
        if self.down:
            raise LogUnavailableError("the log service is down")
