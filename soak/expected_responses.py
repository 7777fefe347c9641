"""The responses that callers must get, and the comparison with those they got."""

import abc
import dataclasses

import msgspec

from standins import completions

EVENT_END = b"\n\n"
DONE = b"[DONE]"


class ExpectedResponse(abc.ABC):
    """The complete response that one request must get."""

    @abc.abstractmethod
    def find_mismatch(self, body: bytes, request_id: str) -> str:
        """Returns what is wrong with the body of a complete response, or ''."""


class _EchoBody(msgspec.Struct):
    method: str
    path: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Echo(ExpectedResponse):
    """The response of the plain service, which echoes the request.

    Attributes:
        method: The request's method.
        path: The request's path at the service.
        digest: The SHA-256 digest of the request's body.
    """

    method: str
    path: str
    digest: str

    def find_mismatch(self, body: bytes, request_id: str) -> str:
        """Compares the request that the service received with the one sent."""
        try:
            echo = msgspec.json.decode(body, type=_EchoBody)
        except msgspec.MsgspecError as error:
            return f"{len(body)} bytes: {error}"
        if (echo.method, echo.path, echo.digest) == (
            self.method,
            self.path,
            self.digest,
        ):
            return ""
        return f"response to another request: {echo}"


@dataclasses.dataclass(frozen=True, slots=True)
class Completion(ExpectedResponse):
    """The response of the model engine.

    Attributes:
        tokens: The expected tokens.
        is_stream: Whether the response is a stream of events.
    """

    tokens: tuple[str, ...]
    is_stream: bool

    @classmethod
    def make(cls, body: bytes, is_stream: bool) -> "Completion":
        """Returns the expected response to a request's body."""
        request = msgspec.json.decode(body, type=completions.Request)
        return cls(tuple(completions.generate_tokens(request)), is_stream)

    def find_mismatch(self, body: bytes, request_id: str) -> str:
        """Compares the request id and all tokens."""
        try:
            return self._find_mismatch(body, request_id)
        except (msgspec.MsgspecError, IndexError, AttributeError) as error:
            return f"{len(body)} bytes: {type(error).__name__}: {error}"

    def _find_mismatch(self, body: bytes, request_id: str) -> str:
        if not self.is_stream:
            response = msgspec.json.decode(body, type=completions.Completion)
            text = response.choices[0].message.content
            return self._compare([response.id], text, request_id)
        *events, remainder = body.split(EVENT_END)
        payloads = [event.partition(b"data: ")[2] for event in events]
        if remainder or not payloads or payloads[-1] != DONE:
            return f"the stream ends with {body[-80:]!r}"
        chunks = [
            msgspec.json.decode(part, type=completions.Completion)
            for part in payloads[:-1]
        ]
        contents = [c.choices[0].delta.content for c in chunks if c.choices]
        if len(contents) != len(self.tokens):
            return f"{len(contents)} of {len(self.tokens)} tokens"
        return self._compare([c.id for c in chunks], "".join(contents), request_id)

    def _compare(self, found_ids: list[str], text: str, request_id: str) -> str:
        if set(found_ids) != {request_id}:
            return f"response to {set(found_ids)}, not to {request_id}"
        return "" if text == "".join(self.tokens) else f"other text: {text[:80]!r}"
