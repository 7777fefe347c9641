import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import messages, wire


class PackTest(unittest.TestCase):
    def test_messages_split_at_any_byte_are_decoded(self):
        sent = [
            messages.Demand("north", 3, 250),
            messages.Dispatch(
                7, "a1", "r1", "north", "POST", "/x", [("a", "b")], b"\0\xff", 900,
                False, "key", 12,
            ),
            messages.Report(1, {"north": 5}, ["north"], {}),
        ]  # fmt: skip
        data = b"".join(wire.pack(message) for message in sent)
        unpacker = wire.Unpacker()
        received = []
        for index in range(len(data)):
            received += unpacker.feed(data[index : index + 1])
        self.assertEqual(sent, received)


class UnpackerTest(unittest.TestCase):
    @hypothesis.given(strategies.binary(max_size=200))
    def test_garbage_gives_messages_or_a_malformed_message_error(self, data):
        try:
            received = wire.Unpacker().feed(data)
        except wire.MalformedMessageError:
            return
        for message in received:
            self.assertIsInstance(message, messages.Message)

    def test_message_over_the_size_limit_is_rejected(self):
        unpacker = wire.Unpacker(max_bytes=100)
        data = wire.pack(messages.Body("a1", 1, bytes(200)))
        with self.assertRaises(wire.MalformedMessageError):
            unpacker.feed(data)
