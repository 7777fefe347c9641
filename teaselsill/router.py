"""A router: holds waiting requests, offers them to agents and delivers the answers."""

import asyncio
import collections
import dataclasses
import logging
import random
import time

from teaselsill import (
    agent_peer,
    agent_pool,
    backlog,
    errors,
    exchange,
    ids,
    link,
    membership,
    messages,
    metrics,
)

TEND_S = 0.05
"""How often the set of agents of a service with waiting work is looked at."""
MAX_NOT_RUN = 20
"""How often a request that has not run may be offered again."""
MAX_LOST = 2
"""How often a request that may have run, and may run again, is offered again."""
FAILED_DELAY_S = 0.05
"""How long a request waits, at most, after an upstream has failed it."""
BUSY_STATUS = 503
FAILED_REASONS = (
    messages.Reason.UPSTREAM_FAILED,
    messages.Reason.STREAM_STALLED,
    messages.Reason.ANSWER_DROPPED,
)
RETRY_BUDGET_RATIO = 0.1
"""Retries after a lost attempt, as a part of all requests."""
RETRY_BUDGET_MIN = 10.0
NOT_RUN_DELAY_S = 0.02
NOT_RUN_DELAY_MAX_S = 0.5

logger = logging.getLogger(__name__)


class DeadlineError(errors.RequestError):
    """The deadline came while the request waited; it has not run."""


class UpstreamBusyError(errors.RequestError):
    """The upstream refused a request that may be offered again."""


class RetryBudget:
    """Keeps retries to a part of all requests."""

    def __init__(self):
        self._tokens = RETRY_BUDGET_MIN

    def note_request(self) -> None:
        """Earns a part of a retry."""
        self._tokens = min(self._tokens + RETRY_BUDGET_RATIO, RETRY_BUDGET_MIN * 10)

    def spend(self) -> bool:
        """Takes one retry; tells whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ForwardedResponse:
    """The answer to a caller's request, once its head has come.

    Attributes:
        status: The HTTP status.
        headers: The header names and values.
        upstream: The upstream that gave it.
    """

    def __init__(self, head: messages.Head, peer, running):
        self.status = head.status
        self.headers = head.headers
        self.upstream = peer.agent.upstream
        self._peer = peer
        self._running = running
        self._ended = False

    async def body(self):
        """Yields the pieces of the body; see `Exchange.body`."""
        async for piece in self._running.body():
            yield piece
        self._ended = True

    def close(self) -> None:
        """Tells the agent if nobody waits for the rest."""
        self._running.close()
        if not self._ended:
            self._peer.cancel(self._running)


@dataclasses.dataclass(slots=True)
class AttemptCounts:
    """How often a request was offered.

    Attributes:
        attempts: How many times it was handed to an agent.
        not_run: How many attempts had certainly not run.
        lost: How many attempts failed and may have run.
    """

    attempts: int = 0
    not_run: int = 0
    lost: int = 0


class Router:
    """Takes callers' requests to agents and brings the answers back.

    Args:
        context: What the connections to agents share.
        members: The list of instances.
        agents_per_service: How many agents are told of waiting work at first.

    Attributes:
        identity: Who this router is.
        follower: The configuration.
        membership: The list of instances.
        agents_per_service: How many agents are told of waiting work at first.
        pool_by_service: The services with requests.
    """

    def __init__(
        self,
        context: agent_peer.PeerContext,
        members: membership.Membership,
        agents_per_service: int,
    ):
        self.identity = context.identity
        self.follower = context.follower
        self.membership = members
        self.agents_per_service = agents_per_service
        self.pool_by_service: dict[ids.ServiceName, agent_pool.AgentPool] = {}
        self._context = context
        self._metrics = context.sink
        self._budget = RetryBudget()
        self._tasks: set[asyncio.Task] = set()
        members.subscribe(self._tend_all)
        context.follower.subscribe(lambda *_: self._tend_all())

    async def run(self) -> None:
        """Tends the connections for ever."""
        while True:
            await asyncio.sleep(TEND_S)
            for desk in list(self.pool_by_service.values()):
                if len(desk.backlog) or desk.is_expanded:
                    desk.refresh()
            self._close_idle()

    async def close(self) -> None:
        """Closes all connections."""
        for desk in self.pool_by_service.values():
            desk.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def open_peer(self, agent, desk: agent_pool.AgentPool) -> agent_peer.AgentPeer:
        """Connects to an agent."""
        return agent_peer.AgentPeer(
            agent,
            self._context,
            desk.backlog,
            lambda peer: self._note_change(desk, peer),
        )

    def gauges(self) -> dict[metrics.Metric, float]:
        """Returns how many requests wait and how many agents are connected."""
        desks = self.pool_by_service.values()
        peers = [peer for desk in desks for peer in desk.peer_by_agent.values()]
        connected = [p for p in peers if p.state is agent_peer.State.CONNECTED]
        return {
            metrics.Metric.REQUESTS_WAITING: sum(len(desk.backlog) for desk in desks),
            metrics.Metric.PEERS_CONNECTED: len(connected),
            metrics.Metric.CONFIGURATION_VERSION: self.follower.version,
        }

    def sent_bytes_by_type(self) -> dict[str, int]:
        """Returns the bytes sent to connected agents, by the type of message."""
        total = collections.Counter()
        for desk in self.pool_by_service.values():
            for peer in desk.peer_by_agent.values():
                total.update(peer.sent_bytes_by_type())
        return dict(total)

    def spawn(self, coroutine) -> None:
        """Runs a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def serve(
        self,
        request: backlog.Request,
        max_waiting: int,
        tries: AttemptCounts | None = None,
    ) -> ForwardedResponse:
        """Gets the head of the answer to a request, trying again where that is safe.

        Args:
            request: The request.
            max_waiting: How many requests of its client account may wait here.
            tries: Counts the tries, also of a request that fails.

        Raises:
            RefusedError: The request has not run; come back later.
            DeadlineError: The request has not run before its deadline.
            NotRunError: No agent would run the request.
            AgentLostError: Nobody knows whether the request ran.
            IncompleteResponseError: There is no answer, but the request may have run.
        """
        self._budget.note_request()
        desk = self._get_desk(request.service)
        waiting = desk.backlog.add(request, max_waiting)
        tries = tries or AttemptCounts()
        try:
            return await self._serve_waiting(desk, waiting, tries)
        except (
            exchange.NotRunError,
            DeadlineError,
            agent_pool.NoAgentError,
        ) as error:
            if tries.lost:
                raise _make_unknown(error) from error
            raise

    async def _serve_waiting(
        self,
        desk: agent_pool.AgentPool,
        waiting: backlog.QueuedRequest,
        tries: AttemptCounts,
    ) -> ForwardedResponse:
        request = waiting.request
        while True:
            try:
                return await self._try(desk, waiting, tries)
            except exchange.NotRunError as error:
                await self._consider_not_run(error, tries, request)
            except exchange.AgentLostError:
                self._consider_lost(tries, request)
            except exchange.IncompleteResponseError as error:
                await self._consider_broken(error, tries, request)
            except UpstreamBusyError:
                await self._pause_after_failure(tries)
            waiting = backlog.QueuedRequest(request, waiting.queued_at)
            desk.backlog.requeue(waiting)

    async def _try(
        self,
        desk: agent_pool.AgentPool,
        waiting: backlog.QueuedRequest,
        tries: AttemptCounts,
    ) -> ForwardedResponse:
        """Waits for the request's turn and for the head of its answer."""
        try:
            peer, running = await self._wait_turn(desk, waiting)
            self._note_attempt(waiting, tries)
            # Past the deadline the agent ends the attempt, if it can be reached.
            left_s = waiting.request.deadline - time.monotonic()
            running.expire_after(left_s + link.BUSY_TIMEOUT_S)
            head = await running.head()
            if head.status == BUSY_STATUS and self._may_repeat(tries, waiting.request):
                raise UpstreamBusyError("the upstream refuses requests")
            return ForwardedResponse(head, peer, running)
        except BaseException:
            self._abandon(desk, waiting)
            raise

    def _note_attempt(
        self, waiting: backlog.QueuedRequest, tries: AttemptCounts
    ) -> None:
        tries.attempts += 1
        self._metrics.count(metrics.Metric.ATTEMPTS)
        if tries.attempts > 1:
            self._metrics.count(metrics.Metric.ATTEMPTS_RETRIED)
            return
        waited_s = time.monotonic() - waiting.queued_at
        self._metrics.timing(metrics.Metric.REQUEST_WAIT, waited_s)

    def _abandon(
        self, desk: agent_pool.AgentPool, waiting: backlog.QueuedRequest
    ) -> None:
        """Takes back what was asked for a request, wherever it stands now."""
        desk.backlog.remove(waiting)
        desk.schedule_demand_updates()
        if waiting.is_assigned:
            peer, running = waiting.assignment.result()
            running.close()
            peer.cancel(running)

    def _get_desk(self, name: ids.ServiceName) -> agent_pool.AgentPool:
        desk = self.pool_by_service.get(name)
        if desk is None:
            desk = self.pool_by_service[name] = agent_pool.AgentPool(self, name)
        desk.last_used_at = time.monotonic()
        if not desk.peer_by_agent:
            desk.refresh()
        return desk

    async def _wait_turn(
        self, desk: agent_pool.AgentPool, waiting: backlog.QueuedRequest
    ):
        desk.schedule_demand_updates()
        left_s = waiting.request.deadline - time.monotonic()
        try:
            async with asyncio.timeout(left_s):
                return await waiting.assignment
        except TimeoutError:
            if waiting.is_assigned:
                return waiting.assignment.result()
            raise DeadlineError("the deadline came before a free slot") from None

    async def _consider_not_run(self, error, tries: AttemptCounts, request) -> None:
        """Returns if the request may be offered again, after a short delay."""
        match error.reason:
            case messages.Reason.LOG_UNAVAILABLE | messages.Reason.DEADLINE:
                raise error
            case messages.Reason.CANCELLED:
                raise error
        tries.not_run += 1
        if tries.not_run > MAX_NOT_RUN:
            raise error
        if time.monotonic() >= request.deadline:
            raise DeadlineError("the deadline came between two attempts")
        delay_s = NOT_RUN_DELAY_S * 2 ** min(tries.not_run - 1, 8)
        delay_s = min(delay_s, NOT_RUN_DELAY_MAX_S) * random.uniform(0.5, 1.0)
        if tries.not_run > 1:
            await asyncio.sleep(delay_s)

    def _consider_lost(self, tries: AttemptCounts, request) -> None:
        """Returns if a request whose run is unknown may be offered again.

        A key makes it safe: the agents run the requests of one key at most once.
        """
        tries.lost += 1
        safe = request.repeatable or bool(request.key)
        if not safe or tries.lost > MAX_LOST or not self._budget.spend():
            raise exchange.AgentLostError("the agent is gone")

    def _may_repeat(self, tries: AttemptCounts, request) -> bool:
        """Takes a retry for a request that failed, if there is one for it."""
        return request.repeatable and tries.lost < MAX_LOST and self._budget.spend()

    async def _consider_broken(self, error, tries: AttemptCounts, request) -> None:
        """Returns if a request that an upstream failed may be offered again."""
        if error.reason not in FAILED_REASONS or not self._may_repeat(tries, request):
            raise error
        await self._pause_after_failure(tries)

    async def _pause_after_failure(self, tries: AttemptCounts) -> None:
        tries.lost += 1
        await asyncio.sleep(FAILED_DELAY_S * random.uniform(0.5, 1.0))

    def _note_change(
        self, desk: agent_pool.AgentPool, peer: agent_peer.AgentPeer
    ) -> None:
        if peer.state is not agent_peer.State.CONNECTED:
            desk.refresh()
        desk.schedule_demand_updates()

    def _tend_all(self) -> None:
        for desk in self.pool_by_service.values():
            desk.refresh()
            desk.schedule_demand_updates()

    def _close_idle(self) -> None:
        for name, desk in list(self.pool_by_service.items()):
            if desk.is_idle():
                desk.close()
                del self.pool_by_service[name]


def _make_unknown(error: errors.RequestError) -> errors.RequestError:
    """Returns what to tell of a last attempt that has not run, after a lost one."""
    match error:
        case DeadlineError():
            reason = messages.Reason.DEADLINE
            return exchange.IncompleteResponseError(reason, messages.Outcome.UNKNOWN)
    return exchange.AgentLostError("an earlier attempt may have run")
