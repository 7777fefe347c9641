import itertools

import tests.adapter  # noqa: F401 (adds the adapter's directory to the import path)
from tests import crowds

MANY = 240
"""Fewer connections than the descriptors allow."""
KB = 1024
CHUNKED = crowds.START + b"Transfer-Encoding: chunked\r\n\r\n"
UNFINISHED = b"Content-Length: 10\r\n\r\n123456789"
"""The rest of a legal request whose last byte is missing."""


def fill_head(line, rest):
    """Returns a request whose head is as large as allowed, of many equal lines."""
    room = crowds.HEAD_BYTES - len(crowds.START) - len(rest) - 2 * KB
    return crowds.START + line * (room // (len(line) + 1)) + rest


def ask(target, count=1):
    """Returns a legal request for a target of the stand-in upstream."""
    start = crowds.START.replace(b"/pufi791/1", b"/pufi791/" + target)
    return (start + b"Content-Length: 0\r\n\r\n") * count


class HeadCrowdTest(crowds.CrowdTestCase):
    async def test_many_short_header_lines(self):
        message = fill_head(b"ab:cd\r\n", UNFINISHED)
        await self.press([[message]] * MANY)

    async def test_many_short_header_lines_of_requests_in_progress(self):
        held = fill_head(b"ab:cd\r\n", b"Content-Length: 0\r\n\r\n")
        held = held.replace(b"/pufi791/1", b"/pufi791/held")
        await self.press([[held]] * MANY)

    async def test_odd_header_lines(self):
        lines = [
            b"a: b\r\n c\r\n",
            b"x-\xff: \xfe\xfd\r\n",
            b": x\r\n",
            b"ab:\t\r\n",
            b"x: \xc3\xa9\r\n",
        ]
        messages = [[fill_head(line, UNFINISHED)] for line in lines]
        messages.append([crowds.START + b"x: " + b"y" * 14 * KB + b"\r\n" + UNFINISHED])
        await self.press(itertools.islice(itertools.cycle(messages), MANY))

    async def test_heads_over_the_limit(self):
        message = [crowds.START, b"ab: cd\r\n" * 40 * KB, UNFINISHED]
        await self.press([message] * MANY)

    async def test_heads_without_end(self):
        await self.press(
            crowds.repeat(crowds.START, b"ab: cd\r\n", 512 * KB) for _ in range(MANY)
        )

    async def test_header_lines_without_end(self):
        await self.press(
            crowds.repeat(crowds.START + b"x: ", b"y", 512 * KB) for _ in range(MANY)
        )

    async def test_empty_lines_without_end(self):
        await self.press(crowds.repeat(b"", b"\r\n", 512 * KB) for _ in range(MANY))

    async def test_empty_lines_between_requests(self):
        await self.press(
            crowds.repeat(ask(b"1"), b"\r\n", 512 * KB) for _ in range(MANY)
        )


class BodyCrowdTest(crowds.CrowdTestCase):
    async def test_trailers_without_end(self):
        start = CHUNKED + b"1\r\nx\r\n0\r\n"
        await self.press(
            crowds.repeat(start, b"ab: cd\r\n", 256 * KB) for _ in range(MANY)
        )

    async def test_chunk_extensions_without_end(self):
        await self.press(
            crowds.repeat(CHUNKED + b"1;", b"abc=d;", 256 * KB) for _ in range(MANY)
        )

    async def test_extensions_of_many_chunks(self):
        chunk = b"1;" + b"y" * 1000 + b"\r\nx\r\n"
        await self.press(crowds.repeat(CHUNKED, chunk, 256 * KB) for _ in range(MANY))

    async def test_bodies_in_chunks_of_one_byte(self):
        await self.press(
            crowds.repeat(CHUNKED, b"1\r\nx\r\n", 256 * KB) for _ in range(MANY)
        )

    async def test_legal_bodies_that_never_finish(self):
        start = crowds.START + b"Content-Length: 4194304\r\n\r\n"
        await self.press(crowds.repeat(start, b"x", 1024 * KB) for _ in range(MANY))

    async def test_legal_bodies_of_requests_in_progress(self):
        start = ask(b"held").replace(b"Content-Length: 0", b"Content-Length: 1048576")
        await self.press(crowds.repeat(start, b"x", 1024 * KB) for _ in range(MANY))


class ReaderCrowdTest(crowds.CrowdTestCase):
    async def test_slow_readers(self):
        await self.press([[ask(b"large")]] * MANY, receives=False)

    async def test_slow_readers_of_small_chunks(self):
        await self.press([[ask(b"small-chunks")]] * MANY, receives=False)

    async def test_slow_readers_that_ask_again_and_again(self):
        await self.press([[ask(b"1", 4000)]] * MANY, receives=False)

    async def test_requests_without_end_at_once(self):
        await self.press([[ask(b"held"), ask(b"1", 2000)]] * MANY)


class ManyReadersCrowdTest(crowds.CrowdTestCase):
    """As many descriptors for as much memory as machines of operators have."""

    memory_mb = 160
    max_fds = 4100

    async def test_slow_readers(self):
        await self.press([[ask(b"large")]] * 1200, receives=False)


class ConnectionCrowdTest(crowds.CrowdTestCase):
    async def test_silent_connections(self):
        await self.press([[]] * 600)

    async def test_unfinished_heads(self):
        await self.press([[crowds.START]] * 600)

    async def test_idle_connections(self):
        await self.press([[ask(b"1")]] * 600)


class MixedCrowdTest(crowds.CrowdTestCase):
    async def test_all_sorts(self):
        body = crowds.START + b"Content-Length: 4194304\r\n\r\n"
        sorts = [
            lambda: [fill_head(b"ab:cd\r\n", UNFINISHED)],
            lambda: crowds.repeat(crowds.START, b"ab: cd\r\n", 256 * KB),
            lambda: crowds.repeat(b"", b"\r\n", 256 * KB),
            lambda: crowds.repeat(CHUNKED + b"0\r\n", b"ab: cd\r\n", 256 * KB),
            lambda: crowds.repeat(CHUNKED + b"1;", b"abc=d;", 256 * KB),
            lambda: crowds.repeat(CHUNKED, b"1\r\nx\r\n", 256 * KB),
            lambda: crowds.repeat(body, b"x", 1024 * KB),
            lambda: [ask(b"large", 4)],
            list,
        ]
        await self.press(sorts[n % len(sorts)]() for n in range(400))


class OtherListenerCrowdTest(crowds.CrowdTestCase):
    async def press_page(self, port):
        start = CHUNKED + b"1\r\nx\r\n0\r\n"
        body = crowds.START + b"Content-Length: 4194304\r\n\r\n"
        messages = [
            crowds.repeat(start, b"ab: cd\r\n", 256 * KB) for _ in range(MANY // 2)
        ]
        messages += [crowds.repeat(body, b"x", 1024 * KB) for _ in range(MANY // 2)]
        await self.press(messages, port)

    async def test_readiness(self):
        await self.press_page(crowds.READY_PORT)

    async def test_metrics(self):
        await self.press_page(crowds.METRICS_PORT)

    async def press_messages(self, port):
        # The head of a binary string of 4 MB less one byte.
        start = b"\xc6\x00\x3f\xff\xff"
        await self.press(
            (crowds.repeat(start, b"x", 1024 * KB) for _ in range(MANY)), port
        )

    async def test_reports(self):
        await self.press_messages(crowds.REPORT_PORT)

    async def test_offers(self):
        await self.press_messages(crowds.OFFER_PORT)

    async def test_permits(self):
        await self.press_messages(crowds.PERMIT_PORT)
