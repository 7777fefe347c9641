"""The `teaselsill` command line, a thin layer over `teaselsill.operations`."""

import asyncio
import dataclasses
import datetime
import getpass
import importlib.metadata
import sys
import typing

import cappa

from teaselsill import configuration_fold, errors, ids, operations, reports

EXIT_FAILED = 1
EXIT_INTERRUPTED = 130
PUBLISH_WAIT_S = 4.0

SettingsPath = typing.Annotated[
    str,
    cappa.Arg(long="--settings", value_name="FILE", help="JSON with comments."),
]
LogUrl = typing.Annotated[
    str,
    cappa.Arg(long="--log", value_name="URL", help="Address of the log service."),
]
InstancesUrl = typing.Annotated[
    str,
    cappa.Arg(
        long="--instances", value_name="URL", help="Address of the instance list."
    ),
]
DocumentPath = typing.Annotated[
    str, cappa.Arg(value_name="FILE", help="The configuration document, JSON.")
]
AsJson = typing.Annotated[
    bool, cappa.Arg(long="--json", help="Print JSON instead of a table.")
]


@cappa.command(name="router", help="Run a router until SIGTERM.")
@dataclasses.dataclass
class Router:
    """Runs a router."""

    settings: SettingsPath

    def __call__(self) -> None:
        """Runs the command."""
        operations.run_router(self.settings)


@cappa.command(name="agent", help="Run the agent of an upstream until SIGTERM.")
@dataclasses.dataclass
class Agent:
    """Runs an agent."""

    settings: SettingsPath

    def __call__(self) -> None:
        """Runs the command."""
        operations.run_agent(self.settings)


@cappa.command(name="console", help="Run the operators' console until SIGTERM.")
@dataclasses.dataclass
class Console:
    """Runs a console."""

    settings: SettingsPath

    def __call__(self) -> None:
        """Runs the command."""
        operations.run_console(self.settings)


@cappa.command(name="check", help="List every fault of a document with its path.")
@dataclasses.dataclass
class ConfigCheck:
    """Validates a configuration document."""

    file: DocumentPath

    def __call__(self) -> None:
        """Runs the command."""
        checked = operations.check_configuration(self.file)
        accounts = len(checked.client_accounts)
        services = len(checked.services)
        print(f"valid: {accounts} client accounts, {services} services")


@cappa.command(
    name="publish",
    help="Publish a document and show which live instances use it. Exits 1 if the "
    "document is refused or if the outcome is unknown.",
)
@dataclasses.dataclass
class ConfigPublish:
    """Publishes a configuration document."""

    file: DocumentPath
    log: LogUrl
    instances: InstancesUrl
    based_on: typing.Annotated[
        int,
        cappa.Arg(
            long="--based-on",
            value_name="VERSION",
            help="The version that the document replaces, as shown by `config show`; "
            "-1 for the first one.",
        ),
    ]
    publisher: typing.Annotated[
        str,
        cappa.Arg(
            long="--publisher",
            value_name="NAME",
            help="The publisher's name in the history. Default: the user's name.",
            show_default=False,
        ),
    ] = ""
    wait: typing.Annotated[
        float,
        cappa.Arg(
            long="--wait",
            value_name="SECONDS",
            help="How long to wait until all live instances use the document, "
            "in seconds.",
        ),
    ] = PUBLISH_WAIT_S

    def __call__(self) -> None:
        """Runs the command."""
        publication = asyncio.run(
            operations.publish_configuration(
                self.file,
                ids.Version(self.based_on),
                self.publisher or getpass.getuser(),
                operations.Platform(self.log, self.instances),
                self.wait,
            )
        )
        print_publication(publication)


@cappa.command(name="show", help="Print the document that is in force.")
@dataclasses.dataclass
class ConfigShow:
    """Prints the document in force to stdout and its version to stderr."""

    log: LogUrl

    def __call__(self) -> None:
        """Runs the command."""
        platform = operations.Platform(log_url=self.log)
        current = asyncio.run(operations.show_configuration(platform))
        published_by = (
            f", published by {current.publisher}" if current.publisher else ""
        )
        print(f"version {current.version}{published_by}", file=sys.stderr)
        sys.stdout.write(current.text.decode())


@cappa.command(name="history", help="List the publications in the log, oldest first.")
@dataclasses.dataclass
class ConfigHistory:
    """Lists publications and their results."""

    log: LogUrl

    def __call__(self) -> None:
        """Runs the command."""
        platform = operations.Platform(log_url=self.log)
        for entry in asyncio.run(operations.configuration_history(platform)):
            print(format_history_entry(entry))


@cappa.command(
    name="status",
    help="Show the configuration version of each live instance. Exits 1 if one does "
    "not respond within 2 seconds or if the versions differ.",
)
@dataclasses.dataclass
class ConfigStatus:
    """Prints the configuration versions of the live instances."""

    instances: InstancesUrl

    def __call__(self) -> None:
        """Runs the command."""
        platform = operations.Platform(instances_url=self.instances)
        fleet = asyncio.run(operations.configuration_status(platform))
        for version, instance_ids in fleet.instances_by_version.items():
            print(f"version {version}: {', '.join(instance_ids)}")
        for status in fleet.unresponsive:
            print(f"no answer: {status.instance.id} ({status.error})")
        if fleet.unresponsive or len(fleet.instances_by_version) > 1:
            raise cappa.Exit(code=EXIT_FAILED)


@cappa.command(name="config", help="Check, publish and inspect the configuration.")
@dataclasses.dataclass
class Config:
    """The group of configuration commands."""

    command: cappa.Subcommands[
        ConfigCheck | ConfigPublish | ConfigShow | ConfigHistory | ConfigStatus
    ]


@cappa.command(name="check", help="List every fault of a settings file.")
@dataclasses.dataclass
class SettingsCheck:
    """Validates a settings file."""

    role: typing.Annotated[
        str, cappa.Arg(value_name="ROLE", help="router, agent or console.")
    ]
    file: typing.Annotated[
        str, cappa.Arg(value_name="FILE", help="JSON with comments.")
    ]

    def __call__(self) -> None:
        """Runs the command."""
        operations.check_settings(self.role, self.file)
        print("valid")


@cappa.command(name="settings", help="Check a process's settings.")
@dataclasses.dataclass
class Settings:
    """The group of settings commands."""

    command: cappa.Subcommands[SettingsCheck]


@dataclasses.dataclass
class _Report:
    name: typing.ClassVar[reports.ReportName]
    log: LogUrl
    instances: InstancesUrl
    json: AsJson = False

    def __call__(self) -> None:
        """Runs the command."""
        platform = operations.Platform(log_url=self.log, instances_url=self.instances)
        print(asyncio.run(operations.report(self.name, platform, self.json)))


@cappa.command(
    name="burn", help="Service-level burn per client account and service (ratio)."
)
@dataclasses.dataclass
class ReportBurn(_Report):
    """Reports service-level burn."""

    name = reports.ReportName.BURN


@cappa.command(
    name="fairness", help="Service gap between backlogged client accounts (tokens)."
)
@dataclasses.dataclass
class ReportFairness(_Report):
    """Reports the fairness gap."""

    name = reports.ReportName.FAIRNESS


@cappa.command(name="credits", help="Credits that will lapse unspent (tokens).")
@dataclasses.dataclass
class ReportCredits(_Report):
    """Reports the credits that will lapse."""

    name = reports.ReportName.CREDITS


@cappa.command(name="report", help="Reports on the live instances.")
@dataclasses.dataclass
class Report:
    """The group of report commands."""

    command: cappa.Subcommands[ReportBurn | ReportFairness | ReportCredits]


@cappa.command(name="version", help="Print the program's version.")
@dataclasses.dataclass
class ProgramVersion:
    """Prints the version of the program."""

    def __call__(self) -> None:
        """Runs the command."""
        print(importlib.metadata.version("teaselsill"))


@cappa.command(
    name="teaselsill",
    help="A router fleet that shares paid-for model capacity between client accounts.",
)
@dataclasses.dataclass
class Teaselsill:
    """The root of the command line."""

    command: cappa.Subcommands[
        Router | Agent | Console | Config | Settings | Report | ProgramVersion
    ]


def print_publication(publication: operations.Publication) -> None:
    """Prints the accepted version and the instances that use it."""
    version = publication.version
    print(f"accepted as version {version}")
    if publication.fleet is None:
        print(f"confirmations unknown: {publication.error}", file=sys.stderr)
        return
    confirmed = publication.fleet.confirmed(version)
    print(f"confirmed by {len(confirmed)} of {len(publication.fleet.statuses)}")
    for status in publication.fleet.unconfirmed(version):
        reason = status.error or f"on version {status.version}"
        print(f"not confirmed: {status.instance.id} ({reason})")


def format_history_entry(entry: configuration_fold.HistoryEntry) -> str:
    """Formats a line of the history, with fields separated by tabs."""
    published_at = datetime.datetime.fromtimestamp(entry.published_at, datetime.UTC)
    return (
        f"{entry.version}\t{published_at:%Y-%m-%dT%H:%M:%SZ}\t{entry.publisher}"
        f"\tpublish id {entry.publish_id}"
        f"\tbased on {entry.based_on}\t{entry.verdict.value}"
        + (f": {entry.detail}" if entry.detail else "")
    )


def main(arguments: list[str] | None = None) -> int:
    """Runs a command.

    Args:
        arguments: The arguments after the program's name; `sys.argv[1:]` if None.

    Returns:
        The exit status.
    """
    try:
        cappa.invoke(Teaselsill, argv=arguments)
    except errors.TeaselsillError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    return 0
