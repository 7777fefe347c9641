"""The admin port of a process: liveness, readiness, version, report and metrics."""

import dataclasses
import typing

import msgspec
from starlette import applications, requests, responses, routing

from teaselsill import ids, metrics, reports

JSON_TYPE = "application/json"


@dataclasses.dataclass(frozen=True, slots=True)
class StatusSource:
    """Functions that return the current status of the process.

    Attributes:
        is_ready: Tells whether the process accepts new work; false while it starts and
            while it stops.
        version: Returns the configuration version in force.
        report: Returns the report of the process.
        totals: Returns the metrics since the process started.
    """

    is_ready: typing.Callable[[], bool]
    version: typing.Callable[[], ids.Version]
    report: typing.Callable[[], reports.NodeReport]
    totals: typing.Callable[[], metrics.Totals]


class Status(msgspec.Struct, frozen=True):
    """The response body of `/live` and `/ready`."""

    status: str


class VersionBody(msgspec.Struct, frozen=True):
    """The response body of `/version`."""

    version: ids.Version


def create_app(source: StatusSource) -> applications.Starlette:
    """Returns the application for the admin port."""

    async def get_live(request: requests.Request) -> responses.Response:
        return _json_response(Status("live"))

    async def get_ready(request: requests.Request) -> responses.Response:
        if source.is_ready():
            return _json_response(Status("ready"))
        return _json_response(Status("not ready"), status_code=503)

    async def get_version(request: requests.Request) -> responses.Response:
        return _json_response(VersionBody(source.version()))

    async def get_report(request: requests.Request) -> responses.Response:
        return _json_response(source.report())

    async def get_counts(request: requests.Request) -> responses.Response:
        return _json_response(source.totals())

    return applications.Starlette(
        routes=[
            routing.Route("/live", get_live),
            routing.Route("/ready", get_ready),
            routing.Route("/version", get_version),
            routing.Route("/report", get_report),
            routing.Route("/counts", get_counts),
        ]
    )


def _json_response(body: msgspec.Struct, status_code: int = 200) -> responses.Response:
    return responses.Response(msgspec.json.encode(body), status_code, None, JSON_TYPE)
