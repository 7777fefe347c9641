"""The growth of state, messages, processor time and memory with a fleet's sizes."""

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
    """The sizes, of which one is varied at a time, and the durations.

    Attributes:
        connections: The numbers of routers connected to one agent. The routers are
            stand-ins in the process of the measurement.
        steady_connections: The number of connections while the backlog is varied.
        backlogged: The numbers of backlogged client accounts that every router reports.
        demands_per_s: The rate of changes of demand while the backlog is varied.
        accounts: The numbers of client accounts of the configuration document.
        services: The numbers of services of the document, with one model each.
        listed: The numbers of instances of the instance list.
        settle_s: The time before each pair of samples.
        part_s: The time between the two samples of a pair.
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
    """A straight line fitted by least squares.

    Attributes:
        per_unit: The slope.
        at_zero: The value at zero.
        spread: The standard error of the slope.
    """

    per_unit: float
    at_zero: float
    spread: float


class Curve(msgspec.Struct, frozen=True):
    """A figure as a function of one size.

    Attributes:
        sizes: The sizes.
        values: The figure at each size.
        slope: The line fitted to the values.
    """

    sizes: list[int]
    values: list[float]
    slope: Slope


class Figures(msgspec.Struct, frozen=True):
    """The measured figures.

    Attributes:
        idle_agent_kb: The memory of an agent without connections.
        idle_router_kb: The memory of an idle router.
        agent_kb_by_connections: The memory of an agent.
        agent_cores_by_connections: The processor time of an agent whose connections are
            idle, in cores.
        agent_bytes_per_s_by_connections: The control bytes that such an agent sends.
        router_bytes_per_s_by_connections: The control bytes that all routers connected
            to such an agent send together.
        agent_kb_by_backlogged: The memory of an agent.
        demand_us_by_backlogged: The agent's processor time for one change of demand.
        report_bytes_by_backlogged: The size of a Report of the aggregation tree.
        digest_bytes_by_backlogged: The size of a Digest of the aggregation tree.
        choice_us_by_backlogged: The processor time to choose a client account, measured
            in this process.
        document_bytes_by_accounts: The size of the configuration document.
        document_bytes_by_services: The size of the configuration document.
        document_ms_by_accounts: The processor time to parse and validate the document.
        list_bytes_by_listed: The size of a response of the instance list.
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
class AgentActivity:
    """The resource usage and traffic of an agent between two samples.

    Attributes:
        resident_kb: The memory at the second sample.
        processor_s: The processor time used.
        sent_bytes: The control bytes that the agent sent.
        received_bytes: The control bytes that the stand-ins sent to the agent.
        elapsed_s: The time between the samples.
    """

    resident_kb: float
    processor_s: float
    sent_bytes: int
    received_bytes: int
    elapsed_s: float


class StandInRouter:
    """A router's end of a connection to an agent, which reports only demand.

    Args:
        connected: The connection.

    Attributes:
        link: The connection.
        ignores_grants: Whether grants are ignored, so that no more requests start.
    """

    def __init__(self, connected: link.Link):
        self.link = connected
        self.ignores_grants = False
        self._task = asyncio.create_task(self._receive())

    async def close(self) -> None:
        """Closes the connection."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self.link.abort()

    def send_demand(self, account: ids.AccountId, waiting: int) -> None:
        """Reports how many requests of a client account wait."""
        self.link.send(messages.Demand(account, waiting, 100))

    async def _receive(self) -> None:
        while True:
            received = await self.link.receive(lambda: False, lambda: ids.NO_VERSION)
            for message in received:
                if isinstance(message, messages.Grant) and not self.ignores_grants:
                    self._fill_slot(message)

    def _fill_slot(self, message: messages.Grant) -> None:
        """Uses the granted slot for a request that outlasts the measurement."""
        version = ids.Version(0)
        dispatch = messages.Dispatch(
            message.grant, ids.AttemptId(f"{self.link.peer.incarnation}x:1"),
            ids.RequestId("long"), message.account, "GET",
            f"/x?work_ms={LONG_WORK_MS}", [], b"", LONG_WORK_MS, True, "", version,
        )  # fmt: skip
        self.link.send(dispatch)


class AgentBench:
    """One agent process and the stand-in routers connected to it.

    Args:
        deployment: The fleet with the agent.
        settings: The settings of the measurement.

    Attributes:
        routers: The connected stand-in routers.
    """

    def __init__(self, deployment: fleet.Fleet, settings: Settings):
        self.routers: list[StandInRouter] = []
        self._fleet = deployment
        self._agent = deployment.with_role(fleet.Role.AGENT)[0]
        self._settings = settings

    async def connect(self, count: int) -> None:
        """Connects stand-in routers until there are `count` of them."""
        while len(self.routers) < count:
            number = len(self.routers)
            identity = link.Identity(
                ids.InstanceId(f"stand-in-{number}"),
                ids.Incarnation(f"run-{number}"),
                instances.Role.ROUTER,
            )
            connected = await link.connect(
                fleet.HOST, self._agent.port, fleet.SECRET.encode(), identity
            )
            self.routers.append(StandInRouter(connected))

    async def close(self) -> None:
        """Closes all connections."""
        await asyncio.gather(*(router.close() for router in self.routers))

    async def read(
        self, action: collections.abc.Awaitable | None = None
    ) -> AgentActivity:
        """Measures the agent for `part_s`, or until an action has ended."""
        await asyncio.sleep(self._settings.settle_s)
        started_at = time.monotonic()
        received = self._sent_by_stand_ins()
        first = await samples.take(self._fleet)
        await (action or asyncio.sleep(self._settings.part_s))
        last = await samples.take(self._fleet)
        name = self._agent.name
        usage = last.usage_by_node[name]
        return AgentActivity(
            usage.resident_bytes / BYTES_PER_KB,
            usage.processor_s - first.usage_by_node[name].processor_s,
            samples.control_bytes(samples.bytes_by_type(first, last, name)),
            self._sent_by_stand_ins() - received,
            time.monotonic() - started_at,
        )

    async def change_demand(self, accounts: list[ids.AccountId]) -> None:
        """Changes the demand of client accounts `demands_per_s` times a second."""
        count = int(self._settings.part_s * self._settings.demands_per_s)
        for number in range(count):
            router = self.routers[number % len(self.routers)]
            router.send_demand(accounts[number % len(accounts)], 2 + number % 2)
            await asyncio.sleep(1 / self._settings.demands_per_s)

    def _sent_by_stand_ins(self) -> int:
        return sum(
            sum(router.link.bytes_sent_by_type.values()) for router in self.routers
        )


async def measure(seed: int) -> results.Result:
    """Measures the figures at every size; none has a target."""
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
    deployment = fleet.Fleet(shape, deadline_s=LONG_DEADLINE_S)
    async with deployment, contextlib.AsyncExitStack() as stack:
        bench = AgentBench(deployment, settings)
        stack.push_async_callback(bench.close)
        sample = await samples.take(deployment)
        router = sample.usage_by_node["router-0"].resident_bytes / BYTES_PER_KB
        connection_activities = []
        for count in settings.connections:
            await bench.connect(count)
            connection_activities.append(await bench.read())
        await bench.close()
        bench.routers.clear()
        await bench.connect(settings.steady_connections)
        backlog_activities = await _measure_by_backlogged(bench, settings)
    sizes = list(settings.connections)
    waiting = list(settings.backlogged)
    return Figures(
        idle_agent_kb=round(connection_activities[0].resident_kb),
        idle_router_kb=round(router),
        agent_kb_by_connections=_fit_line(
            sizes, [activity.resident_kb for activity in connection_activities]
        ),
        agent_cores_by_connections=_fit_line(
            sizes,
            [
                activity.processor_s / activity.elapsed_s
                for activity in connection_activities
            ],
        ),
        agent_bytes_per_s_by_connections=_fit_line(
            sizes,
            [
                activity.sent_bytes / activity.elapsed_s
                for activity in connection_activities
            ],
        ),
        router_bytes_per_s_by_connections=_fit_line(
            sizes,
            [
                activity.received_bytes / activity.elapsed_s
                for activity in connection_activities
            ],
        ),
        agent_kb_by_backlogged=_fit_line(
            waiting, [activity.resident_kb for activity in backlog_activities]
        ),
        demand_us_by_backlogged=_fit_line(
            waiting,
            [
                activity.processor_s
                * US_PER_S
                / (settings.part_s * settings.demands_per_s)
                for activity in backlog_activities
            ],
        ),
        report_bytes_by_backlogged=_fit_line(
            waiting, [_measure_report_bytes(size) for size in waiting]
        ),
        digest_bytes_by_backlogged=_fit_line(
            waiting, [_measure_digest_bytes(size) for size in waiting]
        ),
        choice_us_by_backlogged=_fit_line(
            waiting, [_measure_choice_us(size) for size in waiting]
        ),
        document_bytes_by_accounts=_fit_line(
            list(settings.accounts),
            [len(_make_document(accounts=size)) for size in settings.accounts],
        ),
        document_bytes_by_services=_fit_line(
            list(settings.services),
            [len(_make_document(services=size)) for size in settings.services],
        ),
        document_ms_by_accounts=_fit_line(
            list(settings.accounts),
            [
                _measure_parse_ms(_make_document(accounts=size))
                for size in settings.accounts
            ],
        ),
        list_bytes_by_listed=_fit_line(
            list(settings.listed),
            [_measure_list_bytes(size) for size in settings.listed],
        ),
    )


async def _measure_by_backlogged(
    bench: AgentBench, settings: Settings
) -> list[AgentActivity]:
    """Fills the agent's only slot, then lets more and more client accounts wait."""
    bench.routers[0].send_demand(ids.AccountId(shapes.account_name(0)), 1)
    await asyncio.sleep(settings.settle_s)
    for router in bench.routers:
        router.ignores_grants = True
    activities = []
    for count in settings.backlogged:
        accounts = [
            ids.AccountId(shapes.account_name(number)) for number in range(count)
        ]
        for router in bench.routers:
            for account in accounts:
                router.send_demand(account, 2)
        activities.append(await bench.read(bench.change_demand(accounts)))
    return activities


def _measure_report_bytes(count: int) -> int:
    served_by_account = {
        ids.AccountId(shapes.account_name(number)): 10**6 + number
        for number in range(count)
    }
    return len(
        wire.pack(
            messages.Report(1000, served_by_account, sorted(served_by_account), {})
        )
    )


def _measure_digest_bytes(count: int) -> int:
    counter_by_account = {
        ids.AccountId(shapes.account_name(number)): 10**9 + number
        for number in range(count)
    }
    return len(wire.pack(messages.Digest(counter_by_account, 1000)))


def _measure_choice_us(count: int) -> float:
    node_counters = counters.Counters(1e6)
    accounts = [ids.AccountId(shapes.account_name(number)) for number in range(count)]
    node_counters.set_backlogged(accounts)
    repeats = 2000
    started_at = time.process_time()
    for _ in range(repeats):
        min(accounts, key=node_counters.estimate)
    return (time.process_time() - started_at) / repeats * US_PER_S


def _make_document(accounts: int = 16, services: int = 1) -> bytes:
    shape = shapes.Shape(
        ("oslo-a",),
        tuple(
            shapes.ServiceShape(f"service-{number}", "completions", 1)
            for number in range(services)
        ),
        accounts=accounts,
    )
    contents = shapes.make_document(shape)
    for account in contents["client_accounts"]:
        account["services"] = account["services"][:3]
    return msgspec.json.encode(contents)


def _measure_parse_ms(text: bytes) -> float:
    repeats = 10
    started_at = time.process_time()
    for _ in range(repeats):
        document.parse(text)
    return (time.process_time() - started_at) / repeats * 1000


def _measure_list_bytes(count: int) -> int:
    listed = [
        instances.Instance(
            ids.InstanceId(f"agent-service-{number}"),
            instances.Role.AGENT,
            ids.DataCentre("chaguanas"),
            "10.11.12.13",
            7000,
            7001,
            ids.ServiceName("service-12"),
            ids.UpstreamId(f"service-12-{number}"),
        )
        for number in range(count)
    ]
    return len(msgspec.json.encode(listed))


def _fit_line(sizes: list[int], values: list[float]) -> Curve:
    x = numpy.array(sizes, float)
    y = numpy.array(values, float)
    slope, at_zero = numpy.polyfit(x, y, 1)
    residual = y - (slope * x + at_zero)
    degrees_of_freedom = max(1, len(x) - 2)
    variance = float((residual**2).sum()) / degrees_of_freedom
    spread = (variance / float(((x - x.mean()) ** 2).sum())) ** 0.5
    return Curve(
        sizes,
        [round(float(value), 4) for value in values],
        Slope(
            _round_significant(slope),
            _round_significant(at_zero),
            _round_significant(spread),
        ),
    )


def _round_significant(value: float) -> float:
    return float(f"{value:.4g}")
