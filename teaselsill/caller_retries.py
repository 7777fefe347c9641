"""Recognises rejected requests that callers send again."""

import collections

from teaselsill import calls, ids

TTL_S = 6.0
"""A request that comes back later than this counts as new."""
MAX_KNOWN = 10_000

Key = tuple[ids.AccountId | None, tuple[calls.PromptPart, ...], int]


class CallerRetries:
    """The recently rejected requests that have prompts.

    A caller's retry has a new request id. It is recognised by its prompt, whose last
    part is unique to the request.
    """

    def __init__(self):
        self._rejected_at_by_key: collections.OrderedDict[Key, float] = (
            collections.OrderedDict()
        )

    def note_rejected(
        self, account: ids.AccountId | None, call: calls.Call, now: float
    ) -> None:
        """Records a rejected request.

        Args:
            account: Its client account.
            call: The request.
            now: The time, in seconds.
        """
        if not self.find_age_s(account, call, now):
            self._rejected_at_by_key[_make_key(account, call)] = now
        if len(self._rejected_at_by_key) > MAX_KNOWN:
            self._rejected_at_by_key.popitem(last=False)

    def find_age_s(
        self, account: ids.AccountId | None, call: calls.Call, now: float
    ) -> float:
        """Returns the time since a request was first rejected; 0 if it is new."""
        rejected_at = self._rejected_at_by_key.get(_make_key(account, call), now)
        age_s = now - rejected_at
        return age_s if age_s <= TTL_S else 0.0


def _make_key(account: ids.AccountId | None, call: calls.Call) -> Key:
    return account, call.parts, call.output_tokens
