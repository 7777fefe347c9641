"""A caller's decoded request, and the interface that decodes and encodes headers."""

import abc
import dataclasses
import typing

from teaselsill import (
    announcements,
    errors,
    http_messages,
    ids,
    routing_table,
    upstream_list,
)


class BadCallError(errors.RequestError):
    """The request lacks something that is needed to serve it, or has it malformed."""


class PromptPart(typing.NamedTuple):
    """A part of a prompt, which other requests may share.

    Attributes:
        id: Identifies the part together with all parts before it.
        tokens: Its length.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request.

    Attributes:
        id: The id of the request; a caller's retry has a new one.
        message: The request as received.
        received_at: When its last byte arrived, on the monotonic clock, in seconds.
        budget_s: How long the caller waits, in seconds; None if it does not say.
        key: The caller's API key, or None.
        parts: The prompt's parts, in order.
        prompt_tokens: The length of the whole prompt; 0 if it has none.
        output_tokens: The largest number of tokens to generate.
        expected_output_tokens: The caller's estimate of the generated tokens.
        last_event: The event after which the caller wants its stream to be resumed.
    """

    id: ids.RequestId
    message: http_messages.Request
    received_at: float
    budget_s: float | None = None
    key: str | None = None
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_output_tokens: int = 0
    last_event: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What a response's head states about the upstream and the request.

    Attributes:
        request: The id of the request that it responds to, if it is given.
        has_not_run: Whether it states that the request has not run and will not run.
        is_wrong_instance: Whether another upstream has the address now.
        is_sealed: Whether the response bears the upstream's proof of origin.
        idle_timeout_s: How long the upstream keeps an idle connection, if it is given.
        running: How many requests the upstream runs; None if it is not given.
        waiting: How many requests wait there; None if it is not given.
        slowdown: How long work takes there now, relative to the usual time; None if it
            is not given.
        is_load_malformed: Whether a figure of its load could not be read.
        announcement: What the upstream states about itself; None if another one has
            sent the response.
    """

    request: str | None = None
    has_not_run: bool = False
    is_wrong_instance: bool = False
    is_sealed: bool = False
    idle_timeout_s: float | None = None
    running: int | None = None
    waiting: int | None = None
    slowdown: float | None = None
    is_load_malformed: bool = False
    announcement: announcements.Announcement | None = None


class Dialect(abc.ABC):
    """Decodes and encodes the headers by which a platform passes request metadata."""

    @abc.abstractmethod
    def read_call(self, message: http_messages.Request, received_at: float) -> Call:
        """Decodes a caller's request.

        Raises:
            BadCallError: The request cannot be served; the text states the reason.
        """

    def read_key(self, headers: http_messages.Headers) -> str | None:
        """Returns the key of a client account in the headers of a request, if any."""
        return None

    @abc.abstractmethod
    def make_headers(
        self,
        call: Call,
        target: upstream_list.Upstream,
        account: ids.AccountId | None,
        left_s: float,
        last_event: str | None,
        fetch_from: upstream_list.Upstream | None,
    ) -> http_messages.Headers:
        """Returns the headers of a request to an upstream.

        Args:
            call: The caller's request.
            target: The upstream.
            account: The client account, or None for a public route.
            left_s: How long the caller still waits, in seconds.
            last_event: The event after which the stream is to be resumed, or None.
            fetch_from: An engine to copy a cached part of the prompt from, or None.
        """

    @abc.abstractmethod
    def read_response(self, head: http_messages.Head) -> ResponseMetadata:
        """Decodes what the head of an upstream's response states."""

    @abc.abstractmethod
    def make_rejection_headers(
        self, call: Call | None, retry_after_s: float | None
    ) -> http_messages.Headers:
        """Returns the headers of a response of the router's own."""


def find_limit_s(call: Call, route: routing_table.Route) -> float:
    """Returns the longest time that a request may take, in seconds."""
    if call.budget_s is None:
        return route.timeout_s
    return min(call.budget_s, route.timeout_s)
