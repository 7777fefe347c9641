"""The interface of the platform's instance list, and a list in memory."""

import abc
import enum

import msgspec

from teaselsill import errors, ids


class InstanceListUnavailableError(errors.InstanceListError):
    """The instance list did not answer, or not in the expected format."""


class Role(enum.Enum):
    """The role of a process in the fleet."""

    ROUTER = "router"
    AGENT = "agent"
    CONSOLE = "console"


class InstanceState(enum.Enum):
    """The state of an instance according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """One process of the fleet, as the platform lists it.

    Attributes:
        id: Its name on the platform, which a replacement of the process keeps.
        role: Its role.
        data_centre: The data centre that it runs in.
        host: The IP address of its ports.
        port: The TCP port on which an agent accepts peers; 0 for other roles.
        admin_port: The TCP port of its admin pages.
        service: The service of an agent's upstream; empty for other roles.
        upstream: The upstream that an agent serves; empty for other roles.
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
    """A client of the list of live and leaving instances, which lags by seconds."""

    @abc.abstractmethod
    async def fetch(self) -> dict[ids.InstanceId, Instance]:
        """Fetches the instances, by their id.

        Raises:
            InstanceListUnavailableError: No usable reply came.
        """

    async def close(self) -> None:
        """Frees the client's resources."""


class MemoryInstanceList(InstanceList):
    """A list in memory, for tests.

    Attributes:
        by_id: The instances that a fetch returns.
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
