import unittest

from teaselsill import ids, routing_table


def make_route(name="r", host="a.example", prefix="/x/", targets=None, **fields):
    defaults = {
        "repeat": routing_table.Repeat.NEVER,
        "is_stream": False,
        "timeout_s": 1.0,
        "objective_s": 0.2,
        "pause_s": 0.0,
        "max_upstreams": 1,
        "priority": 0,
        "is_public": False,
    }
    targets = targets or [routing_table.Target(ids.ServiceName("s"), 1.0)]
    return routing_table.Route(
        name=name,
        host=host,
        path_prefix=prefix,
        targets=tuple(targets),
        **(defaults | fields),
    )


def make_service(name="s", engine=None, **fields):
    return routing_table.Service(ids.ServiceName(name), "/health", 10, engine, **fields)


def make_table(routes, version=1, keys=None, services=None):
    return routing_table.RoutingTable(
        ids.Version(version),
        routes,
        services or [make_service()],
        keys,
        routing_table.Limits(),
    )


class RoutingTableTest(unittest.TestCase):
    def test_longest_prefix_wins(self):
        table = make_table([make_route("short"), make_route("long", prefix="/x/y/")])
        self.assertEqual("long", table.find_route("a.example", "/x/y/1").name)
        self.assertEqual("short", table.find_route("A.example:80", "/x/z").name)

    def test_no_matching_route(self):
        table = make_table([make_route()])
        self.assertIsNone(table.find_route("a.example", "/y/"))
        self.assertIsNone(table.find_route("b.example", "/x/"))
        self.assertIsNone(table.find_route("", "/x/"))

    def test_service_depends_on_the_weights_and_the_request_id(self):
        targets = [
            routing_table.Target(ids.ServiceName("most"), 90),
            routing_table.Target(ids.ServiceName("few"), 10),
        ]
        route = make_route(targets=targets)
        chosen = [route.choose_service(str(n)) for n in range(2000)]
        self.assertEqual(chosen, [route.choose_service(str(n)) for n in range(2000)])
        self.assertTrue(120 < chosen.count("few") < 280)
