"""A router's connection to one agent: tells of waiting work, hands requests over."""

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

TOLD_LIMIT = 32
"""An agent is told of at most this many waiting requests of a client account."""
TOLD_FACTOR = 2
"""An agent is told again when what it believes is wrong by more than this factor."""
AGE_STEP_S = 0.25
AGE_RATIO = 0.5
"""The oldest request must be younger by this, and by this part of its age, before
the agent is told again."""
STAGE_S = 0.005
"""How much later an agent of the next rank is told of waiting work."""
RETRY_MIN_S = 0.05
RETRY_MAX_S = 5.0
RESOLVE_S = 2.0
"""How long a router tries to reach an agent again before its attempts are unknown."""

logger = logging.getLogger(__name__)


class State(enum.Enum):
    """What a router knows of an agent."""

    CONNECTING = "connecting"
    CONNECTED = "connected"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"


class AttemptIds:
    """Makes the attempt ids of one router incarnation."""

    def __init__(self, incarnation: ids.Incarnation):
        self._incarnation = incarnation
        self._numbers = itertools.count(1)

    def next(self) -> ids.AttemptId:
        """Returns an id that has not been used."""
        return ids.AttemptId(f"{self._incarnation}:{next(self._numbers)}")


@dataclasses.dataclass(frozen=True, slots=True)
class PeerContext:
    """What all connections of one router share.

    Attributes:
        identity: Who this router is.
        secret: The secret that all peers know.
        attempt_ids: Makes attempt ids.
        follower: The configuration.
        sink: Takes the metrics.
        tls: An `ssl.SSLContext` for the connections, or none.
    """

    identity: link.Identity
    secret: bytes
    attempt_ids: AttemptIds
    follower: configuration.Follower
    sink: metrics.Metrics
    tls: ssl.SSLContext | None = None


class AgentPeer:
    """One agent, as a router deals with it.

    Args:
        agent: The agent, as the platform lists it.
        context: What all connections of this router share.
        waiting: The backlog of the agent's service.
        on_change: Called when the state of the agent changes.

    Attributes:
        agent: The agent, as the platform lists it.
        state: What is known of it.
        exchange_by_attempt: The attempts that it has.
        is_draining: Whether it gets no new work, as the platform or the operators say.
        rank: How many ranks of agents are told of waiting work before this one.
    """

    def __init__(
        self,
        agent: instances.Instance,
        context: PeerContext,
        waiting: backlog.Backlog,
        on_change: collections.abc.Callable[["AgentPeer"], None],
    ):
        self.agent = agent
        self.state = State.CONNECTING
        self.rank = 0
        self.exchange_by_attempt: dict[ids.AttemptId, exchange.Exchange] = {}
        self.is_draining = False
        self._context = context
        self._follower = context.follower
        self._backlog = waiting
        self._on_change = on_change
        self._link: link.Link | None = None
        self._closed_bytes_by_type: collections.Counter[str] = collections.Counter()
        self._told_by_account: dict[ids.AccountId, int] = {}
        self._told_since_by_account: dict[ids.AccountId, float] = {}
        self._flush_handle: asyncio.Handle | None = None
        self._wanted = True
        self._task = asyncio.create_task(self._run())

    @property
    def is_busy(self) -> bool:
        """Whether work waits for this agent or runs there."""
        return bool(self.exchange_by_attempt or self._told_by_account)

    def sent_bytes_by_type(self) -> collections.Counter[str]:
        """Returns the bytes sent to this agent, by the type of message."""
        total = collections.Counter(self._closed_bytes_by_type)
        if self._link is not None:
            total.update(self._link.bytes_sent_by_type)
        return total

    def schedule_demand_update(self) -> None:
        """Has the agent told, soon, of what has changed in the backlog."""
        if self._link is None or self._flush_handle is not None:
            return
        loop = asyncio.get_running_loop()
        if self.rank:
            self._flush_handle = loop.call_later(self.rank * STAGE_S, self._flush)
        else:
            self._flush_handle = loop.call_soon(self._flush)

    async def close(self) -> None:
        """Ends the connection; attempts that still run there are lost."""
        self._wanted = False
        self.is_draining = True
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._lose_exchanges(True)

    async def _run(self) -> None:
        delay_s = RETRY_MIN_S
        lost_at = time.monotonic()
        while self._wanted:
            was_connected = await self._connect()
            self._set_state(State.UNREACHABLE)
            if was_connected:
                delay_s = RETRY_MIN_S
                lost_at = time.monotonic()
            else:
                self._lose_exchanges(time.monotonic() - lost_at >= RESOLVE_S)
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
            limit_s = RETRY_MIN_S * 4 if self.exchange_by_attempt else RETRY_MAX_S
            delay_s = min(delay_s * 2, limit_s)

    async def _connect(self) -> bool:
        """Connects once, until the connection is lost; tells whether there was one."""
        connected = None
        try:
            connected = await link.connect(
                self.agent.host,
                self.agent.port,
                self._context.secret,
                self._context.identity,
                self._context.tls,
            )
            await self._converse(connected)
        except errors.LinkError as error:
            logger.info("link to agent %s: %s", self.agent.id, error)
        finally:
            if connected is not None:
                self._forget_link(connected)
        return connected is not None

    async def _converse(self, connected: link.Link) -> None:
        self._link = connected
        self._told_by_account.clear()
        self._resume(connected)
        self._set_state(State.CONNECTED)
        self._flush()
        while True:
            received = await connected.receive(
                lambda: self.is_busy, lambda: self._follower.version
            )
            for message in received:
                self._take_checked(message)
            await connected.drain()

    def _resume(self, connected: link.Link) -> None:
        for attempt, running in list(self.exchange_by_attempt.items()):
            if running.incarnation == connected.peer.incarnation:
                connected.send(messages.Resume(attempt, running.next_sequence))
            else:
                running.mark_lost()
                del self.exchange_by_attempt[attempt]

    def _take_checked(self, message: messages.Message) -> None:
        try:
            self._take(message)
        except errors.InvariantError as error:
            invariants.report(error, reraise=False, sink=self._context.sink)
            raise link.UnexpectedMessageError(str(error)) from error
        except errors.ConfigurationError as error:
            raise link.UnexpectedMessageError(
                f"{type(message).__name__}: {type(error).__name__}: {error}"
            ) from error

    def _take(self, message: messages.Message) -> None:
        match message:
            case messages.Grant(grant=grant, account=account):
                self._take_grant(grant, account)
            case messages.Head() | messages.Body() | messages.End():
                self._take_frame(message)
            case messages.NotRun(attempt=attempt):
                running = self.exchange_by_attempt.pop(attempt, None)
                if running is not None:
                    running.mark_not_run(message)
            case messages.Leaving():
                self._set_state(State.LEAVING)
                self._told_by_account.clear()
            case messages.Ping(version=version) | messages.Pong(version=version):
                if version > self._follower.version:
                    self._link.send(messages.DocumentWanted())
            case messages.DocumentHandover(version=version, document=text):
                self._follower.apply_from_peer(version, text)
            case messages.DocumentWanted():
                self._hand_over()
            case _:
                raise link.UnexpectedMessageError(type(message).__name__)

    def _hand_over(self) -> None:
        if self._follower.document is not None:
            version, text = self._follower.version, self._follower.text
            self._link.send(messages.DocumentHandover(version, text))

    def _take_grant(self, grant: ids.GrantId, account: ids.AccountId) -> None:
        waiting = None if self.is_draining else self._backlog.pop(account)
        if waiting is None:
            self._told_by_account.pop(account, None)
            self._link.send(messages.Decline(grant))
            return
        attempt = self._context.attempt_ids.next()
        connected = self._link
        running = exchange.Exchange(
            attempt,
            connected.peer.incarnation,
            lambda through: self._acknowledge(attempt, through),
            waiting.request.repeatable,
        )
        self.exchange_by_attempt[attempt] = running
        self._note_dispatched(account)
        connected.send(_make_dispatch(grant, attempt, waiting, self._follower.version))
        waiting.assignment.set_result((self, running))
        self._on_change(self)

    def _note_dispatched(self, account: ids.AccountId) -> None:
        """Counts down what the agent believes, as the agent does itself."""
        told = self._told_by_account.pop(account, 0)
        if told > 1:
            self._told_by_account[account] = told - 1

    def _take_frame(self, message) -> None:
        running = self.exchange_by_attempt.get(message.attempt)
        if running is None:
            if isinstance(message, messages.End):
                self._send(messages.Ack(message.attempt, message.sequence))
            return
        running.receive(message)
        if isinstance(message, messages.End):
            self.exchange_by_attempt.pop(message.attempt, None)

    def cancel(self, running: exchange.Exchange) -> None:
        """Tells the agent, if it has the attempt, that nobody waits any longer."""
        if self.exchange_by_attempt.pop(running.attempt, None) is not None:
            self._send(messages.Cancel(running.attempt))

    def _acknowledge(self, attempt: ids.AttemptId, through: int) -> None:
        self._send(messages.Ack(attempt, through))

    def _send(self, message: messages.Message) -> None:
        if self._link is not None:
            self._link.send(message)

    def _flush(self) -> None:
        """Tells the agent how many requests wait, where that has changed."""
        self._flush_handle = None
        if self._link is None or self.state is State.LEAVING:
            return
        if self.is_draining:
            self._withdraw_demand()
            return
        document = self._follower.document
        for account in {*self._backlog.accounts, *self._told_by_account}:
            if document is not None and document.allows(
                account, self.agent.service, self.agent.upstream
            ):
                self._tell_account(account)
        self._link.flush()

    def _withdraw_demand(self) -> None:
        """Tells the agent that nothing waits for it any longer."""
        for account in self._told_by_account:
            self._link.send(messages.Demand(account, 0, 0))
        self._told_by_account.clear()
        self._told_since_by_account.clear()
        self._link.flush()

    def _tell_account(self, account: ids.AccountId) -> None:
        waiting = min(self._backlog.count(account), TOLD_LIMIT)
        told = self._told_by_account.get(account, 0)
        since = self._backlog.oldest_queued_at(account)
        younger_s = since - self._told_since_by_account.get(account, since)
        age_s = time.monotonic() - since
        aged = younger_s > max(AGE_STEP_S, AGE_RATIO * age_s)
        if waiting == told or (_is_close(told, waiting) and not aged):
            return
        if waiting:
            self._told_by_account[account] = waiting
            self._told_since_by_account[account] = since
        else:
            self._told_by_account.pop(account, None)
            self._told_since_by_account.pop(account, None)
        oldest_ms = int(age_s * 1000) if waiting else 0
        self._link.send(messages.Demand(account, waiting, oldest_ms))

    def _forget_link(self, connected: link.Link) -> None:
        connected.abort()
        if self.state is State.CONNECTED and self._wanted:
            self._context.sink.count(metrics.Metric.PEERS_LOST)
        self._closed_bytes_by_type.update(connected.bytes_sent_by_type)
        self._link = None
        self._told_by_account.clear()

    def _set_state(self, state: State) -> None:
        if state is not self.state:
            self.state = state
            self._on_change(self)

    def _lose_exchanges(self, lose_all: bool) -> None:
        """Gives up the attempts at an agent that cannot be reached.

        Args:
            lose_all: Whether to give up also those that can only be resumed.
        """
        for attempt, running in list(self.exchange_by_attempt.items()):
            if lose_all or running.can_restart:
                running.mark_lost()
                del self.exchange_by_attempt[attempt]


def _is_close(told: int, waiting: int) -> bool:
    """Tells whether an agent's belief of what waits will do.

    Believing too little does no harm as long as some of it is left, since the router
    tells again when the agent has granted that much. Believing too much costs a
    declined grant now and then.
    """
    return 0 < told <= waiting * TOLD_FACTOR and waiting <= told * TOLD_FACTOR


def _make_dispatch(grant, attempt, waiting: backlog.QueuedRequest, version):
    request = waiting.request
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
