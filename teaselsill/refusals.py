"""Maps errors to the HTTP responses that callers receive."""

import dataclasses

import msgspec
from starlette import responses

from teaselsill import (
    agent_pool,
    backlog,
    errors,
    exchange,
    ids,
    messages,
    router,
)

OUTCOME_HEADER = "Teaselsill-Outcome"
REQUEST_ID_HEADER = "X-Request-Id"
JSON_TYPE = "application/json"
UNREAD_STATUSES = frozenset({408, 413})
"""Statuses sent before the request's body was read; the connection is then closed."""


class BadRequestError(errors.RequestError):
    """The request is malformed."""


class UnknownAccountError(errors.RequestError):
    """The API key belongs to no client account."""


class NotAllowedError(errors.RequestError):
    """The client account may not use the service."""


class UnknownServiceError(errors.RequestError):
    """There is no such service or model."""


class UnknownPathError(errors.RequestError):
    """The path does not exist."""


class UnknownMethodError(errors.RequestError):
    """The path does not support the method."""


class BodyTooLargeError(errors.RequestError):
    """The body is larger than the router accepts."""


class BodyTimeoutError(errors.RequestError):
    """The body did not arrive in time."""


class TooManyConnectionsError(backlog.RefusedError):
    """The client account holds too many of the router's connections."""


class MemoryFullError(backlog.RefusedError):
    """The router has no memory left for the request."""


class NotReadyError(backlog.RefusedError):
    """The router has no configuration yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The response to a request that was refused or failed.

    Attributes:
        status: The HTTP status.
        reason: The machine-readable reason.
        text: The human-readable explanation.
        outcome: What is known about whether the request ran.
        retry_after_s: After how many seconds a retry makes sense; 0 for never.
        closes: Whether the connection is closed after the response.
    """

    status: int
    reason: str
    text: str
    outcome: messages.Outcome = messages.Outcome.NOT_RUN
    retry_after_s: float = 0.0
    closes: bool = False

    def make_body(self) -> bytes:
        """Returns the JSON body, which has the reason and the explanation."""
        return msgspec.json.encode(_ErrorBody(_ErrorDetail(self.reason, self.text)))

    def make_response(self, request_id: ids.RequestId) -> responses.Response:
        """Returns the complete HTTP response."""
        headers = {OUTCOME_HEADER: self.outcome.value, REQUEST_ID_HEADER: request_id}
        if self.closes or self.status in UNREAD_STATUSES:
            headers["Connection"] = "close"
        if self.status == 401:
            headers["WWW-Authenticate"] = "Bearer"
        if self.retry_after_s:
            headers["Retry-After"] = str(max(1, round(self.retry_after_s)))
        return responses.Response(self.make_body(), self.status, headers, JSON_TYPE)


class _ErrorDetail(msgspec.Struct):
    type: str
    message: str


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


def describe(error: errors.RequestError) -> Refusal:
    """Returns the refusal that reports an error to the caller."""
    text = str(error)
    match error:
        case BadRequestError():
            return Refusal(400, "bad-request", text)
        case UnknownAccountError():
            return Refusal(401, "unknown-client-account", text)
        case NotAllowedError():
            return Refusal(403, "not-allowed", text)
        case UnknownServiceError():
            return Refusal(404, "unknown-service", text)
        case UnknownPathError():
            return Refusal(404, "unknown-path", text)
        case UnknownMethodError():
            return Refusal(405, "unknown-method", text)
        case BodyTooLargeError():
            return Refusal(413, "body-too-large", text)
        case BodyTimeoutError():
            return Refusal(408, "body-timeout", text)
        case TooManyConnectionsError():
            return _describe_full(429, "too-many-connections", error)
        case MemoryFullError():
            return _describe_full(503, "memory-full", error)
        case backlog.BacklogFullError():
            return Refusal(
                429, "too-many-waiting", text, retry_after_s=_retry_after_of(error)
            )
        case backlog.DeadlineHopelessError():
            return Refusal(
                503, "deadline-hopeless", text, retry_after_s=_retry_after_of(error)
            )
        case agent_pool.NoAgentError():
            return Refusal(503, "no-agent", text, retry_after_s=_retry_after_of(error))
        case backlog.RefusedError():
            return Refusal(503, "not-ready", text, retry_after_s=_retry_after_of(error))
        case router.DeadlineError():
            return Refusal(504, "deadline", text, retry_after_s=1.0)
        case exchange.NotRunError(reason=reason):
            return _describe_not_run(reason)
        case exchange.IncompleteResponseError(reason=reason, outcome=outcome):
            return _describe_incomplete(reason, outcome)
        case exchange.AgentLostError():
            return Refusal(502, "agent-lost", text, messages.Outcome.UNKNOWN)
    return Refusal(500, "internal", "internal error", messages.Outcome.UNKNOWN)


def _describe_not_run(reason: messages.Reason) -> Refusal:
    match reason:
        case messages.Reason.NOT_ALLOWED:
            return Refusal(403, reason.value, "the agent does not allow the request")
        case messages.Reason.DEADLINE:
            return Refusal(
                504, reason.value, "the deadline came before the request ran"
            )
    return Refusal(
        503,
        reason.value,
        "the request has not run",
        retry_after_s=1.0,
    )


def _describe_incomplete(reason: messages.Reason, outcome: messages.Outcome) -> Refusal:
    match reason:
        case messages.Reason.KEY_RAN:
            text = "a request with this idempotency key has run; its answer is not kept"
            return Refusal(409, reason.value, text, outcome)
        case messages.Reason.KEY_IN_PROGRESS:
            text = "a request with this idempotency key runs, or its run is unknown"
            return Refusal(409, reason.value, text, outcome, retry_after_s=1.0)
        case messages.Reason.KEY_REUSED:
            text = "this idempotency key was used for another request"
            return Refusal(422, reason.value, text, outcome)
        case messages.Reason.DEADLINE:
            return Refusal(504, reason.value, "the deadline came", outcome)
    return Refusal(502, reason.value, "the upstream gave no whole answer", outcome)


def _describe_full(status: int, kind: str, error: errors.RequestError) -> Refusal:
    """Returns a refusal after which the connection closes."""
    retry_after_s = _retry_after_of(error)
    return Refusal(status, kind, str(error), retry_after_s=retry_after_s, closes=True)


def _retry_after_of(error: backlog.RefusedError) -> float:
    return error.retry_after_s
