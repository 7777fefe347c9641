"""Forecasts which credits will lapse unspent at the current rates of use."""

import dataclasses
import datetime

import msgspec

from teaselsill import document, ids, tables

DAY_S = 24 * 60 * 60

HEADER = ("purchase", "service", "lapses", "amount", "used", "a day", "unspent")

FOOTNOTE = (
    "used: since the agents started; unspent: at most, if they continue at their rate"
)


@dataclasses.dataclass(slots=True)
class UpstreamSpending:
    """The credits that one upstream uses up by serving requests.

    Attributes:
        upstream: The upstream.
        service: The service of the upstream.
        cost: The cost that its agent has served since it started, in the service's unit
            of cost, minus what was already attributed to purchases.
        cost_per_s: The current rate, in the same unit per second.
        allocated_s: How much of its future time is already allocated to purchases, in
            seconds.
    """

    upstream: ids.UpstreamId
    service: ids.ServiceName
    cost: float
    cost_per_s: float
    allocated_s: float = 0.0


class CreditForecast(msgspec.Struct, frozen=True):
    """The forecast for one purchase of credits.

    Attributes:
        id: The name of the purchase.
        service: The service whose capacity was bought.
        lapses: The last day on which the credits can be spent.
        amount: The amount that was bought, in the service's unit of cost.
        used: The part that the agents have served since they started.
        cost_per_day: The cost that the upstreams it covers serve in a day.
        unspent: The largest amount that will lapse at the current rate.
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

    The cost that an upstream serves is attributed to the purchase that lapses soonest
    until that is spent, and then to the next. A purchase can be spent until the end of
    its last day, and today counts as a whole day.

    Args:
        purchases: The purchases of credits.
        spendings: The spending of each upstream; not changed.
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
    remaining_s = max(0, (purchase.lapses - today).days + 1) * DAY_S
    used = _attribute_used(covered, purchase.amount) if remaining_s else 0.0
    spent = _allocate(covered, purchase.amount - used, remaining_s)
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


def _attribute_used(covered: list[UpstreamSpending], amount: float) -> float:
    """Takes served cost from the upstreams, up to an amount, and returns the sum."""
    used = 0.0
    for upstream in covered:
        taken = min(upstream.cost, amount - used)
        upstream.cost -= taken
        used += taken
    return used


def _allocate(
    covered: list[UpstreamSpending], unused: float, remaining_s: float
) -> float:
    """Allocates future time of the upstreams to a purchase.

    Returns the part of the unused credits that the upstreams will spend in that time.
    """
    free_s = [max(0.0, remaining_s - upstream.allocated_s) for upstream in covered]
    available = sum(
        upstream.cost_per_s * seconds
        for upstream, seconds in zip(covered, free_s, strict=True)
    )
    if available <= 0 or unused <= 0:
        return 0.0
    ratio = min(1.0, unused / available)
    for upstream, seconds in zip(covered, free_s, strict=True):
        upstream.allocated_s += ratio * seconds
    return min(unused, available)


def render(forecasts: list[CreditForecast]) -> str:
    """Returns the forecasts as a table, with a footnote that explains the columns."""
    table = tables.render(HEADER, [_build_cells(item) for item in forecasts])
    return f"{table}\n{FOOTNOTE}"


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
