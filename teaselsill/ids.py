"""The types of the identifiers that the fleet passes around."""

import secrets
import typing

AccountId = typing.NewType("AccountId", str)
ServiceName = typing.NewType("ServiceName", str)
UpstreamId = typing.NewType("UpstreamId", str)
InstanceId = typing.NewType("InstanceId", str)
DataCentre = typing.NewType("DataCentre", str)
RequestId = typing.NewType("RequestId", str)

Incarnation = typing.NewType("Incarnation", str)
"""Names one run of a process: a restarted process has another one."""

AttemptId = typing.NewType("AttemptId", str)
"""Names one hand-over of a request to one agent incarnation."""

GrantId = typing.NewType("GrantId", int)
"""Names a free slot that an agent offers to a router; counted by the agent."""

Offset = typing.NewType("Offset", int)
"""The place of a record in a stream of the log service, from 0."""

Version = typing.NewType("Version", int)
"""The offset at which a configuration was accepted."""

NO_VERSION = Version(-1)
"""The version of a node that has no configuration yet."""

RANDOM_BYTES = 9


def new_random_id() -> str:
    """Returns 12 URL-safe characters that no other process has used."""
    return secrets.token_urlsafe(RANDOM_BYTES)
