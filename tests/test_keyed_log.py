import asyncio
import unittest
import unittest.mock

from teaselsill import ids, keyed_log, log

TOPIC = "keyed.t"


class MemoryKeyedLog(keyed_log.KeyedLog):
    """A keyed log in memory with switchable failures."""

    def __init__(self):
        self.records = []
        self.earliest = 0
        self.down = False
        self.reads = []
        self.changed = asyncio.Event()

    def add(self, key, value):
        self.records.append(keyed_log.KeyedRecord(key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def list_newest(self, topic):
        self.check_up()
        newest = {record.key: record for record in self.records}
        records = [r for r in newest.values() if r.value is not None]
        return keyed_log.KeyedPage(records, ids.Offset(len(self.records)))

    async def read(self, topic, start, wait_s):
        self.check_up()
        self.reads.append(wait_s)
        if start < self.earliest:
            raise log.OffsetExpiredError(ids.Offset(self.earliest))
        if start == len(self.records) and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
            self.check_up()
        return keyed_log.KeyedPage(self.records[start:], ids.Offset(len(self.records)))

    async def put(self, topic, record):
        self.check_up()
        self.add(record.key, record.value)

    def check_up(self):
        if self.down:
            raise log.LogUnavailableError("down")


class PutWithRetriesTest(unittest.IsolatedAsyncioTestCase):
    async def test_record_is_put_once_the_log_is_available_again(self):
        source = MemoryKeyedLog()
        source.down = True
        record = keyed_log.KeyedRecord("a", b"1")
        putting = asyncio.create_task(keyed_log.put_with_retries(source, TOPIC, record))
        await asyncio.sleep(0.05)
        source.down = False
        async with asyncio.timeout(5.0):
            await putting
        self.assertEqual([record], source.records)
