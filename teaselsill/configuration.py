"""Following the configuration stream, and publishing to it.

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
"""The longest wait of one read for new records, in seconds."""

MIN_POLL_S = 0.5
"""The least wait of a read for new records at the end of the stream, in seconds."""

FIRST_RETRY_S = 0.25
MAX_RETRY_S = 8.0
SNAPSHOT_AFTER_S = 6 * 3600.0
SNAPSHOT_SPREAD = 0.5
"""By which part of `snapshot_after_s` a follower may come later than the first."""

SNAPSHOT_DELAY_S = 10.0
"""Over which time followers that learn of an old anchor spread, in seconds."""

RESOLVE_S = 10.0
"""How long `publish` looks for its own record after a lost reply, in seconds."""

RESOLVE_INTERVAL_S = 0.25

logger = logging.getLogger(__name__)


class UndeterminedError(errors.ConfigurationError):
    """The kept records do not tell which configuration is in force."""


class UnavailableError(errors.ConfigurationError):
    """The configuration stream could not be read."""


class ConflictError(errors.ConfigurationError):
    """Another configuration was accepted since the one that this is based on.

    Attributes:
        based_on: The version that the refused document is based on.
        version: The version that is in force.
        publisher: Who published that one; empty if not known.
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
    """The document was not appended to the stream and never will be."""


class PublishUnknownError(errors.ConfigurationError):
    """The document may have been published, or may still be.

    Attributes:
        publish_id: The id under which the history lists it if it landed.
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
        publisher: Who published it; empty if not known.
    """

    version: ids.Version
    text: bytes
    publisher: str


class Follower:
    """Follows the configuration stream and keeps it readable.

    Args:
        service: The log service.
        snapshot_after_s: The age at which the stream's newest anchor is renewed, in
            seconds; one and a half times this must lie well below the retention.
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
        self._restate_after_s = snapshot_after_s
        self._clock = clock
        self._random = random or random_module.Random()
        self._fold = configuration_fold.ConfigurationState(clock)
        self._ready = asyncio.Event()
        self._is_at_end = False
        self._callbacks: list[collections.abc.Callable[[], None]] = []
        self._restate_at: float | None = None

    @property
    def version(self) -> ids.Version:
        """The version in force at this node."""
        return self._fold.version

    @property
    def document(self) -> document.Document | None:
        """The document in force at this node; None for `NO_VERSION`."""
        return self._fold.document

    @property
    def text(self) -> bytes:
        """The text of the document."""
        return self._fold.text

    @property
    def is_ready(self) -> bool:
        """Whether the stream was read to its end once, or a peer's offer was taken."""
        return self._ready.is_set()

    @property
    def reverts(self) -> int:
        """How often the node was about to go back to an older version."""
        return self._fold.reverts

    @property
    def unreadable(self) -> int:
        """How many records of the stream could not be read."""
        return self._fold.unreadable

    async def wait_ready(self) -> None:
        """Waits until `is_ready`."""
        await self._ready.wait()

    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        """Has a function called after every change of the version."""
        self._callbacks.append(callback)

    def apply_from_peer(self, version: ids.Version, text: bytes) -> bool:
        """Takes a peer's configuration if its version is higher.

        Returns:
            Whether it was taken.

        Raises:
            DocumentError: The document is not valid.
            RecordError: The document is too large.
        """
        if not self._fold.apply_from_peer(version, text, self._restate_after_s):
            return False
        self._plan_restate()
        self._ready.set()
        self._notify()
        return True

    async def run(self) -> None:
        """Follows the stream until cancelled; outlasts outages of the log service.

        Raises:
            RevertedConfigurationError: The version was about to fall.
        """
        failures = 0
        while True:
            try:
                await self._follow_once()
                failures = 0
            except log.LogUnavailableError as error:
                delay_s = self._retry_delay(failures)
                failures += 1
                logger.info("log unavailable, retry in %.1f s: %s", delay_s, error)
                await asyncio.sleep(delay_s)

    def _retry_delay(self, failures: int) -> float:
        ceiling_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2 ** min(failures, 10))
        return self._random.uniform(ceiling_s / 2, ceiling_s)

    async def _follow_once(self) -> None:
        await self._read_page(self._wait_s() if self._is_at_end else 0.0)
        if not self._is_restate_due():
            return
        await self._read_page(0.0)
        if self._is_restate_due():
            await self._restate()

    async def _read_page(self, wait_s: float) -> None:
        try:
            page = await self._log.read(
                configuration_fold.STREAM, self._fold.next_offset, wait_s
            )
        except log.OffsetExpiredError as error:
            logger.warning("configuration stream: %s", error)
            self._fold.skip_expired(error.earliest)
            self._is_at_end = False
            return
        for record in page.records:
            self._take(record)
        self._is_at_end = self._fold.next_offset >= page.end
        if self._is_at_end and self._fold.is_anchored:
            self._ready.set()

    def _take(self, record: log.Record) -> None:
        version = self._fold.version
        anchored_at = self._fold.anchored_at
        self._fold.apply(record)
        if self._fold.anchored_at != anchored_at:
            self._plan_restate()
        if self._fold.version != version:
            self._notify()

    def _notify(self) -> None:
        for callback in self._callbacks:
            callback()

    def _wait_s(self) -> float:
        due_in_s = self._restate_due_in_s()
        if due_in_s is None:
            return POLL_S
        return min(POLL_S, max(MIN_POLL_S, due_in_s))

    def _plan_restate(self) -> None:
        factor = self._random.uniform(1, 1 + SNAPSHOT_SPREAD)
        planned_at = self._fold.anchored_at + self._restate_after_s * factor
        soonest_at = self._clock() + self._random.uniform(0, SNAPSHOT_DELAY_S)
        self._restate_at = max(planned_at, soonest_at)

    def _restate_due_in_s(self) -> float | None:
        if self._restate_at is None or not self._fold.is_anchored:
            return None
        return self._restate_at - self._clock()

    def _is_restate_due(self) -> bool:
        due_in_s = self._restate_due_in_s()
        return self._is_at_end and due_in_s is not None and due_in_s <= 0

    async def _restate(self) -> None:
        record = configuration_fold.Snapshot(
            self._fold.version,
            ids.Offset(self._fold.next_offset - 1),
            self._fold.text,
            self._fold.publisher,
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
    """Publishes a document and tells its version.

    Args:
        service: The log service.
        text: The text of the document.
        based_on: The version that it replaces.
        publisher: Who publishes.
        resolve_s: How long to look for a record whose append got no reply, in seconds.

    Raises:
        DocumentError: The document has faults; nothing was appended.
        RecordError: The document or the name is too long; nothing was appended.
        ConflictError: Another version is in force.
        UndeterminedError: The version in force is not known; nothing was appended.
        PublishFailedError: Nothing was appended.
        PublishUnknownError: The record may have been appended, or may still be.
    """
    document.parse(text)
    publish_id = ids.new_random_id()
    data = configuration_fold.pack(
        configuration_fold.Publish(based_on, text, publisher, publish_id, time.time())
    )
    fold = await _read_before_publish(service)
    if fold.version != based_on:
        raise ConflictError(based_on, fold.version, fold.publisher)
    cause = ""
    try:
        await service.append(configuration_fold.STREAM, data)
    except log.LogUnavailableError as error:
        cause = str(error)
    entry = await _find_entry(service, fold, publish_id, cause, resolve_s)
    return _check_accepted(entry, fold)


async def catch_up(
    service: log.Log,
    fold: configuration_fold.ConfigurationState,
    entry_by_version: dict[ids.Version, configuration_fold.HistoryEntry],
) -> None:
    """Folds all records to the end of the stream.

    Args:
        service: The log service.
        fold: The state, which goes on from where it is.
        entry_by_version: Takes what became of each publication on the way; it holds
            those that were folded also if an error ends the reading.

    Raises:
        LogUnavailableError: The log service did not answer.
    """
    while True:
        try:
            page = await service.read(configuration_fold.STREAM, fold.next_offset)
        except log.OffsetExpiredError as error:
            fold.skip_expired(error.earliest)
            continue
        for record in page.records:
            entry = fold.apply(record)
            if entry is not None:
                entry_by_version[entry.version] = entry
        if fold.next_offset >= page.end or not page.records:
            return


async def show(service: log.Log) -> Current:
    """Returns the configuration that is in force.

    Raises:
        UnavailableError: The log service did not answer.
        UndeterminedError: The kept records do not tell.
    """
    fold, _ = await _read_history(service)
    _check_determined(fold)
    return Current(fold.version, fold.text, fold.publisher)


async def history(service: log.Log) -> list[configuration_fold.HistoryEntry]:
    """Returns what became of each kept publication, oldest first.

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
    fold = configuration_fold.ConfigurationState()
    entry_by_version: dict[ids.Version, configuration_fold.HistoryEntry] = {}
    try:
        await catch_up(service, fold, entry_by_version)
    except log.LogUnavailableError as error:
        raise UnavailableError(f"the log service did not answer: {error}") from error
    return fold, [entry for _, entry in sorted(entry_by_version.items())]


async def _read_before_publish(
    service: log.Log,
) -> configuration_fold.ConfigurationState:
    try:
        fold, _ = await _read_history(service)
    except UnavailableError as error:
        raise PublishFailedError(f"nothing was published: {error}") from error
    _check_determined(fold)
    return fold


async def _find_entry(
    service: log.Log,
    fold: configuration_fold.ConfigurationState,
    publish_id: str,
    cause: str,
    resolve_s: float,
) -> configuration_fold.HistoryEntry:
    based_on = fold.version
    deadline = time.monotonic() + resolve_s
    entry_by_version: dict[ids.Version, configuration_fold.HistoryEntry] = {}
    while True:
        try:
            await catch_up(service, fold, entry_by_version)
        except log.LogUnavailableError as error:
            cause = cause or str(error)
        for entry in entry_by_version.values():
            if entry.publish_id == publish_id:
                return entry
        if fold.is_anchored and fold.version != based_on:
            raise ConflictError(based_on, fold.version, fold.publisher)
        if time.monotonic() >= deadline:
            raise PublishUnknownError(publish_id, cause or "its record was not found")
        await asyncio.sleep(RESOLVE_INTERVAL_S)


def _check_accepted(
    entry: configuration_fold.HistoryEntry, fold: configuration_fold.ConfigurationState
) -> ids.Version:
    match entry.verdict:
        case configuration_fold.Verdict.ACCEPTED:
            return entry.version
        case configuration_fold.Verdict.UNDETERMINED:
            raise PublishUnknownError(entry.publish_id, entry.detail)
        case configuration_fold.Verdict.INVALID:
            raise document.DocumentError([entry.detail])
        case configuration_fold.Verdict.CONFLICT:
            raise ConflictError(entry.based_on, fold.version, fold.publisher)


def _check_determined(fold: configuration_fold.ConfigurationState) -> None:
    if not fold.is_anchored:
        raise UndeterminedError(
            "the log service no longer keeps a record that tells the version in force"
        )
