"""An agent: the process beside an upstream, its connections and its attempts."""

import asyncio
import collections
import logging
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
    response_delivery,
    router_peer,
    running,
    slot_scheduler,
    slots,
    upstream,
)

WINDOW_BYTES = 256 * 1024
"""How much of an answer may stay unacknowledged before the upstream is held back."""
MAX_ATTEMPTS = 100_000
ATTEMPT_RETENTION_S = 600.0
ORPHAN_TIMEOUT_S = 30.0
"""How long an answer is kept for a router that does not come back."""
RESUME_TIMEOUT_S = 2.0
"""How long an answer is kept for a router that is back and does not ask for it."""
CLOSE_TIMEOUT_S = 0.5
"""How long the connections of an ending agent have to send what is queued."""

logger = logging.getLogger(__name__)


class DispatchRefusedError(errors.RequestError):
    """A dispatch is refused before anything has run.

    Attributes:
        reason: Why.
    """

    def __init__(self, reason: messages.Reason):
        super().__init__(reason.value)
        self.reason = reason


class FalseRefusalError(errors.InvariantError):
    """An attempt that may have run was about to be told as not run."""


class Agent:
    """The process beside one upstream, and the only way to it.

    Args:
        me: Who this agent is.
        secret: The secret that all peers know.
        follower: The configuration.
        grants: Decides who goes next.
        runner: Runs the attempts.
        known: The counters of the service.
        exchange: This agent's place in the digest tree.
        policy: Learns of the service that is metered.
        sink: Takes the metrics.

    Attributes:
        scheduler: Decides who goes next.
    """

    def __init__(
        self,
        me: link.Identity,
        secret: bytes,
        follower,
        grants: slot_scheduler.SlotScheduler,
        runner: running.Runner,
        known: counters.Counters,
        exchange: aggregation_tree.CounterExchange,
        policy: policies.Policy,
        sink: metrics.Metrics,
    ):
        self.scheduler = grants
        self._me = me
        self._secret = secret
        self._follower = follower
        self._runner = runner
        self._counters = known
        self._exchange = exchange
        self._policy = policy
        self._metrics = sink
        self._attempts = attempts.Attempts(
            MAX_ATTEMPTS, ATTEMPT_RETENTION_S, time.monotonic
        )
        self._answer_by_attempt: dict[
            ids.AttemptId, response_delivery.ResponseSender
        ] = {}
        self._task_by_attempt: dict[ids.AttemptId, asyncio.Task] = {}
        self._repeatable: set[ids.AttemptId] = set()
        self._closed_bytes_by_type: collections.Counter[str] = collections.Counter()
        self._idle = asyncio.Event()
        self._serving: set[asyncio.Task] = set()
        self._unsettled: set[router_peer.RouterPeer] = set()

    def sent_bytes_by_type(self) -> dict[str, int]:
        """Returns the bytes sent to peers in this run, by the type of message."""
        total = collections.Counter(self._closed_bytes_by_type)
        for peer in self.scheduler.peers:
            total.update(peer.link.bytes_sent_by_type)
        return dict(total)

    def accept(self, reader, writer) -> None:
        """Serves one connection in a task of its own until it ends."""
        task = asyncio.create_task(self._serve(reader, writer))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _serve(self, reader, writer) -> None:
        try:
            connected = await link.accept(reader, writer, self._secret, self._me)
        except errors.LinkError as error:
            self._metrics.count(metrics.Metric.PEERS_REFUSED)
            logger.warning("peer refused: %s: %s", type(error).__name__, error)
            return
        peer = router_peer.RouterPeer(connected)
        self.scheduler.peers.add(peer)
        try:
            await self._converse(peer)
        except errors.LinkError as error:
            logger.info("link to %s: %s", connected.peer.instance, error)
        finally:
            self._drop(peer)

    async def leave(self) -> None:
        """Takes no new work, and returns when every running answer is delivered.

        A dispatch that was under way is refused before this returns: the peers answer
        a ping only after it.
        """
        self.scheduler.leave()
        self._unsettled = set(self.scheduler.peers)
        for peer in self.scheduler.peers:
            peer.link.send(messages.Leaving())
            peer.link.ping(self._follower.version)
        loop = asyncio.get_running_loop()
        loop.call_later(link.BUSY_TIMEOUT_S, self._settle_all)
        while not self._is_idle:
            self._idle.clear()
            await self._idle.wait()
        await self._runner.flush()

    async def close(self) -> None:
        """Closes all connections and waits for them, for a bounded time."""
        for peer in list(self.scheduler.peers):
            peer.link.close()
        if self._serving:
            await asyncio.wait(self._serving, timeout=CLOSE_TIMEOUT_S)
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)
        await self._runner.close()

    async def _converse(self, peer: router_peer.RouterPeer) -> None:
        if self.scheduler.is_leaving:
            peer.link.send(messages.Leaving())
        loop = asyncio.get_running_loop()
        loop.call_later(RESUME_TIMEOUT_S, self._drop_unresumed, peer)
        while True:
            received = await peer.link.receive(
                lambda: peer.is_busy, lambda: self._follower.version
            )
            for message in received:
                self._take_checked(peer, message)
            if not peer.link.unanswered_pings:
                self._settle(peer)
            self.scheduler.grant_free_slots()
            await peer.link.drain()

    def _take_checked(self, peer, message) -> None:
        try:
            self._take(peer, message)
        except errors.InvariantError as error:
            invariants.report(error, reraise=False, sink=self._metrics)
            raise link.UnexpectedMessageError(str(error)) from error
        except (attempts.AttemptError, errors.ConfigurationError) as error:
            raise link.UnexpectedMessageError(
                f"{type(message).__name__}: {type(error).__name__}: {error}"
            ) from error

    def _take(self, peer: router_peer.RouterPeer, message) -> None:
        match message:
            case messages.Demand():
                self.scheduler.update_demand(peer, message)
            case messages.Dispatch():
                self._take_dispatch(peer, message)
            case messages.Decline(grant=grant):
                self.scheduler.handle_decline(peer, grant)
            case messages.Ack(attempt=attempt, through=through):
                self._take_ack(attempt, through)
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
                self._hand_over(peer)
            case messages.DocumentHandover(version=version, document=text):
                self._follower.apply_from_peer(version, text)
            case _:
                raise link.UnexpectedMessageError(type(message).__name__)

    def _hand_over(self, peer: router_peer.RouterPeer) -> None:
        if self._follower.document is None:
            return
        peer.link.send(
            messages.DocumentHandover(self._follower.version, self._follower.text)
        )

    def _drop(self, peer: router_peer.RouterPeer) -> None:
        peer.link.abort()
        self.scheduler.drop_peer(peer)
        self._settle(peer)
        self._exchange.remove_child(peer.link)
        self._closed_bytes_by_type.update(peer.link.bytes_sent_by_type)
        for attempt in peer.attempts:
            answer = self._answer_by_attempt.get(attempt)
            if answer is not None:
                answer.detach(peer.link.send)
        peers = self.scheduler.peers
        is_back = any(other.link.peer == peer.link.peer for other in peers)
        asyncio.get_running_loop().call_later(
            RESUME_TIMEOUT_S if is_back else ORPHAN_TIMEOUT_S,
            self._drop_orphans,
            peer.attempts,
        )
        self.scheduler.grant_free_slots()

    def _take_dispatch(self, peer, dispatch: messages.Dispatch) -> None:
        try:
            offer = self._check_dispatch(peer, dispatch)
        except DispatchRefusedError as error:
            self._refuse(peer, dispatch.attempt, error.reason)
            return
        answer = response_delivery.ResponseSender(dispatch.attempt, WINDOW_BYTES)
        answer.attach(peer.link.send, 0)
        peer.attempts.add(dispatch.attempt)
        self._answer_by_attempt[dispatch.attempt] = answer
        if dispatch.repeatable:
            self._repeatable.add(dispatch.attempt)
        run = running.Run(
            dispatch,
            answer,
            meter.Meter(self._counters, self._policy, offer, self._follower.document),
            time.monotonic() + dispatch.budget_ms / 1000,
        )
        self._task_by_attempt[dispatch.attempt] = asyncio.create_task(self._run(run))

    def _check_dispatch(self, peer, dispatch: messages.Dispatch) -> slots.Offer:
        """Returns the offer that a dispatch uses up.

        Raises:
            DispatchRefusedError: The attempt must not run.
        """
        offer = self.scheduler.slots.accept(dispatch.grant, peer)
        if offer is None:
            raise DispatchRefusedError(messages.Reason.GRANT_EXPIRED)
        try:
            _check_account(dispatch, offer)
            self._attempts.begin(dispatch.attempt)
            self._check_rules(peer, dispatch)
        except DispatchRefusedError:
            self._attempts.end(dispatch.attempt, has_run=False)
            self.scheduler.release_unused(offer)
            raise
        except errors.TeaselsillError:
            self.scheduler.release_unused(offer)
            raise
        return offer

    def _check_rules(self, peer, dispatch: messages.Dispatch) -> None:
        if self.scheduler.is_leaving:
            raise DispatchRefusedError(messages.Reason.LEAVING)
        if dispatch.version < self._follower.version:
            self._hand_over(peer)
            raise DispatchRefusedError(messages.Reason.OLD_CONFIGURATION)
        if dispatch.version > self._follower.version:
            peer.link.send(messages.DocumentWanted())
            raise DispatchRefusedError(messages.Reason.OLD_CONFIGURATION)
        if not self.scheduler.allows(dispatch.account):
            raise DispatchRefusedError(messages.Reason.NOT_ALLOWED)

    def _refuse(self, peer, attempt, reason, sequence: int = 0) -> None:
        """Tells a router that an attempt has not run, and sees that it never will."""
        if self._attempts.refuse(attempt):
            peer.link.send(messages.NotRun(attempt, reason))
            return
        dropped = messages.Reason.ANSWER_DROPPED
        end = messages.End(attempt, sequence, messages.Outcome.UNKNOWN, dropped)
        peer.link.send(end)

    async def _run(self, run: running.Run) -> None:
        """Runs one attempt to its end; its slot is free when the upstream is done."""
        try:
            async with asyncio.timeout_at(_loop_time(run.deadline)):
                await self._runner.run(run)
        except running.NotRunError as error:
            self._end_not_run(run, error.reason)
        except TimeoutError:
            self._end_broken(run, messages.Reason.DEADLINE)
        except upstream.StreamStalledError:
            self._end_broken(run, messages.Reason.STREAM_STALLED)
        except errors.TeaselsillError as error:
            logger.warning("attempt %s failed: %s", run.dispatch.attempt, error)
            self._end_broken(run, messages.Reason.UPSTREAM_FAILED)
        except asyncio.CancelledError:
            self._end_broken(run, messages.Reason.CANCELLED)
        except Exception:
            logger.exception("attempt %s failed", run.dispatch.attempt)
            self._end_broken(run, messages.Reason.UPSTREAM_FAILED)
        finally:
            self._finish(run)

    def _end_not_run(self, run: running.Run, reason: messages.Reason) -> None:
        """Says that an accepted attempt has not run, on whichever link there is."""
        attempt = run.dispatch.attempt
        if run.sent:
            error = FalseRefusalError(f"attempt {attempt} was sent")
            invariants.report(error, reraise=False, sink=self._metrics)
            self._end_broken(run, messages.Reason.UPSTREAM_FAILED)
            return
        self._attempts.end(attempt, has_run=False)
        for peer in self.scheduler.peers:
            if attempt in peer.attempts:
                peer.link.send(messages.NotRun(attempt, reason))
        self._forget_answer(attempt)

    def _end_broken(self, run: running.Run, reason: messages.Reason) -> None:
        """Ends an answer that is not whole."""
        if not run.sent and not run.answer.has_head:
            self._end_not_run(run, reason)
            self._runner.release_soon(run)
        elif not run.answer.is_ended:
            run.answer.end(messages.Outcome.UNKNOWN, reason)
            if reason is messages.Reason.UPSTREAM_FAILED:
                self.scheduler.pause()

    def _finish(self, run: running.Run) -> None:
        attempt = run.dispatch.attempt
        run.meter.close()
        self._metrics.count(metrics.Metric.COST_SERVED, round(run.meter.cost))
        self.scheduler.finish(run.dispatch.account, run.meter.cost)
        if self._attempts.state_of(attempt) is attempts.State.RUNNING:
            self._attempts.end(attempt)
        self._task_by_attempt.pop(attempt, None)
        self._repeatable.discard(attempt)
        if run.answer.is_delivered:
            self._forget_answer(attempt)
        self._note_idle()
        self.scheduler.grant_free_slots()

    def _take_ack(self, attempt: ids.AttemptId, through: int) -> None:
        answer = self._answer_by_attempt.get(attempt)
        if answer is None:
            return
        answer.acknowledge(through)
        if answer.is_delivered:
            self._forget_answer(attempt)

    def _forget_answer(self, attempt: ids.AttemptId) -> None:
        self._answer_by_attempt.pop(attempt, None)
        for peer in self.scheduler.peers:
            peer.attempts.discard(attempt)
        self._note_idle()

    @property
    def _is_idle(self) -> bool:
        return not (self._answer_by_attempt or self._task_by_attempt or self._unsettled)

    def _note_idle(self) -> None:
        if self._is_idle:
            self._idle.set()

    def _settle(self, peer: router_peer.RouterPeer) -> None:
        """Notes that no dispatch is under way from a peer of a leaving agent."""
        self._unsettled.discard(peer)
        self._note_idle()

    def _settle_all(self) -> None:
        self._unsettled.clear()
        self._note_idle()

    def _cancel(self, attempt: ids.AttemptId) -> None:
        """Stops an attempt that nobody waits for, unless it may not be repeated."""
        if attempt in self._repeatable and attempt in self._task_by_attempt:
            task = self._task_by_attempt[attempt]
            # A task that is cancelled before its first step would never finish.
            asyncio.get_running_loop().call_soon(task.cancel)
        answer = self._answer_by_attempt.get(attempt)
        if answer is not None:
            answer.discard()
        self._forget_answer(attempt)

    def _drop_orphans(self, attempts_left: set[ids.AttemptId]) -> None:
        """Cancels those of some attempts that no connected router has asked for."""
        peers = self.scheduler.peers
        held = {attempt for peer in peers for attempt in peer.attempts}
        for attempt in attempts_left - held:
            if attempt in self._answer_by_attempt:
                self._cancel(attempt)

    def _drop_unresumed(self, peer: router_peer.RouterPeer) -> None:
        """Cancels what a router that came back has not asked for."""
        if peer not in self.scheduler.peers:
            return
        prefix = f"{peer.link.peer.incarnation}:"
        self._drop_orphans({a for a in self._answer_by_attempt if a.startswith(prefix)})

    def _resume(self, peer, attempt: ids.AttemptId, sequence: int) -> None:
        answer = self._answer_by_attempt.get(attempt)
        if answer is None:
            reason = messages.Reason.NEVER_SEEN
            self._refuse(peer, attempt, reason, sequence=sequence)
            return
        for other in self.scheduler.peers:
            other.attempts.discard(attempt)
        peer.attempts.add(attempt)
        self._metrics.count(metrics.Metric.ATTEMPTS_RESUMED)
        answer.attach(peer.link.send, sequence)


def _check_account(dispatch: messages.Dispatch, offer: slots.Offer) -> None:
    """Checks that a dispatch is of the client account that the slot was offered to."""
    if dispatch.account != offer.account:
        raise link.UnexpectedMessageError(
            f"dispatch of {dispatch.account} for a grant to {offer.account}"
        )


def _loop_time(deadline: float) -> float:
    """Returns a monotonic deadline on the event loop's clock."""
    return asyncio.get_running_loop().time() + deadline - time.monotonic()
