import asyncio
import unittest

from teaselsill import ids, keyed_log, own_record
from tests import test_keyed_log

TOPIC = "keyed.t"
RECORD = keyed_log.KeyedRecord("a", b"1")


class OwnRecordTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.source = test_keyed_log.MemoryKeyedLog()
        self.record = own_record.OwnRecord(self.source, TOPIC, RECORD, lambda: 0.01)

    def start(self):
        task = asyncio.create_task(self.record.run())
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)

    async def wait_records(self, records):
        async with asyncio.timeout(5.0):
            while self.source.records != records:  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def test_record_is_put_once_the_log_is_available_again(self):
        self.source.down = True
        self.start()
        await asyncio.sleep(0.05)
        self.source.down = False
        await self.wait_records([RECORD])

    async def test_record_is_written_again_after_each_restore(self):
        """Routers that listed the restored log would not know this one."""
        self.start()
        await self.wait_records([RECORD])
        for era in (1, 2, 4):
            self.source.restore([])
            self.record.note_restore(ids.Era(era))
            await self.wait_records([RECORD])

    async def test_restore_during_a_write_is_not_missed(self):
        self.source.down = True
        self.start()
        await asyncio.sleep(0.05)
        self.record.note_restore(ids.Era(2))
        self.source.down = False
        await self.wait_records([RECORD, RECORD])
