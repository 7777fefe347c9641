"""Processes of entry routers, one of which stands still for a while."""

import asyncio
import json
import pathlib
import tempfile
import unittest

from tests.adapter import soak, test_crashing_requests

FIRST_NUMBER = 20
"""Routers of each test have numbers, and with them addresses, of their own."""
PAUSE_S = 2.0
PEERS = test_crashing_requests.ROUTERS - 1


class PausedRoutersTest(unittest.IsolatedAsyncioTestCase):
    """A pause of one router must change no verdict, neither there nor elsewhere."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.fleet = await self.enterAsyncContext(
            test_crashing_requests.Fleet(self.folder, FIRST_NUMBER)
        )

    def list_counts(self):
        """Returns how many peers each router has counted at each of its requests."""
        return [
            [line.get("peers", 0) for line in self.read_lines(path) if "ending" in line]
            for path in sorted(self.folder.glob("router-*.log"))
        ]

    def read_lines(self, path):
        complete, _, _ = path.read_text().rpartition("\n")
        return [json.loads(text) for text in complete.splitlines()]

    async def ask_all(self, routers):
        for router in routers:
            await self.fleet.ask(router, "system")

    async def wait_until_all_are_known(self):
        async with asyncio.timeout(10.0):
            while True:
                await self.ask_all(self.fleet.routers)
                if all(counts[-1:] == [PEERS] for counts in self.list_counts()):
                    return

    async def test_all_routers_stay_live_during_and_after_a_pause(self):
        await self.wait_until_all_are_known()
        known = [len(counts) for counts in self.list_counts()]
        paused, *others = self.fleet.routers
        pausing = asyncio.create_task(
            paused.apply_failure(soak.FailureKind.FROZEN, PAUSE_S)
        )
        await asyncio.sleep(0.1)
        asking = asyncio.create_task(self.ask_all([paused]))
        while not pausing.done():
            await self.ask_all(others)
        await pausing
        await asking
        await self.ask_all(self.fleet.routers)
        for counts, count in zip(self.list_counts(), known, strict=True):
            self.assertGreater(len(counts), count)
            self.assertEqual({PEERS}, set(counts[count:]))
