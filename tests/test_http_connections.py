import unittest

from teaselsill import http_connections

Stage = http_connections.Stage


class ConnectionsTest(unittest.TestCase):
    def setUp(self):
        self.connections = http_connections.Connections(16)

    def fill(self, stages):
        for number, stage in enumerate(stages):
            self.assertIsNone(self.connections.add(number, float(number)))
            self.connections.move(number, stage, float(number))

    def test_those_without_a_head_go_first_then_idle_ones_then_unfinished_ones(self):
        self.fill([Stage.BUSY] * 10 + [Stage.BODY, Stage.IDLE, Stage.IDLE, Stage.BODY])
        self.fill_to_limit()
        closed = []
        for number in range(100, 107):
            connection = self.connections.add(number, 20.0)
            closed.append(connection)
            self.connections.move(number, Stage.BUSY, 20.0)
        self.assertEqual([14, 15, 11, 12, 10, 13, 106], closed)

    def fill_to_limit(self):
        for number in (14, 15):
            self.connections.add(number, 14.0)

    def test_request_that_has_arrived_is_never_closed(self):
        self.fill([Stage.BUSY] * 16)
        self.assertEqual("new", self.connections.add("new", 20.0))

    def test_account_with_the_most_gets_no_further_request_in(self):
        self.fill([Stage.BUSY] * 16)
        admitted = [self.connections.admit(n, "flood") for n in range(16)]
        self.assertEqual([True] * 14 + [False] * 2, admitted)
        self.assertTrue(self.connections.admit(15, "other"))

    def test_account_alone_is_admitted_below_the_reserve(self):
        self.fill([Stage.BUSY] * 14)
        self.assertTrue(all(self.connections.admit(n, "only") for n in range(14)))

    def test_silent_connections_do_not_count_against_an_account(self):
        self.fill([Stage.NEW] * 14 + [Stage.BUSY] * 2)
        self.assertTrue(self.connections.admit(14, "a"))
        self.assertTrue(self.connections.admit(15, "a"))

    def test_idle_connection_no_longer_counts_for_its_account(self):
        self.fill([Stage.BUSY] * 16)
        for number in range(14):
            self.connections.admit(number, "a")
        self.connections.move(0, Stage.IDLE, 21.0)
        self.assertTrue(self.connections.admit(14, "a"))

    def test_expired_connections(self):
        self.fill([Stage.NEW, Stage.IDLE, Stage.BODY, Stage.BUSY, Stage.NEW])
        self.connections.set_unread(3, True, 3.0)
        self.assertEqual([], self.connections.find_expired(29.0))
        self.assertEqual([0, 1], self.connections.find_expired(31.0))
        self.assertEqual([0, 4, 1, 2], self.connections.find_expired(62.0))
        self.assertEqual([0, 4, 1, 2, 3], self.connections.find_expired(303.0))
        self.connections.set_unread(3, False, 303.0)
        self.assertEqual([0, 4, 1, 2], self.connections.find_expired(9999.0))

    def test_flood_of_silent_connections_closes_no_other(self):
        self.fill([Stage.BUSY, Stage.IDLE, Stage.BODY])
        for number in range(100, 10_000):
            closed = self.connections.add(number, float(number))
            if closed is not None:
                self.assertGreaterEqual(closed, 100)
        self.assertEqual(16, len(self.connections))
