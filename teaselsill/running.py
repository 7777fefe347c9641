"""Runs accepted attempts: claims their idempotency keys and calls the upstream."""

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
"""How long a graceful stop waits for the log service."""
BUSY_STATUS = 503
"""The status of an upstream that accepts no more requests for now."""

logger = logging.getLogger(__name__)


class NotRunError(errors.RequestError):
    """An accepted attempt has not run and must not run.

    Attributes:
        reason: The reason reported to the router.
    """

    def __init__(self, reason: messages.Reason):
        super().__init__(reason.value)
        self.reason = reason


@dataclasses.dataclass(slots=True)
class Run:
    """One running attempt.

    Attributes:
        dispatch: The dispatched request.
        response: Sends the response to the router.
        meter: Charges the cost.
        deadline: When the caller stops waiting, in seconds on the monotonic clock.
        claimed: The claim on the idempotency key, or none.
        sent: Whether the upstream may have seen the request.
    """

    dispatch: messages.Dispatch
    response: response_delivery.ResponseSender
    meter: meter.Meter
    deadline: float
    claimed: claims.Claimed | None = None
    sent: bool = False


class Runner:
    """Runs the attempts of one agent.

    Args:
        client: The client of the upstream.
        ledger: Claims the keys of requests that may not be repeated.
        fence: Holds this agent's fencing number.
        scheduler: Grants the slots; paused while the upstream cannot be reached.
        sink: Receives the metrics.
    """

    def __init__(
        self,
        client: upstream.Upstream,
        ledger: claims.Ledger,
        fence: fencing.Fence,
        scheduler: slot_scheduler.SlotScheduler,
        sink: metrics.Metrics,
    ):
        self._client = client
        self._ledger = ledger
        self._fence = fence
        self._scheduler = scheduler
        self._metrics = sink
        self._background_writes: set[asyncio.Task] = set()

    async def run(self, run: Run) -> None:
        """Claims the key of a request that may not be repeated, then sends the request.

        Raises:
            NotRunError: It has not run.
            UpstreamError: It may have run, and the response is incomplete.
        """
        dispatch = run.dispatch
        if dispatch.key and not dispatch.repeatable:
            run.claimed = await self._claim(dispatch, run.response)
            if run.claimed is None:
                return
        self._check_before_send(run)
        try:
            stored = await self._send(run)
        except upstream.UpstreamUnreachableError as error:
            logger.warning("upstream unreachable: %s", error)
            run.sent = False
            await self._release(run)
            self._scheduler.pause()
            raise NotRunError(messages.Reason.UPSTREAM_UNREACHABLE) from error
        except upstream.UpstreamRefusedError as error:
            run.sent = False
            await self._release(run)
            raise NotRunError(messages.Reason.UPSTREAM_FAILED) from error
        self._update_pause(stored.status)
        run.response.end(messages.Outcome.RAN, messages.Reason.NONE)
        if run.claimed is not None:
            self._write_in_background(self._ledger.record_ran(run.claimed, stored))

    def release_soon(self, run: Run) -> None:
        """Releases the key of a request that has not run, in the background."""
        if run.claimed is not None:
            self._write_in_background(self._ledger.release(run.claimed))

    async def flush(self) -> None:
        """Waits a bounded time until the log has all records of runs."""
        await asyncio.gather(*self._background_writes, return_exceptions=True)
        if not await self._ledger.flush(FLUSH_TIMEOUT_S):
            logger.warning("stopping although some records of runs are not in the log")

    async def close(self) -> None:
        """Closes the connections to the upstream and ends the background writes."""
        await self._client.close()
        await self._ledger.close()

    async def _release(self, run: Run) -> None:
        if run.claimed is not None:
            await self._ledger.release(run.claimed)

    def _write_in_background(self, record) -> None:
        task = asyncio.create_task(record)
        self._background_writes.add(task)
        task.add_done_callback(self._background_writes.discard)

    def _update_pause(self, status: int) -> None:
        if status == BUSY_STATUS:
            self._scheduler.pause()
        else:
            self._scheduler.reset_pause()

    def _check_before_send(self, run: Run) -> None:
        """Rechecks the deadline and the fencing number just before sending.

        Either may have expired if the process was interrupted.

        Raises:
            NotRunError: The request must not be sent any more.
        """
        if time.monotonic() >= run.deadline:
            raise NotRunError(messages.Reason.DEADLINE)
        service = self._scheduler.current_service
        is_checked = service.fencing is document.Fencing.CHECKED
        if is_checked and self._fence.number is None and not run.dispatch.repeatable:
            raise NotRunError(messages.Reason.LOG_UNAVAILABLE)

    async def _claim(self, dispatch, response) -> claims.Claimed | None:
        """Claims a key, or responds from an earlier claim of it and returns none."""
        try:
            found = await self._ledger.claim(
                dispatch.account, dispatch.key, _digest_request(dispatch)
            )
        except claims.KeyReusedError:
            response.end(messages.Outcome.NOT_RUN, messages.Reason.KEY_REUSED)
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
                await response.put_head(status, headers)
                await response.put_body(body)
                response.end(messages.Outcome.RAN, messages.Reason.NONE)
            case claims.AlreadyRan():
                response.end(messages.Outcome.RAN, messages.Reason.KEY_RAN)
            case claims.InProgress():
                response.end(messages.Outcome.UNKNOWN, messages.Reason.KEY_IN_PROGRESS)
        self._metrics.count(metrics.Metric.CLAIMS_REPEATED)
        return None

    async def _send(self, run: Run) -> claims.StoredResponse:
        """Sends the request, and charges the busy time if that is the cost."""
        if not self._client.charges_busy_time:
            return await self._relay(run)
        with meter.charge_busy_time(run.meter):
            return await self._relay(run)

    async def _relay(self, run: Run) -> claims.StoredResponse:
        """Sends the request to the upstream and relays its response to the router."""
        status = 0
        headers = []
        stored_body = bytearray()
        run.sent = True
        request = _make_upstream_request(run.dispatch, run.deadline, self._fence.number)
        async for event in self._client.run(request, self._scheduler.current_service):
            match event:
                case upstream.Started(status=status, headers=headers):
                    await run.response.put_head(status, headers)
                case upstream.BodyChunk(data=data, cost=cost):
                    run.meter.add(cost)
                    if len(stored_body) <= claim_records.MAX_STORED_BODY_BYTES:
                        stored_body += data
                    await run.response.put_body(data)
                case upstream.Finished(cost=cost):
                    run.meter.add(cost)
        return claims.StoredResponse(status, headers, bytes(stored_body))


def _make_upstream_request(
    dispatch: messages.Dispatch, deadline: float, fencing_number: ids.Offset | None
) -> upstream.UpstreamRequest:
    return upstream.UpstreamRequest(
        request=dispatch.request,
        method=dispatch.method,
        path=dispatch.path,
        headers=dispatch.headers,
        body=dispatch.body,
        deadline=deadline,
        repeatable=dispatch.repeatable,
        fencing=fencing_number,
    )


def _digest_request(dispatch: messages.Dispatch) -> claim_records.Digest:
    """Returns a digest of the method, the path and the body."""
    return claim_records.digest_parts(
        dispatch.method.encode(), dispatch.path.encode(), dispatch.body
    )
