"""Chooses which routers get a report, so that few bytes cross data centres.

A router sends its reports directly to the routers of its own data centre. In each other
data centre it sends them to one router, its contact, which forwards them to the other
routers there.
"""

import collections.abc
import dataclasses

from teaselsill import ids, rendezvous

CONTACTS = 2
"""How many routers of another data centre a router is connected to: one that gets the
reports and one as a spare."""


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another router.

    Attributes:
        id: Its id.
        data_centre: Where it runs.
        host: Its IP address.
        port: The port on which it receives reports.
    """

    id: ids.InstanceId
    data_centre: ids.DataCentre
    host: str
    port: int


FindPenalty = collections.abc.Callable[[ids.InstanceId], int]


class ReportRoutes:
    """The other routers, and which of them one router sends its reports to.

    Args:
        router: The router that sends the reports.
        data_centre: Where it runs.

    Attributes:
        peer_by_id: The other routers.
    """

    def __init__(self, router: ids.InstanceId, data_centre: ids.DataCentre):
        self.peer_by_id: dict[ids.InstanceId, Peer] = {}
        self._router = router
        self._data_centre = data_centre
        self._rank_by_id: dict[ids.InstanceId, int] = {}
        self._ranked_by_data_centre: dict[ids.DataCentre, list[ids.InstanceId]] = {}

    def put(self, peer: Peer) -> None:
        """Adds another router, or updates its address."""
        self.peer_by_id[peer.id] = peer
        if peer.id not in self._rank_by_id:
            self._rank_by_id[peer.id] = rendezvous.find_rank(self._router, peer.id)
        self._sort()

    def remove(self, peer: ids.InstanceId) -> None:
        """Removes a router that has left."""
        self.peer_by_id.pop(peer, None)
        self._rank_by_id.pop(peer, None)
        self._sort()

    def list_local(self) -> list[ids.InstanceId]:
        """Returns the other routers of the router's own data centre."""
        return self._ranked_by_data_centre.get(self._data_centre, [])

    def list_contacts(self, find_penalty: FindPenalty) -> list[list[ids.InstanceId]]:
        """Returns the contacts in each other data centre, the best first.

        Each router ranks the others in its own pseudorandom order, so that the work of
        forwarding reports is spread.

        Args:
            find_penalty: Returns the penalty of a router as a contact. The lowest
                penalty goes first; the router's own ranking breaks ties.
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
