"""A router: holds waiting requests, offers them to agents and delivers the answers."""

import asyncio
import collections
import dataclasses
import datetime
import hashlib
import logging
import random
import time

from teaselsill import (
    agent_peer,
    backlog,
    document,
    errors,
    exchange,
    ids,
    instances,
    lapses,
    link,
    membership,
    messages,
    metrics,
)

WIDEN_AFTER_S = 0.1
"""While the oldest request waits longer, more agents are told, in doubling steps."""
TEND_S = 0.05
"""How often the set of agents of a service with waiting work is looked at."""
IDLE_CLOSE_S = 60.0
"""A service without requests for this long loses its connections."""
NO_AGENT_S = 3.0
"""How long requests wait while no agent of their service can be reached."""
LAPSING_AGENTS = 2
"""How many of the agents whose credits lapse first are always told."""
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


class NoAgentError(backlog.RefusedError):
    """No agent of the service can be reached."""


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


class ServiceDesk:
    """The waiting requests of one service and the agents that are told of them.

    Attributes:
        backlog: The waiting requests.
        peer_by_agent: The connected agents, by instance id.
        used_at: When the last request came, on the monotonic clock, in seconds.
    """

    def __init__(self, router: "Router", name: ids.ServiceName):
        self.backlog = backlog.Backlog()
        self.peer_by_agent: dict[ids.InstanceId, agent_peer.AgentPeer] = {}
        self.used_at = time.monotonic()
        self._router = router
        self._name = name
        self._width = router.agents_per_service
        self._widened_at = 0.0
        self._reached_at = time.monotonic()

    def tell_all(self, _peer=None) -> None:
        """Has the agents told of what has changed in the backlog."""
        for peer in self.peer_by_agent.values():
            peer.tell_demand()

    def tend(self) -> None:
        """Opens the connections that are wanted now and closes the others."""
        listed = {a.id: a for a in self._router.membership.agents_of(self._name)}
        self._drop_unlisted(listed)
        self._adapt_width(len(listed))
        for agent in self._choose(listed):
            if agent.id not in self.peer_by_agent:
                self.peer_by_agent[agent.id] = self._router.open_peer(agent, self)
        self._rank_peers()
        self._refuse_if_out_of_reach()

    def is_idle(self) -> bool:
        """Tells whether the connections of this service can be closed."""
        busy = len(self.backlog) or any(p.is_busy for p in self.peer_by_agent.values())
        return not busy and time.monotonic() - self.used_at > IDLE_CLOSE_S

    def close(self) -> None:
        """Closes all connections."""
        for peer in self.peer_by_agent.values():
            self._router.spawn(peer.close())
        self.peer_by_agent.clear()

    def _refuse_if_out_of_reach(self) -> None:
        """Refuses what waits once no agent has been in reach for a while."""
        now = time.monotonic()
        peers = self.peer_by_agent.values()
        if any(peer.state is agent_peer.State.CONNECTED for peer in peers):
            self._reached_at = now
        waited_s = min(now - self._reached_at, self.backlog.oldest_wait_s())
        if waited_s < NO_AGENT_S:
            return
        for waiting in self.backlog.take_all():
            text = f"no agent of {self._name} is in reach"
            waiting.turn.set_exception(NoAgentError(text, NO_AGENT_S))

    def _drop_unlisted(self, listed) -> None:
        """Gives no new work to agents that are not listed as live, and drops them."""
        for agent_id, peer in list(self.peer_by_agent.items()):
            found = listed.get(agent_id)
            if found is not None and _is_at_same_address(found, peer.agent):
                peer.agent = found
                peer.is_retired = self._is_leaving(found)
                continue
            peer.is_retired = True
            if not peer.exchange_by_attempt:
                self._router.spawn(peer.close())
                del self.peer_by_agent[agent_id]

    def _adapt_width(self, listed_count: int) -> None:
        now = time.monotonic()
        if not len(self.backlog):
            self._width = self._router.agents_per_service
            return
        stepped_s = now - self._widened_at
        if self.backlog.oldest_wait_s() > WIDEN_AFTER_S and stepped_s > WIDEN_AFTER_S:
            self._width = min(self._width * 2, max(1, listed_count))
            self._widened_at = now

    def _choose(self, listed) -> list[instances.Instance]:
        """Returns the first agents in this router's own order, for each account."""
        usable = [agent for agent in listed.values() if self._is_usable(agent)]
        usable.sort(key=lambda agent: _order_of(self._router.me.instance, agent.id))
        chosen = {agent.id: agent for agent in usable[: self._width]}
        for agent in self._lapsing_first(usable)[:LAPSING_AGENTS]:
            chosen[agent.id] = agent
        for account in self._restricted_accounts():
            allowed = [a for a in usable if a.upstream in account.upstreams]
            chosen |= {agent.id: agent for agent in allowed[: self._width]}
        return list(chosen.values())

    def _lapsing_first(self, usable) -> list[instances.Instance]:
        """Returns the agents in the order in which their credits lapse."""
        known = self._router.follower.document
        today = datetime.datetime.now(datetime.UTC).date()
        day_by_upstream = {
            agent.upstream: lapses.lapse_of(known, self._name, agent.upstream, today)
            for agent in usable
        }
        return sorted(usable, key=lambda agent: day_by_upstream[agent.upstream])

    def _rank_peers(self) -> None:
        """Has agents whose credits lapse sooner told of waiting work sooner."""
        known = self._router.follower.document
        today = datetime.datetime.now(datetime.UTC).date()
        upstreams = [peer.agent.upstream for peer in self.peer_by_agent.values()]
        for peer in self.peer_by_agent.values():
            peer.rank = lapses.rank_of(
                known, self._name, peer.agent.upstream, upstreams, today
            )

    def _restricted_accounts(self) -> list[document.ClientAccount]:
        known = self._router.follower.document.account_by_id
        waiting = [known.get(name) for name in self.backlog.accounts]
        return [account for account in waiting if account and account.upstreams]

    def _is_leaving(self, agent: instances.Instance) -> bool:
        known = self._router.follower.document
        is_left = known is not None and agent.upstream in known.leaving_upstreams
        return is_left or agent.state is instances.InstanceState.LEAVING

    def _is_usable(self, agent: instances.Instance) -> bool:
        if self._is_leaving(agent):
            return False
        peer = self.peer_by_agent.get(agent.id)
        return peer is None or peer.state not in (
            agent_peer.State.UNREACHABLE,
            agent_peer.State.LEAVING,
        )


class Answer:
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
class Tries:
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
        me: Who this router is.
        follower: The configuration.
        membership: The list of instances.
        agents_per_service: How many agents are told of waiting work at first.
        desk_by_service: The services with requests.
    """

    def __init__(
        self,
        context: agent_peer.Context,
        members: membership.Membership,
        agents_per_service: int,
    ):
        self.me = context.me
        self.follower = context.follower
        self.membership = members
        self.agents_per_service = agents_per_service
        self.desk_by_service: dict[ids.ServiceName, ServiceDesk] = {}
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
            for desk in list(self.desk_by_service.values()):
                if len(desk.backlog):
                    desk.tend()
            self._close_idle()

    async def close(self) -> None:
        """Closes all connections."""
        for desk in self.desk_by_service.values():
            desk.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def open_peer(self, agent, desk: ServiceDesk) -> agent_peer.AgentPeer:
        """Connects to an agent."""
        return agent_peer.AgentPeer(
            agent,
            self._context,
            desk.backlog,
            lambda peer: self._note_change(desk, peer),
        )

    def gauges(self) -> dict[metrics.Metric, float]:
        """Returns how many requests wait and how many agents are connected."""
        desks = self.desk_by_service.values()
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
        for desk in self.desk_by_service.values():
            for peer in desk.peer_by_agent.values():
                total.update(peer.sent_bytes_by_type())
        return dict(total)

    def spawn(self, coroutine) -> None:
        """Runs a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def serve(
        self, request: backlog.Request, max_waiting: int, tries: Tries | None = None
    ) -> Answer:
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
            AnswerBrokenError: There is no answer, but the request may have run.
        """
        self._budget.note_request()
        desk = self._get_desk(request.service)
        waiting = desk.backlog.add(request, max_waiting)
        tries = tries or Tries()
        try:
            return await self._serve_waiting(desk, waiting, tries)
        except (exchange.NotRunError, DeadlineError, NoAgentError) as error:
            if tries.lost:
                raise _make_unknown(error) from error
            raise

    async def _serve_waiting(
        self, desk: ServiceDesk, waiting: backlog.Waiting, tries: Tries
    ) -> Answer:
        request = waiting.request
        while True:
            try:
                return await self._try(desk, waiting, tries)
            except exchange.NotRunError as error:
                await self._consider_not_run(error, tries, request)
            except exchange.AgentLostError:
                self._consider_lost(tries, request)
            except exchange.AnswerBrokenError as error:
                await self._consider_broken(error, tries, request)
            except UpstreamBusyError:
                await self._pause_after_failure(tries)
            waiting = backlog.Waiting(request, waiting.since)
            desk.backlog.put_back(waiting)

    async def _try(
        self, desk: ServiceDesk, waiting: backlog.Waiting, tries: Tries
    ) -> Answer:
        """Waits for the request's turn and for the head of its answer."""
        try:
            peer, running = await self._wait_turn(desk, waiting)
            self._note_attempt(waiting, tries)
            # Past the deadline the agent ends the attempt, if it can be reached.
            left_s = waiting.request.deadline - time.monotonic()
            running.expire_after(left_s + link.BUSY_SILENCE_S)
            head = await running.head()
            if head.status == BUSY_STATUS and self._may_repeat(tries, waiting.request):
                raise UpstreamBusyError("the upstream refuses requests")
            return Answer(head, peer, running)
        except BaseException:
            self._abandon(desk, waiting)
            raise

    def _note_attempt(self, waiting: backlog.Waiting, tries: Tries) -> None:
        tries.attempts += 1
        self._metrics.count(metrics.Metric.ATTEMPTS)
        if tries.attempts > 1:
            self._metrics.count(metrics.Metric.ATTEMPTS_RETRIED)
            return
        waited_s = time.monotonic() - waiting.since
        self._metrics.timing(metrics.Metric.REQUEST_WAIT, waited_s)

    def _abandon(self, desk: ServiceDesk, waiting: backlog.Waiting) -> None:
        """Takes back what was asked for a request, wherever it stands now."""
        desk.backlog.remove(waiting)
        desk.tell_all()
        if waiting.has_turn:
            peer, running = waiting.turn.result()
            running.close()
            peer.cancel(running)

    def _get_desk(self, name: ids.ServiceName) -> ServiceDesk:
        desk = self.desk_by_service.get(name)
        if desk is None:
            desk = self.desk_by_service[name] = ServiceDesk(self, name)
        desk.used_at = time.monotonic()
        if not desk.peer_by_agent:
            desk.tend()
        return desk

    async def _wait_turn(self, desk: ServiceDesk, waiting: backlog.Waiting):
        desk.tell_all()
        left_s = waiting.request.deadline - time.monotonic()
        try:
            async with asyncio.timeout(left_s):
                return await waiting.turn
        except TimeoutError:
            if waiting.has_turn:
                return waiting.turn.result()
            raise DeadlineError("the deadline came before a free slot") from None

    async def _consider_not_run(self, error, tries: Tries, request) -> None:
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

    def _consider_lost(self, tries: Tries, request) -> None:
        """Returns if a request whose run is unknown may be offered again.

        A key makes it safe: the agents run the requests of one key at most once.
        """
        tries.lost += 1
        safe = request.repeatable or bool(request.key)
        if not safe or tries.lost > MAX_LOST or not self._budget.spend():
            raise exchange.AgentLostError("the agent is gone")

    def _may_repeat(self, tries: Tries, request) -> bool:
        """Takes a retry for a request that failed, if there is one for it."""
        return request.repeatable and tries.lost < MAX_LOST and self._budget.spend()

    async def _consider_broken(self, error, tries: Tries, request) -> None:
        """Returns if a request that an upstream failed may be offered again."""
        if error.reason not in FAILED_REASONS or not self._may_repeat(tries, request):
            raise error
        await self._pause_after_failure(tries)

    async def _pause_after_failure(self, tries: Tries) -> None:
        tries.lost += 1
        await asyncio.sleep(FAILED_DELAY_S * random.uniform(0.5, 1.0))

    def _note_change(self, desk: ServiceDesk, peer: agent_peer.AgentPeer) -> None:
        if peer.state is not agent_peer.State.CONNECTED:
            desk.tend()
        desk.tell_all()

    def _tend_all(self) -> None:
        for desk in self.desk_by_service.values():
            desk.tend()
            desk.tell_all()

    def _close_idle(self) -> None:
        for name, desk in list(self.desk_by_service.items()):
            if desk.is_idle():
                desk.close()
                del self.desk_by_service[name]


def _order_of(router: ids.InstanceId, agent: ids.InstanceId) -> bytes:
    """Orders the agents by rendezvous hashing, so that routers spread over them."""
    return hashlib.blake2b(f"{router}\0{agent}".encode(), digest_size=8).digest()


def _make_unknown(error: errors.RequestError) -> errors.RequestError:
    """Returns what to tell of a last attempt that has not run, after a lost one."""
    match error:
        case DeadlineError():
            reason = messages.Reason.DEADLINE
            return exchange.AnswerBrokenError(reason, messages.Outcome.UNKNOWN)
    return exchange.AgentLostError("an earlier attempt may have run")


def _is_at_same_address(one: instances.Instance, other: instances.Instance) -> bool:
    return (one.host, one.port) == (other.host, other.port)
