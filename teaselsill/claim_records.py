"""The records of the claim streams, and where a key's records are kept."""

import hashlib
import typing

import msgspec

from teaselsill import errors, ids

PARTITION_COUNT = 16
"""How many streams the keys of a service are spread over; never change it."""

DIGEST_BYTES = 16
"""The length of key digests and request digests."""

MAX_STORED_BODY_BYTES = 4096
"""The longest answer body that is kept for a caller's retry."""

ClaimId = typing.NewType("ClaimId", str)
Digest = typing.NewType("Digest", bytes)


class UnreadableRecordError(errors.LogError):
    """A claim stream holds a record of an unknown form."""


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """An agent asks for a key.

    Attributes:
        id: Names this claim.
        account: The client account.
        key: The digest of the client account and its key.
        request: The digest of the request.
        incarnation: The agent that asks.
        claimed_at: The time of the claim, in seconds since the epoch.
    """

    id: ClaimId
    account: ids.AccountId
    key: Digest
    request: Digest
    incarnation: ids.Incarnation
    claimed_at: float


class Release(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The run of a claim has not happened and never will."""

    id: ClaimId
    key: Digest


class Ran(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The run of a claim has happened.

    Attributes:
        id: The claim.
        key: The digest of the client account and its key.
        request: The digest of the request.
        status: The status of the answer.
        headers: The headers of the answer.
        body: The body of the answer, or none if it is too long to be stored.
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
    """Returns a digest of byte strings that depends on where each one ends."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return Digest(hasher.digest())


def partition_number(key: Digest) -> int:
    """Returns the number of the partition that a key belongs to."""
    return int.from_bytes(key[:4], "big") % PARTITION_COUNT


def stream_name(service: ids.ServiceName, partition: int) -> str:
    """Returns the name of the stream of a service's partition."""
    return f"claims.{service}.{partition}"


def encode(records: list[Record]) -> bytes:
    """Packs records for one append."""
    return msgspec.msgpack.encode(records)


def decode(data: bytes) -> list[Record]:
    """Unpacks the records of one append.

    Raises:
        UnreadableRecordError: The data is not of this form.
    """
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise UnreadableRecordError(str(error)) from error
