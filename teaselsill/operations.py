"""The operations behind the command line, as functions for any caller."""

import asyncio
import collections
import contextlib
import dataclasses
import importlib
import pathlib
import time
import typing

import aiohttp
import msgspec

from teaselsill import (
    configuration,
    configuration_fold,
    daemon,
    document,
    errors,
    ids,
    instances,
    log,
    registry,
    reports,
    response_body,
    settings,
)

PLATFORM_MODULES = ("teaselsill.http_log", "teaselsill.http_instances")
PLATFORM_PLUGIN = "http"
RESPONSE_TIMEOUT_S = 2.0
"""How long to wait for an instance's response with its version, in seconds."""

CONFIRM_INTERVAL_S = 0.2
"""How often `publish_configuration` polls the instances, in seconds."""


class OperationError(errors.TeaselsillError):
    """An argument given by the operator, such as a file or a role, is not usable."""


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """The URLs of the platform's services.

    Attributes:
        log_url: The URL of the log service.
        instances_url: The URL of the instance list.
    """

    log_url: str = ""
    instances_url: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """The configuration version of an instance.

    Attributes:
        instance: The instance.
        version: The version in use there; None if the instance did not respond.
        error: Why the instance did not respond, or empty.
    """

    instance: instances.Instance
    version: ids.Version | None
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class FleetStatus:
    """The configuration versions of all live instances, ordered by instance id."""

    statuses: list[InstanceStatus]

    @property
    def instances_by_version(self) -> dict[ids.Version, list[ids.InstanceId]]:
        """The ids of the instances that responded, by the version in use there."""
        by_version = collections.defaultdict(list)
        for status in self.statuses:
            if status.version is not None:
                by_version[status.version].append(status.instance.id)
        return dict(sorted(by_version.items()))

    @property
    def unresponsive(self) -> list[InstanceStatus]:
        """The instances that did not respond."""
        return [status for status in self.statuses if status.version is None]

    def confirmed(self, version: ids.Version) -> list[InstanceStatus]:
        """Returns the instances that use a version or a later one."""
        return [
            status
            for status in self.statuses
            if status.version is not None and status.version >= version
        ]

    def unconfirmed(self, version: ids.Version) -> list[InstanceStatus]:
        """Returns the instances that did not respond or use an older version."""
        return [
            status
            for status in self.statuses
            if status.version is None or status.version < version
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """An accepted configuration and the instances that use it.

    Attributes:
        version: The accepted version.
        fleet: The versions of the live instances as last polled; None if the instance
            list could not be read.
        error: Why the instance list could not be read, or empty.
    """

    version: ids.Version
    fleet: FleetStatus | None
    error: str = ""


class _VersionBody(msgspec.Struct):
    version: int


def check_settings(role: str, path: str) -> settings.CommonSettings:
    """Reads and validates the settings file of a role.

    Raises:
        SettingsError: The file is invalid; the error lists all faults.
        OperationError: The role does not exist.
    """
    model = settings.MODEL_BY_ROLE.get(role)
    if model is None:
        known = ", ".join(settings.MODEL_BY_ROLE)
        raise OperationError(f"unknown role {role!r}; known: {known}")
    return settings.load(path, model)


def check_configuration(path: str) -> document.Document:
    """Reads and validates a configuration document.

    Raises:
        DocumentError: The document is invalid; the error lists all faults.
        OperationError: The file cannot be read.
    """
    return _parse_document(path, _read_file(path))


async def publish_configuration(
    path: str,
    based_on: ids.Version,
    publisher: str,
    platform: Platform,
    wait_s: float,
) -> Publication:
    """Publishes a document and waits for the live instances to use it.

    Args:
        path: The path of the document's file.
        based_on: The version that the document replaces.
        publisher: The name of the publisher, which is shown in the history.
        platform: The URLs of the log service and the instance list.
        wait_s: How long to wait for the instances at most, in seconds.

    Raises:
        DocumentError: The document is invalid.
        ConfigurationError: The document was refused, or the outcome is unknown.
    """
    text = _read_file(path)
    _parse_document(path, text)
    async with _open_log(platform) as log_service:
        version = await configuration.publish(log_service, text, based_on, publisher)
    try:
        fleet = await _wait_for_version(platform, version, wait_s)
    except errors.InstanceListError as error:
        return Publication(version, None, str(error))
    return Publication(version, fleet)


async def show_configuration(platform: Platform) -> configuration.Current:
    """Returns the configuration in force, as read from the log service."""
    async with _open_log(platform) as log_service:
        return await configuration.show(log_service)


async def configuration_history(
    platform: Platform,
) -> list[configuration_fold.HistoryEntry]:
    """Returns the publications in the log with their results, oldest first."""
    async with _open_log(platform) as log_service:
        return await configuration.history(log_service)


async def configuration_status(platform: Platform) -> FleetStatus:
    """Requests the configuration version of every live instance.

    Raises:
        InstanceListError: The instance list cannot be read.
    """
    live = await _fetch_live_instances(platform)
    timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        statuses = await asyncio.gather(
            *(_fetch_version(session, instance) for instance in live)
        )
    return FleetStatus(statuses)


async def report(name: reports.ReportName, platform: Platform, as_json: bool) -> str:
    """Returns a report on the live instances, as a table or as JSON.

    Raises:
        ConfigurationError: The configuration cannot be read.
        InstanceListError: The instance list cannot be read.
    """
    return await reports.collect_and_render(
        name.value, platform.instances_url, platform.log_url, as_json
    )


def run_router(path: str) -> None:
    """Runs a router with a settings file until it receives a signal to stop."""
    loaded = settings.load(path, settings.RouterSettings)
    asyncio.run(daemon.run_router(loaded))


def run_agent(path: str) -> None:
    """Runs an agent with a settings file until it receives a signal to stop."""
    loaded = settings.load(path, settings.AgentSettings)
    asyncio.run(daemon.run_agent(loaded))


def run_console(path: str) -> None:
    """Runs a console with a settings file until it receives a signal to stop."""
    loaded = settings.load(path, settings.ConsoleSettings)
    asyncio.run(daemon.run_console(loaded))


def _read_file(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise OperationError(f"{path}: {error.strerror or error}") from error


def _parse_document(path: str, text: bytes) -> document.Document:
    try:
        return document.parse(text)
    except document.DocumentError as error:
        faults = [f"{path}: {fault}" for fault in error.faults]
        raise document.DocumentError(faults) from error


@contextlib.asynccontextmanager
async def _open_log(platform: Platform) -> typing.AsyncIterator[log.Log]:
    log_service = _load_plugin(registry.Kind.LOG)(platform.log_url)
    try:
        yield log_service
    finally:
        await log_service.close()


async def _fetch_live_instances(platform: Platform) -> list[instances.Instance]:
    instance_list = _load_plugin(registry.Kind.INSTANCES)(platform.instances_url)
    try:
        instance_by_id = await instance_list.fetch()
    finally:
        await instance_list.close()
    return [
        instance
        for _, instance in sorted(instance_by_id.items())
        if instance.state is instances.InstanceState.LIVE
    ]


def _load_plugin(kind: registry.Kind):
    for module in PLATFORM_MODULES:
        importlib.import_module(module)
    return registry.get(kind, PLATFORM_PLUGIN)


async def _fetch_version(
    session: aiohttp.ClientSession, instance: instances.Instance
) -> InstanceStatus:
    url = f"http://{instance.host}:{instance.admin_port}/version"
    try:
        async with session.get(url) as response:
            response.raise_for_status()
            body = msgspec.json.decode(
                await response_body.read(response), type=_VersionBody
            )
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        return InstanceStatus(instance, None, str(error) or type(error).__name__)
    return InstanceStatus(instance, ids.Version(body.version))


async def _wait_for_version(
    platform: Platform, version: ids.Version, wait_s: float
) -> FleetStatus:
    deadline = time.monotonic() + wait_s
    while True:
        fleet = await configuration_status(platform)
        remaining_s = deadline - time.monotonic()
        if not fleet.unconfirmed(version) or remaining_s <= 0:
            return fleet
        await asyncio.sleep(min(CONFIRM_INTERVAL_S, remaining_s))
