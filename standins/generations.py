"""The answers that a model engine is generating."""

import asyncio

from standins import completions


class Generation:
    """One answer in the making, which connections may read.

    Args:
        request_id: The request's id.
        request: The request.
        kind: What kind of completion it is.
        cached_tokens: How many tokens of the prompt were cached.

    Attributes:
        tokens: The whole answer.
        events: The data of the server-sent events so far.
        is_ended: Whether there will be no more events.
        reader_count: The number of connections that read the answer.
        changed: Set when an event was added or the generation has ended.
        task: The task that generates.
        expiry_timer: The timer that drops a generation without readers.
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
        self._format = completions.ResponseFormatter(request_id, request.model, kind)
        self._prompt_tokens = len(request.words())
        self._cached_tokens = cached_tokens

    def add_token(self, index: int) -> None:
        """Adds the event with a token."""
        is_last = index == len(self.tokens) - 1
        self._add(self._format.token_chunk(self.tokens[index], is_last))

    def finish(self) -> None:
        """Adds the closing events."""
        self._add(self._format.usage_chunk(self._usage()))
        self._add(b"[DONE]")
        self.end()

    def end(self) -> None:
        """Marks that there will be no more events."""
        self.is_ended = True
        self._notify()

    def full_response(self) -> bytes:
        """Formats the answer as one reply."""
        return self._format.full_response("".join(self.tokens), self._usage())

    def _usage(self) -> completions.Usage:
        return completions.Usage(
            self._prompt_tokens,
            len(self.tokens),
            self._prompt_tokens + len(self.tokens),
            completions.PromptTokensDetails(self._cached_tokens),
        )

    def _add(self, data: bytes) -> None:
        self.events.append(data)
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
