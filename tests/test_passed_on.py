import random
import unittest

from teaselsill import passed_on

MB = 1024 * 1024


class PassedOnTest(unittest.TestCase):
    def setUp(self):
        self.requests = passed_on.PassedOn(10 * MB)

    def add(self, account, count, size=MB):
        return sum(self.requests.add(account, size) for _ in range(count))

    def test_account_alone_gets_half(self):
        self.assertEqual(5, self.add("flood", 20))

    def test_others_get_in_beside_a_flood(self):
        self.add("flood", 20)
        self.assertEqual(4, self.add("other", 4))
        self.assertEqual(0, self.add("third", 1))

    def test_single_request_is_always_passed_on(self):
        self.assertEqual(1, self.add("a", 1, size=20 * MB))
        self.assertEqual(0, self.add("b", 1, size=1))

    def test_room_comes_back(self):
        self.add("flood", 20)
        self.requests.remove("flood", MB)
        self.assertEqual(1, self.add("flood", 2))

    def test_replay_of_a_flood_beside_ordinary_accounts(self):
        """The bound holds throughout, and ordinary requests meet no refusal."""
        source = random.Random(7)
        running = []
        refused = set()
        for _ in range(5000):
            account = source.choice(["flood"] * 20 + ["a", "b"])
            size = MB if account == "flood" else 100_000
            if self.requests.add(account, size):
                running.append((account, size))
            else:
                refused.add(account)
            self.assertLessEqual(self.requests.held_bytes, 10 * MB)
            while running and source.random() < 0.3:
                self.requests.remove(*running.pop(source.randrange(len(running))))
        self.assertEqual({"flood"}, refused)
