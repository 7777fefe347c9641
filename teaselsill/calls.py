"""A caller's request as an entry router sees it, and how its headers are read."""

import abc
import dataclasses
import typing

from teaselsill import errors, http_messages, ids, routing_table, upstream_list


class BadCallError(errors.RequestError):
    """The request lacks what is needed to serve it, or holds it malformed."""


class PromptPart(typing.NamedTuple):
    """A part of a prompt, which other requests may share.

    Attributes:
        id: Names the part, given all parts before it.
        tokens: Its length.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request.

    Attributes:
        id: Names the request; new for each try of a caller.
        message: The request as received.
        received_at: When its last byte came, on the monotonic clock, in seconds.
        budget_s: How long the caller waits, in seconds; none if it does not say.
        key: The caller's API key, or none.
        parts: The prompt's parts, in order.
        prompt_tokens: The length of the whole prompt; 0 if it has none.
        output_tokens: The largest number of tokens to generate.
        expected_output_tokens: How many will be generated, as the caller guesses.
        last_event: The event after which the caller wants its stream continued.
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
    """What an upstream says of itself and the request in an answer's head.

    Attributes:
        request: The request that it answers, if it says so.
        has_not_run: Whether it states that the request has not run and will not.
        is_wrong_instance: Whether another upstream has the address now.
        is_sealed: Whether the answer bears the upstream's proof of origin.
        idle_timeout_s: How long it keeps an idle connection, if it says so.
        running: How many requests it runs; none if it does not say.
        waiting: How many requests wait there; none if it does not say.
        is_leaving: Whether it says that it is leaving.
        pause_s: How long it wants no request of this router, in seconds, if it has
            refused the request and says so.
    """

    request: str | None = None
    has_not_run: bool = False
    is_wrong_instance: bool = False
    is_sealed: bool = False
    idle_timeout_s: float | None = None
    running: int | None = None
    waiting: int | None = None
    is_leaving: bool = False
    pause_s: float | None = None


class Dialect(abc.ABC):
    """How callers and upstreams write what the router needs to know."""

    @abc.abstractmethod
    def read_call(self, message: http_messages.Request, received_at: float) -> Call:
        """Decodes a caller's request.

        Raises:
            BadCallError: It cannot be served; the text says why.
        """

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
        """Returns the headers of the request that an upstream gets.

        Args:
            call: The caller's request.
            target: The upstream.
            account: The client account, or none for a public route.
            left_s: How long the caller still waits, in seconds.
            last_event: The event after which the stream is to be continued.
            fetch_from: An engine that keeps a part of the prompt, to copy it from.
        """

    @abc.abstractmethod
    def read_response(self, head: http_messages.Head) -> ResponseMetadata:
        """Decodes what an upstream says in the head of its answer."""

    @abc.abstractmethod
    def make_refusal_headers(
        self, call: Call | None, retry_after_s: float | None
    ) -> http_messages.Headers:
        """Returns the headers of an answer of the router's own."""


def find_limit_s(call: Call, route: routing_table.Route) -> float:
    """Returns how long a request may take at most, in seconds."""
    if call.budget_s is None:
        return route.timeout_s
    return min(call.budget_s, route.timeout_s)
