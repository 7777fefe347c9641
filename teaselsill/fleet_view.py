"""The load and usage of the fleet, from own requests and other routers' reports."""

import asyncio
import collections.abc

import msgspec

from teaselsill import (
    account_usage,
    announcements,
    calls,
    cold_start,
    decaying_sum,
    directory,
    engine_queue,
    grantor,
    grantor_members,
    ids,
    keyed_log,
    log_era,
    log_position,
    loop_lag,
    peer_liveness,
    peer_reports,
    placement,
    quarantine,
    trial_claims,
    upstream_load,
)

URGENT_TOKENS = 8_000
"""A prompt with this many tokens to prefill is reported at once: it delays others."""
MIN_REPORT_S = 0.02
"""The minimum time between two reports, even urgent ones."""
PEER_RATE_DECAY_S = 1.0
"""Time constant of the estimated rate at which other routers send prompt tokens."""
TRANSIT_S = 0.5
"""How long a report may take, for the age of what it says."""
NEVER_S = 1e9
"""The age that stands for what was never heard: older than anything others know."""
FULL_REPORT_S = 0.5
"""How often the load at all engines is reported, even if it has not changed."""
TELLERS = 3
"""How many routers tell new ones what all others know: some may just have ended."""
OUTPUT_WEIGHT = 2
"""The cost of a generated token, in prompt tokens."""


DescribeStatus = collections.abc.Callable[[], peer_reports.RouterStatus]
OnLogChange = collections.abc.Callable[[str, log_position.Position], None]
OnLogReading = collections.abc.Callable[[str, peer_reports.LogReading], None]


class FleetView:
    """Merges the load and usage of this router with the reports of the others.

    Args:
        router: This router.
        upstreams: The upstreams.
        describe_status: Returns the status of this router.
        on_log_change: Called with a topic of the platform's log and the position of a
            change that another router has seen there.
        on_log_reading: Called with a topic and what another router has read of it.
        lag: Measures the delay of the event loop; by default, it is never interrupted.
        count_routers: Returns the number of routers; 0 if it is unknown.
        era: The era of the platform's log; by default, it never changes.

    Attributes:
        usage: The usage of the client accounts.
        quarantine: The prompt parts that crash upstreams.
        router: This router.
        grantor: Grants the permits of the limited upstreams that this router is
            responsible for.
    """

    def __init__(
        self,
        router: ids.InstanceId,
        upstreams: directory.Directory,
        describe_status: DescribeStatus,
        on_log_change: OnLogChange = lambda topic, position: None,
        on_log_reading: OnLogReading = lambda topic, reading: None,
        lag: loop_lag.LoopLag | None = None,
        count_routers: collections.abc.Callable[[], int] = lambda: 0,
        era: log_era.LogEra | None = None,
    ):
        self.router = router
        self._era = era or log_era.LogEra()
        self._era.on_restore.append(self._report_restore)
        self._position_by_topic: dict[str, log_position.Position] = {}
        self._has_log_change = False
        self.usage = account_usage.AccountUsage()
        self._directory = upstreams
        self._report_builder = peer_reports.ReportBuilder(router)
        self._reported_load: dict[ids.UpstreamId, upstream_load.LoadSummary] = {}
        self._reported_all_at = float("-inf")
        self._describe_status = describe_status
        self._count_routers = count_routers
        self._lag = lag or loop_lag.LoopLag()
        self._liveness = peer_liveness.PeerLiveness(self._lag)
        self.grantor = grantor.Grantor(
            router,
            self.describe_members,
            lambda key: upstreams.find_limit(key, self._now()),
        )
        self._has_new_router = False
        self._has_new_status = False
        self._status_by_router: dict[ids.InstanceId, peer_reports.RouterStatus] = {}
        self._capacity = 0.0
        self._peer_tokens = decaying_sum.DecayingSum(PEER_RATE_DECAY_S)
        self._urgent = asyncio.Event()
        self._changed_limits: set[ids.UpstreamId] = set()
        self._changed_cold: set[ids.UpstreamId] = set()
        upstreams.cold_states.on_change = self._note_cold_change
        self._on_log_change = on_log_change
        self._on_log_reading = on_log_reading
        self.quarantine = quarantine.Quarantine()
        self.quarantine.outbox.on_news = self._urgent.set

    @property
    def has_unreported_changes(self) -> bool:
        """Whether there is something new to report to the other routers."""
        return (
            self._has_log_change
            or self._has_new_router
            or self._has_new_status
            or bool(self._changed_limits)
            or bool(self._changed_cold)
            or not self.quarantine.outbox.is_empty
            or not self._report_builder.is_empty
        )

    def report_status(self) -> None:
        """Reports the status of this router, which has changed, at once."""
        self._has_new_status = True
        self._urgent.set()

    def note_log_change(self, topic: str, position: log_position.Position) -> None:
        """Records a change in the platform's log, to report it to the others."""
        self._position_by_topic[topic] = position
        self._has_log_change = True

    def _report_restore(self, era: ids.Era) -> None:
        """Reports at once that the platform's log has come back from an older copy."""
        self._has_log_change = True
        self._urgent.set()

    def note_log_read(
        self, topic: str, update: keyed_log.Update, read_at: float
    ) -> None:
        """Records what was read of the platform's log, to report it to the others.

        Args:
            topic: The topic.
            update: What was read.
            read_at: When it was read, on the boot clock, in seconds.
        """
        self._report_builder.add_update(topic, update, read_at)
        self._urgent.set()

    def find_rank(self) -> int:
        """Returns how many responsive routers precede this one in the order of ids.

        All routers agree on the order, so that the first one can do work for all.
        """
        responsive = self._liveness.list_responsive(self._now())
        return sum(other < self.router for other in responsive)

    def find_claim_s(self) -> float:
        """Returns how long other routers' claims to a trial are awaited, in seconds."""
        return trial_claims.CLAIM_S if self.count_live_peers() else 0.0

    def count_live_peers(self) -> int:
        """Returns how many other routers are live."""
        return len(self._liveness.list_live(self._now()))

    def is_live(self, router: ids.InstanceId) -> bool:
        """Returns whether another router may still be running.

        It may be paused; `list_statuses` says which routers can take new work.
        """
        return self._liveness.is_live(router, self._now())

    def describe_members(self, now: float) -> grantor.Members:
        """Returns the routers that can grant permits, as this one sees them.

        Args:
            now: The time, in seconds.
        """
        return grantor_members.describe(
            self.router,
            self._describe_status(),
            self._liveness,
            self._lag,
            self._count_routers(),
            now,
        )

    def list_statuses(self) -> dict[ids.InstanceId, peer_reports.RouterStatus]:
        """Returns the last reported status of each responsive router."""
        responsive = self._liveness.list_responsive(self._now())
        return {router: self._status_by_router[router] for router in responsive}

    def find_status(self, router: ids.InstanceId) -> peer_reports.RouterStatus:
        """Returns the last reported status of a router that has sent a report."""
        return self._status_by_router[router]

    def find_report_period_s(self) -> float:
        """Returns the time between two reports while there is something new."""
        return peer_reports.find_period_s(self.count_live_peers())

    def find_report_age_s(self) -> float:
        """Returns how old the other routers' reports are on average, in seconds."""
        return self.find_report_period_s() / 2

    async def wait_for_report(self) -> None:
        """Waits until the next report is due or there is something urgent to report."""
        await asyncio.sleep(MIN_REPORT_S)
        try:
            async with asyncio.timeout(self.find_report_period_s() - MIN_REPORT_S):
                await self._urgent.wait()
        except TimeoutError:
            pass

    def estimate_unreported_tokens(self) -> float:
        """Estimates the prompt tokens that others have sent but not reported yet."""
        rate = self._peer_tokens.read_rate(self._now())
        return rate * self.find_report_period_s()

    def note_received(self, account: ids.AccountId | None, call: calls.Call) -> None:
        """Records a request that this router has received."""
        if account is None or not call.parts:
            return
        now = self._now()
        cost = find_cost(call)
        self.usage.start_tracking(now)
        self.usage.add(account, cost, 0, now)
        self._report_builder.add_requested(account, cost)

    def note_sent(
        self,
        account: ids.AccountId | None,
        call: calls.Call,
        candidate: placement.Candidate,
        prefill_tokens: int,
    ) -> None:
        """Records a request that this router sends to an engine."""
        now = self._now()
        candidate.prefix_cache.note_prompt(call.parts)
        candidate.queue.add(prefill_tokens, now)
        self._update_outstanding(candidate, now)
        self._report_builder.add_prompt(
            candidate.upstream.id, call.parts, prefill_tokens
        )
        if prefill_tokens >= URGENT_TOKENS:
            self._urgent.set()
        if account is not None:
            cost = find_cost(call)
            self.usage.add(account, 0, cost, now)
            self._report_builder.add_admitted(account, cost)

    def note_response_started(
        self, candidate: placement.Candidate, prefill_tokens: int
    ) -> None:
        """Records that an engine has started to respond to a request of this router.

        Args:
            candidate: The engine.
            prefill_tokens: The prompt tokens that it had to prefill.
        """
        now = self._now()
        candidate.queue.note_prefilled(prefill_tokens, now)
        self._update_outstanding(candidate, now)
        self._report_builder.add_prefilled(candidate.upstream.id, prefill_tokens)

    def note_announcement(
        self,
        candidate: placement.Candidate,
        announcement: announcements.Announcement,
        sent_at: float,
    ) -> None:
        """Records what an upstream has announced about itself in a response.

        Args:
            candidate: The upstream.
            announcement: The announcement.
            sent_at: When the request of the response was sent, in seconds.
        """
        upstream = candidate.upstream
        listed = self._directory.listed
        if announcement.is_leaving and listed.note_leaving(upstream):
            self._report_builder.add_leaving(upstream.id, upstream.born_ms)
        if candidate.announced.note(announcement, sent_at, self._now()):
            self._changed_limits.add(upstream.id)
            self._urgent.set()
        if announcement.cold_left_s:
            self._note_cold_response(candidate, announcement.cold_left_s)

    def _note_cold_response(
        self, candidate: placement.Candidate, cold_left_s: float
    ) -> None:
        if cold_left_s > cold_start.MAX_COLD_S:
            return
        now = self._now()
        statement = cold_start.Statement(
            now + cold_left_s, now, cold_start.Source.RESPONSE
        )
        if candidate.cold.note(statement, now):
            self._note_cold_change(candidate.upstream.id)

    def _note_cold_change(self, upstream: ids.UpstreamId) -> None:
        """Reports at once that an upstream has become cold or warm."""
        self._changed_cold.add(upstream)
        self._urgent.set()

    def note_slowdown(self, candidate: placement.Candidate, slowdown: float) -> None:
        """Records how long an upstream says that work takes there.

        Args:
            candidate: The upstream.
            slowdown: That time, relative to the usual time.
        """
        if candidate.queue.note_slowdown(slowdown, self._now()):
            self._report_builder.add_slowdown(candidate.upstream.id, slowdown)

    def note_ended(self, candidate: placement.Candidate) -> None:
        """Records that a request of this router has ended at an engine."""
        self._update_outstanding(candidate, self._now())

    def take_report(self) -> peer_reports.Report:
        """Returns a report of everything that has not been reported yet.

        The load that has not changed is repeated from time to time, since other routers
        drop what is not repeated.
        """
        now = self._now()
        self.grantor.watch(now)
        self._directory.expire_peer_reports(self._liveness.count_until(now))
        self._update_engine_capacity()
        load_by_upstream = self._directory.summarize()
        if now - self._reported_all_at > FULL_REPORT_S:
            self._reported_all_at = now
            self._reported_load = {}
        changed = {
            upstream: load
            for upstream, load in load_by_upstream.items()
            if self._reported_load.get(upstream) != load
        }
        self._reported_load = load_by_upstream
        self._has_log_change = False
        self._has_new_status = False
        self._urgent.clear()
        status = self._describe_status()
        news = self.quarantine.take_news(
            now, self._is_teller(status), self._has_new_router
        )
        self._has_new_router = False
        interval_s = peer_reports.find_interval_s(self.count_live_peers())
        report = self._report_builder.take(
            status, changed, self._list_offsets(), news, interval_s
        )
        return msgspec.structs.replace(
            report,
            limit_news=self._take_limit_news(now),
            permit_wait_by_upstream=self.grantor.list_waits(now),
            log_era=self._era.current,
            cold_news=self._take_cold_news(now),
        )

    def _list_offsets(self) -> dict[str, ids.Offset]:
        """Returns the offsets of the last changes in the current era of the log."""
        return {
            topic: position.offset
            for topic, position in self._position_by_topic.items()
            if position.era == self._era.current
        }

    def make_greeting(self) -> peer_reports.Report:
        """Returns a report for a router to which a connection has just opened.

        It has missed all earlier reports if it has just started.
        """
        return peer_reports.Report(
            self.router,
            self._describe_status(),
            assigned_prompts=[],
            usages=[],
            prefilled_tokens_by_upstream={},
            load_by_upstream={},
            offset_by_topic={},
            log_reading_by_topic={},
            crash_news=self.quarantine.describe(self._now()),
            limit_news=self._list_limits(self._now()),
            log_era=self._era.current,
            cold_news=[
                make_cold_news(each, self._now())
                for each in self._directory.list_cold(self._now())
            ],
        )

    def apply(self, report: peer_reports.Report) -> None:
        """Applies the report of another router."""
        now = self._now()
        self.usage.start_tracking(now)
        if self._liveness.note_report(report, now):
            self._has_new_router = True
            self._urgent.set()
        self._status_by_router[report.router] = report.status
        self._era.note_told(report.log_era, report.router)
        for topic, reading in report.log_reading_by_topic.items():
            self._on_log_reading(topic, reading)
        for topic, position in report.position_by_topic.items():
            self._on_log_change(topic, position)
        for leaving in report.leaving:
            self._apply_leaving(leaving)
        for news in report.limit_news:
            self.apply_limit_news(report.router, news)
        for cold_news in report.cold_news:
            self.apply_cold_news(report.router, cold_news)
        for upstream, wait_s in report.permit_wait_by_upstream.items():
            candidate = self._directory.find(upstream)
            if candidate is not None:
                candidate.permit_wait.note(wait_s, now)
        self.quarantine.apply(report.crash_news, now)
        for prompt in report.assigned_prompts:
            candidate = self._directory.find(prompt.upstream)
            if candidate is not None:
                parts = tuple(calls.PromptPart(*part) for part in prompt.parts)
                candidate.prefix_cache.note_prompt(parts)
                candidate.queue.add(prompt.prefill_tokens, now)
                self._peer_tokens.add(prompt.prefill_tokens, now)
        for usage in report.usages:
            self.usage.add(usage.account, usage.requested, usage.admitted, now)
        self._apply_speeds(report, now)
        until = self._liveness.find_responsive_until(report.router) + FULL_REPORT_S
        for upstream, load in report.load_by_upstream.items():
            candidate = self._directory.find(upstream)
            if candidate is not None:
                candidate.load.note_peer(report.router, load, until)
                self._update_outstanding(candidate, now)

    def _apply_speeds(self, report: peer_reports.Report, now: float) -> None:
        """Applies what another router has seen of how fast engines work."""
        for upstream, tokens in report.prefilled_tokens_by_upstream.items():
            candidate = self._directory.find(upstream)
            if candidate is not None:
                candidate.queue.note_prefilled(tokens, now)
        for upstream, percent in report.slowdown_by_upstream.items():
            candidate = self._directory.find(upstream)
            if candidate is not None:
                candidate.queue.note_slowdown(percent / 100, now)

    def _is_teller(self, status: peer_reports.RouterStatus) -> bool:
        """Returns whether this router tells new ones what all others know.

        Args:
            status: The status of this router.
        """
        status_by_router = self.list_statuses() | {self.router: status}
        settled = [r for r, each in status_by_router.items() if each.is_settled]
        return self.router in sorted(settled or status_by_router)[:TELLERS]

    def _apply_leaving(self, leaving: peer_reports.Leaving) -> None:
        known = self._directory.listed.by_id.get(leaving.upstream)
        if known is not None and known.born_ms == leaving.born_ms:
            self._directory.listed.note_leaving(known)

    def _take_limit_news(self, now: float) -> list[peer_reports.LimitNews]:
        """Returns what has changed about limits since the last report."""
        candidates = [
            self._directory.find(upstream) for upstream in self._changed_limits
        ]
        self._changed_limits = set()
        return [
            make_limit_news(each, now)
            for each in candidates
            if each is not None and each.announced.last_sighting is not None
        ]

    def _list_limits(self, now: float) -> list[peer_reports.LimitNews]:
        """Returns all limits in force."""
        return [
            make_limit_news(candidate, now)
            for candidate in self._directory.list_limited()
        ]

    def apply_limit_news(
        self, router: ids.InstanceId, news: peer_reports.LimitNews
    ) -> None:
        """Applies what another router knows of the limit of an upstream."""
        now = self._now()
        candidate = self._directory.find(news.upstream)
        if candidate is None or candidate.upstream.born_ms != news.born_ms:
            return
        sighting = announcements.Sighting(
            news.per_s,
            sent_at=now - news.sent_ago_s - TRANSIT_S,
            heard_at=now - news.heard_ago_s,
            limited_since=now - news.limited_s,
        )
        candidate.announced.note_sighting(sighting, told_by=router)

    def _take_cold_news(self, now: float) -> list[peer_reports.ColdNews]:
        """Returns what has changed about cold upstreams since the last report."""
        candidates = [self._directory.find(upstream) for upstream in self._changed_cold]
        self._changed_cold = set()
        news = [make_cold_news(each, now) for each in candidates if each is not None]
        return [each for each in news if each is not None]

    def apply_cold_news(
        self, router: ids.InstanceId, news: peer_reports.ColdNews
    ) -> None:
        """Applies what another router knows of the cold start of an upstream."""
        now = self._now()
        candidate = self._directory.find(news.upstream)
        if candidate is None or candidate.upstream.born_ms != news.born_ms:
            return
        stated_at = now - news.stated_ago_s
        statement = cold_start.Statement(
            now + news.left_s if news.left_s else stated_at,
            stated_at,
            news.source,
            since=now - news.cold_s,
        )
        candidate.cold.note(statement, now, told_by=router)

    def set_capacity(self, tokens_per_s: float) -> None:
        """Sets the capacity of all engines, in tokens a second; 0 if it is unknown."""
        self._capacity = tokens_per_s * account_usage.DECAY_S
        self._update_engine_capacity()

    def _update_engine_capacity(self) -> None:
        """Updates what the client accounts share, which limits of engines reduce."""
        now = self._now()
        usable = engine_queue.PREFILL_RATIO * account_usage.DECAY_S
        self.usage.engine_capacity = self._directory.sum_rates(now) * usable
        self.usage.capacity = self._capacity * self._directory.find_usable_part(now)

    def _update_outstanding(self, candidate: placement.Candidate, now: float) -> None:
        tokens = candidate.load.count_outstanding_tokens()
        candidate.queue.set_outstanding(tokens, now)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def make_limit_news(
    candidate: placement.Candidate, now: float
) -> peer_reports.LimitNews:
    """Returns what is known of the limit of an upstream.

    Args:
        candidate: The upstream.
        now: The time, in seconds.
    """
    sighting = candidate.announced.last_sighting
    if sighting is None:
        return peer_reports.LimitNews(
            candidate.upstream.id, candidate.upstream.born_ms, None, NEVER_S, NEVER_S
        )
    return peer_reports.LimitNews(
        candidate.upstream.id,
        candidate.upstream.born_ms,
        sighting.per_s,
        sent_ago_s=now - sighting.sent_at,
        heard_ago_s=now - sighting.heard_at,
        limited_s=now - candidate.announced.limited_since,
    )


def make_cold_news(
    candidate: placement.Candidate, now: float
) -> peer_reports.ColdNews | None:
    """Returns what is known of the cold start of an upstream; None if nothing is.

    Args:
        candidate: The upstream.
        now: The time, in seconds.
    """
    statement = candidate.cold.statement
    if statement is None:
        return None
    left_s = min(cold_start.MAX_COLD_S, max(0.0, statement.until - now))
    return peer_reports.ColdNews(
        candidate.upstream.id,
        candidate.upstream.born_ms,
        left_s=left_s if statement.is_cold else 0.0,
        stated_ago_s=max(0.0, now - statement.stated_at),
        cold_s=max(0.0, now - candidate.cold.since),
        source=statement.source,
    )


def find_cost(call: calls.Call) -> int:
    """Returns the cost of a request, in prompt tokens."""
    return call.prompt_tokens + OUTPUT_WEIGHT * call.expected_output_tokens
