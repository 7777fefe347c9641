"""Encodes messages for a byte stream, and decodes them with a limit on their size."""

import msgpack
import msgspec

from teaselsill import errors, messages

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
"""The largest message that is accepted from an authenticated peer."""


class MalformedMessageError(errors.LinkError):
    """The peer sent bytes that are not a message of this protocol."""


def pack(message: msgspec.Struct) -> bytes:
    """Encodes one message."""
    return msgspec.msgpack.encode(message)


class Unpacker:
    """Decodes the messages of a byte stream, which may arrive in any pieces.

    Args:
        max_bytes: The largest message that is accepted, in bytes.
        message_type: The type that the messages are decoded to.
    """

    def __init__(
        self, max_bytes: int = MAX_MESSAGE_BYTES, message_type=messages.AnyMessage
    ):
        self._decoder = msgspec.msgpack.Decoder(message_type)
        self._scanner = msgpack.Unpacker(max_buffer_size=max_bytes)
        self._buffer = bytearray()
        self._buffer_offset = 0

    @property
    def held_bytes(self) -> int:
        """What is kept of an unfinished message, here and in the scanner, in bytes."""
        return 2 * len(self._buffer)

    def feed(self, data: bytes) -> list:
        """Adds the next bytes and returns the messages that are now complete.

        Raises:
            MalformedMessageError: The bytes are not a message, or it is too large.
        """
        try:
            self._scanner.feed(data)
            return [self._decoder.decode(packed) for packed in self._split(data)]
        except msgpack.exceptions.BufferFull as error:
            raise MalformedMessageError("message too large") from error
        except (
            ValueError,
            TypeError,
            RecursionError,
            msgspec.MsgspecError,
            msgpack.UnpackException,
        ) as error:
            raise MalformedMessageError(f"malformed message: {error}") from error

    def _split(self, data: bytes) -> list[bytearray]:
        """Returns the encoded messages that are complete and buffers the rest."""
        self._buffer += data
        complete = []
        start = 0
        while (end := self._find_end()) is not None:
            complete.append(self._buffer[start:end])
            start = end
        del self._buffer[:start]
        self._buffer_offset += start
        return complete

    def _find_end(self) -> int | None:
        """Returns where the next message in the buffer ends, if it is complete."""
        try:
            self._scanner.skip()
        except msgpack.OutOfData:
            return None
        return self._scanner.tell() - self._buffer_offset
