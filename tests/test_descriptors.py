import unittest

from teaselsill import descriptors


class DivideTest(unittest.TestCase):
    def test_ports_leave_enough_for_the_process_itself(self):
        for max_fds in (128, 1024, 20_000, 1_000_000):
            with self.subTest(max_fds):
                shares = descriptors.divide(max_fds)
                accepted = 2 * descriptors.ACCEPTED
                left = max_fds - shares.clients - shares.admin - accepted
                self.assertGreaterEqual(left, max(32, max_fds // 8))

    def test_limit_of_the_system(self):
        self.assertGreater(descriptors.divide(0).clients, 0)
