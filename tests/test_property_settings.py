import unittest

import hypothesis
from hypothesis import strategies


class PropertySettingsTest(unittest.TestCase):
    """The profile was loaded after the tests had taken their settings."""

    @hypothesis.given(strategies.integers())
    def test_seed_is_fixed_and_slow_machines_are_allowed(self, number):
        test = type(self).test_seed_is_fixed_and_slow_machines_are_allowed
        settings = test._hypothesis_internal_use_settings
        self.assertTrue(settings.derandomize)
        self.assertIsNone(settings.deadline)
