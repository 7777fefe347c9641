import asyncio
import dataclasses
import socket
import time
import unittest
import unittest.mock

from teaselsill import caller_connection, entry_router, http_messages, tcp_stream
from tests import entry_bench


class EntryCase(unittest.IsolatedAsyncioTestCase):
    async def start(self, script=entry_bench.respond_ok, **fields):
        self.upstream = entry_bench.ScriptedUpstream("u", script)
        return await self.enterAsyncContext(
            entry_bench.EntryBench([self.upstream], **fields)
        )


class StopTest(EntryCase):
    async def test_request_in_progress_is_finished_and_its_connection_closed(self):
        go_on = asyncio.Event()
        script = entry_bench.stream_until(go_on)
        bench = await self.start(script, is_stream=True, timeout_s=30.0)
        caller = await bench.connect()
        caller.send()
        await caller.receive_until(b"id: 1")
        stopping = asyncio.create_task(bench.router.stop())
        await asyncio.sleep(0.05)
        self.assertEqual(503, bench.router.render_readiness().status)
        go_on.set()
        await caller.receive_until(http_messages.LAST_CHUNK)
        await caller.wait_closed()
        async with asyncio.timeout(8.0):
            await stopping

    async def test_new_connections_are_served_until_the_balancer_has_noticed(self):
        bench = await self.start()
        stopping = asyncio.create_task(bench.router.stop())
        await asyncio.sleep(0.05)
        caller = await bench.connect()
        self.assertEqual((200, b"ok", True), await caller.ask())
        self.assertIn(b"connection: close", caller.received)
        stopping.cancel()

    async def test_idle_connections_do_not_delay_the_stop(self):
        bench = await self.start()
        caller = await bench.connect()
        await caller.ask()
        async with asyncio.timeout(entry_bench.entry_router.LISTEN_AFTER_STOP_S + 2):
            await bench.router.stop()
        await caller.wait_closed()
        with self.assertRaises(tcp_stream.ConnectionFailedError):
            await bench.connect()

    async def test_request_accepted_during_the_stop_is_answered(self):
        """Connections accepted just before the listener closed were closed unread."""
        for rounds in range(6):
            with self.subTest(rounds=rounds):
                bench = await self.start()
                with unittest.mock.patch.object(
                    entry_bench.entry_router, "LISTEN_AFTER_STOP_S", 0.0
                ):
                    stopping = asyncio.create_task(bench.router.stop())
                    for _ in range(rounds):
                        await asyncio.sleep(0)
                    try:
                        late = socket.create_connection((entry_bench.HOST, bench.port))
                    except ConnectionRefusedError:
                        continue
                    late.sendall(
                        b"POST /x/1 HTTP/1.1\r\nhost: a.example\r\nid: 1\r\n\r\n"
                    )
                    reading = asyncio.create_task(asyncio.to_thread(late.recv, 100))
                    async with asyncio.timeout(8.0):
                        await stopping
                        bench.router.close()
                        self.assertRegex(await reading, rb"HTTP/1.1 (200|503) ")
                late.close()


class CallerConnectionTest(EntryCase):
    async def test_many_requests_on_one_connection(self):
        bench = await self.start()
        caller = await bench.connect()
        for number in range(5):
            self.assertEqual(200, (await caller.ask(str(number)))[0])
        self.assertEqual(1, self.upstream.connections)

    async def test_overloaded_router_closes_connections_after_the_response(self):
        bench = await self.start()
        bench.lag.is_overloaded = True
        self.assertEqual(503, bench.router.render_readiness().status)
        caller = await bench.connect()
        self.assertEqual((200, b"ok", True), await caller.ask())
        self.assertIn(b"connection: close", caller.received)
        await caller.wait_closed()

    async def test_overload_does_not_close_a_connection_unannounced(self):
        go_on = asyncio.Event()
        script = entry_bench.stream_until(go_on)
        bench = await self.start(script, is_stream=True, timeout_s=30.0)
        caller = await bench.connect()
        caller.send("1")
        await caller.receive_until(b"id: 1")
        bench.lag.is_overloaded = True
        go_on.set()
        await caller.receive_until(http_messages.LAST_CHUNK)
        self.assertEqual(200, (await caller.ask("2"))[0])

    async def test_router_with_a_late_event_loop_rejects_requests(self):
        bench = await self.start()
        for _ in range(20):
            bench.lag.add(0.5, 0.0)
        caller = await bench.connect()
        self.assertEqual((503, b"", True), await caller.ask())
        self.assertIn(b"retry-after: 0.05", caller.received)
        self.assertIn(b"connection: close", caller.received)
        self.assertEqual([], self.upstream.requests)

    async def test_request_of_a_disconnected_caller_is_not_forwarded(self):
        bench = await self.start()
        bench.lag.is_overloaded = True
        for number in range(20):
            caller = await bench.connect()
            caller.send(str(number))
            caller.close()
        await asyncio.sleep(0.2)
        self.assertEqual([], self.upstream.requests)

    async def test_pipelined_requests_are_answered_in_order(self):
        async def script(request, stream):
            await asyncio.sleep(0.01)
            stream.write(entry_bench.make_response(request, request.get("id").encode()))

        bench = await self.start(script)
        caller = await bench.connect()
        caller.send("1")
        caller.send("2")
        await caller.receive_until(b"\r\n\r\n1")
        await caller.receive_until(b"\r\n\r\n2")

    async def test_malformed_requests_are_rejected_and_not_forwarded(self):
        bench = await self.start()
        for data, status in (
            (b"GARBAGE\r\n\r\n", b"400"),
            (
                b"POST /x/ HTTP/1.1\r\nContent-Length: 1\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                b"400",
            ),
            (b"GET / HTTP/1.1\r\nX: " + b"x" * 20_000, b"431"),
            (b"POST / HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n", b"413"),
        ):
            with self.subTest(status=status):
                caller = await bench.connect()
                caller.send_bytes(data)
                await caller.receive_until(b" " + status + b" ")
                await caller.wait_closed()
        self.assertEqual([], self.upstream.requests)

    async def test_expect_100_continue(self):
        bench = await self.start()
        caller = await bench.connect()
        caller.send_bytes(
            b"POST /x/ HTTP/1.1\r\nHost: a.example\r\nId: 1\r\n"
            b"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n"
        )
        await caller.receive_until(caller_connection.CONTINUE)
        caller.send_bytes(b"body")
        await caller.receive_until(b"\r\n\r\nok")
        self.assertEqual(b"body", self.upstream.requests[0].body)

    async def test_readiness_page(self):
        bench = await self.start()
        router = bench.router
        router.listen_for_page(entry_bench.HOST, 0, "/ready", router.render_readiness)
        port = router.addresses[-1][1]
        for path, status in (("/ready", 200), ("/other", 404)):
            stream = await tcp_stream.connect(entry_bench.HOST, port, 1.0)
            caller = entry_bench.Caller(stream)
            self.assertEqual(status, (await caller.ask(path=path, method="GET"))[0])
            caller.abort()


class LateLoopTest(EntryCase):
    """LOST: what had arrived was not read before a timeout or a stop closed it."""

    async def connect(self):
        self.bench = await self.start(timeout_s=5.0)
        self.caller = await self.bench.connect()
        self.assertEqual((200, b"ok", True), await self.caller.ask("1"))
        await asyncio.sleep(0.05)

    async def test_request_that_has_arrived_ends_the_idle_time(self):
        await self.connect()
        table = self.bench.forwarder.table
        table.limits = dataclasses.replace(table.limits, idle_timeout_s=0.3)
        self.assertEqual((200, b"ok", True), await self.caller.ask("2"))
        await asyncio.sleep(0.1)
        self.caller.send("3")
        time.sleep(0.5)  # noqa: ASYNC251
        self.assertEqual((200, b"ok", True), await self.caller.receive())

    async def test_request_that_has_arrived_is_answered_in_a_stop(self):
        await self.connect()
        with unittest.mock.patch.object(entry_router, "LISTEN_AFTER_STOP_S", 0.2):
            stopping = asyncio.create_task(self.bench.router.stop())
            await asyncio.sleep(0.1)
            self.caller.send("2")
            time.sleep(0.5)  # noqa: ASYNC251
            status, _, is_complete = await self.caller.receive()
            self.assertEqual((True, True), (status in (200, 503), is_complete))
            await stopping
