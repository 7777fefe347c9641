"""The latency that router and agent add to a call, and their processor time for it."""

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
EVENT_PREFIX = b"data: "


class Settings(msgspec.Struct, frozen=True):
    """How the calls are made.

    Attributes:
        plain_pairs: The number of plain calls made both directly and through the fleet.
        stream_pairs: The number of streams opened both directly and through the fleet.
        stream_tokens: The number of tokens of such a stream.
        token_ms: The stand-in's time for one token, in milliseconds.
        warm_up_pairs: The number of pairs of each kind that are not counted.
        loaded_calls: The number of plain calls under load, for processor time.
        loaded_concurrency: How many of them are in progress at a time.
        loaded_streams: The number of concurrent streams under load, for processor time.
        loaded_tokens: The number of tokens of such a stream.
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


class Comparison(msgspec.Struct, frozen=True):
    """The duration of a call directly and through the fleet, in milliseconds."""

    direct_p50_ms: float
    direct_p99_ms: float
    fleet_p50_ms: float
    fleet_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float


class ProcessorTime(msgspec.Struct, frozen=True):
    """The processor time of the router and of the agent, in microseconds."""

    router_us: float
    agent_us: float


class Figures(msgspec.Struct, frozen=True):
    """The measured figures.

    Attributes:
        plain: The duration of a plain call.
        first_token: The time to the first token of a stream.
        per_plain_call: The processor time of a plain call under load.
        per_token: The processor time of a token under load; each token is one event.
        loaded_calls_per_s: The rate of plain calls under load.
    """

    plain: Comparison
    first_token: Comparison
    per_plain_call: ProcessorTime
    per_token: ProcessorTime
    loaded_calls_per_s: float


class Caller:
    """Makes calls directly and through the fleet.

    Args:
        deployment: The fleet to call.
        session: The HTTP client.
        settings: How the calls are made.
    """

    def __init__(
        self,
        deployment: fleet.Fleet,
        session: aiohttp.ClientSession,
        settings: Settings,
    ):
        self._session = session
        self._settings = settings
        self._headers = deployment.request_headers(shapes.account_name(0))
        self._router_url = deployment.with_role(fleet.Role.ROUTER)[0].url
        self._engine_url = deployment.node_by_name["engines-0"].url
        self._bookings_url = deployment.node_by_name["bookings-0"].url

    async def call_directly(self) -> float:
        """Calls the plain stand-in and returns the duration, in seconds."""
        return await self._call(self._bookings_url + PLAIN_PATH)

    async def call_through_fleet(self) -> float:
        """Makes the same call through the fleet."""
        return await self._call(f"{self._router_url}/services/bookings{PLAIN_PATH}")

    async def stream_directly(self) -> float:
        """Opens a stream at the engine and returns the time to its first token."""
        return await self.stream(self._engine_url, self._settings.stream_tokens)

    async def stream_through_fleet(self) -> float:
        """Opens the same stream through the fleet."""
        return await self.stream(self._router_url, self._settings.stream_tokens)

    async def stream_loaded(self) -> None:
        """Reads a long stream through the fleet."""
        await self.stream(self._router_url, self._settings.loaded_tokens)

    async def stream(self, url: str, tokens: int) -> float:
        """Reads a whole stream and returns the time to its first token, in seconds."""
        completion = {
            "model": shapes.model_name(SHAPE.services[0]),
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "hello"}],
        }
        started_at = time.perf_counter()
        async with self._session.post(
            url + COMPLETIONS_PATH, json=completion, headers=self._headers
        ) as response:
            response.raise_for_status()
            first = await response.content.readany()
            first_s = time.perf_counter() - started_at
            if EVENT_PREFIX not in first:
                raise ValueError("the first bytes of the stream contain no event")
            await response.read()
        return first_s

    async def _call(self, url: str) -> float:
        started_at = time.perf_counter()
        async with self._session.get(url, headers=self._headers) as response:
            response.raise_for_status()
            await response.read()
        return time.perf_counter() - started_at


async def measure(seed: int) -> results.Result:
    """Measures the added latency without load and the processor time under load."""
    settings = Settings()
    load_before = results.load_average()
    async with fleet.Fleet(SHAPE, token_ms=settings.token_ms) as deployment:
        figures = await _measure_fleet(deployment, settings, random.Random(seed))
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


async def _measure_fleet(deployment, settings: Settings, source) -> Figures:
    caller = Caller(deployment, deployment.session, settings)
    plain = await _compare(
        caller.call_directly,
        caller.call_through_fleet,
        settings.plain_pairs,
        settings.warm_up_pairs,
        source,
    )
    first_token = await _compare(
        caller.stream_directly,
        caller.stream_through_fleet,
        settings.stream_pairs,
        settings.warm_up_pairs,
        source,
    )
    meter = ProcessorTimeMeter(deployment, "bookings")
    started_at = time.perf_counter()
    await _call_loaded(caller, settings)
    calls_per_s = settings.loaded_calls / (time.perf_counter() - started_at)
    per_call = meter.read(settings.loaded_calls)
    meter = ProcessorTimeMeter(deployment, "engines")
    streams = range(settings.loaded_streams)
    await asyncio.gather(*(caller.stream_loaded() for _ in streams))
    per_token = meter.read(settings.loaded_streams * settings.loaded_tokens)
    return Figures(plain, first_token, per_call, per_token, round(calls_per_s, 1))


class ProcessorTimeMeter:
    """Measures the processor time that the router and a service's agent use.

    Args:
        deployment: The fleet.
        service: The name of the service.
    """

    def __init__(self, deployment: fleet.Fleet, service: str):
        self._router = deployment.with_role(fleet.Role.ROUTER)[0]
        self._agent = deployment.agents_of(service)[0]
        self._router_s = _read_processor_s(self._router)
        self._agent_s = _read_processor_s(self._agent)

    def read(self, count: int) -> ProcessorTime:
        """Returns the processor time since the meter was made, divided by `count`."""
        router_s = _read_processor_s(self._router) - self._router_s
        agent_s = _read_processor_s(self._agent) - self._agent_s
        return ProcessorTime(
            round(router_s / count * US_PER_S, 1), round(agent_s / count * US_PER_S, 1)
        )


def _read_processor_s(node: fleet.Node) -> float:
    return processes.read_usage(node.process.pid).processor_s


async def _compare(
    measure_direct, measure_through_fleet, pairs: int, warm_up_pairs: int, source
) -> Comparison:
    """Makes pairs of calls, in random order within each pair, and compares them."""
    for _ in range(warm_up_pairs):
        await measure_direct()
        await measure_through_fleet()
    direct_s = []
    fleet_s = []
    for _ in range(pairs):
        for is_direct in source.sample((True, False), 2):
            if is_direct:
                direct_s.append(await measure_direct())
            else:
                fleet_s.append(await measure_through_fleet())
    direct_p50, direct_p99 = _compute_quantiles_ms(direct_s)
    fleet_p50, fleet_p99 = _compute_quantiles_ms(fleet_s)
    return Comparison(
        direct_p50,
        direct_p99,
        fleet_p50,
        fleet_p99,
        round(fleet_p50 - direct_p50, 3),
        round(fleet_p99 - direct_p99, 3),
    )


def _compute_quantiles_ms(times_s) -> list[float]:
    values = numpy.quantile(numpy.array(times_s) * MS_PER_S, (0.5, 0.99))
    return [round(float(value), 3) for value in values]


async def _call_loaded(caller: Caller, settings: Settings) -> None:
    async def call_repeatedly():
        for _ in range(settings.loaded_calls // settings.loaded_concurrency):
            await caller.call_through_fleet()

    callers = range(settings.loaded_concurrency)
    await asyncio.gather(*(call_repeatedly() for _ in callers))
