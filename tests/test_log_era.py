import unittest

from teaselsill import ids, log, log_era

CALL = "/call"
OTHER = ids.InstanceId("r-2")


class LogEraTest(unittest.TestCase):
    def setUp(self):
        self.era = log_era.LogEra()
        self.restores = []
        self.hints = 0
        self.era.on_restore.append(self.restores.append)
        self.era.on_hint.append(self.count_hint)

    def count_hint(self):
        self.hints += 1

    def test_first_era_is_no_restore(self):
        self.assertEqual(3, self.era.note_response(ids.Era(3), CALL))
        self.assertEqual([], self.restores)

    def test_first_rise_of_a_log_that_counts_from_zero_is_a_restore(self):
        """Era 0 was taken for no era, so that nothing was written again."""
        self.era.note_response(ids.Era(0), CALL)
        self.era.note_response(ids.Era(1), CALL)
        self.assertEqual([1], self.restores)

    def test_each_rise_is_one_restore_also_by_more_than_one(self):
        for era in (3, 3, 4, 4, 6):
            self.era.note_response(ids.Era(era), CALL)
        self.assertEqual([4, 6], self.restores)

    def test_response_without_an_era_is_of_the_current_one(self):
        self.assertEqual(ids.NO_ERA, self.era.note_response(None, CALL))
        self.era.note_response(ids.Era(3), CALL)
        self.assertEqual(3, self.era.note_response(None, CALL))
        self.assertEqual([], self.restores)

    def test_late_response_of_an_earlier_era_is_dropped(self):
        self.era.note_response(ids.Era(3), CALL)
        self.era.note_response(ids.Era(4), CALL)
        with self.assertRaises(log.StaleResponseError):
            self.era.note_response(ids.Era(3), CALL)
        self.assertEqual(4, self.era.current)

    def test_other_router_causes_a_call_but_no_rise(self):
        self.era.note_response(ids.Era(3), CALL)
        self.era.note_told(ids.Era(4), OTHER)
        self.assertEqual((3, 1, []), (self.era.current, self.hints, self.restores))

    def test_the_same_or_an_earlier_era_is_asked_for_once(self):
        self.era.note_response(ids.Era(3), CALL)
        for era in (5, 5, 4, 3, 0):
            self.era.note_told(ids.Era(era), OTHER)
        self.assertEqual(1, self.hints)

    def test_wrong_era_of_another_router_does_not_stop_the_reading(self):
        """All responses would seem to be of an earlier era."""
        self.era.note_response(ids.Era(3), CALL)
        self.era.note_told(ids.Era(10**18), OTHER)
        self.assertEqual(3, self.era.note_response(ids.Era(3), CALL))
        self.assertEqual(4, self.era.note_response(ids.Era(4), CALL))

    def test_another_log_service_may_be_in_an_earlier_era(self):
        self.era.note_response(ids.Era(3), CALL)
        self.era.forget()
        self.assertEqual(1, self.era.note_response(ids.Era(1), CALL))
