import asyncio
import unittest

from standins import log_service
from teaselsill import http_log, ids, log
from tests import support


class LogServiceTest(support.HttpCase, unittest.IsolatedAsyncioTestCase):
    def make_app(self):
        return log_service.create_app()

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.log = http_log.HttpLog(self.url)
        self.addAsyncCleanup(self.log.close)

    async def append(self, *records):
        return [await self.log.append("s", record) for record in records]

    async def test_appended_records_are_read_from_an_offset(self):
        self.assertEqual([0, 1, 2], await self.append(b"a", b"\0\xff", b"c"))
        page = await self.log.read("s", ids.Offset(1), limit=1)
        self.assertEqual(log.Page([log.Record(1, b"\0\xff")], 3), page)
        self.assertEqual(log.Page([], 0), await self.log.read("other", ids.Offset(0)))

    async def test_pages_are_limited_in_size(self):
        await self.append(*[bytes(900_000)] * 6)
        page = await self.log.read("s", ids.Offset(0))
        self.assertEqual((4, 6), (len(page.records), page.end))
        page = await self.log.read_to_end("s", ids.Offset(0))
        self.assertEqual(6, len(page.records))

    async def test_read_waits_for_an_append(self):
        read = asyncio.create_task(self.log.read("s", ids.Offset(0), wait_s=5))
        await asyncio.sleep(0.05)
        self.assertFalse(read.done())
        await self.append(b"a")
        self.assertEqual(log.Page([log.Record(0, b"a")], 1), await read)
        page = await self.log.read("s", ids.Offset(1), wait_s=0.01)
        self.assertEqual(log.Page([], 1), page)

    async def test_offsets_continue_after_records_expire(self):
        await self.append(b"a", b"b", b"c")
        body = {"stream": "s", "before": 2}
        await self.call("POST", "/admin/expire", json=body)
        with self.assertRaises(log.OffsetExpiredError) as caught:
            await self.log.read("s", ids.Offset(1))
        self.assertEqual(2, caught.exception.earliest)
        self.assertEqual([3], await self.append(b"d"))

    async def test_down_service_does_nothing(self):
        await self.set_faults(down=True)
        with self.assertRaises(log.LogUnavailableError):
            await self.append(b"a")
        await self.set_faults()
        self.assertEqual([0], await self.append(b"b"))

    async def test_record_is_kept_when_the_response_is_lost(self):
        await self.set_faults(lose_next_reply=1)
        with self.assertRaises(log.LogUnavailableError):
            await self.append(b"a")
        self.assertEqual([1], await self.append(b"b"))
        await self.set_faults(lose_replies=True)
        with self.assertRaises(log.LogUnavailableError):
            await self.append(b"c")
        _, stats = await self.call("GET", "/admin/stats")
        self.assertEqual({"appends": {"s": 3}, "reads": {"s": 0}}, stats)

    async def test_unknown_fault_is_refused(self):
        status, _ = await self.call("PUT", "/admin/faults", json={"dwon": True})
        self.assertEqual(400, status)


class RetentionTest(unittest.IsolatedAsyncioTestCase):
    async def test_records_expire_by_age(self):
        async with support.serve(log_service.create_app(retention_s=0.05)) as (url, _):
            client = http_log.HttpLog(url)
            self.addAsyncCleanup(client.close)
            await client.append("s", b"a")
            await asyncio.sleep(0.06)
            with self.assertRaises(log.OffsetExpiredError):
                await client.read("s", ids.Offset(0))
