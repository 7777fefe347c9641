"""What a flood of one client account does to the others' waiting time."""

import asyncio
import random

import msgspec
import numpy

from measurements import results, samples, workload
from standins import fleet, shapes

TARGET_RATIO = 1.5
"""The others' median waiting time with the flood, over that without it."""
FLOODING = 3


class Settings(msgspec.Struct, frozen=True):
    """One run.

    Attributes:
        load: The load without the flood: fewer open requests than the slots.
        shape: The deployment.
        factor: How many times its open requests the flooding client account sends.
        warm_up_s: The time before each part.
        run_s: The time of each part.
    """

    load: workload.Settings = workload.Settings(
        depth=4, steady_ratio=1.0, restricted=0, shares=(1.0,)
    )
    shape: str = "vikarbro"
    factor: int = 50
    warm_up_s: float = 5.0
    run_s: float = 20.0


class Part(msgspec.Struct, frozen=True):
    """The waiting times, in milliseconds, and answers of one part.

    Attributes:
        others_p50_ms: The median of the other client accounts.
        others_p99_ms: The 99th percentile of the other client accounts.
        flooding_p50_ms: The median of the flooding client account.
        others_answers: Whole answers of the others.
        flooding_answers: Whole answers of the flooding client account.
        refused: Requests that were refused with status 429 or 503.
        utilisation_by_service: The busy part of the slot time.
    """

    others_p50_ms: float
    others_p99_ms: float
    flooding_p50_ms: float
    others_answers: int
    flooding_answers: int
    refused: int
    utilisation_by_service: dict[str, float]


class Figures(msgspec.Struct, frozen=True):
    """What was measured.

    Attributes:
        without: Without the flood.
        with_flood: With it, in the same fleet.
        p50_ratio: The others' median waiting time with the flood over that without.
    """

    without: Part
    with_flood: Part
    p50_ratio: float


async def measure(seed: int) -> results.Result:
    """Measures a part without the flood, then one with it."""
    settings = Settings()
    load_before = results.load_average()
    source = random.Random(seed)
    running = fleet.Fleet(shapes.SHAPE_BY_NAME[settings.shape], settings.load.token_ms)
    workload.prepare_document(running, settings.load, source)
    async with running:
        load = workload.LoadGenerator(running, settings.load, source)
        load.start()
        without = await _measure_part(running, load, settings)
        load.add_callers(load.accounts[FLOODING], settings.factor)
        with_flood = await _measure_part(running, load, settings)
        await load.stop()
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


async def _measure_part(running: fleet.Fleet, load, settings: Settings) -> Part:
    await asyncio.sleep(settings.warm_up_s)
    load.reset_wait_times()
    refused = load.count_by_status[429] + load.count_by_status[503]
    first = await samples.take(running)
    await asyncio.sleep(settings.run_s)
    last = await samples.take(running)
    flooding = load.accounts[FLOODING].name
    own_s = load.wait_s_by_account[flooding]
    others_s = [
        wait_s
        for account, waits_s in load.wait_s_by_account.items()
        for wait_s in waits_s
        if account != flooding
    ]
    others_p50, others_p99 = numpy.quantile(others_s, (0.5, 0.99))
    return Part(
        round(float(others_p50) * 1000, 1),
        round(float(others_p99) * 1000, 1),
        round(float(numpy.median(own_s)) * 1000, 1),
        len(others_s),
        len(own_s),
        load.count_by_status[429] + load.count_by_status[503] - refused,
        {
            service.name: round(samples.utilisation(first, last, service.name), 4)
            for service in running.shape.services
        },
    )
