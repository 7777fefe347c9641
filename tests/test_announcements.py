import unittest

from teaselsill import announcements, ids


def name_limit(per_s):
    return announcements.Announcement(rate_limit=announcements.Limited(per_s))


NO_LIMIT = announcements.Announcement(rate_limit=announcements.Unlimited())


class AnnouncedStateTest(unittest.TestCase):
    def setUp(self):
        self.announced = announcements.AnnouncedState(ids.UpstreamId("u"))

    def test_pause_lasts_until_its_latest_end(self):
        pause = announcements.Announcement(pause_s=2.0)
        self.announced.note(pause, sent_at=0.5, now=1.0)
        self.assertEqual(2.0, self.announced.find_pause_left_s(1.0))
        pause = announcements.Announcement(pause_s=0.1)
        self.announced.note(pause, sent_at=1.4, now=1.5)
        self.assertEqual(0.5, self.announced.find_pause_left_s(2.5))
        self.assertEqual(0.0, self.announced.find_pause_left_s(3.0))

    def test_limit_is_in_force_until_a_later_request_is_answered_without_one(self):
        self.assertTrue(self.announced.note(name_limit(5.0), sent_at=0.0, now=1.0))
        self.assertFalse(self.announced.note(name_limit(5.0), sent_at=0.5, now=2.0))
        self.assertFalse(self.announced.note(NO_LIMIT, sent_at=1.9, now=3.0))
        self.assertEqual(5.0, self.announced.limit_per_s)
        self.assertTrue(self.announced.note(NO_LIMIT, sent_at=2.1, now=3.1))
        self.assertIsNone(self.announced.limit_per_s)

    def test_limit_that_halves_rises_or_becomes_zero_is_reported(self):
        for per_s in (8.0, 4.0, 9.0, 0.0, 1.0):
            with self.subTest(per_s=per_s):
                self.assertTrue(self.announced.note(name_limit(per_s), 0.0, 1.0))
                self.assertEqual(per_s, self.announced.limit_per_s)

    def test_small_change_is_applied_but_not_reported(self):
        self.announced.note(name_limit(10.0), 0.0, 1.0)
        self.assertFalse(self.announced.note(name_limit(10.2), 1.0, 2.0))
        self.assertEqual(10.2, self.announced.limit_per_s)

    def test_unreadable_limit_and_a_response_of_unknown_origin_change_nothing(self):
        self.announced.note(name_limit(5.0), 0.0, 1.0)
        for rate_limit in (announcements.Unreadable("nan"), None):
            said = announcements.Announcement(rate_limit=rate_limit)
            self.assertFalse(self.announced.note(said, sent_at=2.0, now=3.0))
            self.assertEqual(5.0, self.announced.limit_per_s)

    def test_older_news_of_another_router_is_ignored(self):
        self.announced.note(name_limit(5.0), 0.0, 2.0)
        older = announcements.Sighting(9.0, sent_at=0.0, heard_at=1.0)
        router = ids.InstanceId("r")
        self.assertFalse(self.announced.note_sighting(older, told_by=router))
        self.assertEqual(5.0, self.announced.limit_per_s)
        ended = announcements.Sighting(None, sent_at=2.5, heard_at=2.6)
        self.assertTrue(self.announced.note_sighting(ended, told_by=router))
        self.assertIsNone(self.announced.limit_per_s)

    def test_limit_is_as_old_as_the_router_that_has_known_it_longest_says(self):
        """A router that grants permits must know that others may have done so."""
        router = ids.InstanceId("r")
        self.announced.note(name_limit(5.0), sent_at=9.0, now=10.0)
        self.assertEqual(10.0, self.announced.limit.since)
        for heard_at in (9.5, 11.0):
            told = announcements.Sighting(
                5.0, 9.0, heard_at, limited_since=heard_at - 8
            )
            self.announced.note_sighting(told, told_by=router)
        self.assertEqual(1.5, self.announced.limit.since)
