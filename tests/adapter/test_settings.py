import json
import math
import os
import pathlib
import subprocess
import sys
import tempfile
import tomllib
import unittest

import hypothesis
from adapter import settings
from hypothesis import strategies

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


PATH = pathlib.Path("settings.toml")
PLACES = [
    *[(name,) for name in ("Node", "Ip", "PortRange", "HeartbeatMs", "Listen")],
    *[("Listen", name) for name in ("Front", "Ready")],
    *[("Limits", name) for name in ("CpuShare", "Cores")],
    *[("Bounds", name) for name in ("DrainMs", "GraceS", "BudgetWindowS")],
    ("Platform", "Address"),
]
VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**63), 2**63 - 1),
    strategies.floats(),
    strategies.text("az:.09-\u00e9", max_size=12),
    strategies.lists(strategies.integers(-1, 70000), max_size=3),
    strategies.just("10.0.0.1:80"),
)


def write_toml(content):
    """Writes tables whose values JSON spells in the same way."""
    plain = [
        f"{k} = {write_value(v)}" for k, v in content.items() if type(v) is not dict
    ]
    for name, table in content.items():
        if type(table) is dict:
            plain.append(f"[{name}]")
            plain += [f"{k} = {write_value(v)}" for k, v in table.items()]
    return "\n".join(plain)


def write_value(value):
    if type(value) is float:
        return repr(value)
    return json.dumps(value, ensure_ascii=False)


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
            ("10.1.0.33:8783", "10.1.0.33", "Listen"),
            ("10.200.1.7:8781", "10.200.1.7:99999", "Platform"),
            ("PortRange = [7400,7415]", "PortRange = [7400,7400]", "PortRange"),
            ("BudgetWindowS = 10", "BudgetWindowS = nan", "BudgetWindowS"),
            ("CpuShare = 0.717", "CpuShare = 0", "CpuShare"),
        ):
            with (
                self.subTest(new=new),
                self.assertRaisesRegex(errors.SettingsError, place),
            ):
                self.load(TEXT.replace(old, new))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.sampled_from(PLACES), VALUES), max_size=3
        )
    )
    def test_changed_fields_load_or_are_a_named_fault(self, changes):
        content = tomllib.loads(TEXT)
        for (*tables, name), value in changes:
            table = content
            for key in tables:
                table = table.get(key)
            if not isinstance(table, dict):
                continue  # An earlier change has taken the table away.
            if value is None:
                table.pop(name, None)
            else:
                table[name] = value
        try:
            known = settings.parse(PATH, write_toml(content).encode())
        except errors.SettingsError as error:
            self.assertIn(str(PATH), str(error))
            return
        for address in (known.listen.front, known.platform.address):
            settings.split_address(address)
        for name in known.bounds.__struct_fields__:
            self.assertTrue(math.isfinite(getattr(known.bounds, name)))

    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_are_a_named_fault(self, content):
        with self.assertRaisesRegex(errors.SettingsError, str(PATH)):
            settings.parse(PATH, content)

    @hypothesis.given(
        strategies.integers(0, len(TEXT) - 1), strategies.binary(max_size=3)
    )
    def test_spoiled_text_loads_or_is_a_fault(self, place, spoilt):
        content = TEXT.encode()
        try:
            settings.parse(PATH, content[:place] + spoilt + content[place + 1 :])
        except errors.SettingsError as error:
            self.assertIn(str(PATH), str(error))

    def test_nested_too_deeply(self):
        with self.assertRaisesRegex(errors.SettingsError, "nested"):
            settings.parse(PATH, b"a = " + 5000 * b"[" + 5000 * b"]")

    def test_missing_file(self):
        with self.assertRaisesRegex(errors.SettingsError, "nowhere"):
            settings.load(pathlib.Path("/nowhere"))
