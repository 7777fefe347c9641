"""Packs messages for a stream, and unpacks them with bounds on their size."""

import msgpack
import msgspec

from teaselsill import errors, messages

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
"""The largest message that is accepted from a peer that has proved itself."""


class MalformedMessageError(errors.LinkError):
    """The peer sent bytes that are no message of this protocol."""


def pack(message: msgspec.Struct) -> bytes:
    """Packs one message."""
    return msgspec.msgpack.encode(message)


class Unpacker:
    """Turns the bytes of a stream into messages.

    Args:
        max_bytes: The largest message that is accepted, in bytes.
        message_type: The type of the messages.
    """

    def __init__(
        self, max_bytes: int = MAX_MESSAGE_BYTES, message_type=messages.AnyMessage
    ):
        self._decoder = msgspec.msgpack.Decoder(message_type)
        self._scanner = msgpack.Unpacker(max_buffer_size=max_bytes)
        self._buffer = bytearray()
        self._buffer_offset = 0

    def feed(self, data: bytes) -> list:
        """Takes the next bytes and returns the messages that are now whole.

        Raises:
            MalformedMessageError: The bytes are no message, or one too large.
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
        """Returns the packed messages that are whole and keeps the rest."""
        self._buffer += data
        whole = []
        start = 0
        while (end := self._find_end()) is not None:
            whole.append(self._buffer[start:end])
            start = end
        del self._buffer[:start]
        self._buffer_offset += start
        return whole

    def _find_end(self) -> int | None:
        try:
            self._scanner.skip()
        except msgpack.OutOfData:
            return None
        return self._scanner.tell() - self._buffer_offset
