"""Forwards a caller's request to an upstream and retries on another where safe."""

import asyncio
import collections.abc
import logging

from teaselsill import (
    admission,
    boot_clock,
    caller_connection,
    calls,
    connection_limit,
    directory,
    entry_metrics,
    event_stream,
    fleet_view,
    http_messages,
    ids,
    loop_lag,
    memory_budget,
    outcomes,
    permits,
    placement,
    rejections,
    request_log_line,
    retry_budget,
    routing_table,
    shutdown,
    tcp_stream,
    upstream_attempt,
    upstream_choice,
)

MAX_CONNECT_TRIES = 4
"""Maximum number of unreachable upstreams tried for one request."""
RETRY_AFTER_BUSY_S = 0.05
"""`Retry-After` while this router is busy: another one serves the next connection."""
RETRY_AFTER_START_S = 0.5
"""`Retry-After` while the router has just started."""

OWN_CAUSES = frozenset(
    {
        rejections.Cause.STOPPING,
        rejections.Cause.ROUTER_BUSY,
        rejections.Cause.NOT_CONFIGURED,
        rejections.Cause.STARTING,
    }
)
"""Why this router rejects requests that another one may serve."""
NOT_RUN_STATUSES = upstream_attempt.NOT_RUN_STATUSES

logger = logging.getLogger(__name__)


class Forwarder:
    """Forwards the requests of one router.

    Args:
        dialect: Reads and writes the platform's headers.
        upstreams: The directory of upstreams.
        data_centre: The data centre of this router.
        budget_policy: The limit on retries.
        view: The load of the whole fleet, as reported by the routers.
        admission_control: Decides which requests are sent and which are rejected.
        metrics: Receives the metrics.
        lag: Measures the delay of the event loop.
        count_routers: Returns the number of routers; 0 if it is unknown.
        is_introduced: Returns whether this router knows what the others know.

    Attributes:
        table: The configuration in force, or `None`.
        active_requests: The number of requests in progress.
        metrics: The metrics of the router.
        shutdown: The planned stop of the router.
    """

    def __init__(
        self,
        dialect: calls.Dialect,
        upstreams: directory.Directory,
        data_centre: ids.DataCentre,
        budget_policy: retry_budget.BudgetPolicy,
        view: fleet_view.FleetView,
        admission_control: admission.Admission,
        metrics: entry_metrics.EntryMetrics,
        lag: loop_lag.LoopLag,
        count_routers: collections.abc.Callable[[], int],
        is_introduced: collections.abc.Callable[[], bool] = lambda: True,
    ):
        self.table: routing_table.RoutingTable | None = None
        self.active_requests = 0
        self.shutdown = shutdown.Shutdown()
        self._dialect = dialect
        self._directory = upstreams
        self._budget_policy = budget_policy
        self._view = view
        self.metrics = metrics
        self._lag = lag
        self._count_routers = count_routers
        self._is_introduced = is_introduced
        self._quarantine = view.quarantine
        self._quarantine.on_quarantined = self._handle_quarantined
        self._chooser = upstream_choice.Chooser(
            upstreams, data_centre, view, admission_control, metrics, lag
        )
        self._sender = upstream_attempt.Sender(dialect, upstreams, view, metrics, lag)
        self._limit = connection_limit.ConnectionLimit()
        self._budget_by_service: dict[ids.ServiceName, retry_budget.RetryBudget] = {}

    def use(
        self,
        budget: memory_budget.MemoryBudget,
        limit: connection_limit.ConnectionLimit,
    ) -> None:
        """Accounts for connections to upstreams and for what they hold."""
        self._sender.budget = budget
        self._limit = limit

    def find_account(self, headers: http_messages.Headers) -> ids.AccountId | None:
        """Returns the client account whose key is in the headers of a request."""
        key = self._dialect.read_key(headers)
        return self.table.account_by_key.get(key) if self.table and key else None

    @property
    def permits(self) -> permits.Permits:
        """Gets and issues permits for upstreams that limit their requests."""
        return self._chooser.permits

    @property
    def version(self) -> ids.Version:
        """The version of the configuration in force."""
        return self.table.version if self.table is not None else ids.NO_VERSION

    def apply_configuration(self, table: routing_table.RoutingTable) -> None:
        """Applies a new configuration."""
        self.table = table
        self._directory.service_by_name = table.service_by_name
        self._view.set_capacity(table.limits.tokens_per_s)

    def close(self) -> None:
        """Cancels the background tasks."""
        self._sender.close()
        self.permits.close()

    def limit_retries(self, policy: retry_budget.BudgetPolicy) -> None:
        """Applies a new limit on retries; retries already spent still count."""
        self._budget_policy = policy
        for budget in self._budget_by_service.values():
            budget.policy = policy

    def count_offered(
        self,
        message: http_messages.Request,
        response: caller_connection.Response,
        received_at: float,
        data_centre: ids.DataCentre,
    ) -> float | None:
        """Counts a request that is offered to another router as demand.

        Args:
            message: The request.
            response: The response to it.
            received_at: When its last byte arrived, on the event loop's clock, in
                seconds.
            data_centre: The data centre of the other router.

        Returns:
            The longest time that it may take, in seconds; None if it should be served
            here, since it will be rejected, may be the trial of a quarantined part, may
            not be sent to the region of the other router, or may have to end with the
            stop of this router.
        """
        if self.table is None:
            return None
        try:
            call = self._dialect.read_call(message, received_at)
            route = self._find_route(self.table, call)
            account = self._find_account(self.table, route, call)
        except (calls.BadCallError, rejections.RejectedError):
            return None
        if self.shutdown.has_begun or self._quarantine.concerns(call.parts):
            return None
        allowed_regions = self.table.find_allowed_regions(route, account)
        if not self._directory.is_allowed(data_centre, allowed_regions):
            return None
        service = self.table.service_by_name[route.choose_service(call.id)]
        self._budget_of(service.name).note_request(received_at)
        self._view.note_received(account, call)
        response.is_counted = True
        return calls.find_limit_s(call, route)

    async def serve(
        self,
        message: http_messages.Request,
        response: caller_connection.Response,
        received_at: float,
        prior: outcomes.FailedElsewhere | None = None,
    ) -> None:
        """Serves one request of a caller.

        Args:
            message: The request.
            response: The response to it.
            received_at: When its last byte arrived, on the event loop's clock, in
                seconds.
            prior: What became of the request at another router that may have sent it.
        """
        self.active_requests += 1
        line = request_log_line.RequestLogLine(via=response.via)
        call = None
        try:
            if self._lag.is_overloaded:
                await tcp_stream.process_pending_events()
            call = self._dialect.read_call(message, received_at)
            line.request = call.id
            await self._forward(call, response, line, prior)
            line.ending = request_log_line.Ending.DELIVERED
            self.shutdown.durations.note(line.route, self._age_of(call))
        except calls.BadCallError as error:
            rejection = rejections.RejectedError(
                rejections.Cause.BAD_REQUEST, str(error)
            )
            await self._reject(rejection, call, response, line)
        except rejections.RejectedError as error:
            if prior is not None and error.cause.status in NOT_RUN_STATUSES:
                error = rejections.RejectedError(
                    rejections.Cause.ANSWER_FAILED, prior.reason
                )
            await self._reject(error, call, response, line)
        except Exception as error:
            logger.exception("request failed", extra={"request": line.request})
            rejection = rejections.RejectedError(rejections.Cause.INTERNAL, str(error))
            await self._reject(rejection, call, response, line)
        finally:
            self.active_requests -= 1
            line.status = response.status
            line.took_ms = round(1000 * (self._now() - received_at), 1)
            line.peers = self._view.count_live_peers()
            line.write(logger)
            self._count(line)

    def _count(self, line: request_log_line.RequestLogLine) -> None:
        self.metrics.requests.labels(line.ending.value, line.cause).inc()
        self.metrics.request_s.labels(line.route).observe(line.took_ms / 1000)
        if line.ending is request_log_line.Ending.REJECTED:
            self.metrics.rejections.labels(line.account or "", line.cause).inc()

    async def _reject(self, error, call, response, line) -> None:
        """Sends an error response, or aborts a response that has started."""
        has_started = response.progress is not caller_connection.Progress.NOT_STARTED
        endings = request_log_line.Ending
        line.ending = endings.BROKEN if has_started else endings.REJECTED
        line.cause = error.cause.label
        line.reason = str(error)
        if error.cause in OWN_CAUSES and response.decline():
            return
        headers = self._dialect.make_rejection_headers(call, error.retry_after_s)
        await response.send_error(error.cause.status, headers)

    async def refuse(
        self, message: http_messages.Request, response: caller_connection.Response
    ) -> None:
        """Refuses a request for which nothing is left; it has not run."""
        try:
            call = self._dialect.read_call(message, self._now())
        except calls.BadCallError:
            call = None
        headers = self._dialect.make_rejection_headers(
            call, caller_connection.RETRY_AFTER_S
        )
        await response.send_error(503, headers)

    async def _forward(self, call, response, line, prior) -> None:
        """Resolves route, account and service of a request and forwards it.

        Raises:
            RejectedError: The request is rejected, or no attempt succeeded.
        """
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
        if not self._is_introduced():
            raise rejections.RejectedError(
                rejections.Cause.STARTING,
                "the other routers have not been heard yet",
                RETRY_AFTER_START_S,
            )
        route = self._find_route(table, call)
        account = self._find_account(table, route, call)
        limit_s = calls.find_limit_s(call, route)
        self.shutdown.check(route, limit_s - self._age_of(call), self._now())
        service = table.service_by_name[route.choose_service(call.id)]
        if not response.is_counted:
            self._budget_of(service.name).note_request(call.received_at)
        line.route = route.name
        line.account = account
        line.version = table.version
        await self._chooser.await_permission(call)
        if not response.is_counted:
            self._view.note_received(account, call)
        deadline = min(call.received_at + limit_s, self.shutdown.deadline)
        state = outcomes.RequestState(
            call=call,
            route=route,
            service=service,
            account=account,
            response=response,
            deadline=deadline,
            boot_deadline=boot_clock.now() + deadline - self._now(),
            events=event_stream.EventSplitter(call.last_event),
            line=line,
            allowed_regions=table.find_allowed_regions(route, account),
        )
        try:
            async with self.shutdown.limit(state.deadline):
                if prior is not None:
                    self._check_rerun(state, prior)
                await self._try_upstreams(state)
        except TimeoutError as error:
            raise self._make_timeout_rejection(state) from error

    def _make_timeout_rejection(
        self, state: outcomes.RequestState
    ) -> rejections.RejectedError:
        """Returns the rejection of a request whose time is up."""
        is_unsent = not state.possible_runs
        if self.shutdown.is_over(self._now()):
            cause = (
                rejections.Cause.STOPPING
                if is_unsent
                else rejections.Cause.ANSWER_FAILED
            )
            wait_s = 0.0 if is_unsent else None
            return rejections.RejectedError(cause, "the router stops", wait_s)
        cause = (
            rejections.Cause.TIMEOUT_UNSENT if is_unsent else rejections.Cause.TIMEOUT
        )
        wait_s = upstream_choice.RETRY_AFTER_S if is_unsent else None
        return rejections.RejectedError(cause, "time is up", wait_s)

    def _age_of(self, call: calls.Call) -> float:
        return self._now() - call.received_at

    def _check_rerun(self, state: outcomes.RequestState, prior) -> None:
        """Checks that a request may run again after it was sent by another router.

        Raises:
            RejectedError: It may not.
            TimeoutError: Too little time is left.
        """
        state.sends = state.possible_runs = len(prior.upstreams)
        state.excluded.update(prior.upstreams)
        if state.find_time_left_s(self._now()) < upstream_choice.MIN_TIME_LEFT_S:
            raise TimeoutError
        if state.has_response_started or not self._allow_rerun(state):
            upstream_choice.reject_after_attempts(
                state, rejections.Cause.ANSWER_FAILED, prior.reason
            )

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

    async def _try_upstreams(self, state: outcomes.RequestState) -> None:
        """Sends a request to upstreams until one responds or no retry is allowed.

        Raises:
            RejectedError: No upstream delivered a complete response.
        """
        unreachable_count = 0
        while True:
            choice, permit = await self._chooser.choose(state)
            outcome = await self._attempt(state, choice, permit)
            match outcome:
                case outcomes.Delivered():
                    return
                case outcomes.Unsent(reason=reason):
                    unreachable_count += 1
                    if unreachable_count >= MAX_CONNECT_TRIES:
                        upstream_choice.reject_after_attempts(
                            state, rejections.Cause.NO_UPSTREAM, reason
                        )
                case outcomes.NotRun(reason=reason):
                    if not self._allow_resend(state):
                        upstream_choice.reject_after_attempts(
                            state, rejections.Cause.NOT_TAKEN, reason
                        )
                case outcomes.Failed(reason=reason):
                    if not self._allow_rerun(state):
                        upstream_choice.reject_after_attempts(
                            state, rejections.Cause.ANSWER_FAILED, reason
                        )
            self.metrics.retries.labels(
                state.service.name, type(outcome).__name__
            ).inc()
            logger.info(
                "trying another upstream",
                extra={
                    "request": state.call.id,
                    "tried": list(state.line.upstreams),
                    "outcome": type(outcome).__name__,
                    "reason": reason,
                },
            )

    async def _attempt(
        self,
        state: outcomes.RequestState,
        choice: placement.Choice,
        permit: "permits.Permit",
    ) -> outcomes.Outcome:
        """Sends a request to one upstream, if a descriptor is left for it.

        Raises:
            RejectedError: None is left.
        """
        if not self._limit.make_room():
            permit.give_back()
            upstream_choice.reject_after_attempts(
                state, rejections.Cause.ROUTER_BUSY, "no descriptor is left"
            )
        with self._limit.reserve():
            return await self._sender.attempt(state, choice, permit)

    def _handle_quarantined(self, part: ids.PartKey) -> None:
        self.metrics.quarantines.inc()
        self._sender.abort_quarantined(part)

    def _allow_resend(self, state: outcomes.RequestState) -> bool:
        """Spends a retry on a request that has not run, if the budget allows it.

        Raises:
            RejectedError: A part of its prompt is quarantined.
        """
        self._chooser.check_quarantine(state.call, state.possible_runs)
        return self._spend_retry(state, "not run")

    def _allow_rerun(self, state: outcomes.RequestState) -> bool:
        """Spends a retry on a request that may have run, if it is safe to repeat.

        Raises:
            RejectedError: A part of its prompt is quarantined.
        """
        if not state.may_run_elsewhere or state.find_patience_left_s(self._now()) <= 0:
            return False
        self._chooser.check_quarantine(state.call, state.possible_runs)
        return self._spend_retry(state, "failed")

    def _spend_retry(self, state: outcomes.RequestState, why: str) -> bool:
        budget = self._budget_of(state.service.name)
        if budget.spend(self._now(), self._count_routers()):
            return True
        logger.info(
            "retry budget is spent",
            extra={"service": state.service.name, "why": why},
        )
        return False

    def _budget_of(self, service: ids.ServiceName) -> retry_budget.RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(self._budget_policy)
            self._budget_by_service[service] = budget
        return budget

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
