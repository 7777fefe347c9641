import asyncio
import json
import os
import signal
import time
import unittest.mock

import msgspec
from adapter import router_role, settings, views

from teaselsill import (
    ids,
    introduction,
    keyed_log,
    listener,
    log_position,
    peer_reports,
    report_routes,
    retry_budget,
)
from tests import test_peer_links
from tests.adapter import (
    role_bench,
    store_bench,
    test_manifest,
    test_servers,
    test_settings,
)


def stop_process(pause_s):
    time.sleep(pause_s)


class RouterRoleTest(role_bench.RoleTestCase):
    async def test_serves_once_it_knows_the_manifest_and_the_servers(self):
        self.start()
        await self.wait_ready(503)
        self.assertEqual(503, (await self.call())[0])
        self.store.put("keyed.op", "config", role_bench.make_manifest(7))
        self.register()
        await self.wait_ready(200)
        await self.wait_status(200, self.call)
        (request,) = self.server.requests[:1]
        self.assertEqual("i-1", request.get("teaselsill-expect-instance"))
        self.assertIn("edge-1", self.store.newest("keyed.routers"))
        _, text, _ = await self.ask(router_role.METRICS_PORT, router_role.METRICS_PATH)
        self.assertIn(b'teaselsill_requests_total{cause="",ending="delivered"}', text)

    async def test_serves_while_the_store_is_down_and_resumes_reading_it(self):
        self.store.put("keyed.op", "config", role_bench.make_manifest(7))
        self.register()
        self.start()
        await self.wait_ready(200)
        self.store.down = True
        await self.wait_status(200, self.call)
        self.store.down = False
        self.register(State="draining")
        await self.wait_status(503, self.call)
        await self.wait_ready(200)

    async def test_newer_manifest_is_in_force_although_connections_are_silent(self):
        """The connections to the store that were open are silent; new ones work."""
        self.store.put("keyed.op", "config", role_bench.make_manifest(7))
        self.register()
        self.start()
        await self.wait_ready(200)
        self.store.put("keyed.op", "config", role_bench.make_manifest(8))
        await self.wait_version(8)
        self.store.silence()
        self.store.put("keyed.op", "config", role_bench.make_manifest(9))
        async with asyncio.timeout(role_bench.CONFIG_APPLY_S):
            await self.wait_version(9)

    async def wait_version(self, version):
        changed = asyncio.Event()
        apply = self.role._forwarder.apply_configuration

        def apply_and_note(table):
            apply(table)
            changed.set()

        with unittest.mock.patch.object(
            self.role._forwarder, "apply_configuration", apply_and_note
        ):
            while self.role._forwarder.version != version:
                await changed.wait()
                changed.clear()

    async def test_router_that_becomes_the_designated_reader_reads_the_manifest(self):
        """Its long wait for a change may be on a silent connection."""
        role = self.make_role()
        role._view.apply(test_peer_links.make_report("a1"))
        self.assertGreater(role._find_manifest_wait_s(), role_bench.CONFIG_APPLY_S)
        update = keyed_log.Update(ids.Offset(0), ids.Offset(0), [], 0.0)
        with unittest.mock.patch.object(role._manifest_follower, "read_now") as read:
            role._note_servers_read("keyed.servers", update, 0.0)
            read.assert_not_called()
            role._view.apply(test_peer_links.make_report("z1"))
            with unittest.mock.patch.object(role._view, "find_rank", return_value=0):
                role._note_servers_read("keyed.servers", update, 0.0)
                role._note_servers_read("keyed.servers", update, 0.0)
                wait_s = role._find_manifest_wait_s()
            read.assert_called_once_with()
        self.assertLess(wait_s, role_bench.CONFIG_APPLY_S / 2)

    async def test_changed_address_of_the_store_is_used(self):
        self.store.put("keyed.op", "config", role_bench.make_manifest(7))
        self.register()
        self.start()
        await self.wait_ready(200)
        async with store_bench.KeyedStore() as moved:
            new = moved.describe()
            text = test_settings.TEXT.replace(
                "10.200.1.7:8781", f"{new.host}:{new.port}"
            )
            self.path.write_text(text)
            moved.put("keyed.op", "config", role_bench.make_manifest(7))
            moved.register(self.server)
            moved.register(self.server, State="draining")
            os.kill(os.getpid(), signal.SIGHUP)
            await self.wait_status(503, self.call)

    async def test_changed_bounds_take_effect(self):
        role = self.make_role()
        current = settings.parse(self.path, test_settings.TEXT.encode())
        changed = settings.Bounds(3000.0, 5.0, 0.4, 20.0, 64.0)
        role._apply(msgspec.structs.replace(current, bounds=changed))
        self.assertEqual(5.0, role._router.grace_s)
        self.assertEqual(0.717 * 3, role._router.cores)
        self.assertEqual(
            retry_budget.BudgetPolicy(0.4, 20.0, 64.0), role._forwarder._budget_policy
        )

    async def test_every_router_reads_servers_within_the_drain_time(self):
        role = self.make_role()
        reader_pause_s = role._find_servers_pause_s()
        for number in range(100):
            report = test_peer_links.make_report(f"a{number}")
            role._view.apply(report)
        drain_s = 2.0
        report_s = role._view.find_report_period_s()
        self.assertLess(role._find_servers_pause_s() + report_s, drain_s)
        self.assertEqual(0.0, role._find_servers_wait_s())
        self.assertLess(reader_pause_s, 0.5)

    async def test_few_routers_take_over_from_a_silent_reader(self):
        """At a reader's death 300 routers would call the store at once."""
        role = self.make_role()
        bounds = msgspec.structs.replace(role._settings.bounds, drain_ms=4000.0)
        role._apply(msgspec.structs.replace(role._settings, bounds=bounds))
        reads_every_s = role._find_servers_wait_s() + role._find_servers_pause_s()
        for number in range(300):
            role._view.apply(test_peer_links.make_report(f"z{number}"))
        ages_s = []
        for number in range(4):
            ages_s.append(role._find_servers_pause_s())
            role._view.apply(test_peer_links.make_report(f"a{number}"))
        self.assertEqual(sorted(set(ages_s)), ages_s)
        self.assertGreater(ages_s[1], reads_every_s + 0.1)
        self.assertLess(ages_s[-1], role._servers_max_age_s)

    async def run_for(self, role, pause_s):
        """Lets a router run for a moment and then stops its process for a time."""
        measuring = asyncio.create_task(role._lag.run())
        self.addCleanup(measuring.cancel)
        await asyncio.sleep(0.2)
        stop_process(pause_s)

    async def test_router_that_was_paused_keeps_its_peers(self):
        """It has not read yet what they sent meanwhile."""
        for pause_s in (1.5, 3.0):
            with self.subTest(pause_s=pause_s):
                role = self.make_role()
                names = [f"a{number}" for number in range(9)]
                for name in names:
                    role._view.apply(test_peer_links.make_report(name))
                await self.run_for(role, pause_s)
                for _ in range(5):
                    self.assertEqual(9, role._view.count_live_peers())
                    self.assertEqual(9, role._view.find_rank())
                    self.assertEqual(set(names), set(role._view.list_statuses()))
                    self.assertTrue(all(map(role._view.is_live, names)))
                    await asyncio.sleep(0.05)
                role._view.take_report()
                role._view.apply(test_peer_links.make_report("a1", uptime_s=9))
                self.assertFalse(role._view.has_unreported_changes)

    async def test_contact_is_not_suspected_for_a_pause_of_this_router(self):
        role = self.make_role()
        self.addCleanup(role._links.close)
        contact = listener.Listener(role_bench.find_host(), 0, lambda stream: None)
        self.addCleanup(contact.close)
        peer = ids.InstanceId("edge-2")
        role._links.put_peer(
            report_routes.Peer(peer, ids.DataCentre("b"), *contact.address)
        )
        async with asyncio.timeout(5.0):
            while peer not in role._links._stream_by_peer:
                role._links.send(test_peer_links.make_report("edge-1"))
                await asyncio.sleep(0.01)
        await self.run_for(role, 2.0)
        role._links.send(test_peer_links.make_report("edge-1"))
        self.assertEqual(0, role._links._find_penalty(peer))

    async def test_only_the_designated_reader_waits_for_router_entries(self):
        role = self.make_role()
        self.assertGreater(role._find_peers_wait_s(), 0.0)
        role._view.apply(test_peer_links.make_report("a"))
        self.assertEqual(0.0, role._find_peers_wait_s())
        self.assertGreaterEqual(
            role._find_peers_pause_s(), router_role.PEERS_TAKEOVER_S
        )
        role._peers_follower._position = log_position.Position(
            ids.NO_ERA, ids.Offset(4)
        )
        entry = msgspec.json.encode(views.RouterEntry("127.0.0.9:7", "b"))
        change = keyed_log.Change(ids.Offset(4), "edge-2", entry)
        update = keyed_log.Update(ids.Offset(4), ids.Offset(5), [change], 0.0)
        reading = peer_reports.LogReading(update, age_s=0.1)
        role._apply_log_reading(router_role.ROUTERS_TOPIC, reading)
        self.assertIn("edge-2", role._links._routes.peer_by_id)
        role._links.close()

    async def test_reads_of_a_busy_log_are_rate_limited(self):
        role = self.make_role()
        bounds = msgspec.structs.replace(role._settings.bounds, drain_ms=0.0)
        role._apply(msgspec.structs.replace(role._settings, bounds=bounds))
        self.assertGreater(role._find_servers_pause_s(), 0.1)
        role._view.apply(test_peer_links.make_report("a"))
        self.assertGreater(role._find_servers_pause_s(), 0.1)

    async def test_older_or_malformed_manifest_is_ignored(self):
        self.store.put("keyed.op", "config", role_bench.make_manifest(7))
        self.register()
        self.start()
        await self.wait_ready(200)
        older = test_manifest.MANIFEST | {"Version": 6, "Routes": []}
        self.store.put("keyed.op", "config", json.dumps(older).encode())
        self.store.put("keyed.op", "config", b"no manifest")
        await asyncio.sleep(0.3)
        await self.wait_status(200, self.call)

    async def start_beside_another_router(self):
        """Starts the router beside one that accepts connections but says nothing."""
        silent = listener.Listener(role_bench.find_host(), 0, lambda stream: None)
        self.addCleanup(silent.close)
        entry = views.RouterEntry(f"{role_bench.find_host()}:{silent.address[1]}", "a")
        self.store.put("keyed.routers", "edge-2", msgspec.json.encode(entry))
        self.store.put("keyed.op", "config", role_bench.make_manifest(7))
        self.register()
        self.start()
        return time.monotonic()

    async def test_router_is_not_ready_before_it_has_heard_the_others(self):
        """A restarted router sent an upstream more than its limit, which all knew."""
        began_at = await self.start_beside_another_router()
        await self.wait_ready(503)
        while self.role._forwarder.table is None:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        self.assertEqual(503, (await self.call())[0])
        self.assertEqual([], self.server.requests)
        await self.wait_ready(200)
        self.assertGreater(time.monotonic() - began_at, introduction.MAX_WAIT_S)
        self.assertEqual(200, (await self.call())[0])

    async def test_router_is_ready_as_soon_as_another_one_has_greeted_it(self):
        began_at = await self.start_beside_another_router()
        report = test_peer_links.make_report("edge-2", peer_reports.SETTLED_S)
        self.role._view.apply(report)
        await self.wait_ready(200)
        self.assertLess(time.monotonic() - began_at, introduction.MAX_WAIT_S)

    async def test_entry_that_is_not_whole_changes_nothing(self):
        """Orders were run by a server of another service, whose entry it replaced."""
        self.store.put("keyed.op", "config", role_bench.make_manifest(7))
        self.register()
        self.start()
        await self.wait_ready(200)
        whole = json.loads(self.store.newest("keyed.servers")["i-1"])
        before = self.role._directory.listed.by_id["i-1"]
        with self.assertLogs("adapter.views", "WARNING") as logs:
            for seq in range(3):
                for field in ("Version", "ColdLeftMs", "Seq"):
                    foreign = whole | {"Service": "wuno96b", "Seq": seq}
                    del foreign[field]
                    self.store.put("keyed.servers", "i-1", json.dumps(foreign).encode())
            position = self.role._servers_follower._position.advance(9)
            async with asyncio.timeout(5.0):
                while self.role._servers_follower._position != position:
                    self.assertEqual(200, (await self.call())[0])
                    await asyncio.sleep(0.02)
        self.assertEqual(before, self.role._directory.listed.by_id["i-1"])
        self.assertLess(len(logs.records), 10)
        self.assertIn("Version", logs.records[0].reason)
        _, text, _ = await self.ask(router_role.METRICS_PORT, router_role.METRICS_PATH)
        line = b'teaselsill_log_rejected_records_total{topic="keyed.servers"} 9.0'
        self.assertIn(line, text)

    async def test_repeated_odd_entry_is_logged_once(self):
        count = unittest.mock.Mock()
        rejected = views.RejectedRecords("ignored", count)
        with self.assertLogs("adapter.views", "WARNING") as logs:
            for _ in range(5):
                rejected.note("a", "no Version")
            rejected.note("a", "no Seq")
        self.assertEqual((6, 2), (count.call_count, len(logs.records)))
        for number in range(2 * views.MAX_REJECTED_KEYS):
            rejected.note(str(number), "no Seq")
        self.assertLessEqual(len(rejected._reason_by_key), views.MAX_REJECTED_KEYS)

    async def test_odd_entries_cost_only_themselves(self):
        """Routers that read them ended, or stopped following the list."""
        self.store.put("keyed.op", "config", role_bench.make_manifest(7))
        self.register()
        running = self.start()
        await self.wait_ready(200)
        nested = b"[" * 100_000 + b"]" * 100_000
        entry = test_servers.ENTRY
        odd = [
            nested,
            json.dumps(entry).encode()[:-1] + b', "Extra": ' + nested + b"}",
            json.dumps(entry | {"Slots": 10**400}).encode(),
            json.dumps(entry | {"born": 2**70}).encode(),
            json.dumps(entry | {"Address": "10.0.0.1:99999"}).encode(),
            json.dumps(entry | {"Address": "10.0.0.1:0"}).encode(),
        ]
        with self.assertLogs("adapter.views", "WARNING") as logs:
            for number, value in enumerate(odd):
                self.store.put("keyed.servers", f"odd{number}", value)
                self.store.put("keyed.routers", f"odd{number}", value)
            self.store.put("keyed.servers", "odd\r\nx: y", json.dumps(entry).encode())
            self.store.put("keyed.op", "config", nested)
            self.store.put("keyed.servers", "last", json.dumps(entry).encode())
            role = self.role
            async with asyncio.timeout(5.0):
                while "last" not in role._directory.listed.by_id:  # noqa: ASYNC110
                    await asyncio.sleep(0.02)
        ignored = {getattr(record, "key", None) for record in logs.records}
        self.assertLessEqual({f"odd{number}" for number in range(len(odd))}, ignored)
        self.assertFalse(running.done())
        listed = set(role._directory.listed.by_id)
        self.assertFalse([name for name in listed if name.startswith("odd")])
        self.store.put("keyed.servers", "last", None)
        await self.wait_status(200, self.call)

    async def test_serves_requests_between_sigterm_and_its_exit(self):
        self.store.put("keyed.op", "config", role_bench.make_manifest(7))
        self.register()
        running = self.start()
        await self.wait_ready(200)
        os.kill(os.getpid(), signal.SIGTERM)
        await self.wait_ready(503)
        self.assertEqual(200, (await self.call())[0])
        async with asyncio.timeout(5.0):
            await running
