"""Crowds of clients without limits at routers, agents and consoles.

Each test checks that the process lives, that its memory and its descriptors stay under
their bounds, and that an ordinary request is answered while the crowd is connected.
"""

import unittest

from standins import fleet, shapes
from teaselsill import messages, wire
from tests import agent_crowds as crowds

HOST = b"Host: a\r\n"
KEY = f"Authorization: Bearer {shapes.api_key(shapes.account_name(0))}\r\n".encode()
PATH = f"/services/{crowds.SERVICE}/a".encode()
CALL = HOST + KEY + b"Teaselsill-Deadline: 6\r\n"
LINE = b"ab: cd\r\n"
ODD_LINE = b"a:\r\n"
LINES_IN_LIMIT = 7500
ODD_LINES_IN_LIMIT = 15_000
MB = 1024 * 1024
STAY_S = 8.0
"""Longer than the deadline of the crowd's requests."""
TRAILERS = (b"1\r\na\r\n0\r\n", 1), (LINE, MB // len(LINE))
CHUNKED = b"Transfer-Encoding: chunked\r\n"
ALL_OF_BODY = b"Content-Length: %d\r\n\r\n" % MB


def start_of(method, path, fields=HOST):
    """Returns the start of a request up to its first header lines."""
    return method + b" " + path + b" HTTP/1.1\r\n" + fields


GET = start_of(b"GET", PATH, CALL)
GET_WAITING = start_of(b"GET", PATH + b"?work_ms=4000", CALL)
POST = start_of(b"POST", PATH, CALL)
POST_WAITING = start_of(b"POST", PATH + b"?work_ms=4000", CALL)


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    runs_alone = True
    max_fds = crowds.MAX_FDS

    async def asyncSetUp(self):
        limited = crowds.LimitedFleet(self.max_fds)
        self.fleet = await self.enterAsyncContext(limited)
        self.router = self.fleet.with_role(fleet.Role.ROUTER)[0]
        self.agent = self.fleet.with_role(fleet.Role.AGENT)[0]
        self.console = self.fleet.node_by_name["console"]

    async def check(self, node, *crowd_list):
        """Checks that all processes survive crowds at one of them within the bounds."""
        nodes = [self.router, self.agent, self.console]
        watches = [crowds.Watch(each.process.pid) for each in nodes]
        async with crowds.run(watches), crowds.join(crowd_list):
            status = await self.send_ordinary_request(node)
            peaks_mb = [crowds.read_peak_mb(each.process.pid) for each in nodes]
        most_fds = [watch.most_fds for watch in watches]
        print(f"{self.id()}: {peaks_mb} MB, {most_fds} descriptors, {status}")
        self.assertTrue(all(each.is_running for each in nodes))
        self.assertLess(max(peaks_mb), crowds.MEMORY_MB)
        self.assertLess(max(most_fds), self.max_fds)
        self.assertEqual(200, status)

    async def send_ordinary_request(self, node):
        """Sends a request to each port of the process, or of the fleet for an agent."""
        try:
            if node is self.console:
                return await crowds.fetch(node.url)
            live = await crowds.fetch(f"{node.admin_url}/live")
            if live != 200:
                return live
            headers = self.fleet.request_headers(shapes.account_name(1))
            url = f"{self.router.url}/services/{crowds.SERVICE}/b"
            return await crowds.fetch(url, headers)
        except (OSError, TimeoutError, crowds.aiohttp.ClientError) as error:
            return repr(error)


class CallersPortTest(CrowdCase):
    async def check_router(self, connections, *parts):
        crowd = crowds.Crowd(self.router.port, connections, parts)
        await self.check(self.router, crowd)

    async def test_short_header_lines_and_no_body(self):
        parts = (POST, 1), (LINE, LINES_IN_LIMIT), (ALL_OF_BODY, 1)
        await self.check_router(150, *parts)

    async def test_odd_header_lines_of_waiting_requests(self):
        parts = (GET_WAITING, 1), (ODD_LINE, ODD_LINES_IN_LIMIT), (b"\r\n", 1)
        await self.check_router(150, *parts)

    async def test_heads_over_the_limit(self):
        await self.check_router(150, (GET, 1), (LINE, MB // len(LINE)))

    async def test_one_line_over_the_limit(self):
        await self.check_router(150, (GET + b"a: ", 1), (b"b", MB))

    async def test_heads_without_end(self):
        await self.check_router(150, (GET, 1), (LINE, LINES_IN_LIMIT))

    async def test_empty_lines(self):
        await self.check_router(150, (b"\r\n", MB // 2))

    async def test_trailers(self):
        await self.check_router(40, (POST + CHUNKED + b"\r\n", 1), *TRAILERS)

    async def test_trailers_of_a_refused_request(self):
        head = start_of(b"POST", PATH) + CHUNKED + b"\r\n"
        await self.check_router(40, (head, 1), *TRAILERS)

    async def test_chunk_extension(self):
        await self.check_router(150, (POST + CHUNKED + b"\r\n1;", 1), (b"a", MB))

    async def test_one_byte_chunks(self):
        chunks = (b"1\r\na\r\n", MB // 4)
        await self.check_router(40, (POST + CHUNKED + b"\r\n", 1), chunks)

    async def test_unfinished_bodies(self):
        await self.check_router(150, (POST + ALL_OF_BODY, 1), (b"a", MB - 1))

    async def test_bodies_of_waiting_requests(self):
        await self.check_router(150, (POST_WAITING + ALL_OF_BODY, 1), (b"a", MB))

    async def test_pipelined_requests(self):
        await self.check_router(40, (GET_WAITING + b"\r\n", 10_000))

    async def test_slow_readers(self):
        request = start_of(b"GET", PATH + b"?bytes=4000000", CALL) + b"\r\n"
        crowd = crowds.Crowd(self.router.port, 300, ((request, 1),), STAY_S)
        await self.check(self.router, crowd)

    async def test_mix(self):
        chunked = POST + CHUNKED + b"\r\n"
        sorts = (
            ((POST, 1), (LINE, LINES_IN_LIMIT), (ALL_OF_BODY, 1)),
            ((GET, 1), (LINE, LINES_IN_LIMIT)),
            ((b"\r\n", MB // 2),),
            ((chunked, 1), *TRAILERS),
            ((chunked + b"1;", 1), (b"a", MB)),
            ((chunked, 1), (b"1\r\na\r\n", MB // 4)),
            ((POST + ALL_OF_BODY, 1), (b"a", MB - 1)),
            ((GET_WAITING + b"\r\n", 10_000),),
            ((start_of(b"GET", PATH + b"?bytes=4000000", CALL) + b"\r\n", 1),),
        )
        port = self.router.port
        await self.check(
            self.router, *(crowds.Crowd(port, 20, s, STAY_S) for s in sorts)
        )


class AdminPortTest(CrowdCase):
    async def check_admin(self, connections, *parts):
        crowd = crowds.Crowd(self.router.admin_port, connections, parts)
        await self.check(self.router, crowd)

    async def test_short_header_lines(self):
        head = start_of(b"GET", b"/live")
        await self.check_admin(150, (head, 1), (LINE, LINES_IN_LIMIT))

    async def test_trailers(self):
        head = start_of(b"GET", b"/live") + CHUNKED + b"\r\n"
        await self.check_admin(40, (head, 1), *TRAILERS)

    async def test_pipelined_requests(self):
        head = start_of(b"GET", b"/report")
        await self.check_admin(40, (head + b"\r\n", 10_000))

    async def test_bodies(self):
        head = start_of(b"POST", b"/live")
        await self.check_admin(150, (head + ALL_OF_BODY, 1), (b"a", MB - 1))


class AgentTest(CrowdCase):
    async def check_peers_port(self, connections, *parts):
        crowd = crowds.Crowd(self.agent.port, connections, parts)
        await self.check(self.agent, crowd)

    async def test_frame_without_end(self):
        start = b"\x93\xc6\x00\xff\xff\xff"
        await self.check_peers_port(150, (start, 1), (b"a", MB))

    async def test_small_values_without_end(self):
        await self.check_peers_port(150, (b"\x01", MB))

    async def test_proofs_without_end(self):
        hello = wire.pack(messages.Hello(messages.PROTOCOL_VERSION, b"n" * 32))
        await self.check_peers_port(150, (hello, 1), (b"\x94\xdb\x00\xff", MB // 4))

    async def test_trailers_at_the_admin_port(self):
        head = start_of(b"GET", b"/live") + CHUNKED + b"\r\n"
        crowd = crowds.Crowd(self.agent.admin_port, 40, ((head, 1), *TRAILERS))
        await self.check(self.agent, crowd)

    async def test_pipelined_requests_at_the_admin_port(self):
        parts = ((start_of(b"GET", b"/report") + b"\r\n", 10_000),)
        await self.check(self.agent, crowds.Crowd(self.agent.admin_port, 40, parts))


class ConsoleTest(CrowdCase):
    async def check_console(self, connections, *parts):
        crowd = crowds.Crowd(self.console.port, connections, parts)
        await self.check(self.console, crowd)

    async def test_short_header_lines_and_no_body(self):
        head = start_of(b"POST", b"/")
        parts = (head, 1), (LINE, LINES_IN_LIMIT), (ALL_OF_BODY, 1)
        await self.check_console(150, *parts)

    async def test_trailers(self):
        head = start_of(b"POST", b"/") + CHUNKED + b"\r\n"
        await self.check_console(40, (head, 1), *TRAILERS)

    async def test_unfinished_forms(self):
        head = start_of(b"POST", b"/")
        await self.check_console(150, (head + ALL_OF_BODY, 1), (b"a", MB - 1))


class ManyConnectionsTest(CrowdCase):
    """More connections than a process may open."""

    max_fds = crowds.FEW_FDS

    async def check_port(self, node, port, *parts):
        await self.check(node, crowds.Crowd(port, 300, parts))

    async def test_silent_ones(self):
        await self.check_port(self.router, self.router.port)

    async def test_heads_without_end(self):
        await self.check_port(self.router, self.router.port, (GET, 1))

    async def test_bodies_without_end(self):
        await self.check_port(self.router, self.router.port, (POST + ALL_OF_BODY, 1))

    async def test_idle_ones(self):
        request = start_of(b"GET", b"/v1/models", CALL) + b"\r\n"
        await self.check_port(self.router, self.router.port, (request, 1))

    async def test_waiting_requests(self):
        request = GET_WAITING + b"\r\n"
        await self.check_port(self.router, self.router.port, (request, 1))

    async def test_silent_ones_at_the_admin_port(self):
        await self.check_port(self.router, self.router.admin_port)

    async def test_silent_ones_at_the_agents_admin_port(self):
        await self.check_port(self.agent, self.agent.admin_port)

    async def test_silent_ones_at_the_peers_port(self):
        await self.check_port(self.agent, self.agent.port)

    async def test_silent_ones_at_the_console(self):
        await self.check_port(self.console, self.console.port)
