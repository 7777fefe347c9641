import asyncio
import unittest

import aiohttp
import msgspec

from standins import instance_list
from teaselsill import http_instances, instances
from tests import support

LAG_S = 0.3


def make_instance(name, state=instances.InstanceState.LIVE):
    return instances.Instance(
        name, instances.Role.AGENT, "oslo-a", "127.0.0.1", port=1, state=state
    )


class InstanceListTest(support.HttpCase, unittest.IsolatedAsyncioTestCase):
    lag_s = 0.0

    def make_app(self):
        return instance_list.create_app(self.lag_s)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.list = http_instances.HttpInstanceList(self.url)
        self.addAsyncCleanup(self.list.close)

    async def put(self, instance):
        body = msgspec.to_builtins(instance)
        status, _ = await self.call("PUT", f"/instances/{instance.id}", json=body)
        self.assertEqual(200, status)

    async def test_instances_are_added_and_removed(self):
        leaving = make_instance("i1", instances.InstanceState.LEAVING)
        await self.put(make_instance("i1"))
        await self.put(leaving)
        await self.put(make_instance("i2"))
        await self.call("DELETE", "/instances/i2")
        self.assertEqual({"i1": leaving}, await self.list.fetch())

    async def test_unchanged_list_is_not_sent_again(self):
        await self.put(make_instance("i1"))
        await asyncio.sleep(self.lag_s)
        first = await self.list.fetch()
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"{self.url}/instances") as response,
        ):
            headers = {"If-None-Match": response.headers["ETag"]}
            unchanged = await session.get(f"{self.url}/instances", headers=headers)
            self.assertEqual((304, b""), (unchanged.status, await unchanged.read()))
        self.assertIs(first, await self.list.fetch())
        await self.put(make_instance("i2"))
        await asyncio.sleep(self.lag_s)
        self.assertEqual({"i1", "i2"}, (await self.list.fetch()).keys())

    async def test_down_list_is_unavailable(self):
        await self.set_faults(down=True)
        with self.assertRaises(instances.InstanceListUnavailableError):
            await self.list.fetch()

    async def test_ids_must_agree(self):
        body = msgspec.to_builtins(make_instance("i1"))
        status, _ = await self.call("PUT", "/instances/i2", json=body)
        self.assertEqual(400, status)


class LaggingListTest(InstanceListTest):
    lag_s = LAG_S

    async def test_instances_are_added_and_removed(self):
        instance = make_instance("i1")
        await self.put(instance)
        self.assertEqual({}, await self.list.fetch())
        await asyncio.sleep(LAG_S)
        await self.call("DELETE", "/instances/i1")
        self.assertEqual({"i1": instance}, await self.list.fetch())
        await asyncio.sleep(LAG_S)
        self.assertEqual({}, await self.list.fetch())
