"""A stream that began and broke off, and what the next server answers."""

import asyncio
import unittest

from teaselsill import http_messages, routing_table
from tests import entry_bench, offload_bench

RESUME = routing_table.Repeat.RESUME
ERROR_TEXT = b"the engine has failed"


def break_off(request, stream):
    """Begins a stream, and resets the connection inside its second event."""
    head = entry_bench.stream_head(request)
    part = http_messages.encode_chunk(b"id: 2\nda")
    stream.write(head + entry_bench.event(1) + part)


def make_errors():
    """Returns responses that may follow a broken stream, by what they are."""

    def respond(status, *fields, body=ERROR_TEXT, sealed=True):
        def make(request):
            headers = [
                ("id", request.get("id")),
                ("content-length", str(len(body))),
                *([("seal", "s")] if sealed else []),
                *fields,
            ]
            return http_messages.encode_head(status, "X", headers) + body

        return make

    stream_type = ("content-type", "text/event-stream")
    return {
        "another status": respond(500),
        "no stream, with the same status": respond(200),
        "the same status without proof": respond(200, stream_type, sealed=False),
        "an error page": respond(200, ("content-type", "text/html")),
        "a refusal": respond(503, ("not-run", "1"), body=b""),
        "a refusal with a body": respond(503, ("not-run", "1")),
        "a failure of the type of a stream": respond(500, stream_type),
    }


class ErrorAfterBrokenStreamTest(unittest.IsolatedAsyncioTestCase):
    """A stream began and broke off; the next server answers with an error."""

    def make_script(self, make_error, in_pieces):
        seen = []

        async def script(request, stream):
            seen.append(request)
            if len(seen) == 1:
                break_off(request, stream)
                await asyncio.sleep(0.02)
                stream.abort()
                return
            response = make_error(request)
            if not in_pieces:
                stream.write(response)
                return
            for start in range(0, len(response), 7):
                stream.write(response[start : start + 7])
                await asyncio.sleep(0)

        return script

    def check(self, caller, body, is_complete):
        """The caller has the first event, nothing of the error, and no end."""
        self.assertEqual(b"id: 1\ndata: x\n\n", body)
        self.assertFalse(is_complete)
        self.assertNotIn(b"engine", caller.received)
        self.assertNotIn(b"not-run", caller.received)
        self.assertEqual(1, caller.received.count(b"HTTP/1.1"))
        self.assertFalse(caller.received.endswith(http_messages.LAST_CHUNK))

    async def test_error_is_not_a_part_of_the_stream(self):
        for name, make_error in make_errors().items():
            for in_pieces in (False, True):
                with self.subTest(name, in_pieces=in_pieces):
                    script = self.make_script(make_error, in_pieces)
                    servers = [
                        entry_bench.ScriptedUpstream(f"u{n}", script) for n in range(3)
                    ]
                    bench = await self.enterAsyncContext(
                        entry_bench.EntryBench(
                            servers, repeat=RESUME, is_stream=True, max_upstreams=3
                        )
                    )
                    caller = await bench.connect()
                    _, body, is_complete = await caller.ask("1")
                    self.check(caller, body, is_complete)

    async def test_error_is_not_a_part_of_a_stream_of_another_router(self):
        for name, make_error in make_errors().items():
            with self.subTest(name):
                bench = await self.enterAsyncContext(
                    offload_bench.OffloadBench(
                        self.make_script(make_error, in_pieces=False),
                        upstreams=3,
                        repeat=RESUME,
                        max_upstreams=3,
                    )
                )
                caller = await bench.busy.connect()
                _, body, is_complete = await caller.ask("1")
                self.check(caller, body, is_complete)

    async def test_response_that_is_no_stream_is_not_continued(self):
        """The next response would be appended to the part that the caller has."""

        async def script(request, stream):
            fields = [("id", request.get("id")), ("seal", "s")]
            head = [*fields, ("content-length", "30")]
            stream.write(http_messages.encode_head(200, "OK", head) + b"one\n\ntwo")
            await asyncio.sleep(0.02)
            stream.abort()

        servers = [entry_bench.ScriptedUpstream(f"u{n}", script) for n in range(2)]
        bench = await self.enterAsyncContext(
            entry_bench.EntryBench(servers, repeat=RESUME, max_upstreams=2)
        )
        _, body, is_complete = await bench.ask("1")
        self.assertFalse(is_complete)
        self.assertEqual(1, body.count(b"one"))
