import asyncio
import unittest

from teaselsill import counters, document, meter, policies, slots

DOCUMENT = document.Document(
    client_accounts=[document.ClientAccount(id="schools", share=2, services=[])],
    services=[],
)


class MeterTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.service_counters = counters.Counters(1000)
        self.service_counters.reserve("schools", 50.0)
        offer = slots.Offer(1, "schools", self, expected_cost=50.0, expires_at=0.0)
        policy = policies.LeastService()
        self.meter = meter.Meter(self.service_counters, policy, offer, DOCUMENT)

    def test_cost_replaces_the_reservation_step_by_step(self):
        self.meter.add(40.0)
        self.assertEqual(50.0, self.service_counters.estimate("schools"))
        self.meter.add(160.0)
        self.assertEqual(100.0, self.service_counters.estimate("schools"))
        self.meter.close()
        self.assertEqual(100.0, self.service_counters.estimate("schools"))

    async def test_busy_time_is_charged_while_it_passes(self):
        with meter.charge_busy_time(self.meter):
            await asyncio.sleep(2.5 * meter.TICK_S)
            self.assertGreaterEqual(self.meter.cost, meter.TICK_S * meter.MS_PER_S)
        self.assertGreaterEqual(self.meter.cost, 2.5 * meter.TICK_S * meter.MS_PER_S)
