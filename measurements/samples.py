"""Samples the reports of a running fleet."""

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
    """The reports at one time.

    Attributes:
        taken_at: When, in seconds.
        report_by_node: The reports, by the name of the node; without lost nodes.
        usage_by_node: What the processes have used, by the name of the node.
    """

    taken_at: float
    report_by_node: dict[str, reports.NodeReport]
    usage_by_node: dict[str, processes.Usage]

    def of_service(self, service: str) -> list[reports.NodeReport]:
        """Returns the reports of a service's agents."""
        return [r for r in self.report_by_node.values() if r.service == service]


async def take(running: fleet.Fleet) -> Sample:
    """Takes the reports of all running routers and agents."""
    nodes = [
        node
        for node in running.node_by_name.values()
        if node.listing is not None and node.is_running
    ]
    found = await asyncio.gather(*(_ask(running, node) for node in nodes))
    report_by_node = {report.instance: report for report in found if report is not None}
    usage_by_node = {
        node.name: processes.read_usage(node.process.pid)
        for node in nodes
        if node.is_running
    }
    return Sample(time.monotonic(), report_by_node, usage_by_node)


async def take_periodically(
    running: fleet.Fleet, run_s: float, period_s: float
) -> list[Sample]:
    """Takes samples at equal distances for some time."""
    end = time.monotonic() + run_s
    taken = []
    while time.monotonic() < end:
        taken.append(await take(running))
        await asyncio.sleep(period_s)
    return taken


async def _ask(running: fleet.Fleet, node: fleet.Node) -> reports.NodeReport | None:
    try:
        async with running.session.get(node.admin_url + "/report") as response:
            return msgspec.json.decode(await response.read(), type=reports.NodeReport)
    except OSError:
        return None


def bytes_by_type(first: Sample, last: Sample, node: str) -> dict[str, int]:
    """Returns the bytes that a node sent to peers between two samples."""
    before = first.report_by_node[node].control_bytes_by_type
    after = collections.Counter(last.report_by_node[node].control_bytes_by_type)
    after.subtract(before)
    return {name: count for name, count in after.items() if count}


def control_bytes(bytes_by_type: dict[str, int]) -> int:
    """Returns the bytes of coordination among those sent."""
    return sum(
        count
        for name, count in bytes_by_type.items()
        if name not in messages.DATA_MESSAGE_TYPES
    )


def utilisation(first: Sample, last: Sample, service: str) -> float:
    """Returns the part of a service's slot time that was busy between two samples."""
    busy_s = 0.0
    slots_s = 0.0
    for report in last.of_service(service):
        before = first.report_by_node[report.instance]
        busy_s += report.slots.busy_s - before.slots.busy_s
        slots_s += report.slots.total * (report.uptime_s - before.uptime_s)
    return busy_s / slots_s
