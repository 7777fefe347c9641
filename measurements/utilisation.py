"""The busy fraction of the slot time under full load, with and without router kills.

Some client accounts that may use every upstream always have requests waiting.
"""

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
    """The settings of the two runs.

    Attributes:
        load: The load, in which some client accounts always wait for every upstream.
        shape: The name of the deployment.
        warm_up_s: The time between the start of the load and the first sample.
        run_s: For how long samples are taken.
        period_s: The time between two samples.
        kill_every_s: The time between two kills of a router in the second run.
        down_s: How long after its kill a router is started again.
    """

    load: workload.Settings = workload.Settings(steady_ratio=0.5, depth=24)
    shape: str = "caroni"
    warm_up_s: float = 4.0
    run_s: float = 60.0
    period_s: float = 1.0
    kill_every_s: float = 30.0
    down_s: float = 5.0


class Run(msgspec.Struct, frozen=True):
    """The figures of one run.

    Attributes:
        utilisation_by_service: The fraction of the slot time that was busy.
        least_by_service: The smallest such fraction between two successive samples.
        samples_without_waiting_by_service: The number of samples in which an agent had
            a free slot and no client account waiting. That slot time still counts as
            not busy.
        count_by_status: The number of requests by HTTP status; 0 stands for a failed
            connection.
        killed: The number of kills of a router, computed from the settings.
    """

    utilisation_by_service: dict[str, float]
    least_by_service: dict[str, float]
    samples_without_waiting_by_service: dict[str, int]
    count_by_status: dict[str, int]
    killed: int


class Figures(msgspec.Struct, frozen=True):
    """The measured figures.

    Attributes:
        steady: The run with all routers.
        with_kills: The run in which one router after another is killed.
    """

    steady: Run
    with_kills: Run


async def measure(seed: int) -> results.Result:
    """Measures a run without failures and then one with routers killed."""
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
    deployment = fleet.Fleet(
        shapes.SHAPE_BY_NAME[settings.shape], settings.load.token_ms
    )
    workload.prepare_document(deployment, settings.load, source)
    async with deployment:
        load_generator = workload.LoadGenerator(deployment, settings.load, source)
        load_generator.start()
        kill_task = asyncio.create_task(_kill_routers(deployment, settings, has_kills))
        try:
            await asyncio.sleep(settings.warm_up_s)
            taken = await samples.take_periodically(
                deployment, settings.run_s, settings.period_s
            )
        finally:
            kill_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await kill_task
            await load_generator.stop()
    kills = int(settings.run_s / settings.kill_every_s) if has_kills else 0
    return _summarise(deployment.shape, taken, load_generator, kills)


async def _kill_routers(deployment: fleet.Fleet, settings: Settings, has_kills) -> None:
    """Kills the routers in turn and starts each again, until cancelled."""
    if not has_kills:
        return
    await asyncio.sleep(settings.warm_up_s + settings.kill_every_s / 2)
    while True:
        for router in deployment.with_role(fleet.Role.ROUTER):
            await deployment.kill(router)
            await asyncio.sleep(settings.down_s)
            await deployment.start(router)
            await asyncio.sleep(settings.kill_every_s - settings.down_s)


def _summarise(shape: shapes.Shape, taken, load_generator, kills: int) -> Run:
    service_names = [service.name for service in shape.services]
    pairs = list(itertools.pairwise(taken))
    return Run(
        {
            name: round(samples.utilisation(taken[0], taken[-1], name), 4)
            for name in service_names
        },
        {
            name: round(min(samples.utilisation(a, b, name) for a, b in pairs), 4)
            for name in service_names
        },
        {
            name: sum(_has_idle_slot(sample, name) for sample in taken)
            for name in service_names
        },
        {
            str(status): count
            for status, count in load_generator.count_by_status.items()
        },
        kills,
    )


def _has_idle_slot(sample: samples.Sample, service: str) -> bool:
    return any(
        report.slots.busy < report.slots.total
        and not any(served.is_backlogged for served in report.served)
        for report in sample.of_service(service)
    )
