"""The records of the configuration stream and the state computed from them.

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
    """A record of the configuration stream cannot be decoded or is too large."""


class RevertedConfigurationError(errors.InvariantError):
    """A node was about to replace its configuration by an older version."""


class Publish(msgspec.Struct, frozen=True, array_like=True, tag="publish"):
    """The publication of a configuration by an operator.

    Attributes:
        based_on: The version that it replaces; it is rejected if another is in force.
        document: The text of the document.
        publisher: The name of the operator.
        publish_id: The id of the publication.
        written_at: The publisher's wall clock, in seconds since the epoch.
    """

    based_on: ids.Version
    document: bytes
    publisher: str
    publish_id: str
    written_at: float


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag="restate"):
    """A copy of the configuration in force, written before older records expire.

    Attributes:
        version: The version in force after the record at `as_of`.
        as_of: The last offset that the writer had applied.
        document: The text of that version; empty for `NO_VERSION`.
        publisher: Who published that version; empty if unknown.
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
    """Encodes a record.

    Raises:
        RecordError: The record is too large.
    """
    data = msgspec.msgpack.encode(record)
    _check_size(record)
    return data


def unpack(data: bytes) -> AnyRecord:
    """Decodes a record.

    Raises:
        RecordError: The data is not a valid record or is too large.
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
    """The result of a publication."""

    ACCEPTED = "accepted"
    CONFLICT = "refused, based on another version"
    INVALID = "refused, invalid"
    UNDETERMINED = "undetermined"


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A publication in the history.

    Attributes:
        version: Its offset, which is its version if it was accepted.
        based_on: The version that it was meant to replace.
        publisher: Who published it.
        publish_id: The id of the publication.
        published_at: When, by the publisher's wall clock, in seconds since the epoch.
        verdict: Its result.
        detail: The reason, if it was not accepted.
    """

    version: ids.Version
    based_on: ids.Version
    publisher: str
    publish_id: str
    published_at: float
    verdict: Verdict
    detail: str = ""


class ConfigurationState:
    """The configuration in force, computed from the records of the stream in order.

    Every node applies the same rule: a publication is accepted if its document is
    valid and it is based on the version in force. The rule needs an anchor, which is
    a point of the stream where the version in force is known: the start of the
    stream, a snapshot, or the offset of a peer's configuration. Without an anchor,
    because records expired before they were read, the state stays as it is until a
    snapshot is found.

    Args:
        clock: Returns the wall clock, in seconds since the epoch.

    Attributes:
        version: The version in force.
        text: The text of its document.
        document: Its document; None for `NO_VERSION`.
        publisher: Who published it; empty if unknown.
        next_offset: The offset of the next record to apply.
        is_anchored: Whether this is known to be the state right before `next_offset`.
        anchored_at: The wall-clock time of the oldest record that a new reader needs
            to start from the stream's newest anchor; None if nothing was applied
            yet.
        unreadable: The number of records that could not be decoded.
        rejected: The number of rejected publications.
        reverts: How often an older version was about to replace a newer one.
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
        self.rejected = 0
        self.reverts = 0
        self._clock = clock
        self._earliest = ids.Offset(0)
        self._is_anchor_time_pending = True

    def apply(self, record: log.Record) -> HistoryEntry | None:
        """Applies the record at `next_offset`; skips a record at any other offset.

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
            self._set_anchor_time(0.0)
            return None
        if self.is_anchored:
            self._set_anchor_time(unpacked.written_at)
        match unpacked:
            case Publish():
                return self._apply_publish(ids.Version(record.offset), unpacked)
            case Snapshot():
                self._apply_snapshot(record.offset, unpacked)
                return None

    def skip_expired(self, earliest: ids.Offset) -> None:
        """Skips expired records that were not applied, which loses the anchor.

        The version stays, but its successors are unknown until a snapshot is found.

        Args:
            earliest: The first offset that is still available.
        """
        self.is_anchored = False
        self.next_offset = earliest
        self._earliest = earliest

    def apply_from_peer(
        self, version: ids.Version, text: bytes, snapshot_after_s: float
    ) -> bool:
        """Applies a peer's configuration if its version is higher.

        A version is in force right after its own offset, so this state continues
        there. If it has applied the record at that offset already and still has
        another version, the stream contradicts the peer, which is ignored.

        Args:
            version: The peer's version.
            text: The text of its document.
            snapshot_after_s: The age to assume for the newest anchor if `anchored_at`
                is None, in seconds.

        Returns:
            Whether the configuration was applied.

        Raises:
            DocumentError: The document is invalid.
            RecordError: The document is too large.
        """
        if version <= self.version or self._has_applied(version):
            return False
        _check_document_size(text)
        parsed = document.parse(text)
        self._set(version, text, parsed, "")
        self.next_offset = ids.Offset(version + 1)
        self._earliest = self.next_offset
        self.is_anchored = True
        self._is_anchor_time_pending = False
        if self.anchored_at is None:
            self.anchored_at = self._clock() - snapshot_after_s
        return True

    def _has_applied(self, offset: ids.Version) -> bool:
        return self.is_anchored and offset < self.next_offset

    def _apply_publish(self, offset: ids.Version, record: Publish) -> HistoryEntry:
        verdict, detail = self._find_verdict(offset, record)
        if verdict in (Verdict.CONFLICT, Verdict.INVALID):
            self.rejected += 1
        return HistoryEntry(
            offset,
            record.based_on,
            record.publisher,
            record.publish_id,
            record.written_at,
            verdict,
            detail,
        )

    def _find_verdict(
        self, offset: ids.Version, record: Publish
    ) -> tuple[Verdict, str]:
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

    def _apply_snapshot(self, offset: ids.Offset, record: Snapshot) -> None:
        if self.is_anchored:
            self._update_anchor(offset, record)
        elif self._is_usable_anchor(offset, record):
            self._start_from(record)

    def _update_anchor(self, offset: ids.Offset, record: Snapshot) -> None:
        is_newest = record.as_of == offset - 1
        if is_newest and self._matches_state(record):
            self.anchored_at = min(record.written_at, self._clock())

    def _matches_state(self, record: Snapshot) -> bool:
        return record.version == self.version and record.document == self.text

    def _is_usable_anchor(self, offset: ids.Offset, record: Snapshot) -> bool:
        return (
            record.as_of + 1 >= self._earliest
            and self.version <= record.version <= record.as_of < offset
        )

    def _start_from(self, record: Snapshot) -> None:
        parsed = None
        if record.version != ids.NO_VERSION:
            try:
                parsed = document.parse(record.document)
            except document.DocumentError as error:
                logger.warning(
                    "snapshot of version %d ignored: %s", record.version, error
                )
                return
        if record.version > self.version:
            self._set(record.version, record.document, parsed, record.publisher)
        self.next_offset = ids.Offset(record.as_of + 1)
        self.is_anchored = True
        self._is_anchor_time_pending = True

    def _set(self, version, text, parsed, publisher) -> None:
        if version < self.version:
            self.reverts += 1
            raise RevertedConfigurationError(
                f"version {version} was about to replace version {self.version}"
            )
        self.version = version
        self.text = text
        self.document = parsed
        self.publisher = publisher

    def _set_anchor_time(self, at: float) -> None:
        if self.is_anchored and self._is_anchor_time_pending:
            self.anchored_at = min(at, self._clock())
            self._is_anchor_time_pending = False
