import asyncio
import time
import unittest
import unittest.mock

from teaselsill import (
    announcements,
    boot_clock,
    caller_connection,
    crash_reports,
    http_messages,
    ids,
    open_attempts,
    quarantine_entry,
    retry_budget,
    routing_table,
    upstream_health,
    upstream_list,
)
from tests import entry_bench

NEVER = routing_table.Repeat.NEVER
FREELY = routing_table.Repeat.FREELY
RESUME = routing_table.Repeat.RESUME


def refuse_with(status, *headers):
    """Returns a script that sends a response without a body."""

    async def script(request, stream):
        head = [("id", request.get("id")), ("content-length", "0"), *headers]
        stream.write(http_messages.encode_head(status, "X", head))

    return script


async def hang(request, stream):
    await asyncio.sleep(60)


async def reset(request, stream):
    stream.abort()


class ForwardingCase(unittest.IsolatedAsyncioTestCase):
    async def start(self, *scripts, **fields):
        self.upstreams = [
            entry_bench.ScriptedUpstream(f"u{n}", script)
            for n, script in enumerate(scripts)
        ]
        bench = entry_bench.EntryBench(self.upstreams, **fields)
        return await self.enterAsyncContext(bench)

    def count_requests(self):
        return sum(len(upstream.requests) for upstream in self.upstreams)


class ResponseTest(ForwardingCase):
    async def test_forwards_a_request_and_its_response(self):
        bench = await self.start(entry_bench.respond_ok)
        self.assertEqual((200, b"ok", True), await bench.ask("7", body=b"order"))
        (request,) = self.upstreams[0].requests
        self.assertEqual((b"order", "/x/1"), (request.body, request.target))
        self.assertLessEqual(int(request.get("budget-ms")), 1000)

    async def test_time_budget_of_the_caller_and_the_route(self):
        bench = await self.start(entry_bench.respond_ok, timeout_s=0.8)
        await bench.ask("1", budget_ms="500")
        await bench.ask("2", budget_ms="5000")
        given = [int(r.get("budget-ms")) for r in self.upstreams[0].requests]
        self.assertTrue(0 < given[0] <= 500 < given[1] <= 800, given)

    async def test_unknown_route_and_key(self):
        bench = await self.start(entry_bench.respond_ok)
        bench.apply_configuration(2, keys={"k": "acc"})
        self.assertEqual(404, (await bench.ask(path="/y/"))[0])
        self.assertEqual(401, (await bench.ask())[0])
        self.assertEqual(401, (await bench.ask(key="other"))[0])
        self.assertEqual(200, (await bench.ask(key="k"))[0])

    async def test_without_configuration_requests_are_rejected_with_503(self):
        bench = await self.start(entry_bench.respond_ok)
        bench.forwarder.table = None
        self.assertEqual(503, (await bench.ask())[0])

    async def test_without_upstreams(self):
        bench = await self.start()
        caller = await bench.connect()
        self.assertEqual((503, b"", True), await caller.ask())
        self.assertIn(b"retry-after", caller.received)

    async def test_response_without_length_becomes_chunked(self):
        async def script(request, stream):
            fields = [("id", request.get("id")), ("seal", "s")]
            head = http_messages.encode_head(200, "OK", fields)
            stream.write(head + b"abc")
            await asyncio.sleep(0.05)
            stream.close()

        bench = await self.start(script)
        self.assertEqual((200, b"abc", True), await bench.ask())

    async def test_reset_response_does_not_look_complete(self):
        async def script(request, stream):
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            await asyncio.sleep(0.05)
            stream.abort()

        bench = await self.start(script, is_stream=True)
        status, body, is_complete = await bench.ask()
        self.assertEqual((200, False), (status, is_complete))
        self.assertIn(b"id: 1", body)

    async def test_response_without_seal_is_not_forwarded(self):
        async def script(request, stream):
            stream.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno")

        bench = await self.start(script)
        self.assertEqual((502, b"", True), await bench.ask())

    async def test_duplicate_response_never_reaches_the_next_request(self):
        async def script(request, stream):
            response = entry_bench.make_response(request, request.get("id").encode())
            stream.write(response + response)

        bench = await self.start(script)
        caller = await bench.connect()
        for request in ("1", "2", "3"):
            self.assertEqual((200, request.encode(), True), await caller.ask(request))

    async def test_late_duplicate_response_is_skipped(self):
        async def script(request, stream):
            name = request.get("id")
            if name == "2":
                first = self.upstreams[0].requests[0]
                stream.write(entry_bench.make_response(first, b"late"))
            stream.write(entry_bench.make_response(request, name.encode()))

        bench = await self.start(script)
        for request in ("1", "2"):
            self.assertEqual((200, request.encode(), True), await bench.ask(request))


def send_endlessly(start, piece):
    """Returns a script that sends bytes until its connection is closed."""

    async def script(request, stream):
        stream.write(start(request))
        while True:
            stream.write(piece)
            await stream.drain()
            await asyncio.sleep(0)

    return script


class EndlessBytesTest(ForwardingCase):
    async def test_endless_head_closes_the_connection(self):
        endless = send_endlessly(
            lambda request: b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 99
        )
        bench = await self.start(endless, timeout_s=30.0)
        async with asyncio.timeout(20.0):
            self.assertEqual((502, b"", True), await bench.ask())
            await self.upstreams[0].wait_disconnected()

    async def test_endless_event_is_retried_elsewhere(self):
        chunk = http_messages.encode_chunk(b"data: x\n" * 99)
        endless = send_endlessly(entry_bench.stream_head, chunk)

        async def second(request, stream):
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            stream.write(http_messages.LAST_CHUNK)

        fields = {"repeat": RESUME, "is_stream": True, "max_upstreams": 2}
        for scripts in ((endless, second), (second, endless)):
            bench = await self.start(*scripts, timeout_s=30.0, **fields)
            async with asyncio.timeout(20.0):
                status, body, is_complete = await bench.ask()
            self.assertEqual(
                (200, b"id: 1\ndata: x\n\n", True), (status, body, is_complete)
            )

    async def test_endless_body_is_aborted_at_the_deadline_and_counts_as_failure(self):
        def start(request):
            return (
                entry_bench.make_response(request).partition(b"content-length")[0]
                + b"\r\n"
            )

        bench = await self.start(send_endlessly(start, b"x" * 99), timeout_s=1.0)
        for request in range(upstream_health.MIN_FAILURES):
            self.assertEqual((200, False), (await bench.ask(str(request)))[::2])
        (candidate,) = bench.directory.candidates(
            bench.forwarder.table.service_by_name[entry_bench.SERVICE], set()
        )
        now = asyncio.get_running_loop().time()
        self.assertTrue(candidate.health.is_avoided(now))


class UpstreamHintsTest(ForwardingCase):
    async def test_upstream_that_announces_leaving_gets_no_more_requests(self):
        async def leave(request, stream):
            stream.write(entry_bench.make_response(request, headers=[("leaving", "1")]))

        bench = await self.start(leave, entry_bench.respond_ok)
        for request in range(20):
            self.assertEqual(200, (await bench.ask(str(request)))[0])
        self.assertLessEqual(len(self.upstreams[0].requests), 1)
        (reported,) = bench.view.take_report().leaving
        self.assertEqual("u0", reported.upstream)

    async def test_leaving_upstream_reported_by_another_router_is_avoided(self):
        bench = await self.start(entry_bench.respond_ok)
        upstream = self.upstreams[0].describe()
        other = entry_bench.fleet_view.FleetView(
            ids.InstanceId("o"), bench.directory, bench.router.describe_status
        )
        leaving = announcements.Announcement(is_leaving=True)
        candidate = bench.directory.find(upstream.id)
        other.note_announcement(candidate, leaving, sent_at=0.0)
        bench.view.apply(other.take_report())
        self.assertEqual(503, (await bench.ask())[0])

    async def test_upstream_that_wants_a_pause_gets_no_requests_meanwhile(self):
        busy = refuse_with(503, ("not-run", "1"), ("pause", "60"))
        bench = await self.start(busy, entry_bench.respond_ok)
        for request in range(20):
            self.assertEqual(200, (await bench.ask(str(request)))[0])
        self.assertEqual(1, len(self.upstreams[0].requests))

    async def test_retry_after_tells_when_the_first_pause_ends(self):
        busy = refuse_with(503, ("not-run", "1"), ("pause", "60"))
        bench = await self.start(busy, busy)
        caller = await bench.connect()
        await caller.ask("1")
        self.assertEqual(503, (await caller.ask("2"))[0])
        self.assertEqual(2, self.count_requests())
        self.assertRegex(caller.received, rb"retry-after: (60.00|[45]\d\.)")


class RepeatTest(ForwardingCase):
    async def test_unrepeatable_request_is_sent_once(self):
        bench = await self.start(reset, reset, repeat=NEVER, max_upstreams=3)
        self.assertEqual(502, (await bench.ask())[0])
        self.assertEqual(1, self.count_requests())

    async def test_repeatable_request_goes_to_another_upstream(self):
        bench = await self.start(reset, reset, repeat=FREELY, max_upstreams=2)
        self.assertEqual(502, (await bench.ask())[0])
        self.assertEqual([1, 1], [len(u.requests) for u in self.upstreams])

    async def test_server_error_is_retried_elsewhere_and_then_forwarded(self):
        async def fail(request, stream):
            stream.write(entry_bench.make_response(request, b"sorry", 500))

        bench = await self.start(fail, fail, repeat=FREELY, max_upstreams=2)
        self.assertEqual((500, b"sorry", True), await bench.ask())
        self.assertEqual(2, self.count_requests())

    async def test_unrepeatable_request_that_has_not_run_is_retried_elsewhere(self):
        busy = refuse_with(503, ("not-run", "1"))
        bench = await self.start(busy, entry_bench.respond_ok, repeat=NEVER)
        for request in range(4):
            self.assertEqual(200, (await bench.ask(str(request)))[0])

    async def test_request_refused_by_all_upstreams_may_be_retried(self):
        busy = refuse_with(503, ("not-run", "1"))
        bench = await self.start(busy, busy, repeat=NEVER)
        caller = await bench.connect()
        self.assertEqual(503, (await caller.ask())[0])
        self.assertIn(b"retry-after", caller.received)

    async def test_503_without_not_run_header_does_not_mean_not_run(self):
        for status in (408, 429, 503):
            with self.subTest(status=status):
                bench = await self.start(refuse_with(status), repeat=NEVER)
                self.assertEqual(502, (await bench.ask())[0])

    async def test_address_of_another_instance_is_not_used_again(self):
        bench = await self.start(refuse_with(421), entry_bench.respond_ok, repeat=NEVER)
        for request in range(4):
            self.assertEqual(200, (await bench.ask(str(request)))[0])
        self.assertLessEqual(len(self.upstreams[0].requests), 1)

    async def test_unrepeatable_request_is_retried_after_a_failed_connect(self):
        bench = await self.start(entry_bench.respond_ok, repeat=NEVER)
        for n in range(2):
            unreachable = self.upstreams[0].describe()
            unreachable = entry_bench.test_upstream_list.make_upstream(
                f"gone{n}", host=unreachable.host, port=1
            )
            bench.directory.listed.put(unreachable)
        for request in range(4):
            self.assertEqual(200, (await bench.ask(str(request)))[0])

    async def test_leaving_upstream_gets_no_request(self):
        bench = await self.start(entry_bench.respond_ok)
        leaving = upstream_list.State.LEAVING
        bench.directory.listed.put(self.upstreams[0].describe(leaving))
        self.assertEqual(503, (await bench.ask())[0])
        self.assertEqual(0, self.count_requests())

    async def test_slow_request_is_retried_elsewhere(self):
        bench = await self.start(
            hang, hang, repeat=FREELY, max_upstreams=2, timeout_s=1.2, objective_s=0.1
        )
        self.assertEqual(504, (await bench.ask())[0])
        self.assertEqual([1, 1], [len(u.requests) for u in self.upstreams])

    async def test_time_in_which_the_router_was_suspended_counts(self):
        """Requests past their deadline were sent after the machine was suspended.

        The event loop's clock does not advance while the machine is suspended.
        """
        suspended_s = 0.0
        now = boot_clock.now

        async def refuse_and_suspend(request, stream):
            nonlocal suspended_s
            suspended_s = 5.0
            await refuse_with(503, ("not-run", "1"))(request, stream)

        bench = await self.start(refuse_and_suspend, refuse_and_suspend, timeout_s=2.0)
        with unittest.mock.patch.object(boot_clock, "now", lambda: now() + suspended_s):
            self.assertEqual(503, (await bench.ask())[0])
        self.assertEqual(1, self.count_requests())

    async def test_retry_budget_bounds_all_requests_together(self):
        bench = await self.start(reset, reset, repeat=FREELY, max_upstreams=2)
        bench.forwarder.limit_retries(retry_budget.BudgetPolicy(0.0, 10.0, 2.0))
        for request in range(5):
            self.assertEqual(502, (await bench.ask(str(request)))[0])
        self.assertEqual(6, self.count_requests())


class StreamTest(ForwardingCase):
    def make_stream(self, breaks):
        """Returns a script that sends events 1 to 6.

        Args:
            breaks: The event before which each connection in turn is aborted.
        """
        remaining_breaks = list(breaks)

        async def script(request, stream):
            first = int(request.get("last") or 0) + 1
            stream.write(entry_bench.stream_head(request))
            end = remaining_breaks.pop(0) if remaining_breaks else None
            for number in range(first, 7):
                if number == end:
                    stream.write(http_messages.encode_chunk(b"id: 9\nda"))
                    await asyncio.sleep(0.02)
                    stream.abort()
                    return
                stream.write(entry_bench.event(number))
                await asyncio.sleep(0.005)
            stream.write(http_messages.LAST_CHUNK)

        return script

    async def test_broken_stream_is_resumed_without_gap_or_repeat(self):
        script = self.make_stream([4])
        bench = await self.start(
            script, script, repeat=RESUME, is_stream=True, max_upstreams=2
        )
        status, body, is_complete = await bench.ask()
        self.assertEqual((200, True), (status, is_complete))
        complete = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 7))
        self.assertEqual(complete, body)
        last_ids = [r.get("last") for u in self.upstreams for r in u.requests]
        self.assertEqual({None, "3"}, set(last_ids))

    async def test_error_response_is_never_appended_to_a_stream(self):
        async def fail(request, stream):
            status = 404 if request.get("last") else 200
            if status == 404:
                stream.write(entry_bench.make_response(request, b"none", status))
                return
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            await asyncio.sleep(0.02)
            stream.abort()

        bench = await self.start(
            fail, fail, repeat=RESUME, is_stream=True, max_upstreams=2
        )
        status, body, is_complete = await bench.ask()
        self.assertEqual((200, False), (status, is_complete))
        self.assertNotIn(b"none", body)

    async def test_stream_that_breaks_again_does_not_look_complete(self):
        script = self.make_stream([4, 5])
        bench = await self.start(
            script, script, repeat=RESUME, is_stream=True, max_upstreams=2
        )
        status, body, is_complete = await bench.ask()
        self.assertEqual((200, False), (status, is_complete))
        self.assertTrue(body.endswith(b"id: 4\ndata: x\n\n"), body)

    async def test_bytes_without_an_event_do_not_keep_a_stalled_stream_alive(self):
        """A stalled stream that still sent single bytes lasted until its deadline."""

        async def stall(request, stream):
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            while True:
                stream.write(http_messages.encode_chunk(b":"))
                await asyncio.sleep(0.1)

        script = self.make_stream([])

        async def stall_first(request, stream):
            await (script if request.get("last") else stall)(request, stream)

        bench = await self.start(
            stall_first,
            stall_first,
            repeat=RESUME,
            is_stream=True,
            max_upstreams=2,
            timeout_s=4.5,
        )
        status, body, is_complete = await bench.ask()
        self.assertEqual((200, True), (status, is_complete))
        self.assertEqual(6, body.count(b"id:"))

    async def test_slow_stream_is_not_moved_while_it_makes_progress(self):
        async def script(request, stream):
            stream.write(entry_bench.stream_head(request))
            for number in range(1, 4):
                stream.write(entry_bench.event(number))
                await asyncio.sleep(0.7)
            stream.write(http_messages.LAST_CHUNK)

        bench = await self.start(
            script, script, repeat=RESUME, is_stream=True, max_upstreams=2, timeout_s=4
        )
        self.assertEqual((200, True), (await bench.ask())[::2])
        self.assertEqual(1, self.count_requests())

    async def test_stream_is_not_moved_because_the_router_was_interrupted(self):
        """After an interruption of the router, all upstreams seemed to be silent.

        The router then restarted their streams at other upstreams.
        """

        async def script(request, stream):
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            await asyncio.sleep(0.1)
            stream.write(entry_bench.event(2) + http_messages.LAST_CHUNK)

        bench = await self.start(
            script, script, repeat=RESUME, is_stream=True, max_upstreams=2, timeout_s=4
        )
        measuring = asyncio.create_task(bench.lag.run())
        self.addCleanup(measuring.cancel)
        caller = await bench.connect()
        caller.send()
        await caller.receive_until(b"id: 1")
        asyncio.get_running_loop().call_soon(time.sleep, 1.2)
        await caller.receive_until(b"id: 2")
        self.assertEqual(1, self.count_requests())
        self.assertEqual(200, (await bench.ask("2"))[0])

    async def test_stream_that_may_not_be_repeated_is_not_resumed(self):
        script = self.make_stream([4])
        bench = await self.start(
            script, script, repeat=NEVER, is_stream=True, max_upstreams=2
        )
        self.assertFalse((await bench.ask())[2])
        self.assertEqual(1, self.count_requests())

    async def test_events_are_forwarded_as_they_arrive(self):
        go_on = asyncio.Event()

        async def script(request, stream):
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            await go_on.wait()
            stream.write(entry_bench.event(2) + http_messages.LAST_CHUNK)

        for repeat in (NEVER, RESUME):
            with self.subTest(repeat=repeat):
                go_on.clear()
                bench = await self.start(script, repeat=repeat, is_stream=True)
                caller = await bench.connect()
                caller.send()
                await caller.receive_until(b"id: 1")
                go_on.set()
                await caller.receive_until(b"id: 2")

    async def test_stream_is_aborted_at_its_route_timeout(self):
        async def script(request, stream):
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            await asyncio.sleep(60)

        bench = await self.start(script, is_stream=True, timeout_s=0.3)
        status, _, is_complete = await bench.ask()
        self.assertEqual((200, False), (status, is_complete))


class StreamWithoutLengthTest(ForwardingCase):
    """A stream may have neither a length nor chunks and end with its connection."""

    def make_stream(self, *ends):
        """Returns a script that sends events 1 to 6 and closes the connection.

        Args:
            ends: The bytes at which each connection in turn ends instead.
        """
        remaining_ends = list(ends)

        async def script(request, stream):
            fields = [
                ("id", request.get("id")),
                ("seal", "s"),
                ("content-type", "text/event-stream"),
            ]
            stream.write(http_messages.encode_head(200, "OK", fields))
            first = int(request.get("last") or 0) + 1
            sent = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(first, 7))
            if remaining_ends:
                end = remaining_ends.pop(0)
                sent = sent[: sent.index(end) + len(end)]
            for start in range(0, len(sent), 5):
                stream.write(sent[start : start + 5])
                await asyncio.sleep(0.002)
            stream.close()

        return script

    async def ask(self, script, **fields):
        bench = await self.start(script, script, is_stream=True, **fields)
        return await bench.ask()

    async def test_complete_stream(self):
        for fields in ({}, {"repeat": RESUME}):
            status, body, is_complete = await self.ask(self.make_stream(), **fields)
            self.assertEqual((200, True), (status, is_complete))
            self.assertEqual(6, body.count(b"data: x\n\n"))

    async def test_stream_that_ends_inside_an_event_does_not_look_complete(self):
        for end in (b"id: 3\nda", b"id: 3\ndata: x\n", b"id: 3", b"i"):
            status, _, is_complete = await self.ask(self.make_stream(end))
            self.assertEqual((200, False), (status, is_complete), end)

    async def test_stream_that_ends_inside_an_event_is_resumed(self):
        status, body, is_complete = await self.ask(
            self.make_stream(b"id: 4\ndat"), repeat=RESUME, max_upstreams=2
        )
        self.assertEqual((200, True), (status, is_complete))
        complete = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 7))
        self.assertEqual(complete, body)

    async def test_comment_at_the_end_is_no_event(self):
        async def script(request, stream):
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            stream.write(http_messages.encode_chunk(b": bye\r\n"))
            stream.write(http_messages.LAST_CHUNK)

        for fields in ({}, {"repeat": RESUME}):
            self.assertTrue((await self.ask(script, **fields))[2])

    async def test_stream_with_a_length_that_ends_inside_an_event(self):
        async def script(request, stream):
            fields = [("content-type", "text/event-stream")]
            body = b"id: 1\ndata: x\n\nid: 2\nda"
            stream.write(entry_bench.make_response(request, body, headers=fields))

        self.assertFalse((await self.ask(script))[2])

    async def test_response_to_head_has_no_chunks(self):
        async def script(request, stream):
            stream.write(entry_bench.stream_head(request))

        for fields in ({}, {"repeat": RESUME}):
            bench = await self.start(script, is_stream=True, **fields)
            caller = await bench.connect()
            for request in ("1", "2"):
                caller.send(request, method="HEAD")
                await caller.receive_until(b"\r\n\r\n")
                self.assertTrue(caller.received.startswith(b"HTTP/1.1 200"))
                self.assertEqual(1, caller.received.count(b"\r\n\r\n"))

    async def test_response_that_is_no_stream_may_end_anywhere(self):
        async def script(request, stream):
            stream.write(entry_bench.make_response(request, b"error", status=404))

        self.assertEqual((404, b"error", True), await self.ask(script))

    async def test_broken_stream_to_a_caller_without_chunks_is_reset(self):
        """A caller of HTTP/1.0 knows only by the reset that it is not complete."""
        script = self.make_stream(b"id: 3\nda")
        bench = await self.start(script, is_stream=True)
        caller = await bench.connect()
        caller.send_bytes(b"POST /x/1 HTTP/1.0\r\nhost: a.example\r\nid: 1\r\n\r\n")
        status, _, is_complete = await caller.receive()
        self.assertEqual((200, False), (status, is_complete))


class CallerDisconnectTest(ForwardingCase):
    async def test_log_shows_how_long_the_upstream_had_been_silent(self):
        go_on = asyncio.Event()
        bench = await self.start(
            entry_bench.stream_until(go_on), is_stream=True, timeout_s=30.0
        )
        caller = await bench.connect()
        with self.assertLogs("teaselsill.forwarding", "WARNING") as logs:
            caller.send()
            await caller.receive_until(b"id: 1")
            await asyncio.sleep(0.1)
            caller.abort()
            await self.upstreams[0].wait_disconnected()
            await asyncio.sleep(0.05)
        (record,) = logs.records
        self.assertEqual("caller-gone", record.ending)
        self.assertGreaterEqual(record.quiet_ms, 100)

    async def test_request_is_cancelled_at_the_upstream_when_the_caller_leaves(self):
        began = asyncio.Event()

        async def script(request, stream):
            began.set()
            await asyncio.sleep(60)

        for repeat in (NEVER, FREELY, RESUME):
            with self.subTest(repeat=repeat):
                began.clear()
                bench = await self.start(script, repeat=repeat, timeout_s=30.0)
                caller = await bench.connect()
                caller.send()
                async with asyncio.timeout(5.0):
                    await began.wait()
                caller.abort()
                await self.upstreams[0].wait_disconnected()
                self.assertEqual(0, bench.forwarder.active_requests)


class PatienceTest(ForwardingCase):
    """A busy router noticed late that callers had abandoned their streams."""

    async def check_given_up(self, script, **fields):
        """Checks that a caller that stays gets no complete response, from one run."""
        bench = await self.start(
            script, script, is_stream=True, max_upstreams=2, timeout_s=30.0, **fields
        )
        status, _, is_complete = await bench.ask()
        (used,) = [each for each in self.upstreams if each.requests]
        await used.wait_disconnected()
        self.assertEqual(1, len(used.requests))
        self.assertEqual(0, bench.forwarder.active_requests)
        return status, is_complete

    async def test_stream_without_a_first_event_is_given_up(self):
        async def script(request, stream):
            await asyncio.sleep(60)

        for repeat in (NEVER, RESUME):
            with self.subTest(repeat=repeat):
                status, _ = await self.check_given_up(
                    script, repeat=repeat, patience_s=0.3
                )
                self.assertEqual(502, status)

    async def test_stream_that_pauses_for_too_long_is_given_up(self):
        async def script(request, stream):
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            await asyncio.sleep(60)

        for repeat in (NEVER, RESUME):
            with self.subTest(repeat=repeat):
                status, is_complete = await self.check_given_up(
                    script, repeat=repeat, patience_s=0.3
                )
                self.assertEqual((200, False), (status, is_complete))

    async def test_stream_with_shorter_pauses_goes_on(self):
        async def script(request, stream):
            stream.write(entry_bench.stream_head(request))
            for number in range(1, 6):
                stream.write(entry_bench.event(number))
                await asyncio.sleep(0.2)
            stream.write(http_messages.LAST_CHUNK)

        bench = await self.start(script, is_stream=True, timeout_s=9, patience_s=0.5)
        self.assertEqual((200, True), (await bench.ask())[::2])

    async def test_caller_that_takes_its_response_slowly_has_not_abandoned_it(self):
        """A stream was given up while its caller had not taken what there was."""
        taken = asyncio.Event()
        write_at_once = caller_connection.CallerResponse.write

        async def write(response, data):
            await asyncio.sleep(1.0)
            taken.set()
            await write_at_once(response, data)

        async def script(request, stream):
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            await taken.wait()
            stream.write(entry_bench.event(2) + http_messages.LAST_CHUNK)

        bench = await self.start(script, is_stream=True, timeout_s=9, patience_s=0.3)
        with unittest.mock.patch.object(
            caller_connection.CallerResponse, "write", write
        ):
            self.assertEqual((200, True), (await bench.ask())[::2])


class QuarantineTest(ForwardingCase):
    """Requests with a prompt part that crashes upstreams."""

    async def start(self, *scripts, **fields):
        bench = await super().start(*scripts, **fields)
        self.quarantine = bench.view.quarantine
        return bench

    def put_under_quarantine(self, part="bad", age_s=0.0):
        now = asyncio.get_running_loop().time()
        quarantined = crash_reports.QuarantinedPart(ids.PartKey(part), age_s, 0)
        self.quarantine.apply(crash_reports.News(quarantined=[quarantined]), now)

    async def test_request_is_rejected_at_once_and_not_sent(self):
        bench = await self.start(entry_bench.respond_ok)
        self.put_under_quarantine()
        caller = await bench.connect()
        self.assertEqual((503, b"", True), await caller.ask(parts="first,bad,own"))
        self.assertRegex(caller.received, rb"retry-after: 1[45]\.")
        self.assertEqual(0, self.count_requests())

    async def test_requests_with_the_other_parts_are_served(self):
        bench = await self.start(entry_bench.respond_ok)
        self.put_under_quarantine()
        for number, parts in enumerate(("first,own", "first,other,own", "own", "bad")):
            self.assertEqual(200, (await bench.ask(f"{number}", parts=parts))[0])

    async def test_rejected_requests_do_not_count_as_demand_of_their_account(self):
        bench = await self.start(entry_bench.respond_ok)
        bench.apply_configuration(2, keys={"k": "acc"})
        self.put_under_quarantine()
        await bench.ask(parts="bad,own", key="k")
        now = asyncio.get_running_loop().time()
        self.assertEqual({}, bench.view.usage.list_shares(now))

    async def test_request_that_waits_at_an_upstream_is_aborted(self):
        """It may have run, so it is not said that it has not."""

        received = asyncio.Event()

        async def wait(request, stream):
            received.set()
            await asyncio.sleep(5.0)

        bench = await self.start(wait)
        caller = await bench.connect()
        caller.send(parts="bad,own", budget_ms="5000")
        async with asyncio.timeout(5.0):
            await received.wait()
        self.put_under_quarantine()
        self.assertEqual((502, b"", True), await caller.receive())
        await self.upstreams[0].wait_disconnected()

    async def test_response_under_way_ends_a_wrong_quarantine(self):
        go_on = asyncio.Event()

        async def script(request, stream):
            stream.write(entry_bench.stream_head(request) + entry_bench.event(1))
            await go_on.wait()
            stream.write(entry_bench.event(2))
            await asyncio.sleep(0.05)
            stream.write(http_messages.LAST_CHUNK)

        bench = await self.start(script, is_stream=True, timeout_s=5.0)
        caller = await bench.connect()
        caller.send(parts="bad,own")
        await caller.receive_until(b"id: 1")
        self.put_under_quarantine(age_s=0.5)
        await asyncio.sleep(open_attempts.BEGINNING_S)
        go_on.set()
        await caller.receive_until(b"id: 2")
        self.assertEqual([], self.quarantine.list_parts())
        await caller.receive_until(http_messages.LAST_CHUNK)

    async def test_trial_that_is_served_ends_the_quarantine(self):
        bench = await self.start(entry_bench.respond_ok)
        self.put_under_quarantine(age_s=quarantine_entry.TRIAL_AFTER_S)
        for number in range(3):
            self.assertEqual(200, (await bench.ask(f"{number}", parts="bad,own"))[0])
        self.assertEqual([], self.quarantine.list_parts())

    async def test_only_one_trial_is_under_way(self):
        go_on = asyncio.Event()
        script = entry_bench.stream_until(go_on)
        bench = await self.start(script, is_stream=True)
        self.put_under_quarantine(age_s=quarantine_entry.TRIAL_AFTER_S)
        caller = await bench.connect()
        caller.send(parts="bad,own")
        await caller.receive_until(b"id: 1")
        self.assertEqual(503, (await bench.ask("2", parts="bad,own"))[0])
        go_on.set()

    async def test_one_of_two_due_requests_waits_for_the_claim_and_is_tried(self):
        bench = await self.start(entry_bench.respond_ok)
        bench.view.find_claim_s = lambda: 0.1
        self.put_under_quarantine(age_s=quarantine_entry.TRIAL_AFTER_S)
        async with asyncio.TaskGroup() as group:
            asked = [
                group.create_task(bench.ask(f"{number}", parts="bad,own"))
                for number in range(2)
            ]
        statuses = sorted(task.result()[0] for task in asked)
        self.assertEqual([200, 503], statuses)
        self.assertEqual(1, self.count_requests())

    async def test_due_request_is_rejected_if_another_router_has_a_better_claim(self):
        bench = await self.start(entry_bench.respond_ok)
        bench.view.find_claim_s = lambda: 0.1
        self.put_under_quarantine(age_s=quarantine_entry.TRIAL_AFTER_S)
        claimed = asyncio.Event()
        self.quarantine.outbox.on_news = claimed.set
        caller = await bench.connect()
        caller.send(parts="bad,own")
        await claimed.wait()
        claim = crash_reports.TrialClaim(ids.PartKey("bad"), 0.0, -1)
        news = crash_reports.News(claims=[claim])
        self.quarantine.apply(news, asyncio.get_running_loop().time())
        self.assertEqual(503, (await caller.receive())[0])
        self.assertEqual(0, self.count_requests())

    async def test_request_that_was_beginning_at_two_crashes_is_not_sent_again(self):
        async def crash(request, stream):
            stream.write(entry_bench.stream_head(request))
            await asyncio.sleep(0.02)
            upstream = next(u for u in self.upstreams if request in u.requests)
            upstream.crash()

        fields = {"repeat": RESUME, "is_stream": True, "max_upstreams": 5}
        bench = await self.start(*[crash] * 5, **fields)
        self.assertEqual((200, b"", False), await bench.ask(parts="x,own"))
        self.assertEqual(2, self.count_requests())
