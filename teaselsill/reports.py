"""Status reports of the processes, and the operators' reports built from them."""

import asyncio
import dataclasses
import datetime
import enum
import typing

import aiohttp
import msgspec

from teaselsill import (
    configuration,
    credit_forecast,
    document,
    errors,
    fairness_gap,
    http_instances,
    http_log,
    ids,
    instances,
    log,
    response_body,
    service_level_burn,
    service_levels,
)

REPORT_TIMEOUT_S = 2.0
"""How long an instance may take to send its report."""

MAX_CONCURRENT_REQUESTS = 128
"""The maximum number of instances that are queried at the same time."""


class AccountCounters(msgspec.Struct, frozen=True):
    """The counters of one client account at one agent.

    Both are in normalised cost: cost divided by the share of the client account.

    Attributes:
        service: The service of the agent.
        account: The client account.
        normalised: The counter of the whole fleet, as the agent knows it.
        is_backlogged: Whether requests of the client account wait at the agent.
        metered: The cost that this agent itself has metered since it started.
    """

    service: ids.ServiceName
    account: ids.AccountId
    normalised: float
    is_backlogged: bool
    metered: float = 0.0


class Slots(msgspec.Struct, frozen=True):
    """The use of an agent's slots.

    Attributes:
        busy: The number of slots in which a request runs.
        total: The number of all slots.
        busy_s: The time that each slot was busy, summed over all slots, in seconds.
    """

    busy: int = 0
    total: int = 0
    busy_s: float = 0.0


class NodeReport(msgspec.Struct, frozen=True, kw_only=True):
    """The status report of one process.

    Attributes:
        instance: The id of the instance.
        role: Its role.
        incarnation: Identifies the run of the process; all counts start at its start.
        data_centre: The data centre in which it runs.
        version: The configuration version in force in the process.
        uptime_s: The time since the process started, in seconds.
        levels: A router's counts of requests that met or missed the targets.
        served: An agent's counters of the client accounts.
        slots: The use of an agent's slots.
        upstream: The upstream beside an agent; empty for a router.
        service: The service of an agent's upstream; empty for a router.
        served_cost: The cost that an agent has served since it started.
        count_by_outcome: A router's requests that ended since it started, by outcome.
        control_bytes_by_type: Bytes sent to peers, by message type, including the types
            that carry data.
        violation_count_by_name: Invariant violations, by the name of the error class.
    """

    instance: ids.InstanceId
    role: instances.Role
    incarnation: ids.Incarnation
    data_centre: ids.DataCentre
    version: ids.Version
    uptime_s: float
    levels: list[service_levels.ServiceLevel] = []
    served: list[AccountCounters] = []
    slots: Slots = Slots()
    upstream: ids.UpstreamId = ids.UpstreamId("")
    service: ids.ServiceName = ids.ServiceName("")
    served_cost: float = 0.0
    count_by_outcome: dict[str, int] = {}
    control_bytes_by_type: dict[str, int] = {}
    violation_count_by_name: dict[str, int] = {}


class MissingReport(msgspec.Struct, frozen=True):
    """A live instance whose report could not be fetched.

    Attributes:
        instance: The id of the instance.
        reason: The error.
    """

    instance: ids.InstanceId
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class CollectedReports:
    """The reports of all live instances.

    Attributes:
        nodes: The reports.
        missing: The live instances without a report; if there are any, the data is
            partial.
    """

    nodes: list[NodeReport]
    missing: list[MissingReport]


async def collect(
    listed: typing.Iterable[instances.Instance], timeout_s: float = REPORT_TIMEOUT_S
) -> CollectedReports:
    """Fetches the reports of all live instances concurrently.

    Args:
        listed: The instances; those that are leaving are skipped.
        timeout_s: The timeout for one instance, in seconds.
    """
    live = [item for item in listed if item.state is instances.InstanceState.LIVE]
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        results = await asyncio.gather(
            *(_fetch_report(session, limit, item) for item in live)
        )
    return CollectedReports(
        [result for result in results if isinstance(result, NodeReport)],
        [result for result in results if isinstance(result, MissingReport)],
    )


async def _fetch_report(
    session: aiohttp.ClientSession, limit: asyncio.Semaphore, item: instances.Instance
) -> NodeReport | MissingReport:
    host = f"[{item.host}]" if ":" in item.host else item.host
    try:
        async with (
            limit,
            session.get(f"http://{host}:{item.admin_port}/report") as response,
        ):
            response.raise_for_status()
            return msgspec.json.decode(
                await response_body.read(response), type=NodeReport
            )
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as error:
        return MissingReport(item.id, str(error) or type(error).__name__)


class ReportName(enum.Enum):
    """The operators' reports."""

    BURN = "burn"
    FAIRNESS = "fairness"
    CREDITS = "credits"


class UnknownReportError(errors.TeaselsillError):
    """There is no report with this name."""


class NoConfigurationError(errors.TeaselsillError):
    """No configuration has been published, so there is nothing to report on."""


class BurnReport(msgspec.Struct, frozen=True):
    """The burn rate of each client account and service, the highest first."""

    rows: list[service_level_burn.Burn]
    missing: list[MissingReport]


class FairnessReport(msgspec.Struct, frozen=True):
    """The fairness gap of each service."""

    rows: list[fairness_gap.Fairness]
    missing: list[MissingReport]


class CreditsReport(msgspec.Struct, frozen=True):
    """The forecast for each purchase of credits, the one that lapses soonest first."""

    rows: list[credit_forecast.CreditForecast]
    missing: list[MissingReport]


AnyReport = BurnReport | FairnessReport | CreditsReport


def build_burn_report(
    collected: CollectedReports, published: document.Document
) -> BurnReport:
    """Returns the burn rate of each client account and service."""
    levels = [level for node in collected.nodes for level in node.levels]
    return BurnReport(service_level_burn.compute(levels, published), collected.missing)


def build_fairness_report(
    collected: CollectedReports, published: document.Document
) -> FairnessReport:
    """Returns the gap between the backlogged client accounts of each service."""
    counters = [
        fairness_gap.BackloggedCounter(
            node.instance, served.service, served.account, served.normalised
        )
        for node in collected.nodes
        for served in node.served
        if served.is_backlogged
    ]
    return FairnessReport(fairness_gap.compute(counters, published), collected.missing)


def build_credits_report(
    collected: CollectedReports, published: document.Document, today: datetime.date
) -> CreditsReport:
    """Returns what will lapse unspent at the average rates since the agents started."""
    spendings = [
        credit_forecast.UpstreamSpending(
            node.upstream,
            node.service,
            node.served_cost,
            node.served_cost / node.uptime_s if node.uptime_s > 0 else 0.0,
        )
        for node in collected.nodes
        if node.role is instances.Role.AGENT
    ]
    rows = credit_forecast.forecast(published.credits, spendings, today)
    return CreditsReport(rows, collected.missing)


def build_report(
    name: ReportName,
    collected: CollectedReports,
    published: document.Document,
    today: datetime.date,
) -> AnyReport:
    """Returns the report with the given name."""
    match name:
        case ReportName.BURN:
            return build_burn_report(collected, published)
        case ReportName.FAIRNESS:
            return build_fairness_report(collected, published)
        case ReportName.CREDITS:
            return build_credits_report(collected, published, today)


def render_json(report: AnyReport) -> str:
    """Returns a report as JSON, with the instances without a report under `missing`."""
    return msgspec.json.format(msgspec.json.encode(report)).decode()


def render_table(report: AnyReport) -> str:
    """Returns a report as a table, followed by the instances without a report."""
    match report:
        case BurnReport():
            table = service_level_burn.render(report.rows)
        case FairnessReport():
            table = fairness_gap.render(report.rows)
        case CreditsReport():
            table = credit_forecast.render(report.rows)
    return "\n".join([table, *_render_missing(report.missing)])


def _render_missing(missing: list[MissingReport]) -> list[str]:
    if not missing:
        return []
    lines = [f"PARTIAL: {len(missing)} live instances gave no report:"]
    return lines + [f"  {item.instance}: {item.reason}" for item in missing]


async def collect_and_render(
    name: str, instances_url: str, log_url: str, as_json: bool
) -> str:
    """Collects the data for a report and returns it as a table or as JSON.

    Args:
        name: The name of the report: `burn`, `fairness` or `credits`.
        instances_url: The URL of the instance list.
        log_url: The URL of the log service, which stores the configuration.
        as_json: Whether to return JSON instead of a table.

    Raises:
        UnknownReportError: There is no report with this name.
        NoConfigurationError: No configuration has been published.
        ConfigurationError: The configuration could not be read.
        InstanceListError: The instance list could not be read.
    """
    report_name = _parse_name(name)
    published = await _fetch_document(http_log.HttpLog(log_url))
    listed = await _fetch_instances(http_instances.HttpInstanceList(instances_url))
    today = datetime.datetime.now(datetime.UTC).date()
    report = build_report(report_name, await collect(listed), published, today)
    return render_json(report) if as_json else render_table(report)


def _parse_name(name: str) -> ReportName:
    try:
        return ReportName(name)
    except ValueError:
        known = ", ".join(known.value for known in ReportName)
        raise UnknownReportError(f"no report named {name!r}; known: {known}") from None


async def _fetch_document(service: log.Log) -> document.Document:
    try:
        current = await configuration.show(service)
    finally:
        await service.close()
    if current.version == ids.NO_VERSION:
        raise NoConfigurationError("no configuration was ever published")
    return document.parse(current.text)


async def _fetch_instances(
    service: instances.InstanceList,
) -> list[instances.Instance]:
    try:
        return list((await service.fetch()).values())
    finally:
        await service.close()
