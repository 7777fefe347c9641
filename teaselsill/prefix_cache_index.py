"""An index of the prompt prefixes that a model engine is believed to have cached."""

import collections

from teaselsill import calls

DEFAULT_CAPACITY_TOKENS = 500_000


class PrefixCacheIndex:
    """The prompt parts in one engine's prefix cache, the least recently used first.

    Args:
        capacity_tokens: How many tokens the engine's cache holds.
    """

    def __init__(self, capacity_tokens: int = DEFAULT_CAPACITY_TOKENS):
        self._capacity_tokens = capacity_tokens
        self._tokens_by_part: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._total_tokens = 0

    def count_cached_tokens(self, parts: tuple[calls.PromptPart, ...]) -> int:
        """Returns the length of a prompt's longest cached prefix, in tokens."""
        cached = 0
        for part in parts:
            if part.id not in self._tokens_by_part:
                break
            cached += part.tokens
        return cached

    def note_prompt(self, parts: tuple[calls.PromptPart, ...]) -> None:
        """Records a prompt sent to the engine and evicts the least recently used parts.

        The last part counts as the least recently used one, so that parts unique to one
        prompt are evicted before parts that other prompts share.
        """
        for part in reversed(parts):
            self._total_tokens -= self._tokens_by_part.pop(part.id, 0)
            self._tokens_by_part[part.id] = part.tokens
            self._total_tokens += part.tokens
        while self._total_tokens > self._capacity_tokens:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._total_tokens -= tokens
