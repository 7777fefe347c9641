"""The store comes back from an older copy, while a router reads from it."""

import asyncio
import json
import time

import msgspec
from adapter import router_role, views

from teaselsill import ids, introduction, upstream_list
from tests import test_peer_links
from tests.adapter import role_bench, test_manifest

NOTICE_S = 1.0
"""Within this time after the store's return, a router knows of the restore."""


def make_manifest(version, has_route=True):
    """Returns a manifest with or without the route that the tests use."""
    routes = test_manifest.MANIFEST["Routes"]
    manifest = test_manifest.MANIFEST | {
        "Version": version,
        "Routes": routes if has_route else routes[:1],
    }
    return json.dumps(manifest).encode()


class RestoredStoreTest(role_bench.RoleTestCase):
    async def start_before_a_restore(self):
        """Starts a router that has read two versions which the copy lacks.

        Returns:
            The copy.
        """
        self.put_manifest(3)
        self.register()
        copy = self.store.copy()
        self.start()
        await self.wait_ready(200)
        for version in (5, 9):
            self.put_manifest(version)
            await self.wait_version(version)
        return copy

    def put_manifest(self, version, has_route=True):
        self.store.put("keyed.op", "config", make_manifest(version, has_route))

    async def wait_version(self, version, within_s=5.0):
        async with asyncio.timeout(within_s):
            while self.find_version() != version:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    def find_version(self):
        table = self.role._forwarder.table
        return table.version if table is not None else None

    def write_again(self):
        """The newest manifest and the server's entry are written again."""
        self.put_manifest(9)
        self.register()

    async def test_manifest_after_a_restore_comes_into_force(self):
        """After a drill of the store no router ever read the next manifest."""
        copy = await self.start_before_a_restore()
        self.store.restore(copy)
        self.write_again()
        self.put_manifest(12, has_route=False)
        await self.wait_version(12, within_s=2.0)
        self.assertEqual(404, (await self.call())[0])

    async def test_restore_is_noticed_although_connections_are_silent(self):
        """A wait at an offset that exists again gets no response."""
        copy = await self.start_before_a_restore()
        self.store.down = True
        self.store.restore(copy, is_silent=True)
        await asyncio.sleep(1.0)
        self.write_again()
        self.put_manifest(12)
        self.store.down = False
        await self.wait_version(12, within_s=NOTICE_S)

    async def test_other_router_tells_of_a_restore(self):
        copy = await self.start_before_a_restore()
        other = test_peer_links.make_report("a")
        self.role._view.apply(other)
        await asyncio.sleep(0.1)
        self.store.restore(copy, is_silent=True)
        self.write_again()
        self.put_manifest(12)
        told = msgspec.structs.replace(other, log_era=ids.Era(2))
        self.role._view.apply(told)
        await self.wait_version(12, within_s=0.5)

    async def test_manifest_in_force_does_not_go_back(self):
        copy = await self.start_before_a_restore()
        self.store.restore(copy)
        until = time.monotonic() + 1.5
        while time.monotonic() < until:
            self.assertEqual(9, self.find_version())
            await asyncio.sleep(0.01)
        self.assertEqual(2, self.role._log_era.current)

    async def test_two_restores_in_series(self):
        copy = await self.start_before_a_restore()
        for version in (12, 15):
            self.store.restore(copy)
            self.write_again()
            self.put_manifest(version)
            await asyncio.sleep(0.05)
        await self.wait_version(15, within_s=2.0)

    async def test_frozen_router_has_missed_two_restores(self):
        copy = await self.start_before_a_restore()
        self.store.restore(copy, is_silent=True)
        self.put_manifest(10)
        self.store.restore(copy)
        self.write_again()
        self.put_manifest(12)
        time.sleep(1.5)  # noqa: ASYNC251
        await self.wait_version(12, within_s=2.0)

    async def test_restore_while_the_router_starts(self):
        self.put_manifest(3)
        self.register()
        copy = self.store.copy()
        for version in (5, 9):
            self.put_manifest(version)
        self.start()
        await asyncio.sleep(0.05)
        self.store.restore(copy)
        self.write_again()
        self.put_manifest(12)
        await self.wait_version(12, within_s=2.0)
        await self.wait_ready(200)

    async def test_live_server_that_the_copy_lacks_is_used_on(self):
        """It was taken for gone until it had written its entry again."""
        self.put_manifest(3)
        copy = self.store.copy()
        self.register()
        self.start()
        await self.wait_ready(200)
        self.store.restore(copy)
        until = time.monotonic() + 1.2
        while time.monotonic() < until:
            self.assertEqual(200, (await self.call())[0])
            await asyncio.sleep(0.02)
        self.assertEqual(2, self.role._log_era.current)
        self.register()
        await asyncio.sleep(upstream_list.GRACE_AFTER_OUTAGE_S)
        self.assertEqual(200, (await self.call())[0])

    async def test_server_that_has_left_does_not_come_back(self):
        copy = await self.start_before_a_restore()
        self.store.put("keyed.servers", "i-1", None)
        await self.wait_status(503, self.call)
        self.store.restore(copy)
        until = time.monotonic() + 1.0
        while time.monotonic() < until:
            self.assertEqual({}, self.role._directory.listed.by_id)
            await asyncio.sleep(0.01)
        self.assertEqual(2, self.role._log_era.current)
        self.register()
        await self.wait_status(200, self.call)

    async def test_own_entry_is_written_again(self):
        """Routers that start later would not know this one."""
        await self.start_before_a_restore()
        self.store.restore({})
        async with asyncio.timeout(2.0):
            while "edge-1" not in self.store.newest("keyed.routers"):  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    async def test_router_that_the_copy_lacks_is_heard_on(self):
        """Live routers disconnected from each other."""
        copy = await self.start_before_a_restore()
        entry = views.RouterEntry(f"{role_bench.find_host()}:1", "a")
        self.store.put("keyed.routers", "edge-2", msgspec.json.encode(entry))
        links = self.role._links
        async with asyncio.timeout(5.0):
            while not links.has_peer(ids.InstanceId("edge-2")):  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        self.store.restore(copy)
        await asyncio.sleep(introduction.MAX_WAIT_S)
        self.assertEqual(2, self.role._log_era.current)
        self.assertTrue(links.has_peer(ids.InstanceId("edge-2")))

    async def test_restore_is_counted(self):
        copy = await self.start_before_a_restore()
        self.store.restore(copy)
        await asyncio.sleep(1.0)
        _, text, _ = await self.ask(router_role.METRICS_PORT, router_role.METRICS_PATH)
        self.assertIn(b"teaselsill_log_restores_total 1.0", text)

    async def test_changed_address_leads_to_a_store_in_an_earlier_era(self):
        copy = await self.start_before_a_restore()
        self.store.restore(copy)
        await asyncio.sleep(1.0)
        self.assertEqual(2, self.role._log_era.current)
        self.store.era = 1
        self.put_manifest(12)
        self.role._log_era.forget()
        for follower in self.role._follower_by_topic.values():
            follower.forget()
        await self.wait_version(12)
