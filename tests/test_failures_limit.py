"""Upstreams that name a limit on the requests that they take from all routers."""

import asyncio
import contextlib
import unittest

from teaselsill import peer_reports, wire
from tests import entry_bench

ROUTERS = 3
REPORT_S = 0.02
LIMIT_PER_S = 5.0
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * WINDOW_S * LIMIT_PER_S + 5
"""What the users allow in any 4 seconds, once the limit is known."""
KNOWN_AFTER_S = 1.0
PLAYED_S = 6.0
PERIOD_S = 0.02


class LimitedUpstream(entry_bench.ScriptedUpstream):
    """An upstream that names a limit in all its responses.

    Args:
        name: The id of the upstream.
        limit: The limit that it names, in requests a second; None for none.

    Attributes:
        arrived_at: When its requests arrived, in seconds.
        limit: As above.
    """

    def __init__(self, name, limit):
        super().__init__(name, self._respond)
        self.limit = limit
        self.arrived_at = []

    async def _respond(self, request, stream):
        self.arrived_at.append(asyncio.get_running_loop().time())
        headers = [] if self.limit is None else [("limit", str(self.limit))]
        stream.write(entry_bench.make_response(request, headers=headers))

    def count_most(self, since, window_s=WINDOW_S):
        """Returns the most requests that arrived in a window, from a time on."""
        times = [t for t in self.arrived_at if t >= since]
        return max(
            (sum(start <= t < start + window_s for t in times) for start in times),
            default=0,
        )


class LimitTest(unittest.IsolatedAsyncioTestCase):
    """Routers share the limit of an upstream."""

    async def start(self, *upstreams, routers=ROUTERS, **fields):
        self.upstreams = upstreams
        self.routers = [
            await self.enterAsyncContext(
                entry_bench.EntryBench(upstreams, name=f"r{number}", **fields)
            )
            for number in range(routers)
        ]
        self.cut = set()
        reporting = asyncio.create_task(self.pass_reports())
        self.addCleanup(reporting.cancel)
        self.statuses = []

    async def pass_reports(self):
        while True:
            for sender in self.routers:
                if sender in self.cut:
                    continue
                packed = wire.pack(sender.view.take_report())
                for receiver in self.routers:
                    if receiver is sender or receiver in self.cut:
                        continue
                    unpacker = wire.Unpacker(message_type=peer_reports.Report)
                    for report in unpacker.feed(packed):
                        receiver.view.apply(report)
            await asyncio.sleep(REPORT_S)

    async def ask(self, router, number, **headers):
        with contextlib.suppress(OSError):
            status, _, _ = await router.ask(str(number), **headers)
            self.statuses.append(status)

    async def send_for(self, duration_s, period_s=PERIOD_S, **headers):
        """Sends requests through all routers in turn."""
        loop = asyncio.get_running_loop()
        until = loop.time() + duration_s
        number = 0
        async with asyncio.TaskGroup() as group:
            while loop.time() < until:
                router = self.routers[number % len(self.routers)]
                group.create_task(self.ask(router, number, **headers))
                number += 1
                await asyncio.sleep(period_s)

    async def test_limited_upstream_gets_what_it_takes_from_all_routers_together(self):
        limited = LimitedUpstream("u1", LIMIT_PER_S)
        free = LimitedUpstream("u2", None)
        await self.start(limited, free)
        started_at = asyncio.get_running_loop().time()
        await self.send_for(PLAYED_S)
        most = limited.count_most(started_at + KNOWN_AFTER_S)
        self.assertLessEqual(most, MAX_IN_WINDOW)
        self.assertEqual({200}, set(self.statuses))
