"""Packs messages for a stream, and unpacks them with bounds on their size."""

import msgpack
import msgspec

from teaselsill import errors, messages

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
"""The largest message that is accepted from a peer that has proved itself."""


class MalformedMessageError(errors.LinkError):
    """The peer sent bytes that are no message of this protocol."""


def pack(message: messages.Message) -> bytes:
    """Packs one message."""
    plain = msgspec.to_builtins(message, builtin_types=(bytes,))
    return msgpack.packb(plain)


class Unpacker:
    """Turns the bytes of a stream into messages.

    Args:
        max_bytes: The largest message that is accepted, in bytes.
    """

    def __init__(self, max_bytes: int = MAX_MESSAGE_BYTES):
        self._unpacker = msgpack.Unpacker(max_buffer_size=max_bytes)

    def feed(self, data: bytes) -> list[messages.Message]:
        """Takes the next bytes and returns the messages that are now whole.

        Raises:
            MalformedMessageError: The bytes are no message, or one too large.
        """
        try:
            self._unpacker.feed(data)
            return [_convert(plain) for plain in self._unpacker]
        except msgpack.exceptions.BufferFull as error:
            raise MalformedMessageError("message too large") from error
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise MalformedMessageError(f"malformed message: {error}") from error


def _convert(plain):
    return msgspec.convert(plain, messages.AnyMessage, builtin_types=(bytes,))
