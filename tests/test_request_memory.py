import random
import types
import unittest

from teaselsill import request_memory

MAX = request_memory.MAX_REQUEST_BYTES


def make_dispatch(attempt, size, headers=()):
    return types.SimpleNamespace(attempt=attempt, body=b"a" * size, headers=headers)


class RequestMemoryTest(unittest.TestCase):
    def setUp(self):
        self.memory = request_memory.RequestMemory(4 * MAX)

    def test_one_request_is_always_offered_a_slot(self):
        self.assertTrue(request_memory.RequestMemory(1).may_offer(0))

    def test_offers_leave_room_for_what_they_may_bring(self):
        offers = [self.memory.may_offer(count) for count in range(6)]
        self.assertEqual([True] * 4 + [False] * 2, offers)

    def test_running_requests_count(self):
        self.memory.add(make_dispatch("a", MAX, [("b", "c")] * 10))
        offers = [self.memory.may_offer(count) for count in range(3)]
        self.assertEqual([True, True, False], offers)
        self.memory.remove("a")
        self.assertEqual(0, self.memory.held_bytes)

    def test_unknown_request_is_not_removed_twice(self):
        self.memory.remove("a")
        self.assertEqual(0, self.memory.held_bytes)

    def test_replay_of_the_largest_requests_keeps_the_limit(self):
        source = random.Random(7)
        offers, running, number = 0, [], 0
        for _ in range(2000):
            while self.memory.may_offer(offers):
                offers += 1
            if offers and source.random() < 0.7:
                offers -= 1
                number += 1
                size = source.choice([100, MAX // 100, MAX])
                self.memory.add(make_dispatch(number, size))
                running.append(number)
            elif running:
                self.memory.remove(running.pop(source.randrange(len(running))))
            self.assertLessEqual(self.memory.held_bytes, 4 * MAX)
