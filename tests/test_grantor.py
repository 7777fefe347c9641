import unittest

from teaselsill import announcements, grantor, ids, permit_queue, upstream_list

OWN, OTHER = ids.InstanceId("own"), ids.InstanceId("other")
HANDOVER_S = 0.6
LONG_KNOWN = announcements.Limit(10.0, since=0.0)
NOW = 100.0


class GrantorTest(unittest.TestCase):
    def setUp(self):
        self.members = self.make_members()
        self.limit = LONG_KNOWN
        self.grantor = grantor.Grantor(
            OWN, lambda now: self.members, lambda key: self.limit
        )
        self.key = self.find_key(OWN)

    def make_members(self, grantors=(OWN, OTHER), **fields):
        defaults = {
            "reachable_ratio": 1.0,
            "handover_s": HANDOVER_S,
            "uninterrupted_s": 1000.0,
        }
        return grantor.Members(grantors=frozenset(grantors), **(defaults | fields))

    def find_key(self, router):
        """Returns an upstream that a router is responsible for."""
        chooser = self.make_grantor(OWN, self.make_members())
        keys = map(self.make_key, range(99))
        return next(k for k in keys if chooser.find_grantor(k, NOW) == router)

    def make_key(self, number):
        return upstream_list.UpstreamKey(ids.UpstreamId(f"u{number}"), 1)

    def make_grantor(self, router, members):
        return grantor.Grantor(router, lambda now: members, lambda key: self.limit)

    def ask(self, now, key=None):
        waiter = permit_queue.Waiter(None, now, now + 0.2)
        return self.grantor.ask(key or self.key, waiter, now)

    def count_granted(self, since, until, step_s=0.05):
        """Returns how many requests get a permit if one asks all the time."""
        steps = int((until - since) / step_s)
        return sum(
            isinstance(decision, permit_queue.Granted)
            for step in range(steps)
            for decision in self.ask(since + step * step_s)
        )

    def test_one_router_is_responsible_for_an_upstream(self):
        (denied,) = self.ask(NOW, key=self.find_key(OTHER))
        self.assertEqual(grantor.NOT_RESPONSIBLE_WAIT_S, denied.wait_s)

    def test_all_routers_choose_the_same_router(self):
        names = [ids.InstanceId(f"r{n}") for n in range(30)]
        members = self.make_members(names)
        chosen = {
            self.make_grantor(name, members).find_grantor(self.key, NOW)
            for name in names
        }
        self.assertEqual(1, len(chosen))

    def test_new_grantor_waits_until_permits_of_its_predecessor_have_run_out(self):
        self.assertEqual(0, self.count_granted(NOW, NOW + HANDOVER_S))
        self.assertGreater(self.count_granted(NOW + 1.0, NOW + 2.0), 8)

    def test_nobody_can_have_granted_permits_before_the_limit_was_known(self):
        self.limit = announcements.Limit(10.0, since=NOW - 0.1)
        self.ask(NOW)
        (granted,) = self.ask(NOW + 0.11)
        self.assertIsInstance(granted, permit_queue.Granted)

    def test_strict_limit_is_not_shared_out_without_half_of_the_routers(self):
        self.limit = announcements.Limit(10.0, since=0.0, is_strict=True)
        self.grantor.watch(NOW - 1.0)
        self.assertGreater(self.count_granted(NOW, NOW + 1.0), 8)
        self.members = self.make_members(reachable_ratio=0.49)
        self.assertEqual(0, self.count_granted(NOW + 1.1, NOW + 2.0))
        self.members = self.make_members(reachable_ratio=0.5)
        self.assertGreater(self.count_granted(NOW + 2.1, NOW + 3.1), 3)

    def test_strict_limit_is_shared_out_at_once_by_the_router_responsible_so_far(self):
        """The first request comes long after the limit was known."""
        self.limit = announcements.Limit(10.0, since=0.0, is_strict=True)
        self.grantor.watch(NOW - HANDOVER_S)
        self.assertGreaterEqual(self.count_granted(NOW, NOW + 0.5), 4)

    def test_strict_limit_waits_for_a_handover_after_a_change_of_the_routers(self):
        """Nobody may have known the limit before, but two may hold it theirs."""
        self.limit = announcements.Limit(10.0, since=NOW, is_strict=True)
        self.grantor.watch(NOW - 10.0)
        self.members = self.make_members([OWN, OTHER, ids.InstanceId("third")])
        self.key = next(
            key
            for key in map(self.make_key, range(99))
            if self.make_grantor(OWN, self.members).find_grantor(key, NOW) == OWN
        )
        self.assertEqual(0, self.count_granted(NOW, NOW + HANDOVER_S - 0.05))
        self.assertGreater(self.count_granted(NOW + 1.0, NOW + 2.0), 8)

    def test_requests_are_denied_when_another_router_becomes_responsible(self):
        self.ask(NOW)
        self.ask(NOW + HANDOVER_S + 0.01)
        self.members = self.make_members([OTHER])
        (denied,) = self.grantor.settle(NOW + HANDOVER_S + 0.2)
        self.assertIsInstance(denied, permit_queue.Denied)
        self.assertFalse(self.grantor.has_queues)

    def test_router_that_was_paused_starts_anew(self):
        self.count_granted(NOW, NOW + 2.0)
        woken = NOW + 5.0
        self.members = self.make_members(uninterrupted_s=0.01)
        self.assertEqual(0, self.count_granted(woken, woken + 0.04, 0.02))
        self.members = self.make_members(uninterrupted_s=0.5)
        self.assertEqual(0, self.count_granted(woken + 0.5, woken + HANDOVER_S))

    def test_part_of_the_limit_is_granted_while_routers_are_out_of_reach(self):
        self.members = self.make_members(reachable_ratio=0.5)
        self.count_granted(NOW, NOW + 2.0)
        granted = self.count_granted(NOW + 2.0, NOW + 6.0)
        self.assertAlmostEqual(0.5 * LONG_KNOWN.per_s * 4.0, granted, delta=2)

    def test_requests_that_wait_are_granted_when_the_limit_ends(self):
        self.ask(NOW)
        self.ask(NOW + HANDOVER_S + 0.01)
        self.limit = None
        (granted,) = self.grantor.settle(NOW + HANDOVER_S + 0.02)
        self.assertIsInstance(granted, permit_queue.Granted)
        self.assertFalse(self.grantor.has_queues)
        (granted,) = self.ask(NOW + 2.0)
        self.assertIsInstance(granted, permit_queue.Granted)

    def test_limit_that_falls_holds_for_requests_that_wait(self):
        self.count_granted(NOW, NOW + 2.0)
        self.limit = announcements.Limit(1.0, since=0.0)
        self.assertLessEqual(self.count_granted(NOW + 2.0, NOW + 6.0), 6)

    def test_nobody_is_responsible_without_routers_that_grant(self):
        self.members = self.make_members([])
        self.assertIsNone(self.grantor.find_grantor(self.key, NOW))
        (denied,) = self.ask(NOW)
        self.assertIsInstance(denied, permit_queue.Denied)
