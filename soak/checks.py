"""Checks of the fleet's guarantees, made from outside its processes."""

import asyncio
import collections
import dataclasses
import time

import aiohttp

from soak import workload
from standins import fleet

POLL_S = 0.5
PAGE_TIMEOUT_S = 1.0
TRACEBACK = "Traceback (most recent call last)"
MAX_LINE_LENGTH = 600


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A failed check.

    Attributes:
        check: The name of the check.
        at_s: When it failed, in seconds after the start of the run.
        detail: The request, nodes and times involved.
    """

    check: str
    at_s: float
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """A period in which a router could not serve because it was killed or frozen.

    Attributes:
        node: The router's name.
        began_at: Its start on the monotonic clock, in seconds.
        ended_at: Its end on the monotonic clock, in seconds.
    """

    node: str
    began_at: float
    ended_at: float

    def may_affect(self, call: workload.Call) -> bool:
        """Tells whether a call used the router during the outage."""
        is_before = call.ended_at and call.ended_at < self.began_at
        return call.router == self.node and not (
            is_before or call.began_at > self.ended_at
        )


class Checker:
    """Checks the fleet and its callers' calls, and records violations.

    Args:
        deployment: The fleet.
        calls: The callers' calls; the list grows during the run.

    Attributes:
        violations: The violations found so far.
        checked_by_name: How often each check was made.
        outages: The outages of routers, during which calls may fail.
    """

    def __init__(self, deployment: fleet.Fleet, calls: list[workload.Call]):
        self.violations: list[Violation] = []
        self.checked_by_name: collections.Counter[str] = collections.Counter()
        self.outages: list[Outage] = []
        self._fleet = deployment
        self._calls = calls
        self._began_at = time.monotonic()
        self._version_by_node: dict[str, int] = {}
        self._log_position_by_node: collections.Counter[str] = collections.Counter()
        self._recorded: set[tuple[str, str]] = set()

    def record_violation(self, check: str, detail: str) -> None:
        """Records a violation, unless the same one is recorded already."""
        if (check, detail) in self._recorded:
            return
        self._recorded.add((check, detail))
        at_s = round(time.monotonic() - self._began_at, 2)
        self.violations.append(Violation(check, at_s, detail))
        print(f"VIOLATION at {at_s} s: {check}: {detail}", flush=True)

    async def watch_versions(self) -> None:
        """Polls the nodes' configuration versions until cancelled."""
        while True:
            await asyncio.gather(
                *(self._check_version(n) for n in self.list_running_nodes())
            )
            await asyncio.sleep(POLL_S)

    async def check_all(self) -> None:
        """Makes every check on the calls and reports so far."""
        await self._check_executions()
        self._check_calls()
        await asyncio.gather(
            *(self._check_report(node) for node in self.list_running_nodes())
        )
        self._check_logs()

    def check_calls_uninterrupted(
        self, name: str, began_at: float, router: str
    ) -> None:
        """Checks that no call in progress at or after a time was cut off.

        A call that ended at its own deadline does not count as cut off.

        Args:
            name: The name of the check.
            began_at: The time on the monotonic clock, in seconds.
            router: Check only calls through this router; empty for all.
        """
        self.checked_by_name[name] += 1
        interrupted_results = (
            workload.Result.UNKNOWN,
            workload.Result.INCOMPLETE,
            workload.Result.NO_RESPONSE,
        )
        for call in self._calls:
            is_later = call.ended_at >= began_at or not call.ended_at
            if not is_later or (router and call.router != router):
                continue
            if (
                call.result not in interrupted_results
                or call.duration_s >= call.deadline_s
            ):
                continue
            if not any(outage.may_affect(call) for outage in self.outages):
                self.record_violation(name, self.describe(call))

    def describe(self, call: workload.Call) -> str:
        """Describes a call in one line."""
        return (
            f"request {call.request_id or '?'} {call.kind.value} {call.order_path} "
            f"of {call.account} through {call.router}, "
            f"began {call.began_at - self._began_at:.2f} s, "
            f"ended {call.ended_at - self._began_at:.2f} s, "
            f"deadline {call.deadline_s} s, status {call.status}, "
            f"outcome {call.outcome or '?'}, "
            f"{call.result.value if call.result else 'runs'}: {call.detail[:200]}"
        )

    def list_running_nodes(self) -> list[fleet.Node]:
        """Returns the routers and agents whose processes run."""
        return [
            node
            for node in self._fleet.node_by_name.values()
            if node.role in (fleet.Role.ROUTER, fleet.Role.AGENT)
            and node.process is not None
            and node.process.returncode is None
        ]

    async def _check_executions(self) -> None:
        ended = [call for call in self._calls if call.ended_at]
        by_request: collections.Counter[str] = collections.Counter()
        by_path: collections.Counter[str] = collections.Counter()
        for node in self._fleet.with_role(fleet.Role.UPSTREAM):
            page = await self._fleet.get_json(f"{node.url}/admin/executions")
            by_request.update(page["by_request"])
            by_path.update(page.get("by_path", {}))
        self._check_repeated_runs(by_path)
        for call in ended:
            self._check_outcome(call, by_request, by_path)

    def _check_repeated_runs(self, by_path) -> None:
        self.checked_by_name["at-most-once"] += 1
        for path, count in by_path.items():
            if path.startswith("/orders/") and count > 1:
                calls = [c for c in self._calls if c.order_path == path]
                descriptions = "; ".join(self.describe(call) for call in calls)
                self.record_violation(
                    "at-most-once", f"{path} ran {count} times: {descriptions}"
                )

    def _check_outcome(self, call, by_request, by_path) -> None:
        if call.outcome == "not-run" and call.request_id:
            self.checked_by_name["not-run-is-true"] += 1
            if by_request[call.request_id]:
                self.record_violation("not-run-is-true", self.describe(call))
        if call.order_path and call.result is workload.Result.COMPLETE:
            self.checked_by_name["answered-order-ran"] += 1
            if not by_path[call.order_path]:
                self.record_violation("answered-order-ran", self.describe(call))

    def _check_calls(self) -> None:
        for call in self._calls:
            if not call.ended_at:
                continue
            self.checked_by_name["answer-whole"] += 1
            if call.result is workload.Result.WRONG:
                self.record_violation("answer-whole", self.describe(call))
            self._check_deadline(call)

    def _check_deadline(self, call: workload.Call) -> None:
        if any(outage.may_affect(call) for outage in self.outages):
            return
        self.checked_by_name["answered-by-deadline"] += 1
        max_duration_s = call.deadline_s + workload.RESPONSE_GRACE_S
        if call.duration_s > max_duration_s:
            self.record_violation("answered-by-deadline", self.describe(call))

    async def _check_version(self, node: fleet.Node) -> None:
        page = await self._get(node, "/version")
        if page is None or page["version"] < 0:
            return
        self.checked_by_name["version-never-falls"] += 1
        last_version = self._version_by_node.get(node.name, -1)
        if page["version"] < last_version:
            detail = f"{node.name} went from {last_version} to {page['version']}"
            self.record_violation("version-never-falls", detail)
        self._version_by_node[node.name] = max(last_version, page["version"])

    async def _check_report(self, node: fleet.Node) -> None:
        page = await self._get(node, "/report")
        if page is None:
            return
        self.checked_by_name["no-invariant-violated"] += 1
        if page["violation_count_by_name"]:
            detail = f"{node.name}: {page['violation_count_by_name']}"
            self.record_violation("no-invariant-violated", detail)

    def _check_logs(self) -> None:
        for node in self._fleet.node_by_name.values():
            if node.role not in (fleet.Role.ROUTER, fleet.Role.AGENT):
                continue
            self.checked_by_name["no-traceback"] += 1
            path = self._fleet.directory / f"{node.name}.log"
            if not path.exists():
                continue
            with path.open() as lines:
                lines.seek(self._log_position_by_node[node.name])
                text = lines.read()
                self._log_position_by_node[node.name] = lines.tell()
            for line in text.splitlines():
                if TRACEBACK in line:
                    self.record_violation(
                        "no-traceback", f"{node.name}: {line[-MAX_LINE_LENGTH:]}"
                    )

    async def _get(self, node: fleet.Node, page: str) -> dict | None:
        try:
            async with asyncio.timeout(PAGE_TIMEOUT_S):
                return await self._fleet.get_json(node.admin_url + page)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
