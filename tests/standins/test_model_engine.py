import asyncio
import hashlib
import unittest

import aiohttp
import msgspec

from standins import completions, fencing, model_engine
from tests import support

CHAT = "/v1/chat/completions"
LINGER_S = 0.3


def make_body(**fields):
    messages = [{"role": "user", "content": "word " * 40}]
    return {"model": "a", "messages": messages, "max_tokens": 5, **fields}


async def read_events(response, count=None):
    """Reads `count` server-sent events, or all, as pairs of id and data."""
    events = []
    while count is None or len(events) < count:
        id_line = await response.content.readline()
        if not id_line:
            break
        data_line = await response.content.readline()
        await response.content.readline()
        events.append((int(id_line[4:]), data_line[6:].strip()))
    return events


def join_text(events):
    chunks = [msgspec.json.decode(data) for _, data in events if data != b"[DONE]"]
    return "".join(c["choices"][0]["delta"]["content"] for c in chunks if c["choices"])


class ModelEngineTest(support.HttpCase, unittest.IsolatedAsyncioTestCase):
    options = model_engine.Options(
        token_ms=1,
        models=("a", "b"),
        linger_s=LINGER_S,
        fencing_mode=fencing.Mode.CHECKED,
    )

    def make_app(self):
        return model_engine.create_app(self.options)

    def post_stream(self, request_id="r1", **fields):
        body = make_body(stream=True, **fields)
        return self.session.post(CHAT, json=body, headers={"X-Request-Id": request_id})

    def get_stream(self, last_event_id, request_id="r1"):
        headers = {"Last-Event-ID": str(last_event_id)}
        return self.session.get(f"/v1/streams/{request_id}", headers=headers)

    async def test_stream_and_full_response_agree(self):
        async with self.post_stream() as response:
            events = await read_events(response)
        self.assertEqual(list(range(1, 8)), [event_id for event_id, _ in events])
        self.assertEqual(b"[DONE]", events[-1][1])
        status, full_response = await self.call("POST", CHAT, json=make_body())
        self.assertEqual(200, status)
        self.assertEqual(
            join_text(events), full_response["choices"][0]["message"]["content"]
        )
        self.assertEqual(5, full_response["usage"]["completion_tokens"])
        self.assertEqual(41, full_response["usage"]["prompt_tokens"])
        details = {"cached_tokens": 32}
        self.assertEqual(details, full_response["usage"]["prompt_tokens_details"])

    async def test_text_completion(self):
        body = {"model": "b", "prompt": "hello", "max_tokens": 2}
        _, full_response = await self.call("POST", "/v1/completions", json=body)
        self.assertEqual(14, len(full_response["choices"][0]["text"]))
        self.assertEqual("text_completion", full_response["object"])

    async def test_unknown_model_and_list_of_models(self):
        status, _ = await self.call("POST", CHAT, json=make_body(model="c"))
        self.assertEqual(404, status)
        _, listed = await self.call("GET", "/v1/models")
        self.assertEqual(["a", "b"], [model["id"] for model in listed["data"]])

    async def test_broken_stream_is_resumed(self):
        async with self.post_stream() as response:
            first = await read_events(response, 2)
            response.close()
        async with self.get_stream(2) as response:
            rest = await read_events(response)
        self.assertEqual(list(range(1, 8)), [event_id for event_id, _ in first + rest])
        request = msgspec.convert(make_body(), completions.Request)
        expected = "".join(completions.generate_tokens(request))
        self.assertEqual(expected, join_text(first + rest))

    async def test_abandoned_generation_is_dropped(self):
        async with self.post_stream(max_tokens=2000) as response:
            await read_events(response, 1)
            response.close()
        await asyncio.sleep(2 * LINGER_S)
        async with self.get_stream(1) as response:
            self.assertEqual(404, response.status)
        _, load = await self.call("GET", "/load")
        self.assertEqual(0, load["running"])

    async def test_cancelled_stream_ends_without_done(self):
        async with self.post_stream(max_tokens=2000) as response:
            await read_events(response, 1)
            async with self.session.delete("/v1/streams/r1") as cancelled:
                self.assertEqual(204, cancelled.status)
            events = await read_events(response)
        self.assertNotIn(b"[DONE]", [data for _, data in events])

    async def test_stalled_streams_continue_after_the_fault(self):
        await self.set_faults(stall=True)
        async with self.post_stream() as response:
            read = asyncio.create_task(read_events(response))
            await asyncio.sleep(0.05)
            self.assertFalse(read.done())
            await self.set_faults()
            self.assertEqual(7, len(await read))

    async def test_stream_stalls_after_a_number_of_events(self):
        await self.set_faults(stall_after=3)
        async with self.post_stream() as response:
            self.assertEqual(3, len(await read_events(response, 3)))
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.05):
                    await read_events(response, 1)
            async with self.get_stream(3) as resumed:
                self.assertEqual(4, len(await read_events(resumed)))

    async def test_refused_and_dropped_requests_do_not_run(self):
        await self.set_faults(refuse=True)
        status, body = await self.call("POST", CHAT, json=make_body())
        self.assertEqual((503, ["error"]), (status, list(body)))
        await self.set_faults(drop_connection=True)
        with self.assertRaises(aiohttp.ServerDisconnectedError):
            await self.call("POST", CHAT, json=make_body())
        _, executions = await self.call("GET", "/admin/executions")
        self.assertEqual({"by_request": {}}, executions)

    async def test_dropped_connection_breaks_a_stream(self):
        async with self.post_stream(max_tokens=2000) as response:
            await read_events(response, 1)
            await self.set_faults(drop_connection=True)
            with self.assertRaises(aiohttp.ClientPayloadError):
                await read_events(response)

    async def test_lower_fencing_number_is_rejected(self):
        statuses = []
        for number in ("5", "4", "5"):
            headers = {"Teaselsill-Fencing": number}
            status, body = await self.call(
                "POST", CHAT, json=make_body(), headers=headers
            )
            statuses.append(status)
            if status == 409:
                self.assertEqual({"error": "stale fencing number"}, body)
        self.assertEqual([200, 409, 200], statuses)


class CompletionsTest(unittest.TestCase):
    def test_tokens_are_the_same_in_every_process(self):
        request = completions.Request("a", prompt="hello", max_tokens=3)
        text = "".join(completions.generate_tokens(request))
        self.assertEqual("638c32f87d10", hashlib.sha256(text.encode()).hexdigest()[:12])

    def test_completion_lengths_are_heavy_tailed(self):
        lengths = sorted(
            len(
                completions.generate_tokens(
                    completions.Request("a", prompt=str(number))
                )
            )
            for number in range(300)
        )
        self.assertGreaterEqual(lengths[0], completions.MIN_TOKENS)
        self.assertLess(lengths[150], 60)
        self.assertGreater(lengths[-1], 500)
