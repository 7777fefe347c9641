import collections
import random
import unittest

from teaselsill import directory, evacuation, ids, placement, routing_table
from tests import test_placement, test_upstream_list

A = ids.DataCentre("a")
B = ids.DataCentre("b")
C = ids.DataCentre("c")


class EvacuationsTest(unittest.TestCase):
    def setUp(self):
        self.evacuations = evacuation.Evacuations()

    def test_begins_and_ends(self):
        self.assertTrue(self.evacuations.begin(A, now=1.0))
        self.assertFalse(self.evacuations.begin(A, now=2.0))
        self.assertTrue(self.evacuations.is_evacuated(A))
        self.assertFalse(self.evacuations.is_evacuated(B))
        self.assertNotIn(A, dict(self.evacuations.list_ended()))
        self.assertTrue(self.evacuations.end(A, now=3.0))
        self.assertFalse(self.evacuations.end(A, now=4.0))
        self.assertFalse(self.evacuations.is_evacuated(A))
        self.assertEqual([(A, 3.0)], self.evacuations.list_ended())

    def test_end_of_an_earlier_evacuation_is_forgotten_when_one_begins(self):
        self.evacuations.begin(A, now=1.0)
        self.evacuations.end(A, now=2.0)
        self.evacuations.begin(A, now=3.0)
        self.assertNotIn(A, dict(self.evacuations.list_ended()))

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


class LoadTest(unittest.TestCase):
    """Replays a steady load of prompts on twelve engines in three data centres."""

    ENGINES = 12
    PROMPTS_PER_S = 400
    DATA_CENTRES = (A, B, C)

    def setUp(self):
        random.seed(1)
        self.directory = directory.Directory()
        self.service = routing_table.Service(
            ids.ServiceName("s"), "/health", 9, routing_table.Engine(64, 500_000)
        )
        self.directory.service_by_name = {self.service.name: self.service}
        for number in range(self.ENGINES):
            upstream = test_upstream_list.make_upstream(
                f"u{number}", data_centre=self.DATA_CENTRES[number % 3], slots=64
            )
            self.directory.listed.put(upstream)
        self.now = 1.0
        self.sent = 0

    def play(self, duration_s):
        """Places prompts for a time; returns how many each data centre got."""
        count_by_upstream = collections.Counter()
        for _ in range(int(duration_s * self.PROMPTS_PER_S)):
            self.sent += 1
            call = test_placement.make_call((f"own{self.sent}", 2000))
            candidates = self.directory.candidates(self.service, set())
            choice = placement.choose(call, candidates, A, self.now)
            choice.candidate.queue.add(choice.prefill_tokens, self.now)
            count_by_upstream[choice.candidate.upstream] += 1
            self.now += 1 / self.PROMPTS_PER_S
        count_by_data_centre = collections.Counter()
        for upstream, count in count_by_upstream.items():
            count_by_data_centre[upstream.data_centre] += count
        return count_by_data_centre, count_by_upstream.values()

    def test_load_moves_to_the_others_and_back(self):
        begin, end = self.directory.evacuations.begin, self.directory.evacuations.end
        self.assertEqual({A, B, C}, set(self.play(4.0)[0]))
        begin(A, self.now)
        count_by_data_centre, counts = self.play(4.0)
        self.assertEqual({B, C}, set(count_by_data_centre))
        self.assertLess(max(counts), 1.15 * sum(counts) / len(counts))
        begin(B, self.now)
        count_by_data_centre, counts = self.play(4.0)
        self.assertEqual({C}, set(count_by_data_centre))
        self.assertLess(max(counts), 1.15 * sum(counts) / len(counts))
        end(A, self.now)
        self.assertEqual({A, C}, set(self.play(4.0)[0]))
        end(B, self.now)
        self.assertEqual({A, B, C}, set(self.play(4.0)[0]))
