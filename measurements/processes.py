"""Processor time and memory of running processes, as the operating system counts."""

import dataclasses
import os
import pathlib

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12
"""Positions in /proc/<pid>/stat, counted from 0 behind the command's name."""
RESIDENT_PAGES_FIELD = 1
"""The position in /proc/<pid>/statm, counted from 0."""


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used so far.

    Attributes:
        processor_s: User and system time, in seconds.
        resident_bytes: Memory in use, in bytes.
    """

    processor_s: float
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Returns what a process has used so far."""
    directory = pathlib.Path("/proc") / str(pid)
    fields = (directory / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    pages = int((directory / "statm").read_text().split()[RESIDENT_PAGES_FIELD])
    return Usage(ticks / TICKS_PER_S, pages * PAGE_BYTES)
