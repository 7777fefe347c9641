"""The fraction of a light load that the capacity with the earliest lapse day serves."""

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
LAPSING_UPSTREAM = f"{SERVICE}-2"


class Settings(msgspec.Struct, frozen=True):
    """The settings of a run.

    Attributes:
        callers: The number of concurrent calls, which is below the number of slots of
            one upstream, so that one upstream can serve them all.
        calls: How many calls each caller makes.
        lapses_in_days: After how many days the credits of one of the four upstreams
            lapse.
        later_in_days: After how many days the credits of all upstreams lapse.
    """

    callers: int = 3
    calls: int = 100
    lapses_in_days: int = 14
    later_in_days: int = 300


class Figures(msgspec.Struct, frozen=True):
    """The measured figures.

    Attributes:
        ratio_by_date: The fraction of the calls that the upstream with the earlier
            lapse day served, with the credits in the configuration.
        ratio_without_dates: The same fraction without credits in the configuration.
    """

    ratio_by_date: float
    ratio_without_dates: float


async def measure(seed: int) -> results.Result:
    """Measures a run with credits in the configuration and one without."""
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
        common
        | {"id": "soon", "upstreams": [LAPSING_UPSTREAM], "lapses": soon.isoformat()},
        common | {"id": "later", "lapses": later.isoformat()},
    ]


async def _measure_run(settings: Settings, purchases: list[dict]) -> float:
    deployment = fleet.Fleet(SHAPE)
    deployment.document["credits"] = purchases
    async with deployment:
        await asyncio.gather(
            *(
                _call_repeatedly(deployment, settings, number)
                for number in range(settings.callers)
            )
        )
        served = await _count_executions(
            deployment, deployment.node_by_name[LAPSING_UPSTREAM]
        )
    return round(served / (settings.callers * settings.calls), 4)


async def _call_repeatedly(
    deployment: fleet.Fleet, settings: Settings, number: int
) -> None:
    routers = deployment.with_role(fleet.Role.ROUTER)
    router = routers[number % len(routers)]
    headers = deployment.request_headers(shapes.account_name(number % SHAPE.accounts))
    url = f"{router.url}/services/{SERVICE}/rooms/1"
    for _ in range(settings.calls):
        async with deployment.session.get(url, headers=headers) as response:
            response.raise_for_status()
            await response.read()


async def _count_executions(deployment: fleet.Fleet, node: fleet.Node) -> int:
    page = await deployment.get_json(f"{node.url}/admin/executions")
    return sum(page["by_request"].values())
