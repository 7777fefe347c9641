"""One try of a caller's request at one upstream."""

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
    loop_lag,
    outcomes,
    placement,
    routing_table,
    tcp_stream,
    upstream_connection,
    upstream_health,
    upstream_list,
    upstream_load,
)

CONNECT_TIMEOUT_S = 0.4
CHECK_S = 0.2
"""How often a request that may be repeated is checked for a silent upstream."""
MAX_IDLE_S = 10.0
"""A connection that was idle for longer is not used for a request."""
MAX_IDLE_UNREPEATABLE_S = 1.0
"""The same for a request that cannot be sent again if the connection turns out dead."""
FIRST_REDIRECT_STATUS = 300
FIRST_FAILURE_STATUS = 500
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run."""


class Sender:
    """Sends requests to upstreams and their answers to callers.

    Args:
        dialect: Reads and writes the headers.
        known: The upstreams.
        view: What is known of the work of all routers.
        sink: Takes the metrics.
        lag: Tells whether the process has stood still.
    """

    def __init__(
        self,
        dialect: calls.Dialect,
        known: directory.Directory,
        view: fleet_view.FleetView,
        sink: entry_metrics.EntryMetrics,
        lag: loop_lag.LoopLag,
    ):
        self._dialect = dialect
        self._directory = known
        self._view = view
        self._metrics = sink
        self._lag = lag

    async def attempt(
        self, forwarding: outcomes.RequestState, choice: placement.Choice
    ) -> outcomes.Outcome:
        """Sends a request to one upstream and its answer to the caller."""
        candidate = choice.candidate
        target = candidate.upstream
        forwarding.excluded.add(target.id)
        try:
            connection = await self._connect(forwarding, target)
        except tcp_stream.ConnectionFailedError as error:
            candidate.health.note(upstream_health.Result.UNREACHABLE, self._now())
            return outcomes.Unsent(str(error))
        forwarding.line.upstreams.append(target.id)
        forwarding.sends += 1
        forwarding.possible_runs += 1
        now = self._now()
        work = upstream_load.InFlightRequest(
            unread_tokens=choice.unread_tokens,
            sent_at=now,
        )
        number = candidate.load.add(work)
        if forwarding.call.parts:
            self._view.note_sent(
                forwarding.account, forwarding.call, candidate, choice.unread_tokens
            )
        outcome = None
        watching = asyncio.create_task(
            self._watch(forwarding, candidate, work, connection)
        )
        try:
            self._send(forwarding, choice, connection, now)
            outcome = await self._relay(forwarding, candidate, connection, number)
        except upstream_connection.ResponseFailedError as error:
            outcome = outcomes.Failed(str(error))
        except event_stream.EventTooLargeError as error:
            connection.abort()
            outcome = outcomes.Failed(str(error))
        finally:
            watching.cancel()
            self._note_ended(candidate, candidate.load.remove(number))
            if outcome is None:
                connection.abort()
                self._note_broken_off(forwarding, candidate, work)
        self._note_outcome(forwarding, candidate, outcome)
        self._directory.pool(target).put(connection)
        return outcome

    def _note_outcome(self, forwarding, candidate, outcome: outcomes.Outcome) -> None:
        match outcome:
            case outcomes.NotRun():
                forwarding.possible_runs -= 1
                result = upstream_health.Result.FAILED
            case outcomes.Failed():
                forwarding.events.drop_partial_event()
                result = upstream_health.Result.FAILED
            case outcomes.Delivered(status=status) if status >= FIRST_FAILURE_STATUS:
                result = upstream_health.Result.FAILED
            case _:
                result = upstream_health.Result.ANSWERED
        candidate.health.note(result, self._now())

    def _note_ended(self, candidate, work: upstream_load.InFlightRequest) -> None:
        if work.started_at is not None:
            candidate.hold_time.note(self._now() - work.started_at)
        self._view.note_ended(candidate)

    def _note_broken_off(self, forwarding, candidate, work) -> None:
        """Takes note of an answer that was broken off at its deadline or before.

        Before the deadline that was because the caller has left.
        """
        now = self._now()
        last_at = work.progressed_at or work.started_at or work.sent_at
        forwarding.line.quiet_ms = round(1000 * (now - last_at), 1)
        is_late = now >= forwarding.deadline
        if is_late and failover.is_upstream_at_fault(forwarding.route, work, now):
            candidate.health.note(upstream_health.Result.FAILED, now)

    async def _connect(
        self, forwarding: outcomes.RequestState, target: upstream_list.Upstream
    ) -> upstream_connection.UpstreamConnection:
        is_once = forwarding.route.repeat is routing_table.Repeat.NEVER
        max_idle_s = MAX_IDLE_UNREPEATABLE_S if is_once else MAX_IDLE_S
        kept = self._directory.pool(target).take(self._now(), max_idle_s)
        if kept is not None:
            return kept
        return await upstream_connection.open_connection(
            target.host, target.port, CONNECT_TIMEOUT_S
        )

    def _send(
        self, forwarding: outcomes.RequestState, choice, connection, now: float
    ) -> None:
        call = forwarding.call
        message = call.message
        last_event = forwarding.events.last_event_id
        headers = self._dialect.make_headers(
            call,
            choice.candidate.upstream,
            forwarding.account,
            forwarding.find_time_left_s(now),
            last_event,
            choice.fetch_from,
        )
        request = http_messages.encode_request(
            message.method, message.target, headers, message.body
        )

        def is_expected(head: http_messages.Head) -> bool:
            forwarding.metadata = self._dialect.read_response(head)
            return forwarding.metadata.request in (None, call.id)

        connection.send(message.method, request, is_expected)

    async def _relay(
        self, forwarding, candidate, connection, number
    ) -> outcomes.Outcome:
        """Passes an answer on, part by part.

        Raises:
            ResponseFailedError: It broke off, or it is not an answer to the request.
        """
        while True:
            parts = await connection.receive()
            candidate.load.last_received_at = self._now()
            for part in parts:
                match part:
                    case http_messages.Head():
                        refused = await self._start(
                            forwarding, candidate, connection, part
                        )
                        if refused is not None:
                            _skip_rest(parts, connection)
                            return refused
                    case http_messages.Data(data=data):
                        await self._pass_on(forwarding, candidate, number, data)
                    case http_messages.End():
                        await forwarding.response.write(
                            forwarding.events.take_partial_event()
                        )
                        await forwarding.response.end()
                        return outcomes.Delivered(forwarding.response.status)

    async def _watch(self, forwarding, candidate, work, connection) -> None:
        """Ends a try once another upstream is better asked."""
        while forwarding.is_repeatable:
            await asyncio.sleep(CHECK_S)
            if self._should_move_on(forwarding, candidate, work):
                connection.abort("the upstream is silent or slow")
                return

    def _should_move_on(
        self, forwarding: outcomes.RequestState, candidate, work
    ) -> bool:
        """Tells whether a request is better sent to another upstream now."""
        if forwarding.possible_runs >= forwarding.route.max_upstreams:
            return False
        now = self._now()
        return failover.should_fail_over(
            forwarding.route,
            candidate.load,
            work,
            now - forwarding.call.received_at,
            now,
            self._lag.find_uninterrupted_s(now),
        )

    async def _start(
        self, forwarding, candidate, connection, head
    ) -> outcomes.Outcome | None:
        """Begins the answer to the caller, or returns why this one is not taken."""
        notes = forwarding.metadata
        if notes.idle_timeout_s is not None:
            connection.idle_timeout_s = notes.idle_timeout_s
        if notes.running is not None:
            total = notes.running + (notes.waiting or 0)
            candidate.load.note_report(total, self._now())
        if notes.is_leaving:
            self._view.note_leaving(candidate.upstream)
        if notes.pause_s is not None:
            candidate.health.pause(self._now(), notes.pause_s)
        if notes.is_wrong_instance:
            self._directory.note_address_reused(candidate.upstream)
            return outcomes.NotRun("another instance has the address")
        if notes.has_not_run:
            return outcomes.NotRun(f"refused with {head.status}")
        is_success = head.status < FIRST_FAILURE_STATUS
        if head.status in NOT_RUN_STATUSES:
            return outcomes.Failed(f"status {head.status}, though it may have run")
        is_proved = notes.is_sealed and notes.request is not None
        if head.status < FIRST_REDIRECT_STATUS and not is_proved:
            return outcomes.Failed("the answer has no proof of its origin")
        if forwarding.has_response_started:
            is_same = head.status == forwarding.response.status
            return None if is_same else outcomes.Failed(f"status {head.status}")
        if not is_success and forwarding.may_run_elsewhere:
            return outcomes.Failed(f"status {head.status}")
        if forwarding.route.repeat is routing_table.Repeat.RESUME:
            head = dataclasses.replace(head, framing=http_messages.Framing.CHUNKED)
        await forwarding.response.start(head)
        took_s = self._now() - forwarding.call.received_at
        forwarding.line.first_ms = round(1000 * took_s, 1)
        self._metrics.first_byte_s.labels(forwarding.route.name).observe(took_s)
        return None

    async def _pass_on(self, forwarding, candidate, number, data: bytes) -> None:
        work = candidate.load.start(number, self._now())
        if work is not None:
            self._view.note_response_started(candidate, work.unread_tokens)
        if forwarding.route.repeat is routing_table.Repeat.RESUME:
            data = forwarding.events.feed(data)
        if data:
            candidate.load.note_progress(number, self._now())
        await forwarding.response.write(data)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _skip_rest(parts, connection) -> None:
    """Keeps a connection whose refused answer has been received as a whole."""
    if not any(isinstance(part, http_messages.End) for part in parts):
        connection.abort()
