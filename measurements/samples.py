"""Samples of the reports and resource usage of a running fleet."""

import asyncio
import collections
import dataclasses
import time

import msgspec

from measurements import processes
from standins import fleet
from teaselsill import messages, reports


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The reports and resource usage of the nodes at one time.

    Attributes:
        taken_at: When the sample was taken, on the monotonic clock, in seconds.
        report_by_node: The reports by the name of the node, without those of nodes that
            did not respond.
        usage_by_node: The resource usage of the processes, by the name of the node.
    """

    taken_at: float
    report_by_node: dict[str, reports.NodeReport]
    usage_by_node: dict[str, processes.Usage]

    def of_service(self, service: str) -> list[reports.NodeReport]:
        """Returns the reports of a service's agents."""
        return [
            report
            for report in self.report_by_node.values()
            if report.service == service
        ]


async def take(deployment: fleet.Fleet) -> Sample:
    """Samples all running routers and agents."""
    nodes = [
        node
        for node in deployment.node_by_name.values()
        if node.listing is not None and node.is_running
    ]
    node_reports = await asyncio.gather(
        *(_read_report(deployment, node) for node in nodes)
    )
    report_by_node = {
        report.instance: report for report in node_reports if report is not None
    }
    usage_by_node = {
        node.name: processes.read_usage(node.process.pid)
        for node in nodes
        if node.is_running
    }
    return Sample(time.monotonic(), report_by_node, usage_by_node)


async def take_periodically(
    deployment: fleet.Fleet, run_s: float, period_s: float
) -> list[Sample]:
    """Takes samples for `run_s` seconds, `period_s` apart."""
    end = time.monotonic() + run_s
    taken = []
    while time.monotonic() < end:
        taken.append(await take(deployment))
        await asyncio.sleep(period_s)
    return taken


async def _read_report(
    deployment: fleet.Fleet, node: fleet.Node
) -> reports.NodeReport | None:
    try:
        async with deployment.session.get(node.admin_url + "/report") as response:
            return msgspec.json.decode(await response.read(), type=reports.NodeReport)
    except OSError:
        return None


def bytes_by_type(first: Sample, last: Sample, node: str) -> dict[str, int]:
    """Returns the bytes that a node sent between two samples, by message type."""
    before = first.report_by_node[node].control_bytes_by_type
    after = collections.Counter(last.report_by_node[node].control_bytes_by_type)
    after.subtract(before)
    return {name: count for name, count in after.items() if count}


def control_bytes(bytes_by_type: dict[str, int]) -> int:
    """Returns the total bytes of control messages."""
    return sum(
        count
        for name, count in bytes_by_type.items()
        if name not in messages.DATA_MESSAGE_TYPES
    )


def utilisation(first: Sample, last: Sample, service: str) -> float:
    """Returns the busy fraction of a service's slot time between two samples."""
    busy_s = 0.0
    slots_s = 0.0
    for report in last.of_service(service):
        before = first.report_by_node[report.instance]
        busy_s += report.slots.busy_s - before.slots.busy_s
        slots_s += report.slots.total * (report.uptime_s - before.uptime_s)
    return busy_s / slots_s
