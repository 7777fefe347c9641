"""The completions that a model engine is generating."""

import asyncio

from standins import completions


class Generation:
    """One completion, which connections can read while it is being generated.

    Args:
        request_id: The request's id.
        request: The request's body.
        kind: The kind of completion.
        cached_tokens: How many tokens of the prompt were cached.

    Attributes:
        tokens: All tokens of the completion, generated or not.
        events: The data of the server-sent events so far.
        is_ended: Whether no more events will be added.
        reader_count: The number of connections that read the completion.
        changed: Set when an event is added or the generation ends, and then replaced
            by a new `asyncio.Event`.
        task: The task that generates.
        expiry_timer: The timer that drops the generation when it has no readers.
    """

    def __init__(
        self,
        request_id: str,
        request: completions.Request,
        kind: completions.Kind,
        cached_tokens: int,
    ):
        self.tokens = completions.generate_tokens(request)
        self.events: list[bytes] = []
        self.is_ended = False
        self.reader_count = 0
        self.changed = asyncio.Event()
        self.task: asyncio.Task | None = None
        self.expiry_timer: asyncio.TimerHandle | None = None
        self._formatter = completions.ResponseFormatter(request_id, request.model, kind)
        self._prompt_tokens = len(request.words())
        self._cached_tokens = cached_tokens

    def add_token(self, index: int) -> None:
        """Adds the event of a token."""
        is_last = index == len(self.tokens) - 1
        self._add_event(self._formatter.token_chunk(self.tokens[index], is_last))

    def finish(self) -> None:
        """Adds the event with the usage and the one that closes the stream."""
        self._add_event(self._formatter.usage_chunk(self._make_usage()))
        self._add_event(b"[DONE]")
        self.end()

    def end(self) -> None:
        """Marks that no more events will be added, and wakes the readers."""
        self.is_ended = True
        self._notify()

    def full_response(self) -> bytes:
        """Formats the completion as one response, for requests without a stream."""
        return self._formatter.full_response("".join(self.tokens), self._make_usage())

    def _make_usage(self) -> completions.Usage:
        return completions.Usage(
            self._prompt_tokens,
            len(self.tokens),
            self._prompt_tokens + len(self.tokens),
            completions.PromptTokensDetails(self._cached_tokens),
        )

    def _add_event(self, data: bytes) -> None:
        self.events.append(data)
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
