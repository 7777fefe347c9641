"""Computes the rate at which client accounts consume their error budgets."""

import collections
import enum
import typing

import msgspec

from teaselsill import document, ids, service_levels, tables

ALARM_BURN = 6.0
"""The burn rate in both windows that raises an alarm."""

ALARM_ERROR_RATIO = 0.5
"""The error ratio in both windows that raises an alarm, whatever the target."""

MIN_REQUESTS = 10
"""With fewer requests in the long window, no warning or alarm is raised."""

BURN_DIGITS = 6
"""The decimals of a burn rate, which is rounded so that a target just met gives 1."""

HEADER = (
    "client account",
    "service",
    "target",
    "5 min: good/all",
    "burn",
    "1 h: good/all",
    "burn",
    "alarm",
)


class Alarm(enum.Enum):
    """How urgent the use of an error budget is."""

    NONE = "none"
    WARNING = "warning"
    ALARM = "alarm"


class Burn(msgspec.Struct, frozen=True):
    """The burn rate of one client account at one service.

    A burn rate is the ratio of requests that missed the target, divided by the ratio
    that may miss it. A rate of 1 uses up the error budget exactly.

    Attributes:
        account: The client account.
        service: The service.
        target_ratio: The ratio of requests that should meet the target.
        short: The requests of the last 5 minutes.
        long: The requests of the last hour.
        short_burn: The burn rate over the last 5 minutes.
        long_burn: The burn rate over the last hour.
        alarm: Whether the burn rates call for a warning or an alarm.
    """

    account: ids.AccountId
    service: ids.ServiceName
    target_ratio: float
    short: service_levels.Window
    long: service_levels.Window
    short_burn: float
    long_burn: float
    alarm: Alarm


def compute(
    levels: typing.Iterable[service_levels.ServiceLevel],
    configuration: document.Document,
) -> list[Burn]:
    """Adds up the routers' counts and returns the burn rates, the highest first.

    Services that the configuration does not contain are left out.
    """
    levels_by_pair = collections.defaultdict(list)
    for level in levels:
        if level.service in configuration.service_by_name:
            levels_by_pair[level.account, level.service].append(level)
    rows = [
        _build_burn(levels_of_pair, configuration.service_by_name[service])
        for (_, service), levels_of_pair in levels_by_pair.items()
    ]
    return sorted(rows, key=lambda row: (-row.long_burn, row.account, row.service))


def render(burns: list[Burn]) -> str:
    """Returns the burn rates as a table."""
    return tables.render(HEADER, [_build_cells(burn) for burn in burns])


def _build_cells(burn: Burn) -> tuple[str, ...]:
    return (
        burn.account,
        burn.service,
        f"{burn.target_ratio:.2%}",
        f"{burn.short.good}/{burn.short.total}",
        f"{burn.short_burn:.1f}",
        f"{burn.long.good}/{burn.long.total}",
        f"{burn.long_burn:.1f}",
        burn.alarm.value,
    )


def _build_burn(
    levels: list[service_levels.ServiceLevel], service: document.Service
) -> Burn:
    short = service_levels.sum_windows(level.short for level in levels)
    long = service_levels.sum_windows(level.long for level in levels)
    return Burn(
        levels[0].account,
        levels[0].service,
        service.target.ratio,
        short,
        long,
        _compute_burn(short, service.target),
        _compute_burn(long, service.target),
        _choose_alarm(short, long, service.target),
    )


def _compute_burn(window: service_levels.Window, target: document.Target) -> float:
    return round(window.error_ratio / (1 - target.ratio), BURN_DIGITS)


def _choose_alarm(
    short: service_levels.Window, long: service_levels.Window, target: document.Target
) -> Alarm:
    if long.total < MIN_REQUESTS:
        return Alarm.NONE
    lower = min(short, long, key=lambda window: window.error_ratio)
    if lower.error_ratio >= ALARM_ERROR_RATIO:
        return Alarm.ALARM
    if _compute_burn(lower, target) >= ALARM_BURN:
        return Alarm.ALARM
    if _compute_burn(lower, target) > 1:
        return Alarm.WARNING
    return Alarm.NONE
