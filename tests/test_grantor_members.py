import unittest

import msgspec

from teaselsill import grantor_members, ids, loop_lag, peer_liveness
from tests import test_peer_links

OWN = ids.InstanceId("own")
NOW = 100.0


class DescribeTest(unittest.TestCase):
    def setUp(self):
        self.lag = loop_lag.LoopLag()
        self.liveness = peer_liveness.PeerLiveness(self.lag)

    def hear(self, name, uptime_s=60, permit_port=1, now=NOW):
        report = test_peer_links.make_report(name, uptime_s)
        self.liveness.note_report(
            msgspec.structs.replace(
                report,
                status=self.make_status(uptime_s, permit_port),
                interval_s=0.5,
            ),
            now,
        )

    def make_status(self, uptime_s=60, permit_port=1):
        return msgspec.structs.replace(
            test_peer_links.STATUS, uptime_s=uptime_s, permit_port=permit_port
        )

    def describe(self, uptime_s=60, listed=0, now=NOW):
        return grantor_members.describe(
            OWN, self.make_status(uptime_s), self.liveness, self.lag, listed, now
        )

    def test_router_alone_grants(self):
        members = self.describe()
        self.assertEqual({OWN}, members.grantors)
        self.assertEqual(1.0, members.reachable_ratio)

    def test_router_that_stops_or_has_just_started_does_not_grant(self):
        self.hear("old")
        self.hear("stopping", permit_port=0)
        self.hear("new", uptime_s=1)
        self.assertEqual({OWN, "old"}, self.describe().grantors)

    def test_routers_that_have_started_together_all_grant(self):
        self.hear("first", uptime_s=6)
        self.hear("second", uptime_s=4)
        members = self.describe(uptime_s=5)
        self.assertEqual({OWN, "first", "second"}, members.grantors)

    def test_routers_that_have_fallen_silent_count_until_they_must_be_gone(self):
        self.hear("a")
        self.hear("b")
        silent_at = NOW + 3.0
        self.assertAlmostEqual(1 / 3, self.describe(now=silent_at).reachable_ratio)
        gone_at = silent_at + peer_liveness.LOST_S
        self.assertEqual(1.0, self.describe(now=gone_at).reachable_ratio)

    def test_router_that_has_stopped_is_not_missed(self):
        self.hear("a", permit_port=0)
        self.assertEqual(1.0, self.describe(now=NOW + 3.0).reachable_ratio)

    def test_listed_routers_that_were_never_heard_may_be_sending(self):
        self.assertEqual(0.25, self.describe(uptime_s=2, listed=4).reachable_ratio)
        self.assertEqual(1.0, self.describe(uptime_s=60, listed=4).reachable_ratio)
