"""The agent: serves router connections and runs attempts on one upstream."""

import asyncio
import collections
import logging
import sys
import time

from teaselsill import (
    aggregation_tree,
    attempts,
    counters,
    errors,
    ids,
    invariants,
    link,
    messages,
    meter,
    metrics,
    policies,
    request_memory,
    response_delivery,
    router_peer,
    running,
    slot_scheduler,
    slots,
    unauthenticated_peers,
    upstream,
)

WINDOW_BYTES = 256 * 1024
"""Unacknowledged bytes of a response at which reading from the upstream pauses."""
MIN_WINDOW_BYTES = 64 * 1024
"""The least such window; routers acknowledge half of it at a time."""
WINDOW_COPIES = 4
"""How often a byte of a response may be in memory, with all buffers."""
MAX_UNAUTHENTICATED = 1024
"""How many peers may be authenticating themselves at a time, by default."""
MAX_ATTEMPTS = 100_000
"""How many finished or refused attempts are remembered."""
ATTEMPT_RETENTION_S = 600.0
"""How long finished and refused attempts are remembered."""
ORPHAN_TIMEOUT_S = 30.0
"""How long a response is kept for a router that does not reconnect."""
RESUME_TIMEOUT_S = 2.0
"""How long a response is kept for a router that reconnected without resuming it."""
CLOSE_TIMEOUT_S = 0.5
"""How long connections may flush their queues when the agent shuts down."""

logger = logging.getLogger(__name__)


class DispatchRefusedError(errors.RequestError):
    """A dispatch was refused before it was sent to the upstream.

    Attributes:
        reason: The reason reported to the router.
    """

    def __init__(self, reason: messages.Reason):
        super().__init__(reason.value)
        self.reason = reason


class FalseRefusalError(errors.InvariantError):
    """An attempt that may have run was about to be reported as not run."""


class Agent:
    """Accepts connections from routers and other agents, and runs dispatched attempts.

    One agent runs beside each upstream. All requests to the upstream pass through it.

    Args:
        identity: The identity of this agent.
        secret: The secret shared by all processes of the fleet.
        follower: Follows the configuration.
        scheduler: Grants slots to client accounts.
        runner: Runs the attempts.
        service_counters: The counters of the service.
        exchange: This agent's node in the aggregation tree.
        policy: The scheduling policy, which receives the metered service.
        sink: Receives the metrics.
        max_unauthenticated: How many peers may be authenticating themselves at a time.
        response_bytes: How many bytes of responses may be held in all.
        request_bytes: How many bytes of requests may be held in all.

    Attributes:
        scheduler: Grants slots to client accounts.
    """

    def __init__(
        self,
        identity: link.Identity,
        secret: bytes,
        follower,
        scheduler: slot_scheduler.SlotScheduler,
        runner: running.Runner,
        service_counters: counters.Counters,
        exchange: aggregation_tree.CounterExchange,
        policy: policies.Policy,
        sink: metrics.Metrics,
        max_unauthenticated: int = MAX_UNAUTHENTICATED,
        response_bytes: int = sys.maxsize,
        request_bytes: int = sys.maxsize,
    ):
        self.scheduler = scheduler
        self._identity = identity
        self._secret = secret
        self._follower = follower
        self._runner = runner
        self._counters = service_counters
        self._exchange = exchange
        self._policy = policy
        self._metrics = sink
        self._attempts = attempts.Attempts(
            MAX_ATTEMPTS, ATTEMPT_RETENTION_S, time.monotonic
        )
        self._response_by_attempt: dict[
            ids.AttemptId, response_delivery.ResponseSender
        ] = {}
        self._task_by_attempt: dict[ids.AttemptId, asyncio.Task] = {}
        self._repeatable: set[ids.AttemptId] = set()
        self._closed_bytes_by_type: collections.Counter[str] = collections.Counter()
        self._idle = asyncio.Event()
        self._connection_tasks: set[asyncio.Task] = set()
        self._response_bytes = response_bytes
        self._requests = request_memory.RequestMemory(request_bytes)
        scheduler.limit_memory(self._requests)
        self._unauthenticated = unauthenticated_peers.UnauthenticatedPeers(
            max_unauthenticated
        )
        self._undrained: set[router_peer.RouterPeer] = set()

    def sent_bytes_by_type(self) -> dict[str, int]:
        """Returns the bytes sent to peers since the start, by message type."""
        total = collections.Counter(self._closed_bytes_by_type)
        for peer in self.scheduler.peers:
            total.update(peer.link.bytes_sent_by_type)
        return dict(total)

    def accept(self, reader, writer) -> None:
        """Serves one connection in its own task."""
        task = asyncio.create_task(self._serve(reader, writer))
        self._connection_tasks.add(task)
        task.add_done_callback(self._connection_tasks.discard)

    async def _serve(self, reader, writer) -> None:
        closed = self._unauthenticated.add(writer)
        if closed is not None:
            closed.transport.abort()
        try:
            connected = await link.accept(reader, writer, self._secret, self._identity)
        except errors.LinkError as error:
            self._record_refused(error)
            return
        finally:
            self._unauthenticated.discard(writer)
        peer = router_peer.RouterPeer(connected)
        self.scheduler.peers.add(peer)
        try:
            await self._receive_messages(peer)
        except errors.LinkError as error:
            logger.info("link to %s: %s", connected.peer.instance, error)
        finally:
            self._drop_peer(peer)

    def _record_refused(self, error: errors.LinkError) -> None:
        self._metrics.count(metrics.Metric.PEERS_REFUSED)
        count = self._unauthenticated.count_refused(time.monotonic())
        if count:
            extra = {"refused": count}
            name = type(error).__name__
            logger.warning("peer refused: %s: %s", name, error, extra=extra)

    async def leave(self) -> None:
        """Stops granting slots and waits until all attempts end and are delivered.

        Dispatches in flight are refused before this returns. To detect them, each peer
        is pinged: links keep order, so its pong arrives after any earlier dispatch.
        """
        self.scheduler.leave()
        self._undrained = set(self.scheduler.peers)
        for peer in self.scheduler.peers:
            peer.link.send(messages.Leaving())
            peer.link.ping(self._follower.version)
        loop = asyncio.get_running_loop()
        loop.call_later(link.BUSY_TIMEOUT_S, self._mark_all_drained)
        while not self._is_idle:
            self._idle.clear()
            await self._idle.wait()
        await self._runner.flush()

    async def close(self) -> None:
        """Closes all connections, with at most `CLOSE_TIMEOUT_S` to flush them."""
        for peer in list(self.scheduler.peers):
            peer.link.close()
        if self._connection_tasks:
            await asyncio.wait(self._connection_tasks, timeout=CLOSE_TIMEOUT_S)
        for task in self._connection_tasks:
            task.cancel()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)
        await self._runner.close()

    async def _receive_messages(self, peer: router_peer.RouterPeer) -> None:
        if self.scheduler.is_leaving:
            peer.link.send(messages.Leaving())
        loop = asyncio.get_running_loop()
        loop.call_later(RESUME_TIMEOUT_S, self._cancel_unresumed, peer)
        while True:
            received = await peer.link.receive(
                lambda: peer.is_busy, lambda: self._follower.version
            )
            for message in received:
                self._handle_checked(peer, message)
            if not peer.link.unanswered_pings:
                self._mark_drained(peer)
            self.scheduler.grant_free_slots()
            await peer.link.drain()

    def _handle_checked(self, peer, message) -> None:
        try:
            self._handle(peer, message)
        except errors.InvariantError as error:
            invariants.report(error, reraise=False, sink=self._metrics)
            raise link.UnexpectedMessageError(str(error)) from error
        except (attempts.AttemptError, errors.ConfigurationError) as error:
            raise link.UnexpectedMessageError(
                f"{type(message).__name__}: {type(error).__name__}: {error}"
            ) from error

    def _handle(self, peer: router_peer.RouterPeer, message) -> None:
        match message:
            case messages.Demand():
                self.scheduler.update_demand(peer, message)
            case messages.Dispatch():
                self._handle_dispatch(peer, message)
            case messages.Decline(grant=grant):
                self.scheduler.handle_decline(peer, grant)
            case messages.Ack(attempt=attempt, through=through):
                self._handle_ack(attempt, through)
            case messages.Cancel(attempt=attempt):
                self._cancel(attempt)
            case messages.Resume(attempt=attempt, sequence=sequence):
                self._resume(peer, attempt, sequence)
            case messages.Report():
                self._exchange.handle_report(peer.link, message)
            case messages.Ping(version=version) | messages.Pong(version=version):
                if version > self._follower.version:
                    peer.link.send(messages.DocumentWanted())
            case messages.DocumentWanted():
                self._send_document(peer)
            case messages.DocumentHandover(version=version, document=text):
                self._follower.apply_from_peer(version, text)
            case _:
                raise link.UnexpectedMessageError(type(message).__name__)

    def _send_document(self, peer: router_peer.RouterPeer) -> None:
        if self._follower.document is None:
            return
        peer.link.send(
            messages.DocumentHandover(self._follower.version, self._follower.text)
        )

    def _drop_peer(self, peer: router_peer.RouterPeer) -> None:
        peer.link.abort()
        self.scheduler.drop_peer(peer)
        self._mark_drained(peer)
        self._exchange.remove_child(peer.link)
        self._closed_bytes_by_type.update(peer.link.bytes_sent_by_type)
        for attempt in peer.attempts:
            response = self._response_by_attempt.get(attempt)
            if response is not None:
                response.detach(peer.link.send)
        peers = self.scheduler.peers
        is_reconnected = any(other.link.peer == peer.link.peer for other in peers)
        asyncio.get_running_loop().call_later(
            RESUME_TIMEOUT_S if is_reconnected else ORPHAN_TIMEOUT_S,
            self._cancel_orphans,
            peer.attempts,
        )
        self.scheduler.grant_free_slots()

    def _handle_dispatch(self, peer, dispatch: messages.Dispatch) -> None:
        try:
            offer = self._check_dispatch(peer, dispatch)
        except DispatchRefusedError as error:
            self._refuse(peer, dispatch.attempt, error.reason)
            return
        window_bytes = find_window_bytes(
            self._response_bytes, self.scheduler.slots.total
        )
        response = response_delivery.ResponseSender(dispatch.attempt, window_bytes)
        response.attach(peer.link.send, 0)
        peer.attempts.add(dispatch.attempt)
        self._response_by_attempt[dispatch.attempt] = response
        if dispatch.repeatable:
            self._repeatable.add(dispatch.attempt)
        self._requests.add(dispatch)
        run = running.Run(
            dispatch,
            response,
            meter.Meter(self._counters, self._policy, offer, self._follower.document),
            time.monotonic() + dispatch.budget_ms / 1000,
        )
        self._task_by_attempt[dispatch.attempt] = asyncio.create_task(self._run(run))

    def _check_dispatch(self, peer, dispatch: messages.Dispatch) -> slots.Offer:
        """Returns the offer that a dispatch consumes.

        Raises:
            DispatchRefusedError: The attempt must not run.
        """
        offer = self.scheduler.slots.accept(dispatch.grant, peer)
        if offer is None:
            raise DispatchRefusedError(messages.Reason.GRANT_EXPIRED)
        try:
            _check_account(dispatch, offer)
            self._attempts.begin(dispatch.attempt)
            self._check_admissible(peer, dispatch)
        except DispatchRefusedError:
            self._attempts.end(dispatch.attempt, has_run=False)
            self.scheduler.release_unused(offer)
            raise
        except errors.TeaselsillError:
            self.scheduler.release_unused(offer)
            raise
        return offer

    def _check_admissible(self, peer, dispatch: messages.Dispatch) -> None:
        if self.scheduler.is_leaving:
            raise DispatchRefusedError(messages.Reason.LEAVING)
        if dispatch.version < self._follower.version:
            self._send_document(peer)
            raise DispatchRefusedError(messages.Reason.OLD_CONFIGURATION)
        if dispatch.version > self._follower.version:
            peer.link.send(messages.DocumentWanted())
            raise DispatchRefusedError(messages.Reason.OLD_CONFIGURATION)
        if not self.scheduler.allows(dispatch.account):
            raise DispatchRefusedError(messages.Reason.NOT_ALLOWED)

    def _refuse(self, peer, attempt, reason, sequence: int = 0) -> None:
        """Refuses an attempt and reports it as not run if that is certain.

        Otherwise the outcome is reported as unknown.
        """
        if self._attempts.refuse(attempt):
            peer.link.send(messages.NotRun(attempt, reason))
            return
        dropped = messages.Reason.ANSWER_DROPPED
        end = messages.End(attempt, sequence, messages.Outcome.UNKNOWN, dropped)
        peer.link.send(end)

    async def _run(self, run: running.Run) -> None:
        """Runs one attempt to its end and releases its slot."""
        try:
            async with asyncio.timeout_at(_loop_time(run.deadline)):
                await self._runner.run(run)
        except running.NotRunError as error:
            self._end_not_run(run, error.reason)
        except TimeoutError:
            self._end_incomplete(run, messages.Reason.DEADLINE)
        except upstream.StreamStalledError:
            self._end_incomplete(run, messages.Reason.STREAM_STALLED)
        except errors.TeaselsillError as error:
            logger.warning("attempt %s failed: %s", run.dispatch.attempt, error)
            self._end_incomplete(run, messages.Reason.UPSTREAM_FAILED)
        except asyncio.CancelledError:
            self._end_incomplete(run, messages.Reason.CANCELLED)
        except Exception:
            logger.exception("attempt %s failed", run.dispatch.attempt)
            self._end_incomplete(run, messages.Reason.UPSTREAM_FAILED)
        finally:
            self._finish(run)

    def _end_not_run(self, run: running.Run, reason: messages.Reason) -> None:
        """Reports an accepted attempt as not run, on the link that now carries it."""
        attempt = run.dispatch.attempt
        if run.sent:
            error = FalseRefusalError(f"attempt {attempt} was sent")
            invariants.report(error, reraise=False, sink=self._metrics)
            self._end_incomplete(run, messages.Reason.UPSTREAM_FAILED)
            return
        self._attempts.end(attempt, has_run=False)
        for peer in self.scheduler.peers:
            if attempt in peer.attempts:
                peer.link.send(messages.NotRun(attempt, reason))
        self._remove_response(attempt)

    def _end_incomplete(self, run: running.Run, reason: messages.Reason) -> None:
        """Ends an incomplete response, or reports an unsent attempt as not run."""
        if not run.sent and not run.response.has_head:
            self._end_not_run(run, reason)
            self._runner.release_soon(run)
        elif not run.response.is_ended:
            run.response.end(messages.Outcome.UNKNOWN, reason)
            if reason is messages.Reason.UPSTREAM_FAILED:
                self.scheduler.pause()

    def _finish(self, run: running.Run) -> None:
        attempt = run.dispatch.attempt
        self._requests.remove(attempt)
        run.meter.close()
        self._metrics.count(metrics.Metric.COST_SERVED, round(run.meter.cost))
        self.scheduler.finish(run.dispatch.account, run.meter.cost)
        if self._attempts.state_of(attempt) is attempts.State.RUNNING:
            self._attempts.end(attempt)
        self._task_by_attempt.pop(attempt, None)
        self._repeatable.discard(attempt)
        if run.response.is_delivered:
            self._remove_response(attempt)
        self._signal_if_idle()
        self.scheduler.grant_free_slots()

    def _handle_ack(self, attempt: ids.AttemptId, through: int) -> None:
        response = self._response_by_attempt.get(attempt)
        if response is None:
            return
        response.acknowledge(through)
        if response.is_delivered:
            self._remove_response(attempt)

    def _remove_response(self, attempt: ids.AttemptId) -> None:
        self._response_by_attempt.pop(attempt, None)
        for peer in self.scheduler.peers:
            peer.attempts.discard(attempt)
        self._signal_if_idle()

    @property
    def _is_idle(self) -> bool:
        return not (
            self._response_by_attempt or self._task_by_attempt or self._undrained
        )

    def _signal_if_idle(self) -> None:
        if self._is_idle:
            self._idle.set()

    def _mark_drained(self, peer: router_peer.RouterPeer) -> None:
        """Records that a peer has no dispatch in flight, which lets `leave` finish."""
        self._undrained.discard(peer)
        self._signal_if_idle()

    def _mark_all_drained(self) -> None:
        self._undrained.clear()
        self._signal_if_idle()

    def _cancel(self, attempt: ids.AttemptId) -> None:
        """Discards the response of an attempt that no caller waits for any more.

        The attempt itself is only stopped if it is repeatable.
        """
        if attempt in self._repeatable and attempt in self._task_by_attempt:
            task = self._task_by_attempt[attempt]
            # A task cancelled before its first step never enters `_run`, so `_finish`
            # would not release the slot. Hence the cancel is deferred.
            asyncio.get_running_loop().call_soon(task.cancel)
        response = self._response_by_attempt.get(attempt)
        if response is not None:
            response.discard()
        self._remove_response(attempt)

    def _cancel_orphans(self, attempt_ids: set[ids.AttemptId]) -> None:
        """Cancels the given attempts, except those held by a connected router."""
        peers = self.scheduler.peers
        held = {attempt for peer in peers for attempt in peer.attempts}
        for attempt in attempt_ids - held:
            if attempt in self._response_by_attempt:
                self._cancel(attempt)

    def _cancel_unresumed(self, peer: router_peer.RouterPeer) -> None:
        """Cancels attempts that a reconnected router has not resumed."""
        if peer not in self.scheduler.peers:
            return
        prefix = f"{peer.link.peer.incarnation}:"
        self._cancel_orphans(
            {a for a in self._response_by_attempt if a.startswith(prefix)}
        )

    def _resume(self, peer, attempt: ids.AttemptId, sequence: int) -> None:
        response = self._response_by_attempt.get(attempt)
        if response is None:
            reason = messages.Reason.NEVER_SEEN
            self._refuse(peer, attempt, reason, sequence=sequence)
            return
        for other in self.scheduler.peers:
            other.attempts.discard(attempt)
        peer.attempts.add(attempt)
        self._metrics.count(metrics.Metric.ATTEMPTS_RESUMED)
        response.attach(peer.link.send, sequence)


def find_window_bytes(response_bytes: int, slot_count: int) -> int:
    """Returns the window of one response, so that those of all slots fit into memory.

    Args:
        response_bytes: How many bytes of responses may be held in all.
        slot_count: How many requests the upstream runs at a time.
    """
    share = response_bytes // (WINDOW_COPIES * max(1, slot_count))
    return min(WINDOW_BYTES, max(MIN_WINDOW_BYTES, share))


def _check_account(dispatch: messages.Dispatch, offer: slots.Offer) -> None:
    """Checks that a dispatch is for the client account that the slot was offered to."""
    if dispatch.account != offer.account:
        raise link.UnexpectedMessageError(
            f"dispatch of {dispatch.account} for a grant to {offer.account}"
        )


def _loop_time(deadline: float) -> float:
    """Converts a `time.monotonic` deadline to the event loop's clock."""
    return asyncio.get_running_loop().time() + deadline - time.monotonic()
