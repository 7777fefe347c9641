"""A router's connection to one agent: announces waiting requests, dispatches them.

The router keeps what it has last announced for each client account, and announces
again only when that has become inaccurate enough to matter.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import enum
import itertools
import logging
import random
import ssl
import time

from teaselsill import (
    backlog,
    configuration,
    errors,
    exchange,
    ids,
    instances,
    invariants,
    link,
    messages,
    metrics,
)

MAX_ANNOUNCED = 32
"""The highest number of waiting requests that is announced for a client account."""
ANNOUNCED_FACTOR = 2
"""A count is announced again if the last one is wrong by more than this factor."""
MIN_AGE_CHANGE_S = 0.25
MIN_AGE_CHANGE_RATIO = 0.5
"""A count that is wrong by at most `ANNOUNCED_FACTOR` is announced again if the
oldest request has also become younger by more than `MIN_AGE_CHANGE_S` and by more than
this ratio of its age.
"""
RANK_DELAY_S = 0.005
"""The additional delay of announcements to agents of each further rank."""
RETRY_MIN_S = 0.05
RETRY_MAX_S = 5.0
RECONNECT_TIMEOUT_S = 2.0
"""How long a router tries to reconnect before it gives up the agent's attempts."""

logger = logging.getLogger(__name__)


class State(enum.Enum):
    """The state of an agent as a router sees it."""

    CONNECTING = "connecting"
    CONNECTED = "connected"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"


class AttemptIds:
    """Generates the attempt ids of one router incarnation."""

    def __init__(self, incarnation: ids.Incarnation):
        self._incarnation = incarnation
        self._numbers = itertools.count(1)

    def next(self) -> ids.AttemptId:
        """Returns an unused id."""
        return ids.AttemptId(f"{self._incarnation}:{next(self._numbers)}")


@dataclasses.dataclass(frozen=True, slots=True)
class PeerContext:
    """What all agent connections of one router share.

    Attributes:
        identity: The identity of this router.
        secret: The secret that all peers know.
        attempt_ids: Generates attempt ids.
        follower: The configuration.
        sink: Receives the metrics.
        tls: An `ssl.SSLContext` for the connections, or none.
    """

    identity: link.Identity
    secret: bytes
    attempt_ids: AttemptIds
    follower: configuration.Follower
    sink: metrics.Metrics
    tls: ssl.SSLContext | None = None


class AgentPeer:
    """A router's connection to one agent, and its attempts there.

    Args:
        agent: The agent, as the platform lists it.
        context: What all agent connections of this router share.
        service_backlog: The backlog of the agent's service.
        on_change: Called when the state of the agent changes.

    Attributes:
        agent: The agent, as the platform lists it.
        state: The state of the agent as seen from here.
        exchange_by_attempt: The attempts that the agent has.
        is_draining: Whether the platform or the operators want no new work there.
        rank: How many ranks of agents receive announcements before this one.
    """

    def __init__(
        self,
        agent: instances.Instance,
        context: PeerContext,
        service_backlog: backlog.Backlog,
        on_change: collections.abc.Callable[["AgentPeer"], None],
    ):
        self.agent = agent
        self.state = State.CONNECTING
        self.rank = 0
        self.exchange_by_attempt: dict[ids.AttemptId, exchange.Exchange] = {}
        self.is_draining = False
        self._context = context
        self._follower = context.follower
        self._backlog = service_backlog
        self._on_change = on_change
        self._link: link.Link | None = None
        self._closed_bytes_by_type: collections.Counter[str] = collections.Counter()
        self._announced_by_account: dict[ids.AccountId, int] = {}
        self._announced_queued_at_by_account: dict[ids.AccountId, float] = {}
        self._announce_handle: asyncio.Handle | None = None
        self._keep_connected = True
        self._task = asyncio.create_task(self._run())

    @property
    def is_busy(self) -> bool:
        """Whether requests run at this agent or are announced to it."""
        return bool(self.exchange_by_attempt or self._announced_by_account)

    def sent_bytes_by_type(self) -> collections.Counter[str]:
        """Returns the bytes sent to this agent, by message type."""
        total = collections.Counter(self._closed_bytes_by_type)
        if self._link is not None:
            total.update(self._link.bytes_sent_by_type)
        return total

    def schedule_demand_update(self) -> None:
        """Schedules the announcement of what has changed in the backlog."""
        if self._link is None or self._announce_handle is not None:
            return
        loop = asyncio.get_running_loop()
        if self.rank:
            self._announce_handle = loop.call_later(
                self.rank * RANK_DELAY_S, self._announce
            )
        else:
            self._announce_handle = loop.call_soon(self._announce)

    async def close(self) -> None:
        """Closes the connection; attempts that still run at the agent are lost."""
        self._keep_connected = False
        self.is_draining = True
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._lose_exchanges(True)

    async def _run(self) -> None:
        """Connects to the agent again and again until the peer is closed."""
        delay_s = RETRY_MIN_S
        lost_at = time.monotonic()
        while self._keep_connected:
            was_connected = await self._connect()
            self._set_state(State.UNREACHABLE)
            if was_connected:
                delay_s = RETRY_MIN_S
                lost_at = time.monotonic()
            else:
                self._lose_exchanges(time.monotonic() - lost_at >= RECONNECT_TIMEOUT_S)
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
            limit_s = RETRY_MIN_S * 4 if self.exchange_by_attempt else RETRY_MAX_S
            delay_s = min(delay_s * 2, limit_s)

    async def _connect(self) -> bool:
        """Connects and serves the connection; returns whether it could connect."""
        connected = None
        try:
            connected = await link.connect(
                self.agent.host,
                self.agent.port,
                self._context.secret,
                self._context.identity,
                self._context.tls,
            )
            await self._exchange_messages(connected)
        except errors.LinkError as error:
            logger.info("link to agent %s: %s", self.agent.id, error)
        finally:
            if connected is not None:
                self._release_link(connected)
        return connected is not None

    async def _exchange_messages(self, connected: link.Link) -> None:
        """Sends and handles messages until the connection is lost."""
        self._link = connected
        self._announced_by_account.clear()
        self._resume(connected)
        self._set_state(State.CONNECTED)
        self._announce()
        while True:
            received = await connected.receive(
                lambda: self.is_busy, lambda: self._follower.version
            )
            for message in received:
                self._handle_checked(message)
            await connected.drain()

    def _resume(self, connected: link.Link) -> None:
        """Resumes the attempts, or fails those of an earlier agent incarnation."""
        for attempt, active_exchange in list(self.exchange_by_attempt.items()):
            if active_exchange.incarnation == connected.peer.incarnation:
                connected.send(messages.Resume(attempt, active_exchange.next_sequence))
            else:
                active_exchange.mark_lost()
                del self.exchange_by_attempt[attempt]

    def _handle_checked(self, message: messages.Message) -> None:
        try:
            self._handle(message)
        except errors.InvariantError as error:
            invariants.report(error, reraise=False, sink=self._context.sink)
            raise link.UnexpectedMessageError(str(error)) from error
        except errors.ConfigurationError as error:
            raise link.UnexpectedMessageError(
                f"{type(message).__name__}: {type(error).__name__}: {error}"
            ) from error

    def _handle(self, message: messages.Message) -> None:
        match message:
            case messages.Grant(grant=grant, account=account):
                self._handle_grant(grant, account)
            case messages.Head() | messages.Body() | messages.End():
                self._handle_frame(message)
            case messages.NotRun(attempt=attempt):
                active_exchange = self.exchange_by_attempt.pop(attempt, None)
                if active_exchange is not None:
                    active_exchange.mark_not_run(message)
            case messages.Leaving():
                self._set_state(State.LEAVING)
                self._announced_by_account.clear()
            case messages.Ping(version=version) | messages.Pong(version=version):
                if version > self._follower.version:
                    self._link.send(messages.DocumentWanted())
            case messages.DocumentHandover(version=version, document=text):
                self._follower.apply_from_peer(version, text)
            case messages.DocumentWanted():
                self._send_document()
            case _:
                raise link.UnexpectedMessageError(type(message).__name__)

    def _send_document(self) -> None:
        if self._follower.document is not None:
            version, text = self._follower.version, self._follower.text
            self._link.send(messages.DocumentHandover(version, text))

    def _handle_grant(self, grant: ids.GrantId, account: ids.AccountId) -> None:
        queued = None if self.is_draining else self._backlog.pop(account)
        if queued is None:
            self._announced_by_account.pop(account, None)
            self._link.send(messages.Decline(grant))
            return
        attempt = self._context.attempt_ids.next()
        connected = self._link
        active_exchange = exchange.Exchange(
            attempt,
            connected.peer.incarnation,
            lambda through: self._acknowledge(attempt, through),
            queued.request.repeatable,
        )
        self.exchange_by_attempt[attempt] = active_exchange
        self._count_dispatched(account)
        connected.send(_make_dispatch(grant, attempt, queued, self._follower.version))
        queued.assignment.set_result((self, active_exchange))
        self._on_change(self)

    def _count_dispatched(self, account: ids.AccountId) -> None:
        """Decrements the announced count, as the agent does with its copy."""
        announced = self._announced_by_account.pop(account, 0)
        if announced > 1:
            self._announced_by_account[account] = announced - 1

    def _handle_frame(self, message) -> None:
        active_exchange = self.exchange_by_attempt.get(message.attempt)
        if active_exchange is None:
            if isinstance(message, messages.End):
                self._send(messages.Ack(message.attempt, message.sequence))
            return
        active_exchange.receive(message)
        if isinstance(message, messages.End):
            self.exchange_by_attempt.pop(message.attempt, None)

    def cancel(self, active_exchange: exchange.Exchange) -> None:
        """Cancels an attempt that the agent still has, as nobody waits for it."""
        if self.exchange_by_attempt.pop(active_exchange.attempt, None) is not None:
            self._send(messages.Cancel(active_exchange.attempt))

    def _acknowledge(self, attempt: ids.AttemptId, through: int) -> None:
        self._send(messages.Ack(attempt, through))

    def _send(self, message: messages.Message) -> None:
        if self._link is not None:
            self._link.send(message)

    def _announce(self) -> None:
        """Sends the agent the counts of waiting requests that have changed."""
        self._announce_handle = None
        if self._link is None or self.state is State.LEAVING:
            return
        if self.is_draining:
            self._withdraw_demand()
            return
        document = self._follower.document
        for account in {*self._backlog.accounts, *self._announced_by_account}:
            if document is not None and document.allows(
                account, self.agent.service, self.agent.upstream
            ):
                self._announce_account(account)
        self._link.flush()

    def _withdraw_demand(self) -> None:
        """Withdraws everything that was announced to the agent."""
        for account in self._announced_by_account:
            self._link.send(messages.Demand(account, 0, 0))
        self._announced_by_account.clear()
        self._announced_queued_at_by_account.clear()
        self._link.flush()

    def _announce_account(self, account: ids.AccountId) -> None:
        """Announces how many requests of an account wait, if it has changed enough."""
        waiting = min(self._backlog.count(account), MAX_ANNOUNCED)
        announced = self._announced_by_account.get(account, 0)
        queued_at = self._backlog.oldest_queued_at(account)
        younger_s = queued_at - self._announced_queued_at_by_account.get(
            account, queued_at
        )
        age_s = time.monotonic() - queued_at
        is_younger = younger_s > max(MIN_AGE_CHANGE_S, MIN_AGE_CHANGE_RATIO * age_s)
        if waiting == announced or (
            _is_close_enough(announced, waiting) and not is_younger
        ):
            return
        if waiting:
            self._announced_by_account[account] = waiting
            self._announced_queued_at_by_account[account] = queued_at
        else:
            self._announced_by_account.pop(account, None)
            self._announced_queued_at_by_account.pop(account, None)
        oldest_ms = int(age_s * 1000) if waiting else 0
        self._link.send(messages.Demand(account, waiting, oldest_ms))

    def _release_link(self, connected: link.Link) -> None:
        connected.abort()
        if self.state is State.CONNECTED and self._keep_connected:
            self._context.sink.count(metrics.Metric.PEERS_LOST)
        self._closed_bytes_by_type.update(connected.bytes_sent_by_type)
        self._link = None
        self._announced_by_account.clear()

    def _set_state(self, state: State) -> None:
        if state is not self.state:
            self.state = state
            self._on_change(self)

    def _lose_exchanges(self, lose_all: bool) -> None:
        """Gives up attempts at an agent that cannot be reached.

        Args:
            lose_all: Whether to give up all attempts, not only those that may be
                restarted at another agent.
        """
        for attempt, active_exchange in list(self.exchange_by_attempt.items()):
            if lose_all or active_exchange.can_restart:
                active_exchange.mark_lost()
                del self.exchange_by_attempt[attempt]


def _is_close_enough(announced: int, waiting: int) -> bool:
    """Returns whether an announced count is accurate enough to be left as it is.

    A count that is too low does no harm while it is above 0, since the router announces
    again once the agent has granted that many slots. A count that is too high costs a
    declined grant now and then.
    """
    return (
        0 < announced <= waiting * ANNOUNCED_FACTOR
        and waiting <= announced * ANNOUNCED_FACTOR
    )


def _make_dispatch(grant, attempt, queued: backlog.QueuedRequest, version):
    request = queued.request
    budget_ms = int((request.deadline - time.monotonic()) * 1000)
    return messages.Dispatch(
        grant=grant,
        attempt=attempt,
        request=request.id,
        account=request.account,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        budget_ms=max(0, budget_ms),
        repeatable=request.repeatable,
        key=request.key,
        version=version,
    )
