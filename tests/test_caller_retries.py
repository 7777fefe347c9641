import unittest

from teaselsill import caller_retries, ids
from tests import test_placement

ACCOUNT = ids.AccountId("acc")
CALL = test_placement.make_call(("session", 500), ("own", 500))


class CallerRetriesTest(unittest.TestCase):
    def setUp(self):
        self.retries = caller_retries.CallerRetries()

    def find_age_s(self, now, account=ACCOUNT, call=CALL):
        return self.retries.find_age_s(account, call, now)

    def test_new_request_has_no_age(self):
        self.assertEqual(0.0, self.find_age_s(5.0))

    def test_age_counts_from_the_first_rejection(self):
        self.retries.note_rejected(ACCOUNT, CALL, 1.0)
        self.retries.note_rejected(ACCOUNT, CALL, 2.0)
        self.assertEqual(2.5, self.find_age_s(3.5))

    def test_another_request_of_the_session_is_new(self):
        self.retries.note_rejected(ACCOUNT, CALL, 1.0)
        other = test_placement.make_call(("session", 500), ("other", 500))
        self.assertEqual(0.0, self.find_age_s(2.0, call=other))
        self.assertEqual(0.0, self.find_age_s(2.0, account=ids.AccountId("b")))

    def test_retry_after_the_ttl_is_new(self):
        self.retries.note_rejected(ACCOUNT, CALL, 1.0)
        later = 1.5 + caller_retries.TTL_S
        self.assertEqual(0.0, self.find_age_s(later))
        self.retries.note_rejected(ACCOUNT, CALL, later)
        self.assertEqual(1.0, self.find_age_s(later + 1.0))

    def test_number_of_known_requests_is_bounded(self):
        for number in range(caller_retries.MAX_KNOWN + 10):
            call = test_placement.make_call((f"own{number}", 500))
            self.retries.note_rejected(ACCOUNT, call, 1.0)
        self.assertEqual(
            caller_retries.MAX_KNOWN, len(self.retries._rejected_at_by_key)
        )
