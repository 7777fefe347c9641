"""The records of the configuration stream and the state that they lead to.

See docs/design/configuration.md.
"""

import collections.abc
import dataclasses
import enum
import logging
import time

import msgspec

from teaselsill import document, errors, ids, log

STREAM = "configuration"
MAX_DOCUMENT_BYTES = 1024 * 1024
MAX_RECORD_BYTES = MAX_DOCUMENT_BYTES + 4096
MAX_NAME_BYTES = 256

logger = logging.getLogger(__name__)


class RecordError(errors.ConfigurationError):
    """A record of the configuration stream cannot be read or is too large."""


class RevertedConfigurationError(errors.InvariantError):
    """A node was about to go back to an older configuration."""


class Publish(msgspec.Struct, frozen=True, array_like=True, tag="publish"):
    """An operator's attempt to replace the configuration.

    Attributes:
        based_on: The version that it replaces.
        document: The text of the document.
        publisher: Who publishes.
        publish_id: Names this attempt.
        written_at: The publisher's wall clock, in seconds since the epoch.
    """

    based_on: ids.Version
    document: bytes
    publisher: str
    publish_id: str
    written_at: float


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag="restate"):
    """Says what was in force at an offset, so that older records may expire.

    Attributes:
        version: The version after all records up to and with `as_of`.
        as_of: The last offset that the writer had folded.
        document: The text of that version; empty for `NO_VERSION`.
        publisher: Who published that version; empty if not known.
        written_at: The writer's wall clock, in seconds since the epoch.
    """

    version: ids.Version
    as_of: ids.Offset
    document: bytes
    publisher: str
    written_at: float


AnyRecord = Publish | Snapshot

_decoder = msgspec.msgpack.Decoder(AnyRecord)


def pack(record: AnyRecord) -> bytes:
    """Returns the bytes of a record.

    Raises:
        RecordError: The record is too large.
    """
    data = msgspec.msgpack.encode(record)
    _check_size(record)
    return data


def unpack(data: bytes) -> AnyRecord:
    """Reads a record.

    Raises:
        RecordError: The bytes are not a record or are too many.
    """
    if len(data) > MAX_RECORD_BYTES:
        raise RecordError(f"a record of {len(data)} bytes is too large")
    try:
        record = _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise RecordError(f"unreadable record: {error}") from error
    _check_size(record)
    return record


def _check_document_size(text: bytes) -> None:
    if len(text) > MAX_DOCUMENT_BYTES:
        raise RecordError(f"the document exceeds {MAX_DOCUMENT_BYTES} bytes")


def _check_size(record: AnyRecord) -> None:
    _check_document_size(record.document)
    if len(record.publisher.encode()) > MAX_NAME_BYTES:
        raise RecordError(f"the publisher's name exceeds {MAX_NAME_BYTES} bytes")


class Verdict(enum.Enum):
    """What became of a publication."""

    ACCEPTED = "accepted"
    CONFLICT = "refused, based on another version"
    INVALID = "refused, invalid"
    UNDETERMINED = "undetermined"


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A publication in the history.

    Attributes:
        version: Its offset, which is its version if it was accepted.
        based_on: The version that it was to replace.
        publisher: Who published it.
        publish_id: The id of the attempt.
        published_at: When, by the publisher's wall clock, in seconds since the epoch.
        verdict: What became of it.
        detail: Why, if it was not accepted.
    """

    version: ids.Version
    based_on: ids.Version
    publisher: str
    publish_id: str
    published_at: float
    verdict: Verdict
    detail: str = ""


class ConfigurationState:
    """The state that the records of the stream lead to, one after the other.

    The same rule on every node: a publication is accepted if its document is valid
    and it is based on the version that is in force. Until the fold has an anchor, it
    only looks for one.

    Args:
        clock: Returns the wall clock, in seconds since the epoch.

    Attributes:
        version: The version in force.
        text: The text of its document.
        document: Its document; None for `NO_VERSION`.
        publisher: Who published it; empty if not known.
        next_offset: The offset of the record that is wanted next.
        is_anchored: Whether the state is known to be the one before `next_offset`.
        anchored_at: The age of the stream's newest anchor, as the wall-clock time of
            the first record that a reader of that anchor needs; None if nothing
            was folded yet.
        unreadable: How many records could not be read.
        refused: How many publications were refused.
        reverts: How often the state was about to fall back to an older version.
    """

    def __init__(self, clock: collections.abc.Callable[[], float] = time.time):
        self.version = ids.NO_VERSION
        self.text = b""
        self.document: document.Document | None = None
        self.publisher = ""
        self.next_offset = ids.Offset(0)
        self.is_anchored = True
        self.anchored_at: float | None = None
        self.unreadable = 0
        self.refused = 0
        self.reverts = 0
        self._clock = clock
        self._earliest = ids.Offset(0)
        self._awaits_first_record = True

    def apply(self, record: log.Record) -> HistoryEntry | None:
        """Folds one record; skips it unless it is the one that is wanted next.

        Returns:
            The history entry of a publication; None for any other record.
        """
        if record.offset != self.next_offset:
            return None
        self.next_offset = ids.Offset(record.offset + 1)
        try:
            unpacked = unpack(record.data)
        except RecordError as error:
            logger.warning("record %d ignored: %s", record.offset, error)
            self.unreadable += 1
            self._note_first_record(0.0)
            return None
        if self.is_anchored:
            self._note_first_record(unpacked.written_at)
        match unpacked:
            case Publish():
                return self._take_publish(ids.Version(record.offset), unpacked)
            case Snapshot():
                self._take_restate(record.offset, unpacked)
                return None

    def skip_expired(self, earliest: ids.Offset) -> None:
        """Notes that records which were wanted next have expired.

        The version stays, but what follows it is not known until an anchor is found.
        """
        self.is_anchored = False
        self.next_offset = earliest
        self._earliest = earliest

    def apply_from_peer(
        self, version: ids.Version, text: bytes, snapshot_after_s: float
    ) -> bool:
        """Takes a peer's configuration if its version is higher.

        A version is in force right after its own offset, so the fold goes on there.
        A fold that has read past that offset knows better and refuses.

        Raises:
            DocumentError: The document is not valid.
            RecordError: The document is too large.
        """
        if version <= self.version or self._has_folded(version):
            return False
        _check_document_size(text)
        parsed = document.parse(text)
        self._set(version, text, parsed, "")
        self.next_offset = ids.Offset(version + 1)
        self._earliest = self.next_offset
        self.is_anchored = True
        self._awaits_first_record = False
        if self.anchored_at is None:
            self.anchored_at = self._clock() - snapshot_after_s
        return True

    def _has_folded(self, offset: ids.Version) -> bool:
        return self.is_anchored and offset < self.next_offset

    def _take_publish(self, offset: ids.Version, record: Publish) -> HistoryEntry:
        verdict, detail = self._judge(offset, record)
        if verdict in (Verdict.CONFLICT, Verdict.INVALID):
            self.refused += 1
        return HistoryEntry(
            offset,
            record.based_on,
            record.publisher,
            record.publish_id,
            record.written_at,
            verdict,
            detail,
        )

    def _judge(self, offset: ids.Version, record: Publish) -> tuple[Verdict, str]:
        if not self.is_anchored:
            return Verdict.UNDETERMINED, "the records before it have expired"
        if record.based_on != self.version:
            return Verdict.CONFLICT, f"version {self.version} was in force"
        try:
            parsed = document.parse(record.document)
        except document.DocumentError as error:
            return Verdict.INVALID, "; ".join(error.faults)
        self._set(offset, record.document, parsed, record.publisher)
        return Verdict.ACCEPTED, ""

    def _take_restate(self, offset: ids.Offset, record: Snapshot) -> None:
        if self.is_anchored:
            self._note_anchor(offset, record)
        elif self._is_usable(offset, record):
            self._adopt(record)

    def _note_anchor(self, offset: ids.Offset, record: Snapshot) -> None:
        is_newest = record.as_of == offset - 1
        if is_newest and self._agrees(record):
            self.anchored_at = min(record.written_at, self._clock())

    def _agrees(self, record: Snapshot) -> bool:
        return record.version == self.version and record.document == self.text

    def _is_usable(self, offset: ids.Offset, record: Snapshot) -> bool:
        return (
            record.as_of + 1 >= self._earliest
            and self.version <= record.version <= record.as_of < offset
        )

    def _adopt(self, record: Snapshot) -> None:
        parsed = None
        if record.version != ids.NO_VERSION:
            try:
                parsed = document.parse(record.document)
            except document.DocumentError as error:
                logger.warning("restated version %d: %s", record.version, error)
                return
        if record.version > self.version:
            self._set(record.version, record.document, parsed, record.publisher)
        self.next_offset = ids.Offset(record.as_of + 1)
        self.is_anchored = True
        self._awaits_first_record = True

    def _set(self, version, text, parsed, publisher) -> None:
        if version < self.version:
            self.reverts += 1
            raise RevertedConfigurationError(
                f"version {version} was to replace version {self.version}"
            )
        self.version = version
        self.text = text
        self.document = parsed
        self.publisher = publisher

    def _note_first_record(self, at: float) -> None:
        if self.is_anchored and self._awaits_first_record:
            self.anchored_at = min(at, self._clock())
            self._awaits_first_record = False
