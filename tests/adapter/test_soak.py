import asyncio
import pathlib
import tempfile
import unittest

from tests.adapter import soak


class DrawFailuresTest(unittest.TestCase):
    def test_failures_depend_on_the_seed_alone(self):
        self.assertEqual(soak.draw_failures(3, 60.0), soak.draw_failures(3, 60.0))
        self.assertNotEqual(soak.draw_failures(3, 60.0), soak.draw_failures(4, 60.0))

    def test_every_kind_occurs(self):
        failures = soak.draw_failures(1, 120.0)
        self.assertEqual(set(soak.FailureKind), {failure.kind for failure in failures})


class SoakTest(unittest.TestCase):
    """A short run of real processes; longer ones are run by hand."""

    def test_short_run_has_no_violations(self):
        with tempfile.TemporaryDirectory() as folder:
            finished = asyncio.run(soak.run_soak(1, 5.0, pathlib.Path(folder)))
        self.assertEqual([], finished.violations)
        self.assertGreater(finished.count_by_result["served"], 0)
