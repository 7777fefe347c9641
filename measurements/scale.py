"""How state, messages, processor time and memory grow with each size of a fleet."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import time

import msgspec
import numpy

from measurements import results, samples
from standins import fleet, shapes
from teaselsill import counters, document, ids, instances, link, messages, wire

SERVICE = "bookings"
BYTES_PER_KB = 1000.0
US_PER_S = 1e6
LONG_WORK_MS = 600_000
LONG_DEADLINE_S = 3600.0
ACCOUNT_SIZES = (16, 280, 1000)


class Settings(msgspec.Struct, frozen=True):
    """The sizes, each varied alone.

    Attributes:
        connections: Routers connected to one agent; stand-ins in one process.
        steady_connections: Connections while the backlog is varied.
        backlogged: Backlogged client accounts that each of them tells of.
        demands_per_s: Changes of demand while the backlog is varied.
        accounts: Client accounts of the document.
        services: Services of the document, with one model each.
        listed: Instances of the list.
        settle_s: The time before each pair of samples.
        part_s: The time between the two samples.
    """

    connections: tuple[int, ...] = (0, 50, 100, 200, 400)
    steady_connections: int = 64
    backlogged: tuple[int, ...] = (1, 7, 14, 28, 56)
    demands_per_s: int = 200
    accounts: tuple[int, ...] = ACCOUNT_SIZES
    services: tuple[int, ...] = (1, 37, 100)
    listed: tuple[int, ...] = (20, 300, 1100)
    settle_s: float = 1.5
    part_s: float = 6.0


class Slope(msgspec.Struct, frozen=True):
    """A straight line through the points, by least squares.

    Attributes:
        per_unit: Its slope.
        at_zero: Its value at zero.
        spread: The standard error of the slope.
    """

    per_unit: float
    at_zero: float
    spread: float


class Curve(msgspec.Struct, frozen=True):
    """A figure as one size varies.

    Attributes:
        sizes: The sizes.
        values: The figure at each of them.
        slope: The line through them.
    """

    sizes: list[int]
    values: list[float]
    slope: Slope


class Figures(msgspec.Struct, frozen=True):
    """What was measured.

    Attributes:
        idle_agent_kb: Memory of an agent without connections.
        idle_router_kb: Memory of a router.
        agent_kb_by_connections: Memory of an agent.
        agent_cores_by_connections: Processor time of an agent with idle connections.
        agent_bytes_per_s_by_connections: Control bytes that such an agent sends.
        router_bytes_per_s_by_connections: Control bytes that all of the routers at the
            other ends send together.
        agent_kb_by_backlogged: Memory of an agent as client accounts wait.
        demand_us_by_backlogged: Processor time of the agent for a change of demand.
        report_bytes_by_backlogged: A report of the digest tree.
        digest_bytes_by_backlogged: A digest.
        choice_us_by_backlogged: The choice of a client account, in one process.
        document_bytes_by_accounts: The configuration document.
        document_bytes_by_services: The configuration document.
        document_ms_by_accounts: Processor time to read and check it.
        list_bytes_by_listed: A reply of the instance list.
    """

    idle_agent_kb: float
    idle_router_kb: float
    agent_kb_by_connections: Curve
    agent_cores_by_connections: Curve
    agent_bytes_per_s_by_connections: Curve
    router_bytes_per_s_by_connections: Curve
    agent_kb_by_backlogged: Curve
    demand_us_by_backlogged: Curve
    report_bytes_by_backlogged: Curve
    digest_bytes_by_backlogged: Curve
    choice_us_by_backlogged: Curve
    document_bytes_by_accounts: Curve
    document_bytes_by_services: Curve
    document_ms_by_accounts: Curve
    list_bytes_by_listed: Curve


@dataclasses.dataclass(slots=True)
class Reading:
    """What one agent did between two samples.

    Attributes:
        resident_kb: Its memory at the end.
        processor_s: Its processor time.
        sent_bytes: The control bytes that it sent.
        received_bytes: The control bytes that it got from the stand-ins.
        elapsed_s: The time.
    """

    resident_kb: float
    processor_s: float
    sent_bytes: int
    received_bytes: int
    elapsed_s: float


class StandInRouter:
    """A router's end of a connection to an agent, which only tells demand."""

    def __init__(self, connected: link.Link):
        self.link = connected
        self.is_silent = False
        self._task = asyncio.create_task(self._receive())

    async def close(self) -> None:
        """Ends the connection."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self.link.abort()

    def tell(self, account: ids.AccountId, waiting: int) -> None:
        """Tells how many requests of a client account wait."""
        self.link.send(messages.Demand(account, waiting, 100))

    async def _receive(self) -> None:
        while True:
            received = await self.link.receive(lambda: False, lambda: ids.NO_VERSION)
            for message in received:
                if isinstance(message, messages.Grant) and not self.is_silent:
                    self._take(message)

    def _take(self, message: messages.Grant) -> None:
        """Fills the slot for the rest of the measurement."""
        version = ids.Version(0)
        dispatch = messages.Dispatch(
            message.grant, ids.AttemptId(f"{self.link.peer.incarnation}x:1"),
            ids.RequestId("long"), message.account, "GET",
            f"/x?work_ms={LONG_WORK_MS}", [], b"", LONG_WORK_MS, True, "", version,
        )  # fmt: skip
        self.link.send(dispatch)


class AgentBench:
    """One agent process and stand-ins for the routers."""

    def __init__(self, running: fleet.Fleet, settings: Settings):
        self.routers: list[StandInRouter] = []
        self._fleet = running
        self._agent = running.with_role(fleet.Role.AGENT)[0]
        self._settings = settings

    async def connect(self, count: int) -> None:
        """Opens connections until there are some number."""
        while len(self.routers) < count:
            number = len(self.routers)
            me = link.Identity(
                ids.InstanceId(f"stand-in-{number}"),
                ids.Incarnation(f"run-{number}"),
                instances.Role.ROUTER,
            )
            connected = await link.connect(
                fleet.HOST, self._agent.port, fleet.SECRET.encode(), me
            )
            self.routers.append(StandInRouter(connected))

    async def close(self) -> None:
        """Closes all connections."""
        await asyncio.gather(*(router.close() for router in self.routers))

    async def read(self, work: collections.abc.Awaitable | None = None) -> Reading:
        """Reads what the agent does in a while, or as long as some work takes."""
        await asyncio.sleep(self._settings.settle_s)
        started_at = time.monotonic()
        received = self._sent_by_stand_ins()
        first = await samples.take(self._fleet)
        await (work or asyncio.sleep(self._settings.part_s))
        last = await samples.take(self._fleet)
        name = self._agent.name
        usage = last.usage_by_node[name]
        return Reading(
            usage.resident_bytes / BYTES_PER_KB,
            usage.processor_s - first.usage_by_node[name].processor_s,
            samples.control_bytes(samples.bytes_by_type(first, last, name)),
            self._sent_by_stand_ins() - received,
            time.monotonic() - started_at,
        )

    async def churn(self, accounts: list[ids.AccountId]) -> None:
        """Has the demand change many times a second."""
        count = int(self._settings.part_s * self._settings.demands_per_s)
        for number in range(count):
            router = self.routers[number % len(self.routers)]
            router.tell(accounts[number % len(accounts)], 2 + number % 2)
            await asyncio.sleep(1 / self._settings.demands_per_s)

    def _sent_by_stand_ins(self) -> int:
        return sum(
            sum(router.link.bytes_sent_by_type.values()) for router in self.routers
        )


async def measure(seed: int) -> results.Result:
    """Measures the slopes."""
    settings = Settings()
    load_before = results.load_average()
    figures = await _measure_all(settings)
    return results.Result(
        "scale", seed, settings, figures, [], load_before,
        results.load_average(), results.CORE_COUNT,
    )  # fmt: skip


async def _measure_all(settings: Settings) -> Figures:
    shape = shapes.Shape(
        ("oslo-a",),
        (shapes.ServiceShape(SERVICE, "plain", 1, slots=1),),
        routers=1,
        accounts=max(settings.backlogged),
    )
    running = fleet.Fleet(shape, deadline_s=LONG_DEADLINE_S)
    async with running, contextlib.AsyncExitStack() as stack:
        bench = AgentBench(running, settings)
        stack.push_async_callback(bench.close)
        sample = await samples.take(running)
        router = sample.usage_by_node["router-0"].resident_bytes / BYTES_PER_KB
        by_connections = []
        for count in settings.connections:
            await bench.connect(count)
            by_connections.append(await bench.read())
        await bench.close()
        bench.routers.clear()
        await bench.connect(settings.steady_connections)
        by_backlogged = await _vary_backlogged(bench, settings)
    sizes = list(settings.connections)
    waiting = list(settings.backlogged)
    return Figures(
        idle_agent_kb=round(by_connections[0].resident_kb),
        idle_router_kb=round(router),
        agent_kb_by_connections=_fit(sizes, [r.resident_kb for r in by_connections]),
        agent_cores_by_connections=_fit(
            sizes, [r.processor_s / r.elapsed_s for r in by_connections]
        ),
        agent_bytes_per_s_by_connections=_fit(
            sizes, [r.sent_bytes / r.elapsed_s for r in by_connections]
        ),
        router_bytes_per_s_by_connections=_fit(
            sizes, [r.received_bytes / r.elapsed_s for r in by_connections]
        ),
        agent_kb_by_backlogged=_fit(waiting, [r.resident_kb for r in by_backlogged]),
        demand_us_by_backlogged=_fit(
            waiting,
            [
                r.processor_s * US_PER_S / (settings.part_s * settings.demands_per_s)
                for r in by_backlogged
            ],
        ),
        report_bytes_by_backlogged=_fit(waiting, [_report_bytes(n) for n in waiting]),
        digest_bytes_by_backlogged=_fit(waiting, [_digest_bytes(n) for n in waiting]),
        choice_us_by_backlogged=_fit(waiting, [_choice_us(n) for n in waiting]),
        document_bytes_by_accounts=_fit(
            list(settings.accounts),
            [len(_document(accounts=n)) for n in settings.accounts],
        ),
        document_bytes_by_services=_fit(
            list(settings.services),
            [len(_document(services=n)) for n in settings.services],
        ),
        document_ms_by_accounts=_fit(
            list(settings.accounts),
            [_parse_ms(_document(accounts=n)) for n in settings.accounts],
        ),
        list_bytes_by_listed=_fit(
            list(settings.listed), [_list_bytes(n) for n in settings.listed]
        ),
    )


async def _vary_backlogged(bench: AgentBench, settings: Settings) -> list[Reading]:
    """Has the one slot filled, then more and more client accounts wait."""
    bench.routers[0].tell(ids.AccountId(shapes.account_name(0)), 1)
    await asyncio.sleep(settings.settle_s)
    for router in bench.routers:
        router.is_silent = True
    readings = []
    for count in settings.backlogged:
        accounts = [ids.AccountId(shapes.account_name(n)) for n in range(count)]
        for router in bench.routers:
            for account in accounts:
                router.tell(account, 2)
        readings.append(await bench.read(bench.churn(accounts)))
    return readings


def _report_bytes(count: int) -> int:
    served = {ids.AccountId(shapes.account_name(n)): 10**6 + n for n in range(count)}
    return len(wire.pack(messages.Report(1000, served, sorted(served), {})))


def _digest_bytes(count: int) -> int:
    counted = {ids.AccountId(shapes.account_name(n)): 10**9 + n for n in range(count)}
    return len(wire.pack(messages.Digest(counted, 1000)))


def _choice_us(count: int) -> float:
    known = counters.Counters(1e6)
    accounts = [ids.AccountId(shapes.account_name(n)) for n in range(count)]
    known.set_backlogged(accounts)
    repeats = 2000
    started_s = time.process_time()
    for _ in range(repeats):
        min(accounts, key=known.estimate)
    return (time.process_time() - started_s) / repeats * US_PER_S


def _document(accounts: int = 16, services: int = 1) -> bytes:
    shape = shapes.Shape(
        ("oslo-a",),
        tuple(
            shapes.ServiceShape(f"service-{n}", "completions", 1)
            for n in range(services)
        ),
        accounts=accounts,
    )
    made = shapes.make_document(shape)
    for account in made["client_accounts"]:
        account["services"] = account["services"][:3]
    return msgspec.json.encode(made)


def _parse_ms(text: bytes) -> float:
    repeats = 10
    started_s = time.process_time()
    for _ in range(repeats):
        document.parse(text)
    return (time.process_time() - started_s) / repeats * 1000


def _list_bytes(count: int) -> int:
    listed = [
        instances.Instance(
            ids.InstanceId(f"agent-service-{n}"),
            instances.Role.AGENT,
            ids.DataCentre("chaguanas"),
            "10.11.12.13",
            7000,
            7001,
            ids.ServiceName("service-12"),
            ids.UpstreamId(f"service-12-{n}"),
        )
        for n in range(count)
    ]
    return len(msgspec.json.encode(listed))


def _fit(sizes: list[int], values: list[float]) -> Curve:
    x = numpy.array(sizes, float)
    y = numpy.array(values, float)
    slope, at_zero = numpy.polyfit(x, y, 1)
    residual = y - (slope * x + at_zero)
    freedom = max(1, len(x) - 2)
    variance = float((residual**2).sum()) / freedom
    spread = (variance / float(((x - x.mean()) ** 2).sum())) ** 0.5
    return Curve(
        sizes,
        [round(float(value), 4) for value in values],
        Slope(_short(slope), _short(at_zero), _short(spread)),
    )


def _short(value: float) -> float:
    return float(f"{value:.4g}")
