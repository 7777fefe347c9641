import unittest

from teaselsill import directory, evacuation, ids, routing_table
from tests import test_upstream_list

A = ids.DataCentre("a")
B = ids.DataCentre("b")


class EvacuationsTest(unittest.TestCase):
    def setUp(self):
        self.evacuations = evacuation.Evacuations()

    def test_begins_and_ends(self):
        self.assertTrue(self.evacuations.begin(A, now=1.0))
        self.assertFalse(self.evacuations.begin(A, now=2.0))
        self.assertTrue(self.evacuations.is_evacuated(A))
        self.assertFalse(self.evacuations.is_evacuated(B))
        self.assertIsNone(self.evacuations.find_ended_at(A))
        self.assertTrue(self.evacuations.end(A, now=3.0))
        self.assertFalse(self.evacuations.end(A, now=4.0))
        self.assertFalse(self.evacuations.is_evacuated(A))
        self.assertEqual(3.0, self.evacuations.find_ended_at(A))

    def test_end_of_an_earlier_evacuation_is_forgotten_when_one_begins(self):
        self.evacuations.begin(A, now=1.0)
        self.evacuations.end(A, now=2.0)
        self.evacuations.begin(A, now=3.0)
        self.assertIsNone(self.evacuations.find_ended_at(A))

    def test_each_change_is_logged_once(self):
        with self.assertLogs("teaselsill.evacuation", "INFO") as logs:
            for now in (1.0, 2.0):
                self.evacuations.begin(A, now)
            for now in (3.0, 4.5):
                self.evacuations.end(A, now)
        self.assertEqual(2, len(logs.records))
        self.assertEqual("a", logs.records[0].data_centre)
        self.assertEqual(2.0, logs.records[1].lasted_s)

    def test_complete_listing_ends_the_others(self):
        self.evacuations.begin(A, now=1.0)
        self.evacuations.begin(B, now=1.0)
        self.evacuations.keep_only({B}, now=2.0)
        self.assertEqual({B}, self.evacuations.data_centres)

    def test_one_that_an_older_copy_lacks_holds_until_its_writer_had_time(self):
        self.evacuations.begin(A, now=1.0)
        self.evacuations.note_restore({B}, now=10.0)
        self.evacuations.keep_only({B}, now=11.0)
        self.evacuations.expire(now=9.9 + evacuation.KEPT_S)
        self.assertTrue(self.evacuations.is_evacuated(A))
        self.evacuations.expire(now=10.0 + evacuation.KEPT_S)
        self.assertFalse(self.evacuations.is_evacuated(A))

    def test_one_that_is_written_again_after_a_restore_does_not_expire(self):
        self.evacuations.begin(A, now=1.0)
        self.evacuations.note_restore(set(), now=10.0)
        self.evacuations.begin(A, now=12.0)
        self.evacuations.expire(now=20.0 + evacuation.KEPT_S)
        self.assertTrue(self.evacuations.is_evacuated(A))

    def test_further_restores_do_not_prolong_it(self):
        self.evacuations.begin(A, now=1.0)
        self.evacuations.note_restore(set(), now=10.0)
        self.evacuations.note_restore(set(), now=10.0 + evacuation.KEPT_S / 2)
        self.evacuations.expire(now=10.0 + evacuation.KEPT_S)
        self.assertFalse(self.evacuations.is_evacuated(A))

    def test_one_that_is_removed_after_a_restore_ends_at_once(self):
        self.evacuations.begin(A, now=1.0)
        self.evacuations.note_restore(set(), now=10.0)
        self.assertTrue(self.evacuations.end(A, now=11.0))
        self.evacuations.begin(A, now=12.0)
        self.evacuations.expire(now=20.0 + evacuation.KEPT_S)
        self.assertTrue(self.evacuations.is_evacuated(A))


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.Directory()
        self.service = routing_table.Service(
            ids.ServiceName("s"), "/health", 9, routing_table.Engine(4, 1000)
        )
        self.directory.service_by_name = {self.service.name: self.service}
        for name, data_centre in (("u0", A), ("u1", B), ("u2", A)):
            self.directory.listed.put(
                test_upstream_list.make_upstream(name, data_centre=data_centre)
            )

    def list_candidates(self):
        candidates = self.directory.candidates(self.service, set())
        return [each.upstream.id for each in candidates]

    def test_upstreams_of_an_evacuated_data_centre_are_no_candidates(self):
        self.directory.evacuations.begin(A, now=1.0)
        self.assertEqual(["u1"], self.list_candidates())
        self.assertFalse(self.directory.is_evacuated(self.service))
        self.directory.evacuations.begin(B, now=1.0)
        self.assertEqual([], self.list_candidates())
        self.assertTrue(self.directory.is_evacuated(self.service))
        self.directory.evacuations.end(A, now=2.0)
        self.assertEqual(["u0", "u2"], self.list_candidates())

    def test_service_without_upstreams_is_not_evacuated(self):
        self.directory.evacuations.begin(A, now=1.0)
        self.directory.listed.keep_only(set(), now=2.0)
        self.assertFalse(self.directory.is_evacuated(self.service))

    def test_engines_of_an_evacuated_data_centre_are_no_capacity(self):
        for candidate in self.directory.candidates(self.service, set()):
            candidate.queue.add(100, 1.0)
        full_rate = self.directory.sum_rates(now=1.0)
        self.directory.evacuations.begin(A, now=1.0)
        self.assertAlmostEqual(full_rate / 3, self.directory.sum_rates(now=1.0))
        self.assertAlmostEqual(1 / 3, self.directory.find_usable_part(now=1.0))

    def test_pruning_ends_one_that_was_not_written_again(self):
        self.directory.evacuations.begin(A, now=1.0)
        self.directory.evacuations.note_restore(set(), now=2.0)
        self.directory.prune(now=2.0 + evacuation.KEPT_S)
        self.assertEqual(["u0", "u1", "u2"], self.list_candidates())
