"""What entry routers tell each other of the work that they have sent to engines."""

import msgspec

from teaselsill import boot_clock, calls, ids, keyed_log, upstream_load


class AssignedPrompt(msgspec.Struct, array_like=True, frozen=True):
    """A prompt that an engine has been sent.

    Attributes:
        upstream: The engine.
        parts: The prompt's parts.
        unread_tokens: How many of its tokens the engine has to read.
    """

    upstream: ids.UpstreamId
    parts: list[tuple[str, int]]
    unread_tokens: int


class Usage(msgspec.Struct, array_like=True, frozen=True):
    """What a client account has asked for and been given since the last report.

    Attributes:
        account: The client account.
        asked: The cost of its requests, in tokens.
        admitted: The cost of those that were sent to an engine, in tokens.
    """

    account: ids.AccountId
    asked: int
    admitted: int


class RouterStatus(msgspec.Struct, array_like=True, frozen=True):
    """How much a router has to do, and where it takes connections of others.

    Attributes:
        data_centre: Where it runs.
        host: Its IP address.
        port: The port for connections that other routers hand over.
        load: The requests under way there for each core of its processor.
        takes_connections: Whether it has time for more.
        recalls_connections: Whether the connections that it has handed over are to end
            with their next answers.
        version: The version of the configuration that it serves by.
    """

    data_centre: ids.DataCentre
    host: str
    port: int
    load: float
    takes_connections: bool
    recalls_connections: bool
    version: ids.Version = ids.NO_VERSION


class LogReading(msgspec.Struct, array_like=True, frozen=True):
    """What a router has read of a topic of the platform's log.

    Attributes:
        update: What it has read.
        age_s: How long ago that was, in seconds.
    """

    update: keyed_log.Update
    age_s: float


class Leaving(msgspec.Struct, array_like=True, frozen=True):
    """An upstream that has said in an answer that it leaves.

    Attributes:
        upstream: The upstream.
        born_ms: The start of its life, in Unix milliseconds.
    """

    upstream: ids.UpstreamId
    born_ms: int


class Report(msgspec.Struct, array_like=True, frozen=True):
    """What a router has done since its last report.

    Attributes:
        router: The router.
        status: How much it has to do.
        reads: The prompts that it has sent to engines.
        usages: What client accounts have asked of it.
        begun_by_upstream: The prompt tokens of the answers that have begun.
        work_by_upstream: Its requests at each engine where they have changed.
        seen_by_topic: The offset of the last change that it has seen in each topic of
            the platform's log.
        reading_by_topic: What it has read of topics that one router reads for all.
        leaving: The upstreams that have told it that they leave.
        should_forward: Whether the receiver forwards it within its data centre.
    """

    router: ids.InstanceId
    status: RouterStatus
    reads: list[AssignedPrompt]
    usages: list[Usage]
    begun_by_upstream: dict[ids.UpstreamId, int]
    work_by_upstream: dict[ids.UpstreamId, upstream_load.LoadSummary]
    seen_by_topic: dict[str, ids.Offset]
    reading_by_topic: dict[str, LogReading]
    leaving: list[Leaving] = []
    should_forward: bool = False


class ReportBuilder:
    """Collects what the next report of a router tells.

    Args:
        router: The router.
    """

    def __init__(self, router: ids.InstanceId):
        self._router = router
        self._reads: list[AssignedPrompt] = []
        self._leaving: list[Leaving] = []
        self._begun_by_upstream: dict[ids.UpstreamId, int] = {}
        self._asked_by_account: dict[ids.AccountId, int] = {}
        self._admitted_by_account: dict[ids.AccountId, int] = {}
        self._update_by_topic: dict[str, keyed_log.Update] = {}
        self._read_at_by_topic: dict[str, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing new to tell."""
        return not (
            self._reads
            or self._leaving
            or self._asked_by_account
            or self._admitted_by_account
            or self._begun_by_upstream
            or self._update_by_topic
        )

    def add_update(self, topic: str, update: keyed_log.Update, read_at: float) -> None:
        """Takes note of what was read of the platform's log.

        Args:
            topic: The topic.
            update: What was read.
            read_at: When, by the boot clock.
        """
        earlier = self._update_by_topic.get(topic)
        self._update_by_topic[topic] = update.merge_earlier(earlier)
        self._read_at_by_topic[topic] = read_at

    def add_read(
        self,
        upstream: ids.UpstreamId,
        parts: tuple[calls.PromptPart, ...],
        unread_tokens: int,
    ) -> None:
        """Takes note of a prompt that is sent to an engine."""
        self._reads.append(AssignedPrompt(upstream, list(parts), unread_tokens))

    def add_leaving(self, upstream: ids.UpstreamId, born_ms: int) -> None:
        """Takes note of an upstream that has said that it leaves."""
        self._leaving.append(Leaving(upstream, born_ms))

    def add_asked(self, account: ids.AccountId, cost: int) -> None:
        """Takes note of a request of a client account."""
        known = self._asked_by_account.get(account, 0)
        self._asked_by_account[account] = known + cost

    def add_admitted(self, account: ids.AccountId, cost: int) -> None:
        """Takes note of a request that is sent to an engine."""
        known = self._admitted_by_account.get(account, 0)
        self._admitted_by_account[account] = known + cost

    def add_begun(self, upstream: ids.UpstreamId, unread_tokens: int) -> None:
        """Takes note of an answer that has begun."""
        known = self._begun_by_upstream.get(upstream, 0)
        self._begun_by_upstream[upstream] = known + unread_tokens

    def take(
        self,
        status: RouterStatus,
        work_by_upstream: dict[ids.UpstreamId, upstream_load.LoadSummary],
        seen_by_topic: dict[str, ids.Offset],
    ) -> Report:
        """Returns the report of what was noted since the last one."""
        asked, admitted = self._asked_by_account, self._admitted_by_account
        usages = [
            Usage(account, asked.get(account, 0), admitted.get(account, 0))
            for account in asked | admitted
        ]
        report = Report(
            self._router,
            status,
            self._reads,
            usages,
            self._begun_by_upstream,
            work_by_upstream,
            seen_by_topic,
            self._take_readings(),
            self._leaving,
        )
        self._reads = []
        self._leaving = []
        self._begun_by_upstream = {}
        self._asked_by_account = {}
        self._admitted_by_account = {}
        return report

    def _take_readings(self) -> dict[str, LogReading]:
        now = boot_clock.now()
        readings = {
            topic: LogReading(update, now - self._read_at_by_topic[topic])
            for topic, update in self._update_by_topic.items()
        }
        self._update_by_topic = {}
        return readings
