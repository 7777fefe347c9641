"""The traffic that the nodes spend on coordination, under load and idle."""

import asyncio
import random

import msgspec

from measurements import results, samples, workload
from standins import fleet, shapes
from teaselsill import instances

TARGET_BYTES_PER_S = 2000.0
TARGET_IDLE_BYTES_PER_S = 20.0
"""Near zero: one hundredth of the budget."""


class Settings(msgspec.Struct, frozen=True):
    """One run.

    Attributes:
        load: The load.
        shape: The deployment.
        warm_up_s: The time before each part.
        run_s: The time of the part under load.
        idle_after_s: The time between the end of the load and the idle part.
        idle_s: The time of the idle part.
    """

    load: workload.Settings = workload.Settings()
    shape: str = "caroni"
    warm_up_s: float = 4.0
    run_s: float = 25.0
    idle_after_s: float = 8.0
    idle_s: float = 15.0


class RoleTraffic(msgspec.Struct, frozen=True):
    """What the nodes of a role send to peers, on average for one node.

    Attributes:
        control_bytes_per_s: Bytes of coordination.
        data_bytes_per_s: Bytes of requests and answers.
        most_control_bytes_per_s: The same as the first, of the busiest node.
        bytes_per_s_by_type: All bytes, by the type of message.
        processor_ratio: Processor time, in cores, for all that the node does.
    """

    control_bytes_per_s: float
    data_bytes_per_s: float
    most_control_bytes_per_s: float
    bytes_per_s_by_type: dict[str, float]
    processor_ratio: float


class Part(msgspec.Struct, frozen=True):
    """A part of the run.

    Attributes:
        requests_per_s: Whole answers in a second in the fleet.
        traffic_by_role: What the nodes send.
        control_bytes_per_request: Bytes of coordination in the fleet for a request.
    """

    requests_per_s: float
    traffic_by_role: dict[str, RoleTraffic]
    control_bytes_per_request: float


class Figures(msgspec.Struct, frozen=True):
    """What was measured.

    Attributes:
        loaded: With half the client accounts always backlogged.
        idle: With nothing waiting.
    """

    loaded: Part
    idle: Part


async def measure(seed: int) -> results.Result:
    """Measures a part under load, then an idle one."""
    settings = Settings()
    load_before = results.load_average()
    source = random.Random(seed)
    running = fleet.Fleet(shapes.SHAPE_BY_NAME[settings.shape], settings.load.token_ms)
    workload.prepare_document(running, settings.load, source)
    async with running:
        load = workload.LoadGenerator(running, settings.load, source)
        load.start()
        await asyncio.sleep(settings.warm_up_s)
        loaded = await _measure_part(running, load, settings.run_s)
        await load.stop()
        await asyncio.sleep(settings.idle_after_s)
        idle = await _measure_part(running, load, settings.idle_s)
    return results.Result(
        "control",
        seed,
        settings,
        Figures(loaded, idle),
        [
            *_check("loaded", loaded, TARGET_BYTES_PER_S),
            *_check("idle", idle, TARGET_IDLE_BYTES_PER_S),
        ],
        load_before,
        results.load_average(),
        results.CORE_COUNT,
    )


def _check(name: str, part: Part, target: float):
    for role, traffic in part.traffic_by_role.items():
        figure = f"{name}.{role}.control_bytes_per_s"
        yield results.check_at_most(figure, traffic.control_bytes_per_s, target)


async def _measure_part(running: fleet.Fleet, load, run_s: float) -> Part:
    answered = load.count_by_status[200]
    first = await samples.take(running)
    await asyncio.sleep(run_s)
    last = await samples.take(running)
    answered = load.count_by_status[200] - answered
    traffic_by_role = {
        role.value: measure_role(first, last, role)
        for role in (instances.Role.ROUTER, instances.Role.AGENT)
    }
    control = sum(
        samples.control_bytes(samples.bytes_by_type(first, last, name))
        for name in first.report_by_node
    )
    per_request = control / answered if answered else 0.0
    return Part(
        round(answered / (last.taken_at - first.taken_at), 1),
        traffic_by_role,
        round(per_request, 1),
    )


def measure_role(
    first: samples.Sample, last: samples.Sample, role: instances.Role
) -> RoleTraffic:
    """Returns what the nodes of a role did between two samples."""
    names = [name for name, r in first.report_by_node.items() if r.role is role]
    elapsed_s = last.taken_at - first.taken_at
    sent = [samples.bytes_by_type(first, last, name) for name in names]
    control = [samples.control_bytes(by_type) / elapsed_s for by_type in sent]
    types = sorted({kind for by_type in sent for kind in by_type})
    node_s = elapsed_s * len(names)
    bytes_per_s_by_type = {
        kind: round(sum(by_type.get(kind, 0) for by_type in sent) / node_s, 1)
        for kind in types
    }
    processor_s = sum(
        last.usage_by_node[name].processor_s - first.usage_by_node[name].processor_s
        for name in names
    )
    control_mean = sum(control) / len(names)
    return RoleTraffic(
        round(control_mean, 1),
        round(sum(bytes_per_s_by_type.values()) - control_mean, 1),
        round(max(control), 1),
        bytes_per_s_by_type,
        round(processor_s / node_s, 4),
    )
