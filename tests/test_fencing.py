import asyncio
import unittest

from standins import fencing as stand_in_fencing
from standins import plain_service
from teaselsill import document, fencing, log, plain, upstream
from tests import support

SERVICE = document.Service(name="bookings", kind="plain", fencing="checked")


def make_order(number, path="/orders/1"):
    return upstream.UpstreamRequest(
        "r1", "POST", path, [], b"", deadline=0, repeatable=False, fencing=number
    )


async def run(client, order):
    return [event async for event in client.run(order, SERVICE)]


class FenceTest(unittest.IsolatedAsyncioTestCase):
    async def test_later_incarnation_has_a_higher_number(self):
        shared = log.MemoryLog()
        first = fencing.Fence(shared, "bookings", "u1", "one")
        second = fencing.Fence(shared, "bookings", "u1", "two")
        await first.obtain()
        await second.obtain()
        self.assertLess(first.number, second.number)

    async def test_number_is_obtained_after_an_outage(self):
        shared = log.MemoryLog()
        shared.down = True
        fence = fencing.Fence(shared, "bookings", "u1", "one")
        obtaining = asyncio.create_task(fence.obtain())
        await asyncio.sleep(0.01)
        self.assertIsNone(fence.number)
        shared.down = False
        await obtaining
        self.assertEqual(0, fence.number)


class UpstreamFencingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        app = plain_service.create_app(
            0, plain_service.WorkDistribution.FIXED, stand_in_fencing.Mode.CHECKED
        )
        url, _ = await self.enterAsyncContext(support.serve(app))
        self.client = plain.PlainUpstream(url)
        self.addAsyncCleanup(self.client.close)

    async def test_old_number_is_rejected_without_a_run(self):
        await run(self.client, make_order(7))
        with self.assertRaises(upstream.UpstreamRefusedError):
            await run(self.client, make_order(6))

    async def test_conflict_status_of_the_service_is_passed_on(self):
        events = await run(self.client, make_order(7, "/orders/1?status=409"))
        body = b"".join(e.data for e in events if isinstance(e, upstream.BodyChunk))
        self.assertEqual(409, events[0].status)
        self.assertIn(b'"path":"/orders/1"', body)
