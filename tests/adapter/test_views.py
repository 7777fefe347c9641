"""What routers conclude from the servers' entries about cold starts."""

import json
import time
import unittest

from adapter import views

from teaselsill import cold_start, directory, keyed_log
from tests import test_routing_table
from tests.adapter import test_servers

POLICY = cold_start.Policy(duration_s=3.0, per_s=13.0)
KEY = "i-1"


class ColdServersTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.directory = directory.Directory()
        self.directory.service_by_name = {
            "huvo11a": test_routing_table.make_service("huvo11a", cold_start=POLICY)
        }
        self.view = views.ServersView(self.directory, 2.0, lambda: None)
        self.reported = []
        self.directory.cold_states.on_change = self.reported.append

    def put(self, age_s=0.0, born_ago_s=600.0, is_recent=True, **fields):
        born_ms = int(1000 * (time.time() - born_ago_s))
        entry = test_servers.ENTRY | {"born": born_ms} | fields
        value = json.dumps(entry).encode()
        record = keyed_log.KeyedRecord(KEY, value, age_s, is_recent)
        return self.view.put(record)

    def use(self):
        """Chooses an upstream, as for a request."""
        service = self.directory.service_by_name["huvo11a"]
        return self.directory.candidates(service, set())

    @property
    def state(self):
        return self.directory.find(KEY).cold

    @property
    def left_s(self):
        now = self.view._now()
        return self.state.statement.until - now if self.state.is_cold(now) else 0.0

    async def test_entry_says_how_long_a_server_stays_cold(self):
        """It was decoded and dropped."""
        self.put(ColdLeftMs=2500)
        self.assertAlmostEqual(2.5, self.left_s, delta=0.2)
        self.assertEqual([KEY], self.reported)

    async def test_entry_that_may_be_old_does_not_end_what_is_known(self):
        """After an outage of the store, it may say what held before."""
        born_ms = 1784002132479
        self.put(ColdLeftMs=2500, born=born_ms)
        self.put(ColdLeftMs=0, born=born_ms, is_recent=False)
        self.assertAlmostEqual(2.5, self.left_s, delta=0.2)

    async def test_entry_of_a_restored_listing_says_that_a_server_is_cold(self):
        entry = test_servers.ENTRY | {"ColdLeftMs": 2500}
        self.view.restore([keyed_log.KeyedRecord(KEY, json.dumps(entry).encode())])
        self.assertAlmostEqual(2.5, self.left_s, delta=0.2)

    async def test_age_of_a_reading_that_was_passed_on_counts(self):
        self.put(age_s=1.0, ColdLeftMs=2500)
        self.assertAlmostEqual(1.5, self.left_s, delta=0.2)
        self.assertEqual([], self.reported)

    async def test_entry_ends_what_an_earlier_one_said(self):
        born_ms = 1784002132479
        self.put(ColdLeftMs=2500, born=born_ms)
        self.put(ColdLeftMs=0, born=born_ms)
        self.assertEqual(0.0, self.left_s)

    async def test_server_that_turns_cold_again(self):
        born_ms = 1784002132479
        self.put(born=born_ms)
        self.assertEqual(0.0, self.left_s)
        self.put(ColdLeftMs=3000, born=born_ms)
        self.assertAlmostEqual(3.0, self.left_s, delta=0.2)

    async def test_server_that_starts_during_traffic_is_cold_whatever_it_says(self):
        self.use()
        self.put(born_ago_s=0.5)
        self.assertAlmostEqual(2.5, self.left_s, delta=0.2)
        self.assertEqual([KEY], self.reported)

    async def test_server_that_starts_with_the_fleet_is_cold_only_if_it_says_so(self):
        self.put(born_ago_s=0.5)
        self.assertEqual(0.0, self.left_s)

    async def test_servers_of_the_first_listing_are_cold_only_if_they_say_so(self):
        """They were there before the router."""
        self.use()
        self.put(age_s=None, born_ago_s=0.5)
        self.assertEqual(0.0, self.left_s)
        self.put(age_s=None, born_ago_s=0.5, ColdLeftMs=2000)
        self.assertAlmostEqual(2.0, self.left_s, delta=0.2)

    async def test_service_without_a_cold_start_is_as_before(self):
        self.directory.service_by_name = {
            name: test_routing_table.make_service(name)
            for name in self.directory.service_by_name
        }
        self.put(born_ago_s=0.5, ColdLeftMs=2000)
        self.assertIsNone(self.directory.find(KEY).find_limit(self.view._now()))
        self.assertEqual([], self.reported)

    async def test_servers_are_cold_when_their_data_centre_is_taken_back(self):
        self.put()
        ended_at = self.view._now()
        evacuations = self.directory.evacuations
        evacuations.begin("chaguanas", ended_at - 5.0)
        evacuations.end("chaguanas", ended_at)
        self.use()
        self.assertAlmostEqual(3.0, self.left_s, delta=0.2)
