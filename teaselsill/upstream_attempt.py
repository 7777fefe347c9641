"""One attempt to send a caller's request to one upstream."""

import asyncio
import dataclasses

from teaselsill import (
    calls,
    directory,
    entry_metrics,
    event_stream,
    failover,
    fleet_view,
    http_messages,
    ids,
    loop_lag,
    memory_budget,
    open_attempts,
    outcomes,
    permits,
    placement,
    routing_table,
    tcp_stream,
    upstream_connection,
    upstream_health,
    upstream_list,
    upstream_load,
)

CONNECT_TIMEOUT_S = 0.4
MAX_IDLE_S = 10.0
"""Connections that have been idle for longer are not used for a request."""
MAX_IDLE_UNREPEATABLE_S = 1.0
"""The limit for requests that cannot be sent again if the connection is dead."""
MAX_CHECK_DELAY_S = 1.0
"""How often it is checked whether a caller has abandoned its stream."""
FIRST_REDIRECT_STATUS = 300
FIRST_FAILURE_STATUS = 500
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell the caller that its request has not run."""


class Sender:
    """Sends requests to upstreams and their responses to callers.

    Args:
        dialect: Reads and writes the platform's headers.
        upstreams: The directory of upstreams.
        view: The load of the whole fleet, as reported by the routers.
        metrics: Receives the metrics.
        lag: Measures the delay of the event loop.

    Attributes:
        budget: The account that the connections to upstreams belong to.
    """

    def __init__(
        self,
        dialect: calls.Dialect,
        upstreams: directory.Directory,
        view: fleet_view.FleetView,
        metrics: entry_metrics.EntryMetrics,
        lag: loop_lag.LoopLag,
    ):
        self.budget: memory_budget.MemoryBudget | None = None
        self._dialect = dialect
        self._directory = upstreams
        self._view = view
        self._metrics = metrics
        self._lag = lag
        self._open = open_attempts.OpenAttempts(upstreams, view.quarantine, metrics)

    def close(self) -> None:
        """Cancels the background tasks."""
        self._open.close()

    def abort_quarantined(self, part: ids.PartKey) -> None:
        """Aborts attempts; see `OpenAttempts.abort_quarantined`."""
        self._open.abort_quarantined(part)

    async def attempt(
        self,
        state: outcomes.RequestState,
        choice: placement.Choice,
        permit: permits.Permit,
    ) -> outcomes.Outcome:
        """Sends a request to one upstream and relays the response to the caller.

        Args:
            state: The request.
            choice: The upstream.
            permit: The permit to send it there.
        """
        candidate = choice.candidate
        target = candidate.upstream
        state.excluded.add(target.id)
        with permit:
            await state.response.confirm_send(target.id)
            try:
                connection = await self._connect(state, target)
            except tcp_stream.ConnectionFailedError as error:
                candidate.health.note(upstream_health.Result.UNREACHABLE, self._now())
                return outcomes.Unsent(str(error))
            if self._directory.evacuations.is_evacuated(target.data_centre):
                self._directory.pool(target).put(connection)
                return outcomes.Unsent("its data centre is being evacuated")
            if not permit.use():
                self._directory.pool(target).put(connection)
                state.excluded.discard(target.id)
                return outcomes.Unsent("the permit to send has run out")
        return await self._exchange(state, choice, connection)

    async def _exchange(
        self,
        state: outcomes.RequestState,
        choice: placement.Choice,
        connection: upstream_connection.UpstreamConnection,
    ) -> outcomes.Outcome:
        """Sends a request on a connection and relays the response to the caller."""
        candidate = choice.candidate
        now = self._now()
        attempt = self._begin(state, choice, connection, now)
        outcome = None
        is_lost = False
        watchdog = asyncio.create_task(
            self._watch_progress(state, candidate, attempt.in_flight, connection)
        )
        try:
            self._send(state, choice, connection, now)
            outcome = await self._relay_response(attempt)
        except upstream_connection.ResponseFailedError as error:
            outcome = outcomes.Failed(str(error))
            is_lost = isinstance(error, upstream_connection.ConnectionLostError)
        except event_stream.EventTooLargeError as error:
            connection.abort()
            outcome = outcomes.Failed(str(error))
        finally:
            watchdog.cancel()
            self._open.discard(attempt)
            if outcome is None:
                connection.abort()
                self._note_cancelled(state, candidate, attempt.in_flight)
            self._note_ended(attempt)
        if isinstance(outcome, outcomes.Failed):
            attempt.log_failure(outcome.reason, self._now())
        self._note_outcome(attempt, outcome)
        self._directory.pool(candidate.upstream).put(connection)
        if is_lost and await self._open.has_crashed_upstream(attempt, self._now()):
            state.crashes += 1
        return outcome

    def _begin(
        self, state, choice: placement.Choice, connection, now: float
    ) -> open_attempts.Attempt:
        """Records a request that is about to be sent."""
        candidate = choice.candidate
        state.line.upstreams.append(candidate.upstream.id)
        state.sends += 1
        state.possible_runs += 1
        in_flight = upstream_load.InFlightRequest(choice.prefill_tokens, sent_at=now)
        number = candidate.load.add(in_flight)
        if state.call.parts:
            self._view.note_sent(
                state.account, state.call, candidate, choice.prefill_tokens
            )
        attempt = open_attempts.Attempt(state, candidate, number, in_flight, connection)
        self._open.add(attempt)
        return attempt

    def _note_outcome(
        self, attempt: open_attempts.Attempt, outcome: outcomes.Outcome
    ) -> None:
        match outcome:
            case outcomes.NotRun():
                attempt.state.possible_runs -= 1
                result = upstream_health.Result.FAILED
            case outcomes.Failed():
                attempt.state.events.drop_partial_event()
                in_flight = attempt.in_flight
                if in_flight.has_met_silence or in_flight.is_abandoned:
                    return
                result = upstream_health.Result.FAILED
            case outcomes.Delivered(status=status) if status >= FIRST_FAILURE_STATUS:
                result = upstream_health.Result.FAILED
            case _:
                result = upstream_health.Result.ANSWERED
        attempt.candidate.health.note(result, self._now())

    def _note_ended(self, attempt: open_attempts.Attempt) -> None:
        now = self._now()
        candidate = attempt.candidate
        in_flight = candidate.load.remove(attempt.number, now)
        if in_flight.started_at is not None:
            held_s = now - in_flight.started_at
            candidate.hold_time.note(held_s, candidate.speed.find_slowdown(now))
        self._view.note_ended(candidate)

    def _note_cancelled(self, state, candidate, in_flight) -> None:
        """Records an attempt that was cancelled.

        It was cancelled at its deadline, or earlier because the caller disconnected.
        """
        now = self._now()
        last_at = in_flight.progressed_at or in_flight.started_at or in_flight.sent_at
        state.line.quiet_ms = round(1000 * (now - last_at), 1)
        is_past_deadline = now >= state.deadline
        if is_past_deadline and failover.is_upstream_at_fault(
            state.route, candidate.load, in_flight, now
        ):
            candidate.health.note(upstream_health.Result.FAILED, now)

    async def _connect(
        self, state: outcomes.RequestState, target: upstream_list.Upstream
    ) -> upstream_connection.UpstreamConnection:
        is_unrepeatable = state.route.repeat is routing_table.Repeat.NEVER
        max_idle_s = MAX_IDLE_UNREPEATABLE_S if is_unrepeatable else MAX_IDLE_S
        pooled = self._directory.pool(target).take(self._now(), max_idle_s)
        if pooled is not None:
            return pooled
        return await upstream_connection.open_connection(
            target.host, target.port, CONNECT_TIMEOUT_S, self.budget
        )

    def _send(
        self, state: outcomes.RequestState, choice, connection, now: float
    ) -> None:
        call = state.call
        message = call.message
        last_event_id = state.events.last_event_id
        fetch_from = choice.fetch_from
        if fetch_from and not self._may_copy_from(fetch_from):
            fetch_from = None
        headers = self._dialect.make_headers(
            call,
            choice.candidate.upstream,
            state.account,
            state.find_time_left_s(now),
            last_event_id,
            fetch_from,
        )
        request = http_messages.encode_request(
            message.method, message.target, headers, message.body
        )

        def is_expected(head: http_messages.Head) -> bool:
            state.metadata = self._dialect.read_response(head)
            return state.metadata.request in (None, call.id)

        connection.send(message.method, request, is_expected)

    def _may_copy_from(self, source: upstream_list.Upstream) -> bool:
        """Returns whether an upstream may still be asked for a cached prompt."""
        return not self._directory.evacuations.is_evacuated(source.data_centre)

    async def _relay_response(self, attempt: open_attempts.Attempt) -> outcomes.Outcome:
        """Relays a response to the caller, part by part.

        Raises:
            ResponseFailedError: The response is incomplete or malformed.
            EventTooLargeError: An event of the response is larger than allowed.
        """
        state, candidate = attempt.state, attempt.candidate
        connection = attempt.connection
        is_event_stream = False
        while True:
            parts = await connection.receive()
            candidate.load.last_received_at = self._now()
            for part in parts:
                match part:
                    case http_messages.Head():
                        failure = await self._handle_head(attempt, part)
                        if failure is not None:
                            _abort_if_incomplete(parts, connection)
                            return failure
                        attempt.in_flight.head_at = self._now()
                        is_event_stream = part.is_event_stream
                    case http_messages.Data(data=data):
                        if is_event_stream:
                            attempt.boundary.feed(data)
                        await self._relay_body(attempt, data)
                        self._open.note_progress(attempt, self._now())
                    case http_messages.End():
                        if attempt.boundary.is_inside:
                            return outcomes.Failed("the stream ended inside an event")
                        await state.response.write(state.events.take_partial_event())
                        await state.response.end()
                        if state.response.status < FIRST_REDIRECT_STATUS:
                            self._open.note_survival(attempt)
                        return outcomes.Delivered(state.response.status)

    async def _watch_progress(self, state, candidate, in_flight, connection) -> None:
        """Aborts an attempt that is not worth waiting for any more.

        Its caller has abandoned it, or the request should go to another upstream.
        """
        while state.is_repeatable or state.has_patience_limit:
            await asyncio.sleep(self._find_check_delay_s(state, candidate))
            if state.find_patience_left_s(self._now()) <= 0:
                in_flight.is_abandoned = True
                connection.abort("its caller has abandoned the stream")
                return
            if state.is_repeatable and self._should_fail_over(
                state, candidate, in_flight
            ):
                in_flight.has_met_silence = failover.is_merely_silent(
                    candidate.load, self._now()
                )
                connection.abort("the upstream is silent or slow")
                return

    def _find_check_delay_s(self, state, candidate) -> float:
        now = self._now()
        delay_s = min(MAX_CHECK_DELAY_S, max(0.0, state.find_patience_left_s(now)))
        if state.is_repeatable:
            delay_s = min(delay_s, failover.find_check_delay_s(candidate.load, now))
        return delay_s

    def _should_fail_over(
        self, state: outcomes.RequestState, candidate, in_flight
    ) -> bool:
        """Returns whether a request should now be sent to another upstream."""
        if state.possible_runs >= state.route.max_upstreams:
            return False
        now = self._now()
        return failover.should_fail_over(
            state.route,
            candidate.load,
            in_flight,
            state.find_time_left_s(now),
            now,
            self._lag.find_uninterrupted_s(now),
        )

    async def _handle_head(
        self, attempt: open_attempts.Attempt, head: http_messages.Head
    ) -> outcomes.Outcome | None:
        """Starts the response to the caller.

        Returns:
            The outcome of the attempt if its response is not relayed, or None.
        """
        state, candidate = attempt.state, attempt.candidate
        metadata = state.metadata
        if metadata.idle_timeout_s is not None:
            attempt.connection.idle_timeout_s = metadata.idle_timeout_s
        self._note_load(candidate, metadata)
        if metadata.announcement is not None:
            self._view.note_announcement(
                candidate, metadata.announcement, attempt.in_flight.sent_at
            )
        if metadata.request is None:
            # It may be a copy of the response to an earlier request.
            attempt.connection.abort()
            return outcomes.Failed("the response does not name its request")
        if metadata.is_wrong_instance:
            self._directory.note_address_reused(candidate.upstream)
            return outcomes.NotRun("another instance has the address")
        if metadata.has_not_run:
            return outcomes.NotRun(f"refused with {head.status}")
        is_success = head.status < FIRST_FAILURE_STATUS
        if head.status in NOT_RUN_STATUSES:
            return outcomes.Failed(f"status {head.status}, though it may have run")
        if head.status < FIRST_REDIRECT_STATUS and not metadata.is_sealed:
            return outcomes.Failed("the response has no proof of its origin")
        if state.has_response_started:
            return _check_continuation(state, head)
        if not is_success and state.may_run_elsewhere:
            return outcomes.Failed(f"status {head.status}")
        has_body = head.framing is not http_messages.Framing.NONE
        is_resumable = state.route.repeat is routing_table.Repeat.RESUME
        if has_body and (head.is_event_stream or is_resumable):
            head = dataclasses.replace(head, framing=http_messages.Framing.CHUNKED)
        state.is_event_stream = head.is_event_stream
        await state.response.start(head)
        took_s = self._now() - state.call.received_at
        state.line.first_ms = round(1000 * took_s, 1)
        self._metrics.first_byte_s.labels(state.route.name).observe(took_s)
        return None

    def _note_load(self, candidate, metadata: calls.ResponseMetadata) -> None:
        """Records what a response states about the load of its upstream."""
        if metadata.is_load_malformed:
            service = candidate.upstream.service
            self._metrics.malformed_loads.labels(service).inc()
        if metadata.running is not None:
            total = metadata.running + (metadata.waiting or 0)
            candidate.load.note_report(total, self._now())
        if metadata.slowdown is not None:
            self._view.note_slowdown(candidate, metadata.slowdown)

    async def _relay_body(self, attempt: open_attempts.Attempt, data: bytes) -> None:
        state, candidate = attempt.state, attempt.candidate
        in_flight = candidate.load.start(attempt.number, self._now())
        if in_flight is not None:
            self._view.note_response_started(candidate, in_flight.prefill_tokens)
        if state.can_be_resumed:
            data = state.events.feed(data)
        if not data:
            return
        candidate.load.note_progress(attempt.number, self._now())
        state.is_writing = True
        try:
            await state.response.write(data)
        finally:
            state.is_writing = False

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _check_continuation(
    state: outcomes.RequestState, head: http_messages.Head
) -> outcomes.Failed | None:
    """Returns why a response cannot go on with a stream; None if it can."""
    if head.status != state.response.status:
        return outcomes.Failed(f"status {head.status}")
    if not head.is_event_stream:
        return outcomes.Failed("the response is no stream of events")
    return None


def _abort_if_incomplete(parts, connection) -> None:
    """Aborts a connection unless the rejected response was received completely."""
    if not any(isinstance(part, http_messages.End) for part in parts):
        connection.abort()
