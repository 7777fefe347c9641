"""The messages of the completions interface, and the answers to them."""

import enum
import hashlib

import msgspec

MIN_TOKENS = 20
MAX_TOKENS = 4096
TAIL_EXPONENT = 1.2
"""The exponent of the Pareto distribution of answer lengths."""

TOKEN_CHARS = 6
DIGEST_RANGE = 2**64


class Kind(enum.Enum):
    """The kinds of completion, by the name of their replies."""

    CHAT = "chat.completion"
    TEXT = "text_completion"


class ChatMessage(msgspec.Struct):
    """One message of a chat.

    Attributes:
        role: Who said it.
        content: What was said.
    """

    role: str
    content: str


class StreamOptions(msgspec.Struct):
    """What a caller asks of a stream; usage is always included.

    Attributes:
        include_usage: Whether the caller asks for a chunk with the usage.
    """

    include_usage: bool = True


class Request(msgspec.Struct):
    """The body of a request for a completion.

    Attributes:
        model: The name of the model.
        messages: The chat so far, for a chat completion.
        prompt: The text so far, for a text completion.
        max_tokens: The length of the answer in tokens.
        stream: Whether the answer comes as server-sent events.
        stream_options: What is asked of the stream.
    """

    model: str
    messages: list[ChatMessage] = []
    prompt: str = ""
    max_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None

    def words(self) -> list[str]:
        """Splits the prompt into words, which count as its tokens."""
        words = self.prompt.split()
        for message in self.messages:
            words.append(f"<{message.role}>")
            words += message.content.split()
        return words


class PromptTokensDetails(msgspec.Struct):
    """What the prompt's tokens were.

    Attributes:
        cached_tokens: How many were found in the prefix cache.
    """

    cached_tokens: int


class Usage(msgspec.Struct):
    """What an answer cost.

    Attributes:
        prompt_tokens: The tokens of the prompt.
        completion_tokens: The tokens of the answer.
        total_tokens: Both together.
        prompt_tokens_details: What the prompt's tokens were.
    """

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: PromptTokensDetails


class Choice(msgspec.Struct, omit_defaults=True):
    """An answer or a part of it.

    Attributes:
        index: Always 0, as there is one answer.
        text: The text of a text completion.
        message: The whole answer of a chat completion.
        delta: A part of the answer of a chat completion.
        finish_reason: Why the answer ended, if it did.
    """

    index: int | None = None
    text: str | None = None
    message: ChatMessage | None = None
    delta: ChatMessage | None = None
    finish_reason: str | None = None


class Completion(msgspec.Struct):
    """A whole reply or one chunk of it.

    Attributes:
        id: The request's id.
        object: The kind of reply.
        model: The name of the model.
        choices: One choice, or none in the chunk with the usage.
        usage: What the answer cost; null in the chunks before the last.
    """

    id: str
    object: str
    model: str
    choices: list[Choice]
    usage: Usage | None = None


class ResponseFormatter:
    """The format of the replies to one request.

    Args:
        request_id: The request's id.
        model: The name of the model.
        kind: What kind of completion it is.
    """

    def __init__(self, request_id: str, model: str, kind: Kind):
        self._request_id = request_id
        self._model = model
        self._kind = kind

    def token_chunk(self, token: str, is_last: bool) -> bytes:
        """Formats one token."""
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
        """Formats a reply that is not streamed."""
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
    """Returns the answer to a request, which depends on nothing else."""
    digest = hashlib.sha256(" ".join(request.words()).encode()).digest()
    count = _answer_length(digest) if request.max_tokens is None else request.max_tokens
    return [_token(digest, index) for index in range(count)]


def _answer_length(digest: bytes) -> int:
    fraction = (int.from_bytes(digest[:8]) + 1) / DIGEST_RANGE
    return min(MAX_TOKENS, int(MIN_TOKENS * fraction ** (-1 / TAIL_EXPONENT)))


def _token(digest: bytes, index: int) -> str:
    word = hashlib.sha256(digest + index.to_bytes(8)).hexdigest()
    return word[:TOKEN_CHARS] + " "
