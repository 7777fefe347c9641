"""A busy router beside a less loaded one, in this process, with their upstreams."""

import asyncio
import contextlib

import msgspec

from teaselsill import loop_lag
from tests import entry_bench, pausable_link

REPORT_INTERVAL_S = 0.1


class OffloadBench(contextlib.AsyncExitStack):
    """A busy router that passes requests on to another one.

    All bytes between the two pass a link that can be paused.

    Args:
        script: The script of each upstream; see `entry_bench.ScriptedUpstream`.
        upstreams: The number of upstreams.
        fields: Fields of the only route.

    Attributes:
        upstreams: The upstreams.
        busy: The bench of the busy router.
        other: The bench of the other router.
        link: Relays the bytes between them.
        has_reports: Whether the routers hear each other's reports.
    """

    def __init__(self, script=entry_bench.respond_ok, upstreams=1, **fields):
        super().__init__()
        self.upstreams = [
            entry_bench.ScriptedUpstream(f"u{number}", script)
            for number in range(upstreams)
        ]
        self.has_reports = True
        self._fields = {"is_stream": True, "timeout_s": 30.0} | fields

    async def __aenter__(self):
        """Starts the upstream, the routers and the exchange of reports."""
        self.other = await self._start_router("other", 4.0)
        self.busy = await self._start_router("busy", 0.4)
        target = pausable_link.PausableLink(self.other.router.addresses[1][1])
        self.link = await self.enter_async_context(target)
        for coroutine in (
            self._exchange_reports(),
            self.busy.router.run_maintenance(),
            self.other.router.run_maintenance(),
        ):
            task = asyncio.create_task(coroutine)
            self.callback(task.cancel)
        await asyncio.sleep(0)
        for _ in range(20):
            self.busy.lag.add(1.5 * loop_lag.BUSY_S, 0.0)
        self.busy.forwarder.active_requests = 10
        return self

    async def pause_other(self, duration_s):
        """Pauses the other router as seen from the busy one: reports stop as well."""
        self.has_reports = False
        self.link.pause()
        await asyncio.sleep(duration_s)
        self.link.resume()
        self.has_reports = True

    def list_requests(self):
        """Returns the requests that the upstreams have received."""
        return [r for upstream in self.upstreams for r in upstream.requests]

    async def wait_for_requests(self, count=1):
        """Waits until the upstreams have received some requests."""
        async with asyncio.timeout(5.0):
            while len(self.list_requests()) < count:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def wait_disconnected(self):
        """Waits until a router closes a connection while the first upstream runs."""
        await self.upstreams[0].wait_disconnected()

    def count_served_by(self, bench):
        """Returns how many requests a router has sent and delivered."""
        page = bench.metrics.render(0.0, bench.view.usage).decode()
        prefix = 'teaselsill_requests_total{cause="",ending="delivered"} '
        lines = [line for line in page.splitlines() if line.startswith(prefix)]
        return int(float(lines[0].removeprefix(prefix))) if lines else 0

    def exchange_reports(self):
        """Exchanges one report in each direction."""
        self.other.view.apply(self.busy.view.take_report())
        report = self.other.view.take_report()
        status = msgspec.structs.replace(report.status, request_port=self.link.port)
        self.busy.view.apply(msgspec.structs.replace(report, status=status))

    async def _start_router(self, name, cores):
        bench = entry_bench.EntryBench(self.upstreams, name, cores, **self._fields)
        return await self.enter_async_context(bench)

    async def _exchange_reports(self):
        while True:
            if self.has_reports:
                self.exchange_reports()
            await asyncio.sleep(REPORT_INTERVAL_S)
