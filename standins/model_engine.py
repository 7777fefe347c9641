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
KIND_BY_PATH = {
    "/v1/chat/completions": completions.Kind.CHAT,
    "/v1/completions": completions.Kind.TEXT,
}


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The faults of the model engine.

    Attributes:
        stall: Streams send nothing but stay open; the generations go on.
        stall_after: The next stream that has sent this many events sends nothing more,
            but stays open; 0 for none.
        refuse: New requests fail with status 503.
        drop_connection: New requests do not run, and streams stop; the connections of
            both are closed.
    """

    stall: bool = False
    stall_after: int = 0
    refuse: bool = False
    drop_connection: bool = False


class Model(msgspec.Struct):
    """A loaded model, as the list of models shows it.

    Attributes:
        id: Its name.
        object: Always `model`.
    """

    id: str
    object: str = "model"


class ModelsBody(msgspec.Struct):
    """The response to a request for the list of models.

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
        slots: How many generations run at full speed.
        generated_tokens: The number of tokens generated since the start.
    """

    running: int
    slots: int
    generated_tokens: int


class ExecutionsBody(msgspec.Struct):
    """The numbers of generations that were started.

    Attributes:
        by_request: The number by `X-Request-Id`.
    """

    by_request: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Options:
    """The configuration of a model engine.

    Attributes:
        token_ms: The time per token at full speed, in milliseconds.
        slots: How many generations run at full speed; with more, all slow down.
        models: The names of the loaded models.
        linger_s: How long a generation without readers is kept, in seconds.
        fencing_mode: Whether fencing numbers are checked.
    """

    token_ms: float = 10.0
    slots: int = 16
    models: tuple[str, ...] = ("a",)
    linger_s: float = 10.0
    fencing_mode: fencing.Mode = fencing.Mode.IGNORED


class ModelEngine:
    """The state of a model engine: its generations, prefix cache and faults.

    Args:
        options: The configuration.
    """

    def __init__(self, options: Options):
        self._not_stalled = asyncio.Event()
        self.faults = Faults()
        self._options = options
        self._fencing_checker = fencing.FencingChecker(options.fencing_mode)
        self._cache = prefix_cache.PrefixCache(CACHE_BLOCKS)
        self._generation_by_request_id: dict[str, generations.Generation] = {}
        self._executions_by_request_id = collections.Counter()
        self._running = 0
        self._generated_tokens = 0

    @property
    def faults(self) -> Faults:
        """The active faults."""
        return self._faults

    @faults.setter
    def faults(self, value: Faults) -> None:
        self._faults = value
        if value.stall:
            self._not_stalled.clear()
        else:
            self._not_stalled.set()

    async def complete(self, request: requests.Request) -> responses.Response:
        """Starts a generation and responds with its stream or its complete text."""
        body = await base.decode_body(request, completions.Request)
        if self.faults.drop_connection:
            return await base.close_connection(request)
        if self.faults.refuse:
            raise exceptions.HTTPException(503, "the engine refuses requests")
        self._fencing_checker.check(request)
        if body.model not in self._options.models:
            raise exceptions.HTTPException(404, f"unknown model {body.model}")
        request_id = request.headers.get("X-Request-Id") or uuid.uuid4().hex
        generation = self._start_generation(
            request_id, body, KIND_BY_PATH[request.url.path]
        )
        if body.stream:
            return self._make_stream_response(request, request_id, generation, 0)
        return await self._make_full_response(request_id, generation)

    async def resume(self, request: requests.Request) -> responses.Response:
        """Resumes a stream after the event that the header `Last-Event-ID` names."""
        if self.faults.drop_connection:
            return await base.close_connection(request)
        request_id = request.path_params["id"]
        generation = self._find_generation(request_id)
        last_event_id = request.headers.get("Last-Event-ID", "0")
        if not last_event_id.isdecimal():
            raise exceptions.HTTPException(400, "Last-Event-ID is not a number")
        return self._make_stream_response(
            request, request_id, generation, int(last_event_id)
        )

    async def cancel(self, request: requests.Request) -> responses.Response:
        """Cancels a generation."""
        request_id = request.path_params["id"]
        self._drop_generation(request_id, self._find_generation(request_id))
        return responses.Response(status_code=204)

    async def models(self, request: requests.Request) -> responses.Response:
        """Returns the loaded models."""
        loaded = [Model(name) for name in self._options.models]
        return base.json_response(ModelsBody(loaded))

    async def load(self, request: requests.Request) -> responses.Response:
        """Returns the load of the engine."""
        slots = self._options.slots
        return base.json_response(
            LoadBody(self._running, slots, self._generated_tokens)
        )

    async def executions(self, request: requests.Request) -> responses.Response:
        """Returns the numbers of generations that were started."""
        return base.json_response(ExecutionsBody(self._executions_by_request_id))

    def _find_generation(self, request_id: str) -> generations.Generation:
        if request_id not in self._generation_by_request_id:
            raise exceptions.HTTPException(404, "unknown stream")
        return self._generation_by_request_id[request_id]

    def _start_generation(self, request_id, body, kind) -> generations.Generation:
        if request_id in self._generation_by_request_id:
            self._drop_generation(
                request_id, self._generation_by_request_id[request_id]
            )
        cached_tokens = self._cache.add(body.words())
        generation = generations.Generation(request_id, body, kind, cached_tokens)
        generation.task = asyncio.create_task(self._generate(generation))
        self._generation_by_request_id[request_id] = generation
        self._executions_by_request_id[request_id] += 1
        self._start_expiry_timer(request_id, generation)
        return generation

    async def _generate(self, generation: generations.Generation) -> None:
        self._running += 1
        try:
            for index in range(len(generation.tokens)):
                await asyncio.sleep(self._find_token_time_s())
                generation.add_token(index)
                self._generated_tokens += 1
            generation.finish()
        finally:
            self._running -= 1

    def _find_token_time_s(self) -> float:
        slowdown = max(1.0, self._running / self._options.slots)
        return self._options.token_ms / 1000 * slowdown

    def _make_stream_response(self, request, request_id, generation, last_event_id):
        return responses.StreamingResponse(
            self._events(request, request_id, generation, last_event_id),
            media_type="text/event-stream",
            headers={"X-Request-Id": request_id},
        )

    async def _make_full_response(self, request_id, generation) -> responses.Response:
        self._add_reader(generation)
        try:
            while not generation.is_ended:
                await generation.changed.wait()
        finally:
            self._remove_reader(request_id, generation)
        if len(generation.events) < len(generation.tokens):
            raise exceptions.HTTPException(409, "the completion was cancelled")
        return responses.Response(
            generation.full_response(),
            media_type="application/json",
            headers={"X-Request-Id": request_id},
        )

    async def _events(
        self, request, request_id, generation, last_event_id
    ) -> collections.abc.AsyncIterator[bytes]:
        self._add_reader(generation)
        sent_count = 0
        try:
            while last_event_id < len(generation.events) or not generation.is_ended:
                if last_event_id >= len(generation.events):
                    await generation.changed.wait()
                    continue
                await self._wait_while_stalled(sent_count)
                if self.faults.drop_connection:
                    await base.close_connection(request)
                    return
                last_event_id += 1
                sent_count += 1
                yield b"id: %d\ndata: %b\n\n" % (
                    last_event_id,
                    generation.events[last_event_id - 1],
                )
        finally:
            self._remove_reader(request_id, generation)

    async def _wait_while_stalled(self, sent_count: int) -> None:
        if self.faults.stall_after and sent_count >= self.faults.stall_after:
            self.faults.stall_after = 0
            await asyncio.Event().wait()
        await self._not_stalled.wait()

    def _add_reader(self, generation: generations.Generation) -> None:
        generation.reader_count += 1
        if generation.expiry_timer is not None:
            generation.expiry_timer.cancel()

    def _remove_reader(
        self, request_id: str, generation: generations.Generation
    ) -> None:
        generation.reader_count -= 1
        if generation.reader_count == 0:
            self._start_expiry_timer(request_id, generation)

    def _start_expiry_timer(
        self, request_id: str, generation: generations.Generation
    ) -> None:
        generation.expiry_timer = asyncio.get_running_loop().call_later(
            self._options.linger_s, self._drop_generation, request_id, generation
        )

    def _drop_generation(
        self, request_id: str, generation: generations.Generation
    ) -> None:
        generation.task.cancel()
        generation.end()
        if self._generation_by_request_id.get(request_id) is generation:
            del self._generation_by_request_id[request_id]


def create_app(options: Options | None = None) -> base.Application:
    """Makes the application.

    Args:
        options: The configuration.
    """
    engine = ModelEngine(options or Options())
    return base.Application(
        routes=[
            *base.admin_routes(engine),
            routing.Route("/admin/executions", engine.executions),
            *[
                routing.Route(path, engine.complete, methods=["POST"])
                for path in KIND_BY_PATH
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
        token_ms: The time per token at full speed, in milliseconds.
        slots: How many generations run at full speed; with more, all slow down.
        models: The names of the loaded models, separated by commas.
        linger_s: How long a generation without readers is kept, in seconds.
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
        """Serves until the process gets a signal to stop."""
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
