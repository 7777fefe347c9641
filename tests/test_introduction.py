import unittest

from teaselsill import ids, introduction, peer_reports


def make_status(uptime_s):
    return peer_reports.RouterStatus(
        ids.DataCentre("a"), "h", 0, 0.0, False, False, uptime_s=uptime_s
    )


class IntroductionTest(unittest.TestCase):
    def setUp(self):
        self.heard = []
        self.listed = None
        self.introduction = introduction.Introduction(
            lambda: self.heard, lambda: self.listed
        )

    def is_over(self, now=0.0):
        return self.introduction.is_over(now)

    def test_list_of_routers_is_needed_unless_it_does_not_come(self):
        self.assertFalse(self.is_over(10.0))
        self.assertFalse(self.is_over(10.0 + introduction.MAX_WAIT_S))
        self.assertTrue(self.is_over(10.1 + introduction.MAX_WAIT_S))

    def test_only_router_goes_on_at_once(self):
        self.listed = 0
        self.assertTrue(self.is_over())

    def test_one_router_that_has_run_for_long_is_enough(self):
        self.listed = 9
        self.assertFalse(self.is_over())
        self.heard = [make_status(peer_reports.SETTLED_S)]
        self.assertTrue(self.is_over())

    def test_half_of_the_routers_are_enough_if_all_have_just_started(self):
        self.listed = 4
        self.heard = [make_status(0)]
        self.assertFalse(self.is_over())
        self.heard = [make_status(0), make_status(1)]
        self.assertTrue(self.is_over())

    def test_routers_that_are_out_of_reach_are_not_waited_for(self):
        self.listed = 4
        self.assertFalse(self.is_over(10.0))
        self.assertFalse(self.is_over(10.0 + introduction.MAX_WAIT_S))
        self.assertTrue(self.is_over(10.1 + introduction.MAX_WAIT_S))

    def test_it_is_over_for_good(self):
        self.listed = 0
        self.assertTrue(self.is_over())
        self.listed = 4
        self.assertTrue(self.is_over())
