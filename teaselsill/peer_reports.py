"""The reports by which entry routers tell each other their load and usage."""

import math
import typing

import msgspec

from teaselsill import (
    boot_clock,
    calls,
    cold_start,
    crash_reports,
    ids,
    keyed_log,
    log_position,
    upstream_load,
)

REPORT_S = 0.05
"""Time between two reports while there is something new."""
REPORT_S_PER_PEER = 0.004
"""Added to that time for each other router, since each of them has to read reports."""
IDLE_REPORT_S = 0.5
"""A report is sent after this time even if there is nothing new."""
SETTLED_S = 5
"""A router that has run for so long has heard what the other routers know."""


Percent = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
"""A part of the usual time, in per cent."""


class AssignedPrompt(msgspec.Struct, array_like=True, frozen=True):
    """A prompt that was sent to an engine.

    Attributes:
        upstream: The engine.
        parts: The prompt's parts.
        prefill_tokens: How many of its tokens the engine has to prefill.
    """

    upstream: ids.UpstreamId
    parts: list[tuple[str, int]]
    prefill_tokens: int


class Usage(msgspec.Struct, array_like=True, frozen=True):
    """The usage of a client account since the last report.

    Attributes:
        account: The client account.
        requested: The cost of its requests, in tokens.
        admitted: The cost of those that were sent to an engine, in tokens.
    """

    account: ids.AccountId
    requested: int
    admitted: int


class RouterStatus(msgspec.Struct, array_like=True, frozen=True):
    """The load of a router, and where it serves requests of other routers' callers.

    Attributes:
        data_centre: Where it runs.
        host: Its IP address.
        connection_port: Always 0. Routers of version 0.1 handed whole connections over
            to this port of a router that `takes_connections`.
        load: Its requests in flight per processor core.
        takes_connections: Always false.
        recalls_connections: Always false.
        version: The version of the configuration that is in force there.
        uptime_s: How long it has run, in seconds.
        request_port: The port for requests that other routers offer.
        takes_requests: Whether it serves such requests.
        permit_port: The port on which other routers ask for permits; 0 if it grants
            none, since it stops or its version grants none.
        copy_port: The port on which other routers get a copy of the topic with the
            configuration; 0 if there is none.
    """

    data_centre: ids.DataCentre
    host: str
    connection_port: int
    load: float
    takes_connections: bool
    recalls_connections: bool
    version: ids.Version = ids.NO_VERSION
    uptime_s: int = 0
    request_port: int = 0
    takes_requests: bool = False
    permit_port: int = 0
    copy_port: int = 0

    @property
    def grants_permits(self) -> bool:
        """Whether other routers can ask it for permits."""
        return self.permit_port != 0

    @property
    def is_settled(self) -> bool:
        """Whether it has run for long enough to know what the others know."""
        return self.uptime_s >= SETTLED_S

    def has_restarted_since(self, earlier: "RouterStatus | None") -> bool:
        """Returns whether the router was started after an earlier status, if any."""
        return earlier is None or self.uptime_s < earlier.uptime_s


class LogReading(msgspec.Struct, array_like=True, frozen=True):
    """What a router has read of a topic of the platform's log.

    Attributes:
        update: What it has read.
        age_s: How long ago it was read, in seconds.
    """

    update: keyed_log.Update
    age_s: float


class Leaving(msgspec.Struct, array_like=True, frozen=True):
    """An upstream that has announced in a response that it leaves.

    Attributes:
        upstream: The upstream.
        born_ms: When this incarnation started, in Unix milliseconds.
    """

    upstream: ids.UpstreamId
    born_ms: int


class LimitNews(msgspec.Struct, array_like=True, frozen=True):
    """What a response to the sender said about the limit of an upstream.

    Attributes:
        upstream: The upstream.
        born_ms: When this incarnation started, in Unix milliseconds.
        per_s: The limit, in requests a second; None if none was named.
        sent_ago_s: How long ago the request of that response was sent, in seconds.
        heard_ago_s: How long ago the head of the response arrived, in seconds.
        limited_s: How long the upstream has had a limit, in seconds.
    """

    upstream: ids.UpstreamId
    born_ms: int
    per_s: typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)] | None
    sent_ago_s: float
    heard_ago_s: float
    limited_s: float = 0.0


class ColdNews(msgspec.Struct, array_like=True, frozen=True):
    """What the sender has learnt of the cold start of an upstream.

    Attributes:
        upstream: The upstream.
        born_ms: When this incarnation started, in Unix milliseconds.
        left_s: How long it stays cold, in seconds; 0 if it is not cold.
        stated_ago_s: How long ago that was true, in seconds.
        cold_s: How long it has been known to be cold, in seconds.
        source: What says so; see `cold_start.Source`.
    """

    upstream: ids.UpstreamId
    born_ms: int
    left_s: typing.Annotated[float, msgspec.Meta(ge=0, le=cold_start.MAX_COLD_S)]
    stated_ago_s: typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)]
    cold_s: typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)]
    source: cold_start.Source


class Report(msgspec.Struct, array_like=True, frozen=True):
    """What has happened at a router since its last report.

    Attributes:
        router: The router.
        status: Its status.
        assigned_prompts: The prompts that it has sent to engines.
        usages: The usage of client accounts at this router.
        prefilled_tokens_by_upstream: The prompt tokens of the responses that have
            started.
        load_by_upstream: Its load at each engine where it has changed.
        offset_by_topic: The offset of the last change that it has seen in each topic of
            the platform's log, in the era `log_era`.
        log_reading_by_topic: What it has read of topics that one router reads for all.
        leaving: The upstreams that have announced to it that they leave.
        should_forward: Whether the receiver forwards it within its data centre.
        crash_news: What it has learnt about crashes of upstreams.
        interval_s: The longest time until its next report, in seconds; 0 if it has not
            been stated.
        limit_news: The limits of upstreams that it has seen begin, change or end.
        permit_wait_by_upstream: How long one more request waits for a permit of an
            upstream whose permits it grants, in seconds.
        log_era: The era of the platform's log that it knows.
        cold_news: The upstreams that it has seen become cold or warm.
        slowdown_by_upstream: How long upstreams have said that work takes there, in per
            cent of the usual time.
    """

    router: ids.InstanceId
    status: RouterStatus
    assigned_prompts: list[AssignedPrompt]
    usages: list[Usage]
    prefilled_tokens_by_upstream: dict[ids.UpstreamId, int]
    load_by_upstream: dict[ids.UpstreamId, upstream_load.LoadSummary]
    offset_by_topic: dict[str, ids.Offset]
    log_reading_by_topic: dict[str, LogReading]
    leaving: list[Leaving] = []
    should_forward: bool = False
    crash_news: crash_reports.News = crash_reports.NO_NEWS
    interval_s: float = 0.0
    limit_news: list[LimitNews] = []
    permit_wait_by_upstream: dict[ids.UpstreamId, float] = {}
    log_era: ids.Era = ids.NO_ERA
    cold_news: list[ColdNews] = []
    slowdown_by_upstream: dict[ids.UpstreamId, Percent] = {}

    @property
    def position_by_topic(self) -> dict[str, log_position.Position]:
        """The position of the last change that it has seen in each topic."""
        return {
            topic: log_position.Position(self.log_era, offset)
            for topic, offset in self.offset_by_topic.items()
        }


class ReportBuilder:
    """Collects the content of a router's next report.

    Args:
        router: The router.
    """

    def __init__(self, router: ids.InstanceId):
        self._router = router
        self._assigned_prompts: list[AssignedPrompt] = []
        self._leaving: list[Leaving] = []
        self._prefilled_tokens_by_upstream: dict[ids.UpstreamId, int] = {}
        self._slowdown_by_upstream: dict[ids.UpstreamId, int] = {}
        self._requested_by_account: dict[ids.AccountId, int] = {}
        self._admitted_by_account: dict[ids.AccountId, int] = {}
        self._update_by_topic: dict[str, keyed_log.Update] = {}
        self._read_at_by_topic: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing new to report."""
        return not (
            self._assigned_prompts
            or self._leaving
            or self._requested_by_account
            or self._admitted_by_account
            or self._prefilled_tokens_by_upstream
            or self._slowdown_by_upstream
            or self._update_by_topic
        )

    def add_update(self, topic: str, update: keyed_log.Update, read_at: float) -> None:
        """Adds what was read of the platform's log.

        Args:
            topic: The topic.
            update: What was read.
            read_at: When it was read, on the boot clock, in seconds.
        """
        earlier = self._update_by_topic.get(topic)
        self._update_by_topic[topic] = update.merge_earlier(earlier)
        self._read_at_by_topic[topic] = read_at

    def add_prompt(
        self,
        upstream: ids.UpstreamId,
        parts: tuple[calls.PromptPart, ...],
        prefill_tokens: int,
    ) -> None:
        """Adds a prompt that is sent to an engine."""
        self._assigned_prompts.append(
            AssignedPrompt(upstream, list(parts), prefill_tokens)
        )

    def add_leaving(self, upstream: ids.UpstreamId, born_ms: int) -> None:
        """Adds an upstream that has announced that it leaves."""
        self._leaving.append(Leaving(upstream, born_ms))

    def add_requested(self, account: ids.AccountId, cost: int) -> None:
        """Adds the cost of a request of a client account."""
        known = self._requested_by_account.get(account, 0)
        self._requested_by_account[account] = known + cost

    def add_admitted(self, account: ids.AccountId, cost: int) -> None:
        """Adds the cost of a request that is sent to an engine."""
        known = self._admitted_by_account.get(account, 0)
        self._admitted_by_account[account] = known + cost

    def add_prefilled(self, upstream: ids.UpstreamId, prefill_tokens: int) -> None:
        """Adds the prompt tokens of a response that has started."""
        known = self._prefilled_tokens_by_upstream.get(upstream, 0)
        self._prefilled_tokens_by_upstream[upstream] = known + prefill_tokens

    def add_slowdown(self, upstream: ids.UpstreamId, slowdown: float) -> None:
        """Adds how long an upstream says that work takes, relative to the usual."""
        self._slowdown_by_upstream[upstream] = max(1, round(100 * slowdown))

    def take(
        self,
        status: RouterStatus,
        load_by_upstream: dict[ids.UpstreamId, upstream_load.LoadSummary],
        offset_by_topic: dict[str, ids.Offset],
        crash_news: crash_reports.News,
        interval_s: float,
    ) -> Report:
        """Returns the report and starts to collect the next one."""
        requested, admitted = self._requested_by_account, self._admitted_by_account
        usages = [
            Usage(account, requested.get(account, 0), admitted.get(account, 0))
            for account in requested | admitted
        ]
        report = Report(
            self._router,
            status,
            self._assigned_prompts,
            usages,
            self._prefilled_tokens_by_upstream,
            load_by_upstream,
            offset_by_topic,
            self._take_log_readings(),
            self._leaving,
            crash_news=crash_news,
            interval_s=interval_s,
            slowdown_by_upstream=self._slowdown_by_upstream,
        )
        self._assigned_prompts = []
        self._slowdown_by_upstream = {}
        self._leaving = []
        self._prefilled_tokens_by_upstream = {}
        self._requested_by_account = {}
        self._admitted_by_account = {}
        return report

    def _take_log_readings(self) -> dict[str, LogReading]:
        now = boot_clock.now()
        readings = {
            topic: LogReading(update, now - self._read_at_by_topic[topic])
            for topic, update in self._update_by_topic.items()
        }
        self._update_by_topic = {}
        return readings


def find_period_s(peers: int) -> float:
    """Returns the time between two reports while there is something new, in seconds.

    Args:
        peers: How many other routers there are.
    """
    return REPORT_S + REPORT_S_PER_PEER * peers


def find_interval_s(peers: int) -> float:
    """Returns the longest time between two reports, in seconds.

    A router that has nothing new looks after each period whether a report is due.

    Args:
        peers: How many other routers there are.
    """
    period_s = find_period_s(peers)
    return period_s * (math.floor(IDLE_REPORT_S / period_s) + 1)
