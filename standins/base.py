"""The base of all stand-ins: application, command line, fault switches and JSON."""

import asyncio
import dataclasses
import typing

import cappa
import msgspec
import uvicorn
from starlette import applications, exceptions, requests, responses, routing

_Body = typing.TypeVar("_Body", bound=msgspec.Struct)

SHUTDOWN_TIMEOUT_S = 1
"""How long a stopping stand-in waits for requests in flight, in seconds."""


class ErrorBody(msgspec.Struct):
    """The body of an error response.

    Attributes:
        error: A description of the error.
    """

    error: str


class HealthBody(msgspec.Struct):
    """The body of a health response.

    Attributes:
        healthy: Always true.
    """

    healthy: bool = True


class SupportsFaults(typing.Protocol):
    """The state of a stand-in whose faults can be switched at run time.

    Attributes:
        faults: The active faults, as a struct with a default for each field.
    """

    faults: typing.Any


@dataclasses.dataclass
class Command:
    """The command-line arguments that every stand-in takes.

    Attributes:
        host: The address to listen on.
        port: The TCP port to listen on.
    """

    host: typing.Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: typing.Annotated[int, cappa.Arg(long=True)] = 8000

    def run(self, app: "Application") -> None:
        """Serves an application until the process gets a signal to stop."""
        uvicorn.run(
            app,
            host=self.host,
            port=self.port,
            log_level="warning",
            timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
        )


class Application(applications.Starlette):
    """A Starlette application whose handlers can abort the connection.

    It works with uvicorn only, whose `send` callable is a bound method of an object
    that has the connection's transport.
    """

    def __init__(self, routes: list[routing.Route]):
        handlers = {exceptions.HTTPException: _handle_exception}
        super().__init__(routes=routes, exception_handlers=handlers)

    async def __call__(self, scope, receive, send):
        """Adds the connection's transport to the scope; see the ASGI specification."""
        if scope["type"] == "http":
            scope["transport"] = send.__self__.transport
        await super().__call__(scope, receive, send)


def admin_routes(state: SupportsFaults) -> list[routing.Route]:
    """Makes the routes for reading a stand-in's health and switching its faults."""

    async def get_health(request):
        return json_response(HealthBody())

    async def get_faults(request):
        return json_response(state.faults)

    async def put_faults(request):
        state.faults = await decode_body(request, type(state.faults))
        return json_response(state.faults)

    return [
        routing.Route("/admin/health", get_health),
        routing.Route("/admin/faults", get_faults),
        routing.Route("/admin/faults", put_faults, methods=["PUT"]),
    ]


async def close_connection(request: requests.Request) -> responses.Response:
    """Aborts a request's connection; the returned response is never sent."""
    request.scope["transport"].abort()
    await asyncio.sleep(0)
    return responses.Response()


async def wait_for_disconnect(request: requests.Request) -> responses.Response:
    """Waits until the client disconnects; the returned response is never sent."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return responses.Response()


async def decode_body(request: requests.Request, body_type: type[_Body]) -> _Body:
    """Decodes a request's JSON body.

    Raises:
        HTTPException: The body does not match the type; the response has status 400.
    """
    try:
        return msgspec.json.decode(await request.body(), type=body_type)
    except msgspec.MsgspecError as error:
        raise exceptions.HTTPException(400, str(error)) from error


def json_response(body: msgspec.Struct, status: int = 200) -> responses.Response:
    """Makes a JSON response; byte strings in the body become base64."""
    return responses.Response(
        msgspec.json.encode(body), status, media_type="application/json"
    )


def error_response(status: int, error: str) -> responses.Response:
    """Makes a JSON error response."""
    return json_response(ErrorBody(error), status)


async def _handle_exception(request, error):
    return error_response(error.status_code, error.detail)
