"""A stand-in for the platform's instance list, which lags behind changes."""

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
        down: Every request fails with status 503 and has no effect.
        delay_s: The delay before a request takes effect, in seconds.
        lag_s: How much further reads lag behind changes, in seconds.
    """

    down: bool = False
    delay_s: float = 0.0
    lag_s: float = 0.0


class ListBody(msgspec.Struct):
    """The response to a read.

    Attributes:
        instances: The listed instances, live and leaving.
    """

    instances: list[instances.Instance]


@dataclasses.dataclass(frozen=True)
class _Snapshot:
    taken_at: float
    instance_by_id: dict[ids.InstanceId, instances.Instance]


class InstanceListService:
    """The list, with its recent versions for lagging reads.

    Args:
        lag_s: How far reads lag behind changes, in seconds.

    Attributes:
        faults: The active faults.
    """

    def __init__(self, lag_s: float = 0.0):
        self.faults = Faults()
        self._lag_s = lag_s
        self._snapshots = collections.deque([_Snapshot(-math.inf, {})])

    async def read(self, request: requests.Request) -> responses.Response:
        """Returns the lagging list, or status 304 if the reader has that version."""
        await self._apply_faults()
        self._drop_old_snapshots()
        visible = self._snapshots[0].instance_by_id.values()
        response = base.json_response(ListBody(list(visible)))
        entity_tag = f'"{hashlib.sha256(response.body).hexdigest()}"'
        headers = {"ETag": entity_tag}
        if request.headers.get("If-None-Match") == entity_tag:
            return responses.Response(status_code=304, headers=headers)
        response.headers.update(headers)
        return response

    async def put(self, request: requests.Request) -> responses.Response:
        """Adds or replaces an instance, effective for reads after the lag."""
        await self._apply_faults()
        instance = await base.decode_body(request, instances.Instance)
        if instance.id != request.path_params["id"]:
            raise exceptions.HTTPException(400, "the ids in path and body differ")
        self._add_snapshot({**self._current_instances(), instance.id: instance})
        return base.json_response(instance)

    async def delete(self, request: requests.Request) -> responses.Response:
        """Removes an instance; succeeds if it is not listed."""
        await self._apply_faults()
        instance_by_id = dict(self._current_instances())
        instance_by_id.pop(request.path_params["id"], None)
        self._add_snapshot(instance_by_id)
        return responses.Response(status_code=204)

    def _current_instances(self) -> dict[ids.InstanceId, instances.Instance]:
        return self._snapshots[-1].instance_by_id

    def _add_snapshot(self, instance_by_id) -> None:
        self._snapshots.append(_Snapshot(time.monotonic(), instance_by_id))
        self._drop_old_snapshots()

    def _drop_old_snapshots(self) -> None:
        visible_until = time.monotonic() - self._lag_s - self.faults.lag_s
        while len(self._snapshots) > 1 and self._snapshots[1].taken_at <= visible_until:
            self._snapshots.popleft()

    async def _apply_faults(self) -> None:
        self._raise_if_down()
        await asyncio.sleep(self.faults.delay_s)
        self._raise_if_down()

    def _raise_if_down(self) -> None:
        if self.faults.down:
            raise exceptions.HTTPException(503, "the instance list is down")


def create_app(lag_s: float = 0.0) -> base.Application:
    """Makes the application.

    Args:
        lag_s: How far reads lag behind changes, in seconds.
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
        lag_s: How far reads lag behind changes, in seconds.
    """

    lag_s: typing.Annotated[float, cappa.Arg(long=True)] = 0.0

    def __call__(self) -> None:
        """Serves until the process gets a signal to stop."""
        self.run(create_app(self.lag_s))


if __name__ == "__main__":
    cappa.invoke(Command)
