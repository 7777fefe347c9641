"""The effect of one client account's flood of requests on the others' waiting time."""

import asyncio
import random

import msgspec
import numpy

from measurements import results, samples, workload
from standins import fleet, shapes

TARGET_RATIO = 1.5
"""The upper limit of `Figures.p50_ratio`."""
FLOODING_ACCOUNT_NUMBER = 3
"""The index of the client account that sends the flood."""


class Settings(msgspec.Struct, frozen=True):
    """The settings of a run.

    Attributes:
        load: The load without the flood, with fewer concurrent requests than slots.
        shape: The name of the deployment.
        factor: The number of concurrent requests that the flood adds, as a multiple of
            the client account's usual number.
        warm_up_s: The time before each part.
        run_s: The duration of each part.
    """

    load: workload.Settings = workload.Settings(
        depth=4, steady_ratio=1.0, restricted=0, shares=(1.0,)
    )
    shape: str = "vikarbro"
    factor: int = 50
    warm_up_s: float = 5.0
    run_s: float = 20.0


class Part(msgspec.Struct, frozen=True):
    """The waiting times, in milliseconds, and the responses of one part of a run.

    Attributes:
        others_p50_ms: The median of the other client accounts.
        others_p99_ms: The 99th percentile of the other client accounts.
        flooding_p50_ms: The median of the flooding client account.
        others_answers: The number of successful responses to the others.
        flooding_answers: The number of those to the flooding client account.
        refused: The number of requests that were refused with status 429 or 503.
        utilisation_by_service: The fraction of the slot time that was busy.
    """

    others_p50_ms: float
    others_p99_ms: float
    flooding_p50_ms: float
    others_answers: int
    flooding_answers: int
    refused: int
    utilisation_by_service: dict[str, float]


class Figures(msgspec.Struct, frozen=True):
    """The measured figures.

    Attributes:
        without: The part without the flood.
        with_flood: The part with the flood, in the same fleet.
        p50_ratio: The others' median waiting time with the flood, divided by the one
            without.
    """

    without: Part
    with_flood: Part
    p50_ratio: float


async def measure(seed: int) -> results.Result:
    """Measures the waiting times without the flood and then with it."""
    settings = Settings()
    load_before = results.load_average()
    source = random.Random(seed)
    deployment = fleet.Fleet(
        shapes.SHAPE_BY_NAME[settings.shape], settings.load.token_ms
    )
    workload.prepare_document(deployment, settings.load, source)
    async with deployment:
        load_generator = workload.LoadGenerator(deployment, settings.load, source)
        load_generator.start()
        without = await _measure_part(deployment, load_generator, settings)
        load_generator.add_callers(
            load_generator.accounts[FLOODING_ACCOUNT_NUMBER], settings.factor
        )
        with_flood = await _measure_part(deployment, load_generator, settings)
        await load_generator.stop()
    ratio = round(with_flood.others_p50_ms / without.others_p50_ms, 3)
    return results.Result(
        "flood",
        seed,
        settings,
        Figures(without, with_flood, ratio),
        [results.check_at_most("p50_ratio", ratio, TARGET_RATIO)],
        load_before,
        results.load_average(),
        results.CORE_COUNT,
    )


async def _measure_part(
    deployment: fleet.Fleet, load_generator, settings: Settings
) -> Part:
    await asyncio.sleep(settings.warm_up_s)
    load_generator.reset_wait_times()
    refused = load_generator.count_by_status[429] + load_generator.count_by_status[503]
    first = await samples.take(deployment)
    await asyncio.sleep(settings.run_s)
    last = await samples.take(deployment)
    flooding = load_generator.accounts[FLOODING_ACCOUNT_NUMBER].name
    flooding_s = load_generator.wait_s_by_account[flooding]
    others_s = [
        wait_s
        for account, waits_s in load_generator.wait_s_by_account.items()
        for wait_s in waits_s
        if account != flooding
    ]
    others_p50, others_p99 = numpy.quantile(others_s, (0.5, 0.99))
    return Part(
        round(float(others_p50) * 1000, 1),
        round(float(others_p99) * 1000, 1),
        round(float(numpy.median(flooding_s)) * 1000, 1),
        len(others_s),
        len(flooding_s),
        load_generator.count_by_status[429]
        + load_generator.count_by_status[503]
        - refused,
        {
            service.name: round(samples.utilisation(first, last, service.name), 4)
            for service in deployment.shape.services
        },
    )
