"""The router: queues requests, announces them to agents and forwards the responses.

A request waits in the backlog of its service until an agent grants it a slot. If an
attempt fails, the request is queued again where this cannot make it run twice.
"""

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

REFRESH_INTERVAL_S = 0.05
"""How often the agent pools of services with waiting requests are refreshed."""
MAX_NOT_RUN_RETRIES = 20
"""How often a request is retried after an attempt that has not run it."""
MAX_LOST_RETRIES = 2
"""How often a request is retried after attempts that may have run, where it is safe."""
FAILED_RETRY_DELAY_S = 0.05
"""The longest delay before a request is queued again after its upstream failed."""
BUSY_STATUS = 503
FAILED_REASONS = (
    messages.Reason.UPSTREAM_FAILED,
    messages.Reason.STREAM_STALLED,
    messages.Reason.ANSWER_DROPPED,
)
RETRY_BUDGET_RATIO = 0.1
"""The allowed retries of attempts that may have run, as a ratio of all requests."""
RETRY_BUDGET_MIN = 10.0
NOT_RUN_RETRY_DELAY_S = 0.02
NOT_RUN_RETRY_DELAY_MAX_S = 0.5

logger = logging.getLogger(__name__)


class DeadlineError(errors.RequestError):
    """The deadline passed while the request waited; it has not run."""


class UpstreamBusyError(errors.RequestError):
    """The upstream rejected a request that may be retried."""


class RetryBudget:
    """A token bucket that limits retries to a ratio of all requests."""

    def __init__(self):
        self._tokens = RETRY_BUDGET_MIN

    def note_request(self) -> None:
        """Adds the fraction of a retry that each request allows."""
        self._tokens = min(self._tokens + RETRY_BUDGET_RATIO, RETRY_BUDGET_MIN * 10)

    def spend(self) -> bool:
        """Takes one retry from the budget; returns whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ForwardedResponse:
    """The response to a caller's request, once its status and headers have arrived.

    Attributes:
        status: The HTTP status.
        headers: The header names and values.
        upstream: The upstream that sent it.
    """

    def __init__(self, head: messages.Head, peer, active_exchange):
        self.status = head.status
        self.headers = head.headers
        self.upstream = peer.agent.upstream
        self._peer = peer
        self._exchange = active_exchange
        self._ended = False

    async def body(self):
        """Yields the chunks of the body; see `Exchange.body`."""
        async for chunk in self._exchange.body():
            yield chunk
        self._ended = True

    def close(self) -> None:
        """Cancels the attempt at the agent if the body was not read to its end."""
        self._exchange.close()
        if not self._ended:
            self._peer.cancel(self._exchange)


@dataclasses.dataclass(slots=True)
class AttemptCounts:
    """Counts the attempts to run one request.

    Attributes:
        attempts: How many times it was dispatched to an agent.
        not_run: How many attempts are known not to have run.
        lost: How many attempts failed and may have run.
    """

    attempts: int = 0
    not_run: int = 0
    lost: int = 0


class Router:
    """Sends callers' requests to agents and returns the responses.

    Args:
        context: What the connections to agents share.
        members: The list of instances.
        agents_per_service: How many agents of a service are connected at first.

    Attributes:
        identity: The identity of this router.
        follower: The configuration.
        membership: The list of instances.
        agents_per_service: How many agents of a service are connected at first.
        pool_by_service: The agent pools of the services that have had requests lately.
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
        members.subscribe(self._refresh_all)
        context.follower.subscribe(lambda *_: self._refresh_all())

    async def run(self) -> None:
        """Refreshes the agent pools periodically, and closes those that are idle."""
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S)
            for pool in list(self.pool_by_service.values()):
                if len(pool.backlog) or pool.is_expanded:
                    pool.refresh()
            self._close_idle()

    async def close(self) -> None:
        """Closes all connections."""
        for pool in self.pool_by_service.values():
            pool.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def open_peer(self, agent, pool: agent_pool.AgentPool) -> agent_peer.AgentPeer:
        """Connects to an agent."""
        return agent_peer.AgentPeer(
            agent,
            self._context,
            pool.backlog,
            lambda peer: self._handle_state_change(pool, peer),
        )

    def gauges(self) -> dict[metrics.Metric, float]:
        """Returns the current values of the router's gauges."""
        pools = self.pool_by_service.values()
        peers = [peer for pool in pools for peer in pool.peer_by_agent.values()]
        connected = [p for p in peers if p.state is agent_peer.State.CONNECTED]
        return {
            metrics.Metric.REQUESTS_WAITING: sum(len(pool.backlog) for pool in pools),
            metrics.Metric.PEERS_CONNECTED: len(connected),
            metrics.Metric.CONFIGURATION_VERSION: self.follower.version,
        }

    def sent_bytes_by_type(self) -> dict[str, int]:
        """Returns the bytes sent to connected agents, by message type."""
        total = collections.Counter()
        for pool in self.pool_by_service.values():
            for peer in pool.peer_by_agent.values():
                total.update(peer.sent_bytes_by_type())
        return dict(total)

    def spawn(self, coroutine) -> None:
        """Runs a coroutine as a background task that `close` waits for."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def serve(
        self,
        request: backlog.Request,
        max_waiting: int,
        counts: AttemptCounts | None = None,
    ) -> ForwardedResponse:
        """Runs a request at an agent and retries it where that is safe.

        Args:
            request: The request.
            max_waiting: How many requests of its client account may wait here.
            counts: Counts the attempts, also if the request fails in the end.

        Returns:
            The response, as soon as its status and headers have arrived.

        Raises:
            RefusedError: The request was not queued or found no agent; it has not run.
            DeadlineError: The deadline passed before the request ran.
            NotRunError: Agents rejected the request and it has not run.
            AgentLostError: It is unknown whether the request ran.
            IncompleteResponseError: There is no response, but the request may have run.
        """
        self._budget.note_request()
        pool = self._get_pool(request.service)
        queued = pool.backlog.add(request, max_waiting)
        counts = counts or AttemptCounts()
        try:
            return await self._serve_queued(pool, queued, counts)
        except (
            exchange.NotRunError,
            DeadlineError,
            agent_pool.NoAgentError,
        ) as error:
            if counts.lost:
                raise _make_unknown_error(error) from error
            raise

    async def _serve_queued(
        self,
        pool: agent_pool.AgentPool,
        queued: backlog.QueuedRequest,
        counts: AttemptCounts,
    ) -> ForwardedResponse:
        request = queued.request
        while True:
            try:
                return await self._attempt(pool, queued, counts)
            except exchange.NotRunError as error:
                await self._handle_not_run(error, counts, request)
            except exchange.AgentLostError:
                self._handle_lost(counts, request)
            except exchange.IncompleteResponseError as error:
                await self._handle_incomplete(error, counts, request)
            except UpstreamBusyError:
                await self._pause_after_failure(counts)
            queued = backlog.QueuedRequest(request, queued.queued_at)
            pool.backlog.requeue(queued)

    async def _attempt(
        self,
        pool: agent_pool.AgentPool,
        queued: backlog.QueuedRequest,
        counts: AttemptCounts,
    ) -> ForwardedResponse:
        """Makes one attempt: waits for an agent and then for the response's head."""
        try:
            peer, active_exchange = await self._wait_for_assignment(pool, queued)
            self._count_attempt(queued, counts)
            # At the deadline the agent ends the attempt itself. The timeout here is
            # for an agent that cannot be reached, so it leaves time to notice that.
            left_s = queued.request.deadline - time.monotonic()
            active_exchange.expire_after(left_s + link.BUSY_TIMEOUT_S)
            head = await active_exchange.head()
            if head.status == BUSY_STATUS and self._take_retry(counts, queued.request):
                raise UpstreamBusyError(f"the upstream responded with {BUSY_STATUS}")
            return ForwardedResponse(head, peer, active_exchange)
        except BaseException:
            self._abandon(pool, queued)
            raise

    def _count_attempt(
        self, queued: backlog.QueuedRequest, counts: AttemptCounts
    ) -> None:
        counts.attempts += 1
        self._metrics.count(metrics.Metric.ATTEMPTS)
        if counts.attempts > 1:
            self._metrics.count(metrics.Metric.ATTEMPTS_RETRIED)
            return
        waited_s = time.monotonic() - queued.queued_at
        self._metrics.timing(metrics.Metric.REQUEST_WAIT, waited_s)

    def _abandon(
        self, pool: agent_pool.AgentPool, queued: backlog.QueuedRequest
    ) -> None:
        """Withdraws a request from the backlog, or from the agent that has it."""
        pool.backlog.remove(queued)
        pool.schedule_demand_updates()
        if queued.is_assigned:
            peer, active_exchange = queued.assignment.result()
            active_exchange.close()
            peer.cancel(active_exchange)

    def _get_pool(self, name: ids.ServiceName) -> agent_pool.AgentPool:
        pool = self.pool_by_service.get(name)
        if pool is None:
            pool = self.pool_by_service[name] = agent_pool.AgentPool(self, name)
        pool.last_used_at = time.monotonic()
        if not pool.peer_by_agent:
            pool.refresh()
        return pool

    async def _wait_for_assignment(
        self, pool: agent_pool.AgentPool, queued: backlog.QueuedRequest
    ):
        pool.schedule_demand_updates()
        left_s = queued.request.deadline - time.monotonic()
        try:
            async with asyncio.timeout(left_s):
                return await queued.assignment
        except TimeoutError:
            if queued.is_assigned:
                return queued.assignment.result()
            raise DeadlineError("the deadline came before a free slot") from None

    async def _handle_not_run(self, error, counts: AttemptCounts, request) -> None:
        """Returns, after a delay, if the request may be retried; otherwise raises."""
        match error.reason:
            case messages.Reason.LOG_UNAVAILABLE | messages.Reason.DEADLINE:
                raise error
            case messages.Reason.CANCELLED:
                raise error
        counts.not_run += 1
        if counts.not_run > MAX_NOT_RUN_RETRIES:
            raise error
        if time.monotonic() >= request.deadline:
            raise DeadlineError("the deadline came between two attempts")
        delay_s = NOT_RUN_RETRY_DELAY_S * 2 ** min(counts.not_run - 1, 8)
        delay_s = min(delay_s, NOT_RUN_RETRY_DELAY_MAX_S) * random.uniform(0.5, 1.0)
        if counts.not_run > 1:
            await asyncio.sleep(delay_s)

    def _handle_lost(self, counts: AttemptCounts, request) -> None:
        """Returns if a request that may have run may be retried; otherwise raises.

        A request with an idempotency key is safe to retry, since the agents run the
        requests of one key at most once.
        """
        counts.lost += 1
        safe = request.repeatable or bool(request.key)
        if not safe or counts.lost > MAX_LOST_RETRIES or not self._budget.spend():
            raise exchange.AgentLostError("the agent is gone")

    def _take_retry(self, counts: AttemptCounts, request) -> bool:
        """Takes a retry from the budget if the request may be retried."""
        return (
            request.repeatable
            and counts.lost < MAX_LOST_RETRIES
            and self._budget.spend()
        )

    async def _handle_incomplete(self, error, counts: AttemptCounts, request) -> None:
        """Returns if a request may be retried after an upstream failure, or raises."""
        if error.reason not in FAILED_REASONS or not self._take_retry(counts, request):
            raise error
        await self._pause_after_failure(counts)

    async def _pause_after_failure(self, counts: AttemptCounts) -> None:
        counts.lost += 1
        await asyncio.sleep(FAILED_RETRY_DELAY_S * random.uniform(0.5, 1.0))

    def _handle_state_change(
        self, pool: agent_pool.AgentPool, peer: agent_peer.AgentPeer
    ) -> None:
        if peer.state is not agent_peer.State.CONNECTED:
            pool.refresh()
        pool.schedule_demand_updates()

    def _refresh_all(self) -> None:
        for pool in self.pool_by_service.values():
            pool.refresh()
            pool.schedule_demand_updates()

    def _close_idle(self) -> None:
        for name, pool in list(self.pool_by_service.items()):
            if pool.is_idle():
                pool.close()
                del self.pool_by_service[name]


def _make_unknown_error(error: errors.RequestError) -> errors.RequestError:
    """Returns the error for a request with both a lost attempt and one not run.

    The last attempt has not run, but the lost one may have, so the outcome is unknown.
    """
    match error:
        case DeadlineError():
            reason = messages.Reason.DEADLINE
            return exchange.IncompleteResponseError(reason, messages.Outcome.UNKNOWN)
    return exchange.AgentLostError("an earlier attempt may have run")
