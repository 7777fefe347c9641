import collections
import unittest

from teaselsill import ids, report_routes

DATA_CENTRES = 6
ROUTERS = 68


def make_peer(number, data_centres=DATA_CENTRES):
    name = f"router-{number}"
    data_centre = ids.DataCentre(f"dc-{number % data_centres}")
    return report_routes.Peer(ids.InstanceId(name), data_centre, "127.0.0.1", number)


def make_routes(number, routers=ROUTERS):
    own = make_peer(number)
    routes = report_routes.ReportRoutes(own.id, own.data_centre)
    for other in range(routers):
        if other != number:
            routes.put(make_peer(other))
    return routes


def find_no_penalty(peer):
    return 0


class ReportRoutesTest(unittest.TestCase):
    def spread(self, sender, routes_by_id, find_penalty=find_no_penalty):
        """Returns how often each router gets a report of one of them."""
        routes = routes_by_id[sender]
        heard = collections.Counter(routes.list_local())
        for contact, *_ in routes.list_contacts(find_penalty):
            heard[contact] += 1
            heard.update(routes_by_id[contact].list_local())
        return heard

    def test_every_router_gets_a_report_once(self):
        routes_by_id = {make_peer(n).id: make_routes(n) for n in range(ROUTERS)}
        for sender in routes_by_id:
            heard = self.spread(sender, routes_by_id)
            self.assertEqual(routes_by_id.keys() - {sender}, heard.keys())
            self.assertEqual({1}, set(heard.values()))

    def test_reports_across_data_centres_do_not_grow_with_the_routers(self):
        for routers in (8, 68, 300):
            contacts = make_routes(0, routers).list_contacts(find_no_penalty)
            self.assertEqual(DATA_CENTRES - 1, len(contacts))

    def test_passing_on_is_spread(self):
        passed_on = collections.Counter()
        for number in range(ROUTERS):
            for first, *_ in make_routes(number).list_contacts(find_no_penalty):
                passed_on[first] += 1
        mean = ROUTERS * (DATA_CENTRES - 1) / ROUTERS
        self.assertLess(max(passed_on.values()), 3 * mean)

    def test_doubtful_contact_is_the_last_choice(self):
        routes = make_routes(0)
        firsts = [contacts[0] for contacts in routes.list_contacts(find_no_penalty)]
        others = routes.list_contacts(lambda peer: int(peer in firsts))
        self.assertFalse({contacts[0] for contacts in others} & set(firsts))
        everybody = routes.list_contacts(lambda peer: 1)
        self.assertEqual(firsts, [contacts[0] for contacts in everybody])

    def test_router_that_has_left_or_moved(self):
        routes = make_routes(0)
        (near, *_) = routes.list_local()
        routes.remove(near)
        self.assertNotIn(near, routes.list_local())
        routes.put(report_routes.Peer(near, ids.DataCentre("dc-1"), "127.0.0.1", 1))
        self.assertNotIn(near, routes.list_local())
        self.assertIn(near, routes.peer_by_id)
