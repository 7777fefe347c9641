"""The platform's lagging list of instances: its interface, and one held in memory."""

import abc
import enum

import msgspec

from teaselsill import errors, ids


class InstanceListUnavailableError(errors.InstanceListError):
    """The instance list did not answer, or not in its format."""


class Role(enum.Enum):
    """What a process of the fleet does."""

    ROUTER = "router"
    AGENT = "agent"
    CONSOLE = "console"


class InstanceState(enum.Enum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """One process of the fleet, as the platform lists it.

    Attributes:
        id: The name that the platform gave the slot.
        role: What runs there.
        data_centre: Where it runs.
        host: The IP number of its peer port.
        port: The TCP port where an agent takes peers, or 0 for a router.
        admin_port: The TCP port of its admin pages.
        service: The service that an agent's upstream belongs to; empty for a router.
        upstream: The upstream that an agent stands beside; empty for a router.
        state: Whether it is live or leaving.
    """

    id: ids.InstanceId
    role: Role
    data_centre: ids.DataCentre
    host: str
    port: int = 0
    admin_port: int = 0
    service: ids.ServiceName = ids.ServiceName("")
    upstream: ids.UpstreamId = ids.UpstreamId("")
    state: InstanceState = InstanceState.LIVE


class InstanceList(abc.ABC):
    """Lists the live and leaving instances; what it says may be seconds old."""

    @abc.abstractmethod
    async def fetch(self) -> dict[ids.InstanceId, Instance]:
        """Returns the instances by id.

        Raises:
            InstanceListUnavailableError: No usable reply came.
        """

    async def close(self) -> None:
        """Frees what the client holds."""


class MemoryInstanceList(InstanceList):
    """A list held in memory, for tests.

    Attributes:
        by_id: What the next fetch returns.
        down: While true, every fetch fails.
    """

    def __init__(self, instances: list[Instance] | None = None):
        self.by_id = {instance.id: instance for instance in instances or []}
        self.down = False

    async def fetch(self) -> dict[ids.InstanceId, Instance]:
        """Returns a copy of the list; see `InstanceList.fetch`."""
        if self.down:
            raise InstanceListUnavailableError("the instance list is down")
        return dict(self.by_id)
