"""Formats log records as JSON objects, one to a line, on standard error."""

import dataclasses
import logging
import sys

from pythonjsonlogger import msgspec as json_logger

from teaselsill import ids, instances, messages

FORMAT = "{levelname}{name}{message}"
RENAMED_FIELDS = {"levelname": "level", "name": "logger"}

NO_ACCOUNT = ids.AccountId("")
NO_SERVICE = ids.ServiceName("")
NO_UPSTREAM = ids.UpstreamId("")


def configure(
    level: str, role: instances.Role | str, instance: ids.InstanceId | str
) -> None:
    """Writes all log records to standard error, one JSON object a line.

    Args:
        level: The lowest level that is written, such as `INFO`.
        role: The role of this process; a field of every line.
        instance: The id of this instance; a field of every line.
    """
    role_name = role.value if isinstance(role, instances.Role) else role
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(build_formatter(role_name, instance))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)


def build_formatter(role: str, instance: str) -> logging.Formatter:
    """Returns a formatter that turns a record into one JSON object."""
    return json_logger.MsgspecFormatter(
        FORMAT,
        style="{",
        timestamp=True,
        rename_fields=RENAMED_FIELDS,
        static_fields={"role": role, "instance": instance},
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestLogLine:
    """The log line that a router writes for each caller's request.

    Attributes:
        request: The request's id.
        account: The client account; empty if the caller was not identified.
        service: The requested service; empty if it could not be determined.
        upstream: The upstream that ran the request; empty if none did.
        method: The HTTP method.
        status: The HTTP status of the response to the caller; 0 if none was sent.
        outcome: Whether the request ran: `ran`, `not-run` or `unknown`.
        reason: Why the request was refused or its response is incomplete.
        duration_s: The time from the request's head to the end of its response, in
            seconds.
        attempts: How many times the request was dispatched to an agent.
    """

    request: ids.RequestId
    outcome: messages.Outcome
    duration_s: float
    account: ids.AccountId = NO_ACCOUNT
    service: ids.ServiceName = NO_SERVICE
    upstream: ids.UpstreamId = NO_UPSTREAM
    method: str = ""
    status: int = 0
    reason: str = ""
    attempts: int = 0

    def write(self, logger: logging.Logger) -> None:
        """Writes the line at level INFO."""
        names = [field.name for field in dataclasses.fields(self)]
        fields = {name: getattr(self, name) for name in names}
        fields["outcome"] = self.outcome.value
        logger.info("request", extra=fields)
