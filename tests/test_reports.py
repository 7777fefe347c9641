import asyncio
import datetime
import json
import unittest
from unittest import mock

from aiohttp import test_utils, web
from msgspec import json as msgspec_json

from teaselsill import (
    configuration,
    document,
    http_instances,
    http_log,
    ids,
    instances,
    log,
    reports,
    service_levels,
)

TODAY = datetime.date(2026, 3, 1)
DAY_S = 24 * 60 * 60


def build_document(ratio=0.9, purchases=()):
    target = document.Target(within_s=2.0, ratio=ratio)
    return document.Document(
        client_accounts=[
            document.ClientAccount(id=name, share=2, services=["pool"])
            for name in ("north", "south")
        ],
        services=[document.Service(name="pool", kind="completions", target=target)],
        credits=purchases,
    )


def build_purchase(name, amount, days, upstreams=()):
    return document.Credits(
        id=name,
        service="pool",
        upstreams=list(upstreams),
        amount=amount,
        lapses=TODAY + datetime.timedelta(days=days),
    )


def build_node(instance, role=instances.Role.AGENT, **fields):
    return reports.NodeReport(
        instance=instance,
        role=role,
        incarnation="x",
        data_centre="oslo-a",
        version=ids.Version(3),
        uptime_s=fields.pop("uptime_s", 100.0),
        **fields,
    )


def build_agent(upstream, cost_per_day):
    return build_node(
        upstream,
        upstream=upstream,
        service="pool",
        served_cost=cost_per_day / 1000,
        uptime_s=DAY_S / 1000,
    )


def build_router(instance, good, total, short_good=None, account="north"):
    short = service_levels.Window(good if short_good is None else short_good, total)
    long = service_levels.Window(good, total)
    level = service_levels.ServiceLevel(account, "pool", short, long)
    return build_node(instance, instances.Role.ROUTER, levels=[level])


def make_collected(*nodes, missing=()):
    return reports.CollectedReports(list(nodes), list(missing))


class BurnTest(unittest.TestCase):
    def test_counts_of_all_routers_are_summed(self):
        nodes = [build_router("r1", 95, 100), build_router("r2", 35, 100)]
        (row,) = reports.build_burn_report(
            make_collected(*nodes), build_document()
        ).rows
        self.assertEqual((row.long.good, row.long.total), (130, 200))
        self.assertAlmostEqual(row.long_burn, 3.5)
        self.assertAlmostEqual(row.short_burn, 3.5)

    def test_alarm_needs_both_windows_and_enough_requests(self):
        cases = [
            ((0, 100, 100, 0.99), "none"),
            ((98, 100, 98, 0.99), "warning"),
            ((93, 100, 93, 0.99), "alarm"),
            ((93, 100, 99, 0.99), "none"),
            ((50, 100, 50, 0.6), "alarm"),
            ((0, 9, 0, 0.99), "none"),
        ]
        for (good, total, short_good, ratio), alarm in cases:
            with self.subTest(good=good, short_good=short_good, ratio=ratio):
                node = build_router("r1", good, total, short_good)
                (row,) = reports.build_burn_report(
                    make_collected(node), build_document(ratio)
                ).rows
                self.assertEqual(row.alarm.value, alarm)


class FairnessTest(unittest.TestCase):
    def build_serving_agent(self, instance, **normalised_by_account):
        served = [
            reports.AccountCounters("pool", account, abs(value), value > 0)
            for account, value in normalised_by_account.items()
        ]
        return build_node(instance, service="pool", served=served)

    def test_gap_is_the_largest_difference_at_one_agent(self):
        nodes = [
            self.build_serving_agent("a1", north=100, south=160),
            self.build_serving_agent("a2", north=900),
            self.build_serving_agent("a3", south=170, north=120),
        ]
        (row,) = reports.build_fairness_report(
            make_collected(*nodes), build_document()
        ).rows
        self.assertEqual((row.gap, row.widest), (60, "a1"))
        seen = [(item.account, item.normalised, item.agents) for item in row.accounts]
        self.assertEqual(seen, [("south", 170, 2), ("north", 900, 3)])

    def test_accounts_without_backlog_are_left_out(self):
        node = self.build_serving_agent("a1", north=100, south=-900)
        (row,) = reports.build_fairness_report(
            make_collected(node), build_document()
        ).rows
        self.assertEqual((row.gap, len(row.accounts)), (0, 1))


class CreditsTest(unittest.TestCase):
    def forecast(self, purchases, *agents):
        published = build_document(purchases=purchases)
        rows = reports.build_credits_report(
            make_collected(*agents), published, TODAY
        ).rows
        return {row.id: round(row.unspent) for row in rows}

    def test_credits_beyond_the_current_rate_lapse(self):
        self.assertEqual(
            self.forecast([build_purchase("p", 1000, days=4)], build_agent("u1", 100)),
            {"p": 500},
        )

    def test_purchase_that_lapses_soonest_is_spent_first(self):
        purchases = [
            build_purchase("late", 1000, days=9),
            build_purchase("soon", 200, days=4),
        ]
        self.assertEqual(
            self.forecast(purchases, build_agent("u1", 100)), {"soon": 0, "late": 200}
        )

    def test_purchase_is_spent_only_by_its_own_upstreams(self):
        purchases = [build_purchase("p", 1000, days=4, upstreams=["u2"])]
        agents = [build_agent("u1", 100), build_agent("u2", 10)]
        self.assertEqual(self.forecast(purchases, *agents), {"p": 950})

    def test_lapsed_purchase_stays_unspent(self):
        purchases = [build_purchase("p", 1000, days=-1)]
        self.assertEqual(self.forecast(purchases, build_agent("u1", 9e9)), {"p": 1000})


class RenderTest(unittest.TestCase):
    def test_partial_data_is_marked_as_partial(self):
        missing = [reports.MissingReport("r9", "refused")]
        purchases = [build_purchase("p", 1000, days=4)]
        collected = make_collected(build_router("r1", 9, 10), missing=missing)
        for name in reports.ReportName:
            report = reports.build_report(
                name, collected, build_document(0.9, purchases), TODAY
            )
            with self.subTest(name=name):
                self.assertIn("PARTIAL: 1 live", reports.render_table(report))
                plain = json.loads(reports.render_json(report))
                self.assertEqual(
                    plain["missing"], [{"instance": "r9", "reason": "refused"}]
                )
                self.assertEqual(len(plain["rows"]), 1)

    def test_table_has_a_line_for_each_row(self):
        report = reports.build_burn_report(
            make_collected(build_router("r1", 9, 10)), build_document()
        )
        header, line = reports.render_table(report).splitlines()
        self.assertTrue(header.startswith("client account  service  target"))
        self.assertEqual(
            line.split(),
            ["north", "pool", "90.00%", "9/10", "1.0", "9/10", "1.0", "none"],
        )


class CollectTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, handler):
        app = web.Application()
        app.router.add_get("/report", handler)
        server = test_utils.TestServer(app)
        await server.start_server()
        self.addAsyncCleanup(server.close)
        return server.port

    def instance(self, name, port, state=instances.InstanceState.LIVE):
        return instances.Instance(
            name,
            instances.Role.ROUTER,
            "oslo-a",
            "127.0.0.1",
            admin_port=port,
            state=state,
        )

    async def test_instances_without_a_valid_report_are_listed(self):
        node = build_router("r1", 9, 10)

        async def send_report(request):
            return web.Response(body=msgspec_json.encode(node))

        async def send_malformed(request):
            return web.Response(body=b'{"instance": 3}')

        async def fail(request):
            return web.Response(status=500)

        async def hang(request):
            await asyncio.sleep(1)
            return web.Response()

        handlers = {"r1": send_report, "r2": send_malformed, "r3": fail, "r4": hang}
        listed = [
            self.instance(name, await self.start(handler))
            for name, handler in handlers.items()
        ]
        listed.append(self.instance("r5", 1))
        listed.append(self.instance("r6", 1, instances.InstanceState.LEAVING))
        result = await reports.collect(listed, timeout_s=0.3)
        self.assertEqual(result.nodes, [node])
        self.assertEqual(
            [item.instance for item in result.missing], ["r2", "r3", "r4", "r5"]
        )
        self.assertTrue(all(item.reason for item in result.missing))


class RunTest(unittest.IsolatedAsyncioTestCase):
    async def run_report(self, name, service, as_json=False):
        listed = instances.MemoryInstanceList()
        with (
            mock.patch.object(http_log, "HttpLog", return_value=service),
            mock.patch.object(http_instances, "HttpInstanceList", return_value=listed),
        ):
            return await reports.collect_and_render(
                name, "http://i", "http://l", as_json
            )

    async def test_report_follows_the_published_configuration(self):
        service = log.MemoryLog()
        text = build_document().model_dump_json().encode()
        await configuration.publish(service, text, ids.NO_VERSION, "anna")
        plain = json.loads(await self.run_report("fairness", service, as_json=True))
        self.assertEqual([row["service"] for row in plain["rows"]], ["pool"])
        self.assertEqual(plain["missing"], [])

    async def test_unknown_report_and_missing_configuration_raise(self):
        with self.assertRaisesRegex(reports.UnknownReportError, "burn, fairness"):
            await self.run_report("speed", log.MemoryLog())
        with self.assertRaises(reports.NoConfigurationError):
            await self.run_report("burn", log.MemoryLog())
