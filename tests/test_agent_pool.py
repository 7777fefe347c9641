import asyncio
import unittest
from unittest import mock

from teaselsill import agent_pool
from tests import bench


class PoolSizeTest(unittest.IsolatedAsyncioTestCase):
    """A service has six agents, of which a router connects to four at first."""

    def count_connections(self, fleet):
        pool = fleet.router.pool_by_service.get(bench.SERVICE)
        return len(pool.peer_by_agent) if pool else 0

    async def wait_for(self, fleet, count):
        async with asyncio.timeout(5):
            while self.count_connections(fleet) != count:  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    @mock.patch.object(agent_pool, "SHRINK_AFTER_S", 0.3)
    async def test_pool_grows_while_requests_wait_and_shrinks_later(self):
        async with bench.Bench(agents=6) as fleet:
            for member in fleet.agents:
                member.upstream.may_start.clear()
            calls = [asyncio.create_task(fleet.call(bench.LOOKUP)) for _ in range(20)]
            await self.wait_for(fleet, 6)
            for member in fleet.agents:
                member.upstream.may_start.set()
            await asyncio.gather(*calls)
            await self.wait_for(fleet, 4)
            await fleet.call(bench.LOOKUP)
