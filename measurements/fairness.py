"""The fairness gap of the policies under an uneven load of unknown cost."""

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
CHOSEN = "spread"


class Settings(msgspec.Struct, frozen=True):
    """One run.

    Attributes:
        load: The load.
        policies: The policies, each on a fleet of its own.
        shapes: The deployments, measured at the same time.
        warm_up_s: The time before the first sample.
        run_s: The time of the samples.
        period_s: The time between samples.
    """

    load: workload.Settings = workload.Settings()
    policies: tuple[str, ...] = POLICIES
    shapes: tuple[str, ...] = tuple(shapes.SHAPE_BY_NAME)
    warm_up_s: float = 4.0
    run_s: float = 20.0
    period_s: float = 0.5


class Run(msgspec.Struct, frozen=True):
    """One policy on one deployment.

    Attributes:
        gap_by_service: The fairness gaps.
        utilisation_by_service: The busy part of the slot time.
        count_by_status: Requests by HTTP status; 0 for a lost connection.
        violations: Invariant violations that the nodes reported.
    """

    gap_by_service: dict[str, gaps.Gap]
    utilisation_by_service: dict[str, float]
    count_by_status: dict[str, int]
    violations: int


RunByShape = dict[str, Run]


async def measure(seed: int) -> results.Result:
    """Measures all policies on the same load, one after the other."""
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
        list(_check(run_by_shape_by_policy[CHOSEN])),
        load_before,
        results.load_average(),
        results.CORE_COUNT,
    )


def _check(run_by_shape: RunByShape):
    for shape, run in run_by_shape.items():
        for service, gap in run.gap_by_service.items():
            name = f"{CHOSEN}.{shape}.{service}.gap"
            yield results.check_at_most(name, gap.gap, gap.bound)
            yield results.check_at_most(name, gap.gap, gap.twice_largest)


async def _measure_policy(policy: str, settings: Settings, seed: int) -> RunByShape:
    runs = await asyncio.gather(
        *(_measure_shape(shape, policy, settings, seed) for shape in settings.shapes)
    )
    return dict(zip(settings.shapes, runs, strict=True))


async def _measure_shape(shape: str, policy: str, settings: Settings, seed: int) -> Run:
    source = random.Random(seed)
    running = fleet.Fleet(
        shapes.SHAPE_BY_NAME[shape], settings.load.token_ms, policy=policy
    )
    workload.prepare_document(running, settings.load, source)
    async with running:
        load = workload.LoadGenerator(running, settings.load, source)
        load.start()
        try:
            await asyncio.sleep(settings.warm_up_s)
            taken = await samples.take_periodically(
                running, settings.run_s, settings.period_s
            )
        finally:
            await load.stop()
    return _summarise(running.shape, taken, load)


def _summarise(shape: shapes.Shape, taken: list[samples.Sample], load) -> Run:
    names = [service.name for service in shape.services]
    return Run(
        {name: gaps.compute(taken, name, load) for name in names},
        {
            name: round(samples.utilisation(taken[0], taken[-1], name), 4)
            for name in names
        },
        {str(status): count for status, count in load.count_by_status.items()},
        sum(
            sum(report.violation_count_by_name.values())
            for report in taken[-1].report_by_node.values()
        ),
    )
