import asyncio
import unittest

from standins import fleet, shapes

SHAPE = shapes.Shape(
    ("oslo-a",),
    (shapes.ServiceShape("bookings", "plain", 2),),
    routers=2,
    accounts=1,
)
CALLERS_PER_ROUTER = 6
LEAVE_TIMEOUT_S = 2.5
"""The time within which a leaving agent must stop getting requests."""


class ListedLeavingTest(unittest.IsolatedAsyncioTestCase):
    """An agent under load is listed as leaving, or is removed from the list."""

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(fleet.Fleet(SHAPE))
        self.agent = self.fleet.agents_of("bookings")[0]
        self.statuses = []
        self.callers = [
            asyncio.create_task(self.call(router))
            for router in self.fleet.with_role(fleet.Role.ROUTER)
            for _ in range(CALLERS_PER_ROUTER)
        ]
        self.addAsyncCleanup(self.stop_callers)

    async def stop_callers(self):
        for caller in self.callers:
            caller.cancel()
        await asyncio.gather(*self.callers, return_exceptions=True)

    async def call(self, router):
        headers = self.fleet.request_headers(shapes.account_name(0))
        url = f"{router.url}/services/bookings/x"
        while True:
            async with self.fleet.session.get(url, headers=headers) as response:
                await response.read()
                self.statuses.append(response.status)

    async def count_runs_in(self, seconds):
        before = await self.count_runs()
        await asyncio.sleep(seconds)
        return await self.count_runs() - before

    async def count_runs(self):
        upstream = self.fleet.upstream_of(self.agent)
        page = await self.fleet.get_json(f"{upstream.url}/admin/executions")
        return sum(page["by_request"].values())

    async def test_no_new_requests_after_a_few_seconds(self):
        self.assertGreater(await self.count_runs_in(1), 0)
        await self.fleet.set_listing(self.agent, "leaving")
        await asyncio.sleep(LEAVE_TIMEOUT_S)
        self.assertEqual(0, await self.count_runs_in(1))
        await self.fleet.set_listing(self.agent, "live")
        await asyncio.sleep(LEAVE_TIMEOUT_S)
        self.assertGreater(await self.count_runs_in(1), 0)
        await self.fleet.unlist(self.agent)
        await asyncio.sleep(LEAVE_TIMEOUT_S)
        self.assertEqual(0, await self.count_runs_in(1))
        self.assertEqual({200}, set(self.statuses))
