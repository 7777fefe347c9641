"""Claims idempotency keys in the log, so that a request runs at most once per key."""

import asyncio
import collections
import dataclasses
import typing

from teaselsill import claim_records, claim_streams, errors, ids, log

MAX_KEYS = 32_768
"""Above this number of cached keys the least recently used partitions are evicted."""


class ClaimError(errors.TeaselsillError):
    """A request must not run under its idempotency key."""


class ClaimUnavailableError(ClaimError):
    """The log is unavailable, so the key is not claimed; the request has not run."""


class KeyReusedError(ClaimError):
    """The key was used before for a different request."""


class DoubleClaimError(errors.InvariantError):
    """A key was about to be granted although it is held or its request has run."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResponse:
    """The response to a request that has run.

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
    """The key is claimed: the request may run, here and nowhere else.

    Attributes:
        claim: The claim that holds the key.
        offset: Its offset in the partition's stream.
    """

    claim: claim_records.Claim
    offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyRan:
    """The request has run under this key.

    Attributes:
        response: Its response, or none if it is not available.
    """

    response: StoredResponse | None


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """Another claim holds the key: its request is running or has an unknown outcome.

    Attributes:
        incarnation: The agent that holds the key.
        age_s: How long it has held the key, in seconds.
    """

    incarnation: ids.Incarnation
    age_s: float


Result = Claimed | AlreadyRan | InProgress


class Ledger:
    """One agent's view of the claims on a service's keys.

    The order of the records in the log decides between concurrent claims: a claim is
    valid if its key was free at its offset. A claim on a taken key is void, and the
    agent that appended it releases it. A claim holds its key until it is released or
    its request has run. There is no timeout, since an interrupted agent may continue
    later.

    Args:
        log_service: The log service.
        service: The service that the requests are for.
        incarnation: The agent incarnation that claims.
        clock: Returns seconds since the epoch.
        max_keys: How many keys are cached before partitions are evicted.

    Attributes:
        claimed: The number of granted claims.
        unavailable: The number of claims that failed because of the log.
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
        """The number of appends, including failed ones."""
        return sum(p.appends for p in self._partition_by_number.values())

    @property
    def appended_records(self) -> int:
        """The number of records in these appends."""
        return sum(p.appended_records for p in self._partition_by_number.values())

    @property
    def cached_keys(self) -> int:
        """The number of keys in memory."""
        return sum(len(p.state) for p in self._partition_by_number.values())

    @property
    def pending_records(self) -> int:
        """The number of records that wait for the log to become available."""
        return len(self._backlog)

    @property
    def dropped_records(self) -> int:
        """The number of records dropped because too many were waiting."""
        return self._backlog.dropped

    async def claim(
        self, account: ids.AccountId, key: str, request_digest: claim_records.Digest
    ) -> Result:
        """Claims a key for a request.

        A claim that did not show up in the log in time is released in the background,
        since its append may still take effect.

        Raises:
            ClaimUnavailableError: The log is unavailable; the request must not run.
            KeyReusedError: The key was used before for a different request.
        """
        key_digest = claim_records.digest_key(account, key)
        partition = self._get_partition(key_digest)
        if partition.state.is_taken(key_digest):
            result = await self._find_result_after_read(
                partition, key_digest, request_digest
            )
            if result is not None:
                return result
        claim = self._make_claim(account, key_digest, request_digest)
        holder = await self._append_and_find(partition, claim)
        if holder.is_void or key_digest in partition.state.run_by_key:
            return await self._withdraw_void(partition, claim)
        self._check_sole_holder(partition.state, claim)
        self.claimed += 1
        return Claimed(claim, holder.offset)

    async def release(self, claimed: Claimed) -> None:
        """Releases the key of a claim whose request has certainly not run."""
        await self._write(claim_records.Release(claimed.claim.id, claimed.claim.key))

    async def record_ran(self, claimed: Claimed, response: StoredResponse) -> None:
        """Records that the request of a claim has run, and its response."""
        body = response.body
        if body is not None and len(body) > claim_records.MAX_STORED_BODY_BYTES:
            body = None
        claim = claimed.claim
        await self._write(
            claim_records.Ran(
                claim.id,
                claim.key,
                claim.request,
                response.status,
                response.headers,
                body,
            )
        )

    async def flush(self, timeout_s: float) -> bool:
        """Waits until no record is pending; returns whether this was in time."""
        return await self._backlog.flush(timeout_s)

    async def close(self) -> None:
        """Cancels the background writes; pending records are lost."""
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

    async def _find_result_after_read(self, partition, key_digest, request_digest):
        try:
            await partition.read_on()
        except errors.LogError:
            pass  # The state of the last read may be old, but is not wrong.
        return await self._find_result(partition, key_digest, request_digest)

    async def _append_and_find(self, partition, claim):
        try:
            await partition.append_claim(claim)
            holder = await partition.find_holder(claim)
        except errors.LogError as error:
            raise self._withdraw_not_found(partition, claim) from error
        except asyncio.CancelledError:
            self._backlog.add(partition, claim_records.Release(claim.id, claim.key))
            raise
        self._evict_partitions(partition)
        if holder is None:
            raise self._withdraw_not_found(partition, claim)
        return holder

    def _withdraw_not_found(self, partition, claim):
        self.unavailable += 1
        self._backlog.add(partition, claim_records.Release(claim.id, claim.key))
        return ClaimUnavailableError(f"claim {claim.id} was not seen in the log")

    async def _withdraw_void(self, partition, claim):
        self._backlog.add(partition, claim_records.Release(claim.id, claim.key))
        other = await self._find_result(partition, claim.key, claim.request)
        return other or InProgress(self._incarnation, 0.0)

    async def _find_result(self, partition, key_digest, request_digest):
        run = partition.state.run_by_key.get(key_digest)
        if run is not None:
            _check_same_request(run.request, request_digest)
            return AlreadyRan(_make_response(await partition.read_run(key_digest, run)))
        holders = partition.state.holders_by_key.get(key_digest)
        if not holders:
            return None
        claim = holders[0].claim
        _check_same_request(claim.request, request_digest)
        return InProgress(claim.incarnation, max(0.0, self._clock() - claim.claimed_at))

    def _check_sole_holder(self, state, claim):
        active = [h for h in state.holders_by_key[claim.key] if not h.is_void]
        if [holder.claim.id for holder in active] != [claim.id]:
            raise DoubleClaimError(f"claim {claim.id} is not the only active one")
        if claim.key in state.run_by_key:
            raise DoubleClaimError(f"claim {claim.id} comes after a run")

    async def _write(self, record):
        partition = self._get_partition(record.key)
        try:
            await partition.append(record)
        except errors.LogError:
            self._backlog.add(partition, record)
        except asyncio.CancelledError:
            self._backlog.add(partition, record)
            raise

    def _get_partition(self, key_digest):
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
                partition.evict()


def _check_same_request(first, second):
    if first != second:
        raise KeyReusedError("the idempotency key was used for another request")


def _make_response(ran):
    if ran is None:
        return None
    return StoredResponse(ran.status, ran.headers, ran.body)
