"""Upstreams that stop in the middle of a response's head and close."""

import asyncio
import socket
import struct
import unittest

from teaselsill import (
    completions,
    errors,
    messages,
    plain,
    refusals,
    routing_table,
    upstream,
)
from tests import agent_client, bench, entry_bench, offload_bench

BODY = b"the whole body"
HEADS = (
    b"HTTP/1.1 200 OK\r\nid: %s\r\nseal: s\r\ncontent-length: 14\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nid: %s\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nid: %s\r\nseal: s\r\nconnection: close\r\n\r\n",
)
"""Heads of a response with a length, with chunks, and of one that ends with its
connection."""
STEP = 9
"""Every so many bytes of a head, there is a case that ends there."""


def list_cuts(head):
    """Returns the lengths at which a head is cut, the last byte among them."""
    return [*range(0, len(head) - 1, STEP), len(head) - 1]


class CutUpstream:
    """Sends the start of a head and ends the connection.

    Args:
        head: The head.
        cut: How much of it is sent.
        is_reset: Whether the connection is reset, not closed.
    """

    def __init__(self, head, cut, is_reset=False):
        self._head = head
        self._cut = cut
        self._is_reset = is_reset

    async def answer(self, request, stream):
        """A script that answers the request `whole` in full, others in part."""
        if request.get("id") == "whole":
            stream.write(entry_bench.make_response(request))
            return
        stream.write((self._head % request.get("id").encode())[: self._cut])
        await asyncio.sleep(0.01)
        if self._is_reset:
            stream.reset()
        else:
            stream.close()


class EntryRouterTest(unittest.IsolatedAsyncioTestCase):
    """Callers got a 200 with an empty or short body, framed as whole."""

    def list_cases(self):
        for head in HEADS:
            for cut in list_cuts(head % b"1"):
                for is_reset in (False, True):
                    yield head, cut, is_reset

    async def test_order_gets_no_success(self):
        for head, cut, is_reset in self.list_cases():
            with self.subTest(head=head, cut=cut, is_reset=is_reset):
                script = CutUpstream(head, cut, is_reset).answer
                up = entry_bench.ScriptedUpstream("u", script)
                async with entry_bench.EntryBench([up]) as bench:
                    status, _, is_complete = await bench.ask("1")
                self.assertEqual((502, True), (status, is_complete))
                self.assertEqual(1, len(up.requests))

    async def test_order_on_a_kept_connection_gets_no_success(self):
        for cut in list_cuts(HEADS[0] % b"1"):
            with self.subTest(cut=cut):
                script = CutUpstream(HEADS[0], cut).answer
                up = entry_bench.ScriptedUpstream("u", script)
                async with entry_bench.EntryBench([up]) as bench:
                    self.assertEqual(200, (await bench.ask("whole"))[0])
                    status, _, is_complete = await bench.ask("1")
                self.assertEqual((502, True), (status, is_complete))
                self.assertEqual((2, 1), (len(up.requests), up.connections))

    async def test_repeatable_request_is_served_elsewhere(self):
        for cut in list_cuts(HEADS[0] % b"1"):
            with self.subTest(cut=cut):
                cut_upstream = entry_bench.ScriptedUpstream(
                    "a", CutUpstream(HEADS[0], cut).answer
                )
                sound = entry_bench.ScriptedUpstream("b", entry_bench.respond_ok)
                fields = {"repeat": routing_table.Repeat.FREELY, "max_upstreams": 2}
                async with entry_bench.EntryBench(
                    [cut_upstream, sound], **fields
                ) as bench:
                    result = await bench.ask("1")
                self.assertEqual((200, b"ok", True), result)

    async def test_body_that_ends_with_a_reset_is_not_whole(self):
        """Nothing but the end of the connection says where such a body ends."""

        async def answer(request, stream):
            stream.write(HEADS[2] % b"1" + BODY[:5])
            await asyncio.sleep(0.05)
            stream.reset()

        up = entry_bench.ScriptedUpstream("u", answer)
        async with entry_bench.EntryBench([up]) as bench:
            _, body, is_complete = await bench.ask("1")
        self.assertEqual((BODY[:5], False), (body, is_complete))

    async def test_request_that_is_passed_on_gets_no_success(self):
        head = HEADS[0]
        for cut in list_cuts(head % b"1"):
            with self.subTest(cut=cut):
                bench = offload_bench.OffloadBench(CutUpstream(head, cut).answer)
                async with bench:
                    caller = await bench.busy.connect()
                    caller.send("1")
                    status, _, is_complete = await caller.receive()
                    self.assertEqual((502, True), (status, is_complete))
                    self.assertEqual(1, len(bench.list_requests()))


class FixedServer:
    """Sends the same bytes to each request and ends the connection.

    Args:
        sent: The bytes.
        is_reset: Whether the connection is reset, not closed.

    Attributes:
        requests: How many requests have come.
    """

    def __init__(self, sent, is_reset=False):
        self.requests = 0
        self._sent = sent
        self._is_reset = is_reset
        self._server = None

    async def __aenter__(self):
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, entry_bench.HOST, 0)
        return self

    async def __aexit__(self, *exc):
        """Stops listening."""
        self._server.close()

    @property
    def url(self):
        """Its base URL."""
        port = self._server.sockets[0].getsockname()[1]
        return f"http://{entry_bench.HOST}:{port}"

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        writer.write(self._sent)
        await writer.drain()
        await asyncio.sleep(0.02)
        if self._is_reset:
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        writer.close()


class AgentTest(unittest.IsolatedAsyncioTestCase):
    """The same at the clients of agents, which use another HTTP library."""

    async def fetch(self, client_type, sent, is_reset=False):
        """Returns what a client of agents makes of the bytes of a response.

        Returns:
            The status and the body.
        """

        async with FixedServer(sent, is_reset) as server:
            return await agent_client.fetch(client_type, server.url)

    async def test_head_that_is_cut_is_a_failure(self):
        for client_type in (plain.PlainUpstream, completions.CompletionsUpstream):
            for template in HEADS:
                head = template % b"1"
                for cut in list_cuts(head):
                    for is_reset in (False, True):
                        with (
                            self.subTest(client_type, cut=cut, is_reset=is_reset),
                            self.assertRaises(upstream.UpstreamFailedError),
                        ):
                            await self.fetch(client_type, head[:cut], is_reset)

    async def test_body_that_is_cut_is_a_failure(self):
        for client_type in (plain.PlainUpstream, completions.CompletionsUpstream):
            for template in HEADS[:2]:
                for is_reset in (False, True):
                    with (
                        self.subTest(client_type, head=template, is_reset=is_reset),
                        self.assertRaises(upstream.UpstreamFailedError),
                    ):
                        sent = template % b"1" + b"5\r\nthe w"
                        await self.fetch(client_type, sent, is_reset)

    async def test_body_without_a_length_is_whole_at_an_orderly_end(self):
        for client_type in (plain.PlainUpstream, completions.CompletionsUpstream):
            sent = HEADS[2] % b"1" + BODY
            self.assertEqual((200, BODY), await self.fetch(client_type, sent))

    async def test_body_that_ends_with_a_reset_is_not_whole(self):
        for client_type in (plain.PlainUpstream, completions.CompletionsUpstream):
            with (
                self.subTest(client_type),
                self.assertRaises(upstream.UpstreamFailedError),
            ):
                sent = HEADS[2] % b"1" + BODY[:5]
                await self.fetch(client_type, sent, is_reset=True)


class AgentPathTest(unittest.IsolatedAsyncioTestCase):
    """Through a router and an agent: the order's caller gets no success."""

    async def order(self, sent, is_reset=False):
        """Sends one order; returns its outcome or its status and body."""
        async with FixedServer(sent, is_reset) as server:
            client = plain.PlainUpstream(server.url)
            self.addAsyncCleanup(client.close)
            async with bench.Bench(client=client) as fleet:
                try:
                    result = await fleet.call(bench.ORDER)
                except errors.RequestError as error:
                    result = refusals.describe(error).outcome
            self.assertEqual(1, server.requests)
        return result

    async def test_head_that_is_cut(self):
        for template in HEADS:
            head = template % b"1"
            for cut in list_cuts(head):
                for is_reset in (False, True):
                    with self.subTest(head=template, cut=cut, is_reset=is_reset):
                        result = await self.order(head[:cut], is_reset)
                        self.assertEqual(messages.Outcome.UNKNOWN, result)

    async def test_body_that_ends_with_a_reset(self):
        result = await self.order(HEADS[2] % b"1" + BODY[:5], is_reset=True)
        self.assertEqual(messages.Outcome.UNKNOWN, result)

    async def test_whole_body(self):
        self.assertEqual((200, BODY), await self.order(HEADS[2] % b"1" + BODY))
