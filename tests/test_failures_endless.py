"""Servers that send bytes without end, in a head or in a body."""

import asyncio
import resource
import unittest
import unittest.mock

import aiohttp

from teaselsill import (
    completions,
    errors,
    event_stream,
    http_instances,
    http_log,
    instances,
    log,
    operations,
    plain,
    reports,
    response_body,
    response_parser,
    tcp_stream,
    upstream,
    upstream_connection,
)
from tests import agent_client, bench, endless_server

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
JSON = CHUNKED + b"Content-Type: application/json\r\n\r\n"
EVENTS = CHUNKED + b"Content-Type: text/event-stream\r\n\r\n6\r\ndata: \r\n"
CHUNK = endless_server.make_chunk(endless_server.BLOCK)
SLACK_BYTES = 16 * 1024 * 1024
"""What the operating system's buffers and the server's own may hold in addition."""


def read_peak_memory():
    """Returns the largest memory that this process has had, in bytes."""
    return 1024 * resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


class EndlessTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, start, block=CHUNK):
        server = endless_server.EndlessServer(start, block)
        return await self.enterAsyncContext(server)

    async def check_bound(self, server, max_bytes):
        """Checks that the client has closed, and how much it has read at most."""
        await server.wait_closed()
        self.assertLess(server.sent_bytes, max_bytes + SLACK_BYTES)


class EndlessBodyTest(EndlessTest):
    """All of a body was kept, 400 MB and more, until the memory was used up."""

    async def test_log_service(self):
        server = await self.start(JSON)
        client = http_log.HttpLog(f"http://{endless_server.HOST}:{server.port}")
        self.addAsyncCleanup(client.close)
        with self.assertRaisesRegex(log.LogUnavailableError, "exceeds"):
            await client.read("s", 0)
        await self.check_bound(server, response_body.MAX_BODY_BYTES)

    async def test_instance_list(self):
        server = await self.start(JSON)
        url = f"http://{endless_server.HOST}:{server.port}"
        client = http_instances.HttpInstanceList(url)
        self.addAsyncCleanup(client.close)
        with self.assertRaisesRegex(instances.InstanceListUnavailableError, "exceeds"):
            await client.fetch()
        await self.check_bound(server, response_body.MAX_BODY_BYTES)

    async def test_status_and_report_of_an_instance(self):
        server = await self.start(JSON)
        item = unittest.mock.Mock(host=endless_server.HOST, admin_port=server.port)
        async with aiohttp.ClientSession() as session:
            status = await operations._fetch_version(session, item)
            limit = asyncio.Semaphore(1)
            report = await reports._fetch_report(session, limit, item)
        self.assertIn("exceeds", status.error)
        self.assertIn("exceeds", report.reason)
        await self.check_bound(server, 2 * response_body.MAX_BODY_BYTES)


class EndlessUpstreamTest(EndlessTest):
    """An agent kept the answer of a model engine, or an event that did not end."""

    async def run_request(self, server, fencing=None):
        url = f"http://{endless_server.HOST}:{server.port}"
        client_type = completions.CompletionsUpstream
        return await agent_client.fetch(client_type, url, fencing)

    async def test_answer_that_is_no_event_stream(self):
        server = await self.start(JSON)
        with self.assertRaisesRegex(upstream.UpstreamFailedError, "exceeds"):
            await self.run_request(server)
        await self.check_bound(server, response_body.MAX_BODY_BYTES)

    async def test_event(self):
        server = await self.start(EVENTS)
        with self.assertRaisesRegex(upstream.UpstreamFailedError, "does not end"):
            await self.run_request(server)
        await self.check_bound(server, event_stream.MAX_EVENT_BYTES)

    async def test_refusal_for_the_fencing_number(self):
        server = await self.start(JSON.replace(b"200 OK", b"409 Conflict"))
        with self.assertRaisesRegex(upstream.UpstreamFailedError, "exceeds"):
            await self.run_request(server, fencing=3)
        await self.check_bound(server, response_body.MAX_BODY_BYTES)


class AgentPathTest(EndlessTest):
    """Through a router and an agent, to a caller that reads nothing."""

    async def test_body_that_is_passed_on(self):
        server = await self.start(JSON)
        client = plain.PlainUpstream(f"http://{endless_server.HOST}:{server.port}")
        self.addAsyncCleanup(client.close)
        before_bytes = read_peak_memory()
        async with bench.Bench(client=client) as fleet:
            request = bench.make_request(bench.LOOKUP, deadline_s=2.0)
            response = await fleet.router.serve(request, 100)
            try:
                await asyncio.sleep(2.0)
            finally:
                response.close()
            await server.wait_closed()
        self.assertLess(server.sent_bytes, SLACK_BYTES)
        self.assertLess(read_peak_memory() - before_bytes, 2 * SLACK_BYTES)

    async def test_head(self):
        server = await self.start(b"HTTP/1.1 200 OK\r\na: ", endless_server.BLOCK)
        client = plain.PlainUpstream(f"http://{endless_server.HOST}:{server.port}")
        self.addAsyncCleanup(client.close)
        async with bench.Bench(client=client) as fleet:
            with self.assertRaises(errors.RequestError):
                await fleet.call(bench.ORDER)
            await server.wait_closed()
        self.assertLess(server.sent_bytes, SLACK_BYTES)


class EndlessHeadTest(EndlessTest):
    """No complete part ever arrives, so nothing can be passed on."""

    STARTS_AND_BLOCKS = (
        (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 10_000),
        (b"HTTP/1.1 200 OK\r\na: ", endless_server.BLOCK),
        (b"", endless_server.BLOCK),
        (b"", b"HTTP/1.1 103 Early\r\na: b\r\n\r\n" * 1000),
        (CHUNKED + b"\r\n1;", endless_server.BLOCK),
        (CHUNKED + b"\r\n0\r\n", b"a: b\r\n" * 10_000),
    )

    async def test_own_client(self):
        for start, block in self.STARTS_AND_BLOCKS:
            with self.subTest(start=start, block=block[:9]):
                server = await self.start(start, block)
                connection = await upstream_connection.open_connection(
                    endless_server.HOST, server.port, 1.0
                )
                connection.send("GET", b"GET / HTTP/1.1\r\n\r\n", lambda head: True)
                with self.assertRaises(upstream_connection.ResponseFailedError):
                    while True:
                        await connection.receive()
                await self.check_bound(server, response_parser.MAX_BYTES_WITHOUT_PART)

    async def test_client_of_agents(self):
        """Interim heads and chunk extensions end with the deadline: none is kept."""
        for start, block in self.STARTS_AND_BLOCKS:
            with self.subTest(start=start, block=block[:9]):
                server = await self.start(start, block)
                before_bytes = read_peak_memory()
                with self.assertRaises((aiohttp.ClientError, TimeoutError)):
                    await self.fetch(server, deadline_s=2.0)
                await server.wait_closed()
                self.assertLess(read_peak_memory() - before_bytes, SLACK_BYTES)

    async def fetch(self, server, deadline_s):
        url = f"http://{endless_server.HOST}:{server.port}"
        async with (
            aiohttp.ClientSession() as session,
            asyncio.timeout(deadline_s),
            session.get(url) as response,
        ):
            await response_body.read(response)


class ManyAtOnceTest(EndlessTest):
    async def test_unread_bytes_of_many_connections(self):
        """A bound for one connection is no bound for a machine with hundreds."""
        server = await self.start(JSON)
        streams = []
        for _ in range(200):
            stream = await tcp_stream.connect(endless_server.HOST, server.port, 1.0)
            self.addCleanup(stream.abort)
            stream.write(b"GET / HTTP/1.1\r\n\r\n")
            streams.append(stream)
        await asyncio.sleep(2.0)
        unread = sum(stream._unread_bytes for stream in streams)
        self.assertLess(unread, 200 * 2 * tcp_stream.MAX_UNREAD_BYTES)
