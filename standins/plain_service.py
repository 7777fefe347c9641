"""A stand-in for an upstream that is a plain HTTP service."""

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
        delay_s: How long a request waits before it runs, in seconds.
        drop_before: Connections close unanswered, and the request does not run.
        drop_after: Requests run, then their connection closes unanswered.
        freeze: Requests are accepted, do not run and are never answered.
    """

    delay_s: float = 0.0
    drop_before: bool = False
    drop_after: bool = False
    freeze: bool = False


class EchoBody(msgspec.Struct, omit_defaults=True):
    """The reply to a request.

    Attributes:
        method: The request's method.
        path: The request's path without the query.
        digest: The SHA-256 digest of the request's body in hexadecimal.
        execution: How many executions had finished, with this one.
        request_id: The request's `X-Request-Id`.
        idempotency_key: The request's `Idempotency-Key`.
        padding: Fills the reply up to the size that was asked for.
    """

    method: str
    path: str
    digest: str
    execution: int
    request_id: str | None = None
    idempotency_key: str | None = None
    padding: str = ""


class ExecutionsBody(msgspec.Struct):
    """How many executions started and finished.

    Attributes:
        by_request: The number by `X-Request-Id`.
        by_key: The number by `Idempotency-Key`.
        by_path: The number by the path without the query.
    """

    by_request: dict[str, int]
    by_key: dict[str, int]
    by_path: dict[str, int]


class PlainService:
    """The executions and the faults.

    Args:
        work_ms: How long an execution takes (on average), in milliseconds.
        work: How that duration is distributed.
        fencing_mode: Whether fencing numbers are checked.

    Attributes:
        faults: The faults in force.
    """

    def __init__(
        self, work_ms: float, work: WorkDistribution, fencing_mode: fencing.Mode
    ):
        self.faults = Faults()
        self._work_ms = work_ms
        self._work = work
        self._fence = fencing.FencingChecker(fencing_mode)
        self._executions = 0
        self._executions_by_request = collections.Counter()
        self._executions_by_key = collections.Counter()
        self._executions_by_path = collections.Counter()

    async def serve(self, request: requests.Request) -> responses.Response:
        """Runs a request, with the faults in force."""
        body = await request.body()
        if self.faults.freeze:
            return await base.wait_for_disconnect(request)
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.drop_before:
            return await base.close_connection(request)
        self._fence.check(request)
        await asyncio.sleep(self._duration_s(request))
        self._count(request)
        if self.faults.drop_after:
            return await base.close_connection(request)
        return self._reply(request, body)

    async def executions(self, request: requests.Request) -> responses.Response:
        """Reports the executions."""
        return base.json_response(
            ExecutionsBody(
                self._executions_by_request,
                self._executions_by_key,
                self._executions_by_path,
            )
        )

    def _duration_s(self, request: requests.Request) -> float:
        if "work_ms" in request.query_params:
            return float(request.query_params["work_ms"]) / 1000
        match self._work:
            case WorkDistribution.FIXED:
                return self._work_ms / 1000
            case WorkDistribution.EXPONENTIAL:
                return random.expovariate(1.0) * self._work_ms / 1000

    def _count(self, request: requests.Request) -> None:
        self._executions += 1
        self._executions_by_path[request.url.path] += 1
        if (request_id := request.headers.get("X-Request-Id")) is not None:
            self._executions_by_request[request_id] += 1
        if (key := request.headers.get("Idempotency-Key")) is not None:
            self._executions_by_key[key] += 1

    def _reply(self, request: requests.Request, body: bytes) -> responses.Response:
        echo = EchoBody(
            request.method,
            request.url.path,
            hashlib.sha256(body).hexdigest(),
            self._executions,
            request.headers.get("X-Request-Id"),
            request.headers.get("Idempotency-Key"),
        )
        _pad(echo, int(request.query_params.get("bytes", 0)))
        return base.json_response(echo, int(request.query_params.get("status", 200)))


def _pad(echo: EchoBody, size: int) -> None:
    """Makes a reply as long as asked, if it is shorter by a field or more."""
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
        work_ms: How long an execution takes (on average), in milliseconds.
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
    """Serves a stand-in for a plain upstream.

    Attributes:
        work_ms: How long an execution takes (on average), in milliseconds.
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
        """Serves until the process is told to stop."""
        self.run(create_app(self.work_ms, self.work, self.fencing_mode))


if __name__ == "__main__":
    cappa.invoke(Command)
