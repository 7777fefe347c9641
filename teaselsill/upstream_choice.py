"""Chooses the upstream for a request, and gets what is needed to send it there."""

import asyncio

from teaselsill import (
    admission,
    calls,
    directory,
    entry_metrics,
    fleet_view,
    ids,
    loop_lag,
    outcomes,
    permits,
    placement,
    quarantine,
    rejections,
    upstream_attempt,
)

RETRY_AFTER_S = 1.0
MAX_RETRY_PERMIT_WAIT_S = 1.0
"""How long a request that was sent before waits for a permit: its caller may have a
part of the response, and abandons a stream after a pause of 2 s."""
MAX_PERMIT_WAIT_RATIO = 0.5
"""The part of the time left that a request waits for a permit at most: the upstream
needs time to respond."""
MAX_DENIALS = 8
"""After so many upstreams without a permit in time, no further ones are asked."""
MIN_TIME_LEFT_S = 0.02
"""A request with less time left before its deadline is not sent."""


class Chooser:
    """Chooses upstreams for the requests of one router.

    Args:
        upstreams: The directory of upstreams.
        data_centre: The data centre of this router.
        view: The load of the whole fleet, as reported by the routers.
        admission_control: Decides which requests are sent and which are rejected.
        metrics: Receives the metrics.
        lag: Measures the delay of the event loop.

    Attributes:
        permits: Gets and issues permits for upstreams that limit their requests.
    """

    def __init__(
        self,
        upstreams: directory.Directory,
        data_centre: ids.DataCentre,
        view: fleet_view.FleetView,
        admission_control: admission.Admission,
        metrics: entry_metrics.EntryMetrics,
        lag: loop_lag.LoopLag,
    ):
        self.permits = permits.Permits(view)
        self._directory = upstreams
        self._data_centre = data_centre
        self._view = view
        self._admission = admission_control
        self._metrics = metrics
        self._lag = lag
        self._quarantine = view.quarantine

    async def choose(
        self, state: outcomes.RequestState
    ) -> tuple[placement.Choice, permits.Permit]:
        """Chooses the upstream for the next attempt, and gets a permit to send there.

        An upstream that limits its requests may have no permit in time; then the next
        best one is chosen.

        Raises:
            RejectedError: There is no upstream, or admission control has rejected it.
            TimeoutError: Too little time is left.
        """
        denied: dict[ids.UpstreamId, permits.Denied] = {}
        began_at = self._now()
        while True:
            choice = self._choose_upstream(state, denied)
            reply = await self._acquire_permit(state, choice.candidate, began_at)
            if isinstance(reply, permits.Permit):
                self._begin_trial(state, reply)
                return choice, reply
            denied[choice.candidate.upstream.id] = reply

    async def await_permission(self, call: calls.Call) -> None:
        """Waits until it is settled which router tries a quarantined part.

        Raises:
            RejectedError: A part of its prompt is quarantined.
        """
        permission = self._find_permission(call)
        if isinstance(permission, quarantine.Claimed):
            await asyncio.sleep(permission.wait_s)
            permission = self._find_permission(call)
        _reject_if_quarantined(permission)

    def check_quarantine(
        self, call: calls.Call, possible_runs: int = 0
    ) -> quarantine.Permission:
        """Returns the permission to send a request.

        Args:
            call: The request.
            possible_runs: How many upstreams may have run it.

        Raises:
            RejectedError: A part of its prompt is quarantined.
        """
        permission = self._find_permission(call)
        _reject_if_quarantined(permission, possible_runs)
        return permission

    def _find_permission(self, call: calls.Call) -> quarantine.Permission:
        return self._quarantine.check(call.parts, self._now(), self._view.find_claim_s)

    async def _acquire_permit(
        self,
        state: outcomes.RequestState,
        candidate: placement.Candidate,
        began_at: float,
    ) -> permits.Permit | permits.Denied:
        """Gets a permit, and records what it took if the upstream has a limit.

        Args:
            state: The request.
            candidate: The upstream.
            began_at: Since when the request needs a permit, in seconds.
        """
        asked_at = self._now()
        is_limited = candidate.find_limit(asked_at) is not None
        request = self._make_permit_request(state, began_at)
        reply = await self.permits.acquire(candidate, request)
        if is_limited:
            now = self._now()
            state.line.permit_ms = round(1000 * (now - began_at), 1)
            self._metrics.permit_wait_s.observe(now - asked_at)
            outcome = "denied" if isinstance(reply, permits.Denied) else "granted"
            self._metrics.permits.labels(state.service.name, outcome).inc()
        return reply

    def _make_permit_request(
        self, state: outcomes.RequestState, began_at: float
    ) -> permits.Request:
        """Returns what a request asks for when it needs a permit.

        Args:
            state: The request.
            began_at: Since when it needs one, in seconds.
        """
        if state.sends:
            max_wait_s = MAX_RETRY_PERMIT_WAIT_S
        else:
            max_wait_s = admission.find_max_wait_s(state.route, state.assessment)
        now = self._now()
        left_s = min(
            max_wait_s - (now - began_at),
            MAX_PERMIT_WAIT_RATIO * state.find_time_left_s(now),
        )
        return permits.Request(
            state.account, max(0.0, left_s), is_retry=state.sends > 0
        )

    def _choose_upstream(
        self,
        state: outcomes.RequestState,
        denied: dict[ids.UpstreamId, permits.Denied],
    ) -> placement.Choice:
        """Chooses the upstream for the next attempt.

        Args:
            state: The request.
            denied: The upstreams that have no permit in time.

        Raises:
            RejectedError: There is no upstream, or admission control has rejected it.
            TimeoutError: Too little time is left.
        """
        now = self._now()
        permission = self.check_quarantine(state.call, state.possible_runs)
        candidates = self._directory.candidates(
            state.service, state.excluded | denied.keys(), state.allowed_regions
        )
        if len(denied) >= MAX_DENIALS:
            candidates = [c for c in candidates if c.find_limit_per_s(now) is None]
        if isinstance(permission, quarantine.Trial):
            candidates = placement.find_least_loaded(candidates, now)
        choice = self._place(state, candidates, now)
        if choice is None:
            self._reject_without_upstream(state, denied, now)
        if state.find_time_left_s(now) < MIN_TIME_LEFT_S:
            raise TimeoutError
        if self._is_admissible(state, choice, now):
            return choice
        if any(c.find_limit_per_s(now) is not None for c in candidates):
            # Rather a permit for a small prompt than none while there are permits.
            choice = self._place(state, candidates, now, saves_permits=False)
            if self._is_admissible(state, choice, now):
                return choice
        self._admission.check(state.call, state.account, state.assessment, now)
        return choice

    def _place(
        self,
        state: outcomes.RequestState,
        candidates: list[placement.Candidate],
        now: float,
        saves_permits: bool = True,
    ) -> placement.Choice | None:
        return placement.choose(
            state.call,
            candidates,
            self._data_centre,
            now,
            self._view.estimate_unreported_tokens(),
            self._lag.find_uninterrupted_s(now),
            saves_permits,
        )

    def _begin_trial(
        self, state: outcomes.RequestState, permit: permits.Permit
    ) -> None:
        """Records a request that is about to be sent with a quarantined part.

        Raises:
            RejectedError: Another request has begun a trial of the part meanwhile.
        """
        try:
            permission = self.check_quarantine(state.call, state.possible_runs)
        except rejections.RejectedError:
            permit.give_back()
            raise
        if isinstance(permission, quarantine.Trial):
            self._quarantine.note_trial(permission.part, self._now())

    def _is_admissible(self, state, choice: placement.Choice, now: float) -> bool:
        """Records the predicted wait of a request; returns whether it is short enough.

        A request that was sent before is always sent again.
        """
        self._admission.report_age_s = self._view.find_report_age_s()
        assessment = self._admission.assess(
            state.call, state.route, state.account, choice, now
        )
        state.assessment = assessment
        if assessment is None:
            return True
        self._metrics.predicted_wait_s.observe(assessment.wait_s)
        line = state.line
        line.unread_tokens = choice.prefill_tokens
        line.copied_from = choice.fetch_from.id if choice.fetch_from else None
        line.set_assessment(assessment)
        return bool(state.sends) or assessment.is_admissible

    def _reject_without_upstream(
        self,
        state: outcomes.RequestState,
        denied: dict[ids.UpstreamId, permits.Denied],
        now: float,
    ) -> None:
        """Rejects a request for which no upstream is left.

        Raises:
            RejectedError: Always.
        """
        if denied and not state.possible_runs:
            self._admission.note_rejected(state.call, state.account, now)
            waits = ", ".join(f"{u} {d.wait_s:.3f} s" for u, d in denied.items())
            wait_s = min(each.wait_s for each in denied.values())
            raise rejections.RejectedError(
                self._find_limited_cause(denied, now),
                f"no permit in time: {waits}",
                admission.spread_retry_after_s(wait_s),
            )
        self._check_places(state)
        pause_s = self._directory.find_pause_left_s(
            state.service, now, state.allowed_regions
        )
        if pause_s and not state.possible_runs:
            raise rejections.RejectedError(
                rejections.Cause.UPSTREAMS_PAUSED, "all upstreams want a pause", pause_s
            )
        reject_after_attempts(
            state, rejections.Cause.NO_UPSTREAM, "no upstream is left"
        )

    def _check_places(self, state: outcomes.RequestState) -> None:
        """Rejects a request if no upstream is where it may be sent.

        Raises:
            RejectedError: Allowed regions or evacuations leave no upstream.
        """
        allowed = state.allowed_regions
        if self._directory.is_evacuated(state.service, allowed):
            reject_after_attempts(
                state, rejections.Cause.EVACUATED, "all upstreams are being evacuated"
            )
        if allowed is None or self._directory.list_allowed(state.service, allowed):
            return
        if self._directory.list_allowed(state.service, None):
            reject_after_attempts(
                state,
                rejections.Cause.NO_ALLOWED_REGION,
                f"no upstream in {', '.join(sorted(allowed)) or 'any region'}",
            )

    def _find_limited_cause(
        self, denied: dict[ids.UpstreamId, permits.Denied], now: float
    ) -> rejections.Cause:
        """Returns why no upstream had a permit in time."""
        candidates = [self._directory.find(upstream) for upstream in denied]
        if all(c is not None and c.cold.is_limited(now) for c in candidates):
            return rejections.Cause.UPSTREAMS_COLD
        return rejections.Cause.UPSTREAMS_LIMITED

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def reject_after_attempts(state: outcomes.RequestState, cause, reason: str) -> None:
    """Rejects a request with a cause that holds for all of its attempts.

    If an upstream may have run the request, the cause must not tell the caller that
    it has not run.

    Raises:
        RejectedError: Always.
    """
    if state.possible_runs:
        raise rejections.RejectedError(rejections.Cause.ANSWER_FAILED, reason)
    wait_s = (
        RETRY_AFTER_S if cause.status in upstream_attempt.NOT_RUN_STATUSES else None
    )
    raise rejections.RejectedError(cause, reason, wait_s)


def _reject_if_quarantined(
    permission: quarantine.Permission, possible_runs: int = 0
) -> None:
    """Rejects a request that must not be sent now.

    Args:
        permission: The permission to send it.
        possible_runs: How many upstreams may have run it.

    Raises:
        RejectedError: A part of its prompt is quarantined.
    """
    match permission:
        case (
            quarantine.Blocked(part=part, retry_after_s=retry_after_s)
            | quarantine.Claimed(part=part, wait_s=retry_after_s)
        ):
            reason = f"prompt part {part} is quarantined, it crashes upstreams"
            if possible_runs:
                raise rejections.RejectedError(rejections.Cause.ANSWER_FAILED, reason)
            raise rejections.RejectedError(
                rejections.Cause.QUARANTINED, reason, retry_after_s
            )
