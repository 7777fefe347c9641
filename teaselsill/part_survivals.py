"""Remembers which prompt parts upstreams have responded to without a crash."""

import collections
import collections.abc
import math

from teaselsill import decaying_sum, ids

TTL_S = 600.0
"""How long a survival is remembered."""
MAX_PARTS = 8192


SHARE_DECAY_S = 60.0
"""Time constant of the estimated share of requests that have a part."""
ASSUMED_RESPONSES = 1000
"""In how many further responses a part that was never seen is assumed to be missing."""


class PartSurvivals:
    """When a response last began that did not crash its upstream, by prompt part.

    Attributes:
        responses: How many such responses there were recently at this router.
    """

    def __init__(self):
        self.responses = decaying_sum.DecayingSum(SHARE_DECAY_S)
        self._began_at_by_part: collections.OrderedDict[ids.PartKey, float] = (
            collections.OrderedDict()
        )
        self._responses_by_part: dict[ids.PartKey, decaying_sum.DecayingSum] = {}

    def __len__(self) -> int:
        return len(self._began_at_by_part)

    def note_response(
        self, parts: collections.abc.Iterable[ids.PartKey], began_at: float
    ) -> None:
        """Records a response of this router that has survived.

        Args:
            parts: The parts of its prompt.
            began_at: When it began, in seconds.
        """
        self.responses.add(1.0, began_at)
        for part in parts:
            self.note(part, began_at)
            responses = self._responses_by_part.get(part)
            if responses is None:
                responses = decaying_sum.DecayingSum(SHARE_DECAY_S)
                self._responses_by_part[part] = responses
            responses.add(1.0, began_at)

    def note(self, part: ids.PartKey, began_at: float) -> None:
        """Records a survival at any router.

        Args:
            part: The prompt part.
            began_at: When the response began, in seconds.
        """
        known_at = self._began_at_by_part.pop(part, began_at)
        self._began_at_by_part[part] = max(known_at, began_at)
        if len(self._began_at_by_part) > MAX_PARTS:
            forgotten, _ = self._began_at_by_part.popitem(last=False)
            self._responses_by_part.pop(forgotten, None)

    def find_share(self, part: ids.PartKey, now: float) -> float:
        """Returns the estimated share of requests that have a part.

        Args:
            part: The prompt part.
            now: The time, in seconds.
        """
        responses = self.responses.read(now)
        known = self._responses_by_part.get(part)
        if known is None:
            return 1.0 / (responses + ASSUMED_RESPONSES)
        return (known.read(now) + 1.0) / (responses + 1.0)

    def has_survived(self, part: ids.PartKey, now: float) -> bool:
        """Returns whether a survival is remembered.

        Args:
            part: The prompt part.
            now: The time, in seconds.
        """
        return now - self.find_began_at(part) <= TTL_S

    def find_began_at(self, part: ids.PartKey) -> float:
        """Returns when the last response that has survived began; -inf if none has."""
        return self._began_at_by_part.get(part, -math.inf)

    def has_survived_since(self, part: ids.PartKey, since: float) -> bool:
        """Returns whether a response that began after a time has survived.

        Args:
            part: The prompt part.
            since: The time, in seconds.
        """
        return self.find_began_at(part) > since
