"""A prefix cache in limited memory."""

import collections

BLOCK_TOKENS = 16


class PrefixCache:
    """Remembers the prompts' prefixes, block by block; drops the least recent.

    Args:
        max_blocks: The largest number of blocks that are kept.
    """

    def __init__(self, max_blocks: int):
        self._max_blocks = max_blocks
        self._blocks = collections.OrderedDict()

    def add(self, words: list[str]) -> int:
        """Adds a prompt and returns how many of its tokens were there already."""
        cached_tokens = 0
        block = 0
        for end in range(BLOCK_TOKENS, len(words) + 1, BLOCK_TOKENS):
            block = hash((block, *words[end - BLOCK_TOKENS : end]))
            if block in self._blocks and cached_tokens == end - BLOCK_TOKENS:
                cached_tokens = end
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)
        return cached_tokens
