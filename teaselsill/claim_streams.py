"""The claim streams: records appended in batches and folded in order."""

import asyncio
import collections
import dataclasses
import random

from teaselsill import claim_records, errors, ids, log

MAX_BATCH_RECORDS = 64
"""How many records one append may hold."""

MAX_WITHDRAWN = 1024
"""How many releases of claims that have not landed a partition remembers."""

MAX_BACKLOG_RECORDS = 10_000
"""How many records may wait for the log to come back."""

LOG_TIMEOUT_S = 3.0
"""How long the log may take for one call, in seconds."""

SETTLE_S = 2.0
"""How long a claim whose reply was lost is looked for, in seconds."""

POLL_S = 0.1
"""How long one read waits for a claim to land, in seconds."""

MIN_RETRY_S = 0.05
MAX_RETRY_S = 5.0
"""The bounds of the pause between two tries to write the backlog, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """A claim that holds its key until its own release.

    Attributes:
        claim: The claim.
        offset: The offset of its record.
        is_void: Whether the key was taken when it landed, so that it may not run.
    """

    claim: claim_records.Claim
    offset: ids.Offset
    is_void: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A run that has happened.

    Attributes:
        offset: The offset of its record, which holds the answer.
        request: The digest of the request.
    """

    offset: ids.Offset
    request: claim_records.Digest


class ClaimState:
    """The state that follows from a partition's records, read in order.

    Attributes:
        holders_by_key: The claims that are not released, in the order of the log.
        run_by_key: The first run of each key that has run.
    """

    def __init__(self):
        self.holders_by_key: dict[claim_records.Digest, list[Holder]] = {}
        self.run_by_key: dict[claim_records.Digest, Run] = {}
        self._withdrawn_ids: collections.OrderedDict[claim_records.ClaimId, None] = (
            collections.OrderedDict()
        )

    def __len__(self):
        return len(self.holders_by_key) + len(self.run_by_key)

    def is_taken(self, key: claim_records.Digest) -> bool:
        """Tells whether the key is held or has run."""
        return key in self.run_by_key or key in self.holders_by_key

    def find_holder(self, claim: claim_records.Claim) -> Holder | None:
        """Returns what became of a claim, or none if it has not landed."""
        for holder in self.holders_by_key.get(claim.key, ()):
            if holder.claim.id == claim.id:
                return holder
        return None

    def apply(self, record: claim_records.Record, offset: ids.Offset) -> None:
        """Takes the next record in."""
        match record:
            case claim_records.Claim():
                self._apply_claim(record, offset)
            case claim_records.Release():
                self._apply_release(record)
            case claim_records.Ran():
                self._apply_ran(record, offset)

    def _apply_claim(self, claim, offset):
        if claim.id in self._withdrawn_ids:
            del self._withdrawn_ids[claim.id]
            return
        if self.find_holder(claim) is not None:
            return
        is_void = self.is_taken(claim.key)
        holders = self.holders_by_key.setdefault(claim.key, [])
        holders.append(Holder(claim, offset, is_void))

    def _apply_release(self, release):
        if self._remove_holder(release.id, release.key):
            return
        self._withdrawn_ids[release.id] = None
        if len(self._withdrawn_ids) > MAX_WITHDRAWN:
            self._withdrawn_ids.popitem(last=False)

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
    """One stream: appends in batches, reads on from the last offset.

    Attributes:
        state: The state as of the last read.
        appends: How many appends were tried.
        appended_records: How many records they held.
    """

    def __init__(self, log_service: log.Log, stream: str):
        self.state = ClaimState()
        self.appends = 0
        self.appended_records = 0
        self._log = log_service
        self._stream = stream
        self._next_offset = ids.Offset(0)
        self._reading = asyncio.Lock()
        self._waiting: list[tuple[claim_records.Record, asyncio.Future]] = []
        self._writer: asyncio.Task | None = None

    @property
    def is_reading(self) -> bool:
        """Whether a read is under way."""
        return self._reading.locked()

    def forget(self) -> None:
        """Frees the memory; the next read starts from the earliest record."""
        self.state = ClaimState()
        self._next_offset = ids.Offset(0)

    async def append(self, record: claim_records.Record) -> None:
        """Appends a record, together with those that wait meanwhile."""
        written = asyncio.get_running_loop().create_future()
        self._waiting.append((record, written))
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_batches())
        await written

    async def append_claim(self, claim: claim_records.Claim) -> None:
        """Appends a claim; without a reply, only the stream tells whether it landed."""
        try:
            await self.append(claim)
        except errors.LogError:
            pass

    async def find_holder(self, claim: claim_records.Claim) -> Holder | None:
        """Reads on until a claim has landed, or for `SETTLE_S`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + SETTLE_S
        wait_s = 0.0
        while True:
            async with self._reading:
                holder = self.state.find_holder(claim)
                if holder is None:
                    await self._read_to_end(wait_s)
                    holder = self.state.find_holder(claim)
            if holder is not None or loop.time() >= deadline:
                return holder
            wait_s = POLL_S

    async def read_on(self) -> None:
        """Reads what was appended since the last read."""
        async with self._reading:
            await self._read_to_end(0.0)

    async def read_run(
        self, key: claim_records.Digest, run: Run
    ) -> claim_records.Ran | None:
        """Reads the record of a run again; none if it cannot be read."""
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
        """Stops the writes."""
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
                _settle(batch, error)
            except asyncio.CancelledError:
                _settle(batch + self._waiting, log.LogUnavailableError("closed"))
                raise
            else:
                _settle(batch, None)

    async def _append_batch(self, records):
        self.appends += 1
        self.appended_records += len(records)
        try:
            async with asyncio.timeout(LOG_TIMEOUT_S):
                await self._log.append(self._stream, claim_records.encode(records))
        except TimeoutError as error:
            fault = f"append to {self._stream}: timeout"
            raise log.LogUnavailableError(fault) from error


class Backlog:
    """Records that are written in the background until the log has taken them.

    Attributes:
        dropped: How many records were given up because too many waited.
    """

    def __init__(self):
        self.dropped = 0
        self._pending: list[tuple[Partition, claim_records.Record]] = []
        self._task: asyncio.Task | None = None

    def __len__(self):
        return len(self._pending)

    def add(self, partition: Partition, record: claim_records.Record) -> None:
        """Queues a record, or counts it as dropped if too many wait."""
        if len(self._pending) >= MAX_BACKLOG_RECORDS:
            self.dropped += 1
            return
        self._pending.append((partition, record))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._write_all())

    async def flush(self, timeout_s: float) -> bool:
        """Waits until all is written; tells whether it was in time."""
        if self._pending:
            await asyncio.wait([self._task], timeout=timeout_s)
        return not self._pending

    async def close(self) -> None:
        """Stops the writes."""
        await _cancel(self._task)
        self._task = None

    async def _write_all(self):
        pause_s = MIN_RETRY_S
        while self._pending:
            if await self._write_once():
                pause_s = MIN_RETRY_S
                continue
            await asyncio.sleep(random.uniform(pause_s / 2, pause_s))
            pause_s = min(2 * pause_s, MAX_RETRY_S)

    async def _write_once(self):
        tried = list(self._pending)
        results = await asyncio.gather(
            *(partition.append(record) for partition, record in tried),
            return_exceptions=True,
        )
        failed = [
            item
            for item, result in zip(tried, results, strict=True)
            if isinstance(result, BaseException)
        ]
        self._pending[: len(tried)] = failed
        return not failed


def _settle(batch, error):
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
