"""Rejections: responses that an entry router makes itself instead of an upstream."""

import enum

from teaselsill import errors


class Cause(enum.Enum):
    """Why a request ends with a response of the router's own.

    Each cause has the HTTP status that tells the caller what is known of the request:
    503 and 429 are used only if it has not run and will not run.
    """

    BAD_REQUEST = ("bad-request", 400)
    UNKNOWN_KEY = ("unknown-key", 401)
    NO_ROUTE = ("no-route", 404)
    NOT_CONFIGURED = ("not-configured", 503)
    STARTING = ("starting", 503)
    NO_UPSTREAM = ("no-upstream", 503)
    NO_ALLOWED_REGION = ("no-allowed-region", 503)
    EVACUATED = ("evacuated", 503)
    UPSTREAMS_PAUSED = ("upstreams-paused", 503)
    UPSTREAMS_LIMITED = ("upstreams-limited", 503)
    UPSTREAMS_COLD = ("upstreams-cold", 503)
    NOT_TAKEN = ("not-taken", 503)
    QUARANTINED = ("quarantined", 503)
    OVERLOADED = ("overloaded", 503)
    OVER_SHARE = ("over-share", 429)
    TIMEOUT_UNSENT = ("timeout-unsent", 503)
    ROUTER_BUSY = ("router-busy", 503)
    STOPPING = ("stopping", 503)
    TIMEOUT = ("timeout", 504)
    ANSWER_FAILED = ("answer-failed", 502)
    INTERNAL = ("internal", 500)

    def __init__(self, label: str, status: int):
        self.label = label
        self.status = status


class RejectedError(errors.RequestError):
    """A request ends with a response of the router's own.

    Attributes:
        cause: Why it was rejected.
        retry_after_s: When the caller may retry, in seconds; None if it should not.
    """

    def __init__(self, cause: Cause, detail: str, retry_after_s: float | None = None):
        super().__init__(detail)
        self.cause = cause
        self.retry_after_s = retry_after_s
