import collections
import random
import unittest

from teaselsill import ids, offload
from tests import test_fleet_view

make_status = test_fleet_view.make_status


def make_status_by_router(*statuses):
    return {ids.InstanceId(f"r{n}"): status for n, status in enumerate(statuses)}


class ChooseTest(unittest.TestCase):
    """One router gets a flood of connections while the others have little load."""

    def test_router_of_the_same_data_centre_is_preferred(self):
        others = make_status_by_router(
            make_status("a", 300.0), make_status("a", 80.0), make_status("b", 0.0)
        )
        self.assertEqual("r1", offload.choose_router(make_status("a", 400.0), others))

    def test_another_data_centre_if_no_local_router_is_eligible(self):
        others = make_status_by_router(
            make_status("a", 300.0),
            make_status("a", 10.0, takes_connections=False),
            make_status("b", 100.0),
        )
        self.assertEqual("r2", offload.choose_router(make_status("a", 400.0), others))

    def test_none_if_all_routers_have_similar_load(self):
        others = make_status_by_router(make_status("a", 300.0), make_status("b", 250.0))
        self.assertIsNone(offload.choose_router(make_status("a", 400.0), others))

    def test_router_with_an_older_configuration_is_not_chosen(self):
        """Such a router rejected a route that the caller had already used."""
        others = make_status_by_router(
            make_status(load=0.0, version=9), make_status(load=80.0)
        )
        own = make_status(load=400.0, version=10)
        self.assertIsNone(offload.choose_router(own, others))
        others = make_status_by_router(
            make_status(load=0.0, version=9), make_status(load=80.0, version=10)
        )
        self.assertEqual("r1", offload.choose_router(own, others))

    def test_routers_with_the_same_reports_choose_different_routers(self):
        """Flooded routers choose by reports that are a third of a second old."""
        random.seed(1)
        others = make_status_by_router(*(make_status(load=load) for load in range(12)))
        chosen = [
            offload.choose_router(make_status(load=400.0), others) for _ in range(600)
        ]
        counts = collections.Counter(chosen)
        self.assertLess(max(counts.values()), 0.25 * len(chosen))
        self.assertGreater(counts["r0"], counts["r8"])

    def test_flood_is_spread_until_the_loads_are_similar(self):
        """Replays a flood at a slow router beside another slow one and a fast one."""
        cores_by_router = {"slow": 0.4, "fast": 2.0}
        count_by_router = dict.fromkeys(cores_by_router, 0)
        own = 200
        for _ in range(600):
            others = {
                ids.InstanceId(name): make_status(load=count / cores_by_router[name])
                for name, count in count_by_router.items()
            }
            router = offload.choose_router(make_status(load=own / 0.4), others)
            if router is None:
                own += 1
            else:
                count_by_router[router] += 1
        self.assertGreater(count_by_router["fast"], 4 * count_by_router["slow"])
        self.assertGreater(count_by_router["slow"], 50)
