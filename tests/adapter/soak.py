"""A randomised soak test of entry routers with real processes and injected failures.

    .venv/bin/python -m tests.adapter.soak --seed N --seconds S

It starts routers, a store and upstreams on loopback addresses of their own and sends
requests of all kinds. Meanwhile it kills, freezes, stops and floods routers, makes the
store unavailable, evacuates data centres, lets upstreams turn cold and injects faults
into the links to the store and to upstreams. It checks what callers and upstreams
observe and exits with status 1 after a violation.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import enum
import json
import math
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

from adapter import settings

from teaselsill import http_messages, tcp_stream
from tests import entry_bench
from tests.adapter import faulty_link, store_bench, test_manifest

ROOT = pathlib.Path(__file__).parents[2]
ROUTER_COUNT = 3
UPSTREAM_COUNT = 3
LINK_COUNT = UPSTREAM_COUNT + 1
"""One link to each upstream; the last one leads to the store."""
NETWORK = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
"""Each run has addresses of its own, so that several can go on at once."""
FIRST_HOST = 40
"""Routers use the addresses from this one on, so that all can use the same ports."""
GRACE_S = 6.0
START_S = 20.0
SETTLE_S = 4.0
"""Time after the last failure before requests must succeed again."""
LINK_RECOVERY_S = 4.0
"""How long after a fault a connection that it has silenced may still be in use."""
CALLER_COUNT = 12
FLOOD_CALLER_COUNT = 60
TIMEOUT_S = 4.0
NOT_RUN_STATUSES = {408, 421, 429, 503}
"""Statuses by which a router guarantees that the request has not run."""
NOT_FOUND_STATUS = 404
SILENT_RATIO = 0.3
"""The fraction of restores of the store that leave its connections open but silent."""
LOST_RESPONSE_RATIO = 0.03
"""The fraction of executed requests whose response an upstream drops."""
HEALTHY_RATIO = 0.95
LIMIT_S = 6.0
"""How long an upstream names a limit, in addition to the duration that is drawn."""
LIMITS_PER_S = (2.0, 10.0)
LIMIT_KNOWN_S = 1.0
"""Time after which all routers know a limit that an upstream has named."""
LIMIT_WINDOW_S = 4.0
EVACUATION_S = 10.0
"""How long a data centre is evacuated, in addition to the duration that is drawn."""
EVACUATION_KNOWN_S = 1.5
"""All routers know an evacuation after so long without failures that hide it."""
COLD_S = 4.0
"""How long an upstream is cold."""
COLD_PER_S = 8.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5.0
COLD_WINDOW_S = 1.0
HEARTBEAT_S = 1.2
BOTH_RATIO = 0.3
"""The fraction of evacuations that go with another one."""


class FailureKind(enum.Enum):
    """Kinds of injected failures."""

    KILLED = "killed"
    FROZEN = "frozen"
    STOPPED = "stopped"
    STORE_DOWN = "store-down"
    FLOOD = "flood"
    LINK_DELAYED = "link-delayed"
    LINK_ONE_WAY = "link-one-way"
    LINK_SILENT = "link-silent"
    LINK_RESET = "link-reset"
    LIMITED = "limited"
    STORE_RESTORED = "store-restored"
    EVACUATED = "evacuated"
    COLD = "cold"


FAULT_BY_KIND = {
    FailureKind.LINK_DELAYED: faulty_link.Fault.DELAYED,
    FailureKind.LINK_ONE_WAY: faulty_link.Fault.ONE_WAY,
    FailureKind.LINK_SILENT: faulty_link.Fault.SILENT,
}


class Repeat(enum.Enum):
    """How a request may be repeated; the value is the prefix of its path."""

    FREELY = "/free/"
    NEVER = "/once/"
    RESUME = "/events/"


@dataclasses.dataclass(frozen=True)
class Failure:
    """One injected failure.

    Attributes:
        kind: What fails.
        target: The index of the router or link that fails.
        at_s: When the failure starts, in seconds after the start of the run.
        duration_s: How long the failure lasts, in seconds.
    """

    kind: FailureKind
    target: int
    at_s: float
    duration_s: float


def draw_failures(seed: int, duration_s: float) -> list[Failure]:
    """Returns the failures of a run; they depend only on the seed and may overlap."""
    source = random.Random(seed)
    failures = _draw_limits(seed, duration_s)
    failures += _draw_restores(seed, duration_s)
    failures += _draw_evacuations(seed, duration_s)
    failures += _draw_cold_times(seed, duration_s)
    drawn_apart = {
        FailureKind.LIMITED,
        FailureKind.STORE_RESTORED,
        FailureKind.EVACUATED,
        FailureKind.COLD,
    }
    kinds = [kind for kind in FailureKind if kind not in drawn_apart]
    at_s = 1.0
    while at_s < duration_s:
        kind = source.choice(kinds)
        failure_s = round(source.uniform(0.3, 2.5), 2)
        is_link = kind is FailureKind.LINK_RESET or kind in FAULT_BY_KIND
        target = source.randrange(LINK_COUNT if is_link else ROUTER_COUNT)
        failures.append(Failure(kind, target, at_s, failure_s))
        at_s = round(at_s + source.uniform(0.5, 3.0), 2)
    return sorted(failures, key=lambda failure: failure.at_s)


def _draw_limits(seed: int, duration_s: float) -> list[Failure]:
    """Returns when upstreams limit their requests, which changes no other draw."""
    source = random.Random(f"limits of {seed}")
    failures = []
    at_s = source.uniform(0.5, 2.0)
    while at_s < duration_s:
        target = source.randrange(UPSTREAM_COUNT)
        failure_s = round(source.uniform(0.3, 2.5), 2)
        failures.append(Failure(FailureKind.LIMITED, target, round(at_s, 2), failure_s))
        at_s += LIMIT_S + failure_s + source.uniform(0.5, 3.0)
    return failures


def _draw_restores(seed: int, duration_s: float) -> list[Failure]:
    """Returns when the store comes back from a copy, which changes no other draw.

    Half of them are followed by another one.
    """
    source = random.Random(f"restores of {seed}")
    failures = []
    at_s = source.uniform(0.5, 3.0)
    while at_s < duration_s:
        failure_s = round(source.uniform(0.0, 1.5), 2)
        failures.append(
            Failure(FailureKind.STORE_RESTORED, 0, round(at_s, 2), failure_s)
        )
        at_s += failure_s + source.choice([source.uniform(0.1, 1.0), 6.0])
    return failures


def _draw_evacuations(seed: int, duration_s: float) -> list[Failure]:
    """Returns when data centres are evacuated, which changes no other draw."""
    source = random.Random(f"evacuations of {seed}")
    failures = []
    at_s = source.uniform(0.5, 2.0)
    while at_s < duration_s:
        targets = source.sample(range(UPSTREAM_COUNT), 2)
        failure_s = round(source.uniform(0.3, 2.5), 2)
        for target in targets[: 2 if source.random() < BOTH_RATIO else 1]:
            failure = Failure(FailureKind.EVACUATED, target, round(at_s, 2), failure_s)
            failures.append(failure)
        at_s += EVACUATION_S + failure_s + source.uniform(0.2, 3.0)
    return failures


def _draw_cold_times(seed: int, duration_s: float) -> list[Failure]:
    """Returns when upstreams turn cold, which changes no other draw."""
    source = random.Random(f"cold times of {seed}")
    failures = []
    at_s = source.uniform(0.5, 2.0)
    while at_s < duration_s:
        target = source.randrange(UPSTREAM_COUNT)
        failures.append(Failure(FailureKind.COLD, target, round(at_s, 2), COLD_S))
        at_s += COLD_S + source.uniform(1.0, 3.0)
    return failures


@dataclasses.dataclass(frozen=True)
class Span:
    """A time on the monotonic clock, in seconds.

    Attributes:
        began_at: When it began.
        ended_at: When it ended.
    """

    began_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True)
class LimitSpan:
    """A time in which an upstream has named a limit.

    Attributes:
        per_s: The limit, in requests a second.
        began_at: When it was first named, on the monotonic clock, in seconds.
        ended_at: When it was last in force.
    """

    per_s: float
    began_at: float
    ended_at: float

    @property
    def bound(self) -> float:
        """The most requests that may arrive in a window."""
        return 1.5 * LIMIT_WINDOW_S * self.per_s + 5

    def count_most(self, arrived_at: list[float]) -> int:
        """Returns the most requests in a window after the limit was known."""
        since = self.began_at + LIMIT_KNOWN_S
        times = [at for at in arrived_at if since <= at < self.ended_at]
        counts = [
            sum(start <= at < start + LIMIT_WINDOW_S for at in times) for start in times
        ]
        return max(counts, default=0)


def make_manifest(version: int = 1) -> bytes:
    """Returns a manifest with one route for each member of `Repeat`.

    A route for the version alone shows which one is in force.
    """
    type_by_repeat = {
        Repeat.FREELY: "idempotent",
        Repeat.NEVER: "non_idempotent",
        Repeat.RESUME: "streaming",
    }
    route = test_manifest.MANIFEST["Routes"][1] | {"TimeoutMs": 3000}
    routes = [
        route | {"Name": r.name, "PathPrefix": r.value, "Type": type_by_repeat[r]}
        for r in Repeat
    ]
    routes.append(route | {"Name": "v", "PathPrefix": f"/version-{version}/"})
    services = [
        service | {"ColdStartS": COLD_S, "ColdPerS": COLD_PER_S}
        for service in test_manifest.MANIFEST["Services"]
    ]
    manifest = test_manifest.MANIFEST | {
        "Routes": routes,
        "Services": services,
        "Version": version,
    }
    return json.dumps(manifest).encode()


class Upstream:
    """A scripted upstream that counts how often it executes each request.

    Attributes:
        runs: How often each request was executed.
        dropped: The requests whose response was dropped.
        server: The HTTP server.
        arrived_at: When requests arrived, on the monotonic clock, in seconds.
        limit_per_s: The limit that it names; None for none.
        limit_spans: The times in which it has named one.
        data_centre: The data centre, in which it is the only one.
        evacuated: The times in which it was to get nothing.
        cold_until: Until when it is cold.
        cold: The times in which it was cold.
    """

    def __init__(self, name: str, source: random.Random, data_centre: str):
        self.data_centre = data_centre
        self.evacuated: list[Span] = []
        self.cold_until = -math.inf
        self.cold: list[Span] = []
        self.arrived_at: list[float] = []
        self.limit_per_s: float | None = None
        self.limit_spans: list[LimitSpan] = []
        self.runs = collections.Counter()
        self.dropped: set[str] = set()
        self._source = source
        self.server = entry_bench.ScriptedUpstream(name, self._answer)

    async def _answer(self, request, stream):
        request_id = request.get("teaselsill-attempt-id")
        self.runs[request_id] += 1
        self.arrived_at.append(time.monotonic())
        await asyncio.sleep(self._source.uniform(0.005, 0.05))
        if self._source.random() < LOST_RESPONSE_RATIO:
            self.dropped.add(request_id)
            stream.abort()
            return
        fields = [
            ("teaselsill-attempt-id", request_id),
            ("teaselsill-server-seal", "s"),
        ]
        if self.limit_per_s is not None:
            fields.append(("server-limit", str(self.limit_per_s)))
        if not request.path.startswith(Repeat.RESUME.value):
            fields.append(("content-length", str(len(request_id))))
            stream.write(http_messages.encode_head(200, "OK", fields))
            stream.write(request_id.encode())
            return
        fields.append(("transfer-encoding", "chunked"))
        stream.write(http_messages.encode_head(200, "OK", fields))
        first = int(request.get("last-event-id") or 0) + 1
        for number in range(first, 6):
            stream.write(http_messages.encode_chunk(make_event(number, request_id)))
            await asyncio.sleep(0.01)
        stream.write(http_messages.LAST_CHUNK)

    async def limit(self, per_s: float, duration_s: float):
        """Names a limit for a while."""
        began_at = time.monotonic()
        self.limit_per_s = per_s
        await asyncio.sleep(duration_s)
        self.limit_per_s = None
        self.limit_spans.append(LimitSpan(per_s, began_at, time.monotonic()))

    def check_limits(self) -> list[str]:
        """Returns a description of each limit that was not kept."""
        return [
            f"{most} requests in {LIMIT_WINDOW_S} s, {span.bound} allowed: {span}"
            for span in self.limit_spans
            if (most := span.count_most(self.arrived_at)) > span.bound
        ]

    def check_evacuations(self, hidden: list[Span], restored: list[Span]) -> list[str]:
        """Returns a description of each request that came in spite of an evacuation.

        Args:
            hidden: The times in which routers may have been unable to learn of it.
            restored: The times in which the store may have lacked it, so that routers
                that started could not know it.
        """
        return [
            f"{self.server.name}: request {at - span.began_at:.2f} s after its"
            " evacuation"
            for span in self.evacuated
            for at in self.arrived_at
            if find_known_at(span, hidden) < at < span.ended_at
            and not any(
                each.began_at <= at < each.ended_at + EVACUATION_KNOWN_S
                for each in restored
            )
        ]

    def check_cold_times(self, hidden: list[Span]) -> list[str]:
        """Returns a description of each cold time in which too many requests came.

        Args:
            hidden: The times in which routers may have been unable to learn of it.
        """
        most = COLD_OVERAGE * COLD_PER_S + COLD_SLACK
        found = []
        for span in self.cold:
            since = find_known_at(span, hidden)
            times = [at for at in self.arrived_at if since < at < span.ended_at]
            count = max(
                (sum(t <= at < t + COLD_WINDOW_S for at in times) for t in times),
                default=0,
            )
            if count > most:
                found.append(f"{self.server.name}: {count} requests in a second, cold")
        return found


def find_known_at(written: Span, hidden: list[Span]) -> float:
    """Returns from when on all running routers know what was written.

    Args:
        written: When it was written, and holds.
        hidden: The times in which routers may have been unable to learn of it.
    """
    known_at = written.began_at + EVACUATION_KNOWN_S
    for span in sorted(hidden, key=lambda span: span.began_at):
        if span.began_at < known_at:
            known_at = max(known_at, span.ended_at + EVACUATION_KNOWN_S)
    return known_at


def make_event(number: int, request_id: str) -> bytes:
    """Returns one event of the stream that answers a request."""
    return f"id: {number}\ndata: {request_id}\n\n".encode()


class Router:
    """One router process, which can be signalled and restarted.

    Attributes:
        host: Its IP address.
        is_failing: Whether it is down or has not recovered yet from a failure. A
            planned stop is not a failure.
        failure_count: How many failures it has had.
    """

    def __init__(self, number: int, store_address: str, folder: pathlib.Path):
        self.host = f"{NETWORK}.{FIRST_HOST + number}"
        self.is_failing = True
        self.failure_count = 0
        self._path = folder / f"settings-{number}.toml"
        self._path.write_text(make_settings(number, self.host, store_address))
        self._log = (folder / f"router-{number}.log").open("ab")
        self.process = None

    async def start(self):
        """Starts the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform/run.py"),
            "router",
            env=os.environ | {settings.PATH_VARIABLE: str(self._path)},
            stdout=self._log,
            stderr=self._log,
        )

    async def wait_ready(self):
        """Waits until the router reports that it is ready.

        Raises:
            TimeoutError: It was not ready in time.
        """
        async with asyncio.timeout(START_S):
            while await self._fetch_readiness() != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        self.is_failing = False

    async def apply_failure(self, kind: FailureKind, duration_s: float):
        """Kills, freezes or stops the process, then resumes or restarts it."""
        if kind is not FailureKind.STOPPED:
            self.is_failing = True
            self.failure_count += 1
        match kind:
            case FailureKind.FROZEN:
                self.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(duration_s)
                self.process.send_signal(signal.SIGCONT)
                await self.wait_ready()
                return
            case FailureKind.KILLED:
                self.process.kill()
            case FailureKind.STOPPED:
                self.process.terminate()
        async with asyncio.timeout(GRACE_S + 1.0):
            await self.process.wait()
        await self.start()
        await self.wait_ready()

    async def close(self):
        """Kills the process without a restart."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self._log.close()

    async def _fetch_readiness(self) -> int:
        try:
            stream = await tcp_stream.connect(self.host, 8780, 0.5)
        except tcp_stream.ConnectionFailedError:
            return 0
        caller = entry_bench.Caller(stream)
        try:
            caller.send(path="/v1/ready", method="GET")
            return (await caller.receive())[0]
        except TimeoutError:
            return 0
        finally:
            caller.abort()


def make_settings(number: int, host: str, store_address: str) -> str:
    """Returns the content of a router's settings file."""
    return f"""
Node = "edge-{number}"
Role = "router"
Ip = "{host}"
Zone = "a"
PortRange = [7400, 7415]
HeartbeatMs = 1200
[Listen]
Front = "{host}:8783"
Ready = "{host}:8780"
[Limits]
CpuShare = 1.0
Cores = 1
[Bounds]
DrainMs = 2000
GraceS = {GRACE_S}
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetBurst = 54
ColdOverage = {COLD_OVERAGE}
ColdSlack = {COLD_SLACK}
[Zones]
a = "north"
b = "north"
c = "south"
[Platform]
Address = "{store_address}"
"""


class Soak:
    """One run of the soak test.

    Attributes:
        violations: A description of each violation.
        count_by_result: How many requests had each result.
    """

    def __init__(self, seed: int, duration_s: float, folder: pathlib.Path):
        self.violations: list[str] = []
        self.count_by_result = collections.Counter()
        self._failures = draw_failures(seed, duration_s)
        self._duration_s = duration_s
        self._folder = folder
        self._source = random.Random(seed)
        self._store = store_bench.KeyedStore()
        self._upstreams = [
            Upstream(f"i-{n}", self._source, "abc"[n]) for n in range(UPSTREAM_COUNT)
        ]
        self._routers: list[Router] = []
        self._links: list[faulty_link.FaultyLink] = []
        self._links_calm_at = -math.inf
        self._locks = [asyncio.Lock() for _ in range(ROUTER_COUNT)]
        self._number = 0
        self._version = 0
        self._not_run: set[str] = set()
        self._unrepeatable: set[str] = set()
        self._is_over = False
        self._hidden: list[Span] = []
        self._restored: list[Span] = []
        self._evacuated: set[str] = set()

    async def run(self) -> None:
        """Injects the failures under load and checks the observations."""
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self._store)
            self._put_version()
            for upstream in self._upstreams:
                await stack.enter_async_context(upstream.server)
                await self._link(stack, upstream.server)
            self._register_upstreams()
            link = await self._link(stack, self._store)
            stack.push_async_callback(self._end_routers)
            await self._start_routers(f"{faulty_link.HOST}:{link.port}")
            await self._run_failures()
        self._check_runs()
        for upstream in self._upstreams:
            self.violations += upstream.check_limits()
            self.violations += upstream.check_evacuations(self._hidden, self._restored)
            self.violations += upstream.check_cold_times(self._hidden)

    async def _link(self, stack, server) -> faulty_link.FaultyLink:
        upstream = server.describe()
        link = faulty_link.FaultyLink(upstream.port)
        self._links.append(await stack.enter_async_context(link))
        return link

    async def _end_routers(self) -> None:
        for router in self._routers:
            await router.close()

    async def _start_routers(self, store_address: str) -> None:
        for number in range(ROUTER_COUNT):
            router = Router(number, store_address, self._folder)
            self._routers.append(router)
            await router.start()
        await asyncio.gather(*[router.wait_ready() for router in self._routers])

    async def _run_failures(self) -> None:
        callers = [
            asyncio.create_task(self._send_repeatedly(n)) for n in range(CALLER_COUNT)
        ]
        began_at = time.monotonic()
        injections = []
        for failure in self._failures:
            await asyncio.sleep(max(0.0, began_at + failure.at_s - time.monotonic()))
            injections.append(asyncio.create_task(self._inject_and_note(failure)))
        await asyncio.gather(*injections)
        await asyncio.sleep(SETTLE_S)
        await self._check_version()
        before = self.count_by_result.copy()
        await asyncio.sleep(2.0)
        self._is_over = True
        await asyncio.gather(*callers)
        late = self.count_by_result - before
        if late["served"] < HEALTHY_RATIO * late.total():
            self.violations.append(
                f"not recovered after the last failure: {dict(late)}"
            )

    async def _check_version(self) -> None:
        """Checks that each router has the newest version in force."""
        for router in self._routers:
            stream = await tcp_stream.connect(router.host, 8783, 0.5)
            caller = entry_bench.Caller(stream)
            head = [("host", "ficu95.example"), ("teaselsill-attempt-id", "version")]
            path = f"/version-{self._version}/1"
            caller.send_bytes(http_messages.encode_request("GET", path, head, b""))
            status = (await caller.receive())[0]
            caller.abort()
            if status == NOT_FOUND_STATUS:
                self.violations.append(
                    f"{router.host} does not have version {self._version}"
                )

    async def _inject_and_note(self, failure: Failure) -> None:
        """Injects a failure; notes when routers may miss what operators write."""
        began_at = time.monotonic()
        await self._inject(failure)
        ended_at = time.monotonic()
        match failure.kind:
            case FailureKind.STORE_RESTORED:
                self._hidden.append(Span(began_at, ended_at))
                self._restored.append(Span(began_at, ended_at))
            case FailureKind.STORE_DOWN | FailureKind.FROZEN:
                self._hidden.append(Span(began_at, ended_at))
            case kind if kind in FAULT_BY_KIND:
                self._hidden.append(Span(began_at, ended_at + LINK_RECOVERY_S))

    async def _inject(self, failure: Failure) -> None:
        match failure.kind:
            case FailureKind.STORE_DOWN:
                self._store.down = True
                await asyncio.sleep(failure.duration_s)
                self._store.down = False
            case FailureKind.STORE_RESTORED:
                await self._restore_store(failure)
            case FailureKind.FLOOD:
                target = failure.target
                callers = range(FLOOD_CALLER_COUNT)
                await asyncio.gather(
                    *[self._flood(target, failure.duration_s) for _ in callers]
                )
            case FailureKind.LIMITED:
                per_s = round(random.Random(failure.at_s).uniform(*LIMITS_PER_S), 1)
                await self._upstreams[failure.target].limit(
                    per_s, LIMIT_S + failure.duration_s
                )
            case FailureKind.EVACUATED:
                await self._evacuate(failure)
            case FailureKind.COLD:
                await self._turn_cold(self._upstreams[failure.target])
            case FailureKind.LINK_RESET:
                self._links[failure.target].cut()
                self._note_link_fault(0.0)
            case kind if kind in FAULT_BY_KIND:
                await self._disturb_link(failure)
            case _:
                async with self._locks[failure.target]:
                    router = self._routers[failure.target]
                    try:
                        await router.apply_failure(failure.kind, failure.duration_s)
                    except TimeoutError:
                        self.violations.append(
                            f"router not ready in time after {failure}"
                        )

    async def _restore_store(self, failure: Failure) -> None:
        """Lets the store come back from a copy, after which a version follows.

        The copy lacks the version before; all servers and that version are written
        again, as the operator and the servers do.
        """
        source = random.Random(f"restore at {failure.at_s}")
        copy = self._store.copy()
        self._put_version()
        await asyncio.sleep(source.uniform(0.0, 0.5))
        self._store.down = True
        self._store.restore(copy, is_silent=source.random() < SILENT_RATIO)
        await asyncio.sleep(failure.duration_s)
        self._store.down = False
        self._put_version(0)
        for upstream in self._upstreams:
            self._put_evacuation(upstream)
        await asyncio.sleep(source.uniform(0.0, 1.2))
        self._register_upstreams()
        self._put_version()

    async def _evacuate(self, failure: Failure) -> None:
        upstream = self._upstreams[failure.target]
        began_at = time.monotonic()
        self._evacuated.add(upstream.data_centre)
        self._put_evacuation(upstream)
        await asyncio.sleep(EVACUATION_S + failure.duration_s)
        upstream.evacuated.append(Span(began_at, time.monotonic()))
        self._evacuated.discard(upstream.data_centre)
        self._put_evacuation(upstream)

    async def _turn_cold(self, upstream: Upstream) -> None:
        """Lets an upstream turn cold, as its heartbeats say."""
        began_at = time.monotonic()
        upstream.cold_until = began_at + COLD_S
        while (left_s := upstream.cold_until - time.monotonic()) > 0:
            self._register_upstreams()
            await asyncio.sleep(min(left_s, HEARTBEAT_S))
        upstream.cold.append(Span(began_at, upstream.cold_until))
        self._register_upstreams()

    def _put_evacuation(self, upstream: Upstream) -> None:
        """Writes that a data centre is evacuated, or removes the record."""
        is_evacuated = upstream.data_centre in self._evacuated
        key = f"evacuate/{upstream.data_centre}"
        self._store.put("keyed.op", key, b"{}" if is_evacuated else None)

    def _put_version(self, more: int = 1) -> None:
        """Writes the manifest again, by default in the next version."""
        self._version += more
        self._store.put("keyed.op", "config", make_manifest(self._version))

    def _register_upstreams(self) -> None:
        for upstream, link in zip(self._upstreams, self._links, strict=False):
            left_s = max(0.0, upstream.cold_until - time.monotonic())
            self._store.register(
                upstream.server,
                Address=f"{faulty_link.HOST}:{link.port}",
                Zone=upstream.data_centre,
                ColdLeftMs=round(1000 * left_s),
            )

    async def _disturb_link(self, failure: Failure) -> None:
        self._note_link_fault(failure.duration_s)
        link = self._links[failure.target]
        link.fault = FAULT_BY_KIND[failure.kind]
        await asyncio.sleep(failure.duration_s)
        link.fault = faulty_link.Fault.NONE

    def _note_link_fault(self, duration_s: float) -> None:
        calm_at = time.monotonic() + duration_s + LINK_RECOVERY_S
        self._links_calm_at = max(self._links_calm_at, calm_at)

    async def _flood(self, target: int, duration_s: float) -> None:
        until = time.monotonic() + duration_s
        while time.monotonic() < until:
            await self._send(target, Repeat.RESUME)

    async def _send_repeatedly(self, number: int) -> None:
        while not self._is_over:
            await self._send(number % ROUTER_COUNT, self._source.choice(list(Repeat)))
            await asyncio.sleep(self._source.uniform(0.0, 0.05))

    async def _send(self, target: int, repeat: Repeat) -> None:
        """Sends one request and checks its response."""
        self._number += 1
        request_id = f"{self._number:08x}"
        if repeat is Repeat.NEVER:
            self._unrepeatable.add(request_id)
        before = [router.failure_count for router in self._routers]
        began_at = time.monotonic()
        result = await self._exchange(self._routers[target], request_id, repeat)
        self.count_by_result[result] += 1
        is_calm = before == [router.failure_count for router in self._routers]
        is_calm = is_calm and not any(r.is_failing for r in self._routers)
        is_calm = is_calm and began_at > self._links_calm_at
        is_dropped = any(request_id in u.dropped for u in self._upstreams)
        if result == "cut" and is_calm and not is_dropped:
            self.violations.append(
                f"{request_id}: response truncated although nothing failed"
            )

    async def _exchange(self, router: Router, request_id: str, repeat: Repeat) -> str:
        try:
            stream = await tcp_stream.connect(router.host, 8783, 0.5)
        except tcp_stream.ConnectionFailedError:
            return "unreachable"
        caller = entry_bench.Caller(stream)
        head = [
            ("host", "ficu95.example"),
            ("teaselsill-attempt-id", request_id),
            ("teaselsill-time-budget-ms", str(int(1000 * TIMEOUT_S))),
        ]
        method = "GET" if repeat is Repeat.FREELY else "POST"
        sent = http_messages.encode_request(method, f"{repeat.value}1", head, b"")
        caller.send_bytes(sent)
        try:
            status, body, is_whole = await caller.receive()
        except TimeoutError:
            return "timeout"
        finally:
            caller.abort()
        return self._classify(request_id, repeat, status, body, is_whole)

    def _classify(self, request_id, repeat, status: int, body: bytes, is_whole) -> str:
        if not is_whole:
            return "cut"
        if status in NOT_RUN_STATUSES:
            self._not_run.add(request_id)
            return "refused"
        if status != 200:
            return "failed"
        wanted = request_id.encode()
        if repeat is Repeat.RESUME:
            wanted = b"".join(make_event(n, request_id) for n in range(1, 6))
        if body != wanted:
            self.violations.append(f"{request_id}: wrong response {body!r}")
        return "served"

    def _check_runs(self) -> None:
        runs = sum((u.runs for u in self._upstreams), collections.Counter())
        for request_id in self._not_run:
            if runs[request_id]:
                self.violations.append(
                    f"{request_id} was executed but reported as not run"
                )
        for request_id in self._unrepeatable:
            if runs[request_id] > 1:
                self.violations.append(
                    f"{request_id} was executed {runs[request_id]} times"
                )


async def run_soak(seed: int, duration_s: float, folder: pathlib.Path) -> Soak:
    """Performs one run with settings and logs in a directory and returns it."""
    soak = Soak(seed, duration_s, folder)
    await soak.run()
    return soak


def main() -> int:
    """Performs one run, prints its results and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--logs", type=pathlib.Path, help="directory in which to keep the logs"
    )
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = arguments.logs or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        soak = asyncio.run(run_soak(arguments.seed, arguments.seconds, folder))
    results = dict(sorted(soak.count_by_result.items()))
    print(f"seed {arguments.seed}: {results}, {len(soak.violations)} violations")
    for violation in soak.violations[:20]:
        print(f"  {violation}")
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())
