import unittest

from teaselsill import agent, exchange

MB = 1024 * 1024


class WindowTest(unittest.TestCase):
    def test_plenty_of_memory(self):
        self.assertEqual(agent.WINDOW_BYTES, agent.find_window_bytes(1024 * MB, 64))

    def test_windows_of_all_slots_share_the_memory(self):
        window_bytes = agent.find_window_bytes(32 * MB, 64)
        self.assertEqual(32 * MB, window_bytes * 64 * agent.WINDOW_COPIES)

    def test_router_acknowledges_before_the_least_window_is_full(self):
        window_bytes = agent.find_window_bytes(MB, 1000)
        self.assertGreater(window_bytes, exchange.ACK_BYTES)
