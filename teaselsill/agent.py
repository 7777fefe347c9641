"""An agent: owns an upstream's slots, chooses who goes next, runs the requests."""

import asyncio
import collections
import dataclasses
import logging
import time

from teaselsill import (
    answers,
    attempts,
    claims,
    counters,
    digest,
    document,
    errors,
    ids,
    invariants,
    link,
    messages,
    meter,
    metrics,
    policies,
    router_peer,
    slots,
    upstream,
)

WINDOW_BYTES = 256 * 1024
"""How much of an answer may stay unacknowledged before the upstream is held back."""
MAX_ATTEMPTS = 100_000
ATTEMPT_RETENTION_S = 600.0
ORPHAN_S = 30.0
"""How long an answer is kept for a router that does not come back."""
RESUME_S = 2.0
"""How long an answer is kept for a router that is back and does not ask for it."""
PAUSE_MIN_S = 0.1
PAUSE_MAX_S = 2.0
"""How long no slots are offered after the upstream has failed."""
BUSY_STATUS = 503

logger = logging.getLogger(__name__)


class DispatchRefusedError(errors.RequestError):
    """A dispatch is refused before anything has run.

    Attributes:
        reason: Why.
        retry_after_s: When another attempt is worth while, in seconds.
    """

    def __init__(self, reason: messages.Reason, retry_after_s: float = 0.0):
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after_s = retry_after_s


@dataclasses.dataclass(slots=True)
class _Run:
    """One attempt that runs.

    Attributes:
        dispatch: What was asked for.
        answer: Where the answer goes.
        meter: Charges the cost.
        deadline: When the caller stops waiting, on the monotonic clock, in seconds.
        claimed: The claim on the idempotency key, or none.
        sent: Whether the upstream may have seen the request.
    """

    dispatch: messages.Dispatch
    answer: answers.Answer
    meter: meter.Meter
    deadline: float
    claimed: claims.Claimed | None = None
    sent: bool = False


class Agent:
    """The process beside one upstream, and the only way to it.

    Args:
        me: Who this agent is.
        secret: The secret that all peers know.
        service: The service that the upstream belongs to.
        upstream_id: The upstream's id.
        upstream_client: Speaks to the upstream.
        follower: The configuration.
        ledger: Claims the requests that may not be repeated.
        known: The counters of the service.
        exchange: This agent's place in the digest tree.
        policy: Chooses who goes next.
        sink: Takes the metrics.

    Attributes:
        slots: The upstream's slots.
        is_leaving: Whether the agent takes no new work.
        served_cost: The cost served in this run, in the service's unit.
    """

    def __init__(
        self,
        me: link.Identity,
        secret: bytes,
        service: ids.ServiceName,
        upstream_id: ids.UpstreamId,
        upstream_client: upstream.Upstream,
        follower,
        ledger: claims.Ledger,
        known: counters.Counters,
        exchange: digest.Exchange,
        policy: policies.Policy,
        sink: metrics.Metrics,
    ):
        self.slots = slots.Slots()
        self.is_leaving = False
        self.served_cost = 0.0
        self._me = me
        self._secret = secret
        self._service = service
        self._upstream_id = upstream_id
        self._upstream = upstream_client
        self._follower = follower
        self._ledger = ledger
        self._counters = known
        self._exchange = exchange
        self._policy = policy
        self._metrics = sink
        self._attempts = attempts.Attempts(
            MAX_ATTEMPTS, ATTEMPT_RETENTION_S, time.monotonic
        )
        self._peers: set[router_peer.RouterPeer] = set()
        self._answer_by_attempt: dict[ids.AttemptId, answers.Answer] = {}
        self._task_by_attempt: dict[ids.AttemptId, asyncio.Task] = {}
        self._repeatable: set[ids.AttemptId] = set()
        self._closed_bytes_by_type: collections.Counter[str] = collections.Counter()
        self._paused_until = 0.0
        self._pause_s = PAUSE_MIN_S
        self._idle = asyncio.Event()
        self._unsettled: set[router_peer.RouterPeer] = set()
        self._records: set[asyncio.Task] = set()
        follower.subscribe(lambda *_: self._apply_configuration())
        self._apply_configuration()

    @property
    def upstream_id(self) -> ids.UpstreamId:
        """The upstream beside this agent."""
        return self._upstream_id

    @property
    def service(self) -> ids.ServiceName:
        """The service that the upstream belongs to."""
        return self._service

    @property
    def counters(self) -> counters.Counters:
        """The counters of the service."""
        return self._counters

    @property
    def exchange(self) -> digest.Exchange:
        """This agent's place in the digest tree."""
        return self._exchange

    def sent_bytes_by_type(self) -> dict[str, int]:
        """Returns the bytes sent to peers in this run, by the type of message."""
        total = collections.Counter(self._closed_bytes_by_type)
        for peer in self._peers:
            total.update(peer.link.bytes_sent_by_type)
        return dict(total)

    async def accept(self, reader, writer) -> None:
        """Serves one connection until it ends."""
        try:
            connected = await link.accept(reader, writer, self._secret, self._me)
        except errors.LinkError as error:
            self._metrics.count(metrics.Metric.PEERS_REFUSED)
            logger.warning("peer refused: %s: %s", type(error).__name__, error)
            return
        peer = router_peer.RouterPeer(connected)
        self._peers.add(peer)
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
        self.is_leaving = True
        self._unsettled = set(self._peers)
        for peer in self._peers:
            peer.link.send(messages.Leaving())
            peer.link.ping(self._follower.version)
        for grant in list(self.slots.offer_by_grant):
            self._end_offer(grant)
        loop = asyncio.get_running_loop()
        loop.call_later(link.BUSY_SILENCE_S, self._settle_all)
        while not self._is_idle:
            self._idle.clear()
            await self._idle.wait()
        await asyncio.gather(*self._records, return_exceptions=True)

    async def close(self) -> None:
        """Closes all connections."""
        for peer in list(self._peers):
            peer.link.close()
        await self._upstream.close()

    # Connections

    async def _converse(self, peer: router_peer.RouterPeer) -> None:
        if self.is_leaving:
            peer.link.send(messages.Leaving())
        loop = asyncio.get_running_loop()
        loop.call_later(RESUME_S, self._drop_unresumed, peer)
        while True:
            received = await peer.link.receive(
                lambda: peer.is_busy, lambda: self._follower.version
            )
            for message in received:
                self._take_checked(peer, message)
            if not peer.link.unanswered_pings:
                self._settle(peer)
            self._grant_free_slots()
            await peer.link.drain()

    def _take_checked(self, peer, message) -> None:
        try:
            self._take(peer, message)
        except errors.InvariantError as error:
            invariants.report(error, reraise=False, sink=self._metrics)
            raise link.UnexpectedMessageError(str(error)) from error

    def _take(self, peer: router_peer.RouterPeer, message) -> None:
        match message:
            case messages.Demand():
                peer.take_demand(message)
            case messages.Dispatch():
                self._take_dispatch(peer, message)
            case messages.Decline(grant=grant):
                self._take_decline(peer, grant)
            case messages.Ack(attempt=attempt, through=through):
                self._take_ack(attempt, through)
            case messages.Cancel(attempt=attempt):
                self._cancel(attempt)
            case messages.Resume(attempt=attempt, sequence=sequence):
                self._resume(peer, attempt, sequence)
            case messages.Report():
                self._exchange.take(peer.link, message)
            case messages.Ping(version=version) | messages.Pong(version=version):
                if version > self._follower.version:
                    peer.link.send(messages.DocumentWanted())
            case messages.DocumentWanted():
                self._hand_over(peer)
            case messages.DocumentHandover(version=version, document=text):
                self._follower.offer(version, text)
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
        self._peers.discard(peer)
        self._settle(peer)
        self._exchange.forget(peer.link)
        self._closed_bytes_by_type.update(peer.link.bytes_sent_by_type)
        for grant, offer in list(self.slots.offer_by_grant.items()):
            if offer.holder is peer:
                self._end_offer(grant)
        for attempt in peer.attempts:
            answer = self._answer_by_attempt.get(attempt)
            if answer is not None:
                answer.detach(peer.link.send)
        is_back = any(other.link.peer == peer.link.peer for other in self._peers)
        asyncio.get_running_loop().call_later(
            RESUME_S if is_back else ORPHAN_S, self._drop_orphans, peer.attempts
        )
        self._grant_free_slots()

    # Who goes next

    def _apply_configuration(self) -> None:
        known = self._follower.document
        service = self._service_now()
        self.slots.resize(service.slots if service else 0)
        if service is None:
            return
        shares = [account.share for account in known.client_accounts]
        cap = counters.debt_cap(service.expected_cost, min(shares, default=1.0))
        self._counters.set_debt_cap(cap)
        self._grant_free_slots()

    def _service_now(self) -> document.Service | None:
        known = self._follower.document
        return known.service_by_name.get(self._service) if known else None

    def _may_grant(self) -> bool:
        if self.is_leaving or time.monotonic() < self._paused_until:
            return False
        known = self._follower.document
        return known is not None and self._upstream_id not in known.leaving_upstreams

    def _grant_free_slots(self) -> None:
        """Offers every free slot to the client account whose turn it is."""
        backlogged = {a for peer in self._peers for a in peer.demand_by_account}
        self._counters.set_backlogged(backlogged)
        service = self._service_now()
        while service and self._may_grant() and self.slots.free > 0:
            candidates = self._list_candidates(service)
            if not candidates:
                return
            self._grant(self._policy.choose(candidates, self._counters))

    def _list_candidates(self, service: document.Service) -> list[policies.Candidate]:
        known = self._follower.document
        since_by_account: dict[ids.AccountId, float] = {}
        for peer in self._peers:
            for account, demanded in peer.demand_by_account.items():
                since = since_by_account.get(account, demanded.since)
                since_by_account[account] = min(since, demanded.since)
        now = time.monotonic()
        return [
            policies.Candidate(
                account,
                int((now - since) * 1000),
                service.expected_cost / known.account_by_id[account].share,
            )
            for account, since in since_by_account.items()
            if known.allows(account, self._service, self._upstream_id)
        ]

    def _grant(self, candidate: policies.Candidate) -> None:
        """Offers a slot to the router that holds the account's oldest request."""
        holders = [p for p in self._peers if candidate.account in p.demand_by_account]
        peer = min(holders, key=lambda p: p.demand_by_account[candidate.account].since)
        peer.take_one(candidate.account)
        self._counters.reserve(candidate.account, candidate.expected)
        offer = self.slots.offer(candidate.account, peer, candidate.expected)
        self._metrics.count(metrics.Metric.GRANTS)
        peer.link.send(messages.Grant(offer.grant, candidate.account))
        asyncio.get_running_loop().call_later(
            slots.GRANT_LIFETIME_S, self._expire_offer, offer.grant
        )

    def _end_offer(self, grant: ids.GrantId) -> bool:
        offer = self.slots.withdraw(grant)
        if offer is None:
            return False
        self._counters.release(offer.account, offer.expected)
        return True

    def _expire_offer(self, grant: ids.GrantId) -> None:
        if self._end_offer(grant):
            self._metrics.count(metrics.Metric.GRANTS_EXPIRED)
            self._grant_free_slots()

    def _take_decline(self, peer: router_peer.RouterPeer, grant: ids.GrantId) -> None:
        offer = self.slots.offer_by_grant.get(grant)
        if offer is not None and offer.holder is peer:
            self._end_offer(grant)
            peer.demand_by_account.pop(offer.account, None)
            self._metrics.count(metrics.Metric.GRANTS_DECLINED)

    # Attempts

    def _take_dispatch(self, peer, dispatch: messages.Dispatch) -> None:
        try:
            offer = self._check_dispatch(peer, dispatch)
        except DispatchRefusedError as error:
            self._refuse(peer, dispatch.attempt, error.reason, error.retry_after_s)
            return
        answer = answers.Answer(dispatch.attempt, WINDOW_BYTES)
        answer.attach(peer.link.send, 0)
        peer.attempts.add(dispatch.attempt)
        self._answer_by_attempt[dispatch.attempt] = answer
        if dispatch.repeatable:
            self._repeatable.add(dispatch.attempt)
        run = _Run(
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
        offer = self.slots.accept(dispatch.grant, peer)
        if offer is None:
            raise DispatchRefusedError(messages.Reason.GRANT_EXPIRED)
        try:
            self._check_rules(peer, dispatch)
            self._attempts.begin(dispatch.attempt)
        except DispatchRefusedError:
            self._free(offer)
            raise
        except attempts.AttemptError as error:
            self._free(offer)
            raise link.UnexpectedMessageError(
                f"attempt {dispatch.attempt}: {type(error).__name__}"
            ) from error
        return offer

    def _check_rules(self, peer, dispatch: messages.Dispatch) -> None:
        if self.is_leaving:
            raise DispatchRefusedError(messages.Reason.LEAVING)
        if dispatch.version < self._follower.version:
            self._hand_over(peer)
            raise DispatchRefusedError(messages.Reason.OLD_CONFIGURATION)
        if dispatch.version > self._follower.version:
            peer.link.send(messages.DocumentWanted())
            raise DispatchRefusedError(messages.Reason.OLD_CONFIGURATION)
        known = self._follower.document
        if not known.allows(dispatch.account, self._service, self._upstream_id):
            raise DispatchRefusedError(messages.Reason.NOT_ALLOWED)

    def _free(self, offer: slots.Offer) -> None:
        self._counters.release(offer.account, offer.expected)
        self.slots.release()

    def _refuse(self, peer, attempt, reason, retry_after_s=0.0, sequence=0) -> None:
        """Tells a router that an attempt has not run, and sees that it never will."""
        if self._attempts.refuse(attempt):
            retry_after_ms = int(retry_after_s * 1000)
            peer.link.send(messages.NotRun(attempt, reason, retry_after_ms))
            return
        dropped = messages.Reason.ANSWER_DROPPED
        end = messages.End(attempt, sequence, messages.Outcome.UNKNOWN, dropped)
        peer.link.send(end)

    async def _run(self, run: _Run) -> None:
        """Runs one attempt to its end; its slot is free when the upstream is done."""
        try:
            async with asyncio.timeout_at(_loop_time(run.deadline)):
                await self._run_order(run)
        except _NotRunError as error:
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

    async def _run_order(self, run: _Run) -> None:
        """Claims the request if it may not be repeated, then sends it."""
        dispatch = run.dispatch
        if dispatch.key and not dispatch.repeatable:
            run.claimed = await self._claim(dispatch, run.answer)
            if run.claimed is None:
                return
        if time.monotonic() >= run.deadline:
            raise _NotRunError(messages.Reason.DEADLINE)
        try:
            stored = await self._send(run)
        except upstream.UpstreamUnreachableError as error:
            logger.warning("upstream unreachable: %s", error)
            run.sent = False
            await self._release(run)
            self._pause()
            raise _NotRunError(messages.Reason.UPSTREAM_UNREACHABLE) from error
        except upstream.UpstreamRefusedError as error:
            run.sent = False
            await self._release(run)
            raise _NotRunError(messages.Reason.UPSTREAM_FAILED) from error
        self._note_answered(stored.status)
        run.answer.end(messages.Outcome.RAN, messages.Reason.NONE)
        if run.claimed is not None:
            self._record(self._ledger.record_ran(run.claimed, stored))

    async def _claim(self, dispatch, answer) -> claims.Claimed | None:
        """Claims a key, or answers from what is known of it and returns none."""
        try:
            found = await self._ledger.claim(
                dispatch.account, dispatch.key, _digest_request(dispatch)
            )
        except claims.KeyReusedError:
            answer.end(messages.Outcome.NOT_RUN, messages.Reason.KEY_REUSED)
            return None
        except claims.ClaimError as error:
            logger.warning("claim failed: %s", error)
            raise _NotRunError(messages.Reason.LOG_UNAVAILABLE) from error
        match found:
            case claims.Claimed():
                return found
            case claims.AlreadyRan(
                answer=claims.StoredAnswer(status, headers, bytes(body))
            ):
                await answer.put_head(status, headers)
                await answer.put_body(body)
                answer.end(messages.Outcome.RAN, messages.Reason.NONE)
            case claims.AlreadyRan():
                answer.end(messages.Outcome.RAN, messages.Reason.KEY_RAN)
            case claims.InProgress():
                answer.end(messages.Outcome.UNKNOWN, messages.Reason.KEY_IN_PROGRESS)
        self._metrics.count(metrics.Metric.CLAIMS_REPEATED)
        return None

    def _record(self, writing) -> None:
        """Writes to the log in the background; nobody waits for it but `leave`."""
        task = asyncio.create_task(writing)
        self._records.add(task)
        task.add_done_callback(self._records.discard)

    async def _release(self, run: _Run) -> None:
        if run.claimed is not None:
            await self._ledger.release(run.claimed)

    async def _send(self, run: _Run) -> claims.StoredAnswer:
        """Sends the order to the upstream and its answer to the router."""
        status = 0
        headers = []
        kept = bytearray()
        run.sent = True
        order = _make_order(run.dispatch, run.deadline)
        async for event in self._upstream.run(order, self._service_now()):
            match event:
                case upstream.Started(status=status, headers=headers):
                    await run.answer.put_head(status, headers)
                case upstream.Piece(data=data, cost=cost):
                    run.meter.add(cost)
                    if len(kept) <= claims.MAX_STORED_BODY_BYTES:
                        kept += data
                    await run.answer.put_body(data)
                case upstream.Finished(cost=cost):
                    run.meter.add(cost)
        return claims.StoredAnswer(status, headers, bytes(kept))

    def _end_not_run(self, run: _Run, reason: messages.Reason) -> None:
        """Says that an accepted attempt has not run, on whichever link there is."""
        attempt = run.dispatch.attempt
        self._attempts.end(attempt, has_run=False)
        for peer in self._peers:
            if attempt in peer.attempts:
                peer.link.send(messages.NotRun(attempt, reason, 0))
        self._forget_answer(attempt)

    def _end_broken(self, run: _Run, reason: messages.Reason) -> None:
        """Ends an answer that is not whole."""
        if not run.sent and not run.answer.has_head:
            self._end_not_run(run, reason)
            if run.claimed is not None:
                self._record(self._ledger.release(run.claimed))
        elif not run.answer.is_ended:
            run.answer.end(messages.Outcome.UNKNOWN, reason)
            if reason is messages.Reason.UPSTREAM_FAILED:
                self._pause()

    def _finish(self, run: _Run) -> None:
        attempt = run.dispatch.attempt
        run.meter.close()
        self.served_cost += run.meter.cost
        self._metrics.count(metrics.Metric.COST_SERVED, round(run.meter.cost))
        self.slots.release()
        if self._attempts.state_of(attempt) is attempts.State.RUNNING:
            self._attempts.end(attempt)
        self._task_by_attempt.pop(attempt, None)
        self._repeatable.discard(attempt)
        if run.answer.is_delivered:
            self._forget_answer(attempt)
        self._note_idle()
        self._grant_free_slots()

    def _take_ack(self, attempt: ids.AttemptId, through: int) -> None:
        answer = self._answer_by_attempt.get(attempt)
        if answer is None:
            return
        answer.acknowledge(through)
        if answer.is_delivered:
            self._forget_answer(attempt)

    def _forget_answer(self, attempt: ids.AttemptId) -> None:
        self._answer_by_attempt.pop(attempt, None)
        for peer in self._peers:
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
        held = {attempt for peer in self._peers for attempt in peer.attempts}
        for attempt in attempts_left - held:
            if attempt in self._answer_by_attempt:
                self._cancel(attempt)

    def _drop_unresumed(self, peer: router_peer.RouterPeer) -> None:
        """Cancels what a router that came back has not asked for."""
        if peer not in self._peers:
            return
        prefix = f"{peer.link.peer.incarnation}:"
        self._drop_orphans({a for a in self._answer_by_attempt if a.startswith(prefix)})

    def _resume(self, peer, attempt: ids.AttemptId, sequence: int) -> None:
        answer = self._answer_by_attempt.get(attempt)
        if answer is None:
            reason = messages.Reason.NEVER_SEEN
            self._refuse(peer, attempt, reason, sequence=sequence)
            return
        for other in self._peers:
            other.attempts.discard(attempt)
        peer.attempts.add(attempt)
        self._metrics.count(metrics.Metric.ATTEMPTS_RESUMED)
        answer.attach(peer.link.send, sequence)

    def _note_answered(self, status: int) -> None:
        if status == BUSY_STATUS:
            self._pause()
        else:
            self._pause_s = PAUSE_MIN_S

    def _pause(self) -> None:
        """Offers no slots for a while, after the upstream has failed."""
        if time.monotonic() < self._paused_until:
            return
        self._paused_until = time.monotonic() + self._pause_s
        loop = asyncio.get_running_loop()
        loop.call_later(self._pause_s, self._grant_free_slots)
        self._pause_s = min(self._pause_s * 2, PAUSE_MAX_S)


class _NotRunError(errors.RequestError):
    """An accepted attempt turns out not to run."""

    def __init__(self, reason: messages.Reason):
        super().__init__(reason.value)
        self.reason = reason


def _make_order(dispatch, deadline: float) -> upstream.Order:
    return upstream.Order(
        request=dispatch.request,
        method=dispatch.method,
        path=dispatch.path,
        headers=dispatch.headers,
        body=dispatch.body,
        deadline=deadline,
        repeatable=dispatch.repeatable,
    )


def _digest_request(dispatch: messages.Dispatch) -> claims.Digest:
    """Returns a digest of what the request asks for."""
    return claims.digest_parts(
        dispatch.method.encode(), dispatch.path.encode(), dispatch.body
    )


def _loop_time(deadline: float) -> float:
    """Returns a monotonic deadline on the event loop's clock."""
    return asyncio.get_running_loop().time() + deadline - time.monotonic()
