"""Computes the fairness gap between the backlogged client accounts of each service.

The normalised cost of a client account is the cost it was served, divided by its share.
"""

import collections
import dataclasses

import msgspec

from teaselsill import document, ids, tables

HEADER = ("service", "gap", "client account", "share", "normalised", "agents")


@dataclasses.dataclass(frozen=True, slots=True)
class BackloggedCounter:
    """The counter of a backlogged client account at one agent.

    Attributes:
        instance: The agent.
        service: The service of the agent.
        account: The client account.
        normalised: The counter, in normalised cost.
    """

    instance: ids.InstanceId
    service: ids.ServiceName
    account: ids.AccountId
    normalised: float


class BackloggedAccount(msgspec.Struct, frozen=True):
    """A client account with requests that wait for a service.

    Attributes:
        account: The client account.
        share: Its share; 0 if the configuration does not contain the client account.
        normalised: Its highest counter at any agent, in normalised cost.
        agents: The number of agents at which it is backlogged.
    """

    account: ids.AccountId
    share: float
    normalised: float
    agents: int


class Fairness(msgspec.Struct, frozen=True):
    """The fairness of one service.

    Attributes:
        service: The service.
        gap: The largest difference between the counters of two client accounts that are
            backlogged at the same agent.
        widest: The agent with that difference; empty if no agent has two backlogged
            client accounts.
        accounts: The backlogged client accounts, those with the lowest counters first.
    """

    service: ids.ServiceName
    gap: float
    widest: ids.InstanceId
    accounts: list[BackloggedAccount]


def compute(
    counters: list[BackloggedCounter], configuration: document.Document
) -> list[Fairness]:
    """Returns the fairness of each service of the configuration."""
    return [
        _build_fairness(
            service,
            [counter for counter in counters if counter.service == service],
            configuration,
        )
        for service in configuration.service_by_name
    ]


def _build_fairness(
    service: ids.ServiceName,
    counters: list[BackloggedCounter],
    configuration: document.Document,
) -> Fairness:
    values_by_instance = collections.defaultdict(list)
    values_by_account = collections.defaultdict(list)
    for counter in counters:
        values_by_instance[counter.instance].append(counter.normalised)
        values_by_account[counter.account].append(counter.normalised)
    gap, widest = _find_widest_gap(values_by_instance)
    accounts = [
        BackloggedAccount(
            account, _get_share(account, configuration), max(values), len(values)
        )
        for account, values in values_by_account.items()
    ]
    accounts.sort(key=lambda account: account.normalised)
    return Fairness(service, gap, widest, accounts)


def _find_widest_gap(values_by_instance: dict) -> tuple[float, ids.InstanceId]:
    gaps = [
        (max(values) - min(values), instance)
        for instance, values in values_by_instance.items()
        if len(values) > 1
    ]
    return max(gaps, default=(0.0, ids.InstanceId("")))


def _get_share(account: ids.AccountId, configuration: document.Document) -> float:
    found = configuration.account_by_id.get(account)
    return found.share if found else 0.0


def render(services: list[Fairness]) -> str:
    """Returns a table with a row for each service, followed by its client accounts."""
    rows = []
    for service in services:
        rows.append((service.service, f"{service.gap:.0f}", "", "", "", ""))
        rows += [_build_cells(account) for account in service.accounts]
    return tables.render(HEADER, rows)


def _build_cells(account: BackloggedAccount) -> tuple[str, ...]:
    return (
        "",
        "",
        account.account,
        f"{account.share:g}",
        f"{account.normalised:.0f}",
        str(account.agents),
    )
