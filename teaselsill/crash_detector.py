"""Tells crashes of upstreams from connections that are merely lost."""

import asyncio
import collections
import logging

from teaselsill import (
    crash_reports,
    directory,
    entry_metrics,
    ids,
    quarantine,
    tcp_stream,
    upstream_connection,
    upstream_list,
)

CONFIRM_DELAY_S = 0.03
"""How long after a lost connection the upstream is checked: all its connections are
lost by then, and its port is closed."""
CONNECT_TIMEOUT_S = 0.4
MAX_REPORTED_SUSPECTS = 16
"""The most suspects that one router reports of one crash."""
MAX_KNOWN_CRASHES = 64

logger = logging.getLogger(__name__)

Incarnation = tuple[ids.UpstreamId, int]


class CrashDetector:
    """Checks upstreams whose connections were lost in the middle of responses.

    An upstream has crashed if it refuses new connections although it is listed and has
    not announced that it leaves.

    Args:
        upstreams: The directory of upstreams.
        parts_quarantine: Gets the crashes.
        metrics: Receives the metrics.
    """

    def __init__(
        self,
        upstreams: directory.Directory,
        parts_quarantine: quarantine.Quarantine,
        metrics: entry_metrics.EntryMetrics,
    ):
        self._directory = upstreams
        self._quarantine = parts_quarantine
        self._metrics = metrics
        self._suspects_by_incarnation: dict[
            Incarnation, list[crash_reports.Suspect]
        ] = {}
        self._crashed_at_by_incarnation: collections.OrderedDict[Incarnation, float] = (
            collections.OrderedDict()
        )
        self._check_by_incarnation: dict[Incarnation, asyncio.Task] = {}

    async def check(
        self, upstream: upstream_list.Upstream, suspect: crash_reports.Suspect
    ) -> bool:
        """Returns whether the upstream that has closed a request's connection crashed.

        All requests that it has broken off share one check, and are reported with it.

        Args:
            upstream: The upstream.
            suspect: The request.
        """
        incarnation = upstream.id, upstream.born_ms
        self._suspects_by_incarnation.setdefault(incarnation, []).append(suspect)
        task = self._check_by_incarnation.get(incarnation)
        if task is None:
            task = asyncio.create_task(self._run_check(upstream, _now()))
            self._check_by_incarnation[incarnation] = task
        return await asyncio.shield(task)

    def close(self) -> None:
        """Cancels all checks."""
        for task in self._check_by_incarnation.values():
            task.cancel()

    async def _run_check(self, upstream: upstream_list.Upstream, lost_at: float):
        """Checks an upstream, and reports the requests in progress if it crashed."""
        incarnation = upstream.id, upstream.born_ms
        try:
            await asyncio.sleep(CONFIRM_DELAY_S)
            has_crashed = await self._has_crashed(upstream)
            if has_crashed:
                self._report(upstream, lost_at)
            return has_crashed
        finally:
            del self._suspects_by_incarnation[incarnation]
            del self._check_by_incarnation[incarnation]

    async def _has_crashed(self, upstream: upstream_list.Upstream) -> bool:
        if (upstream.id, upstream.born_ms) in self._crashed_at_by_incarnation:
            return True
        if not self._directory.is_usable(upstream):
            return False
        try:
            connection = await upstream_connection.open_connection(
                upstream.host, upstream.port, CONNECT_TIMEOUT_S
            )
        except tcp_stream.ConnectionRefusedError:
            return True
        except tcp_stream.ConnectionFailedError:
            return False
        self._directory.pool(upstream).put(connection)
        return False

    def _report(self, upstream: upstream_list.Upstream, lost_at: float) -> None:
        incarnation = upstream.id, upstream.born_ms
        suspects = self._suspects_by_incarnation[incarnation]
        crashed_at = self._crashed_at_by_incarnation.setdefault(incarnation, lost_at)
        if crashed_at == lost_at:
            self._metrics.crashes.labels(upstream.service).inc()
        if len(self._crashed_at_by_incarnation) > MAX_KNOWN_CRASHES:
            self._crashed_at_by_incarnation.popitem(last=False)
        begun = [suspect for suspect in suspects if suspect.has_begun]
        waiting = [suspect for suspect in suspects if not suspect.has_begun]
        now = _now()
        logger.warning(
            "upstream crashed",
            extra={
                "upstream": upstream.id,
                "born_ms": upstream.born_ms,
                "ago_ms": round(1000 * (now - crashed_at), 1),
                "beginning": [suspect.request for suspect in begun],
                "waiting": len(waiting),
            },
        )
        reported = [*begun, *waiting][:MAX_REPORTED_SUSPECTS]
        self._quarantine.note_crash(
            crash_reports.Crash(
                upstream.id, upstream.born_ms, now - crashed_at, reported
            ),
            now,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
