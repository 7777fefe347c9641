"""The part of a light load that capacity with the soonest lapse day serves."""

import asyncio
import datetime

import msgspec

from measurements import results
from standins import fleet, shapes

SERVICE = "bookings"
SHAPE = shapes.Shape(
    ("oslo-a",),
    (shapes.ServiceShape(SERVICE, "plain", 4),),
    routers=2,
    accounts=4,
)
LAPSING = f"{SERVICE}-2"


class Settings(msgspec.Struct, frozen=True):
    """One run.

    Attributes:
        callers: How many calls are open at a time; one upstream has slots for more.
        calls: How many calls each caller makes.
        lapses_in_days: When the credits of one of four upstreams lapse.
        later_in_days: When those of all upstreams lapse.
    """

    callers: int = 3
    calls: int = 100
    lapses_in_days: int = 14
    later_in_days: int = 300


class Figures(msgspec.Struct, frozen=True):
    """What was measured.

    Attributes:
        ratio_by_date: The part of the calls that the lapsing upstream served, with
            the lapse days in the configuration.
        ratio_without_dates: The same without credits in the configuration.
    """

    ratio_by_date: float
    ratio_without_dates: float


async def measure(seed: int) -> results.Result:
    """Measures a run that knows the lapse days and one that does not."""
    settings = Settings()
    load_before = results.load_average()
    figures = Figures(
        await _measure_run(settings, _make_credits(settings)),
        await _measure_run(settings, []),
    )
    return results.Result(
        "credits",
        seed,
        settings,
        figures,
        [
            results.check_at_least(
                "ratio_by_date", figures.ratio_by_date, figures.ratio_without_dates
            )
        ],
        load_before,
        results.load_average(),
        results.CORE_COUNT,
    )


def _make_credits(settings: Settings) -> list[dict]:
    today = datetime.datetime.now(datetime.UTC).date()
    soon = today + datetime.timedelta(days=settings.lapses_in_days)
    later = today + datetime.timedelta(days=settings.later_in_days)
    common = {"service": SERVICE, "amount": 1_000_000}
    return [
        common | {"id": "soon", "upstreams": [LAPSING], "lapses": soon.isoformat()},
        common | {"id": "later", "lapses": later.isoformat()},
    ]


async def _measure_run(settings: Settings, purchases: list[dict]) -> float:
    running = fleet.Fleet(SHAPE)
    running.document["credits"] = purchases
    async with running:
        await asyncio.gather(
            *(_call_often(running, settings, n) for n in range(settings.callers))
        )
        served = await _count(running, running.node_by_name[LAPSING])
    return round(served / (settings.callers * settings.calls), 4)


async def _call_often(running: fleet.Fleet, settings: Settings, number: int) -> None:
    routers = running.with_role(fleet.Role.ROUTER)
    router = routers[number % len(routers)]
    headers = running.request_headers(shapes.account_name(number % SHAPE.accounts))
    url = f"{router.url}/services/{SERVICE}/rooms/1"
    for _ in range(settings.calls):
        async with running.session.get(url, headers=headers) as response:
            response.raise_for_status()
            await response.read()


async def _count(running: fleet.Fleet, node: fleet.Node) -> int:
    page = await running.get_json(f"{node.url}/admin/executions")
    return sum(page["by_request"].values())
