"""A prefix cache of limited size, as model engines have."""

import collections

BLOCK_TOKENS = 16


class PrefixCache:
    """Records the prefixes of prompts in blocks; evicts the least recently used ones.

    The hash of a block covers its tokens and the hash of the block before it.

    Args:
        max_blocks: The maximum number of blocks.
    """

    def __init__(self, max_blocks: int):
        self._max_blocks = max_blocks
        self._block_hashes = collections.OrderedDict()

    def add(self, tokens: list[str]) -> int:
        """Adds a prompt and returns how many of its tokens were cached already."""
        cached_tokens = 0
        block_hash = 0
        for end in range(BLOCK_TOKENS, len(tokens) + 1, BLOCK_TOKENS):
            block_hash = hash((block_hash, *tokens[end - BLOCK_TOKENS : end]))
            if block_hash in self._block_hashes and cached_tokens == end - BLOCK_TOKENS:
                cached_tokens = end
            self._block_hashes[block_hash] = None
            self._block_hashes.move_to_end(block_hash)
        while len(self._block_hashes) > self._max_blocks:
            self._block_hashes.popitem(last=False)
        return cached_tokens
