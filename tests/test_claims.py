import asyncio
import contextlib
import enum
import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from teaselsill import claim_records, claim_streams, claims, ids, log

RESPONSE = claims.StoredResponse(200, [("content-type", "text/plain")], b"booked")
REQUEST = claim_records.digest_parts(b"POST", b"/bookings")
OTHER_REQUEST = claim_records.digest_parts(b"POST", b"/cycles")
KEY_DIGEST = claim_records.digest_key("north", "k")
STREAM = claim_records.stream_name("desk", claim_records.partition_number(KEY_DIGEST))
FAST = {
    "CLAIM_TIMEOUT_S": 0.02,
    "READ_WAIT_S": 0.005,
    "MIN_BACKOFF_S": 0.001,
    "MAX_BACKOFF_S": 0.001,
}


class Fault(enum.Enum):
    NONE = 0
    REPLY_LOST = 1
    LATE = 2
    NOT_APPENDED = 3


class FaultyLog(log.MemoryLog):
    """A log with a given fault for each append, which yields at random."""

    def __init__(self, faults=(), seed=0):
        super().__init__()
        self.faults = list(faults)
        self.late_appends = []
        self.random = random.Random(seed)

    async def append(self, stream, data):
        await self._yield_at_random()
        fault = self.faults.pop(0) if self.faults else Fault.NONE
        if fault is Fault.LATE and not self.down:
            self.late_appends.append((stream, data))
        if fault in (Fault.LATE, Fault.NOT_APPENDED):
            raise log.LogUnavailableError("no reply")
        offset = await super().append(stream, data)
        if fault is Fault.REPLY_LOST:
            raise log.LogUnavailableError("no reply")
        await self._yield_at_random()
        return offset

    async def read(self, stream, start, wait_s=0.0, limit=1000):
        await self._yield_at_random()
        return await super().read(stream, start, wait_s, limit)

    async def append_late(self):
        late_appends, self.late_appends = self.late_appends, []
        for stream, data in late_appends:
            await log.MemoryLog.append(self, stream, data)

    async def _yield_at_random(self):
        for _ in range(self.random.randrange(4)):
            await asyncio.sleep(0)


class EarlyReader(claims.Ledger):
    """A faulty ledger, which decides by what it read before it appended its claim."""

    async def _append_and_find(self, partition, claim):
        await partition.read_on()
        is_void = partition.state.is_taken(claim.key)
        await partition.append(claim)
        partition.evict()
        holder = claim_streams.Holder(claim, ids.Offset(0), is_void)
        partition.state.holders_by_key[claim.key] = [holder]
        return holder


class LedgerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.enterContext(mock.patch.multiple(claim_streams, **FAST))
        self.log = FaultyLog()
        self.now = 1000.0

    def ledger(self, incarnation, kind=claims.Ledger, **options):
        ledger = kind(self.log, "desk", incarnation, lambda: self.now, **options)
        self.addAsyncCleanup(ledger.close)
        return ledger

    async def claim(self, ledger, key="k", request=REQUEST):
        return await ledger.claim("north", key, request)

    async def flush(self, *ledgers):
        for ledger in ledgers:
            self.assertTrue(await ledger.flush(5.0))

    async def race(self, kind, rounds=300):
        first, second = self.ledger("a", kind), self.ledger("b", kind)
        granted = []
        for number in range(rounds):
            results = await asyncio.gather(
                self.claim(first, f"k{number}"), self.claim(second, f"k{number}")
            )
            granted.append(sum(isinstance(r, claims.Claimed) for r in results))
        return granted

    async def test_same_key_at_two_agents_is_granted_once(self):
        self.assertEqual([1] * 300, await self.race(claims.Ledger))

    async def test_reading_before_the_claim_would_grant_twice(self):
        self.assertIn(2, await self.race(EarlyReader))

    async def test_claim_while_the_log_is_down_fails_and_frees_the_key(self):
        first, second = self.ledger("a"), self.ledger("b")
        self.log.down = True
        with self.assertRaises(claims.ClaimUnavailableError):
            await self.claim(first)
        self.log.down = False
        await self.flush(first)
        self.assertIsInstance(await self.claim(second), claims.Claimed)

    async def test_lost_reply_is_resolved_by_reading(self):
        self.log.lose_replies = True
        claimed = await self.claim(self.ledger("a"))
        self.assertEqual(0, claimed.offset)
        self.assertIsInstance(await self.claim(self.ledger("b")), claims.InProgress)

    async def test_claim_that_takes_effect_after_its_release_is_ignored(self):
        first, second = self.ledger("a"), self.ledger("b")
        self.log.faults = [Fault.LATE]
        with self.assertRaises(claims.ClaimUnavailableError):
            await self.claim(first)
        await self.flush(first)
        await self.log.append_late()
        self.assertIsInstance(await self.claim(second), claims.Claimed)
        self.assertIsInstance(await self.claim(first), claims.InProgress)

    async def test_cancelled_claim_frees_the_key(self):
        first = self.ledger("a")
        task = asyncio.create_task(self.claim(first))
        await asyncio.sleep(0)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await self.flush(first)
        self.assertIsInstance(await self.claim(self.ledger("b")), claims.Claimed)

    async def test_interrupted_holder_keeps_its_key(self):
        await self.claim(self.ledger("a"))
        second = self.ledger("b")
        for _ in range(3):
            self.now += 100_000
            result = await self.claim(second)
            self.assertEqual(claims.InProgress("a", self.now - 1000.0), result)

    async def test_retry_gets_the_stored_response(self):
        first, second = self.ledger("a"), self.ledger("b")
        claimed = await self.claim(first)
        self.log.down = True
        await first.record_ran(claimed, RESPONSE)
        await asyncio.sleep(0.02)
        self.log.down = False
        await self.flush(first)
        self.assertEqual(claims.AlreadyRan(RESPONSE), await self.claim(second))
        with self.assertRaises(claims.KeyReusedError):
            await self.claim(second, request=OTHER_REQUEST)

    async def test_long_body_is_not_stored(self):
        ledger = self.ledger("a")
        limit = claim_records.MAX_STORED_BODY_BYTES
        for size, stored in ((limit, True), (limit + 1, False)):
            claimed = await self.claim(ledger, f"k{size}")
            await ledger.record_ran(
                claimed, claims.StoredResponse(200, [], b"x" * size)
            )
            again = await self.claim(ledger, f"k{size}")
            self.assertEqual(stored, again.response.body is not None)

    async def test_void_claim_stays_void_after_the_holder_released(self):
        first, second, third = (self.ledger(name) for name in "abc")
        both = await asyncio.gather(self.claim(first), self.claim(second))
        winner = next(r for r in both if isinstance(r, claims.Claimed))
        await (first if winner is both[0] else second).release(winner)
        await self.flush(first, second)
        self.assertIsInstance(await self.claim(third), claims.Claimed)
        self.assertIsInstance(await self.claim(first), claims.InProgress)
        self.assertIsInstance(await self.claim(second), claims.InProgress)

    async def test_key_is_free_again_once_its_records_have_expired(self):
        first = self.ledger("a")
        await self.claim(first)
        self.log.expire(STREAM, 1)
        self.assertIsInstance(await self.claim(self.ledger("b")), claims.Claimed)

    async def test_readers_with_and_without_expired_records_grant_once(self):
        holder, old, fresh = (self.ledger(name) for name in ("a", "b", "c"))
        expired = await self.claim(holder)
        self.assertIsInstance(await self.claim(old), claims.InProgress)
        await self.flush(old)
        self.log.expire(STREAM, 1)
        self.assertIsInstance(await self.claim(fresh), claims.Claimed)
        await holder.release(expired)
        self.assertIsInstance(await self.claim(old), claims.InProgress)

    async def test_evicted_partitions_are_read_again(self):
        ledger = self.ledger("a", max_keys=1)
        for key in range(40):
            await self.claim(ledger, f"k{key}")
        for key in range(40):
            result = await self.claim(ledger, f"k{key}")
            self.assertIsInstance(result, claims.InProgress)
        self.assertLess(ledger.cached_keys, 10)

    async def test_run_that_is_recorded_right_after_the_claim_counts(self):
        first, append = self.ledger("a"), self.log.append
        claim = (await self.claim(first)).claim
        ran = claim_records.Ran(claim.id, claim.key, REQUEST, 200, [], b"")

        async def append_with_run(stream, data):
            offset = await append(stream, data)
            await append(stream, claim_records.encode([ran]))
            return offset

        self.log.expire(STREAM, 1)
        with mock.patch.object(self.log, "append", append_with_run):
            result = await self.claim(self.ledger("b"))
        self.assertIsInstance(result, claims.AlreadyRan)

    async def test_claims_share_appends(self):
        ledger = self.ledger("a")
        await asyncio.gather(*(self.claim(ledger, f"k{n}") for n in range(800)))
        self.assertEqual(800, ledger.appended_records)
        self.assertLessEqual(ledger.appends, 3 * claim_records.PARTITION_COUNT)

    async def test_full_backlog_counts_dropped_records(self):
        ledger = self.ledger("a")
        first, second = await self.claim(ledger, "x"), await self.claim(ledger, "y")
        self.log.down = True
        with mock.patch.object(claim_streams, "MAX_BACKLOG_RECORDS", 1):
            await ledger.release(first)
            await ledger.release(second)
        self.assertEqual(1, ledger.dropped_records)

    async def test_claim_fails_on_an_unreadable_record(self):
        await self.log.append(STREAM, b"\xc1")
        with self.assertRaises(claims.ClaimUnavailableError):
            await self.claim(self.ledger("a"))

    async def test_second_active_claim_raises(self):
        ledger = self.ledger("a")
        await self.claim(self.ledger("b"))
        with (
            mock.patch.object(claim_streams.ClaimState, "is_taken", return_value=False),
            self.assertRaises(claims.DoubleClaimError),
        ):
            await self.claim(ledger)


class After(enum.Enum):
    """What happens to a granted claim or to its agent."""

    INTERRUPT = 0
    RELEASE = 1
    RAN = 2
    RESTART = 3


STEPS = strategies.lists(
    strategies.tuples(
        strategies.lists(strategies.integers(0, 2), min_size=1, max_size=3),
        strategies.sampled_from(After),
        strategies.booleans(),
        strategies.booleans(),
    ),
    min_size=2,
    max_size=12,
)


class InterleavingTest(unittest.TestCase):
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        STEPS,
        strategies.lists(strategies.sampled_from(Fault), max_size=30),
        strategies.integers(0, 1000),
    )
    def test_key_is_never_held_twice(self, steps, faults, seed):
        fast = FAST | {"CLAIM_TIMEOUT_S": 0.0, "READ_WAIT_S": 0.0}
        with mock.patch.multiple(claim_streams, **fast):
            asyncio.run(self.run_steps(steps, FaultyLog(faults, seed)))

    async def run_steps(self, steps, faulty_log):
        ledgers = [self.ledger(faulty_log, number) for number in range(3)]
        held = 0
        for claimers, after, is_down, is_appended_late in steps:
            faulty_log.down = is_down
            results = await asyncio.gather(
                *(ledgers[n].claim("north", "k", REQUEST) for n in claimers),
                return_exceptions=True,
            )
            for number, result in zip(claimers, results, strict=True):
                held += isinstance(result, claims.Claimed)
                self.assertLessEqual(held, 1)
                if isinstance(result, Exception):
                    self.assertIsInstance(result, claims.ClaimUnavailableError)
                if after is After.RESTART:
                    await ledgers[number].close()
                    ledgers[number] = self.ledger(faulty_log, number)
                elif isinstance(result, claims.Claimed):
                    held -= await self.finish(ledgers[number], result, after)
            faulty_log.down = False
            if is_appended_late:
                await faulty_log.append_late()
        for ledger in ledgers:
            await ledger.close()

    def ledger(self, faulty_log, number):
        return claims.Ledger(faulty_log, "desk", f"a{number}", lambda: 0.0)

    async def finish(self, ledger, claimed, after):
        if after is After.RAN:
            await ledger.record_ran(claimed, RESPONSE)
        if after is not After.RELEASE:
            return False
        await ledger.release(claimed)
        return True
