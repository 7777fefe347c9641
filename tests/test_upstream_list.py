import unittest

from teaselsill import ids, upstream_list


def make_upstream(name="u", born_ms=1, state=upstream_list.State.READY, **fields):
    defaults = {
        "service": ids.ServiceName("s"),
        "host": "127.0.0.1",
        "port": 1,
        "data_centre": ids.DataCentre("a"),
        "slots": 4,
    }
    return upstream_list.Upstream(
        id=ids.UpstreamId(name), born_ms=born_ms, state=state, **(defaults | fields)
    )


class UpstreamListTest(unittest.TestCase):
    def setUp(self):
        self.listed = upstream_list.UpstreamList()

    def usable(self):
        return [u.id for u in self.listed.usable(ids.ServiceName("s"))]

    def test_leaving_upstream_is_not_usable(self):
        self.listed.put(make_upstream())
        self.listed.put(make_upstream(state=upstream_list.State.LEAVING))
        self.assertEqual([], self.usable())

    def test_late_heartbeat_does_not_undo_leaving(self):
        self.listed.put(make_upstream(state=upstream_list.State.LEAVING))
        self.listed.put(make_upstream())
        self.assertEqual([], self.usable())

    def test_upstream_that_announced_to_leave_is_not_used_again(self):
        upstream = make_upstream()
        self.listed.put(upstream)
        self.listed.note_leaving(upstream)
        self.listed.put(upstream)
        self.assertEqual([], self.usable())

    def test_entry_counts_as_changed_after_the_same_news_in_a_response(self):
        """Other routers may have missed the response, so the entry is reported."""
        upstream = make_upstream()
        self.assertTrue(self.listed.put(upstream))
        self.assertFalse(self.listed.put(upstream))
        self.listed.note_leaving(upstream)
        leaving = make_upstream(state=upstream_list.State.LEAVING)
        self.assertTrue(self.listed.put(leaving))
        self.assertFalse(self.listed.put(leaving))

    def test_leaving_applies_to_one_incarnation_only(self):
        self.listed.put(make_upstream(born_ms=2))
        self.listed.note_leaving(make_upstream(born_ms=1))
        self.assertEqual(["u"], self.usable())

    def test_new_incarnation_with_the_same_id_is_used(self):
        self.listed.put(make_upstream(state=upstream_list.State.LEAVING))
        self.listed.put(make_upstream(born_ms=2))
        self.assertEqual(["u"], self.usable())

    def test_entry_of_an_earlier_incarnation_is_ignored(self):
        self.listed.put(make_upstream(born_ms=2))
        self.listed.put(make_upstream(state=upstream_list.State.LEAVING))
        self.assertEqual(["u"], self.usable())

    def test_upstream_of_a_removed_entry_is_dropped_at_once(self):
        self.listed.put(make_upstream())
        self.listed.remove(ids.UpstreamId("u"), 10.0)
        self.assertEqual([], self.usable())

    def test_entry_lost_in_an_outage_has_a_grace_period(self):
        self.listed.put(make_upstream("back"))
        self.listed.put(make_upstream("gone"))
        self.listed.note_outage(10.0)
        self.listed.keep_only(set(), 10.0)
        self.assertEqual(["back", "gone"], self.usable())
        self.listed.put(make_upstream("back"))
        self.listed.expire(10.0 + upstream_list.GRACE_AFTER_OUTAGE_S)
        self.assertEqual(["back"], self.usable())

    def restore(self, *upstreams, now=10.0):
        self.listed.note_outage(now)
        self.listed.keep_only({upstream.id for upstream in upstreams}, now)
        return any([self.listed.put_restored(each) for each in upstreams])

    def test_live_upstream_that_an_older_copy_lacks_has_a_grace_period(self):
        """Servers were dropped until they had written their entries again."""
        self.listed.put(make_upstream("old"))
        self.listed.put(make_upstream("back"))
        self.listed.put(make_upstream("gone"))
        self.restore(make_upstream("old"))
        self.assertEqual(["old", "back", "gone"], self.usable())
        self.listed.put(make_upstream("back"))
        self.listed.expire(10.0 + upstream_list.GRACE_AFTER_OUTAGE_S)
        self.assertEqual(["old", "back"], self.usable())

    def test_upstream_that_is_gone_does_not_come_back_by_an_older_copy(self):
        self.listed.put(make_upstream(born_ms=2))
        self.listed.remove(ids.UpstreamId("u"), 5.0)
        for born_ms in (1, 2):
            self.assertFalse(self.restore(make_upstream(born_ms=born_ms)))
        self.assertEqual([], self.usable())

    def test_upstream_that_was_thought_gone_comes_back_by_a_new_entry(self):
        self.listed.put(make_upstream())
        self.listed.remove(ids.UpstreamId("u"), 5.0)
        self.restore(make_upstream())
        self.assertTrue(self.listed.put(make_upstream()))
        self.assertEqual(["u"], self.usable())

    def test_new_incarnation_comes_back_by_a_copy(self):
        self.listed.put(make_upstream())
        self.listed.remove(ids.UpstreamId("u"), 5.0)
        self.assertTrue(self.restore(make_upstream(born_ms=2)))
        self.assertEqual(["u"], self.usable())

    def test_leaving_or_replaced_upstream_stays_so_after_a_restore(self):
        self.listed.put(make_upstream("leaving", state=upstream_list.State.LEAVING))
        self.listed.put(make_upstream("replaced", born_ms=1))
        self.listed.put(make_upstream("replaced", born_ms=2, slots=9))
        self.restore(make_upstream("leaving"), make_upstream("replaced"))
        (usable,) = self.listed.usable(ids.ServiceName("s"))
        self.assertEqual(("replaced", 2, 9), (usable.id, usable.born_ms, usable.slots))

    def test_gone_upstreams_are_forgotten_after_a_time(self):
        self.listed.put(make_upstream())
        self.listed.remove(ids.UpstreamId("u"), 5.0)
        self.listed.expire(5.0 + upstream_list.GONE_KEPT_S)
        self.assertEqual({}, self.listed._gone_by_id)
