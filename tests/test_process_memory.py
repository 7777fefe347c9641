import unittest

from teaselsill import process_memory

MB = process_memory.MB


class ClientBytesTest(unittest.TestCase):
    def test_part_of_the_memory_in_the_settings(self):
        self.assertEqual(int(25.6 * MB), process_memory.find_client_bytes(128, MB))

    def test_least(self):
        self.assertEqual(32 * MB, process_memory.find_client_bytes(70, 4 * MB))

    def test_memory_of_the_machine(self):
        self.assertGreater(process_memory.find_client_bytes(0, MB), 16 * MB)
