"""The operators' records that evacuate data centres, read by a router."""

import asyncio
import json
import unittest
import unittest.mock

import msgspec
from adapter import evacuation_view, router_role

from teaselsill import evacuation, ids, keyed_log
from tests.adapter import role_bench

KEY = "evacuate/a"
A = ids.DataCentre("a")
B = ids.DataCentre("b")


class EvacuationTest(role_bench.RoleTestCase):
    """A router whose only upstreams are in the data centre `a`."""

    async def start_ready(self):
        self.store.put("keyed.op", "config", role_bench.make_manifest(7))
        self.register()
        self.start()
        await self.wait_ready(200)
        await self.wait_status(200, self.call)

    async def wait_evacuated(self, *data_centres):
        evacuations = self.role._directory.evacuations
        async with asyncio.timeout(3.0):
            while evacuations.data_centres != set(data_centres):  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def test_nothing_is_sent_to_an_evacuated_data_centre(self):
        """Routers sent 3,032 requests to upstreams that were to get none."""
        await self.start_ready()
        self.store.put("keyed.op", KEY, b"{}")
        await self.wait_status(503, self.call)
        sent = len(self.server.requests)
        for _ in range(5):
            self.assertEqual(503, (await self.call())[0])
        self.assertEqual(sent, len(self.server.requests))
        self.store.put("keyed.op", KEY, None)
        await self.wait_status(200, self.call)

    async def test_router_that_starts_knows_it_before_its_first_send(self):
        self.store.put("keyed.op", KEY, b"{}")
        self.store.put("keyed.op", "config", role_bench.make_manifest(7))
        self.register()
        self.start()
        await self.wait_ready(200)
        self.assertEqual(503, (await self.call())[0])
        self.assertEqual([], self.server.requests)

    async def test_two_in_a_row_and_two_at_once(self):
        await self.start_ready()
        for data_centres in ((A,), (B,), (A, B)):
            for each in data_centres:
                self.store.put("keyed.op", f"evacuate/{each}", b"{}")
            await self.wait_evacuated(*data_centres)
            for each in data_centres:
                self.store.put("keyed.op", f"evacuate/{each}", None)
        await self.wait_evacuated()
        self.assertEqual(200, (await self.call())[0])

    async def test_record_removed_while_the_router_cannot_read(self):
        await self.start_ready()
        self.store.put("keyed.op", KEY, b"{}")
        await self.wait_evacuated(A)
        self.store.down = True
        self.role._manifest_follower.read_now()
        await asyncio.sleep(0.1)
        self.assertEqual(503, (await self.call())[0])
        self.store.put("keyed.op", KEY, None)
        self.store.down = False
        await self.wait_evacuated()

    async def test_record_that_a_restored_store_lacks_holds_on(self):
        await self.start_ready()
        copy = self.store.copy()
        self.store.put("keyed.op", KEY, b"{}")
        await self.wait_evacuated(A)
        self.store.restore(copy)
        async with asyncio.timeout(3.0):
            while self.role._manifest_follower._listed_era != 2:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        self.assertEqual(503, (await self.call())[0])
        self.store.put("keyed.op", KEY, b"{}")
        self.store.put("keyed.op", KEY, None)
        await self.wait_evacuated()

    async def test_odd_records_change_nothing_and_are_counted(self):
        await self.start_ready()
        self.store.put("keyed.op", KEY, b"{}")
        await self.wait_evacuated(A)
        with self.assertLogs("adapter.views", "WARNING") as logs:
            for value in (b"7", b"7", b"\xff", b"[" * 9999):
                self.store.put("keyed.op", KEY, value)
            self.store.put("keyed.op", "evacuate/mars", b"{}")
            self.store.put("keyed.op", "evacuate/", b"{}")
            position = self.role._manifest_follower._position.advance(6)
            async with asyncio.timeout(3.0):
                while self.role._manifest_follower._position < position:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
        self.assertEqual({A}, self.role._directory.evacuations.data_centres)
        self.assertLessEqual(len(logs.records), 5)
        keys = {record.key for record in logs.records}
        self.assertEqual({KEY, "evacuate/mars", "evacuate/"}, keys)
        _, text, _ = await self.ask(router_role.METRICS_PORT, router_role.METRICS_PATH)
        line = b'teaselsill_log_rejected_records_total{topic="keyed.op"} 6.0'
        self.assertIn(line, text)
        self.assertIn(b"teaselsill_evacuated_data_centres 1.0", text)

    async def test_router_without_the_store_learns_it_from_another(self):
        """It gets a copy of the topic, since it hears that there is a change."""
        await self.start_ready()
        self.store.down = True
        follower = self.role._manifest_follower
        page = follower.copy()
        record = keyed_log.KeyedRecord(KEY, b"{}")
        for records, evacuated in (
            ([*page.records, record], {A}),
            (page.records, set()),
        ):
            end = follower.copy().end.advance(1)
            self.assertTrue(follower.apply_copy(keyed_log.KeyedPage(records, end)))
            self.assertEqual(evacuated, self.role._directory.evacuations.data_centres)

    async def test_data_centre_that_the_settings_name_later(self):
        await self.start_ready()
        with self.assertLogs("adapter.views", "WARNING"):
            self.store.put("keyed.op", "evacuate/c", b"{}")
            await asyncio.sleep(0.2)
        self.assertEqual(set(), self.role._directory.evacuations.data_centres)
        zones = {"a": "north", "c": "south"}
        current = self.role._settings
        self.role._apply(msgspec.structs.replace(current, zones=zones))
        await self.wait_evacuated(ids.DataCentre("c"))
        self.assertEqual(zones, self.role._directory.region_by_data_centre)

    async def test_rejections_name_their_cause(self):
        await self.start_ready()
        self.store.put("keyed.op", KEY, b"{}")
        await self.wait_evacuated(A)
        self.assertEqual(503, (await self.call())[0])
        _, text, _ = await self.ask(router_role.METRICS_PORT, router_role.METRICS_PATH)
        line = b'teaselsill_requests_total{cause="evacuated",ending="rejected"} 1.0'
        self.assertIn(line, text)


class EvacuationViewTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.evacuations = evacuation.Evacuations()
        self.count = unittest.mock.Mock()
        self.view = evacuation_view.EvacuationView(
            self.evacuations, lambda each: each in {A, B}, self.count
        )

    def put(self, key, value=b"{}"):
        return self.view.put(keyed_log.KeyedRecord(key, value))

    async def test_fields_that_are_not_known_are_ignored(self):
        self.assertTrue(self.put(KEY, json.dumps({"Reason": "power"}).encode()))
        self.assertEqual({A}, self.evacuations.data_centres)

    async def test_repeated_record_is_passed_on(self):
        """It confirms what another router only holds since a restore."""
        for value in (b"{}", b"{}", None, None):
            self.assertTrue(self.put(KEY, value))

    async def test_other_records_are_not_counted(self):
        self.assertFalse(self.put("config", b"7"))
        self.assertFalse(self.put("evacuate", b"7"))
        self.assertTrue(self.put("evacuate/mars", None))
        self.count.assert_not_called()

    async def test_listing_without_the_record_takes_it_back(self):
        self.put(KEY)
        self.put("evacuate/b")
        self.view.keep_only({"config", "evacuate/b"})
        self.assertEqual({B}, self.evacuations.data_centres)
        self.assertIn(A, dict(self.evacuations.list_ended()))

    async def test_listing_after_a_restore_adds_to_what_holds(self):
        self.put(KEY)
        records = [keyed_log.KeyedRecord("evacuate/b", b"{}")]
        self.assertTrue(self.view.restore(records))
        self.assertEqual({A, B}, self.evacuations.data_centres)
