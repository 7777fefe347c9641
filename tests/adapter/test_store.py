import base64
import json
import struct
import unittest
import urllib.parse

import hypothesis
from adapter import store
from hypothesis import strategies

from teaselsill import http_messages, keyed_log, log, log_era
from tests import endless_server, entry_bench, test_keyed_log


def make_read_body(end, *contents):
    records = b"".join(struct.pack(">I", len(c)) + c for c in contents)
    return struct.pack(">QQ", end, 0) + records


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *responses):
        """Starts a store that sends these responses.

        Each is a status, a body and, if it states one, an era.
        """
        left = list(responses)

        async def script(request, stream):
            status, body, *era = left.pop(0)
            fields = [("content-length", str(len(body)))]
            fields += [("store-era", str(each)) for each in era]
            stream.write(http_messages.encode_head(status, "X", fields) + body)

        self.server = entry_bench.ScriptedUpstream("store", script)
        await self.enterAsyncContext(self.server)
        entry = self.server.describe()
        self.era = log_era.LogEra()
        return store.StoreClient(entry.host, entry.port, self.era)

    def queries(self):
        return [
            dict(urllib.parse.parse_qsl(request.target.partition("?")[2]))
            for request in self.server.requests
        ]

    async def test_lists_all_pages(self):
        def page(key, has_more, end):
            item = {"Key": key, "Value": base64.b64encode(b"v").decode(), "Offset": 1}
            body = {"Items": [item], "HasMore": has_more, "EndOffset": end}
            return 200, json.dumps(body).encode()

        client = await self.start(page("a", True, 4), page("b", False, 6))
        listed = await client.list_newest("keyed.op")
        self.assertEqual(["a", "b"], [record.key for record in listed.records])
        self.assertEqual(test_keyed_log.at(4), listed.end)
        self.assertEqual("a", self.queries()[1]["After"])
        self.assertEqual(1, self.server.connections)

    async def test_reads_records_and_removals(self):
        client = await self.start((200, make_read_body(9, b"\x01av1", b"\x02bc", b"")))
        page = await client.read("keyed.servers", test_keyed_log.at(6), 1.5)
        self.assertEqual(
            [("a", b"v1"), ("bc", None), ("", None)],
            [(record.key, record.value) for record in page.records],
        )
        self.assertEqual(test_keyed_log.at(9), page.end)
        self.assertEqual(("6", "1500"), (
            self.queries()[0]["From"], self.queries()[0]["WaitMs"],
        ))  # fmt: skip

    async def test_puts_a_record(self):
        client = await self.start((200, b'{"Offset":1,"EndOffset":2}'))
        await client.put("keyed.routers", keyed_log.KeyedRecord("r", b"x:1"))
        self.assertEqual(b"\x00\x00\x00\x05\x01rx:1", self.server.requests[0].body)

    async def test_expired_offset(self):
        client = await self.start((410, b'{"FirstOffset":12}'))
        with self.assertRaises(log.OffsetExpiredError) as caught:
            await client.read("keyed.op", test_keyed_log.at(3), 0.0)
        self.assertEqual(12, caught.exception.earliest)

    async def test_error_status_or_malformed_response_means_unavailable(self):
        for response in (
            (503, b""),
            (429, b""),
            (200, b"short"),
            (200, make_read_body(9, b"\x01a")[:-1]),
        ):
            client = await self.start(response)
            with (
                self.subTest(response=response),
                self.assertRaises(log.LogUnavailableError),
            ):
                await client.read("keyed.op", test_keyed_log.at(0), 0.0)

    async def test_each_response_states_the_era(self):
        """An offset says nothing without the era in which it was given out."""
        client = await self.start(
            (200, make_read_body(9), 3), (200, make_read_body(4), 4), (200, b"{}", 4)
        )
        page = await client.read("keyed.op", test_keyed_log.at(9, 3), 0.0)
        self.assertEqual(test_keyed_log.at(9, 3), page.end)
        page = await client.read("keyed.op", test_keyed_log.at(9, 3), 0.0)
        self.assertEqual(4, page.end.era)
        await client.put("keyed.routers", keyed_log.KeyedRecord("r", b"x:1"))
        self.assertEqual(4, self.era.current)

    async def test_era_of_a_failed_call_counts(self):
        for response in ((503, b"", 4), (410, b'{"FirstOffset":0}', 4)):
            client = await self.start((200, make_read_body(9), 3), response)
            await client.read("keyed.op", test_keyed_log.at(9, 3), 0.0)
            with self.assertRaises((log.LogUnavailableError, log.OffsetExpiredError)):
                await client.read("keyed.op", test_keyed_log.at(9, 3), 0.0)
            self.assertEqual(4, self.era.current)

    async def test_late_response_of_an_earlier_era_is_dropped(self):
        client = await self.start((200, make_read_body(9), 3))
        self.era.note_response(4, "another call")
        with self.assertRaises(log.StaleResponseError):
            await client.read("keyed.op", test_keyed_log.at(9, 4), 0.0)

    async def test_pages_of_two_eras_are_not_one_listing(self):
        """Keys of the copy and of the lost records would be mixed."""
        item = {"Key": "a", "Value": "", "Offset": 1}
        pages = [
            {"Items": [item], "HasMore": has_more, "EndOffset": 4}
            for has_more in (True, False)
        ]
        first, second = [json.dumps(page).encode() for page in pages]
        client = await self.start((200, first, 3), (200, second, 4))
        with self.assertRaises(log.LogRestoredError):
            await client.list_newest("keyed.op")

    async def test_malformed_era_means_unavailable(self):
        for era in ("", "-1", "x", "1.5", "9" * 5000):
            client = await self.start((200, make_read_body(9), era))
            with (
                self.subTest(era=era[:9]),
                self.assertRaisesRegex(log.LogUnavailableError, "store-era"),
            ):
                await client.read("keyed.op", test_keyed_log.at(0), 0.0)

    async def test_endless_response_is_not_kept(self):
        """All of it was kept, 400 MB and more, until the memory was used up."""
        chunk = endless_server.make_chunk(endless_server.BLOCK)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        server = endless_server.EndlessServer(head, chunk)
        await self.enterAsyncContext(server)
        found = []
        client = store.StoreClient(
            endless_server.HOST,
            server.port,
            log_era.LogEra(),
            on_too_large=lambda: found.append(True),
        )
        with self.assertRaisesRegex(log.LogUnavailableError, "exceeds 8388608 bytes"):
            await client.read("keyed.op", test_keyed_log.at(0), 0.0)
        self.assertEqual([True], found)
        await server.wait_closed()
        self.assertLess(server.sent_bytes, 3 * store.MAX_RESPONSE_BYTES)

    async def test_refused_connection_means_unavailable(self):
        client = store.StoreClient(entry_bench.HOST, 1, log_era.LogEra())
        with self.assertRaises(log.LogUnavailableError):
            await client.list_newest("keyed.op")

    @hypothesis.given(strategies.binary(max_size=80))
    def test_any_bytes_are_records_or_unavailable(self, data):
        try:
            for content in store._split_records(data):
                store._decode_record(content)
        except log.LogUnavailableError:
            pass
