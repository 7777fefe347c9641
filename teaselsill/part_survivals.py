"""Remembers which prompt parts upstreams have responded to without a crash."""

import collections
import math

from teaselsill import ids

TTL_S = 600.0
"""How long a survival is remembered."""
MAX_PARTS = 8192


class PartSurvivals:
    """When a response last began that did not crash its upstream, by prompt part."""

    def __init__(self):
        self._began_at_by_part: collections.OrderedDict[ids.PartKey, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._began_at_by_part)

    def note(self, part: ids.PartKey, began_at: float) -> None:
        """Records a survival.

        Args:
            part: The prompt part.
            began_at: When the response began, in seconds.
        """
        known_at = self._began_at_by_part.pop(part, began_at)
        self._began_at_by_part[part] = max(known_at, began_at)
        if len(self._began_at_by_part) > MAX_PARTS:
            self._began_at_by_part.popitem(last=False)

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
