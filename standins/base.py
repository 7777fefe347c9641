"""What all stand-ins share: faults set at run time, JSON replies and the command."""

import asyncio
import dataclasses
import typing

import cappa
import msgspec
import uvicorn
from starlette import applications, exceptions, requests, responses, routing

_Body = typing.TypeVar("_Body", bound=msgspec.Struct)

SHUTDOWN_S = 1
"""How long a stopping stand-in waits for requests in progress, in seconds."""


class ErrorBody(msgspec.Struct):
    """The body of an error reply.

    Attributes:
        error: What went wrong.
    """

    error: str


class HealthBody(msgspec.Struct):
    """The body of the health reply.

    Attributes:
        healthy: Always true.
    """

    healthy: bool = True


class SupportsFaults(typing.Protocol):
    """The state of a stand-in.

    Attributes:
        faults: The faults in force, as a struct with a default for each field.
    """

    faults: typing.Any


@dataclasses.dataclass
class Command:
    """The arguments that every stand-in takes.

    Attributes:
        host: The address to listen on.
        port: The TCP port to listen on.
    """

    host: typing.Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: typing.Annotated[int, cappa.Arg(long=True)] = 8000

    def run(self, app: "Application") -> None:
        """Serves an application until the process is told to stop."""
        uvicorn.run(
            app,
            host=self.host,
            port=self.port,
            log_level="warning",
            timeout_graceful_shutdown=SHUTDOWN_S,
        )


class Application(applications.Starlette):
    """A Starlette application whose handlers can close the connection.

    It needs uvicorn, whose `send` is a method of the object with the transport.
    """

    def __init__(self, routes: list[routing.Route]):
        handlers = {exceptions.HTTPException: _reply_to_exception}
        super().__init__(routes=routes, exception_handlers=handlers)

    async def __call__(self, scope, receive, send):
        """Serves one request; see the ASGI specification."""
        if scope["type"] == "http":
            scope["transport"] = send.__self__.transport
        await super().__call__(scope, receive, send)


def admin_routes(state: SupportsFaults) -> list[routing.Route]:
    """Makes the routes to a stand-in's health and faults."""

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
    """Closes a request's connection at once; the returned reply is never sent."""
    request.scope["transport"].abort()
    await asyncio.sleep(0)
    return responses.Response()


async def wait_for_disconnect(request: requests.Request) -> responses.Response:
    """Waits until the client leaves; the returned reply is never sent."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return responses.Response()


async def decode_body(request: requests.Request, kind: type[_Body]) -> _Body:
    """Decodes a request's JSON body.

    Raises:
        HTTPException: The body does not fit; the reply has status 400.
    """
    try:
        return msgspec.json.decode(await request.body(), type=kind)
    except msgspec.MsgspecError as error:
        raise exceptions.HTTPException(400, str(error)) from error


def json_response(body: msgspec.Struct, status: int = 200) -> responses.Response:
    """Makes a JSON reply; byte strings in the body become base64."""
    return responses.Response(
        msgspec.json.encode(body), status, media_type="application/json"
    )


def error_response(status: int, error: str) -> responses.Response:
    """Makes a JSON error reply."""
    return json_response(ErrorBody(error), status)


async def _reply_to_exception(request, error):
    return error_response(error.status_code, error.detail)
