"""The messages of the completions API, and a deterministic text generator."""

import enum
import hashlib

import msgspec

MIN_TOKENS = 20
MAX_TOKENS = 4096
TAIL_EXPONENT = 1.2
"""The exponent of the Pareto distribution of completion lengths."""

TOKEN_CHARS = 6
DIGEST_RANGE = 2**64


class Kind(enum.Enum):
    """The kinds of completion; the value is the `object` field of their responses."""

    CHAT = "chat.completion"
    TEXT = "text_completion"


class ChatMessage(msgspec.Struct):
    """One message of a chat.

    Attributes:
        role: The author's role, such as `user`.
        content: The text.
    """

    role: str
    content: str


class StreamOptions(msgspec.Struct):
    """The caller's options for a stream.

    Attributes:
        include_usage: Whether the caller asks for a chunk with the usage. This engine
            sends it in any case.
    """

    include_usage: bool = True


class Request(msgspec.Struct):
    """The body of a completion request.

    Attributes:
        model: The name of the model.
        messages: The conversation, for a chat completion.
        prompt: The prompt, for a text completion.
        max_tokens: The exact length of the completion in tokens; if not given, it is
            derived from a hash of the prompt.
        stream: Whether the completion is sent as server-sent events.
        stream_options: Options for the stream.
    """

    model: str
    messages: list[ChatMessage] = []
    prompt: str = ""
    max_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None

    def words(self) -> list[str]:
        """Splits the prompt into words, each of which counts as one token."""
        words = self.prompt.split()
        for message in self.messages:
            words.append(f"<{message.role}>")
            words += message.content.split()
        return words


class PromptTokensDetails(msgspec.Struct):
    """Details of the prompt's tokens.

    Attributes:
        cached_tokens: How many were found in the prefix cache.
    """

    cached_tokens: int


class Usage(msgspec.Struct):
    """The token counts of a completion.

    Attributes:
        prompt_tokens: The number of tokens in the prompt.
        completion_tokens: The number of generated tokens.
        total_tokens: The sum of both.
        prompt_tokens_details: Details of the prompt's tokens.
    """

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: PromptTokensDetails


class Choice(msgspec.Struct, omit_defaults=True):
    """A complete completion or a part of it.

    Attributes:
        index: Always 0, as each response has one choice.
        text: The text of a text completion.
        message: The complete message of a chat completion.
        delta: A part of the message of a chat completion.
        finish_reason: Why the generation ended; omitted before that.
    """

    index: int | None = None
    text: str | None = None
    message: ChatMessage | None = None
    delta: ChatMessage | None = None
    finish_reason: str | None = None


class Completion(msgspec.Struct):
    """The body of a response, or one chunk of a streamed response.

    Attributes:
        id: The request's id.
        object: The type of this object, such as `chat.completion.chunk`.
        model: The name of the model.
        choices: One choice, or none in the chunk with the usage.
        usage: The token counts; null in all chunks but the last.
    """

    id: str
    object: str
    model: str
    choices: list[Choice]
    usage: Usage | None = None


class ResponseFormatter:
    """Formats the response to one request, in whole or as chunks.

    Args:
        request_id: The request's id.
        model: The name of the model.
        kind: The kind of completion.
    """

    def __init__(self, request_id: str, model: str, kind: Kind):
        self._request_id = request_id
        self._model = model
        self._kind = kind

    def token_chunk(self, token: str, is_last: bool) -> bytes:
        """Formats a chunk with one token."""
        choice = Choice(0, finish_reason="stop" if is_last else None)
        match self._kind:
            case Kind.CHAT:
                choice.delta = ChatMessage("assistant", token)
            case Kind.TEXT:
                choice.text = token
        return self._chunk([choice], None)

    def usage_chunk(self, usage: Usage) -> bytes:
        """Formats the chunk with the usage."""
        return self._chunk([], usage)

    def full_response(self, text: str, usage: Usage) -> bytes:
        """Formats a response that is not streamed."""
        choice = Choice(0, finish_reason="stop")
        match self._kind:
            case Kind.CHAT:
                choice.message = ChatMessage("assistant", text)
            case Kind.TEXT:
                choice.text = text
        return self._encode(self._kind.value, [choice], usage)

    def _chunk(self, choices: list[Choice], usage: Usage | None) -> bytes:
        match self._kind:
            case Kind.CHAT:
                name = f"{self._kind.value}.chunk"
            case Kind.TEXT:
                name = self._kind.value
        return self._encode(name, choices, usage)

    def _encode(self, name, choices, usage) -> bytes:
        completion = Completion(self._request_id, name, self._model, choices, usage)
        return msgspec.json.encode(completion)


def generate_tokens(request: Request) -> list[str]:
    """Returns the tokens of the completion, which depend on the request alone."""
    digest = hashlib.sha256(" ".join(request.words()).encode()).digest()
    count = _draw_length(digest) if request.max_tokens is None else request.max_tokens
    return [_make_token(digest, index) for index in range(count)]


def _draw_length(digest: bytes) -> int:
    quantile = (int.from_bytes(digest[:8]) + 1) / DIGEST_RANGE
    return min(MAX_TOKENS, int(MIN_TOKENS * quantile ** (-1 / TAIL_EXPONENT)))


def _make_token(digest: bytes, index: int) -> str:
    word = hashlib.sha256(digest + index.to_bytes(8)).hexdigest()
    return word[:TOKEN_CHARS] + " "
