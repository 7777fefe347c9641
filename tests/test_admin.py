import json
import unittest

from teaselsill import admin, ids, instances, metrics, reports
from tests import asgi


class AppTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.is_ready = True
        self.sink = metrics.Metrics()
        self.report = reports.NodeReport(
            instance="a1",
            role=instances.Role.AGENT,
            incarnation="x",
            data_centre="oslo-a",
            version=ids.Version(7),
            uptime_s=5.0,
            slots=reports.Slots(busy=1, total=8, busy_s=2.5),
        )
        source = admin.StatusSource(
            is_ready=lambda: self.is_ready,
            version=lambda: ids.Version(7),
            report=lambda: self.report,
            totals=self.sink.get_totals,
        )
        self.app = admin.create_app(source)

    async def get(self, path):
        status, body = await asgi.call(self.app, path)
        return status, json.loads(body)

    async def test_every_page_returns_its_value(self):
        self.sink.count(metrics.Metric.GRANTS, 2)
        self.assertEqual(await self.get("/live"), (200, {"status": "live"}))
        self.assertEqual(await self.get("/ready"), (200, {"status": "ready"}))
        self.assertEqual(await self.get("/version"), (200, {"version": 7}))
        status, counts = await self.get("/counts")
        self.assertEqual((status, counts["count_by_name"]), (200, {"grants": 2}))
        status, report = await self.get("/report")
        self.assertEqual((status, report["role"]), (200, "agent"))
        self.assertEqual(report["slots"], {"busy": 1, "total": 8, "busy_s": 2.5})

    async def test_process_that_is_not_ready_is_still_live(self):
        self.is_ready = False
        self.assertEqual(await self.get("/ready"), (503, {"status": "not ready"}))
        self.assertEqual((await self.get("/live"))[0], 200)
