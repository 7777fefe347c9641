"""Runs one accepted attempt: claims its key if need be, and calls the upstream."""

import asyncio
import dataclasses
import logging
import time

from teaselsill import (
    claim_records,
    claims,
    document,
    errors,
    fencing,
    ids,
    messages,
    meter,
    metrics,
    response_delivery,
    slot_scheduler,
    upstream,
)

FLUSH_TIMEOUT_S = 5.0
"""How long a planned stop waits for the log service."""
BUSY_STATUS = 503
"""What an upstream answers that takes no more requests for now."""

logger = logging.getLogger(__name__)


class NotRunError(errors.RequestError):
    """An accepted attempt has not run and must not.

    Attributes:
        reason: Why.
    """

    def __init__(self, reason: messages.Reason):
        super().__init__(reason.value)
        self.reason = reason


@dataclasses.dataclass(slots=True)
class Run:
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
    answer: response_delivery.ResponseSender
    meter: meter.Meter
    deadline: float
    claimed: claims.Claimed | None = None
    sent: bool = False


class Runner:
    """Runs the attempts of one agent.

    Args:
        client: Speaks to the upstream.
        ledger: Claims the requests that may not be repeated.
        fence: Has this agent's fencing number.
        grants: The slots; they pause while the upstream cannot be reached.
        sink: Takes the metrics.
    """

    def __init__(
        self,
        client: upstream.Upstream,
        ledger: claims.Ledger,
        fence: fencing.Fence,
        grants: slot_scheduler.SlotScheduler,
        sink: metrics.Metrics,
    ):
        self._client = client
        self._ledger = ledger
        self._fence = fence
        self._grants = grants
        self._metrics = sink
        self._writing: set[asyncio.Task] = set()

    async def run(self, run: Run) -> None:
        """Claims the request if it may not be repeated, then sends it.

        Raises:
            NotRunError: It has not run.
            UpstreamError: It may have run; the answer is not whole.
        """
        dispatch = run.dispatch
        if dispatch.key and not dispatch.repeatable:
            run.claimed = await self._claim(dispatch, run.answer)
            if run.claimed is None:
                return
        self._check_before_send(run)
        try:
            stored = await self._send(run)
        except upstream.UpstreamUnreachableError as error:
            logger.warning("upstream unreachable: %s", error)
            run.sent = False
            await self._release(run)
            self._grants.pause()
            raise NotRunError(messages.Reason.UPSTREAM_UNREACHABLE) from error
        except upstream.UpstreamRefusedError as error:
            run.sent = False
            await self._release(run)
            raise NotRunError(messages.Reason.UPSTREAM_FAILED) from error
        self._note_answered(stored.status)
        run.answer.end(messages.Outcome.RAN, messages.Reason.NONE)
        if run.claimed is not None:
            self._write_soon(self._ledger.record_ran(run.claimed, stored))

    def release_soon(self, run: Run) -> None:
        """Frees the key of a request that has not run; nobody waits for it."""
        if run.claimed is not None:
            self._write_soon(self._ledger.release(run.claimed))

    async def flush(self) -> None:
        """Waits, for a bounded time, until the log has every record of a run."""
        await asyncio.gather(*self._writing, return_exceptions=True)
        if not await self._ledger.flush(FLUSH_TIMEOUT_S):
            logger.warning("the log has not taken every record of a run")

    async def close(self) -> None:
        """Closes the connections to the upstream and ends the background writes."""
        await self._client.close()
        await self._ledger.close()

    async def _release(self, run: Run) -> None:
        if run.claimed is not None:
            await self._ledger.release(run.claimed)

    def _write_soon(self, writing) -> None:
        task = asyncio.create_task(writing)
        self._writing.add(task)
        task.add_done_callback(self._writing.discard)

    def _note_answered(self, status: int) -> None:
        if status == BUSY_STATUS:
            self._grants.pause()
        else:
            self._grants.reset_pause()

    def _check_before_send(self, run: Run) -> None:
        """Checks what may have changed while this process did not run.

        Raises:
            NotRunError: The request must not be sent any more.
        """
        if time.monotonic() >= run.deadline:
            raise NotRunError(messages.Reason.DEADLINE)
        service = self._grants.current_service
        is_checked = service.fencing is document.Fencing.CHECKED
        if is_checked and self._fence.number is None and not run.dispatch.repeatable:
            raise NotRunError(messages.Reason.LOG_UNAVAILABLE)

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
            raise NotRunError(messages.Reason.LOG_UNAVAILABLE) from error
        match found:
            case claims.Claimed():
                return found
            case claims.AlreadyRan(
                response=claims.StoredResponse(status, headers, bytes(body))
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

    async def _send(self, run: Run) -> claims.StoredResponse:
        """Sends the order to the upstream, and charges what it costs meanwhile."""
        if not self._client.charges_busy_time:
            return await self._relay(run)
        with meter.charge_busy_time(run.meter):
            return await self._relay(run)

    async def _relay(self, run: Run) -> claims.StoredResponse:
        """Sends the order to the upstream and its answer to the router."""
        status = 0
        headers = []
        kept = bytearray()
        run.sent = True
        order = _make_order(run.dispatch, run.deadline, self._fence.number)
        async for event in self._client.run(order, self._grants.current_service):
            match event:
                case upstream.Started(status=status, headers=headers):
                    await run.answer.put_head(status, headers)
                case upstream.BodyChunk(data=data, cost=cost):
                    run.meter.add(cost)
                    if len(kept) <= claim_records.MAX_STORED_BODY_BYTES:
                        kept += data
                    await run.answer.put_body(data)
                case upstream.Finished(cost=cost):
                    run.meter.add(cost)
        return claims.StoredResponse(status, headers, bytes(kept))


def _make_order(
    dispatch: messages.Dispatch, deadline: float, number: ids.Offset | None
) -> upstream.UpstreamRequest:
    return upstream.UpstreamRequest(
        request=dispatch.request,
        method=dispatch.method,
        path=dispatch.path,
        headers=dispatch.headers,
        body=dispatch.body,
        deadline=deadline,
        repeatable=dispatch.repeatable,
        fencing=number,
    )


def _digest_request(dispatch: messages.Dispatch) -> claim_records.Digest:
    """Returns a digest of what the request asks for."""
    return claim_records.digest_parts(
        dispatch.method.encode(), dispatch.path.encode(), dispatch.body
    )
