import unittest

from teaselsill import unauthenticated_peers


class UnauthenticatedPeersTest(unittest.TestCase):
    def test_oldest_is_closed(self):
        bounded = unauthenticated_peers.UnauthenticatedPeers(2)
        self.assertEqual([None, None, 0, 1], [bounded.add(n) for n in range(4)])

    def test_one_whose_handshake_has_ended_does_not_count(self):
        bounded = unauthenticated_peers.UnauthenticatedPeers(2)
        bounded.add(0)
        bounded.add(1)
        bounded.discard(0)
        self.assertIsNone(bounded.add(2))

    def test_one_log_line_a_second(self):
        bounded = unauthenticated_peers.UnauthenticatedPeers(2)
        counts = [bounded.count_refused(n / 10) for n in range(21)]
        self.assertEqual([1, 10, 10], [count for count in counts if count])
