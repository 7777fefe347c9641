"""What router and agent add to a call, and the processor time that they use for it."""

import asyncio
import random
import time

import aiohttp
import msgspec
import numpy

from measurements import processes, results
from standins import fleet, shapes

SHAPE = shapes.Shape(
    ("oslo-a",),
    (
        shapes.ServiceShape("engines", "completions", 1, slots=64),
        shapes.ServiceShape("bookings", "plain", 1, slots=64),
    ),
    routers=1,
    accounts=2,
)
TARGET_ADDED_P50_MS = 3.0
MS_PER_S = 1000.0
US_PER_S = 1e6
PLAIN_PATH = "/rooms?work_ms=0"
COMPLETIONS_PATH = "/v1/chat/completions"
EVENT_MARK = b"data: "


class Settings(msgspec.Struct, frozen=True):
    """How the calls are made.

    Attributes:
        plain_pairs: Plain calls, each made directly and through the fleet.
        stream_pairs: Streams, each made directly and through the fleet.
        stream_tokens: Tokens of such a stream.
        token_ms: The stand-in's time for one token, in milliseconds.
        warm_up_pairs: Pairs of each kind that are not counted.
        loaded_calls: Plain calls in the run for processor time.
        loaded_concurrency: How many of them are in progress at a time.
        loaded_streams: Streams in the run for processor time, all at a time.
        loaded_tokens: Tokens of such a stream.
    """

    plain_pairs: int = 1500
    stream_pairs: int = 500
    stream_tokens: int = 5
    token_ms: float = 5.0
    warm_up_pairs: int = 100
    loaded_calls: int = 4000
    loaded_concurrency: int = 8
    loaded_streams: int = 32
    loaded_tokens: int = 400


class Compared(msgspec.Struct, frozen=True):
    """The time of a call made directly and through the fleet, in milliseconds."""

    direct_p50_ms: float
    direct_p99_ms: float
    fleet_p50_ms: float
    fleet_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float


class ProcessorTime(msgspec.Struct, frozen=True):
    """Processor time of the router and of the agent, in microseconds."""

    router_us: float
    agent_us: float


class Figures(msgspec.Struct, frozen=True):
    """What was measured.

    Attributes:
        plain: A plain call.
        first_token: The first token of a stream.
        per_plain_call: Processor time of a plain call under load.
        per_token: Processor time of a token under load, one event for each token.
        loaded_calls_per_s: Plain calls per second in the run for processor time.
    """

    plain: Compared
    first_token: Compared
    per_plain_call: ProcessorTime
    per_token: ProcessorTime
    loaded_calls_per_s: float


class Caller:
    """Makes the calls.

    Args:
        running: The fleet.
        session: The HTTP client.
        settings: How the calls are made.
    """

    def __init__(
        self, running: fleet.Fleet, session: aiohttp.ClientSession, settings: Settings
    ):
        self._session = session
        self._settings = settings
        self._headers = running.request_headers(shapes.account_name(0))
        self._router = running.with_role(fleet.Role.ROUTER)[0].url
        self._engine = running.node_by_name["engines-0"].url
        self._bookings = running.node_by_name["bookings-0"].url

    async def call_directly(self) -> float:
        """Calls the plain stand-in and returns the time, in seconds."""
        return await self._call(self._bookings + PLAIN_PATH)

    async def call_through(self) -> float:
        """Makes the same call through the fleet."""
        return await self._call(f"{self._router}/services/bookings{PLAIN_PATH}")

    async def stream_directly(self) -> float:
        """Opens a stream at the engine and returns the time to its first token."""
        return await self.stream(self._engine, self._settings.stream_tokens)

    async def stream_through(self) -> float:
        """Opens the same stream through the fleet."""
        return await self.stream(self._router, self._settings.stream_tokens)

    async def stream_loaded(self) -> None:
        """Reads a long stream through the fleet."""
        await self.stream(self._router, self._settings.loaded_tokens)

    async def stream(self, url: str, tokens: int) -> float:
        """Reads a stream and returns the time to its first token, in seconds."""
        asked = {
            "model": shapes.model_name(SHAPE.services[0]),
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "hello"}],
        }
        started_at = time.perf_counter()
        async with self._session.post(
            url + COMPLETIONS_PATH, json=asked, headers=self._headers
        ) as response:
            response.raise_for_status()
            first = await response.content.readany()
            first_s = time.perf_counter() - started_at
            if EVENT_MARK not in first:
                raise ValueError("the first piece has no event")
            await response.read()
        return first_s

    async def _call(self, url: str) -> float:
        started_at = time.perf_counter()
        async with self._session.get(url, headers=self._headers) as response:
            response.raise_for_status()
            await response.read()
        return time.perf_counter() - started_at


async def measure(seed: int) -> results.Result:
    """Measures the added time, one call at a time, then processor time under load."""
    settings = Settings()
    load_before = results.load_average()
    async with fleet.Fleet(SHAPE, token_ms=settings.token_ms) as running:
        figures = await _measure_fleet(running, settings, random.Random(seed))
    limit_ms = TARGET_ADDED_P50_MS
    return results.Result(
        "latency",
        seed,
        settings,
        figures,
        [
            results.check_at_most(
                "plain.added_p50_ms", figures.plain.added_p50_ms, limit_ms
            ),
            results.check_at_most(
                "first_token.added_p50_ms", figures.first_token.added_p50_ms, limit_ms
            ),
        ],
        load_before,
        results.load_average(),
        results.CORE_COUNT,
    )


async def _measure_fleet(running, settings: Settings, source) -> Figures:
    caller = Caller(running, running.session, settings)
    plain = await _compare(
        caller.call_directly,
        caller.call_through,
        settings.plain_pairs,
        settings.warm_up_pairs,
        source,
    )
    first_token = await _compare(
        caller.stream_directly,
        caller.stream_through,
        settings.stream_pairs,
        settings.warm_up_pairs,
        source,
    )
    meter = Meter(running, "bookings")
    started_at = time.perf_counter()
    await _call_loaded(caller, settings)
    calls_per_s = settings.loaded_calls / (time.perf_counter() - started_at)
    per_call = meter.read(settings.loaded_calls)
    meter = Meter(running, "engines")
    streams = range(settings.loaded_streams)
    await asyncio.gather(*(caller.stream_loaded() for _ in streams))
    per_token = meter.read(settings.loaded_streams * settings.loaded_tokens)
    return Figures(plain, first_token, per_call, per_token, round(calls_per_s, 1))


class Meter:
    """Measures the processor time of the router and of a service's agent.

    Args:
        running: The fleet.
        service: The service.
    """

    def __init__(self, running: fleet.Fleet, service: str):
        self._router = running.with_role(fleet.Role.ROUTER)[0]
        self._agent = running.agents_of(service)[0]
        self._router_s = _processor_s(self._router)
        self._agent_s = _processor_s(self._agent)

    def read(self, count: int) -> ProcessorTime:
        """Returns the processor time since the start for each of some units."""
        router_s = _processor_s(self._router) - self._router_s
        agent_s = _processor_s(self._agent) - self._agent_s
        return ProcessorTime(
            round(router_s / count * US_PER_S, 1), round(agent_s / count * US_PER_S, 1)
        )


def _processor_s(node: fleet.Node) -> float:
    return processes.read_usage(node.process.pid).processor_s


async def _compare(directly, through, pairs: int, warm_up: int, source) -> Compared:
    """Calls both ways, in a random order within each pair."""
    for _ in range(warm_up):
        await directly()
        await through()
    direct_s = []
    fleet_s = []
    for _ in range(pairs):
        for is_direct in source.sample((True, False), 2):
            if is_direct:
                direct_s.append(await directly())
            else:
                fleet_s.append(await through())
    direct_p50, direct_p99 = _quantiles_ms(direct_s)
    fleet_p50, fleet_p99 = _quantiles_ms(fleet_s)
    return Compared(
        direct_p50,
        direct_p99,
        fleet_p50,
        fleet_p99,
        round(fleet_p50 - direct_p50, 3),
        round(fleet_p99 - direct_p99, 3),
    )


def _quantiles_ms(times_s) -> list[float]:
    values = numpy.quantile(numpy.array(times_s) * MS_PER_S, (0.5, 0.99))
    return [round(float(value), 3) for value in values]


async def _call_loaded(caller: Caller, settings: Settings) -> None:
    async def call_each():
        for _ in range(settings.loaded_calls // settings.loaded_concurrency):
            await caller.call_through()

    callers = range(settings.loaded_concurrency)
    await asyncio.gather(*(call_each() for _ in callers))
