"""Sound upstreams that fall silent for a second or so and then go on."""

import asyncio
import contextlib
import enum
import unittest

from teaselsill import http_messages, ids, routing_table
from tests import entry_bench, offload_bench

SILENT_S = 1.4
"""How long the upstream is silent."""
ASKED_AFTER_S = 1.0
"""How long it has been silent when another request is sent."""
SEVERAL = 3
FIRST_PART, SECOND_PART = b"id: 2\nda", b"ta: x\n\n"
LATER_REQUESTS = 20
GIVE_UP_S = 2.0
"""The shortest gap after which callers abandon a stream."""


class Point(enum.Enum):
    """Where in its responses an upstream falls silent."""

    BEFORE_HEAD = enum.auto()
    BETWEEN_EVENTS = enum.auto()
    IN_EVENT = enum.auto()


class PausingUpstream:
    """Streams of three events; once, all of them pause at the same point.

    Args:
        point: The point.
        requests: How many requests must have reached it before the silence begins.
        silent_s: How long the silence lasts, in seconds.

    Attributes:
        began: Set when the silence begins.
        ended: Set when the upstream goes on.
    """

    def __init__(self, point, requests, silent_s=SILENT_S):
        self.began = asyncio.Event()
        self.ended = asyncio.Event()
        self._point = point
        self._missing = requests
        self._silent_s = silent_s

    async def run(self, request, stream):
        """The script; see `ScriptedUpstream`."""
        await self._reach(Point.BEFORE_HEAD)
        stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
        await self._reach(Point.BETWEEN_EVENTS)
        stream.write(http_messages.encode_chunk(FIRST_PART))
        await self._reach(Point.IN_EVENT)
        stream.write(http_messages.encode_chunk(SECOND_PART) + entry_bench.event(3))
        stream.write(http_messages.LAST_CHUNK)

    async def _reach(self, point):
        if self.began.is_set():
            await self.ended.wait()
            return
        if point is not self._point:
            return
        self._missing -= 1
        if not self._missing:
            self.began.set()
            asyncio.get_running_loop().call_later(self._silent_s, self.ended.set)
        await self.ended.wait()


async def respond_with_events(request, stream):
    """A script that sends the three events at once."""
    stream.write(entry_bench.stream_head(request))
    for number in range(1, 4):
        stream.write(entry_bench.event(number))
    stream.write(http_messages.LAST_CHUNK)


class SilenceCase(unittest.IsolatedAsyncioTestCase):
    """Responses of an upstream that is silent for a while are delivered as they are.

    Attributes:
        requests: How many requests are in progress there.
        upstream: The upstream; the tests add another one when it is silent.
    """

    requests = 1

    async def start(self, script):
        """Starts one router or several; returns the one for the callers, and all."""
        self.upstream = entry_bench.ScriptedUpstream("u", script)
        bench = await self.start_router("r", 1.0)
        return bench, [bench]

    async def start_router(self, name, cores):
        bench = entry_bench.EntryBench([self.upstream], name, cores, **self.fields)
        return await self.enterAsyncContext(bench)

    async def check(self, point, repeat):
        self.fields = {
            "repeat": repeat,
            "is_stream": repeat is not routing_table.Repeat.FREELY,
            "max_upstreams": 1 if repeat is routing_table.Repeat.NEVER else 3,
            "timeout_s": 10.0,
            "pause_s": 0.2,
        }
        pausing = PausingUpstream(point, self.requests)
        bench, all_benches = await self.start(pausing.run)
        with self.assert_nothing_counted(all_benches):
            names = {f"{number}" for number in range(self.requests)}
            responses = [asyncio.create_task(self.ask(bench, name)) for name in names]
            async with asyncio.timeout(5.0):
                await pausing.began.wait()
            await self.add_another_upstream(all_benches)
            await asyncio.sleep(ASKED_AFTER_S)
            await self.ask(bench, "meanwhile")
            await asyncio.gather(*responses)
            seen = [request.get("id") for request in self.upstream.requests]
            self.assertEqual(sorted(names), sorted(set(seen) - {"meanwhile"}))
            self.assertEqual(len(set(seen)), len(seen))
            self.assertFalse(names & {r.get("id") for r in self.another.requests})
            await self.check_used_again(bench, len(seen))
        self.assert_not_avoided(all_benches)

    async def ask(self, bench, name):
        """Sends a request and checks that its response is complete."""
        status, body, is_complete = await bench.ask(name, parts=f"system,own{name}")
        self.assertEqual((200, True), (status, is_complete), name)
        sent = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 4))
        self.assertEqual(sent, body, name)

    async def add_another_upstream(self, benches):
        self.another = entry_bench.ScriptedUpstream("another", respond_with_events)
        await self.enterAsyncContext(self.another)
        for bench in benches:
            bench.directory.listed.put(self.another.describe())

    async def check_used_again(self, bench, seen):
        """Checks that new requests go at once to the upstream that was silent."""
        for number in range(LATER_REQUESTS):
            await self.ask(bench, f"later{number}")
            if len(self.upstream.requests) > seen:
                return
        self.fail("the upstream gets no more requests")

    @contextlib.contextmanager
    def assert_nothing_counted(self, benches):
        """Checks that no attempt fails, and no upstream is avoided or crashed."""
        with (
            self.assertNoLogs("teaselsill.open_attempts"),
            self.assertNoLogs("teaselsill.upstream_health"),
            self.assertNoLogs("teaselsill.crash_detector"),
        ):
            yield
        for bench in benches:
            page = bench.metrics.render(0.0, bench.view.usage)
            self.assertNotIn(b"\nteaselsill_upstream_crashes_total{", page)
            self.assertEqual([], bench.view.quarantine.list_parts())

    def assert_not_avoided(self, benches):
        now = asyncio.get_running_loop().time()
        for bench in benches:
            candidate = bench.directory.find(ids.UpstreamId(self.upstream.name))
            self.assertFalse(candidate.health.is_avoided(now))


class SilenceTests:
    """The tests; each has a point in the responses and a kind of route."""

    async def test_unrepeatable_before_the_head(self):
        await self.check(Point.BEFORE_HEAD, routing_table.Repeat.NEVER)

    async def test_unrepeatable_between_two_events(self):
        await self.check(Point.BETWEEN_EVENTS, routing_table.Repeat.NEVER)

    async def test_unrepeatable_in_an_event(self):
        await self.check(Point.IN_EVENT, routing_table.Repeat.NEVER)

    async def test_repeatable_before_the_head(self):
        await self.check(Point.BEFORE_HEAD, routing_table.Repeat.FREELY)

    async def test_repeatable_between_two_events(self):
        await self.check(Point.BETWEEN_EVENTS, routing_table.Repeat.FREELY)

    async def test_repeatable_in_an_event(self):
        await self.check(Point.IN_EVENT, routing_table.Repeat.FREELY)

    async def test_resumable_before_the_head(self):
        await self.check(Point.BEFORE_HEAD, routing_table.Repeat.RESUME)

    async def test_resumable_between_two_events(self):
        await self.check(Point.BETWEEN_EVENTS, routing_table.Repeat.RESUME)

    async def test_resumable_in_an_event(self):
        await self.check(Point.IN_EVENT, routing_table.Repeat.RESUME)


class PassedOnCase(SilenceCase):
    """The same through a busy router that passes its requests on."""

    async def start(self, script):
        """See `SilenceCase.start`."""
        bench = offload_bench.OffloadBench(script, **self.fields)
        await self.enterAsyncContext(bench)
        self.upstream = bench.upstreams[0]
        return bench.busy, [bench.busy, bench.other]


class OneRequestTest(SilenceTests, SilenceCase):
    """One request is in progress at the upstream."""


class SeveralRequestsTest(SilenceTests, SilenceCase):
    """Several requests are in progress at the upstream."""

    requests = SEVERAL


class PassedOnRequestTest(SilenceTests, PassedOnCase):
    """One request that was passed on is in progress at the upstream."""


class SeveralPassedOnRequestsTest(SilenceTests, PassedOnCase):
    """Several requests that were passed on are in progress at the upstream."""

    requests = SEVERAL


class OtherUpstreamCase(unittest.IsolatedAsyncioTestCase):
    """Another upstream is there while the first one is silent."""

    async def start(self, script, **fields):
        self.upstream = entry_bench.ScriptedUpstream("u", script)
        bench = entry_bench.EntryBench([self.upstream], **fields)
        return await self.enterAsyncContext(bench)

    async def add_another_upstream(self, bench):
        self.another = entry_bench.ScriptedUpstream("another", respond_with_events)
        await self.enterAsyncContext(self.another)
        bench.directory.listed.put(self.another.describe())


class DarkUpstreamTest(OtherUpstreamCase):
    """An upstream that never goes on is given up in time."""

    async def test_stream_is_resumed_before_its_caller_abandons_it(self):
        for point in Point:
            with self.subTest(point=point):
                pausing = PausingUpstream(point, requests=1, silent_s=60.0)
                bench = await self.start(
                    pausing.run,
                    repeat=routing_table.Repeat.RESUME,
                    is_stream=True,
                    max_upstreams=2,
                    timeout_s=10.0,
                )
                caller = await bench.connect()
                caller.send()
                async with asyncio.timeout(5.0):
                    await pausing.began.wait()
                await self.add_another_upstream(bench)
                async with asyncio.timeout(GIVE_UP_S):
                    await caller.receive_until(b"id: 3")

    async def test_call_is_answered_elsewhere_before_its_deadline(self):
        bench = await self.start(
            PausingUpstream(Point.BEFORE_HEAD, requests=1, silent_s=60.0).run,
            repeat=routing_table.Repeat.FREELY,
            max_upstreams=2,
            timeout_s=1.0,
        )
        calling = asyncio.create_task(bench.ask())
        async with asyncio.timeout(5.0):
            while not self.upstream.requests:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        await self.add_another_upstream(bench)
        self.assertEqual((200, True), (await calling)[::2])


class ShortDeadlineTest(OtherUpstreamCase):
    """Calls that cannot outlast a silence are answered elsewhere."""

    async def test_upstream_is_not_avoided_for_them(self):
        pausing = PausingUpstream(Point.BEFORE_HEAD, requests=1)
        fields = {"repeat": routing_table.Repeat.FREELY, "max_upstreams": 2}
        bench = await self.start(pausing.run, timeout_s=1.0, **fields)
        with self.assertNoLogs("teaselsill.upstream_health"):
            asking = [
                asyncio.create_task(bench.ask(f"{number}")) for number in range(5)
            ]
            async with asyncio.timeout(5.0):
                await pausing.began.wait()
            await self.add_another_upstream(bench)
            for status, _, is_complete in await asyncio.gather(*asking):
                self.assertEqual((200, True), (status, is_complete))
            await pausing.ended.wait()
            for number in range(10):
                await bench.ask(f"later{number}")
