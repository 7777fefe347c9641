"""The log line of a caller's request: how it ended and why."""

import dataclasses
import enum
import logging

from teaselsill import admission, ids


class Ending(enum.Enum):
    """How a request ended."""

    DELIVERED = "delivered"
    REJECTED = "rejected"
    BROKEN = "broken"
    CALLER_GONE = "caller-gone"


@dataclasses.dataclass(slots=True)
class RequestLogLine:
    """The one log line of a request.

    Attributes:
        request: The id of the request; empty if it has none.
        ending: How it ended.
        cause: Why it was rejected or aborted; empty if it was not.
        reason: The detailed reason.
        route: The name of its route; empty if there is none.
        account: The client account; None for a public route.
        version: The version of the configuration that was in force.
        upstreams: The upstreams that it was sent to, in order.
        status: The HTTP status that the caller got; 0 if none.
        took_ms: The time from its last byte to its end, in milliseconds.
        first_ms: The time to the head of its response, in milliseconds.
        unread_tokens: The prompt tokens that the last upstream had to prefill.
        wait_ms: The predicted wait of the prompt there, in milliseconds.
        permit_ms: How long it waited for permits before its last send or its rejection,
            in milliseconds.
        limit_ms: The longest wait that was allowed, in milliseconds.
        share_ratio: The tokens admitted for its client account, relative to its fair
            share.
        given_ratio: The same relative to an even share of all admitted tokens.
        severity: How severe the overload was, from 0 to 1.
        copied_from: The engine that a cached part of the prompt was to be copied from.
        peers: How many other routers were live.
        via: The router that has the caller's connection; None if it is this one.
        quiet_ms: How long no response data had arrived when the request was aborted,
            in milliseconds.
    """

    request: str = ""
    ending: Ending = Ending.CALLER_GONE
    cause: str = ""
    reason: str = ""
    route: str = ""
    account: ids.AccountId | None = None
    version: ids.Version = ids.NO_VERSION
    upstreams: list[ids.UpstreamId] = dataclasses.field(default_factory=list)
    status: int = 0
    took_ms: float = 0.0
    first_ms: float = 0.0
    unread_tokens: int = 0
    wait_ms: float = 0.0
    permit_ms: float = 0.0
    limit_ms: float = 0.0
    share_ratio: float = 0.0
    given_ratio: float = 0.0
    severity: float = 0.0
    copied_from: ids.UpstreamId | None = None
    peers: int = 0
    via: ids.InstanceId | None = None
    quiet_ms: float = 0.0

    def set_assessment(self, assessment: admission.Assessment) -> None:
        """Sets the figures that the admission decision was based on."""
        self.wait_ms = round(1000 * assessment.wait_s, 1)
        self.limit_ms = round(1000 * assessment.limit_s, 1)
        self.share_ratio = round(assessment.share_ratio, 2)
        self.given_ratio = round(assessment.even_share_ratio, 2)
        self.severity = round(assessment.severity, 2)

    def write(self, logger: logging.Logger) -> None:
        """Writes the line, without fields that are empty or zero.

        A request that got its response is logged at level INFO, any other at WARNING.
        """
        fields = {name: value for name in FIELDS if (value := getattr(self, name))}
        fields["ending"] = self.ending.value
        is_delivered = self.ending is Ending.DELIVERED
        level = logging.INFO if is_delivered else logging.WARNING
        logger.log(level, "request", extra=fields)


FIELDS = tuple(field.name for field in dataclasses.fields(RequestLogLine))
