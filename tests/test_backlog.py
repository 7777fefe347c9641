import unittest

from teaselsill import backlog


class BacklogTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        self.backlog = backlog.Backlog(lambda: self.now)

    def add(self, account="schools", deadline_s=60.0, max_waiting=100):
        request = backlog.Request(
            id="r",
            account=account,
            service="bookings",
            method="GET",
            path="/",
            headers=[],
            body=b"",
            deadline=self.now + deadline_s,
            repeatable=True,
            key="",
        )
        return self.backlog.add(request, max_waiting)

    def pop_every(self, interval_s, count):
        for _ in range(count):
            self.now += interval_s
            self.backlog.pop("schools")

    async def test_oldest_is_first_and_a_requeued_request_keeps_its_place(self):
        first = self.add()
        self.now += 1
        second = self.add()
        self.assertIs(first, self.backlog.pop("schools"))
        self.backlog.requeue(first)
        self.assertIs(first, self.backlog.pop("schools"))
        self.assertIs(second, self.backlog.pop("schools"))
        self.assertIsNone(self.backlog.pop("schools"))

    async def test_request_of_a_disconnected_caller_is_skipped(self):
        first = self.add()
        second = self.add()
        first.assignment.cancel()
        self.assertIs(second, self.backlog.pop("schools"))

    async def test_flood_of_one_account_is_refused_and_others_are_not(self):
        for _ in range(3):
            self.add(max_waiting=3)
        with self.assertRaises(backlog.BacklogFullError):
            self.add(max_waiting=3)
        self.add(account="council", max_waiting=3)

    async def test_hopeless_deadline_is_refused_at_once(self):
        for _ in range(20):
            self.add()
        self.pop_every(1.0, count=10)
        self.assertAlmostEqual(10.0, self.backlog.expected_wait_s("schools"))
        self.add(deadline_s=11.0)
        with self.assertRaises(backlog.DeadlineHopelessError) as caught:
            self.add(deadline_s=5.0)
        self.assertAlmostEqual(6.0, caught.exception.retry_after_s)

    async def test_infrequent_requests_do_not_lower_the_rate(self):
        for _ in range(20):
            self.add()
            self.pop_every(8.0, count=1)
        self.add()
        self.add(deadline_s=1.0)
