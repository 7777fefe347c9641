import asyncio
import shutil
import signal
import sys
import unittest

TIMEOUT_S = 50


class DemoTest(unittest.IsolatedAsyncioTestCase):
    """Runs the demo as a user does: it stays up, and its curl lines work."""

    async def asyncSetUp(self):
        self.demo = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "standins.demo"),
            *("--deployment", "vikarbro", "--keep"),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self.stop)

    async def stop(self):
        if self.demo.returncode is None:
            self.demo.send_signal(signal.SIGTERM)
            await self.demo.wait()

    async def read_curl_lines(self):
        """Reads the output up to the last curl line."""
        lines = []
        async with asyncio.timeout(TIMEOUT_S):
            while not lines or not lines[-1].endswith("/report"):
                text = (await self.demo.stdout.readline()).decode().rstrip()
                self.assertFalse(self.demo.stdout.at_eof(), "the demo ended")
                if text.startswith("curl "):
                    lines.append(text)
        return lines

    async def run_line(self, line):
        process = await asyncio.create_subprocess_shell(
            line, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        self.assertEqual(0, process.returncode, line)
        return output.decode()

    async def test_curl_lines_work_and_a_signal_stops_it(self):
        if shutil.which("curl") is None:
            self.skipTest("curl is not installed")
        lines = await self.read_curl_lines()
        outputs = [await self.run_line(line) for line in lines]
        for expected, output in zip(
            ("sill-servers-model", "[DONE]", "200 OK", "200 OK", "200 OK",
             "401 Unauthorized", "ready", "count_by_outcome"),
            outputs,
            strict=True,
        ):  # fmt: skip
            self.assertIn(expected, output)
        first, second = (output.splitlines()[-1] for output in outputs[3:5])
        self.assertEqual(first, second)
        await self.stop()
        self.assertEqual(0, self.demo.returncode)
