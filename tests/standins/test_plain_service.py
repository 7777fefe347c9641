import asyncio
import hashlib
import unittest

import aiohttp

from standins import fencing, plain_service
from tests import support

HEADERS = {"X-Request-Id": "r1", "Idempotency-Key": "k1"}


class PlainServiceTest(support.HttpCase, unittest.IsolatedAsyncioTestCase):
    def make_app(self):
        return plain_service.create_app(fencing_mode=fencing.Mode.CHECKED)

    async def post(self, path="/orders", **headers):
        headers = {**HEADERS, **headers}
        return await self.call("POST", path, data=b"body", headers=headers)

    async def count_executions(self):
        _, executions = await self.call("GET", "/admin/executions")
        self.assertEqual(
            list(executions["by_request"].values()),
            list(executions["by_key"].values()),
        )
        return executions["by_key"].get("k1", 0)

    async def test_echo(self):
        status, echo = await self.post("/orders/7?status=202")
        expected = {
            "method": "POST",
            "path": "/orders/7",
            "digest": hashlib.sha256(b"body").hexdigest(),
            "execution": 1,
            "request_id": "r1",
            "idempotency_key": "k1",
        }
        self.assertEqual((202, expected), (status, echo))

    async def test_response_is_padded_to_the_requested_size(self):
        async with self.session.get("/x?bytes=5000") as response:
            self.assertEqual(5000, len(await response.read()))

    async def test_executions_are_counted_after_the_client_disconnects(self):
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.1):
                await self.post("/orders?work_ms=300")
        self.assertEqual(0, await self.count_executions())
        await asyncio.sleep(0.4)
        self.assertEqual(1, await self.count_executions())

    async def test_dropped_connections(self):
        for fault, count in (("drop_before", 0), ("drop_after", 1)):
            await self.set_faults(**{fault: True})
            with self.assertRaises(aiohttp.ServerDisconnectedError):
                await self.post()
            self.assertEqual(count, await self.count_executions())

    async def test_frozen_service_never_responds(self):
        await self.set_faults(freeze=True)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.05):
                await self.post()
        await self.set_faults()
        self.assertEqual(0, await self.count_executions())

    async def test_lower_fencing_number_is_rejected(self):
        header = "Teaselsill-Fencing"
        statuses = [(await self.post(**{header: n}))[0] for n in ("5", "4", "6")]
        self.assertEqual([200, 409, 200], statuses)
        self.assertEqual(2, await self.count_executions())
