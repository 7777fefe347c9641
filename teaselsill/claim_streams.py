"""Appends to the claim streams in batches, and the state that their records give."""

import asyncio
import collections
import dataclasses
import random

from teaselsill import claim_records, errors, ids, log

MAX_BATCH_RECORDS = 64
"""The maximum number of records in one append."""

MAX_EARLY_RELEASES = 1024
"""The maximum number of releases kept for claims that have not been read.

The append of a claim can time out, take effect late and follow its own release.
"""

MAX_BACKLOG_RECORDS = 10_000
"""The maximum number of records that wait for the log to become available."""

LOG_TIMEOUT_S = 3.0
"""The timeout of one call of the log, beyond the wait that it requests, in seconds."""

CLAIM_TIMEOUT_S = 2.0
"""How long the stream is read for a claim after its append, in seconds."""

READ_WAIT_S = 0.1
"""How long one of these reads waits for new records, in seconds."""

MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5.0
"""The bounds of the backoff between two attempts to write the backlog, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """A claim that holds its key until it is released or its request has run.

    Attributes:
        claim: The claim.
        offset: The offset of its record.
        is_void: Whether the key was taken before, so that its request must not run.
    """

    claim: claim_records.Claim
    offset: ids.Offset
    is_void: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that has run.

    Attributes:
        offset: The offset of its record, which contains the response.
        request: The digest of the request.
    """

    offset: ids.Offset
    request: claim_records.Digest


class ClaimState:
    """The claims and runs of a partition, computed from its records in order.

    Attributes:
        holders_by_key: The claims that hold a key, in the order of the log.
        run_by_key: The first run of each key.
    """

    def __init__(self):
        self.holders_by_key: dict[claim_records.Digest, list[Holder]] = {}
        self.run_by_key: dict[claim_records.Digest, Run] = {}
        self._released_early_ids: collections.OrderedDict[
            claim_records.ClaimId, None
        ] = collections.OrderedDict()

    def __len__(self):
        return len(self.holders_by_key) + len(self.run_by_key)

    def is_taken(self, key: claim_records.Digest) -> bool:
        """Returns whether a claim holds the key or a request has run under it."""
        return key in self.run_by_key or key in self.holders_by_key

    def find_holder(self, claim: claim_records.Claim) -> Holder | None:
        """Returns the holder with this claim, or none if the claim was not read yet."""
        for holder in self.holders_by_key.get(claim.key, ()):
            if holder.claim.id == claim.id:
                return holder
        return None

    def apply(self, record: claim_records.Record, offset: ids.Offset) -> None:
        """Applies the next record."""
        match record:
            case claim_records.Claim():
                self._apply_claim(record, offset)
            case claim_records.Release():
                self._apply_release(record)
            case claim_records.Ran():
                self._apply_ran(record, offset)

    def _apply_claim(self, claim, offset):
        if claim.id in self._released_early_ids:
            del self._released_early_ids[claim.id]
            return
        if self.find_holder(claim) is not None:
            return
        is_void = self.is_taken(claim.key)
        holders = self.holders_by_key.setdefault(claim.key, [])
        holders.append(Holder(claim, offset, is_void))

    def _apply_release(self, release):
        if self._remove_holder(release.id, release.key):
            return
        self._released_early_ids[release.id] = None
        if len(self._released_early_ids) > MAX_EARLY_RELEASES:
            self._released_early_ids.popitem(last=False)

    def _apply_ran(self, ran, offset):
        self._remove_holder(ran.id, ran.key)
        self.run_by_key.setdefault(ran.key, Run(offset, ran.request))

    def _remove_holder(self, claim_id, key):
        holders = self.holders_by_key.get(key, [])
        kept = [holder for holder in holders if holder.claim.id != claim_id]
        if len(kept) == len(holders):
            return False
        if kept:
            self.holders_by_key[key] = kept
        else:
            del self.holders_by_key[key]
        return True


class Partition:
    """A client of one claim stream, which appends in batches and keeps the state.

    Attributes:
        state: The state as of the last read.
        appends: The number of appends, including failed ones.
        appended_records: The number of records in these appends.
    """

    def __init__(self, log_service: log.Log, stream: str):
        self.state = ClaimState()
        self.appends = 0
        self.appended_records = 0
        self._log = log_service
        self._stream = stream
        self._next_offset = ids.Offset(0)
        self._read_lock = asyncio.Lock()
        self._waiting: list[tuple[claim_records.Record, asyncio.Future]] = []
        self._writer: asyncio.Task | None = None

    @property
    def is_reading(self) -> bool:
        """Whether a read is in progress."""
        return self._read_lock.locked()

    def evict(self) -> None:
        """Drops the state from memory; the next read starts at the first record."""
        self.state = ClaimState()
        self._next_offset = ids.Offset(0)

    async def append(self, record: claim_records.Record) -> None:
        """Appends a record, in one batch with others that wait."""
        written = asyncio.get_running_loop().create_future()
        self._waiting.append((record, written))
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_batches())
        await written

    async def append_claim(self, claim: claim_records.Claim) -> None:
        """Appends a claim; ignores failures, since `find_holder` shows the effect."""
        try:
            await self.append(claim)
        except errors.LogError:
            pass

    async def find_holder(self, claim: claim_records.Claim) -> Holder | None:
        """Reads on until the claim is found or `CLAIM_TIMEOUT_S` has passed."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CLAIM_TIMEOUT_S
        wait_s = 0.0
        while True:
            async with self._read_lock:
                holder = self.state.find_holder(claim)
                if holder is None:
                    await self._read_to_end(wait_s)
                    holder = self.state.find_holder(claim)
            if holder is not None or loop.time() >= deadline:
                return holder
            wait_s = READ_WAIT_S

    async def read_on(self) -> None:
        """Reads the records that were appended since the last read."""
        async with self._read_lock:
            await self._read_to_end(0.0)

    async def read_run(
        self, key: claim_records.Digest, run: Run
    ) -> claim_records.Ran | None:
        """Reads the record of a run again; returns none if it is not available."""
        try:
            page = await self._read_page(run.offset, 0.0, 1)
        except errors.LogError:
            return None
        for record in page.records:
            for part in claim_records.decode(record.data):
                if isinstance(part, claim_records.Ran) and part.key == key:
                    return part
        return None

    async def close(self) -> None:
        """Cancels pending writes."""
        await _cancel(self._writer)
        self._writer = None

    async def _read_to_end(self, wait_s):
        while True:
            try:
                page = await self._read_page(self._next_offset, wait_s, 1000)
            except log.OffsetExpiredError as error:
                self.state = ClaimState()
                self._next_offset = error.earliest
                continue
            for record in page.records:
                self._apply(record)
            if not page.records or self._next_offset >= page.end:
                return

    def _apply(self, record):
        for part in claim_records.decode(record.data):
            self.state.apply(part, record.offset)
        self._next_offset = ids.Offset(record.offset + 1)

    async def _read_page(self, start, wait_s, limit):
        try:
            async with asyncio.timeout(LOG_TIMEOUT_S + wait_s):
                return await self._log.read(self._stream, start, wait_s, limit)
        except TimeoutError as error:
            raise log.LogUnavailableError(f"read of {self._stream}: timeout") from error

    async def _write_batches(self):
        while self._waiting:
            batch = self._waiting[:MAX_BATCH_RECORDS]
            del self._waiting[:MAX_BATCH_RECORDS]
            try:
                await self._append_batch([record for record, _ in batch])
            except errors.LogError as error:
                _resolve(batch, error)
            except asyncio.CancelledError:
                _resolve(batch + self._waiting, log.LogUnavailableError("closed"))
                raise
            else:
                _resolve(batch, None)

    async def _append_batch(self, records):
        self.appends += 1
        self.appended_records += len(records)
        try:
            async with asyncio.timeout(LOG_TIMEOUT_S):
                await self._log.append(self._stream, claim_records.encode(records))
        except TimeoutError as error:
            message = f"append to {self._stream}: timeout"
            raise log.LogUnavailableError(message) from error


class Backlog:
    """Records that are written in the background, with retries until they are appended.

    Attributes:
        dropped: The number of records dropped because too many were waiting.
    """

    def __init__(self):
        self.dropped = 0
        self._pending: list[tuple[Partition, claim_records.Record]] = []
        self._task: asyncio.Task | None = None

    def __len__(self):
        return len(self._pending)

    def add(self, partition: Partition, record: claim_records.Record) -> None:
        """Queues a record; drops and counts it if too many are waiting."""
        if len(self._pending) >= MAX_BACKLOG_RECORDS:
            self.dropped += 1
            return
        self._pending.append((partition, record))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._write_all())

    async def flush(self, timeout_s: float) -> bool:
        """Waits until all records are written; returns whether this was in time."""
        if self._pending:
            await asyncio.wait([self._task], timeout=timeout_s)
        return not self._pending

    async def close(self) -> None:
        """Cancels pending writes."""
        await _cancel(self._task)
        self._task = None

    async def _write_all(self):
        backoff_s = MIN_BACKOFF_S
        while self._pending:
            if await self._write_once():
                backoff_s = MIN_BACKOFF_S
                continue
            await asyncio.sleep(random.uniform(backoff_s / 2, backoff_s))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _write_once(self):
        attempted = list(self._pending)
        results = await asyncio.gather(
            *(partition.append(record) for partition, record in attempted),
            return_exceptions=True,
        )
        failed = [
            item
            for item, result in zip(attempted, results, strict=True)
            if isinstance(result, BaseException)
        ]
        self._pending[: len(attempted)] = failed
        return not failed


def _resolve(batch, error):
    for _, written in batch:
        if written.done():
            continue
        if error is None:
            written.set_result(None)
        else:
            written.set_exception(error)


async def _cancel(task):
    if task is None:
        return
    task.cancel()
    await asyncio.wait([task])
