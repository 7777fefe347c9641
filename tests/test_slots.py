import unittest

from teaselsill import ids, slots

ACCOUNT = ids.AccountId("schools")
HOLDER = object()


class SlotsTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.slots = slots.Slots(lambda: self.now)
        self.slots.resize(4)

    def offer(self):
        return self.slots.offer(ACCOUNT, HOLDER, 1.0).grant

    def test_offers_made_before_a_reduction_stay_valid(self):
        for _ in range(2):
            self.slots.accept(self.offer(), HOLDER)
        offers = [self.offer(), self.offer()]
        self.slots.resize(1)
        self.slots.release()
        for grant in offers:
            self.assertIsNotNone(self.slots.accept(grant, HOLDER))
        self.assertEqual(3, self.slots.running)
        self.assertEqual(-2, self.slots.free)

    def test_more_running_than_slots_is_a_violation(self):
        self.slots.resize(1)
        offers = [self.offer(), self.offer()]
        self.slots.accept(offers[0], HOLDER)
        with self.assertRaises(slots.SlotsOverbookedError):
            self.slots.accept(offers[1], HOLDER)

    def test_reduction_does_not_allow_later_offers_over_the_total(self):
        self.slots.accept(self.offer(), HOLDER)
        self.slots.accept(self.offer(), HOLDER)
        self.slots.resize(1)
        self.slots.release()
        with self.assertRaises(slots.SlotsOverbookedError):
            self.slots.accept(self.offer(), HOLDER)

    def test_expired_offer_stays_until_it_is_withdrawn(self):
        grant = self.offer()
        self.now += slots.GRANT_LIFETIME_S
        self.assertIsNone(self.slots.accept(grant, HOLDER))
        self.assertIsNotNone(self.slots.withdraw(grant))
