import unittest

from teaselsill import calls, prefix_cache_index


def parts(*names):
    return tuple(calls.PromptPart(name, 100) for name in names)


class PrefixCacheIndexTest(unittest.TestCase):
    def setUp(self):
        self.index = prefix_cache_index.PrefixCacheIndex(400)

    def test_only_the_longest_cached_prefix_counts(self):
        self.index.note_prompt(parts("a", "b"))
        self.assertEqual(200, self.index.count_cached_tokens(parts("a", "b", "c")))
        self.assertEqual(0, self.index.count_cached_tokens(parts("x", "b")))

    def test_unique_parts_are_evicted_before_shared_parts(self):
        self.index.note_prompt(parts("tool", "session", "own1"))
        self.index.note_prompt(parts("tool", "session", "own2"))
        self.index.note_prompt(parts("tool", "session", "own3"))
        self.assertEqual(
            200, self.index.count_cached_tokens(parts("tool", "session", "z"))
        )
        self.assertEqual(
            200, self.index.count_cached_tokens(parts("tool", "session", "own1"))
        )
