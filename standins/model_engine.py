"""A stand-in for a model engine with resumable streams."""

import asyncio
import collections
import collections.abc
import dataclasses
import typing
import uuid

import cappa
import msgspec
from starlette import exceptions, requests, responses, routing

from standins import base, completions, fencing, generations, prefix_cache

CACHE_BLOCKS = 4096
KINDS_BY_PATH = {
    "/v1/chat/completions": completions.Kind.CHAT,
    "/v1/completions": completions.Kind.TEXT,
}


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The faults of the model engine.

    Attributes:
        stall: Streams pause without closing; the generation goes on.
        stall_after: The next stream to have sent this many events pauses for good;
            0 for none.
        refuse: New requests fail with status 503.
        drop_connection: New requests do not run, streams break off; all are closed.
    """

    stall: bool = False
    stall_after: int = 0
    refuse: bool = False
    drop_connection: bool = False


class Model(msgspec.Struct):
    """A model that the engine has loaded.

    Attributes:
        id: Its name.
        object: Always `model`.
    """

    id: str
    object: str = "model"


class ModelsBody(msgspec.Struct):
    """The reply to a request for the models.

    Attributes:
        data: The models.
        object: Always `list`.
    """

    data: list[Model]
    object: str = "list"


class LoadBody(msgspec.Struct):
    """The engine's load report.

    Attributes:
        running: The number of running generations.
        slots: How many run at full speed.
        generated_tokens: The tokens generated since the start.
    """

    running: int
    slots: int
    generated_tokens: int


class ExecutionsBody(msgspec.Struct):
    """How many generations started.

    Attributes:
        by_request: The number by `X-Request-Id`.
    """

    by_request: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Options:
    """How the engine behaves.

    Attributes:
        token_ms: The time for one token at full speed, in milliseconds.
        slots: How many generations run at full speed.
        models: The names of the loaded models.
        linger_s: How long a generation without a reader is kept, in seconds.
        fencing_mode: Whether fencing numbers are checked.
    """

    token_ms: float = 10.0
    slots: int = 16
    models: tuple[str, ...] = ("a",)
    linger_s: float = 10.0
    fencing_mode: fencing.Mode = fencing.Mode.IGNORED


class ModelEngine:
    """The generations and the faults.

    Args:
        options: How the engine behaves.
    """

    def __init__(self, options: Options):
        self._unstalled = asyncio.Event()
        self.faults = Faults()
        self._options = options
        self._fence = fencing.FencingChecker(options.fencing_mode)
        self._cache = prefix_cache.PrefixCache(CACHE_BLOCKS)
        self._generations_by_request: dict[str, generations.Generation] = {}
        self._executions_by_request = collections.Counter()
        self._running = 0
        self._generated_tokens = 0

    @property
    def faults(self) -> Faults:
        """The faults in force."""
        return self._faults

    @faults.setter
    def faults(self, value: Faults) -> None:
        self._faults = value
        if value.stall:
            self._unstalled.clear()
        else:
            self._unstalled.set()

    async def complete(self, request: requests.Request) -> responses.Response:
        """Starts a completion and sends its answer."""
        body = await base.decode_body(request, completions.Request)
        if self.faults.drop_connection:
            return await base.close_connection(request)
        if self.faults.refuse:
            raise exceptions.HTTPException(503, "the engine refuses requests")
        self._fence.check(request)
        if body.model not in self._options.models:
            raise exceptions.HTTPException(404, f"unknown model {body.model}")
        request_id = request.headers.get("X-Request-Id") or uuid.uuid4().hex
        generation = self._start(request_id, body, KINDS_BY_PATH[request.url.path])
        if body.stream:
            return self._event_reply(request, request_id, generation, 0)
        return await self._whole_reply(request_id, generation)

    async def resume(self, request: requests.Request) -> responses.Response:
        """Sends the events of a stream after the one that was seen last."""
        if self.faults.drop_connection:
            return await base.close_connection(request)
        request_id = request.path_params["id"]
        generation = self._find(request_id)
        last_event_id = request.headers.get("Last-Event-ID", "0")
        if not last_event_id.isdecimal():
            raise exceptions.HTTPException(400, "Last-Event-ID is not a number")
        return self._event_reply(request, request_id, generation, int(last_event_id))

    async def cancel(self, request: requests.Request) -> responses.Response:
        """Stops a generation and drops it."""
        request_id = request.path_params["id"]
        self._drop(request_id, self._find(request_id))
        return responses.Response(status_code=204)

    async def models(self, request: requests.Request) -> responses.Response:
        """Lists the models."""
        loaded = [Model(name) for name in self._options.models]
        return base.json_response(ModelsBody(loaded))

    async def load(self, request: requests.Request) -> responses.Response:
        """Reports the load."""
        slots = self._options.slots
        return base.json_response(
            LoadBody(self._running, slots, self._generated_tokens)
        )

    async def executions(self, request: requests.Request) -> responses.Response:
        """Reports the generations that started."""
        return base.json_response(ExecutionsBody(self._executions_by_request))

    def _find(self, request_id: str) -> generations.Generation:
        if request_id not in self._generations_by_request:
            raise exceptions.HTTPException(404, "unknown stream")
        return self._generations_by_request[request_id]

    def _start(self, request_id, body, kind) -> generations.Generation:
        if request_id in self._generations_by_request:
            self._drop(request_id, self._generations_by_request[request_id])
        cached_tokens = self._cache.add(body.words())
        generation = generations.Generation(request_id, body, kind, cached_tokens)
        generation.task = asyncio.create_task(self._generate(generation))
        self._generations_by_request[request_id] = generation
        self._executions_by_request[request_id] += 1
        self._drop_later(request_id, generation)
        return generation

    async def _generate(self, generation: generations.Generation) -> None:
        self._running += 1
        try:
            for index in range(len(generation.tokens)):
                await asyncio.sleep(self._token_s())
                generation.add_token(index)
                self._generated_tokens += 1
            generation.finish()
        finally:
            self._running -= 1

    def _token_s(self) -> float:
        slowdown = max(1.0, self._running / self._options.slots)
        return self._options.token_ms / 1000 * slowdown

    def _event_reply(self, request, request_id, generation, seen):
        return responses.StreamingResponse(
            self._events(request, request_id, generation, seen),
            media_type="text/event-stream",
            headers={"X-Request-Id": request_id},
        )

    async def _whole_reply(self, request_id, generation) -> responses.Response:
        self._attach(generation)
        try:
            while not generation.is_ended:
                await generation.changed.wait()
        finally:
            self._detach(request_id, generation)
        if len(generation.events) < len(generation.tokens):
            raise exceptions.HTTPException(409, "the completion was cancelled")
        return responses.Response(
            generation.full_response(),
            media_type="application/json",
            headers={"X-Request-Id": request_id},
        )

    async def _events(
        self, request, request_id, generation, seen
    ) -> collections.abc.AsyncIterator[bytes]:
        self._attach(generation)
        sent = 0
        try:
            while seen < len(generation.events) or not generation.is_ended:
                if seen >= len(generation.events):
                    await generation.changed.wait()
                    continue
                await self._stall(sent)
                if self.faults.drop_connection:
                    await base.close_connection(request)
                    return
                seen += 1
                sent += 1
                yield b"id: %d\ndata: %b\n\n" % (seen, generation.events[seen - 1])
        finally:
            self._detach(request_id, generation)

    async def _stall(self, sent: int) -> None:
        if self.faults.stall_after and sent >= self.faults.stall_after:
            self.faults.stall_after = 0
            await asyncio.Event().wait()
        await self._unstalled.wait()

    def _attach(self, generation: generations.Generation) -> None:
        generation.reader_count += 1
        if generation.expiry_timer is not None:
            generation.expiry_timer.cancel()

    def _detach(self, request_id: str, generation: generations.Generation) -> None:
        generation.reader_count -= 1
        if generation.reader_count == 0:
            self._drop_later(request_id, generation)

    def _drop_later(self, request_id: str, generation: generations.Generation) -> None:
        generation.expiry_timer = asyncio.get_running_loop().call_later(
            self._options.linger_s, self._drop, request_id, generation
        )

    def _drop(self, request_id: str, generation: generations.Generation) -> None:
        generation.task.cancel()
        generation.end()
        if self._generations_by_request.get(request_id) is generation:
            del self._generations_by_request[request_id]


def create_app(options: Options | None = None) -> base.Application:
    """Makes the application.

    Args:
        options: How the engine behaves.
    """
    engine = ModelEngine(options or Options())
    return base.Application(
        routes=[
            *base.admin_routes(engine),
            routing.Route("/admin/executions", engine.executions),
            *[
                routing.Route(path, engine.complete, methods=["POST"])
                for path in KINDS_BY_PATH
            ],
            routing.Route("/v1/models", engine.models),
            routing.Route("/v1/streams/{id}", engine.resume),
            routing.Route("/v1/streams/{id}", engine.cancel, methods=["DELETE"]),
            routing.Route("/load", engine.load),
        ]
    )


@cappa.command(name="model_engine")
@dataclasses.dataclass
class Command(base.Command):
    """Serves a stand-in for a model engine.

    Attributes:
        token_ms: The time for one token at full speed, in milliseconds.
        slots: How many generations run at full speed.
        models: The names of the loaded models, with commas between.
        linger_s: How long a generation without a reader is kept, in seconds.
        fencing_mode: Whether fencing numbers are checked.
    """

    token_ms: typing.Annotated[float, cappa.Arg(long=True)] = 10.0
    slots: typing.Annotated[int, cappa.Arg(long=True)] = 16
    models: typing.Annotated[str, cappa.Arg(long=True)] = "a"
    linger_s: typing.Annotated[float, cappa.Arg(long=True)] = 10.0
    fencing_mode: typing.Annotated[fencing.Mode, cappa.Arg(long="--fencing")] = (
        fencing.Mode.IGNORED
    )

    def __call__(self) -> None:
        """Serves until the process is told to stop."""
        options = Options(
            self.token_ms,
            self.slots,
            tuple(self.models.split(",")),
            self.linger_s,
            self.fencing_mode,
        )
        self.run(create_app(options))


if __name__ == "__main__":
    cappa.invoke(Command)
