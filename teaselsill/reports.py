"""What each process tells of itself, and the operators' reports made of it."""

import msgspec

from teaselsill import ids, instances, service_levels


class Served(msgspec.Struct, frozen=True):
    """What an agent served to one client account.

    Attributes:
        service: The agent's service.
        account: The client account.
        normalised: The fleet-wide counter that the agent knows: cost over share.
        is_backlogged: Whether requests of the client account wait.
    """

    service: ids.ServiceName
    account: ids.AccountId
    normalised: float
    is_backlogged: bool


class Slots(msgspec.Struct, frozen=True):
    """How an agent's slots are used.

    Attributes:
        busy: Slots that run a request now.
        total: All slots.
        busy_s: The sum over the slots of the time that each was busy, in seconds.
    """

    busy: int = 0
    total: int = 0
    busy_s: float = 0.0


class NodeReport(msgspec.Struct, frozen=True, kw_only=True):
    """What one process tells of itself.

    Attributes:
        instance: Its name.
        role: What it does.
        incarnation: The run that the numbers count from.
        data_centre: Where it runs.
        version: The configuration version that is in force there.
        uptime_s: The time since the run began, in seconds.
        levels: A router's counts of requests against the targets.
        served: An agent's counters of the client accounts.
        slots: An agent's slots.
        upstream: The upstream beside an agent; empty for a router.
        service: The service of an agent's upstream; empty for a router.
        served_cost: The cost that an agent has served in this run.
        count_by_outcome: Requests that ended in this run, by outcome.
        control_bytes_by_type: Bytes sent to peers, by the type of message.
        violation_count_by_name: Invariant violations, by class.
    """

    instance: ids.InstanceId
    role: instances.Role
    incarnation: ids.Incarnation
    data_centre: ids.DataCentre
    version: ids.Version
    uptime_s: float
    levels: list[service_levels.ServiceLevel] = []
    served: list[Served] = []
    slots: Slots = Slots()
    upstream: ids.UpstreamId = ids.UpstreamId("")
    service: ids.ServiceName = ids.ServiceName("")
    served_cost: float = 0.0
    count_by_outcome: dict[str, int] = {}
    control_bytes_by_type: dict[str, int] = {}
    violation_count_by_name: dict[str, int] = {}
