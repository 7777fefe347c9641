"""Claims idempotency keys in the log, so that a request runs at most once."""

import asyncio
import collections
import dataclasses
import typing

from teaselsill import claim_records, claim_streams, errors, ids, log

MAX_KEYS = 32_768
"""How many keys a ledger holds before it drops the least used partitions."""


class ClaimError(errors.TeaselsillError):
    """A request may not run under its idempotency key."""


class ClaimUnavailableError(ClaimError):
    """The log could not tell who holds the key; the request has not run."""


class KeyReusedError(ClaimError):
    """The key was used before for another request."""


class DoubleClaimError(errors.InvariantError):
    """A key that is held or has run was about to be given out again."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResponse:
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

    claim: claim_records.Claim
    offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyRan:
    """The request has run under this key.

    Attributes:
        response: Its response, or none if it cannot be read.
    """

    response: StoredResponse | None


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
        self._backlog = claim_streams.Backlog()
        self._partition_by_number = collections.OrderedDict(
            (
                number,
                claim_streams.Partition(
                    log_service, claim_records.stream_name(service, number)
                ),
            )
            for number in range(claim_records.PARTITION_COUNT)
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
    def cached_keys(self) -> int:
        """How many keys are held in memory."""
        return sum(len(p.state) for p in self._partition_by_number.values())

    @property
    def pending_records(self) -> int:
        """How many records wait for the log to come back."""
        return len(self._backlog)

    @property
    def dropped_records(self) -> int:
        """How many records were given up because too many waited."""
        return self._backlog.dropped

    async def claim(
        self, account: ids.AccountId, key: str, request_digest: claim_records.Digest
    ) -> Result:
        """Claims a key for a request.

        Raises:
            ClaimUnavailableError: The log is down; the request must not run.
            KeyReusedError: The key was used before for another request.
        """
        key_digest = claim_records.digest_key(account, key)
        partition = self._use_partition(key_digest)
        if partition.state.is_taken(key_digest):
            known = await self._look_up(partition, key_digest, request_digest)
            if known is not None:
                return known
        claim = self._make_claim(account, key_digest, request_digest)
        holder = await self._land(partition, claim)
        if holder.is_void or key_digest in partition.state.run_by_key:
            return await self._yield_to_other(partition, claim)
        self._check_sole_holder(partition.state, claim)
        self.claimed += 1
        return Claimed(claim, holder.offset)

    async def release(self, claimed: Claimed) -> None:
        """Frees the key of a claim whose run has provably not happened."""
        await self._write(claim_records.Release(claimed.claim.id, claimed.claim.key))

    async def record_ran(self, claimed: Claimed, answer: StoredResponse) -> None:
        """Records that the run of a claim has happened, and its answer."""
        body = answer.body
        if body is not None and len(body) > claim_records.MAX_STORED_BODY_BYTES:
            body = None
        claim = claimed.claim
        await self._write(
            claim_records.Ran(
                claim.id, claim.key, claim.request, answer.status, answer.headers, body
            )
        )

    async def flush(self, timeout_s: float) -> bool:
        """Waits until no record is pending; tells whether it was in time."""
        return await self._backlog.flush(timeout_s)

    async def close(self) -> None:
        """Stops the background writes; what is pending is lost."""
        await self._backlog.close()
        for partition in self._partition_by_number.values():
            await partition.close()

    def _make_claim(self, account, key_digest, request_digest):
        return claim_records.Claim(
            claim_records.ClaimId(ids.new_random_id()),
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
            self._backlog.add(partition, claim_records.Release(claim.id, claim.key))
            raise
        self._evict_partitions(partition)
        if holder is None:
            raise self._withdraw_unavailable(partition, claim)
        return holder

    def _withdraw_unavailable(self, partition, claim):
        self.unavailable += 1
        self._backlog.add(partition, claim_records.Release(claim.id, claim.key))
        return ClaimUnavailableError(f"claim {claim.id} was not seen in the log")

    async def _yield_to_other(self, partition, claim):
        self._backlog.add(partition, claim_records.Release(claim.id, claim.key))
        other = await self._describe(partition, claim.key, claim.request)
        return other or InProgress(self._incarnation, 0.0)

    async def _describe(self, partition, key_digest, request_digest):
        run = partition.state.run_by_key.get(key_digest)
        if run is not None:
            _check_same_request(run.request, request_digest)
            return AlreadyRan(_to_answer(await partition.read_run(key_digest, run)))
        holders = partition.state.holders_by_key.get(key_digest)
        if not holders:
            return None
        claim = holders[0].claim
        _check_same_request(claim.request, request_digest)
        return InProgress(claim.incarnation, max(0.0, self._clock() - claim.claimed_at))

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
        number = claim_records.partition_number(key_digest)
        self._partition_by_number.move_to_end(number)
        return self._partition_by_number[number]

    def _evict_partitions(self, current):
        keys = self.cached_keys
        for partition in self._partition_by_number.values():
            if keys <= self._max_keys:
                return
            if partition is not current and not partition.is_reading:
                keys -= len(partition.state)
                partition.forget()


def _check_same_request(first, second):
    if first != second:
        raise KeyReusedError("the idempotency key was used for another request")


def _to_answer(ran):
    if ran is None:
        return None
    return StoredResponse(ran.status, ran.headers, ran.body)
