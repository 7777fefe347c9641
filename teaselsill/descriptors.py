"""Shares the file descriptors that a process may open among its purposes."""

import dataclasses
import resource

MIN_OWN = 32
"""Descriptors for files, the log service, the instance list, peers and upstreams."""
OWN_RATIO = 8
"""One in this many descriptors is for the process itself."""
MIN_ADMIN = 8
"""The least connections of the admin port, and of unauthenticated peers."""
MAX_ADMIN = 64
ADMIN_RATIO = 16
"""One in this many descriptors is for the admin port, within these two bounds."""
ACCEPTED = 12
"""Connections of one port that are accepted before the ones too many are closed."""
UNLIMITED = 1_000_000
"""Stands for a system without a limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """How many connections each port of a process may have.

    Attributes:
        clients: The port of callers or browsers.
        admin: The admin port.
        unauthenticated: The port of peers, before they have authenticated themselves.
    """

    clients: int
    admin: int
    unauthenticated: int


def divide(max_fds: int) -> Shares:
    """Divides descriptors.

    Args:
        max_fds: How many the process may open; 0 for as many as the system allows.
    """
    total = max_fds or _read_limit()
    own = max(MIN_OWN, total // OWN_RATIO)
    admin = min(MAX_ADMIN, max(MIN_ADMIN, total // ADMIN_RATIO))
    clients = max(1, total - own - admin - 2 * ACCEPTED)
    return Shares(clients, admin, unauthenticated=max(MIN_ADMIN, total // OWN_RATIO))


def _read_limit() -> int:
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return UNLIMITED if limit == resource.RLIM_INFINITY else limit
