"""The control traffic between the nodes, under load and idle."""

import asyncio
import random

import msgspec

from measurements import results, samples, workload
from standins import fleet, shapes
from teaselsill import instances

TARGET_BYTES_PER_S = 2000.0
TARGET_IDLE_BYTES_PER_S = 20.0
"""One hundredth of the target under load, which counts as near zero."""


class Settings(msgspec.Struct, frozen=True):
    """The settings of a run.

    Attributes:
        load: The load.
        shape: The name of the deployment.
        warm_up_s: The time between the start of the load and the part under load.
        run_s: The duration of the part under load.
        idle_after_s: The time between the end of the load and the idle part.
        idle_s: The duration of the idle part.
    """

    load: workload.Settings = workload.Settings()
    shape: str = "caroni"
    warm_up_s: float = 4.0
    run_s: float = 25.0
    idle_after_s: float = 8.0
    idle_s: float = 15.0


class RoleTraffic(msgspec.Struct, frozen=True):
    """The traffic that the nodes of a role send to peers, averaged over the nodes.

    Attributes:
        control_bytes_per_s: The bytes of control messages.
        data_bytes_per_s: The bytes of requests and responses.
        most_control_bytes_per_s: The bytes of control messages of the node that sends
            the most of them.
        bytes_per_s_by_type: The bytes of each type of message.
        processor_ratio: The processor time of a node, in cores, for all its work.
    """

    control_bytes_per_s: float
    data_bytes_per_s: float
    most_control_bytes_per_s: float
    bytes_per_s_by_type: dict[str, float]
    processor_ratio: float


class Part(msgspec.Struct, frozen=True):
    """The figures of one part of a run.

    Attributes:
        requests_per_s: The rate of successful requests in the fleet.
        traffic_by_role: The traffic of the nodes, by their role.
        control_bytes_per_request: The bytes of control messages in the whole fleet
            for each successful request.
    """

    requests_per_s: float
    traffic_by_role: dict[str, RoleTraffic]
    control_bytes_per_request: float


class Figures(msgspec.Struct, frozen=True):
    """The measured figures.

    Attributes:
        loaded: The part in which half of the client accounts are always backlogged.
        idle: The part without any requests.
    """

    loaded: Part
    idle: Part


async def measure(seed: int) -> results.Result:
    """Measures the traffic under load and then without it."""
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
        await asyncio.sleep(settings.warm_up_s)
        loaded = await _measure_part(deployment, load_generator, settings.run_s)
        await load_generator.stop()
        await asyncio.sleep(settings.idle_after_s)
        idle = await _measure_part(deployment, load_generator, settings.idle_s)
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


async def _measure_part(deployment: fleet.Fleet, load_generator, run_s: float) -> Part:
    completed = load_generator.count_by_status[200]
    first = await samples.take(deployment)
    await asyncio.sleep(run_s)
    last = await samples.take(deployment)
    completed = load_generator.count_by_status[200] - completed
    traffic_by_role = {
        role.value: measure_role(first, last, role)
        for role in (instances.Role.ROUTER, instances.Role.AGENT)
    }
    control_bytes = sum(
        samples.control_bytes(samples.bytes_by_type(first, last, node_name))
        for node_name in first.report_by_node
    )
    per_request = control_bytes / completed if completed else 0.0
    return Part(
        round(completed / (last.taken_at - first.taken_at), 1),
        traffic_by_role,
        round(per_request, 1),
    )


def measure_role(
    first: samples.Sample, last: samples.Sample, role: instances.Role
) -> RoleTraffic:
    """Returns the traffic of the nodes of a role between two samples."""
    node_names = [
        node_name
        for node_name, report in first.report_by_node.items()
        if report.role is role
    ]
    elapsed_s = last.taken_at - first.taken_at
    sent = [samples.bytes_by_type(first, last, node_name) for node_name in node_names]
    control_bytes = [samples.control_bytes(by_type) / elapsed_s for by_type in sent]
    message_types = sorted(
        {message_type for by_type in sent for message_type in by_type}
    )
    node_s = elapsed_s * len(node_names)
    bytes_per_s_by_type = {
        message_type: round(
            sum(by_type.get(message_type, 0) for by_type in sent) / node_s, 1
        )
        for message_type in message_types
    }
    processor_s = sum(
        last.usage_by_node[node_name].processor_s
        - first.usage_by_node[node_name].processor_s
        for node_name in node_names
    )
    control_mean = sum(control_bytes) / len(node_names)
    return RoleTraffic(
        round(control_mean, 1),
        round(sum(bytes_per_s_by_type.values()) - control_mean, 1),
        round(max(control_bytes), 1),
        bytes_per_s_by_type,
        round(processor_s / node_s, 4),
    )
