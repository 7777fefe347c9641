"""What entry routers tell each other about crashes of upstreams and their causes."""

import enum
import hashlib

import msgspec

from teaselsill import ids

MAX_KEY_CHARS = 32
"""Longer ids of prompt parts are replaced by a digest, so that reports stay small."""
DIGEST_BYTES = 8


class Stage(enum.IntEnum):
    """How far the response to a request had come when its upstream crashed."""

    WAITING = 0
    """Nothing had arrived."""
    HEAD = 1
    """Its head had arrived, but no data."""
    DATA = 2
    """Data had arrived, but the response had begun only shortly before."""


class SuspectPart(msgspec.Struct, array_like=True, frozen=True):
    """A part of the prompt of a request that may have crashed an upstream.

    Attributes:
        key: The part.
        has_survived: Whether the reporting router knows an earlier response to a prompt
            with this part that did not crash its upstream.
    """

    key: ids.PartKey
    has_survived: bool


class Suspect(msgspec.Struct, array_like=True, frozen=True):
    """A request that was in progress when its upstream crashed.

    Attributes:
        request: The request.
        parts: The parts of its prompt that other requests may share, in order.
        stage: How far its response had come.
    """

    request: ids.RequestId
    parts: list[SuspectPart]
    stage: Stage

    @property
    def has_begun(self) -> bool:
        """Whether the response had begun."""
        return self.stage is not Stage.WAITING


class Crash(msgspec.Struct, array_like=True, frozen=True):
    """A crash of an upstream, as one router has seen it.

    Attributes:
        upstream: The upstream.
        born_ms: When the crashed incarnation started, in Unix milliseconds.
        age_s: How long ago it crashed, in seconds.
        suspects: The requests of this router that may have caused it.
    """

    upstream: ids.UpstreamId
    born_ms: int
    age_s: float
    suspects: list[Suspect]


class Survival(msgspec.Struct, array_like=True, frozen=True):
    """A response to a prompt with a suspected part that did not crash its upstream.

    Attributes:
        part: The part.
        age_s: How long ago the response began, in seconds.
    """

    part: ids.PartKey
    age_s: float


class QuarantinedPart(msgspec.Struct, array_like=True, frozen=True):
    """A prompt part whose requests are rejected because they crash upstreams.

    Attributes:
        part: The part.
        age_s: How long ago it was last seen to crash an upstream, in seconds.
        failed_trials: How many trials in a row have crashed an upstream again.
        tried_age_s: How long ago a request with it was last sent as a trial, in
            seconds; None if none was.
    """

    part: ids.PartKey
    age_s: float
    failed_trials: int
    tried_age_s: float | None = None


class TrialClaim(msgspec.Struct, array_like=True, frozen=True):
    """A router's claim to send the trial of a quarantined part.

    Attributes:
        part: The part.
        age_s: How long ago it was made, in seconds.
        rank: A random number; of several claims, the lowest one holds.
    """

    part: ids.PartKey
    age_s: float
    rank: int


class News(msgspec.Struct, array_like=True, frozen=True):
    """What a router has learnt about crashes since its last report.

    Attributes:
        crashes: The crashes that it has seen.
        survivals: The suspected parts that have turned out to be harmless.
        quarantined: The parts that it has put under quarantine, or all of them.
        claims: The claims that it has made.
    """

    crashes: list[Crash] = []
    survivals: list[Survival] = []
    quarantined: list[QuarantinedPart] = []
    claims: list[TrialClaim] = []


NO_NEWS = News()


def make_key(part: str) -> ids.PartKey:
    """Returns the key of a prompt part, which is short even if its id is not."""
    if len(part) <= MAX_KEY_CHARS:
        return ids.PartKey(part)
    digest = hashlib.blake2b(part.encode(), digest_size=DIGEST_BYTES)
    return ids.PartKey(digest.hexdigest())
