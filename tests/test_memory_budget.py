import random
import unittest

from teaselsill import memory_budget

KB = 1024
LIMIT_BYTES = 16 * 1024 * KB


class FakeOwner(memory_budget.Owner):
    def __init__(self):
        self.paused = False
        self.refused = False
        self.held = 0
        self.untaken = 0
        self.aborted = False

    def pause_for_budget(self):
        self.paused = True

    def resume_for_budget(self):
        self.paused = False

    def refuse_for_budget(self):
        self.refused = True

    def measure_for_budget(self):
        return self.held

    def abort_for_budget(self):
        self.aborted = True

    def count_untaken(self):
        return self.untaken


class MemoryBudgetTest(unittest.TestCase):
    def setUp(self):
        self.refusals = []
        self.budget = memory_budget.MemoryBudget(
            LIMIT_BYTES, lambda: self.refusals.append(1)
        )

    def hold(self, kilobytes, **fields):
        holding = self.budget.open(FakeOwner())
        for name, value in fields.items():
            setattr(holding, name, value)
        holding.owner.held = kilobytes * KB
        holding.update(kilobytes * KB)
        return holding

    def test_large_holdings_pause_before_anything_is_refused(self):
        small = self.hold(20)
        large = [self.hold(1024) for _ in range(9)]
        self.assertTrue(all(each.owner.paused for each in large))
        self.assertFalse(small.owner.paused)
        self.assertFalse(self.refusals)

    def test_reading_goes_on_once_there_is_room(self):
        large = [self.hold(1024) for _ in range(9)]
        for each in large[:5]:
            each.close()
        self.budget.tick(1.0)
        self.assertFalse(large[-1].owner.paused)
        self.assertFalse(self.budget.is_pausing)

    def test_paused_in_vain_is_refused_after_a_while(self):
        for _ in range(9):
            self.hold(1024)
        self.budget.tick(1.0)
        self.assertFalse(self.refusals)
        self.budget.tick(1.0 + memory_budget.MAX_PAUSE_S)
        self.assertEqual(3, len(self.refusals))

    def test_one_paused_connection_goes_on(self):
        large = [self.hold(1024) for _ in range(9)]
        self.budget.tick(1.0)
        self.assertEqual(1, sum(not each.owner.paused for each in large))

    def test_connections_paused_later_have_the_same_patience(self):
        for _ in range(9):
            self.hold(1024, is_passed_on=True)
        self.budget.tick(1.0)
        self.hold(300)
        later = self.hold(200)
        self.budget.tick(5.0)
        self.assertFalse(later.owner.refused)
        self.budget.tick(5.0 + memory_budget.MAX_PAUSE_S)
        self.assertTrue(later.owner.refused)

    def test_idle_connections_are_never_refused(self):
        idle = [self.hold(1) for _ in range(100)]
        for _ in range(20):
            self.hold(1024, is_passed_on=True)
        self.assertFalse(any(each.owner.refused for each in idle))

    def test_responses_that_nobody_reads_are_given_up_when_memory_is_short(self):
        readers = [self.hold(200, is_passed_on=True) for _ in range(70)]
        for each in readers:
            each.owner.untaken = 100 * KB
        upstream = self.hold(200, is_passed_on=True, may_be_given_up=False)
        upstream.owner.untaken = 100 * KB
        for step in range(5):
            self.budget.tick(0.5 * step)
            readers[0].owner.untaken -= KB
        self.assertFalse(readers[0].owner.aborted or upstream.owner.aborted)
        self.assertTrue(any(each.owner.aborted for each in readers))
        self.assertLess(self.budget.held_bytes, LIMIT_BYTES // 2 + 1)

    def test_limit_is_never_exceeded_but_by_what_was_passed_on(self):
        passed_on = [self.hold(1024, is_passed_on=True) for _ in range(12)]
        for _ in range(50):
            self.hold(400)
            self.assertLessEqual(self.budget.held_bytes, LIMIT_BYTES)
        self.assertFalse(any(each.owner.refused for each in passed_on))

    def test_flooding_account_goes_first(self):
        flood = [self.hold(100, client="flood") for _ in range(60)]
        other = self.hold(2048, client="other")
        self.budget.tick(1.0)
        chosen = memory_budget.choose_refused([*flood, other], 1024 * KB)
        self.assertEqual({"flood"}, {each.client for each in chosen})

    def test_connection_that_has_given_goes_last(self):
        taker = self.hold(100)
        giver = self.hold(150, completed=1)
        chosen = memory_budget.choose_refused([giver, taker], 1)
        self.assertEqual([taker], chosen)

    def test_admits_small_requests_longer_than_large_ones(self):
        for _ in range(13):
            self.hold(1024, is_passed_on=True)
        self.assertTrue(self.budget.admits(self.hold(20)))
        self.assertFalse(self.budget.admits(self.hold(200)))

    def test_admits_a_single_request_of_any_size(self):
        self.assertTrue(self.budget.admits(self.hold(15 * 1024)))

    def test_replay_of_a_crowd_beside_ordinary_callers(self):
        """Ordinary callers are served though a crowd sends as fast as it can."""
        source = random.Random(1)
        crowd = [self.hold(0, client="") for _ in range(100)]
        ordinary = [self.hold(0, client="a", completed=3) for _ in range(50)]
        for step in range(400):
            for each in crowd:
                if not each.owner.paused and not each.owner.refused:
                    each.owner.held += source.randrange(64 * KB)
                    each.update(each.owner.held)
            for each in ordinary:
                each.owner.held = source.randrange(40 * KB)
                each.update(each.owner.held)
            self.budget.tick(step * 0.25)
            self.assertLessEqual(self.budget.held_bytes, LIMIT_BYTES)
        self.assertFalse(any(each.owner.refused for each in ordinary))
        self.assertTrue(any(each.owner.refused for each in crowd))

    def test_limit_follows_from_the_memory(self):
        self.assertEqual(
            memory_budget.DEFAULT_LIMIT_BYTES, memory_budget.find_limit_bytes(None)
        )
        self.assertLess(memory_budget.find_limit_bytes(128), 80 * memory_budget.MB)
        self.assertEqual(
            memory_budget.MIN_LIMIT_BYTES, memory_budget.find_limit_bytes(10)
        )
