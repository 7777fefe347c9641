import time
import unittest

from teaselsill import boot_clock


class NowTest(unittest.TestCase):
    def test_advances(self):
        before = boot_clock.now()
        time.sleep(0.01)
        self.assertGreaterEqual(boot_clock.now() - before, 0.01)
