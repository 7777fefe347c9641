"""A stand-in for a plain HTTP service as an upstream."""

import asyncio
import collections
import dataclasses
import enum
import hashlib
import random
import typing

import cappa
import msgspec
from starlette import requests, responses, routing

from standins import base, fencing

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


class WorkDistribution(enum.Enum):
    """How the duration of an execution is distributed."""

    EXPONENTIAL = "exponential"
    FIXED = "fixed"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The faults of the plain service.

    Attributes:
        delay_s: The delay before a request runs, in seconds.
        drop_before: Connections close before their request runs.
        drop_after: Connections close after their request has run, without a response.
        freeze: Requests are accepted, but do not run and never get a response.
    """

    delay_s: float = 0.0
    drop_before: bool = False
    drop_after: bool = False
    freeze: bool = False


class EchoBody(msgspec.Struct, omit_defaults=True):
    """The response to a request, which describes the request.

    Attributes:
        method: The request's method.
        path: The request's path without the query.
        digest: The SHA-256 digest of the request's body in hexadecimal.
        execution: The number of finished executions, including this one.
        request_id: The request's `X-Request-Id`.
        idempotency_key: The request's `Idempotency-Key`.
        padding: Padding up to the requested size.
    """

    method: str
    path: str
    digest: str
    execution: int
    request_id: str | None = None
    idempotency_key: str | None = None
    padding: str = ""


class ExecutionsBody(msgspec.Struct):
    """The numbers of finished executions.

    Attributes:
        by_request: The number by `X-Request-Id`.
        by_key: The number by `Idempotency-Key`.
        by_path: The number by path without the query.
    """

    by_request: dict[str, int]
    by_key: dict[str, int]
    by_path: dict[str, int]


class PlainService:
    """The state of a plain service: its counts of executions and its faults.

    Args:
        work_ms: The (mean) duration of an execution, in milliseconds.
        work: How that duration is distributed.
        fencing_mode: Whether fencing numbers are checked.

    Attributes:
        faults: The active faults.
    """

    def __init__(
        self, work_ms: float, work: WorkDistribution, fencing_mode: fencing.Mode
    ):
        self.faults = Faults()
        self._work_ms = work_ms
        self._work = work
        self._fencing_checker = fencing.FencingChecker(fencing_mode)
        self._execution_count = 0
        self._executions_by_request_id = collections.Counter()
        self._executions_by_key = collections.Counter()
        self._executions_by_path = collections.Counter()

    async def serve(self, request: requests.Request) -> responses.Response:
        """Executes a request, subject to the active faults."""
        body = await request.body()
        if self.faults.freeze:
            return await base.wait_for_disconnect(request)
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.drop_before:
            return await base.close_connection(request)
        self._fencing_checker.check(request)
        await asyncio.sleep(self._draw_duration_s(request))
        self._count_execution(request)
        if self.faults.drop_after:
            return await base.close_connection(request)
        return self._make_response(request, body)

    async def executions(self, request: requests.Request) -> responses.Response:
        """Returns the numbers of finished executions."""
        return base.json_response(
            ExecutionsBody(
                self._executions_by_request_id,
                self._executions_by_key,
                self._executions_by_path,
            )
        )

    def _draw_duration_s(self, request: requests.Request) -> float:
        if "work_ms" in request.query_params:
            return float(request.query_params["work_ms"]) / 1000
        match self._work:
            case WorkDistribution.FIXED:
                return self._work_ms / 1000
            case WorkDistribution.EXPONENTIAL:
                return random.expovariate(1.0) * self._work_ms / 1000

    def _count_execution(self, request: requests.Request) -> None:
        self._execution_count += 1
        self._executions_by_path[request.url.path] += 1
        if (request_id := request.headers.get("X-Request-Id")) is not None:
            self._executions_by_request_id[request_id] += 1
        if (key := request.headers.get("Idempotency-Key")) is not None:
            self._executions_by_key[key] += 1

    def _make_response(
        self, request: requests.Request, body: bytes
    ) -> responses.Response:
        echo = EchoBody(
            request.method,
            request.url.path,
            hashlib.sha256(body).hexdigest(),
            self._execution_count,
            request.headers.get("X-Request-Id"),
            request.headers.get("Idempotency-Key"),
        )
        _pad(echo, int(request.query_params.get("bytes", 0)))
        return base.json_response(echo, int(request.query_params.get("status", 200)))


def _pad(echo: EchoBody, size: int) -> None:
    """Pads a body to a size, if there is room for the field `padding`."""
    echo.padding = "x"
    missing = size - len(msgspec.json.encode(echo))
    echo.padding = "x" * (missing + 1) if missing >= 0 else ""


def create_app(
    work_ms: float = 0.0,
    work: WorkDistribution = WorkDistribution.FIXED,
    fencing_mode: fencing.Mode = fencing.Mode.IGNORED,
) -> base.Application:
    """Makes the application.

    Args:
        work_ms: The (mean) duration of an execution, in milliseconds.
        work: How that duration is distributed.
        fencing_mode: Whether fencing numbers are checked.
    """
    service = PlainService(work_ms, work, fencing_mode)
    return base.Application(
        routes=[
            *base.admin_routes(service),
            routing.Route("/admin/executions", service.executions),
            routing.Route("/{path:path}", service.serve, methods=METHODS),
        ]
    )


@cappa.command(name="plain_service")
@dataclasses.dataclass
class Command(base.Command):
    """Serves a stand-in for a plain HTTP service.

    Attributes:
        work_ms: The (mean) duration of an execution, in milliseconds.
        work: How that duration is distributed.
        fencing_mode: Whether fencing numbers are checked.
    """

    work_ms: typing.Annotated[float, cappa.Arg(long=True)] = 20.0
    work: typing.Annotated[WorkDistribution, cappa.Arg(long=True)] = (
        WorkDistribution.EXPONENTIAL
    )
    fencing_mode: typing.Annotated[fencing.Mode, cappa.Arg(long="--fencing")] = (
        fencing.Mode.IGNORED
    )

    def __call__(self) -> None:
        """Serves until the process gets a signal to stop."""
        self.run(create_app(self.work_ms, self.work, self.fencing_mode))


if __name__ == "__main__":
    cappa.invoke(Command)
