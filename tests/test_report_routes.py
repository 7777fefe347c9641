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
        """Returns how often each router gets a report of the sender."""
        routes = routes_by_id[sender]
        received = collections.Counter(routes.list_local())
        for contact, *_ in routes.list_contacts(find_penalty):
            received[contact] += 1
            received.update(routes_by_id[contact].list_local())
        return received

    def test_every_router_gets_a_report_once(self):
        routes_by_id = {make_peer(n).id: make_routes(n) for n in range(ROUTERS)}
        for sender in routes_by_id:
            received = self.spread(sender, routes_by_id)
            self.assertEqual(routes_by_id.keys() - {sender}, received.keys())
            self.assertEqual({1}, set(received.values()))

    def test_reports_between_data_centres_do_not_grow_with_the_routers(self):
        for routers in (8, 68, 300):
            contacts = make_routes(0, routers).list_contacts(find_no_penalty)
            self.assertEqual(DATA_CENTRES - 1, len(contacts))

    def test_forwarding_is_spread(self):
        forwarded = collections.Counter()
        for number in range(ROUTERS):
            for first, *_ in make_routes(number).list_contacts(find_no_penalty):
                forwarded[first] += 1
        mean = ROUTERS * (DATA_CENTRES - 1) / ROUTERS
        self.assertLess(max(forwarded.values()), 3 * mean)

    def test_contact_with_a_penalty_is_the_last_choice(self):
        routes = make_routes(0)
        firsts = [contacts[0] for contacts in routes.list_contacts(find_no_penalty)]
        others = routes.list_contacts(lambda peer: int(peer in firsts))
        self.assertFalse({contacts[0] for contacts in others} & set(firsts))
        everybody = routes.list_contacts(lambda peer: 1)
        self.assertEqual(firsts, [contacts[0] for contacts in everybody])

    def test_router_that_has_left_or_moved(self):
        routes = make_routes(0)
        (local, *_) = routes.list_local()
        routes.remove(local)
        self.assertNotIn(local, routes.list_local())
        routes.put(report_routes.Peer(local, ids.DataCentre("dc-1"), "127.0.0.1", 1))
        self.assertNotIn(local, routes.list_local())
        self.assertIn(local, routes.peer_by_id)
