"""The busy part of the slot time while permitted work waits, also as routers die."""

import asyncio
import contextlib
import itertools
import random

import msgspec

from measurements import results, samples, workload
from standins import fleet, shapes

TARGET = 0.98
TARGET_WITH_KILLS = 0.95


class Settings(msgspec.Struct, frozen=True):
    """One run.

    Attributes:
        load: The load; some client accounts always wait for every upstream.
        shape: The deployment.
        warm_up_s: The time before the first sample.
        run_s: The time of the samples.
        period_s: The time between samples.
        kill_every_s: How often a router is killed in the second run.
        down_s: How long a killed router stays away.
    """

    load: workload.Settings = workload.Settings(steady_ratio=0.5, depth=24)
    shape: str = "caroni"
    warm_up_s: float = 4.0
    run_s: float = 60.0
    period_s: float = 1.0
    kill_every_s: float = 30.0
    down_s: float = 5.0


class Run(msgspec.Struct, frozen=True):
    """One run.

    Attributes:
        utilisation_by_service: The busy part of the slot time.
        least_by_service: The least busy part between two samples.
        samples_without_waiting_by_service: Samples in which an agent with a free slot
            had nobody waiting; they count as busy time that was lost, too.
        count_by_status: Requests by HTTP status; 0 for a lost connection.
        killed: How many routers were killed.
    """

    utilisation_by_service: dict[str, float]
    least_by_service: dict[str, float]
    samples_without_waiting_by_service: dict[str, int]
    count_by_status: dict[str, int]
    killed: int


class Figures(msgspec.Struct, frozen=True):
    """What was measured.

    Attributes:
        steady: With all routers.
        with_kills: With one router after the other killed.
    """

    steady: Run
    with_kills: Run


async def measure(seed: int) -> results.Result:
    """Measures a run without faults, then one with routers killed."""
    settings = Settings()
    load_before = results.load_average()
    figures = Figures(
        await _measure_run(settings, seed, has_kills=False),
        await _measure_run(settings, seed, has_kills=True),
    )
    return results.Result(
        "utilisation",
        seed,
        settings,
        figures,
        [
            *_check("steady", figures.steady, TARGET),
            *_check("with_kills", figures.with_kills, TARGET_WITH_KILLS),
        ],
        load_before,
        results.load_average(),
        results.CORE_COUNT,
    )


def _check(name: str, run: Run, target: float):
    for service, measured in run.utilisation_by_service.items():
        yield results.check_at_least(f"{name}.{service}", measured, target)


async def _measure_run(settings: Settings, seed: int, has_kills: bool) -> Run:
    source = random.Random(seed)
    running = fleet.Fleet(shapes.SHAPE_BY_NAME[settings.shape], settings.load.token_ms)
    workload.prepare_document(running, settings.load, source)
    async with running:
        load = workload.LoadGenerator(running, settings.load, source)
        load.start()
        killing = asyncio.create_task(_kill_routers(running, settings, has_kills))
        try:
            await asyncio.sleep(settings.warm_up_s)
            taken = await samples.take_periodically(
                running, settings.run_s, settings.period_s
            )
        finally:
            killing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await killing
            await load.stop()
    kills = int(settings.run_s / settings.kill_every_s) if has_kills else 0
    return _summarise(running.shape, taken, load, kills)


async def _kill_routers(running: fleet.Fleet, settings: Settings, has_kills) -> None:
    """Kills each router in turn and starts it again."""
    if not has_kills:
        return
    await asyncio.sleep(settings.warm_up_s + settings.kill_every_s / 2)
    while True:
        for router in running.with_role(fleet.Role.ROUTER):
            await running.kill(router)
            await asyncio.sleep(settings.down_s)
            await running.start(router)
            await asyncio.sleep(settings.kill_every_s - settings.down_s)


def _summarise(shape: shapes.Shape, taken, load, kills: int) -> Run:
    names = [service.name for service in shape.services]
    pairs = list(itertools.pairwise(taken))
    return Run(
        {n: round(samples.utilisation(taken[0], taken[-1], n), 4) for n in names},
        {
            n: round(min(samples.utilisation(a, b, n) for a, b in pairs), 4)
            for n in names
        },
        {n: sum(_lacks_work(sample, n) for sample in taken) for n in names},
        {str(status): count for status, count in load.count_by_status.items()},
        kills,
    )


def _lacks_work(sample: samples.Sample, service: str) -> bool:
    return any(
        report.slots.busy < report.slots.total
        and not any(served.is_backlogged for served in report.served)
        for report in sample.of_service(service)
    )
