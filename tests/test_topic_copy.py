import asyncio
import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from teaselsill import (
    http_messages,
    ids,
    keyed_follower,
    keyed_log,
    log,
    log_position,
    topic_copy,
)
from tests import entry_bench, test_fleet_view, test_keyed_follower, test_keyed_log

TOPIC = test_keyed_follower.TOPIC
RECORD = keyed_log.KeyedRecord("config", b"9")


ERA = test_keyed_log.at(0).era


def make_page(offset=5, era=ERA):
    end = log_position.Position(era, ids.Offset(offset))
    return keyed_log.KeyedPage([RECORD], end)


class TurningAwayLog(test_keyed_log.MemoryKeyedLog):
    """A log that may be listed once and then turns this reader away."""

    async def read(self, topic, start, wait_s):
        raise log.LogUnavailableError("status 503")


class CopyReaderTest(unittest.IsolatedAsyncioTestCase):
    """A router that the log turns away hears of a change that others have read."""

    async def asyncSetUp(self):
        source = TurningAwayLog()
        await source.put(TOPIC, keyed_log.KeyedRecord("config", b"3"))
        self.view = test_keyed_follower.MemoryView()
        self.follower = keyed_follower.Follower(
            source, TOPIC, self.view, lambda: 1.0, keeps_records=True
        )
        self.page = make_page()
        self.status, self.body = 200, None
        self.peer = entry_bench.ScriptedUpstream("r1", self.respond)
        await self.enterAsyncContext(self.peer)
        reader = topic_copy.CopyReader(self.follower, ids.DataCentre("a"), self)
        for coroutine in (self.follower.run(), reader.run()):
            task = asyncio.create_task(coroutine)
            self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
            self.addCleanup(task.cancel)
        await self.wait_for_value(b"3")

    def list_statuses(self):
        described = self.peer.describe()
        status = test_fleet_view.make_status("a", 1.0)
        status = msgspec.structs.replace(
            status, host=described.host, copy_port=described.port
        )
        return {ids.InstanceId("r1"): status}

    async def respond(self, request, stream):
        body = topic_copy.encode(self.page) if self.body is None else self.body
        head = [("content-length", str(len(body)))]
        stream.write(http_messages.encode_head(self.status, "X", head) + body)

    async def wait_for_value(self, value):
        async with asyncio.timeout(5.0):
            while self.view.by_key != {"config": value}:
                self.view.changed.clear()
                await self.view.changed.wait()

    async def wait_for_copies(self, count):
        async with asyncio.timeout(5.0):
            while len(self.peer.requests) < count:  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    async def test_known_change_is_applied(self):
        """Its callers were served by the older configuration all the while."""
        self.follower.wake_for(test_keyed_log.at(4))
        await self.wait_for_value(b"9")
        self.assertFalse(self.follower.needs_copy)
        count = len(self.peer.requests)
        await asyncio.sleep(2 * topic_copy.CHECK_S)
        self.assertEqual(count, len(self.peer.requests))

    async def test_no_copy_without_a_known_change(self):
        await asyncio.sleep(2 * topic_copy.CHECK_S)
        self.assertEqual([], self.peer.requests)

    async def test_copy_of_another_era_changes_nothing(self):
        self.page = make_page(era=ids.Era(ERA + 1))
        self.follower.wake_for(test_keyed_log.at(4))
        await self.wait_for_copies(2)
        self.assertEqual({"config": b"3"}, self.view.by_key)

    async def test_copy_that_ends_earlier_changes_nothing(self):
        self.page = make_page(offset=0)
        self.follower.wake_for(test_keyed_log.at(4))
        await self.wait_for_copies(2)
        self.assertEqual({"config": b"3"}, self.view.by_key)

    async def test_another_copy_is_asked_for_after_a_bad_one(self):
        self.body = b"\xc1"
        self.follower.wake_for(test_keyed_log.at(4))
        await self.wait_for_copies(1)
        self.body, self.status = b"", 404
        await self.wait_for_copies(2)
        self.body, self.status = None, 200
        await self.wait_for_value(b"9")


class DecodeTest(unittest.TestCase):
    def test_copy_is_decoded_as_it_was_encoded(self):
        page = make_page()
        self.assertEqual(page, topic_copy.decode(topic_copy.encode(page)))

    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_are_a_copy_or_raise_an_error(self, body):
        try:
            topic_copy.decode(body)
        except topic_copy.CopyFailedError:
            pass


class ChooseTest(unittest.TestCase):
    def test_router_of_the_same_data_centre_is_preferred(self):
        statuses = [
            test_fleet_view.make_status("b", 0.0),
            test_fleet_view.make_status("a", 9.0),
            test_fleet_view.make_status("a", 0.0),
        ]
        others = {
            ids.InstanceId(f"r{n}"): msgspec.structs.replace(s, copy_port=port)
            for n, (s, port) in enumerate(zip(statuses, (1, 1, 0), strict=True))
        }
        chosen = {topic_copy.choose_source("a", others) for _ in range(20)}
        self.assertEqual({"r1"}, chosen)
        self.assertIsNone(topic_copy.choose_source("a", {}))
