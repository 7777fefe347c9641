"""Requests that crash upstreams, sent through processes of entry routers."""

import asyncio
import contextlib
import pathlib
import tempfile
import unittest

from teaselsill import http_messages, peer_reports, tcp_stream
from tests import entry_bench
from tests.adapter import soak, store_bench

ROUTERS = 3
FIRST_NUMBER = 10
"""Routers of each test have numbers, and with them addresses, of their own."""
ENGINES = 6
RESTART_S = 0.4
BEGIN_S = 0.05
EVENTS = 8
EVENT_S = 0.02
DEADLY = "deadly"
MAX_CRASHES = 5
MAX_REQUESTS_AFTER_FIFTH_CRASH = 3
PATH = f"{soak.Repeat.RESUME.value}1"
"""A route whose streams may be sent to two upstreams."""


class Engine:
    """An upstream that crashes when it begins to respond to a deadly part.

    Args:
        number: Its number.
        fleet: The fleet that it belongs to.
    """

    def __init__(self, number, fleet):
        self.server = entry_bench.ScriptedUpstream(f"i-{number}", self._respond)
        self._fleet = fleet
        self._born = 1

    async def _respond(self, request, stream):
        fields = [
            ("teaselsill-attempt-id", request.get("teaselsill-attempt-id")),
            ("teaselsill-server-seal", "s"),
            ("content-type", "text/event-stream"),
            ("transfer-encoding", "chunked"),
        ]
        stream.write(http_messages.encode_head(200, "OK", fields))
        parts = request.get("teaselsill-prompt-prefix").split(",")
        if f"{DEADLY}:100" not in parts:
            for number in range(1, EVENTS + 1):
                stream.write(entry_bench.event(number))
                await asyncio.sleep(EVENT_S)
            stream.write(http_messages.LAST_CHUNK)
            return
        self._fleet.deadly_arrivals.append(self._fleet.crashes)
        await asyncio.sleep(BEGIN_S)
        if self.server.is_listening:
            self._fleet.crashes += 1
            self._fleet.start(self._restart())
            self.server.crash()

    async def _restart(self):
        await asyncio.sleep(RESTART_S)
        await self.server.__aenter__()
        self._born += 1
        self._fleet.store.register(self.server, born=self._born)


class Fleet(contextlib.AsyncExitStack):
    """Routers as processes, a store and engines.

    Attributes:
        store: The store.
        routers: The routers.
        crashes: How many times an engine has crashed.
        deadly_arrivals: For each deadly request that has reached an engine, how many
            crashes there had been.
    """

    def __init__(self, folder, first_number=FIRST_NUMBER):
        super().__init__()
        self._numbers = range(first_number, first_number + ROUTERS)
        self.store = store_bench.KeyedStore()
        self.crashes = 0
        self.deadly_arrivals = []
        self.routers = []
        self._folder = folder
        self._engines = [Engine(number, self) for number in range(ENGINES)]
        self._tasks = set()
        self._requests = 0

    async def __aenter__(self):
        """Starts everything."""
        await self.enter_async_context(self.store)
        self.store.put("keyed.op", "config", soak.make_manifest())
        for engine in self._engines:
            await self.enter_async_context(engine.server)
            self.store.register(engine.server)
        store = self.store.describe()
        for number in self._numbers:
            router = soak.Router(number, f"{store.host}:{store.port}", self._folder)
            self.push_async_callback(router.close)
            self.routers.append(router)
            await router.start()
        await asyncio.gather(*[router.wait_ready() for router in self.routers])
        return self

    def start(self, coroutine):
        """Starts a task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def ask(self, router, *parts):
        """Sends a request; returns its status and whether its response was complete."""
        self._requests += 1
        prompt = [*parts, f"own{self._requests}"]
        head = [
            ("host", "ficu95.example"),
            ("teaselsill-attempt-id", f"{self._requests:08x}"),
            ("teaselsill-time-budget-ms", "3000"),
            ("teaselsill-token-usage", f"{100 * len(prompt)},10"),
            ("teaselsill-prompt-prefix", ",".join(f"{part}:100" for part in prompt)),
        ]
        caller = entry_bench.Caller(await tcp_stream.connect(router.host, 8783, 1.0))
        try:
            caller.send_bytes(http_messages.encode_request("POST", PATH, head, b""))
            status, _, is_complete = await caller.receive()
        finally:
            caller.abort()
        return status, is_complete


class CrashingRequestsTest(unittest.IsolatedAsyncioTestCase):
    """Requests with one part in common crashed upstream after upstream."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = await self.enterAsyncContext(Fleet(pathlib.Path(folder.name)))

    async def send_sound(self, router):
        for number in range(1000):
            await self.fleet.ask(router, "system", f"thing{number % 3}")

    async def send_deadly(self, count):
        results = []
        for number in range(count):
            router = self.fleet.routers[number % ROUTERS]
            parts = "system", f"thing{number % 3}", DEADLY
            results.append(await self.fleet.ask(router, *parts))
            await asyncio.sleep(0.1)
        return results

    async def test_few_upstreams_crash_and_a_restarted_router_is_told(self):
        load = [
            asyncio.create_task(self.send_sound(router))
            for router in self.fleet.routers
        ]
        await asyncio.sleep(peer_reports.SETTLED_S)
        results = await self.send_deadly(15)
        self.assertEqual([(503, True)] * 5, results[-5:])
        load[0].cancel()
        restarted = self.fleet.routers[0]
        await restarted.apply_failure(soak.FailureKind.KILLED, 0.0)
        await asyncio.sleep(0.5)
        self.assertEqual([(503, True)] * 3, (await self.send_deadly(9))[::ROUTERS])
        for router in self.fleet.routers:
            self.assertEqual(
                (200, True), await self.fleet.ask(router, "system", "thing0")
            )
        for task in load:
            task.cancel()
        self.assertLessEqual(self.fleet.crashes, MAX_CRASHES)
        late = [crashes for crashes in self.fleet.deadly_arrivals if crashes >= 5]
        self.assertLessEqual(len(late), MAX_REQUESTS_AFTER_FIFTH_CRASH)
