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


class AnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.answer = response_delivery.ResponseSender("r:1", window_bytes=1000)
        self.sent = []
        await self.answer.put_head(200, [])

    async def test_body_waits_for_acknowledgement(self):
        await self.answer.put_body(b"x" * 1000)
        waiting = asyncio.create_task(self.answer.put_body(b"y"))
        await asyncio.sleep(0.01)
        self.assertFalse(waiting.done())
        self.answer.acknowledge(1)
        await asyncio.wait_for(waiting, 1)
        overhead = response_delivery.FRAME_OVERHEAD_BYTES
        self.assertEqual(overhead + 1, self.answer.unacknowledged_bytes)

    async def test_end_releases_a_waiting_body(self):
        await self.answer.put_body(b"x" * 1000)
        waiting = asyncio.create_task(self.answer.put_body(b"y"))
        await asyncio.sleep(0)
        self.answer.end(messages.Outcome.UNKNOWN, messages.Reason.CANCELLED)
        with self.assertRaises(response_delivery.ResponseEndedError):
            await asyncio.wait_for(waiting, 1)

    async def test_later_connection_replaces_the_earlier(self):
        earlier = []
        self.answer.attach(earlier.append, 0)
        self.answer.attach(self.sent.append, 1)
        self.answer.detach(earlier.append)
        await self.answer.put_body(b"x")
        self.assertEqual([HEAD], earlier)
        self.assertEqual([body(1)], self.sent)

    async def test_broken_connection_keeps_the_frames(self):
        def send(message):
            raise errors.LinkError("closed")

        self.answer.attach(send, 0)
        await self.answer.put_body(b"x")
        self.answer.attach(self.sent.append, 0)
        self.assertEqual([HEAD, body(1)], self.sent)

    async def test_delivered_only_when_the_end_is_acknowledged(self):
        self.answer.acknowledge(0)
        self.answer.end(*RAN)
        self.assertFalse(await self.answer.wait_delivered(0.01))
        self.answer.acknowledge(1)
        self.assertTrue(await self.answer.wait_delivered(0.01))

    async def test_wrong_sequence_numbers_are_refused(self):
        with self.assertRaises(response_delivery.SequenceError):
            self.answer.acknowledge(1)
        self.answer.acknowledge(0)
        for sequence in (0, 2):
            with self.assertRaises(response_delivery.SequenceError):
                self.answer.attach(self.sent.append, sequence)


class AssemblyTest(unittest.TestCase):
    def setUp(self):
        self.assembly = response_delivery.ResponseReceiver("r:1")

    def take(self, *frames):
        return [new for frame in frames for new in self.assembly.receive(frame)]

    def test_duplicates_are_dropped(self):
        frames = [HEAD, HEAD, body(1), HEAD, body(1), end(2), body(1), end(2)]
        self.assertEqual([HEAD, body(1), end(2)], self.take(*frames))
        self.assembly.check_complete()

    def test_gap_is_found(self):
        for frame, expected in ((body(1), 0), (body(0), 0), (end(1), 0)):
            with self.assertRaises(response_delivery.MissingFrameError) as caught:
                self.assembly.receive(frame)
            self.assertEqual(expected, caught.exception.expected)

    def test_frame_of_another_attempt_raises(self):
        with self.assertRaises(response_delivery.CrossedAnswerError):
            self.assembly.receive(messages.Body("r:2", 0, b"x"))

    def test_end_that_contradicts_the_frames_raises(self):
        self.take(HEAD, body(1), body(2))
        with self.assertRaises(response_delivery.TruncatedAnswerError):
            self.assembly.receive(end(2))
        with self.assertRaises(response_delivery.TruncatedAnswerError):
            self.assembly.check_complete()
        self.take(end(3))
        for frame in (body(3), body(4), end(4)):
            with self.assertRaises(response_delivery.TruncatedAnswerError):
                self.assembly.receive(frame)


class DeliveryTest(unittest.TestCase):
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.sampled_from(Step), strategies.integers(0, 9)),
            min_size=8,
            max_size=40,
        )
    )
    def test_any_faults_give_the_body_or_no_complete_answer(self, steps):
        asyncio.run(self.deliver(steps))

    async def deliver(self, steps):
        answer = response_delivery.ResponseSender("r:1", window_bytes=100_000)
        assembly = response_delivery.ResponseReceiver("r:1")
        links, put, received = [[]], b"", []
        answer.attach(links[0].append, 0)
        await answer.put_head(200, [])
        for step, number in steps:
            link = links[number % len(links)]
            match step:
                case Step.PUT:
                    await answer.put_body(bytes([len(put)]))
                    put += bytes([len(put)])
                case Step.ATTACH:
                    links.append([])
                    answer.attach(links[-1].append, assembly.next_sequence)
                case Step.ACKNOWLEDGE:
                    answer.acknowledge(assembly.next_sequence - 1)
                case Step.READ | Step.CUT:
                    received += self.read(assembly, link, step is Step.CUT)
            self.assertTrue(put.startswith(self.join(received)))
            self.assertFalse(assembly.is_complete)
        answer.end(*RAN)
        for link in links:
            received += self.read(assembly, link, cut=False)
        links.append([])
        answer.attach(links[-1].append, assembly.next_sequence)
        received += self.read(assembly, links[-1], cut=False)
        assembly.check_complete()
        self.assertEqual(put, self.join(received))

    def join(self, frames):
        return b"".join(f.data for f in frames if isinstance(f, messages.Body))

    def read(self, assembly, link, cut):
        frames = link[:1] if cut else list(link)
        del link[: len(frames)]
        if cut:
            link.clear()
        new = []
        for frame in frames:
            try:
                new += assembly.receive(frame)
            except response_delivery.MissingFrameError:
                link.clear()
                break
        return new
