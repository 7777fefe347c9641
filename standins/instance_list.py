"""A stand-in for the platform's lagging list of instances."""

import asyncio
import collections
import dataclasses
import hashlib
import math
import time
import typing

import cappa
import msgspec
from starlette import exceptions, requests, responses, routing

from standins import base
from teaselsill import ids, instances


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The faults of the instance list.

    Attributes:
        down: Every call fails with status 503 and has no effect.
        delay_s: How long each call waits before it takes effect, in seconds.
        lag_s: How much older the list is that readers see, in seconds.
    """

    down: bool = False
    delay_s: float = 0.0
    lag_s: float = 0.0


class ListBody(msgspec.Struct):
    """The reply to a read.

    Attributes:
        instances: The live and leaving instances.
    """

    instances: list[instances.Instance]


@dataclasses.dataclass(frozen=True)
class _Snapshot:
    time_s: float
    instances_by_id: dict[ids.InstanceId, instances.Instance]


class InstanceListService:
    """The list, its recent past and its faults.

    Args:
        lag_s: How old the list is that readers see, in seconds.

    Attributes:
        faults: The faults in force.
    """

    def __init__(self, lag_s: float = 0.0):
        self.faults = Faults()
        self._lag_s = lag_s
        self._snapshots = collections.deque([_Snapshot(-math.inf, {})])

    async def read(self, request: requests.Request) -> responses.Response:
        """Returns the list as it was some time ago, unless the reader has it."""
        await self._apply_faults()
        self._drop_old_snapshots()
        listed = self._snapshots[0].instances_by_id.values()
        reply = base.json_response(ListBody(list(listed)))
        entity_tag = f'"{hashlib.sha256(reply.body).hexdigest()}"'
        headers = {"ETag": entity_tag}
        if request.headers.get("If-None-Match") == entity_tag:
            return responses.Response(status_code=304, headers=headers)
        reply.headers.update(headers)
        return reply

    async def put(self, request: requests.Request) -> responses.Response:
        """Adds or replaces an instance."""
        await self._apply_faults()
        instance = await base.decode_body(request, instances.Instance)
        if instance.id != request.path_params["id"]:
            raise exceptions.HTTPException(400, "the ids in path and body differ")
        self._record({**self._newest(), instance.id: instance})
        return base.json_response(instance)

    async def delete(self, request: requests.Request) -> responses.Response:
        """Removes an instance; one that is not listed is no error."""
        await self._apply_faults()
        instances_by_id = dict(self._newest())
        instances_by_id.pop(request.path_params["id"], None)
        self._record(instances_by_id)
        return responses.Response(status_code=204)

    def _newest(self) -> dict[ids.InstanceId, instances.Instance]:
        return self._snapshots[-1].instances_by_id

    def _record(self, instances_by_id) -> None:
        self._snapshots.append(_Snapshot(time.monotonic(), instances_by_id))
        self._drop_old_snapshots()

    def _drop_old_snapshots(self) -> None:
        visible_s = time.monotonic() - self._lag_s - self.faults.lag_s
        while len(self._snapshots) > 1 and self._snapshots[1].time_s <= visible_s:
            self._snapshots.popleft()

    async def _apply_faults(self) -> None:
        self._check_up()
        await asyncio.sleep(self.faults.delay_s)
        self._check_up()

    def _check_up(self) -> None:
        if self.faults.down:
            raise exceptions.HTTPException(503, "the instance list is down")


def create_app(lag_s: float = 0.0) -> base.Application:
    """Makes the application.

    Args:
        lag_s: How old the list is that readers see, in seconds.
    """
    service = InstanceListService(lag_s)
    return base.Application(
        routes=[
            *base.admin_routes(service),
            routing.Route("/instances", service.read),
            routing.Route("/instances/{id}", service.put, methods=["PUT"]),
            routing.Route("/instances/{id}", service.delete, methods=["DELETE"]),
        ]
    )


@cappa.command(name="instance_list")
@dataclasses.dataclass
class Command(base.Command):
    """Serves a stand-in for the platform's instance list.

    Attributes:
        lag_s: How old the list is that readers see, in seconds.
    """

    lag_s: typing.Annotated[float, cappa.Arg(long=True)] = 0.0

    def __call__(self) -> None:
        """Serves until the process is told to stop."""
        self.run(create_app(self.lag_s))


if __name__ == "__main__":
    cappa.invoke(Command)
