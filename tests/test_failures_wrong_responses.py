"""Responses that belong to another request."""

import asyncio
import unittest

from teaselsill import http_messages, routing_table
from tests import entry_bench

NEVER = routing_table.Repeat.NEVER
FREELY = routing_table.Repeat.FREELY


def refuse(fields=(), status=503):
    """Returns a complete refusal, by default without the id of its request."""
    headers = [("not-run", "1"), ("content-length", "0"), *fields]
    return http_messages.encode_head(status, "X", headers)


class RepeatedRefusalTest(unittest.IsolatedAsyncioTestCase):
    """A server writes an earlier refusal once more, on a connection in use again."""

    async def start(self, stray, repeat, upstreams=2):
        """Starts upstreams that write a stray response before the one that is due."""
        self.ran = []

        async def script(request, stream):
            if request.get("id") == "first":
                stream.write(entry_bench.make_response(request))
                return
            self.ran.append(request.get("id"))
            stream.write(stray)
            await asyncio.sleep(0.05)
            stream.write(entry_bench.make_response(request, b"own"))

        servers = [
            entry_bench.ScriptedUpstream(f"u{n}", script) for n in range(upstreams)
        ]
        self.bench = await self.enterAsyncContext(
            entry_bench.EntryBench(servers, repeat=repeat, max_upstreams=upstreams)
        )

    async def test_order_that_runs_is_not_said_not_to_have_run(self):
        for status in (503, 429, 421, 408):
            for fields in ((), [("id", "first")]):
                with self.subTest(status=status, fields=fields):
                    await self.start(refuse(fields, status), NEVER)
                    await self.bench.ask("first")
                    answer, body, _ = await self.bench.ask("second")
                    self.assertEqual(["second"], self.ran)
                    if fields:
                        self.assertEqual((200, b"own"), (answer, body))
                    else:
                        self.assertEqual(502, answer)

    async def test_stray_failure_is_not_taken_for_the_response(self):
        for fields in ((), [("id", "first")]):
            with self.subTest(fields=fields):
                headers = [("content-length", "5"), *fields]
                head = http_messages.encode_head(500, "X", headers)
                await self.start(head + b"stray", NEVER)
                answer, body, _ = await self.bench.ask("second")
                self.assertEqual(["second"], self.ran)
                self.assertNotIn(b"stray", body)
                self.assertIn(answer, (200, 502))

    async def test_nothing_more_is_sent_on_a_connection_with_a_stray_response(self):
        for fields in ((), [("id", "first")]):
            with self.subTest(fields=fields):
                await self.start(refuse(fields), FREELY, upstreams=1)
                await self.bench.ask("first")
                await self.bench.ask("second")
                await asyncio.sleep(0.1)
                before = self.bench._upstreams[0].connections
                status, body, _ = await self.bench.ask("first")
                self.assertEqual((200, b"ok"), (status, body))
                self.assertEqual(before + 1, self.bench._upstreams[0].connections)

    async def test_refusal_with_the_id_of_its_request_is_believed(self):
        async def script(request, stream):
            stream.write(refuse([("id", request.get("id"))]))

        servers = [entry_bench.ScriptedUpstream("u", script)]
        bench = await self.enterAsyncContext(
            entry_bench.EntryBench(servers, repeat=NEVER)
        )
        self.assertEqual(503, (await bench.ask("1"))[0])
