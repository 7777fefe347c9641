"""Follows the configuration stream and publishes to it.

See docs/design/configuration.md.
"""

import asyncio
import collections.abc
import dataclasses
import logging
import random as random_module
import time

from teaselsill import configuration_fold, document, errors, ids, log

POLL_S = 10.0
"""The maximum wait of one read for new records, in seconds."""

MIN_POLL_S = 0.5
"""The minimum wait of a read at the end of the stream, in seconds."""

MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 8.0
"""The bounds of the backoff while the log is unavailable, in seconds."""

SNAPSHOT_AFTER_S = 6 * 3600.0
"""The age of the newest anchor at which a snapshot is written, in seconds."""

SNAPSHOT_SPREAD = 0.5
"""The largest random delay beyond `SNAPSHOT_AFTER_S`, as a ratio of it.

Followers differ in it: once one has written a snapshot, the others postpone theirs.
"""

SNAPSHOT_DELAY_S = 10.0
"""The largest random delay of a snapshot that is overdue already, in seconds."""

RESOLVE_S = 10.0
"""How long `publish` looks for its own record in the stream, in seconds."""

RESOLVE_INTERVAL_S = 0.25

logger = logging.getLogger(__name__)


class UndeterminedError(errors.ConfigurationError):
    """The configuration in force cannot be determined from the available records."""


class UnavailableError(errors.ConfigurationError):
    """The configuration stream could not be read."""


class ConflictError(errors.ConfigurationError):
    """The publication is based on a version that is not in force any more.

    Attributes:
        based_on: The version that the rejected document is based on.
        version: The version in force.
        publisher: Who published the version in force; empty if unknown.
    """

    def __init__(self, based_on: ids.Version, version: ids.Version, publisher: str):
        by = f", published by {publisher}" if publisher else ""
        super().__init__(
            f"refused, not published: based on version {based_on}, but version "
            f"{version} is in force{by}"
        )
        self.based_on = based_on
        self.version = version
        self.publisher = publisher


class PublishFailedError(errors.ConfigurationError):
    """The document was not published and will not be."""


class PublishUnknownError(errors.ConfigurationError):
    """The document may have been published, or may be published later.

    Attributes:
        publish_id: The id of the publication in the history, if it took effect.
    """

    def __init__(self, publish_id: str, cause: str):
        super().__init__(
            f"the document may have been published, look for publish id {publish_id} "
            f"in the history before trying again: {cause}"
        )
        self.publish_id = publish_id


@dataclasses.dataclass(frozen=True, slots=True)
class Current:
    """The configuration in force.

    Attributes:
        version: Its version, or `NO_VERSION`.
        text: The text of the document; empty for `NO_VERSION`.
        publisher: Who published it; empty if unknown.
    """

    version: ids.Version
    text: bytes
    publisher: str


class Follower:
    """Follows the configuration stream and writes snapshots to it.

    Records of the log expire, so a snapshot is written before the newest anchor gets
    too old; otherwise new readers could not determine the configuration.

    Args:
        service: The log service.
        snapshot_after_s: The age of the newest anchor at which a snapshot is written,
            in seconds; one and a half times this must be well below the retention.
        clock: Returns the wall clock, in seconds since the epoch.
        random: The source of the jitter.
    """

    def __init__(
        self,
        service: log.Log,
        *,
        snapshot_after_s: float = SNAPSHOT_AFTER_S,
        clock: collections.abc.Callable[[], float] = time.time,
        random: random_module.Random | None = None,
    ):
        self._log = service
        self._snapshot_after_s = snapshot_after_s
        self._clock = clock
        self._random = random or random_module.Random()
        self._state = configuration_fold.ConfigurationState(clock)
        self._ready = asyncio.Event()
        self._is_at_end = False
        self._callbacks: list[collections.abc.Callable[[], None]] = []
        self._snapshot_at: float | None = None

    @property
    def version(self) -> ids.Version:
        """The version in force at this node."""
        return self._state.version

    @property
    def document(self) -> document.Document | None:
        """The document in force at this node; None for `NO_VERSION`."""
        return self._state.document

    @property
    def text(self) -> bytes:
        """The text of the document."""
        return self._state.text

    @property
    def is_ready(self) -> bool:
        """Whether the stream was read to its end or a peer's document was applied."""
        return self._ready.is_set()

    @property
    def reverts(self) -> int:
        """How often an older version was about to replace a newer one."""
        return self._state.reverts

    @property
    def unreadable(self) -> int:
        """The number of records of the stream that could not be decoded."""
        return self._state.unreadable

    async def wait_ready(self) -> None:
        """Waits until `is_ready`."""
        await self._ready.wait()

    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        """Registers a function that is called after every change of the version."""
        self._callbacks.append(callback)

    def apply_from_peer(self, version: ids.Version, text: bytes) -> bool:
        """Applies a peer's configuration if its version is higher.

        Returns:
            Whether it was applied.

        Raises:
            DocumentError: The document is invalid.
            RecordError: The document is too large.
        """
        if not self._state.apply_from_peer(version, text, self._snapshot_after_s):
            return False
        self._schedule_snapshot()
        self._ready.set()
        self._notify()
        return True

    async def run(self) -> None:
        """Follows the stream until cancelled; retries while the log is unavailable.

        Raises:
            RevertedConfigurationError: An older version was about to come into force.
        """
        failures = 0
        while True:
            try:
                await self._read_and_snapshot()
                failures = 0
            except log.LogUnavailableError as error:
                delay_s = self._find_backoff_s(failures)
                failures += 1
                logger.info("log unavailable, retrying in %.1f s: %s", delay_s, error)
                await asyncio.sleep(delay_s)

    def _find_backoff_s(self, failures: int) -> float:
        ceiling_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failures, 10))
        return self._random.uniform(ceiling_s / 2, ceiling_s)

    async def _read_and_snapshot(self) -> None:
        await self._read_page(self._find_wait_s() if self._is_at_end else 0.0)
        if not self._is_snapshot_due():
            return
        # Another node may have written one while this process was interrupted.
        await self._read_page(0.0)
        if self._is_snapshot_due():
            await self._write_snapshot()

    async def _read_page(self, wait_s: float) -> None:
        try:
            page = await self._log.read(
                configuration_fold.STREAM, self._state.next_offset, wait_s
            )
        except log.OffsetExpiredError as error:
            logger.warning("configuration stream: %s", error)
            self._state.skip_expired(error.earliest)
            self._is_at_end = False
            return
        for record in page.records:
            self._apply(record)
        self._is_at_end = self._state.next_offset >= page.end
        if self._is_at_end and self._state.is_anchored:
            self._ready.set()

    def _apply(self, record: log.Record) -> None:
        version = self._state.version
        anchored_at = self._state.anchored_at
        self._state.apply(record)
        if self._state.anchored_at != anchored_at:
            self._schedule_snapshot()
        if self._state.version != version:
            self._notify()

    def _notify(self) -> None:
        for callback in self._callbacks:
            callback()

    def _find_wait_s(self) -> float:
        due_in_s = self._snapshot_due_in_s()
        if due_in_s is None:
            return POLL_S
        return min(POLL_S, max(MIN_POLL_S, due_in_s))

    def _schedule_snapshot(self) -> None:
        factor = self._random.uniform(1, 1 + SNAPSHOT_SPREAD)
        planned_at = self._state.anchored_at + self._snapshot_after_s * factor
        soonest_at = self._clock() + self._random.uniform(0, SNAPSHOT_DELAY_S)
        self._snapshot_at = max(planned_at, soonest_at)

    def _snapshot_due_in_s(self) -> float | None:
        if self._snapshot_at is None or not self._state.is_anchored:
            return None
        return self._snapshot_at - self._clock()

    def _is_snapshot_due(self) -> bool:
        due_in_s = self._snapshot_due_in_s()
        return self._is_at_end and due_in_s is not None and due_in_s <= 0

    async def _write_snapshot(self) -> None:
        record = configuration_fold.Snapshot(
            self._state.version,
            ids.Offset(self._state.next_offset - 1),
            self._state.text,
            self._state.publisher,
            self._clock(),
        )
        await self._log.append(
            configuration_fold.STREAM, configuration_fold.pack(record)
        )


async def publish(
    service: log.Log,
    text: bytes,
    based_on: ids.Version,
    publisher: str,
    *,
    resolve_s: float = RESOLVE_S,
) -> ids.Version:
    """Publishes a document and returns its version.

    Args:
        service: The log service.
        text: The text of the document.
        based_on: The version that it replaces.
        publisher: The name of the operator.
        resolve_s: How long to look for the record in the stream, in seconds.

    Raises:
        DocumentError: The document is invalid; nothing was appended.
        RecordError: The document or the name is too large; nothing was appended.
        ConflictError: Another version is in force.
        UndeterminedError: The version in force is unknown; nothing was appended.
        PublishFailedError: Nothing was appended.
        PublishUnknownError: The record may have been appended, or may be later.
    """
    document.parse(text)
    publish_id = ids.new_random_id()
    data = configuration_fold.pack(
        configuration_fold.Publish(based_on, text, publisher, publish_id, time.time())
    )
    state = await _read_before_publish(service)
    if state.version != based_on:
        raise ConflictError(based_on, state.version, state.publisher)
    cause = ""
    try:
        await service.append(configuration_fold.STREAM, data)
    except log.LogUnavailableError as error:
        cause = str(error)
    entry = await _find_entry(service, state, publish_id, cause, resolve_s)
    return _check_accepted(entry, state)


async def catch_up(
    service: log.Log,
    state: configuration_fold.ConfigurationState,
    entry_by_version: dict[ids.Version, configuration_fold.HistoryEntry],
) -> None:
    """Applies all records up to the end of the stream.

    Args:
        service: The log service.
        state: The state, which continues at its next offset.
        entry_by_version: Receives the history entries of the publications, including
            those that were applied before an error.

    Raises:
        LogUnavailableError: The log service did not answer.
    """
    while True:
        try:
            page = await service.read(configuration_fold.STREAM, state.next_offset)
        except log.OffsetExpiredError as error:
            state.skip_expired(error.earliest)
            continue
        for record in page.records:
            entry = state.apply(record)
            if entry is not None:
                entry_by_version[entry.version] = entry
        if state.next_offset >= page.end or not page.records:
            return


async def show(service: log.Log) -> Current:
    """Returns the configuration in force.

    Raises:
        UnavailableError: The log service did not answer.
        UndeterminedError: The available records do not determine it.
    """
    state, _ = await _read_history(service)
    _check_determined(state)
    return Current(state.version, state.text, state.publisher)


async def history(service: log.Log) -> list[configuration_fold.HistoryEntry]:
    """Returns the history entries of all available publications, oldest first.

    Raises:
        UnavailableError: The log service did not answer.
    """
    _, entries = await _read_history(service)
    return entries


async def _read_history(
    service: log.Log,
) -> tuple[
    configuration_fold.ConfigurationState, list[configuration_fold.HistoryEntry]
]:
    state = configuration_fold.ConfigurationState()
    entry_by_version: dict[ids.Version, configuration_fold.HistoryEntry] = {}
    try:
        await catch_up(service, state, entry_by_version)
    except log.LogUnavailableError as error:
        raise UnavailableError(f"the log service did not answer: {error}") from error
    return state, [entry for _, entry in sorted(entry_by_version.items())]


async def _read_before_publish(
    service: log.Log,
) -> configuration_fold.ConfigurationState:
    try:
        state, _ = await _read_history(service)
    except UnavailableError as error:
        raise PublishFailedError(f"nothing was published: {error}") from error
    _check_determined(state)
    return state


async def _find_entry(
    service: log.Log,
    state: configuration_fold.ConfigurationState,
    publish_id: str,
    cause: str,
    resolve_s: float,
) -> configuration_fold.HistoryEntry:
    based_on = state.version
    deadline = time.monotonic() + resolve_s
    entry_by_version: dict[ids.Version, configuration_fold.HistoryEntry] = {}
    while True:
        try:
            await catch_up(service, state, entry_by_version)
        except log.LogUnavailableError as error:
            cause = cause or str(error)
        for entry in entry_by_version.values():
            if entry.publish_id == publish_id:
                return entry
        if state.is_anchored and state.version != based_on:
            raise ConflictError(based_on, state.version, state.publisher)
        if time.monotonic() >= deadline:
            raise PublishUnknownError(publish_id, cause or "its record was not found")
        await asyncio.sleep(RESOLVE_INTERVAL_S)


def _check_accepted(
    entry: configuration_fold.HistoryEntry, state: configuration_fold.ConfigurationState
) -> ids.Version:
    match entry.verdict:
        case configuration_fold.Verdict.ACCEPTED:
            return entry.version
        case configuration_fold.Verdict.UNDETERMINED:
            raise PublishUnknownError(entry.publish_id, entry.detail)
        case configuration_fold.Verdict.INVALID:
            raise document.DocumentError([entry.detail])
        case configuration_fold.Verdict.CONFLICT:
            raise ConflictError(entry.based_on, state.version, state.publisher)


def _check_determined(state: configuration_fold.ConfigurationState) -> None:
    if not state.is_anchored:
        raise UndeterminedError(
            "the log service no longer keeps a record that tells the version in force"
        )
