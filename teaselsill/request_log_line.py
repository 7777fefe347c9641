"""The log line of a caller's request: how it ended, and what decided that."""

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
        request: The request's id; empty if it has none.
        ending: How it ended.
        cause: Why it was rejected or broken off; empty if it was not.
        reason: The same in detail.
        route: The name of its route; empty if there is none.
        account: The client account; none for a public route.
        version: The version of the configuration that it was served by.
        upstreams: Where it was sent, in order.
        status: The status that the caller got; 0 if none.
        took_ms: The time from its last byte to its end, in milliseconds.
        first_ms: The time to the head of its answer, in milliseconds.
        unread_tokens: What the last upstream had to read of the prompt.
        wait_ms: How long the prompt was expected to wait there, in milliseconds.
        limit_ms: How long it might have waited, in milliseconds.
        share_ratio: What its client account had, relative to its fair share.
        given_ratio: The same relative to an even share of all that was given.
        severity: How severe the overload was, from 0 to 1.
        copied_from: The engine that it was told to copy a part of the prompt from.
        peers: How many other routers had been heard of late.
        quiet_ms: How long nothing of the answer had come when it was broken off, in
            milliseconds.
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
    limit_ms: float = 0.0
    share_ratio: float = 0.0
    given_ratio: float = 0.0
    severity: float = 0.0
    copied_from: ids.UpstreamId | None = None
    peers: int = 0
    quiet_ms: float = 0.0

    def set_assessment(self, evidence: admission.Assessment) -> None:
        """Takes note of what the decision to send the request rested on."""
        self.wait_ms = round(1000 * evidence.wait_s, 1)
        self.limit_ms = round(1000 * evidence.limit_s, 1)
        self.share_ratio = round(evidence.share_ratio, 2)
        self.given_ratio = round(evidence.given_ratio, 2)
        self.severity = round(evidence.severity, 2)

    def write(self, logger: logging.Logger) -> None:
        """Writes the line without the fields that say nothing.

        A request that got its answer is written at level INFO, any other at WARNING.
        """
        names = [field.name for field in dataclasses.fields(self)]
        fields = {name: getattr(self, name) for name in names}
        fields["ending"] = self.ending.value
        is_delivered = self.ending is Ending.DELIVERED
        level = logging.INFO if is_delivered else logging.WARNING
        logger.log(level, "request", extra={k: v for k, v in fields.items() if v})
