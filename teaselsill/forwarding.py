"""Forwards a caller's request to an upstream, and to another one where that is safe."""

import asyncio
import dataclasses
import enum
import logging

from teaselsill import (
    admission,
    caller_connection,
    calls,
    directory,
    entry_metrics,
    event_stream,
    fleet_view,
    http_messages,
    ids,
    placement,
    rejections,
    retry_budget,
    routing_table,
    tcp_stream,
    upstream_connection,
    upstream_health,
    upstream_list,
    upstream_load,
)

CONNECT_TIMEOUT_S = 0.4
MAX_CONNECT_TRIES = 4
"""How many upstreams are tried that cannot be reached."""
CHECK_S = 0.2
"""How often a request that may be repeated is checked for a silent upstream."""
MAX_IDLE_S = 3.0
"""A connection that was idle for longer is not used for a request."""
MAX_IDLE_UNREPEATABLE_S = 0.5
"""The same for a request that cannot be sent again if the connection turns out dead."""
SLOW_RATIO = 2.5
"""A repeatable call is tried elsewhere after so many times its objective."""
MIN_SLOW_S = 0.3
RETRY_AFTER_S = 1.0
RETRY_AFTER_START_S = 0.5
"""What is told to callers while the router has no configuration."""
LEAST_USEFUL_S = 0.02
"""With less time left, a request is not sent any more."""
FIRST_REDIRECT_STATUS = 300
FIRST_FAILURE_STATUS = 500
PROMISE_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The caller has the whole answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unsent:
    """The upstream could not be reached: it has not seen the request."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream has refused the request and states that it has not run."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """There is no whole answer; the request may have run."""

    reason: str


Outcome = Delivered | Unsent | NotRun | Failed


class Ending(enum.Enum):
    """How a request ended, for the log."""

    DELIVERED = "delivered"
    REJECTED = "rejected"
    BROKEN = "broken"
    CALLER_GONE = "caller-gone"


@dataclasses.dataclass(slots=True)
class Forwarding:
    """A request under way.

    Attributes:
        call: The request.
        route: Its route.
        service: The service that it goes to.
        account: The client account; none for a public route.
        answer: The answer to the caller.
        deadline: When it must have its answer, on the event loop's clock, in seconds.
        events: Cuts the answer into events if it can be resumed.
        excluded: The upstreams that do not get it any more.
        sends: How many times it was sent.
        possible_runs: How many upstreams may have run it.
        tried: The upstreams that it was sent to, for the log.
    """

    call: calls.Call
    route: routing_table.Route
    service: routing_table.Service
    account: ids.AccountId | None
    answer: caller_connection.CallerAnswer
    deadline: float
    events: event_stream.EventCutter
    excluded: set[ids.UpstreamId] = dataclasses.field(default_factory=set)
    sends: int = 0
    possible_runs: int = 0
    tried: list[str] = dataclasses.field(default_factory=list)

    @property
    def has_begun(self) -> bool:
        """Whether the caller has got a part of an answer."""
        return self.answer.progress is not caller_connection.Progress.NOTHING


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetPolicy:
    """The fleet's bound on requests that are sent more than once.

    Attributes:
        ratio: How many sends beyond the first are allowed for each request.
        window_s: The length of the sliding window, in seconds.
        floor: How many one router may send however few requests there are.
    """

    ratio: float
    window_s: float
    floor: float


class Forwarder:
    """Forwards the requests of one router.

    Args:
        dialect: Reads and writes the headers.
        known: The upstreams.
        data_centre: Where the router runs.
        budget: Bounds the retries.
        view: What is known of the work of all routers.
        admitting: Decides which requests are sent and which are rejected.
        sink: Takes the metrics.

    Attributes:
        table: The configuration in force, or none.
        underway: How many requests are being answered.
        is_stopping: Whether requests that come now are rejected.
    """

    def __init__(
        self,
        dialect: calls.Dialect,
        known: directory.Directory,
        data_centre: ids.DataCentre,
        budget: BudgetPolicy,
        view: fleet_view.FleetView,
        admitting: admission.Admission,
        sink: entry_metrics.EntryMetrics,
    ):
        self.table: routing_table.RoutingTable | None = None
        self.underway = 0
        self.is_stopping = False
        self._dialect = dialect
        self._directory = known
        self._data_centre = data_centre
        self._budget = budget
        self._view = view
        self._admission = admitting
        self._metrics = sink
        self._budget_by_service: dict[ids.ServiceName, retry_budget.RetryBudget] = {}

    def follow(self, table: routing_table.RoutingTable) -> None:
        """Puts a configuration into force."""
        self.table = table
        self._directory.service_by_name = table.service_by_name

    async def serve(
        self, message: http_messages.Request, answer: caller_connection.CallerAnswer
    ) -> None:
        """Answers one request of a caller."""
        received_at = self._now()
        self.underway += 1
        line = {"ending": Ending.CALLER_GONE.value}
        call = None
        try:
            call = self._dialect.read_call(message, received_at)
            line["request"] = call.id
            await self._forward(call, answer, line)
            line["ending"] = Ending.DELIVERED.value
        except calls.BadCallError as error:
            fault = rejections.RejectedError(rejections.Cause.BAD_REQUEST, str(error))
            await self._reject(fault, call, answer, line)
        except rejections.RejectedError as error:
            await self._reject(error, call, answer, line)
        except Exception as error:
            logger.exception("request failed", extra=line)
            fault = rejections.RejectedError(rejections.Cause.INTERNAL, str(error))
            await self._reject(fault, call, answer, line)
        finally:
            self.underway -= 1
            line["status"] = answer.status
            line["took_ms"] = round(1000 * (self._now() - received_at), 1)
            logger.info("request", extra=line)
            self._count(line, self._now() - received_at)

    def _count(self, line: dict, took_s: float) -> None:
        cause = line.get("cause", "")
        self._metrics.requests.labels(line["ending"], cause).inc()
        self._metrics.request_s.labels(line.get("route", "")).observe(took_s)
        if line["ending"] == Ending.REJECTED.value:
            self._metrics.rejections.labels(line.get("account") or "", cause).inc()

    async def _reject(self, error, call, answer, line) -> None:
        has_begun = answer.progress is not caller_connection.Progress.NOTHING
        line["ending"] = (Ending.BROKEN if has_begun else Ending.REJECTED).value
        line["cause"] = error.cause.label
        line["reason"] = str(error)
        headers = self._dialect.make_refusal_headers(call, error.retry_after_s)
        await answer.refuse(error.cause.status, headers)

    async def _forward(self, call, answer, line) -> None:
        """Finds out what is to be done with a request and has it done.

        Raises:
            RejectedError: The caller gets an answer of the router's own.
        """
        if self.is_stopping:
            raise rejections.RejectedError(
                rejections.Cause.STOPPING, "the router is stopping", 0.0
            )
        table = self.table
        if table is None:
            raise rejections.RejectedError(
                rejections.Cause.NOT_CONFIGURED,
                "no configuration yet",
                RETRY_AFTER_START_S,
            )
        route = self._find_route(table, call)
        account = self._find_account(table, route, call)
        service = table.service_by_name[route.choose_service(call.id)]
        self._budget_of(service.name).note_request(call.received_at)
        self._view.note_asked(account, call)
        line.update(route=route.name, account=account, version=table.version)
        forwarding = Forwarding(
            call=call,
            route=route,
            service=service,
            account=account,
            answer=answer,
            deadline=call.received_at + calls.find_limit_s(call, route),
            events=event_stream.EventCutter(call.last_event),
        )
        line["upstreams"] = forwarding.tried
        try:
            async with asyncio.timeout_at(forwarding.deadline):
                await self._try_upstreams(forwarding)
        except TimeoutError as error:
            is_unsent = not forwarding.possible_runs
            cause = (
                rejections.Cause.TIMEOUT_UNSENT
                if is_unsent
                else rejections.Cause.TIMEOUT
            )
            wait_s = RETRY_AFTER_S if is_unsent else None
            raise rejections.RejectedError(cause, "time is up", wait_s) from error

    def _find_route(self, table, call) -> routing_table.Route:
        host = call.message.get("host") or ""
        route = table.find_route(host, call.message.path)
        if route is None:
            raise rejections.RejectedError(
                rejections.Cause.NO_ROUTE, f"{host}{call.message.path}"
            )
        return route

    def _find_account(self, table, route, call) -> ids.AccountId | None:
        if route.is_public or not table.needs_keys:
            return None
        account = table.account_by_key.get(call.key) if call.key else None
        if account is None:
            raise rejections.RejectedError(
                rejections.Cause.UNKNOWN_KEY, "the key belongs to no client account"
            )
        return account

    async def _try_upstreams(self, forwarding: Forwarding) -> None:
        """Sends a request until it is answered or nothing more may be tried.

        Raises:
            RejectedError: It ends without an upstream's whole answer.
        """
        unreachable = 0
        while True:
            choice = self._choose(forwarding)
            outcome = await self._attempt(forwarding, choice)
            match outcome:
                case Delivered():
                    return
                case Unsent(reason=reason):
                    unreachable += 1
                    if unreachable >= MAX_CONNECT_TRIES:
                        self._give_up(forwarding, rejections.Cause.NO_UPSTREAM, reason)
                case NotRun(reason=reason):
                    if not self._may_send_again(forwarding):
                        self._give_up(forwarding, rejections.Cause.NOT_TAKEN, reason)
                case Failed(reason=reason):
                    if not self._may_run_again(forwarding):
                        self._give_up(
                            forwarding, rejections.Cause.ANSWER_FAILED, reason
                        )
            self._metrics.retries.labels(
                forwarding.service.name, type(outcome).__name__
            ).inc()
            logger.info(
                "trying another upstream",
                extra={
                    "request": forwarding.call.id,
                    "tried": forwarding.tried,
                    "outcome": type(outcome).__name__,
                    "reason": reason,
                },
            )

    def _choose(self, forwarding: Forwarding) -> placement.Choice:
        now = self._now()
        candidates = self._directory.candidates(forwarding.service, forwarding.excluded)
        choice = placement.choose(forwarding.call, candidates, self._data_centre, now)
        if choice is None:
            self._give_up(
                forwarding, rejections.Cause.NO_UPSTREAM, "no upstream is left"
            )
        if forwarding.deadline - now < LEAST_USEFUL_S:
            raise TimeoutError
        if forwarding.call.parts:
            wait_s = choice.candidate.queue.predict_wait_s(now)
            self._metrics.predicted_wait_s.observe(wait_s)
        self._admission.check(
            forwarding.call,
            forwarding.route,
            forwarding.account,
            choice,
            now,
        )
        return choice

    def _give_up(self, forwarding: Forwarding, cause, reason: str) -> None:
        """Ends a request with what is true of all that was tried.

        Raises:
            RejectedError: Always.
        """
        if forwarding.possible_runs:
            raise rejections.RejectedError(rejections.Cause.ANSWER_FAILED, reason)
        wait_s = RETRY_AFTER_S if cause.status in PROMISE_STATUSES else None
        raise rejections.RejectedError(cause, reason, wait_s)

    def _may_send_again(self, forwarding: Forwarding) -> bool:
        """Spends a retry on a request that has not run."""
        return self._spend_retry(forwarding, "not run")

    def _may_run_again(self, forwarding: Forwarding) -> bool:
        """Spends a retry on a request that may have run, if it may run again."""
        if not self._is_repeatable(forwarding):
            return False
        if forwarding.possible_runs >= forwarding.route.max_upstreams:
            return False
        return self._spend_retry(forwarding, "failed")

    def _is_repeatable(self, forwarding: Forwarding) -> bool:
        match forwarding.route.repeat:
            case routing_table.Repeat.FREELY:
                return not forwarding.has_begun
            case routing_table.Repeat.RESUME:
                return True
        return False

    def _spend_retry(self, forwarding: Forwarding, why: str) -> bool:
        budget = self._budget_of(forwarding.service.name)
        if budget.spend(self._now()):
            return True
        logger.info(
            "retry budget is spent",
            extra={"service": forwarding.service.name, "why": why},
        )
        return False

    async def _attempt(
        self, forwarding: Forwarding, choice: placement.Choice
    ) -> Outcome:
        """Sends a request to one upstream and its answer to the caller."""
        candidate = choice.candidate
        target = candidate.upstream
        forwarding.excluded.add(target.id)
        try:
            connection = await self._connect(forwarding, target)
        except tcp_stream.ConnectionFailedError as error:
            candidate.health.note(upstream_health.Result.UNREACHABLE, self._now())
            return Unsent(str(error))
        forwarding.tried.append(target.id)
        forwarding.sends += 1
        forwarding.possible_runs += 1
        now = self._now()
        work = upstream_load.Work(
            unread_tokens=choice.unread_tokens,
            sent_at=now,
        )
        number = candidate.load.add(work)
        if forwarding.call.parts:
            self._view.note_sent(
                forwarding.account, forwarding.call, candidate, choice.unread_tokens
            )
        outcome = None
        try:
            self._send(forwarding, choice, connection, now)
            outcome = await self._relay(forwarding, candidate, connection, number)
        except upstream_connection.AnswerFailedError as error:
            outcome = Failed(str(error))
        finally:
            candidate.load.remove(number)
            self._view.note_ended(candidate)
            if outcome is None:
                connection.abort()
        self._note_outcome(forwarding, candidate, outcome)
        self._directory.pool(target).put(connection)
        return outcome

    def _note_outcome(self, forwarding, candidate, outcome: Outcome) -> None:
        match outcome:
            case NotRun():
                forwarding.possible_runs -= 1
                result = upstream_health.Result.FAILED
            case Failed():
                forwarding.events.drop_rest()
                result = upstream_health.Result.FAILED
            case _:
                result = upstream_health.Result.ANSWERED
        candidate.health.note(result, self._now())

    async def _connect(
        self, forwarding: Forwarding, target: upstream_list.Upstream
    ) -> upstream_connection.UpstreamConnection:
        is_once = forwarding.route.repeat is routing_table.Repeat.NEVER
        max_idle_s = MAX_IDLE_UNREPEATABLE_S if is_once else MAX_IDLE_S
        kept = self._directory.pool(target).take(self._now(), max_idle_s)
        if kept is not None:
            return kept
        return await upstream_connection.open_connection(
            target.host, target.port, CONNECT_TIMEOUT_S
        )

    def _send(self, forwarding: Forwarding, choice, connection, now: float) -> None:
        call = forwarding.call
        message = call.message
        last_event = forwarding.events.last_event
        headers = self._dialect.make_headers(
            call,
            choice.candidate.upstream,
            forwarding.account,
            forwarding.deadline - now,
            last_event,
            choice.fetch_from,
        )
        request = http_messages.encode_request(
            message.method, message.target, headers, message.body
        )
        connection.send(message.method, request, self._expects(call))

    def _expects(self, call: calls.Call):
        def is_expected(head: http_messages.Head) -> bool:
            named = self._dialect.read_answer(head).request
            return named is None or named == call.id

        return is_expected

    async def _relay(self, forwarding, candidate, connection, number) -> Outcome:
        """Passes an answer on, part by part.

        Raises:
            AnswerFailedError: It broke off, or it is not an answer to the request.
        """
        while True:
            parts = await self._receive(forwarding, candidate, connection)
            candidate.load.heard_at = self._now()
            for part in parts:
                match part:
                    case http_messages.Head():
                        refused = await self._start(
                            forwarding, candidate, connection, part
                        )
                        if refused is not None:
                            await self._skip_rest(parts, connection)
                            return refused
                    case http_messages.Data(data=data):
                        await self._pass_on(forwarding, candidate, number, data)
                    case http_messages.End():
                        await forwarding.answer.write(forwarding.events.take_rest())
                        await forwarding.answer.end()
                        return Delivered()

    async def _skip_rest(self, parts, connection) -> None:
        """Keeps a connection whose refused answer has been received as a whole."""
        if not any(isinstance(part, http_messages.End) for part in parts):
            connection.abort()

    async def _receive(self, forwarding, candidate, connection):
        """Waits for the next parts, as long as there is nothing better to do.

        Raises:
            AnswerFailedError: None came, and another upstream should be tried.
        """
        while True:
            if not self._is_repeatable(forwarding):
                return await connection.receive()
            try:
                async with asyncio.timeout(CHECK_S):
                    return await connection.receive()
            except TimeoutError:
                if self._should_move_on(forwarding, candidate):
                    connection.abort()
                    raise upstream_connection.AnswerFailedError(
                        "the upstream is silent", had_bytes=False
                    ) from None

    def _should_move_on(self, forwarding: Forwarding, candidate) -> bool:
        """Tells whether a request is better sent to another upstream now."""
        if forwarding.possible_runs >= forwarding.route.max_upstreams:
            return False
        now = self._now()
        if candidate.load.is_silent(now, placement.SILENCE_S):
            return True
        if forwarding.route.is_stream:
            return False
        waited_s = now - forwarding.call.received_at
        return waited_s > max(MIN_SLOW_S, SLOW_RATIO * forwarding.route.objective_s)

    async def _start(self, forwarding, candidate, connection, head) -> Outcome | None:
        """Begins the answer to the caller, or returns why this one is not taken."""
        notes = self._dialect.read_answer(head)
        if notes.idle_timeout_s is not None:
            connection.idle_timeout_s = notes.idle_timeout_s
        if notes.running is not None:
            total = notes.running + (notes.waiting or 0)
            candidate.load.note_report(total, self._now())
        if notes.is_wrong_instance:
            self._directory.note_misplaced(candidate.upstream)
            return NotRun("another instance has the address")
        if notes.has_not_run:
            return NotRun(f"refused with {head.status}")
        is_success = head.status < FIRST_FAILURE_STATUS
        if head.status in PROMISE_STATUSES:
            return Failed(f"status {head.status}, though it may have run")
        is_proved = notes.is_sealed and notes.request is not None
        if head.status < FIRST_REDIRECT_STATUS and not is_proved:
            return Failed("the answer has no proof of its origin")
        if forwarding.has_begun:
            return None if is_success else Failed(f"status {head.status}")
        if not is_success and self._can_try_elsewhere(forwarding):
            return Failed(f"status {head.status}")
        if forwarding.route.repeat is routing_table.Repeat.RESUME:
            head = dataclasses.replace(head, framing=http_messages.Framing.CHUNKED)
        await forwarding.answer.start(head)
        took_s = self._now() - forwarding.call.received_at
        self._metrics.first_byte_s.labels(forwarding.route.name).observe(took_s)
        return None

    def _can_try_elsewhere(self, forwarding: Forwarding) -> bool:
        return (
            self._is_repeatable(forwarding)
            and forwarding.possible_runs < forwarding.route.max_upstreams
        )

    async def _pass_on(self, forwarding, candidate, number, data: bytes) -> None:
        work = candidate.load.start(number)
        if work is not None:
            self._view.note_begun(candidate, work.unread_tokens)
        if forwarding.route.repeat is routing_table.Repeat.RESUME:
            data = forwarding.events.feed(data)
        await forwarding.answer.write(data)

    def _budget_of(self, service: ids.ServiceName) -> retry_budget.RetryBudget:
        known = self._budget_by_service.get(service)
        if known is None:
            policy = self._budget
            known = retry_budget.RetryBudget(
                policy.ratio, policy.window_s, policy.floor
            )
            self._budget_by_service[service] = known
        return known

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
