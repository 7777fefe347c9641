import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

from adapter import settings

from teaselsill import errors

ROOT = pathlib.Path(__file__).parents[2]
TEXT = """
Node = "edge-chaguanas-1"
Role = "router"
Ip = "10.1.0.33"
Zone = "chaguanas"
PortRange = [7400,7415]
HeartbeatMs = 1200
New = "ignored"
[Listen]
Front = "10.1.0.33:8783"
Ready = "10.1.0.33:8780"
[Limits]
CpuShare = 0.717
Cores = 3
[Bounds]
DrainMs = 2000
GraceS = 8
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetBurst = 54
[Platform]
Address = "10.200.1.7:8781"
"""


class CheckTest(unittest.TestCase):
    def run_check(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_text(text)
            done = subprocess.run(
                [sys.executable, str(ROOT / "platform/run.py"), "check"],
                env=os.environ | {settings.PATH_VARIABLE: str(path)},
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
            )
        return done.returncode, done.stderr

    def test_good_settings(self):
        self.assertEqual((0, ""), self.run_check(TEXT))

    def test_fault_is_named_with_its_place(self):
        status, text = self.run_check(TEXT.replace("GraceS = 8", 'GraceS = "8"'))
        self.assertEqual(1, status)
        self.assertIn("$.Bounds.GraceS", text)


class LoadTest(unittest.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_text(text)
            return settings.load(path)

    def test_decodes_every_field(self):
        known = self.load(TEXT)
        self.assertEqual("edge-chaguanas-1", known.node)
        self.assertEqual(8.0, known.bounds.grace_s)
        self.assertEqual((7400, 7415), known.port_range)
        self.assertEqual(settings.Limits(0.717, 3.0), known.limits)
        self.assertEqual(
            ("10.1.0.33", 8783), settings.split_address(known.listen.front)
        )

    def test_faults_name_their_place(self):
        for old, new, place in (
            ('Node = "edge-chaguanas-1"', "Node = 1", "Node"),
            ("GraceS = 8", "", "Bounds"),
            ("[Listen]", "[Listen", "line"),
        ):
            with (
                self.subTest(new=new),
                self.assertRaisesRegex(errors.SettingsError, place),
            ):
                self.load(TEXT.replace(old, new))

    def test_missing_file(self):
        with self.assertRaisesRegex(errors.SettingsError, "nowhere"):
            settings.load(pathlib.Path("/nowhere"))
