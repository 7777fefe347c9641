"""Upstreams that are cold: what all routers together send to them."""

import asyncio
import dataclasses

from teaselsill import announcements, cold_start, fleet_view, routing_table
from tests import test_failures_limit

POLICY = cold_start.Policy(duration_s=4.0, per_s=5.0)
ALLOWANCE = cold_start.Allowance(overage=1.5, slack=5.0)
MAX_IN_SECOND = ALLOWANCE.count(POLICY)
WINDOW_S = 1.0
COLD_S = 3.0
NEWS_S = 0.3
"""For the report of the router that has read an entry, in one busy process."""


class ColdTest(test_failures_limit.LimitCase):
    """Routers share what a cold upstream takes."""

    async def start_cold(self, *upstreams, cold, readers=None, **fields):
        """Starts routers; those of `readers` read that upstreams are cold."""
        await self.start(*upstreams, **fields)
        now = asyncio.get_running_loop().time()
        for number, router in enumerate(self.routers):
            directory = router.directory
            directory.cold_allowance = ALLOWANCE
            directory.service_by_name = {
                name: dataclasses.replace(service, cold_start=POLICY)
                for name, service in directory.service_by_name.items()
            }
            if readers is None or number in readers:
                for each in cold:
                    directory.note_entry(each.describe(), COLD_S, 0.0, now)

    async def test_cold_upstream_gets_what_it_takes_from_all_routers_together(self):
        """Each router used to send to it as to the others: it looked idle."""
        cold, warm = (test_failures_limit.LimitedUpstream(n, None) for n in "cw")
        await self.start_cold(cold, warm, cold=[cold])
        began_at = asyncio.get_running_loop().time()
        await self.send_for(COLD_S)
        most = cold.count_most(began_at, WINDOW_S)
        self.assertLessEqual(most, MAX_IN_SECOND)
        self.assertGreater(len(cold.arrived_at), 0.5 * COLD_S * POLICY.per_s)
        self.assertEqual({200}, set(self.statuses))

    async def test_routers_tell_each_other_that_an_upstream_is_cold(self):
        cold, warm = (test_failures_limit.LimitedUpstream(n, None) for n in "cw")
        await self.start_cold(cold, warm, cold=[cold], readers=[1])
        await asyncio.sleep(NEWS_S)
        for router in self.routers:
            now = asyncio.get_running_loop().time()
            self.assertTrue(router.directory.find("c").cold.is_cold(now))
        now = asyncio.get_running_loop().time()
        self.routers[1].directory.note_entry(cold.describe(), 0.0, 0.0, now)
        await asyncio.sleep(NEWS_S)
        for router in self.routers:
            now = asyncio.get_running_loop().time()
            self.assertFalse(router.directory.find("c").cold.is_cold(now))

    async def test_router_that_has_just_connected_is_told(self):
        cold = test_failures_limit.LimitedUpstream("c", None)
        await self.start_cold(cold, cold=[cold], readers=[0])
        self.cut = set(self.routers)
        self.routers[2].view.apply(self.routers[0].view.make_greeting())
        now = asyncio.get_running_loop().time()
        self.assertTrue(self.routers[2].directory.find("c").cold.is_cold(now))

    async def test_announced_limit_outlasts_a_router_that_has_not_heard_of_it(self):
        """Its request for a permit said that the upstream had named none."""
        limited = test_failures_limit.LimitedUpstream("c", None)
        await self.start_cold(limited, cold=[limited], routers=2)
        now = asyncio.get_running_loop().time()
        candidate, other = (each.directory.find("c") for each in self.routers)
        candidate.announced.note_sighting(announcements.Sighting(2.0, now - 9, now - 9))
        news = fleet_view.make_limit_news(other, now)
        self.routers[0].view.apply_limit_news("r1", news)
        self.assertEqual(2.0, candidate.announced.limit_per_s)

    async def test_requests_beyond_what_cold_upstreams_take_are_rejected_at_once(self):
        upstreams = [test_failures_limit.LimitedUpstream(n, None) for n in "ab"]
        never = routing_table.Repeat.NEVER
        await self.start_cold(*upstreams, cold=upstreams, repeat=never, objective_s=0.2)
        began_at = asyncio.get_running_loop().time()
        with self.assertLogs("teaselsill.forwarding") as logs:
            await self.send_for(COLD_S)
        for upstream in upstreams:
            most = upstream.count_most(began_at, WINDOW_S)
            self.assertLessEqual(most, MAX_IN_SECOND)
        self.assertEqual({200, 503}, set(self.statuses))
        self.assertLess(max(self.took_s), test_failures_limit.AT_ONCE_S)
        self.assertGreater(min(self.retry_after_s), 0.0)
        causes = {getattr(record, "cause", None) for record in logs.records}
        self.assertIn("upstreams-cold", causes)

    async def test_router_that_is_alone_in_a_fleet_sends_nothing(self):
        """The others may be granting permits."""
        cold, warm = (test_failures_limit.LimitedUpstream(n, None) for n in "cw")
        await self.start_cold(cold, warm, cold=[], readers=[])
        await asyncio.sleep(1.0)
        self.cut = set(self.routers)
        await asyncio.sleep(2.0)
        now = asyncio.get_running_loop().time()
        for router in self.routers:
            router.directory.note_entry(cold.describe(), COLD_S, 0.0, now)
        await self.send_for(2.0)
        self.assertEqual([], cold.arrived_at)
        self.assertEqual({200}, set(self.statuses))
