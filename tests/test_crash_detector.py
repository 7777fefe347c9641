import asyncio
import unittest

from teaselsill import (
    crash_detector,
    crash_reports,
    directory,
    entry_metrics,
    quarantine,
    routing_table,
    upstream_list,
)
from tests import entry_bench, test_crash_analysis, test_routing_table

SUSPECTS = [test_crash_analysis.make_suspect(name, "part") for name in ("a", "b")]


class CrashDetectorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.upstream = await self.enterAsyncContext(
            entry_bench.ScriptedUpstream("u", entry_bench.respond_ok)
        )
        self.directory = directory.Directory()
        engine = routing_table.Engine(slots=8, kv_cache_tokens=100_000)
        service = test_routing_table.make_service(engine=engine)
        self.directory.service_by_name = {service.name: service}
        self.listed = self.upstream.describe()
        self.directory.listed.put(self.listed)
        self.quarantine = quarantine.Quarantine()
        self.detector = crash_detector.CrashDetector(
            self.directory,
            self.quarantine,
            entry_metrics.EntryMetrics(self.directory),
        )
        self.addCleanup(self.detector.close)

    async def check(self, suspects=SUSPECTS):
        checks = [self.detector.check(self.listed, suspect) for suspect in suspects]
        return await asyncio.gather(*checks)

    def take_crashes(self):
        return self.quarantine.take_news(0.0, False).crashes

    async def test_crash_is_reported_once_with_all_requests(self):
        self.upstream.crash()
        self.assertEqual([True, True], await self.check())
        (crash,) = self.take_crashes()
        self.assertEqual(self.listed.id, crash.upstream)
        self.assertEqual(SUSPECTS, crash.suspects)

    async def test_lost_connections_of_a_live_upstream_are_no_crash(self):
        """Resets and cut responses look like a crash until a new connection works."""
        self.assertEqual([False, False], await self.check())
        self.assertEqual([], self.take_crashes())
        self.assertEqual(1, self.upstream.connections)
        now = asyncio.get_running_loop().time()
        self.assertIsNotNone(self.directory.pool(self.listed).take(now, 10.0))

    async def test_planned_end_is_no_crash(self):
        leaving = self.upstream.describe(upstream_list.State.LEAVING)
        self.directory.listed.put(leaving)
        self.upstream.crash()
        self.assertEqual([False, False], await self.check())
        self.assertEqual([], self.take_crashes())

    async def test_upstream_that_is_not_listed_any_more_is_no_crash(self):
        self.directory.listed.remove(self.listed.id, 0.0)
        self.upstream.crash()
        self.assertEqual([False, False], await self.check())

    async def test_requests_that_are_found_broken_later_are_reported_too(self):
        self.upstream.crash()
        await self.check(SUSPECTS[:1])
        await self.check(SUSPECTS[1:])
        crashes = self.take_crashes()
        self.assertEqual(SUSPECTS, [s for crash in crashes for s in crash.suspects])

    async def test_number_of_reported_requests_is_bounded(self):
        self.upstream.crash()
        stages = crash_reports.Stage.WAITING, crash_reports.Stage.HEAD
        suspects = [
            test_crash_analysis.make_suspect(f"{n}", "part", stage=stages[n % 20 == 0])
            for n in range(100)
        ]
        await self.check(suspects)
        (crash,) = self.take_crashes()
        self.assertEqual(crash_detector.MAX_REPORTED_SUSPECTS, len(crash.suspects))
        self.assertEqual(5, sum(suspect.has_begun for suspect in crash.suspects))

    async def test_cancelled_request_does_not_end_the_check_of_others(self):
        self.upstream.crash()
        first, second = (
            asyncio.create_task(self.detector.check(self.listed, suspect))
            for suspect in SUSPECTS
        )
        await asyncio.sleep(0)
        first.cancel()
        self.assertTrue(await second)
