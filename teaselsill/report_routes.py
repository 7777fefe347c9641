"""Chooses which routers a report is sent to, so that few bytes cross data centres.

A router tells the routers of its own data centre itself. In each other data centre it
tells one, its contact there, which passes the report on to the routers beside it.
"""

import collections.abc
import dataclasses
import hashlib

from teaselsill import ids

CONTACTS = 2
"""How many routers of another data centre a router is connected to: one that is told,
and one in reserve."""


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another router.

    Attributes:
        id: Its id.
        data_centre: Where it runs.
        host: Its IP address.
        port: The port on which it takes reports.
    """

    id: ids.InstanceId
    data_centre: ids.DataCentre
    host: str
    port: int


FindPenalty = collections.abc.Callable[[ids.InstanceId], int]


class ReportRoutes:
    """The routers that one router knows, and which of them it tells.

    Args:
        router: The router itself.
        data_centre: Where it runs.

    Attributes:
        peer_by_id: The other routers.
    """

    def __init__(self, router: ids.InstanceId, data_centre: ids.DataCentre):
        self.peer_by_id: dict[ids.InstanceId, Peer] = {}
        self._router = router
        self._data_centre = data_centre
        self._rank_by_id: dict[ids.InstanceId, bytes] = {}
        self._ranked_by_data_centre: dict[ids.DataCentre, list[ids.InstanceId]] = {}

    def put(self, peer: Peer) -> None:
        """Takes another router, or its new address."""
        self.peer_by_id[peer.id] = peer
        if peer.id not in self._rank_by_id:
            self._rank_by_id[peer.id] = self._find_rank(peer.id)
        self._sort()

    def remove(self, peer: ids.InstanceId) -> None:
        """Forgets a router that has left."""
        self.peer_by_id.pop(peer, None)
        self._rank_by_id.pop(peer, None)
        self._sort()

    def list_local(self) -> list[ids.InstanceId]:
        """Returns the other routers of the own data centre."""
        return self._ranked_by_data_centre.get(self._data_centre, [])

    def list_contacts(self, find_penalty: FindPenalty) -> list[list[ids.InstanceId]]:
        """Returns the contacts in each other data centre, the best first.

        Each router has an order of its own, so that the work of passing on is spread.

        Args:
            find_penalty: Returns how little a router suits; the least goes first, and
                the router's own order decides between equals.
        """
        return [
            sorted(ranked, key=find_penalty)[:CONTACTS]
            for data_centre, ranked in self._ranked_by_data_centre.items()
            if data_centre != self._data_centre
        ]

    def _sort(self) -> None:
        self._ranked_by_data_centre = {}
        for peer in sorted(self.peer_by_id, key=self._rank_by_id.__getitem__):
            data_centre = self.peer_by_id[peer].data_centre
            self._ranked_by_data_centre.setdefault(data_centre, []).append(peer)

    def _find_rank(self, peer: ids.InstanceId) -> bytes:
        text = f"{self._router}/{peer}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()
