import pathlib
import tempfile
import unittest

from adapter import settings

from teaselsill import errors

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
[Bounds]
GraceS = 8
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetBurst = 54
[Platform]
Address = "10.200.1.7:8781"
"""


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
