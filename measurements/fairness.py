"""The fairness gap of each policy under an uneven load of unknown cost."""

import asyncio
import random

import msgspec

from measurements import gaps, results, samples, workload
from standins import fleet, shapes

POLICIES = (
    "spread",
    "least-service",
    "random",
    "first-come",
    "round-robin",
    "local-counters",
)
CHECKED_POLICY = "spread"
"""The policy whose gaps have a target."""


class Settings(msgspec.Struct, frozen=True):
    """The settings of a run.

    Attributes:
        load: The load.
        policies: The policies, each measured on a fleet of its own.
        shapes: The names of the deployments, which are measured at the same time.
        warm_up_s: The time between the start of the load and the first sample.
        run_s: For how long samples are taken.
        period_s: The time between two samples.
    """

    load: workload.Settings = workload.Settings()
    policies: tuple[str, ...] = POLICIES
    shapes: tuple[str, ...] = tuple(shapes.SHAPE_BY_NAME)
    warm_up_s: float = 4.0
    run_s: float = 20.0
    period_s: float = 0.5


class Run(msgspec.Struct, frozen=True):
    """The figures of one policy on one deployment.

    Attributes:
        gap_by_service: The fairness gap of each service.
        utilisation_by_service: The fraction of the slot time that was busy.
        count_by_status: The number of requests by HTTP status; 0 stands for a failed
            connection.
        violations: The number of invariant violations that the nodes reported.
    """

    gap_by_service: dict[str, gaps.Gap]
    utilisation_by_service: dict[str, float]
    count_by_status: dict[str, int]
    violations: int


RunByShape = dict[str, Run]


async def measure(seed: int) -> results.Result:
    """Measures the policies under the same load, one after another."""
    settings = Settings()
    load_before = results.load_average()
    run_by_shape_by_policy: dict[str, RunByShape] = {}
    for policy in settings.policies:
        run_by_shape_by_policy[policy] = await _measure_policy(policy, settings, seed)
    return results.Result(
        "fairness",
        seed,
        settings,
        run_by_shape_by_policy,
        list(_check(run_by_shape_by_policy[CHECKED_POLICY])),
        load_before,
        results.load_average(),
        results.CORE_COUNT,
    )


def _check(run_by_shape: RunByShape):
    for shape, run in run_by_shape.items():
        for service, gap in run.gap_by_service.items():
            name = f"{CHECKED_POLICY}.{shape}.{service}.gap"
            yield results.check_at_most(name, gap.gap, gap.bound)
            yield results.check_at_most(name, gap.gap, gap.twice_largest)


async def _measure_policy(policy: str, settings: Settings, seed: int) -> RunByShape:
    runs = await asyncio.gather(
        *(_measure_shape(shape, policy, settings, seed) for shape in settings.shapes)
    )
    return dict(zip(settings.shapes, runs, strict=True))


async def _measure_shape(shape: str, policy: str, settings: Settings, seed: int) -> Run:
    source = random.Random(seed)
    deployment = fleet.Fleet(
        shapes.SHAPE_BY_NAME[shape], settings.load.token_ms, policy=policy
    )
    workload.prepare_document(deployment, settings.load, source)
    async with deployment:
        load_generator = workload.LoadGenerator(deployment, settings.load, source)
        load_generator.start()
        try:
            await asyncio.sleep(settings.warm_up_s)
            taken = await samples.take_periodically(
                deployment, settings.run_s, settings.period_s
            )
        finally:
            await load_generator.stop()
    return _summarise(deployment.shape, taken, load_generator)


def _summarise(shape: shapes.Shape, taken: list[samples.Sample], load_generator) -> Run:
    service_names = [service.name for service in shape.services]
    return Run(
        {name: gaps.compute(taken, name, load_generator) for name in service_names},
        {
            name: round(samples.utilisation(taken[0], taken[-1], name), 4)
            for name in service_names
        },
        {
            str(status): count
            for status, count in load_generator.count_by_status.items()
        },
        sum(
            sum(report.violation_count_by_name.values())
            for report in taken[-1].report_by_node.values()
        ),
    )
