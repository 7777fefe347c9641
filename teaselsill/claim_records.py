"""The records of the claim streams and their assignment to partitions.

A claim reserves an idempotency key, so that its request runs at most once.
"""

import hashlib
import typing

import msgspec

from teaselsill import errors, ids

PARTITION_COUNT = 16
"""The number of partitions per service, each with its own stream.

It must never change: the records of existing keys would not be found any more.
"""

DIGEST_BYTES = 16
"""The length of key digests and request digests, in bytes."""

MAX_STORED_BODY_BYTES = 4096
"""The longest response body that is stored for retries by the caller."""

ClaimId = typing.NewType("ClaimId", str)
Digest = typing.NewType("Digest", bytes)


class UnreadableRecordError(errors.LogError):
    """A claim stream contains a record that cannot be decoded."""


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """An agent claims a key for a request.

    Attributes:
        id: The id of the claim.
        account: The client account.
        key: The digest of the client account and the key.
        request: The digest of the request.
        incarnation: The agent that claims the key.
        claimed_at: The time of the claim, in seconds since the epoch.
    """

    id: ClaimId
    account: ids.AccountId
    key: Digest
    request: Digest
    incarnation: ids.Incarnation
    claimed_at: float


class Release(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A claim ends; its request has not run and never will.

    Attributes:
        id: The id of the claim.
        key: The digest of the client account and the key.
    """

    id: ClaimId
    key: Digest


class Ran(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The request of a claim has run.

    Attributes:
        id: The id of the claim.
        key: The digest of the client account and the key.
        request: The digest of the request.
        status: The status of the response.
        headers: The headers of the response.
        body: The body of the response, or none if it is too long to be stored.
    """

    id: ClaimId
    key: Digest
    request: Digest
    status: int
    headers: list[tuple[str, str]]
    body: bytes | None


Record = Claim | Release | Ran

_DECODER = msgspec.msgpack.Decoder(list[Record])


def digest_key(account: ids.AccountId, key: str) -> Digest:
    """Returns the digest of a client account and its idempotency key."""
    return digest_parts(account.encode(), key.encode())


def digest_parts(*parts: bytes) -> Digest:
    """Returns a digest of byte strings, which also depends on their lengths."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return Digest(hasher.digest())


def partition_number(key: Digest) -> int:
    """Returns the number of the partition of a key."""
    return int.from_bytes(key[:4], "big") % PARTITION_COUNT


def stream_name(service: ids.ServiceName, partition: int) -> str:
    """Returns the name of the stream of a service's partition."""
    return f"claims.{service}.{partition}"


def encode(records: list[Record]) -> bytes:
    """Encodes the records of one append."""
    return msgspec.msgpack.encode(records)


def decode(data: bytes) -> list[Record]:
    """Decodes the records of one append.

    Raises:
        UnreadableRecordError: The data is not a list of records.
    """
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise UnreadableRecordError(str(error)) from error
