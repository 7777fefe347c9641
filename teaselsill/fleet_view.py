"""What a router knows of the work of all routers: its own and what the others tell."""

import asyncio
import collections.abc
import math

from teaselsill import (
    account_usage,
    calls,
    decaying_sum,
    directory,
    engine_queue,
    ids,
    keyed_log,
    peer_reports,
    placement,
    upstream_list,
    upstream_load,
)

REPORT_S = 0.05
"""How often there is a report while there is something new."""
REPORT_S_PER_PEER = 0.004
"""How much less often for each other router, since each of them has to read it."""
URGENT_TOKENS = 8_000
"""A prompt with so many tokens to read keeps others waiting: it is told at once."""
LEAST_REPORT_S = 0.02
"""How long a router waits between two reports in any case."""
TOLD_MEMORY_S = 1.0
"""How far back others' reports count for the rate at which they send."""
TELL_ALL_S = 0.5
LIVENESS_S = 1.5
"""A router counts as heard for so long after a report."""
OUTPUT_WEIGHT = 2
"""The cost of a generated token, in prompt tokens."""


DescribeStatus = collections.abc.Callable[[], peer_reports.RouterStatus]
OnSeen = collections.abc.Callable[[str, ids.Offset], None]
OnReading = collections.abc.Callable[[str, peer_reports.LogReading], None]


class FleetView:
    """Joins the work of this router and of the others.

    Args:
        router: This router.
        known: The upstreams.
        describe_status: Returns how much this router has to do.
        on_seen: Called with a topic of the platform's log and the offset of a change
            that another router has seen there.
        on_reading: Called with a topic and what another router has read of it.

    Attributes:
        usage: What the client accounts use.
    """

    def __init__(
        self,
        router: ids.InstanceId,
        known: directory.Directory,
        describe_status: DescribeStatus,
        on_seen: OnSeen = lambda topic, offset: None,
        on_reading: OnReading = lambda topic, reading: None,
    ):
        self._router = router
        self._seen_by_topic: dict[str, ids.Offset] = {}
        self._has_seen_change = False
        self.usage = account_usage.AccountUsage()
        self._directory = known
        self._notebook = peer_reports.ReportBuilder(router)
        self._told: dict[ids.UpstreamId, upstream_load.LoadSummary] = {}
        self._told_all_at = float("-inf")
        self._describe_status = describe_status
        self._heard_at_by_router: dict[ids.InstanceId, float] = {}
        self._status_by_router: dict[ids.InstanceId, peer_reports.RouterStatus] = {}
        self._router_by_host: dict[str, ids.InstanceId] = {}
        self._told_tokens = decaying_sum.DecayingSum(TOLD_MEMORY_S)
        self._has_urgent_news = asyncio.Event()
        self._on_seen = on_seen
        self._on_reading = on_reading

    @property
    def has_unreported_changes(self) -> bool:
        """Whether there is something new to tell the others."""
        return self._has_seen_change or not self._notebook.is_empty

    def note_log_change(self, topic: str, offset: ids.Offset) -> None:
        """Takes note of a change in the platform's log, to tell the others."""
        self._seen_by_topic[topic] = offset
        self._has_seen_change = True

    def note_log_read(
        self, topic: str, update: keyed_log.Update, read_at: float
    ) -> None:
        """Takes note of what was read of the platform's log, to tell the others.

        Args:
            topic: The topic.
            update: What was read.
            read_at: When, by the boot clock.
        """
        self._notebook.add_update(topic, update, read_at)

    def find_rank(self) -> int:
        """Returns how many routers that have been heard of late come before this one.

        All routers agree on the order, so that one of them can work for all.
        """
        heard = filter(self.is_live, self._heard_at_by_router)
        return sum(other < self._router for other in heard)

    def count_live_peers(self) -> int:
        """Returns how many other routers have been heard of late."""
        return sum(map(self.is_live, self._heard_at_by_router))

    def is_live(self, router: ids.InstanceId) -> bool:
        """Tells whether another router has been heard of late."""
        heard_at = self._heard_at_by_router.get(router, -math.inf)
        return self._now() - heard_at <= LIVENESS_S

    def list_statuses(self) -> dict[ids.InstanceId, peer_reports.RouterStatus]:
        """Returns how much the routers that have been heard of late have to do."""
        return {r: s for r, s in self._status_by_router.items() if self.is_live(r)}

    def find_status(self, router: ids.InstanceId) -> peer_reports.RouterStatus:
        """Returns what a router, which has been heard, told last of itself."""
        return self._status_by_router[router]

    def is_recalling(self, host: str) -> bool:
        """Tells whether the router at an IP address wants its connections to end."""
        router = self._router_by_host.get(host)
        if router is None or not self.is_live(router):
            return False
        return self._status_by_router[router].recalls_connections

    def find_report_period_s(self) -> float:
        """Returns how often routers report while there is something new."""
        return REPORT_S + REPORT_S_PER_PEER * self.count_live_peers()

    async def wait_for_report(self) -> None:
        """Waits until the next report is due, or there is something urgent to tell."""
        await asyncio.sleep(LEAST_REPORT_S)
        try:
            async with asyncio.timeout(self.find_report_period_s() - LEAST_REPORT_S):
                await self._has_urgent_news.wait()
        except TimeoutError:
            pass

    def estimate_unreported_tokens(self) -> float:
        """Returns the prompt tokens that others have sent since their last reports."""
        rate = self._told_tokens.read_rate(self._now())
        return rate * self.find_report_period_s()

    def note_received(self, account: ids.AccountId | None, call: calls.Call) -> None:
        """Takes note of a request that this router has received."""
        if account is None or not call.parts:
            return
        now = self._now()
        cost = find_cost(call)
        self.usage.start_tracking(now)
        self.usage.add(account, cost, 0, now)
        self._notebook.add_asked(account, cost)

    def note_sent(
        self,
        account: ids.AccountId | None,
        call: calls.Call,
        candidate: placement.Candidate,
        unread_tokens: int,
    ) -> None:
        """Takes note of a request that this router sends to an engine."""
        now = self._now()
        candidate.prefix_cache.note_read(call.parts)
        candidate.queue.add(unread_tokens, now)
        self._update_outstanding(candidate, now)
        self._notebook.add_read(candidate.upstream.id, call.parts, unread_tokens)
        if unread_tokens >= URGENT_TOKENS:
            self._has_urgent_news.set()
        if account is not None:
            cost = find_cost(call)
            self.usage.add(account, 0, cost, now)
            self._notebook.add_admitted(account, cost)

    def note_response_started(
        self, candidate: placement.Candidate, unread_tokens: int
    ) -> None:
        """Takes note that an engine has begun the answer to a request of this router.

        Args:
            candidate: The engine.
            unread_tokens: What it had to read for it.
        """
        now = self._now()
        candidate.queue.note_prefilled(unread_tokens, now)
        self._update_outstanding(candidate, now)
        self._notebook.add_begun(candidate.upstream.id, unread_tokens)

    def note_leaving(self, upstream: upstream_list.Upstream) -> None:
        """Takes note that an upstream has said in an answer that it leaves."""
        if self._directory.listed.note_leaving(upstream):
            self._notebook.add_leaving(upstream.id, upstream.born_ms)

    def note_ended(self, candidate: placement.Candidate) -> None:
        """Takes note that a request of this router is at an engine no more."""
        self._update_outstanding(candidate, self._now())

    def take_report(self) -> peer_reports.Report:
        """Returns what the others have not been told yet.

        Work that has not changed is told again from time to time, since others forget
        what they have not heard for long.
        """
        now = self._now()
        self._update_engine_capacity()
        work_by_upstream = self._directory.summarize()
        if now - self._told_all_at > TELL_ALL_S:
            self._told_all_at = now
            self._told = {}
        changed = {
            upstream: work
            for upstream, work in work_by_upstream.items()
            if self._told.get(upstream) != work
        }
        self._told = work_by_upstream
        self._has_seen_change = False
        self._has_urgent_news.clear()
        return self._notebook.take(
            self._describe_status(), changed, self._seen_by_topic
        )

    def apply(self, report: peer_reports.Report) -> None:
        """Takes the report of another router."""
        now = self._now()
        self.usage.start_tracking(now)
        self._heard_at_by_router[report.router] = now
        self._status_by_router[report.router] = report.status
        self._router_by_host[report.status.host] = report.router
        for topic, reading in report.reading_by_topic.items():
            self._on_reading(topic, reading)
        for topic, offset in report.seen_by_topic.items():
            self._on_seen(topic, offset)
        for leaving in report.leaving:
            self._apply_leaving(leaving)
        for read in report.reads:
            candidate = self._directory.find(read.upstream)
            if candidate is not None:
                parts = tuple(calls.PromptPart(*part) for part in read.parts)
                candidate.prefix_cache.note_read(parts)
                candidate.queue.add(read.unread_tokens, now)
                self._told_tokens.add(read.unread_tokens, now)
        for usage in report.usages:
            self.usage.add(usage.account, usage.asked, usage.admitted, now)
        for upstream, tokens in report.begun_by_upstream.items():
            candidate = self._directory.find(upstream)
            if candidate is not None:
                candidate.queue.note_prefilled(tokens, now)
        for upstream, work in report.work_by_upstream.items():
            candidate = self._directory.find(upstream)
            if candidate is not None:
                candidate.load.note_peer(report.router, work, now)
                self._update_outstanding(candidate, now)

    def _apply_leaving(self, leaving: peer_reports.Leaving) -> None:
        known = self._directory.listed.by_id.get(leaving.upstream)
        if known is not None and known.born_ms == leaving.born_ms:
            self._directory.listed.note_leaving(known)

    def set_capacity(self, tokens_per_s: float) -> None:
        """Takes what all engines together process, in tokens a second; 0 if unknown."""
        self.usage.capacity = tokens_per_s * account_usage.DECAY_S

    def _update_engine_capacity(self) -> None:
        usable = engine_queue.PREFILL_RATIO * account_usage.DECAY_S
        self.usage.engine_capacity = self._directory.sum_rates() * usable

    def _update_outstanding(self, candidate: placement.Candidate, now: float) -> None:
        tokens = candidate.load.count_unread_tokens()
        candidate.queue.set_outstanding(tokens, now)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def find_cost(call: calls.Call) -> int:
    """Returns what a request costs, in prompt tokens."""
    return call.prompt_tokens + OUTPUT_WEIGHT * call.expected_output_tokens
