"""Types of the identifiers that the processes of the fleet exchange."""

import secrets
import typing

AccountId = typing.NewType("AccountId", str)
ServiceName = typing.NewType("ServiceName", str)
UpstreamId = typing.NewType("UpstreamId", str)
InstanceId = typing.NewType("InstanceId", str)
DataCentre = typing.NewType("DataCentre", str)
Region = typing.NewType("Region", str)
RequestId = typing.NewType("RequestId", str)
PartKey = typing.NewType("PartKey", str)

Incarnation = typing.NewType("Incarnation", str)
"""Identifies one run of a process; it changes with every restart."""

AttemptId = typing.NewType("AttemptId", str)
"""Identifies one dispatch of a request to one agent incarnation."""

GrantId = typing.NewType("GrantId", int)
"""Identifies a slot that an agent granted to a router; a counter of the agent."""

Offset = typing.NewType("Offset", int)
"""The position of a record in a stream of the log service, from 0."""

Era = typing.NewType("Era", int)
"""How often the log service has come back from an older copy; see `log_position`."""

NO_ERA = Era(-1)
"""The era of a log service that states none; lower than any other."""

Version = typing.NewType("Version", int)
"""Identifies a configuration: the offset of the record that published it."""

NO_VERSION = Version(-1)
"""The version of a node that has no configuration yet; lower than any other."""

RANDOM_BYTES = 9


def new_random_id() -> str:
    """Returns 12 random URL-safe characters, unique for all practical purposes."""
    return secrets.token_urlsafe(RANDOM_BYTES)
