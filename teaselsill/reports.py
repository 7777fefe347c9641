"""What each process tells of itself, and the operators' reports made of it."""

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
    service_level_burn,
    service_levels,
)

TIMEOUT_S = 2.0
"""How long an instance may take to answer."""

MAX_CONCURRENT = 128
"""How many instances are asked at a time."""


class AccountCounters(msgspec.Struct, frozen=True):
    """What an agent served to one client account.

    Attributes:
        service: The agent's service.
        account: The client account.
        normalised: The fleet-wide counter that the agent knows: cost over share.
        is_backlogged: Whether requests of the client account wait.
        metered: What this agent has metered itself in this run: cost over share.
    """

    service: ids.ServiceName
    account: ids.AccountId
    normalised: float
    is_backlogged: bool
    metered: float = 0.0


class Slots(msgspec.Struct, frozen=True):
    """How an agent's slots are used.

    Attributes:
        busy: Slots that run a request now.
        total: All slots.
        busy_s: The sum over the slots of the time that each was busy, in seconds.
    """

    busy: int = 0
    total: int = 0
    busy_s: float = 0.0


class NodeReport(msgspec.Struct, frozen=True, kw_only=True):
    """What one process tells of itself.

    Attributes:
        instance: Its name.
        role: What it does.
        incarnation: The run that the numbers count from.
        data_centre: Where it runs.
        version: The configuration version that is in force there.
        uptime_s: The time since the run began, in seconds.
        levels: A router's counts of requests against the targets.
        served: An agent's counters of the client accounts.
        slots: An agent's slots.
        upstream: The upstream beside an agent; empty for a router.
        service: The service of an agent's upstream; empty for a router.
        served_cost: The cost that an agent has served in this run.
        count_by_outcome: Requests that ended in this run, by outcome.
        control_bytes_by_type: Bytes sent to peers, by the type of message.
        violation_count_by_name: Invariant violations, by class.
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
    """A live instance that gave no report.

    Attributes:
        instance: Its name.
        reason: What went wrong.
    """

    instance: ids.InstanceId
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class CollectedReports:
    """What the live instances told.

    Attributes:
        nodes: The reports.
        missing: The live instances that gave none; the data is partial if there are.
    """

    nodes: list[NodeReport]
    missing: list[MissingReport]


async def collect(
    listed: typing.Iterable[instances.Instance], timeout_s: float = TIMEOUT_S
) -> CollectedReports:
    """Asks every live instance for its report, many at a time.

    Args:
        listed: The instance list; those that are leaving are not asked.
        timeout_s: How long one instance may take, in seconds.
    """
    live = [item for item in listed if item.state is instances.InstanceState.LIVE]
    limit = asyncio.Semaphore(MAX_CONCURRENT)
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        answers = await asyncio.gather(*(_ask(session, limit, item) for item in live))
    return CollectedReports(
        [answer for answer in answers if isinstance(answer, NodeReport)],
        [answer for answer in answers if isinstance(answer, MissingReport)],
    )


async def _ask(
    session: aiohttp.ClientSession, limit: asyncio.Semaphore, item: instances.Instance
) -> NodeReport | MissingReport:
    host = f"[{item.host}]" if ":" in item.host else item.host
    try:
        async with limit, session.get(f"http://{host}:{item.admin_port}/report") as got:
            got.raise_for_status()
            return msgspec.json.decode(await got.read(), type=NodeReport)
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as error:
        return MissingReport(item.id, str(error) or type(error).__name__)


class ReportName(enum.Enum):
    """The operators' reports."""

    BURN = "burn"
    FAIRNESS = "fairness"
    CREDITS = "credits"


class UnknownReportError(errors.TeaselsillError):
    """There is no report of this name."""


class NoConfigurationError(errors.TeaselsillError):
    """No configuration was ever published, so there is nothing to report on."""


class BurnReport(msgspec.Struct, frozen=True):
    """The service-level burn of each client account and service, the fastest first."""

    rows: list[service_level_burn.Burn]
    missing: list[MissingReport]


class FairnessReport(msgspec.Struct, frozen=True):
    """The fairness of each service."""

    rows: list[fairness_gap.Fairness]
    missing: list[MissingReport]


class CreditsReport(msgspec.Struct, frozen=True):
    """What will become of the credits, those that lapse soonest first."""

    rows: list[credit_forecast.CreditForecast]
    missing: list[MissingReport]


AnyReport = BurnReport | FairnessReport | CreditsReport


def build_burn_report(
    collected: CollectedReports, intent: document.Document
) -> BurnReport:
    """Returns the service-level burn of each client account and service."""
    levels = [level for node in collected.nodes for level in node.levels]
    return BurnReport(service_level_burn.compute(levels, intent), collected.missing)


def build_fairness_report(
    collected: CollectedReports, intent: document.Document
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
    return FairnessReport(fairness_gap.compute(counters, intent), collected.missing)


def build_credits_report(
    collected: CollectedReports, intent: document.Document, today: datetime.date
) -> CreditsReport:
    """Returns what will lapse unspent if the agents go on as in their present runs."""
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
    rows = credit_forecast.forecast(intent.credits, spendings, today)
    return CreditsReport(rows, collected.missing)


def build_report(
    name: ReportName,
    collected: CollectedReports,
    intent: document.Document,
    today: datetime.date,
) -> AnyReport:
    """Returns the report of this name."""
    match name:
        case ReportName.BURN:
            return build_burn_report(collected, intent)
        case ReportName.FAIRNESS:
            return build_fairness_report(collected, intent)
        case ReportName.CREDITS:
            return build_credits_report(collected, intent, today)


def render_json(report: AnyReport) -> str:
    """Returns a report as JSON; `missing` names who gave no report."""
    return msgspec.json.format(msgspec.json.encode(report)).decode()


def render_table(report: AnyReport) -> str:
    """Returns a report as a table, and after it who gave no report."""
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
    """Collects and returns a report, as a table or as JSON.

    Args:
        name: `burn`, `fairness` or `credits`.
        instances_url: The address of the instance list.
        log_url: The address of the log service, which holds the configuration.
        as_json: Whether to return JSON.

    Raises:
        UnknownReportError: There is no such report.
        NoConfigurationError: No configuration was ever published.
        ConfigurationError: The configuration could not be read.
        InstanceListError: The instance list could not be read.
    """
    wanted = _parse_name(name)
    intent = await _fetch_document(http_log.HttpLog(log_url))
    listed = await _fetch_instances(http_instances.HttpInstanceList(instances_url))
    today = datetime.datetime.now(datetime.UTC).date()
    report = build_report(wanted, await collect(listed), intent, today)
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
