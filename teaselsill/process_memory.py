"""Finds how much memory a process may hold for its clients."""

import os

MB = 1024 * 1024
PROCESS_BYTES = 64 * MB
"""What a process needs itself, without its clients."""
CLIENTS_RATIO = 0.4
"""The part of the rest that clients may hold; copies and gaps take as much again."""
MIN_CLIENT_BYTES = 16 * MB
"""Twice what the largest head takes."""
BODIES = 4
"""Twice the copies of a body; reading pauses once half of the memory is taken."""


def find_client_bytes(memory_mb: int, max_body_bytes: int) -> int:
    """Returns how many bytes the clients of a process may hold.

    It is enough for the largest request, if there is no other.

    Args:
        memory_mb: How much the process may use, in MB; 0 for all of the machine's.
        max_body_bytes: The largest body of a request.
    """
    total = memory_mb * MB or _read_machine_bytes()
    least = MIN_CLIENT_BYTES + BODIES * max_body_bytes
    return max(least, int(CLIENTS_RATIO * (total - PROCESS_BYTES)))


def _read_machine_bytes() -> int:
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
