"""Positions in a log that may come back from an older copy of itself."""

import dataclasses
import functools

from teaselsill import errors, ids


class EraMismatchError(errors.LogError):
    """Positions of two eras were compared, although neither precedes the other."""


@functools.total_ordering
@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """The position of a record in one topic.

    A log that comes back from an older copy gives out offsets again, so an offset says
    nothing without the era in which it was given out.

    Attributes:
        era: The era.
        offset: The offset within the era.
    """

    era: ids.Era
    offset: ids.Offset

    def __lt__(self, other: "Position") -> bool:
        """Returns whether this position precedes another one of the same era.

        Raises:
            EraMismatchError: The positions belong to two eras.
        """
        self._check_era(other)
        return self.offset < other.offset

    def advance(self, records: int) -> "Position":
        """Returns the position that so many records later has."""
        return Position(self.era, ids.Offset(self.offset + records))

    def count_since(self, earlier: "Position") -> int:
        """Returns the number of records from an earlier position to this one.

        Raises:
            EraMismatchError: The positions belong to two eras.
        """
        self._check_era(earlier)
        return self.offset - earlier.offset

    def _check_era(self, other: "Position") -> None:
        if self.era != other.era:
            raise EraMismatchError(f"{self} and {other} are of two eras")
