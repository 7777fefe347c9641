"""Requests that crash the upstreams that run them."""

import asyncio
import contextlib
import unittest

from teaselsill import http_messages, peer_reports, routing_table, wire
from tests import entry_bench

UPSTREAMS = 8
RESTART_S = 0.5
"""How long a crashed upstream is down."""
REPORT_S = 0.01
BEGIN_S = 0.02
"""How long an upstream that begins to run a deadly request lives on."""
EVENT_S = 0.01
EVENTS = 10
DEADLY = "deadly"
DEADLY_REQUESTS = 24
MAX_REQUESTS_AFTER_FIFTH_CRASH = 3
MAX_CRASHES = 5


class Engines:
    """Upstreams that crash when they begin to respond to a prompt with a deadly part.

    Attributes:
        crashes: How many times an upstream has crashed.
        deadly_after_fifth_crash: How many deadly requests came after the fifth crash.
    """

    def __init__(self):
        self.crashes = 0
        self.deadly_after_fifth_crash = 0
        self.upstreams = [self._make_upstream(n) for n in range(UPSTREAMS)]
        self._tasks = set()

    def _make_upstream(self, number):
        async def script(request, stream):
            stream.write(entry_bench.stream_head(request))
            if DEADLY not in request.get("parts").split(","):
                for event in range(1, EVENTS + 1):
                    stream.write(entry_bench.event(event))
                    await asyncio.sleep(EVENT_S)
                stream.write(http_messages.LAST_CHUNK)
                return
            self.deadly_after_fifth_crash += self.crashes >= MAX_CRASHES
            await asyncio.sleep(BEGIN_S)
            upstream = self.upstreams[number]
            if upstream.is_listening:
                self.crashes += 1
                upstream.crash()
                task = asyncio.create_task(self._restart(upstream))
                self._tasks.add(task)

        return entry_bench.ScriptedUpstream(f"u{number}", script)

    async def _restart(self, upstream):
        await asyncio.sleep(RESTART_S)
        await upstream.__aenter__()


class CrashingRequestsTest(unittest.IsolatedAsyncioTestCase):
    """Requests with one part in common crashed upstream after upstream."""

    async def start(self, **fields):
        self.engines = Engines()
        fields = {"is_stream": True, "timeout_s": 5.0} | fields
        self.routers = [
            await self.enterAsyncContext(
                entry_bench.EntryBench(self.engines.upstreams, name=name, **fields)
            )
            for name in ("r1", "r2")
        ]
        reporting = asyncio.create_task(self.pass_reports())
        self.addCleanup(reporting.cancel)

    async def pass_reports(self):
        first, second = (router.view for router in self.routers)
        while True:
            for sender, receiver in ((first, second), (second, first)):
                unpacker = wire.Unpacker(message_type=peer_reports.Report)
                for report in unpacker.feed(wire.pack(sender.take_report())):
                    receiver.apply(report)
            await asyncio.sleep(REPORT_S)

    async def ask(self, number, *parts):
        """Sends a request through one of the routers in turn."""
        bench = self.routers[number % len(self.routers)]
        own_part = f"own{number}"
        return await bench.ask(f"{number}", parts=",".join([*parts, own_part]))

    async def send_sound_requests(self):
        """Sends sound requests until it is cancelled; returns nothing."""
        number = 1000
        while True:
            async with asyncio.TaskGroup() as group:
                for subject in range(4):
                    number += 1
                    self.sound.append(
                        group.create_task(
                            self.ask(number, "system", f"subject{subject}")
                        )
                    )

    @contextlib.asynccontextmanager
    async def sound_load(self):
        self.sound = []
        load = asyncio.create_task(self.send_sound_requests())
        await asyncio.sleep(2 * EVENTS * EVENT_S)
        yield
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)

    async def check(self, **fields):
        await self.start(**fields)
        async with self.sound_load():
            for number in range(DEADLY_REQUESTS):
                await self.ask(number, "system", f"subject{number % 4}", DEADLY)
                await asyncio.sleep(0.05)
            begun = len(self.sound)
            await asyncio.sleep(8 * EVENTS * EVENT_S)
        after = [t for t in self.sound[begun:] if t.done() and not t.cancelled()]
        self.assertLessEqual(self.engines.crashes, MAX_CRASHES)
        self.assertLessEqual(
            self.engines.deadly_after_fifth_crash, MAX_REQUESTS_AFTER_FIFTH_CRASH
        )
        self.assertTrue(after)
        self.assertEqual({(200, True)}, {(t.result()[0], t.result()[2]) for t in after})

    async def test_requests_with_one_part_crash_few_upstreams(self):
        await self.check()

    async def test_resumable_requests_with_one_part_crash_few_upstreams(self):
        await self.check(repeat=routing_table.Repeat.RESUME, max_upstreams=3)
