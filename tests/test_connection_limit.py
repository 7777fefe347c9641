import unittest

from teaselsill import connection_limit

Use = connection_limit.Use


class FakeMember(connection_limit.Member):
    def __init__(self, use, since):
        self.current = use
        self.since = since
        self.is_closed = False

    @property
    def use(self):
        return self.current

    @property
    def used_since(self):
        return self.since

    def close_for_limit(self):
        self.is_closed = True


class ConnectionLimitTest(unittest.TestCase):
    def make(self, *uses, limit=4):
        self.closed = []
        current = connection_limit.ConnectionLimit(limit, lambda: self.closed.append(1))
        self.members = [FakeMember(use, n) for n, use in enumerate(uses)]
        current.count = len(uses)
        for each in self.members:
            current.add(each)
        return current

    def check_closed(self, *expected):
        found = [n for n, each in enumerate(self.members) if each.is_closed]
        self.assertEqual(list(expected), found)

    def test_nothing_is_closed_below_the_limit(self):
        self.assertTrue(self.make(Use.IDLE, Use.NO_HEAD_YET).make_room())
        self.check_closed()

    def test_one_without_a_head_goes_before_idle_ones(self):
        limit = self.make(Use.IDLE, Use.IDLE, Use.NO_HEAD_YET, Use.NO_HEAD_YET)
        self.assertTrue(limit.make_room())
        self.check_closed(2)

    def test_longest_idle_one_goes_first(self):
        limit = self.make(Use.RECEIVING, Use.IDLE, Use.IDLE, Use.SERVING)
        self.assertTrue(limit.make_room())
        self.check_closed(1)

    def test_request_that_arrives_goes_last(self):
        limit = self.make(Use.SERVING, Use.RECEIVING, Use.RECEIVING, Use.SERVING)
        self.assertTrue(limit.make_room())
        self.check_closed(1)

    def test_no_served_request_is_given_up(self):
        limit = self.make(*[Use.SERVING] * 4)
        self.assertFalse(limit.make_room())
        self.check_closed()
        self.assertEqual([1], self.closed)

    def test_connections_to_upstreams_count(self):
        limit = self.make(Use.SERVING, Use.IDLE)
        limit.count += 2
        self.assertTrue(limit.make_room())
        self.check_closed(1)

    def test_idle_connection_to_an_upstream_goes_before_all(self):
        limit = self.make(*[Use.NO_HEAD_YET] * 4)
        limit.release_idle = lambda: True
        self.assertTrue(limit.make_room())
        self.check_closed()

    def test_replay_of_silent_connections_beside_callers(self):
        """A flood of silent connections takes no place of a caller's request."""
        limit = self.make(Use.SERVING, Use.IDLE, limit=50)
        for second in range(2, 500):
            self.assertTrue(limit.make_room())
            silent = FakeMember(Use.NO_HEAD_YET, second)
            limit.add(silent)
            self.members.append(silent)
            limit.count = sum(not each.is_closed for each in self.members)
            self.assertLessEqual(limit.count, 50)
        self.assertFalse(any(each.is_closed for each in self.members[:2]))

    def test_unread_rest_of_a_closed_connection_stays_for_a_while(self):
        limit = self.make(Use.SENDING_REST, Use.SERVING)
        limit.drop_unread(connection_limit.LINGER_S)
        self.check_closed()
        limit.drop_unread(connection_limit.LINGER_S + 1.0)
        self.check_closed(0)
