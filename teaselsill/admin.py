"""The admin port of a router or an agent: liveness, readiness and reports."""

import dataclasses
import typing

import msgspec
from starlette import applications, requests, responses, routing

from teaselsill import ids, metrics, reports

JSON_TYPE = "application/json"


@dataclasses.dataclass(frozen=True, slots=True)
class StatusSource:
    """How the admin pages ask the process that they belong to.

    Attributes:
        is_ready: Whether it takes new work; false while it starts and when it leaves.
        version: The configuration version in force.
        report: Builds the report.
        totals: Returns the metrics since the start.
    """

    is_ready: typing.Callable[[], bool]
    version: typing.Callable[[], ids.Version]
    report: typing.Callable[[], reports.NodeReport]
    totals: typing.Callable[[], metrics.Totals]


class Status(msgspec.Struct, frozen=True):
    """The answer of the liveness and readiness pages."""

    status: str


class VersionBody(msgspec.Struct, frozen=True):
    """The answer of the version page."""

    version: ids.Version


def create_app(state: StatusSource) -> applications.Starlette:
    """Returns the application for the admin port."""

    async def get_live(request: requests.Request) -> responses.Response:
        return _answer(Status("live"))

    async def get_ready(request: requests.Request) -> responses.Response:
        if state.is_ready():
            return _answer(Status("ready"))
        return _answer(Status("not ready"), status_code=503)

    async def get_version(request: requests.Request) -> responses.Response:
        return _answer(VersionBody(state.version()))

    async def get_report(request: requests.Request) -> responses.Response:
        return _answer(state.report())

    async def get_counts(request: requests.Request) -> responses.Response:
        return _answer(state.totals())

    return applications.Starlette(
        routes=[
            routing.Route("/live", get_live),
            routing.Route("/ready", get_ready),
            routing.Route("/version", get_version),
            routing.Route("/report", get_report),
            routing.Route("/counts", get_counts),
        ]
    )


def _answer(body: msgspec.Struct, status_code: int = 200) -> responses.Response:
    return responses.Response(msgspec.json.encode(body), status_code, None, JSON_TYPE)
