"""Claims idempotency keys in the log, so that a request runs at most once."""

import asyncio
import collections
import dataclasses
import hashlib
import random
import typing

import msgspec

from teaselsill import errors, ids, log

PARTITIONS = 16
"""How many streams the keys of a service are spread over; never change it."""

DIGEST_BYTES = 16
"""The length of key digests and request digests."""

MAX_STORED_BODY_BYTES = 4096
"""The longest answer body that is kept for a caller's retry."""

MAX_BATCH_RECORDS = 64
"""How many records one append may hold."""

MAX_KEYS = 32_768
"""How many keys a ledger holds before it drops the least used partitions."""

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

ClaimId = typing.NewType("ClaimId", str)
Digest = typing.NewType("Digest", bytes)


class ClaimError(errors.TeaselsillError):
    """A request may not run under its idempotency key."""


class ClaimUnavailableError(ClaimError):
    """The log could not tell who holds the key; the request has not run."""


class KeyReusedError(ClaimError):
    """The key was used before for another request."""


class DoubleClaimError(errors.InvariantError):
    """A key that is held or has run was about to be given out again."""


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """An agent asks for a key.

    Attributes:
        id: Names this claim.
        account: The client account.
        key: The digest of the client account and its key.
        request: The digest of the request.
        incarnation: The agent that asks.
        at: The time of the claim, in seconds since the epoch.
    """

    id: ClaimId
    account: ids.AccountId
    key: Digest
    request: Digest
    incarnation: ids.Incarnation
    at: float


class Release(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The run of a claim has not happened and never will."""

    id: ClaimId
    key: Digest


class Ran(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The run of a claim has happened.

    Attributes:
        id: The claim.
        key: The digest of the client account and its key.
        request: The digest of the request.
        status: The status of the answer.
        headers: The headers of the answer.
        body: The body of the answer, or none if it is too long to be stored.
    """

    id: ClaimId
    key: Digest
    request: Digest
    status: int
    headers: list[tuple[str, str]]
    body: bytes | None


Record = Claim | Release | Ran

_DECODER = msgspec.msgpack.Decoder(list[Record])


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer of a run.

    Attributes:
        status: The HTTP status.
        headers: The header names and values.
        body: The whole body, or none if it is not stored.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The request may run now, here and nowhere else.

    Attributes:
        claim: The claim that holds the key.
        offset: Its place in the partition's stream.
    """

    claim: Claim
    offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyRan:
    """The request has run under this key.

    Attributes:
        answer: Its answer, or none if it cannot be read.
    """

    answer: StoredAnswer | None


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """Another claim holds the key: its request runs, or its outcome is unknown.

    Attributes:
        incarnation: The agent that holds the key.
        age_s: How long it has held it, in seconds.
    """

    incarnation: ids.Incarnation
    age_s: float


Result = Claimed | AlreadyRan | InProgress


def digest_key(account: ids.AccountId, key: str) -> Digest:
    """Returns the digest of a client account and its idempotency key."""
    return digest_parts(account.encode(), key.encode())


def digest_parts(*parts: bytes) -> Digest:
    """Returns a digest of byte strings that depends on where each one ends."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return Digest(hasher.digest())


def partition_of(key: Digest) -> int:
    """Returns the number of the partition that a key belongs to."""
    return int.from_bytes(key[:4], "big") % PARTITIONS


def stream_of(service: ids.ServiceName, partition: int) -> str:
    """Returns the name of the stream of a service's partition."""
    return f"claims.{service}.{partition}"


class Ledger:
    """One agent's view of the claims on a service's keys.

    A claim holds its key until its own release. It may run only if no earlier claim
    held the key when it landed; otherwise it is void and released by its claimer.

    Args:
        log_service: The log service.
        service: The service that the requests are for.
        incarnation: The agent incarnation that claims.
        clock: Returns seconds since the epoch.
        max_keys: How many keys are held in memory before partitions are dropped.

    Attributes:
        claimed: How many claims were granted.
        unavailable: How many claims were refused because of the log.
    """

    def __init__(
        self,
        log_service: log.Log,
        service: ids.ServiceName,
        incarnation: ids.Incarnation,
        clock: typing.Callable[[], float],
        max_keys: int = MAX_KEYS,
    ):
        self.claimed = 0
        self.unavailable = 0
        self._incarnation = incarnation
        self._clock = clock
        self._max_keys = max_keys
        self._backlog = _Backlog()
        self._partition_by_number = collections.OrderedDict(
            (number, _Partition(log_service, stream_of(service, number)))
            for number in range(PARTITIONS)
        )

    @property
    def appends(self) -> int:
        """How many appends were tried."""
        return sum(p.appends for p in self._partition_by_number.values())

    @property
    def appended_records(self) -> int:
        """How many records those appends held."""
        return sum(p.appended_records for p in self._partition_by_number.values())

    @property
    def pending_records(self) -> int:
        """How many records wait for the log to come back."""
        return len(self._backlog)

    @property
    def dropped_records(self) -> int:
        """How many records were given up because too many waited."""
        return self._backlog.dropped

    async def claim(
        self, account: ids.AccountId, key: str, request_digest: Digest
    ) -> Result:
        """Claims a key for a request.

        Raises:
            ClaimUnavailableError: The log is down; the request must not run.
            KeyReusedError: The key was used before for another request.
        """
        key_digest = digest_key(account, key)
        partition = self._use_partition(key_digest)
        if partition.fold.is_taken(key_digest):
            known = await self._look_up(partition, key_digest, request_digest)
            if known is not None:
                return known
        claim = self._make_claim(account, key_digest, request_digest)
        holder = await self._land(partition, claim)
        if holder.is_void or key_digest in partition.fold.run_by_key:
            return await self._yield_to_other(partition, claim)
        self._check_sole_holder(partition.fold, claim)
        self.claimed += 1
        return Claimed(claim, holder.offset)

    async def release(self, claimed: Claimed) -> None:
        """Frees the key of a claim whose run has provably not happened."""
        await self._write(Release(claimed.claim.id, claimed.claim.key))

    async def record_ran(self, claimed: Claimed, answer: StoredAnswer) -> None:
        """Records that the run of a claim has happened, and its answer."""
        body = answer.body
        if body is not None and len(body) > MAX_STORED_BODY_BYTES:
            body = None
        claim = claimed.claim
        await self._write(
            Ran(claim.id, claim.key, claim.request, answer.status, answer.headers, body)
        )

    async def close(self) -> None:
        """Stops the background writes; what is pending is lost."""
        await self._backlog.close()
        for partition in self._partition_by_number.values():
            await partition.close()

    def _make_claim(self, account, key_digest, request_digest):
        return Claim(
            ClaimId(ids.new_random_id()),
            account,
            key_digest,
            request_digest,
            self._incarnation,
            self._clock(),
        )

    async def _look_up(self, partition, key_digest, request_digest):
        try:
            await partition.read_on()
        except errors.LogError:
            pass  # What was read before still names a run or a holder truthfully.
        return await self._describe(partition, key_digest, request_digest)

    async def _land(self, partition, claim):
        try:
            await partition.append_claim(claim)
            holder = await partition.find_holder(claim)
        except errors.LogError as error:
            raise self._withdraw_unavailable(partition, claim) from error
        except asyncio.CancelledError:
            self._backlog.add(partition, Release(claim.id, claim.key))
            raise
        self._evict_partitions(partition)
        if holder is None:
            raise self._withdraw_unavailable(partition, claim)
        return holder

    def _withdraw_unavailable(self, partition, claim):
        self.unavailable += 1
        self._backlog.add(partition, Release(claim.id, claim.key))
        return ClaimUnavailableError(f"claim {claim.id} was not seen in the log")

    async def _yield_to_other(self, partition, claim):
        self._backlog.add(partition, Release(claim.id, claim.key))
        other = await self._describe(partition, claim.key, claim.request)
        return other or InProgress(self._incarnation, 0.0)

    async def _describe(self, partition, key_digest, request_digest):
        run = partition.fold.run_by_key.get(key_digest)
        if run is not None:
            _check_same_request(run.request, request_digest)
            return AlreadyRan(await partition.read_answer(key_digest, run))
        holders = partition.fold.holders_by_key.get(key_digest)
        if not holders:
            return None
        claim = holders[0].claim
        _check_same_request(claim.request, request_digest)
        return InProgress(claim.incarnation, max(0.0, self._clock() - claim.at))

    def _check_sole_holder(self, fold, claim):
        active = [h for h in fold.holders_by_key[claim.key] if not h.is_void]
        if [holder.claim.id for holder in active] != [claim.id]:
            raise DoubleClaimError(f"claim {claim.id} is not the only active one")
        if claim.key in fold.run_by_key:
            raise DoubleClaimError(f"claim {claim.id} comes after a run")

    async def _write(self, record):
        partition = self._use_partition(record.key)
        try:
            await partition.append(record)
        except errors.LogError:
            self._backlog.add(partition, record)
        except asyncio.CancelledError:
            self._backlog.add(partition, record)
            raise

    def _use_partition(self, key_digest):
        number = partition_of(key_digest)
        self._partition_by_number.move_to_end(number)
        return self._partition_by_number[number]

    def _evict_partitions(self, current):
        keys = sum(len(p.fold) for p in self._partition_by_number.values())
        for partition in self._partition_by_number.values():
            if keys <= self._max_keys:
                return
            if partition is not current and not partition.is_reading:
                keys -= len(partition.fold)
                partition.forget()


@dataclasses.dataclass(frozen=True, slots=True)
class _Holder:
    claim: Claim
    offset: ids.Offset
    is_void: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    offset: ids.Offset
    request: Digest


class _Fold:
    """The state that follows from a partition's records, read in order."""

    def __init__(self):
        self.holders_by_key: dict[Digest, list[_Holder]] = {}
        self.run_by_key: dict[Digest, _Run] = {}
        self._withdrawn: collections.OrderedDict[ClaimId, None] = (
            collections.OrderedDict()
        )

    def __len__(self):
        return len(self.holders_by_key) + len(self.run_by_key)

    def is_taken(self, key: Digest) -> bool:
        return key in self.run_by_key or key in self.holders_by_key

    def find_holder(self, claim: Claim) -> _Holder | None:
        for holder in self.holders_by_key.get(claim.key, ()):
            if holder.claim.id == claim.id:
                return holder
        return None

    def apply(self, record: Record, offset: ids.Offset) -> None:
        match record:
            case Claim():
                self._apply_claim(record, offset)
            case Release():
                self._apply_release(record)
            case Ran():
                self._apply_ran(record, offset)

    def _apply_claim(self, claim, offset):
        if claim.id in self._withdrawn:
            del self._withdrawn[claim.id]
            return
        if self.find_holder(claim) is not None:
            return
        is_void = self.is_taken(claim.key)
        holders = self.holders_by_key.setdefault(claim.key, [])
        holders.append(_Holder(claim, offset, is_void))

    def _apply_release(self, release):
        if self._remove_holder(release.id, release.key):
            return
        self._withdrawn[release.id] = None
        if len(self._withdrawn) > MAX_WITHDRAWN:
            self._withdrawn.popitem(last=False)

    def _apply_ran(self, ran, offset):
        self._remove_holder(ran.id, ran.key)
        self.run_by_key.setdefault(ran.key, _Run(offset, ran.request))

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


class _Partition:
    """One stream: appends in batches, reads on from the last offset."""

    def __init__(self, log_service: log.Log, stream: str):
        self.fold = _Fold()
        self.appends = 0
        self.appended_records = 0
        self._log = log_service
        self._stream = stream
        self._next_offset = ids.Offset(0)
        self._reading = asyncio.Lock()
        self._waiting: list[tuple[Record, asyncio.Future]] = []
        self._writer: asyncio.Task | None = None

    @property
    def is_reading(self) -> bool:
        return self._reading.locked()

    def forget(self) -> None:
        self.fold = _Fold()
        self._next_offset = ids.Offset(0)

    async def append(self, record: Record) -> None:
        written = asyncio.get_running_loop().create_future()
        self._waiting.append((record, written))
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_batches())
        await written

    async def append_claim(self, claim: Claim) -> None:
        try:
            await self.append(claim)
        except errors.LogError:
            pass  # It may have landed; only the stream can tell.

    async def find_holder(self, claim: Claim) -> _Holder | None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + SETTLE_S
        wait_s = 0.0
        while True:
            async with self._reading:
                holder = self.fold.find_holder(claim)
                if holder is None:
                    await self._read_to_end(wait_s)
                    holder = self.fold.find_holder(claim)
            if holder is not None or loop.time() >= deadline:
                return holder
            wait_s = POLL_S

    async def read_on(self) -> None:
        async with self._reading:
            await self._read_to_end(0.0)

    async def read_answer(self, key: Digest, run: _Run) -> StoredAnswer | None:
        try:
            page = await self._read_page(run.offset, 0.0, 1)
        except errors.LogError:
            return None
        for record in _decode(page.records[0].data) if page.records else []:
            if isinstance(record, Ran) and record.key == key:
                return StoredAnswer(record.status, record.headers, record.body)
        return None

    async def close(self) -> None:
        await _cancel(self._writer)
        self._writer = None

    async def _read_to_end(self, wait_s):
        while True:
            try:
                page = await self._read_page(self._next_offset, wait_s, 1000)
            except log.OffsetExpiredError as error:
                self.fold = _Fold()
                self._next_offset = error.earliest
                continue
            for record in page.records:
                self._apply(record)
            if not page.records or self._next_offset >= page.end:
                return

    def _apply(self, record):
        for part in _decode(record.data):
            self.fold.apply(part, record.offset)
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
                await self._log.append(self._stream, msgspec.msgpack.encode(records))
        except TimeoutError as error:
            fault = f"append to {self._stream}: timeout"
            raise log.LogUnavailableError(fault) from error


class _Backlog:
    """Records that are written in the background until the log has taken them."""

    def __init__(self):
        self.dropped = 0
        self._pending: list[tuple[_Partition, Record]] = []
        self._task: asyncio.Task | None = None

    def __len__(self):
        return len(self._pending)

    def add(self, partition: _Partition, record: Record) -> None:
        if len(self._pending) >= MAX_BACKLOG_RECORDS:
            self.dropped += 1
            return
        self._pending.append((partition, record))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._write_all())

    async def close(self) -> None:
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


def _check_same_request(first, second):
    if first != second:
        raise KeyReusedError("the idempotency key was used for another request")


def _decode(data):
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise log.LogUnavailableError(f"unreadable claim record: {error}") from error


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
