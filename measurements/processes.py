"""Processor time and memory of processes, as reported by the operating system."""

import dataclasses
import os
import pathlib

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12
"""Indexes in /proc/<pid>/stat, counted from 0 after the command's name."""
RESIDENT_PAGES_FIELD = 1
"""Index in /proc/<pid>/statm, counted from 0."""


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """The resources that a process uses.

    Attributes:
        processor_s: The user and system time so far, in seconds.
        resident_bytes: The resident memory, in bytes.
    """

    processor_s: float
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Reads the resources that a process uses."""
    directory = pathlib.Path("/proc") / str(pid)
    fields = (directory / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    pages = int((directory / "statm").read_text().split()[RESIDENT_PAGES_FIELD])
    return Usage(ticks / TICKS_PER_S, pages * PAGE_BYTES)
