import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import errors, settings

VALID = """
// A router of the first data centre.
{
    instance: "router-1", data_centre: "oslo-a", host: "127.0.0.1",
    port: 8000, admin_port: 8001, /* not for callers */
    secret: "0123456789abcdef",
    log: {url: "http://127.0.0.1:7000"},
    instances: {url: "http://127.0.0.1:7001"},
}
"""


class LoadTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.json"

    def load(self, text, model=settings.RouterSettings):
        self.path.write_bytes(text.encode())
        return settings.load(str(self.path), model)

    def test_json_with_comments_is_read(self):
        loaded = self.load(VALID)
        self.assertEqual((8000, "http"), (loaded.port, loaded.log.plugin))

    def test_every_fault_is_reported_with_its_path(self):
        text = VALID.replace("8001", '"high"').replace("url", "address", 1)
        with self.assertRaises(errors.SettingsError) as caught:
            self.load(text.replace("0123456789abcdef", "short"))
        paths = [fault.split(":")[0] for fault in caught.exception.faults]
        expected = ["admin_port", "secret", "log.url", "log.address"]
        self.assertEqual(expected, paths)
        for line in str(caught.exception).splitlines():
            self.assertTrue(line.startswith(str(self.path)))

    def test_each_role_refuses_the_keys_of_another(self):
        with self.assertRaisesRegex(errors.SettingsError, "upstream: Field required"):
            self.load(VALID, settings.AgentSettings)

    def test_repeated_key_is_a_settings_error(self):
        with self.assertRaisesRegex(errors.SettingsError, "port"):
            self.load(VALID.replace("secret", "port: 9, secret"))

    def test_missing_file_is_a_settings_error(self):
        with self.assertRaises(errors.SettingsError):
            settings.load(str(self.path), settings.RouterSettings)

    def test_file_in_another_encoding_is_a_settings_error(self):
        self.path.write_bytes(b"\xff\xfe{")
        with self.assertRaises(errors.SettingsError):
            settings.load(str(self.path), settings.RouterSettings)

    def test_deep_nesting_is_a_settings_error(self):
        with self.assertRaises(errors.SettingsError):
            self.load("[" * 100_000)

    @hypothesis.given(
        strategies.text(max_size=60)
        | strategies.builds(
            lambda start, text, end: VALID[:start] + text + VALID[end:],
            strategies.integers(0, len(VALID)),
            strategies.text(max_size=5),
            strategies.integers(0, len(VALID)),
        )
    )
    def test_any_text_gives_settings_or_a_settings_error(self, text):
        self.path.write_bytes(text.encode("utf-8", "surrogatepass"))
        try:
            settings.load(str(self.path), settings.RouterSettings)
        except errors.SettingsError as error:
            self.assertTrue(error.faults)
