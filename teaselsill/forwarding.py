"""Forwards a caller's request to an upstream, and to another one where that is safe."""

import asyncio
import collections.abc
import logging

from teaselsill import (
    admission,
    boot_clock,
    caller_connection,
    calls,
    directory,
    entry_metrics,
    event_stream,
    fleet_view,
    http_messages,
    ids,
    loop_lag,
    outcomes,
    placement,
    rejections,
    request_log_line,
    retry_budget,
    routing_table,
    tcp_stream,
    upstream_attempt,
)

MAX_CONNECT_TRIES = 4
"""How many upstreams are tried that cannot be reached."""
RETRY_AFTER_S = 1.0
RETRY_AFTER_BUSY_S = 0.05
"""What callers are told whose next connection a router with time will serve."""
RETRY_AFTER_START_S = 0.5
"""What is told to callers while the router has no configuration."""
LEAST_USEFUL_S = 0.02
"""With less time left, a request is not sent any more."""

logger = logging.getLogger(__name__)


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
        lag: Tells whether the process has too much work.
        count_routers: Returns how many routers there are; 0 if that is not known.

    Attributes:
        table: The configuration in force, or none.
        active_requests: How many requests are being answered.
        is_stopping: Whether requests that come now are rejected.
    """

    def __init__(
        self,
        dialect: calls.Dialect,
        known: directory.Directory,
        data_centre: ids.DataCentre,
        budget: retry_budget.BudgetPolicy,
        view: fleet_view.FleetView,
        admitting: admission.Admission,
        sink: entry_metrics.EntryMetrics,
        lag: loop_lag.LoopLag,
        count_routers: collections.abc.Callable[[], int],
    ):
        self.table: routing_table.RoutingTable | None = None
        self.active_requests = 0
        self.is_stopping = False
        self._dialect = dialect
        self._directory = known
        self._data_centre = data_centre
        self._budget = budget
        self._view = view
        self._admission = admitting
        self._metrics = sink
        self._lag = lag
        self._count_routers = count_routers
        self._sender = upstream_attempt.Sender(dialect, known, view, sink, lag)
        self._budget_by_service: dict[ids.ServiceName, retry_budget.RetryBudget] = {}

    @property
    def version(self) -> ids.Version:
        """The version of the configuration in force."""
        return self.table.version if self.table is not None else ids.NO_VERSION

    def apply_configuration(self, table: routing_table.RoutingTable) -> None:
        """Puts a configuration into force."""
        self.table = table
        self._directory.service_by_name = table.service_by_name
        self._view.set_capacity(table.limits.tokens_per_s)

    def limit_retries(self, policy: retry_budget.BudgetPolicy) -> None:
        """Puts another bound on retries into force; what was spent counts on."""
        self._budget = policy
        for budget in self._budget_by_service.values():
            budget.policy = policy

    async def serve(
        self, message: http_messages.Request, answer: caller_connection.CallerResponse
    ) -> None:
        """Answers one request of a caller."""
        received_at = self._now()
        self.active_requests += 1
        line = request_log_line.RequestLogLine()
        call = None
        try:
            if self._lag.is_overloaded:
                await tcp_stream.process_pending_events()
            call = self._dialect.read_call(message, received_at)
            line.request = call.id
            await self._forward(call, answer, line)
            line.ending = request_log_line.Ending.DELIVERED
        except calls.BadCallError as error:
            fault = rejections.RejectedError(rejections.Cause.BAD_REQUEST, str(error))
            await self._reject(fault, call, answer, line)
        except rejections.RejectedError as error:
            await self._reject(error, call, answer, line)
        except Exception as error:
            logger.exception("request failed", extra={"request": line.request})
            fault = rejections.RejectedError(rejections.Cause.INTERNAL, str(error))
            await self._reject(fault, call, answer, line)
        finally:
            self.active_requests -= 1
            line.status = answer.status
            line.took_ms = round(1000 * (self._now() - received_at), 1)
            line.peers = self._view.count_live_peers()
            line.write(logger)
            self._count(line)

    def _count(self, line: request_log_line.RequestLogLine) -> None:
        self._metrics.requests.labels(line.ending.value, line.cause).inc()
        self._metrics.request_s.labels(line.route).observe(line.took_ms / 1000)
        if line.ending is request_log_line.Ending.REJECTED:
            self._metrics.rejections.labels(line.account or "", line.cause).inc()

    async def _reject(self, error, call, answer, line) -> None:
        has_begun = answer.progress is not caller_connection.Progress.NOT_STARTED
        endings = request_log_line.Ending
        line.ending = endings.BROKEN if has_begun else endings.REJECTED
        line.cause = error.cause.label
        line.reason = str(error)
        headers = self._dialect.make_refusal_headers(call, error.retry_after_s)
        await answer.send_error(error.cause.status, headers)

    async def _forward(self, call, answer, line) -> None:
        """Finds out what is to be done with a request and has it done.

        Raises:
            RejectedError: The caller gets an answer of the router's own.
        """
        if self.is_stopping:
            raise rejections.RejectedError(
                rejections.Cause.STOPPING, "the router is stopping", 0.0
            )
        if self._lag.is_late:
            raise rejections.RejectedError(
                rejections.Cause.ROUTER_BUSY,
                f"the event loop is {self._lag.average_s:.2f} s late",
                RETRY_AFTER_BUSY_S,
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
        self._view.note_received(account, call)
        line.route = route.name
        line.account = account
        line.version = table.version
        limit_s = calls.find_limit_s(call, route)
        forwarding = outcomes.RequestState(
            call=call,
            route=route,
            service=service,
            account=account,
            response=answer,
            deadline=call.received_at + limit_s,
            boot_deadline=boot_clock.now() + limit_s,
            events=event_stream.EventSplitter(call.last_event),
            line=line,
        )
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

    async def _try_upstreams(self, forwarding: outcomes.RequestState) -> None:
        """Sends a request until it is answered or nothing more may be tried.

        Raises:
            RejectedError: It ends without an upstream's whole answer.
        """
        unreachable = 0
        while True:
            choice = self._choose(forwarding)
            outcome = await self._sender.attempt(forwarding, choice)
            match outcome:
                case outcomes.Delivered():
                    return
                case outcomes.Unsent(reason=reason):
                    unreachable += 1
                    if unreachable >= MAX_CONNECT_TRIES:
                        self._give_up(forwarding, rejections.Cause.NO_UPSTREAM, reason)
                case outcomes.NotRun(reason=reason):
                    if not self._may_send_again(forwarding):
                        self._give_up(forwarding, rejections.Cause.NOT_TAKEN, reason)
                case outcomes.Failed(reason=reason):
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
                    "tried": list(forwarding.line.upstreams),
                    "outcome": type(outcome).__name__,
                    "reason": reason,
                },
            )

    def _choose(self, forwarding: outcomes.RequestState) -> placement.Choice:
        now = self._now()
        candidates = self._directory.candidates(forwarding.service, forwarding.excluded)
        choice = placement.choose(
            forwarding.call,
            candidates,
            self._data_centre,
            now,
            self._view.estimate_unreported_tokens(),
            self._lag.find_uninterrupted_s(now),
        )
        if choice is None:
            self._give_up_without_upstream(forwarding, now)
        if forwarding.find_time_left_s(now) < LEAST_USEFUL_S:
            raise TimeoutError
        self._admit(forwarding, choice, now)
        return choice

    def _admit(self, forwarding, choice: placement.Choice, now: float) -> None:
        """Takes note of where a request goes, and rejects one that is not worth it.

        Raises:
            RejectedError: It is rejected; it has not run.
        """
        call = forwarding.call
        evidence = self._admission.assess(
            call, forwarding.route, forwarding.account, choice, now
        )
        if evidence is None:
            return
        self._metrics.predicted_wait_s.observe(evidence.wait_s)
        line = forwarding.line
        line.unread_tokens = choice.unread_tokens
        line.copied_from = choice.fetch_from.id if choice.fetch_from else None
        line.set_assessment(evidence)
        if not forwarding.sends:
            self._admission.check(call, forwarding.account, evidence, now)

    def _give_up_without_upstream(
        self, forwarding: outcomes.RequestState, now: float
    ) -> None:
        """Ends a request for which no upstream is left.

        Raises:
            RejectedError: Always.
        """
        pause_s = self._directory.find_pause_left_s(forwarding.service, now)
        if pause_s and not forwarding.possible_runs:
            raise rejections.RejectedError(
                rejections.Cause.UPSTREAMS_PAUSED, "all upstreams want a pause", pause_s
            )
        self._give_up(forwarding, rejections.Cause.NO_UPSTREAM, "no upstream is left")

    def _give_up(self, forwarding: outcomes.RequestState, cause, reason: str) -> None:
        """Ends a request with what is true of all that was tried.

        Raises:
            RejectedError: Always.
        """
        if forwarding.possible_runs:
            raise rejections.RejectedError(rejections.Cause.ANSWER_FAILED, reason)
        wait_s = (
            RETRY_AFTER_S if cause.status in upstream_attempt.NOT_RUN_STATUSES else None
        )
        raise rejections.RejectedError(cause, reason, wait_s)

    def _may_send_again(self, forwarding: outcomes.RequestState) -> bool:
        """Spends a retry on a request that has not run."""
        return self._spend_retry(forwarding, "not run")

    def _may_run_again(self, forwarding: outcomes.RequestState) -> bool:
        """Spends a retry on a request that may have run, if it may run again."""
        if not forwarding.may_run_elsewhere:
            return False
        return self._spend_retry(forwarding, "failed")

    def _spend_retry(self, forwarding: outcomes.RequestState, why: str) -> bool:
        budget = self._budget_of(forwarding.service.name)
        if budget.spend(self._now(), self._count_routers()):
            return True
        logger.info(
            "retry budget is spent",
            extra={"service": forwarding.service.name, "why": why},
        )
        return False

    def _budget_of(self, service: ids.ServiceName) -> retry_budget.RetryBudget:
        known = self._budget_by_service.get(service)
        if known is None:
            known = retry_budget.RetryBudget(self._budget)
            self._budget_by_service[service] = known
        return known

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
