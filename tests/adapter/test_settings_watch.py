import asyncio
import pathlib
import tempfile
import unittest
import unittest.mock

from adapter import settings, settings_watch

from tests.adapter import test_settings

LOGGER = settings_watch.logger.name


class SettingsWatchTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(folder) / "settings.toml"
        self.path.write_text(test_settings.TEXT)
        self.applied = asyncio.Queue()

    async def asyncSetUp(self):
        loaded = settings.load(self.path)
        self.watch = settings_watch.SettingsWatch(
            self.path, loaded, self.applied.put_nowait
        )
        running = asyncio.create_task(self.watch.run())
        self.addCleanup(running.cancel)

    def change(self, old, new):
        text = self.path.read_text()
        self.assertIn(old, text)
        self.path.write_text(text.replace(old, new))

    async def wait_applied(self):
        async with asyncio.timeout(5.0):
            return await self.applied.get()

    async def wait_logged(self, logs):
        async with asyncio.timeout(5.0):
            while not logs.records:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        return logs.records[0]

    async def test_reload_applies_a_change(self):
        self.change("GraceS = 8", "GraceS = 5")
        with self.assertLogs(LOGGER, "INFO") as logs:
            self.watch.reload()
            loaded = await self.wait_applied()
            record = await self.wait_logged(logs)
        self.assertEqual(5.0, loaded.bounds.grace_s)
        self.assertEqual((["bounds"], []), (record.changed, record.need_a_restart))

    async def test_change_without_a_reload_request_is_detected(self):
        with unittest.mock.patch.object(settings_watch, "CHECK_INTERVAL_S", 0.02):
            self.watch.reload()
            await self.wait_applied()
            self.change("GraceS = 8", "GraceS = 5")
            loaded = await self.wait_applied()
        self.assertEqual(5.0, loaded.bounds.grace_s)

    async def test_fixed_fields_keep_their_values_and_are_reported(self):
        self.change('Zone = "chaguanas"', 'Zone = "couva"')
        self.change("GraceS = 8", "GraceS = 5")
        with self.assertLogs(LOGGER, "INFO") as logs:
            self.watch.reload()
            loaded = await self.wait_applied()
            record = await self.wait_logged(logs)
        self.assertEqual("chaguanas", loaded.zone)
        self.assertEqual(5.0, loaded.bounds.grace_s)
        self.assertEqual(["zone"], record.need_a_restart)

    async def test_invalid_file_changes_nothing_and_the_log_names_the_place(self):
        self.change("GraceS = 8", "GraceS = -1")
        with self.assertLogs(LOGGER, "ERROR") as logs:
            self.watch.reload()
            record = await self.wait_logged(logs)
        self.assertIn("$.Bounds.GraceS", record.reason)
        self.assertTrue(self.applied.empty())

    async def test_missing_file_changes_nothing(self):
        self.path.unlink()
        with self.assertLogs(LOGGER, "ERROR"):
            self.watch.reload()
            await asyncio.sleep(0.05)
        self.path.write_text(test_settings.TEXT)
        self.watch.reload()
        await self.wait_applied()
