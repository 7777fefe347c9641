"""Knows rejected requests when they come back."""

import collections

from teaselsill import calls, ids

LIFE_S = 6.0
"""What comes back later is taken for a new request."""
MAX_KNOWN = 10_000

Key = tuple[ids.AccountId | None, tuple[calls.PromptPart, ...], int]


class CallerRetries:
    """The requests with prompts that were rejected of late.

    A caller's next try has another id. It is known by its prompt, whose last part is
    the request's own.
    """

    def __init__(self):
        self._asked_at_by_key: collections.OrderedDict[Key, float] = (
            collections.OrderedDict()
        )

    def note_rejected(
        self, account: ids.AccountId | None, call: calls.Call, now: float
    ) -> None:
        """Takes note of a rejected request.

        Args:
            account: Its client account.
            call: The request.
            now: The time, in seconds.
        """
        if not self.find_age_s(account, call, now):
            self._asked_at_by_key[_make_key(account, call)] = now
        if len(self._asked_at_by_key) > MAX_KNOWN:
            self._asked_at_by_key.popitem(last=False)

    def find_age_s(
        self, account: ids.AccountId | None, call: calls.Call, now: float
    ) -> float:
        """Returns how long ago a request was first asked; 0 if it is a new one."""
        asked_at = self._asked_at_by_key.get(_make_key(account, call), now)
        age_s = now - asked_at
        return age_s if age_s <= LIFE_S else 0.0


def _make_key(account: ids.AccountId | None, call: calls.Call) -> Key:
    return account, call.parts, call.output_tokens
