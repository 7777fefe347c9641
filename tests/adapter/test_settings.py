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
    """Encodes tables as TOML, with values that are spelt as in JSON."""
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

    def test_valid_settings(self):
        self.assertEqual((0, ""), self.run_check(TEXT))

    def test_error_names_the_place(self):
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
        loaded = self.load(TEXT)
        self.assertEqual("edge-chaguanas-1", loaded.node)
        self.assertEqual(8.0, loaded.bounds.grace_s)
        self.assertEqual((7400, 7415), loaded.port_range)
        self.assertEqual(settings.Limits(0.717, 3.0), loaded.limits)
        self.assertEqual(
            ("10.1.0.33", 8783), settings.split_address(loaded.listen.front)
        )

    def test_zones_may_be_missing(self):
        self.assertEqual({}, self.load(TEXT).zones)
        loaded = self.load(TEXT + '[Zones]\nchaguanas = "tt-central"\n')
        self.assertEqual({"chaguanas": "tt-central"}, loaded.zones)

    def test_errors_name_the_place(self):
        for old, new, place in (
            ('Node = "edge-chaguanas-1"', "Node = 1", "Node"),
            ("GraceS = 8", "", "Bounds"),
            ("[Listen]", "[Listen", "line"),
            ("10.1.0.33:8783", "10.1.0.33", "Listen"),
            ("10.200.1.7:8781", "10.200.1.7:99999", "Platform"),
            ("PortRange = [7400,7415]", "PortRange = [7400,7400]", "PortRange"),
            ("BudgetWindowS = 10", "BudgetWindowS = nan", "BudgetWindowS"),
            ("CpuShare = 0.717", "CpuShare = 0", "CpuShare"),
            ("[Platform]", "[Zones]\nchaguanas = 7\n[Platform]", "Zones"),
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
    def test_changed_fields_load_or_raise_an_error_with_the_path(self, changes):
        content = tomllib.loads(TEXT)
        for (*tables, name), value in changes:
            table = content
            for key in tables:
                table = table.get(key)
            if not isinstance(table, dict):
                continue  # An earlier change has replaced the table.
            if value is None:
                table.pop(name, None)
            else:
                table[name] = value
        try:
            loaded = settings.parse(PATH, write_toml(content).encode())
        except errors.SettingsError as error:
            self.assertIn(str(PATH), str(error))
            return
        for address in (loaded.listen.front, loaded.platform.address):
            settings.split_address(address)
        for name in loaded.bounds.__struct_fields__:
            self.assertTrue(math.isfinite(getattr(loaded.bounds, name)))

    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_raise_an_error_with_the_path(self, content):
        with self.assertRaisesRegex(errors.SettingsError, str(PATH)):
            settings.parse(PATH, content)

    @hypothesis.given(
        strategies.integers(0, len(TEXT) - 1), strategies.binary(max_size=3)
    )
    def test_corrupted_text_loads_or_raises_an_error(self, place, replacement):
        content = TEXT.encode()
        try:
            settings.parse(PATH, content[:place] + replacement + content[place + 1 :])
        except errors.SettingsError as error:
            self.assertIn(str(PATH), str(error))

    def test_nested_too_deeply(self):
        with self.assertRaisesRegex(errors.SettingsError, "nested"):
            settings.parse(PATH, b"a = " + 5000 * b"[" + 5000 * b"]")

    def test_missing_file(self):
        with self.assertRaisesRegex(errors.SettingsError, "nowhere"):
            settings.load(pathlib.Path("/nowhere"))
