"""Data centres whose upstreams get no requests, at the operators' word."""

import enum
import logging

from teaselsill import ids

KEPT_S = 60.0
"""How long an evacuation holds that an older copy of the platform's log lacks.

Operators write again by then what they had written.
"""

logger = logging.getLogger(__name__)


class Ending(enum.Enum):
    """Why a data centre is no longer evacuated."""

    REMOVED = "its record was removed"
    NOT_LISTED = "its record is not listed"
    NOT_REPEATED = "its record was not written again after a restore"


class Evacuations:
    """The data centres that are evacuated.

    All times are those of the event loop, in seconds.

    Attributes:
        data_centres: The evacuated data centres.
    """

    def __init__(self):
        self.data_centres: set[ids.DataCentre] = set()
        self._began_at_by_data_centre: dict[ids.DataCentre, float] = {}
        self._ended_at_by_data_centre: dict[ids.DataCentre, float] = {}
        self._kept_until_by_data_centre: dict[ids.DataCentre, float] = {}

    def is_evacuated(self, data_centre: ids.DataCentre) -> bool:
        """Returns whether the upstreams of a data centre get no requests."""
        return data_centre in self.data_centres

    def list_ended(self) -> list[tuple[ids.DataCentre, float]]:
        """Returns each data centre whose evacuation has ended, and when."""
        return list(self._ended_at_by_data_centre.items())

    def begin(self, data_centre: ids.DataCentre, now: float) -> bool:
        """Evacuates a data centre; returns whether it was not evacuated."""
        self._kept_until_by_data_centre.pop(data_centre, None)
        if data_centre in self.data_centres:
            return False
        self.data_centres.add(data_centre)
        self._began_at_by_data_centre[data_centre] = now
        self._ended_at_by_data_centre.pop(data_centre, None)
        logger.info("data centre evacuated", extra={"data_centre": data_centre})
        return True

    def end(
        self, data_centre: ids.DataCentre, now: float, ending: Ending = Ending.REMOVED
    ) -> bool:
        """Ends an evacuation; returns whether the data centre was evacuated.

        Args:
            data_centre: The data centre.
            now: The time.
            ending: Why it ends, for the log.
        """
        if data_centre not in self.data_centres:
            return False
        self.data_centres.discard(data_centre)
        self._kept_until_by_data_centre.pop(data_centre, None)
        self._ended_at_by_data_centre[data_centre] = now
        lasted_s = now - self._began_at_by_data_centre.pop(data_centre)
        logger.info(
            "evacuation ended",
            extra={
                "data_centre": data_centre,
                "reason": ending.value,
                "lasted_s": round(lasted_s, 2),
            },
        )
        return True

    def keep_only(self, listed: set[ids.DataCentre], now: float) -> None:
        """Ends the evacuations that are missing from a complete listing.

        Those that an older copy lacked still wait for their writer.
        """
        missing = self.data_centres - listed - self._kept_until_by_data_centre.keys()
        for data_centre in missing:
            self.end(data_centre, now, Ending.NOT_LISTED)

    def note_restore(self, listed: set[ids.DataCentre], now: float) -> None:
        """Records that the platform's log has come back from an older copy.

        Evacuations that the copy lacks hold on until `expire` ends them, unless their
        record is written again.

        Args:
            listed: The data centres whose records the copy has.
            now: The time.
        """
        for data_centre in self.data_centres - listed:
            until = self._kept_until_by_data_centre.setdefault(
                data_centre, now + KEPT_S
            )
            logger.warning(
                "evacuation holds, though the restored log lacks its record",
                extra={"data_centre": data_centre, "for_s": round(until - now, 1)},
            )

    def expire(self, now: float) -> None:
        """Ends the evacuations whose records were not written again in time."""
        for data_centre, until in list(self._kept_until_by_data_centre.items()):
            if now >= until:
                self.end(data_centre, now, Ending.NOT_REPEATED)
