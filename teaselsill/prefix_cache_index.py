"""What a model engine is believed to keep of the prompts that it has read."""

import collections

from teaselsill import calls

DEFAULT_CAPACITY_TOKENS = 500_000


class PrefixCacheIndex:
    """The prompt parts that one engine keeps, the least recently used first.

    Args:
        capacity_tokens: How many tokens it keeps.
    """

    def __init__(self, capacity_tokens: int = DEFAULT_CAPACITY_TOKENS):
        self._capacity_tokens = capacity_tokens
        self._tokens_by_part: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._total_tokens = 0

    def count_cached_tokens(self, parts: tuple[calls.PromptPart, ...]) -> int:
        """Returns how many tokens at the start of a prompt are kept."""
        held = 0
        for part in parts:
            if part.id not in self._tokens_by_part:
                break
            held += part.tokens
        return held

    def note_read(self, parts: tuple[calls.PromptPart, ...]) -> None:
        """Takes note that a prompt is read there."""
        for part in reversed(parts):
            self._total_tokens -= self._tokens_by_part.pop(part.id, 0)
            self._tokens_by_part[part.id] = part.tokens
            self._total_tokens += part.tokens
        while self._total_tokens > self._capacity_tokens:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._total_tokens -= tokens
