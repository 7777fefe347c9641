"""Requests whose route or client account names the regions that they may go to."""

import asyncio
import dataclasses
import unittest

from teaselsill import ids, routing_table
from tests import entry_bench, offload_bench, test_routing_table

NORTH = ids.Region("north")
SOUTH = ids.Region("south")
REGIONS = {ids.DataCentre("a"): NORTH, ids.DataCentre("b"): SOUTH}
ACCOUNT = ids.AccountId("acc")


def make_table(by_route=None, by_account=None, **fields):
    """Returns a routing table with one route that names regions, or whose account does.

    Args:
        by_route: The regions of the route.
        by_account: The regions of the client account with the key `k`.
        fields: Further fields of the route.
    """
    route = test_routing_table.make_route(allowed_regions=by_route, **fields)
    return routing_table.RoutingTable(
        ids.Version(2),
        [route],
        [test_routing_table.make_service()],
        {"k": ACCOUNT},
        routing_table.Limits(),
        {ACCOUNT: by_account} if by_account is not None else None,
    )


class FindAllowedRegionsTest(unittest.TestCase):
    def find(self, by_route, by_account, account=ACCOUNT):
        table = make_table(by_route, by_account)
        route = table.find_route("a.example", "/x/1")
        return table.find_allowed_regions(route, account)

    def test_both_bind(self):
        north, both = frozenset({NORTH}), frozenset({NORTH, SOUTH})
        self.assertIsNone(self.find(None, None))
        self.assertEqual(north, self.find(north, None))
        self.assertEqual(north, self.find(None, north))
        self.assertEqual(north, self.find(both, north))
        self.assertEqual(north, self.find(north, both))
        self.assertEqual(frozenset(), self.find(north, frozenset({SOUTH})))
        self.assertEqual(both, self.find(both, north, account=None))


class AllowedRegionsTest(unittest.IsolatedAsyncioTestCase):
    """A router in the north, with an upstream there and one in the south."""

    async def start(self, in_south=entry_bench.respond_ok, **fields):
        self.in_north = entry_bench.ScriptedUpstream("u-a", entry_bench.respond_ok, "a")
        self.in_south = entry_bench.ScriptedUpstream("u-b", in_south, "b")
        self.bench = await self.enterAsyncContext(
            entry_bench.EntryBench([self.in_north, self.in_south])
        )
        self.bench.directory.region_by_data_centre = REGIONS
        self.apply(**fields)

    def apply(self, **fields):
        self.bench.forwarder.apply_configuration(make_table(**fields))

    async def ask_often(self, status=200):
        for request in range(10):
            answer = await self.bench.ask(str(request), key="k")
            self.assertEqual(status, answer[0])

    def count_sent(self):
        return len(self.in_north.requests), len(self.in_south.requests)

    async def test_regions_of_the_route(self):
        await self.start(by_route=frozenset({SOUTH}))
        await self.ask_often()
        self.assertEqual((0, 10), self.count_sent())

    async def test_regions_of_the_client_account(self):
        await self.start(by_account=frozenset({SOUTH}))
        await self.ask_often()
        self.assertEqual((0, 10), self.count_sent())

    async def test_region_without_upstreams_gets_rejections_at_once(self):
        """A region that nobody knows allows nothing."""
        for fields in (
            {"by_route": frozenset({ids.Region("mars")})},
            {"by_route": frozenset({NORTH}), "by_account": frozenset({SOUTH})},
        ):
            with self.subTest(fields=fields):
                await self.start(**fields)
                await self.ask_often(503)
                self.assertEqual((0, 0), self.count_sent())
                page = self.bench.metrics.render(0.0, self.bench.view.usage)
                self.assertIn(b'cause="no-allowed-region",ending="rejected"} 10', page)

    async def test_upstream_whose_region_is_unknown_gets_nothing(self):
        await self.start(by_route=frozenset({NORTH}))
        self.bench.directory.region_by_data_centre = {}
        await self.ask_often(503)
        self.assertEqual((0, 0), self.count_sent())

    async def test_retry_stays_in_the_region(self):
        async def reset(request, stream):
            stream.abort()

        repeat = routing_table.Repeat.FREELY
        south = frozenset({SOUTH})
        await self.start(reset, by_route=south, repeat=repeat, max_upstreams=2)
        self.assertEqual(502, (await self.bench.ask(key="k"))[0])
        self.assertEqual((0, 1), self.count_sent())

    async def test_evacuation_of_the_only_allowed_region(self):
        await self.start(by_route=frozenset({SOUTH}))
        now = asyncio.get_running_loop().time()
        self.bench.directory.evacuations.begin(ids.DataCentre("b"), now)
        await self.ask_often(503)
        self.assertEqual((0, 0), self.count_sent())
        page = self.bench.metrics.render(0.0, self.bench.view.usage)
        self.assertIn(b'cause="evacuated",ending="rejected"} 10', page)

    async def test_prompt_is_not_copied_from_another_region(self):
        south = frozenset({SOUTH})
        await self.start(by_route=south)
        directory = self.bench.directory
        service = directory.service_by_name[entry_bench.SERVICE]
        candidates = directory.candidates(service, set(), south)
        self.assertEqual(["u-b"], [each.upstream.id for each in candidates])


class PassedOnTest(unittest.IsolatedAsyncioTestCase):
    """A busy router in `a` beside another one in `b`, which serves its requests."""

    async def start(self, allowed_regions):
        self.bench = offload_bench.OffloadBench(allowed_regions=allowed_regions)
        await self.enterAsyncContext(self.bench)
        self.bench.other.router._location = dataclasses.replace(
            self.bench.other.router._location, data_centre=ids.DataCentre("b")
        )
        for bench in (self.bench.busy, self.bench.other):
            bench.directory.region_by_data_centre = REGIONS
        self.bench.exchange_reports()
        await asyncio.sleep(0.1)

    async def test_router_in_an_allowed_region_gets_requests(self):
        await self.start(frozenset({NORTH, SOUTH}))
        self.assertEqual(200, (await self.bench.busy.ask())[0])
        self.assertEqual(1, self.bench.count_served_by(self.bench.other))

    async def test_router_in_another_region_gets_none(self):
        await self.start(frozenset({NORTH}))
        self.assertEqual(200, (await self.bench.busy.ask())[0])
        self.assertEqual(1, self.bench.count_served_by(self.bench.busy))
