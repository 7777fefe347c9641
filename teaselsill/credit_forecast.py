"""Works out which credits will lapse unspent if the present rates go on."""

import dataclasses
import datetime

import msgspec

from teaselsill import document, ids, tables

DAY_S = 24 * 60 * 60

HEADER = ("purchase", "service", "lapses", "amount", "used", "a day", "unspent")

NOTE = (
    "used: in the agents' present runs; unspent: at most, if they go on at their rate"
)


@dataclasses.dataclass(slots=True)
class UpstreamSpending:
    """What one upstream spends.

    Attributes:
        upstream: The upstream.
        service: Its service.
        cost: What its agent has served in its run, in the service's unit of cost.
        cost_per_s: The present rate, in the same unit a second.
        allocated_s: How far ahead its capacity is already counted, in seconds.
    """

    upstream: ids.UpstreamId
    service: ids.ServiceName
    cost: float
    cost_per_s: float
    allocated_s: float = 0.0


class CreditForecast(msgspec.Struct, frozen=True):
    """What will become of one purchase.

    Attributes:
        id: The name of the purchase.
        service: The service whose capacity was bought.
        lapses: The last day on which it can be spent.
        amount: What was bought, in the service's unit of cost.
        used: What the agents served of it in their present runs.
        cost_per_day: What the upstreams that it covers serve in a day.
        unspent: What will lapse, at most, at the present rate.
    """

    id: str
    service: ids.ServiceName
    lapses: datetime.date
    amount: float
    used: float
    cost_per_day: float
    unspent: float


def forecast(
    purchases: list[document.Credits],
    spendings: list[UpstreamSpending],
    today: datetime.date,
) -> list[CreditForecast]:
    """Returns a forecast for each purchase, the one that lapses soonest first.

    What an upstream serves goes to the purchase that lapses soonest, and then to the
    next. A purchase can be spent to the end of its last day, and today counts whole.

    Args:
        purchases: What was bought.
        spendings: What each upstream spends; not changed.
        today: The day of the forecast.
    """
    upstreams = [dataclasses.replace(spending) for spending in spendings]
    return [
        _forecast_purchase(purchase, upstreams, today)
        for purchase in sorted(purchases, key=lambda purchase: purchase.lapses)
    ]


def _forecast_purchase(
    purchase: document.Credits, upstreams: list[UpstreamSpending], today: datetime.date
) -> CreditForecast:
    covered = [upstream for upstream in upstreams if _covers(purchase, upstream)]
    left_s = max(0, (purchase.lapses - today).days + 1) * DAY_S
    used = _take_used(covered, purchase.amount) if left_s else 0.0
    spent = _plan(covered, purchase.amount - used, left_s)
    return CreditForecast(
        id=purchase.id,
        service=ids.ServiceName(purchase.service),
        lapses=purchase.lapses,
        amount=purchase.amount,
        used=used,
        cost_per_day=sum(upstream.cost_per_s for upstream in covered) * DAY_S,
        unspent=purchase.amount - used - spent,
    )


def _covers(purchase: document.Credits, spending: UpstreamSpending) -> bool:
    if purchase.service != spending.service:
        return False
    return not purchase.upstreams or spending.upstream in purchase.upstreams


def _take_used(covered: list[UpstreamSpending], amount: float) -> float:
    used = 0.0
    for upstream in covered:
        taken = min(upstream.cost, amount - used)
        upstream.cost -= taken
        used += taken
    return used


def _plan(covered: list[UpstreamSpending], rest: float, left_s: float) -> float:
    """Counts the upstreams' capacity ahead, and returns what it spends of the rest."""
    ahead_s = [max(0.0, left_s - upstream.allocated_s) for upstream in covered]
    available = sum(
        upstream.cost_per_s * seconds
        for upstream, seconds in zip(covered, ahead_s, strict=True)
    )
    if available <= 0 or rest <= 0:
        return 0.0
    part = min(1.0, rest / available)
    for upstream, seconds in zip(covered, ahead_s, strict=True):
        upstream.allocated_s += part * seconds
    return min(rest, available)


def render(forecasts: list[CreditForecast]) -> str:
    """Returns the forecasts as a table with a note on what the columns cover."""
    table = tables.render(HEADER, [_build_cells(item) for item in forecasts])
    return f"{table}\n{NOTE}"


def _build_cells(item: CreditForecast) -> tuple[str, ...]:
    return (
        item.id,
        item.service,
        item.lapses.isoformat(),
        f"{item.amount:.0f}",
        f"{item.used:.0f}",
        f"{item.cost_per_day:.0f}",
        f"{item.unspent:.0f}",
    )
