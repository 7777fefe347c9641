import unittest

from tests.adapter import start_cost


class MeasureImportsTest(unittest.TestCase):
    def test_each_import_adds_to_the_memory(self):
        _, bare_mb = start_cost.measure_imports([])
        _, role_mb = start_cost.measure_imports(["adapter.router_role"])
        self.assertGreater(role_mb, bare_mb)
