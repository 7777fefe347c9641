import asyncio
import enum
import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import errors, messages, response_delivery

HEAD = messages.Head("r:1", 200, [])
RAN = (messages.Outcome.RAN, messages.Reason.NONE)


def body(sequence, data=b"x"):
    return messages.Body("r:1", sequence, data)


def end(sequence):
    return messages.End("r:1", sequence, *RAN)


class Step(enum.Enum):
    PUT = 0
    ATTACH = 1
    ACKNOWLEDGE = 2
    READ = 3
    CUT = 4


class ResponseSenderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.sender = response_delivery.ResponseSender("r:1", window_bytes=1000)
        self.sent = []
        await self.sender.put_head(200, [])

    async def test_body_waits_for_acknowledgement(self):
        await self.sender.put_body(b"x" * 1000)
        waiting = asyncio.create_task(self.sender.put_body(b"y"))
        await asyncio.sleep(0.01)
        self.assertFalse(waiting.done())
        self.sender.acknowledge(1)
        await asyncio.wait_for(waiting, 1)
        overhead = response_delivery.FRAME_OVERHEAD_BYTES
        self.assertEqual(overhead + 1, self.sender.unacknowledged_bytes)

    async def test_end_releases_a_waiting_body(self):
        await self.sender.put_body(b"x" * 1000)
        waiting = asyncio.create_task(self.sender.put_body(b"y"))
        await asyncio.sleep(0)
        self.sender.end(messages.Outcome.UNKNOWN, messages.Reason.CANCELLED)
        with self.assertRaises(response_delivery.ResponseEndedError):
            await asyncio.wait_for(waiting, 1)

    async def test_later_connection_replaces_an_earlier_one(self):
        earlier = []
        self.sender.attach(earlier.append, 0)
        self.sender.attach(self.sent.append, 1)
        self.sender.detach(earlier.append)
        await self.sender.put_body(b"x")
        self.assertEqual([HEAD], earlier)
        self.assertEqual([body(1)], self.sent)

    async def test_frames_are_kept_when_a_connection_breaks(self):
        def send(message):
            raise errors.LinkError("closed")

        self.sender.attach(send, 0)
        await self.sender.put_body(b"x")
        self.sender.attach(self.sent.append, 0)
        self.assertEqual([HEAD, body(1)], self.sent)

    async def test_is_delivered_once_the_end_is_acknowledged(self):
        self.sender.acknowledge(0)
        self.sender.end(*RAN)
        self.assertFalse(await self.sender.wait_delivered(0.01))
        self.sender.acknowledge(1)
        self.assertTrue(await self.sender.wait_delivered(0.01))

    async def test_wrong_sequence_numbers_are_rejected(self):
        with self.assertRaises(response_delivery.SequenceError):
            self.sender.acknowledge(1)
        self.sender.acknowledge(0)
        for sequence in (0, 2):
            with self.assertRaises(response_delivery.SequenceError):
                self.sender.attach(self.sent.append, sequence)


class ResponseReceiverTest(unittest.TestCase):
    def setUp(self):
        self.receiver = response_delivery.ResponseReceiver("r:1")

    def receive(self, *frames):
        return [new for frame in frames for new in self.receiver.receive(frame)]

    def test_duplicates_are_dropped(self):
        frames = [HEAD, HEAD, body(1), HEAD, body(1), end(2), body(1), end(2)]
        self.assertEqual([HEAD, body(1), end(2)], self.receive(*frames))
        self.receiver.check_complete()

    def test_missing_frame_is_detected(self):
        for frame, expected in ((body(1), 0), (body(0), 0), (end(1), 0)):
            with self.assertRaises(response_delivery.MissingFrameError) as caught:
                self.receiver.receive(frame)
            self.assertEqual(expected, caught.exception.expected)

    def test_frame_of_another_attempt_raises(self):
        with self.assertRaises(response_delivery.CrossedAnswerError):
            self.receiver.receive(messages.Body("r:2", 0, b"x"))

    def test_end_that_contradicts_the_frames_raises(self):
        self.receive(HEAD, body(1), body(2))
        with self.assertRaises(response_delivery.TruncatedAnswerError):
            self.receiver.receive(end(2))
        with self.assertRaises(response_delivery.TruncatedAnswerError):
            self.receiver.check_complete()
        self.receive(end(3))
        for frame in (body(3), body(4), end(4)):
            with self.assertRaises(response_delivery.TruncatedAnswerError):
                self.receiver.receive(frame)


class DeliveryTest(unittest.TestCase):
    """A body is delivered once and in order over connections that are cut at random."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.sampled_from(Step), strategies.integers(0, 9)),
            min_size=8,
            max_size=40,
        )
    )
    def test_response_is_complete_only_with_all_frames_whatever_faults(self, steps):
        asyncio.run(self.deliver(steps))

    async def deliver(self, steps):
        sender = response_delivery.ResponseSender("r:1", window_bytes=100_000)
        receiver = response_delivery.ResponseReceiver("r:1")
        links, put, received = [[]], b"", []
        sender.attach(links[0].append, 0)
        await sender.put_head(200, [])
        for step, number in steps:
            link = links[number % len(links)]
            match step:
                case Step.PUT:
                    await sender.put_body(bytes([len(put)]))
                    put += bytes([len(put)])
                case Step.ATTACH:
                    links.append([])
                    sender.attach(links[-1].append, receiver.next_sequence)
                case Step.ACKNOWLEDGE:
                    sender.acknowledge(receiver.next_sequence - 1)
                case Step.READ | Step.CUT:
                    received += self.read(receiver, link, step is Step.CUT)
            self.assertTrue(put.startswith(self.join(received)))
            self.assertFalse(receiver.is_complete)
        sender.end(*RAN)
        for link in links:
            received += self.read(receiver, link, cut=False)
        links.append([])
        sender.attach(links[-1].append, receiver.next_sequence)
        received += self.read(receiver, links[-1], cut=False)
        receiver.check_complete()
        self.assertEqual(put, self.join(received))

    def join(self, frames):
        return b"".join(f.data for f in frames if isinstance(f, messages.Body))

    def read(self, receiver, link, cut):
        frames = link[:1] if cut else list(link)
        del link[: len(frames)]
        if cut:
            link.clear()
        new = []
        for frame in frames:
            try:
                new += receiver.receive(frame)
            except response_delivery.MissingFrameError:
                link.clear()
                break
        return new
