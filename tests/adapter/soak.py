"""A randomized soak of entry routers: real processes, failures from outside them.

    .venv/bin/python -m tests.adapter.soak --seed N --seconds S

It starts routers, a store and upstreams on loopback addresses of their own, sends mixed
requests, kills, freezes, stops and floods routers, takes the store away, disturbs the
links to the store and to upstreams, and checks what callers and upstreams see. It ends
with status 1 after a violation.
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
"""One to each upstream, and the last to the store."""
FIRST_HOST = 40
"""The routers are reached at 127.0.0.40 and after, each with ports of its own."""
GRACE_S = 6.0
START_S = 20.0
SETTLE_S = 4.0
"""After the last failure, before requests must succeed again."""
LINK_RECOVERY_S = 4.0
"""How long after a fault a connection that it has silenced may still be used."""
CALLER_COUNT = 12
FLOOD_CALLER_COUNT = 60
TIMEOUT_S = 4.0
NOT_RUN_STATUSES = {408, 421, 429, 503}
"""Statuses by which a router says that the request has not run."""
LOST_RESPONSE_RATIO = 0.03
"""The part of the requests that run and whose answer an upstream drops."""
HEALTHY_RATIO = 0.95


class FailureKind(enum.Enum):
    """What fails."""

    KILLED = "killed"
    FROZEN = "frozen"
    STOPPED = "stopped"
    STORE_DOWN = "store-down"
    FLOOD = "flood"
    LINK_DELAYED = "link-delayed"
    LINK_ONE_WAY = "link-one-way"
    LINK_SILENT = "link-silent"
    LINK_RESET = "link-reset"


FAULT_BY_KIND = {
    FailureKind.LINK_DELAYED: faulty_link.Fault.DELAYED,
    FailureKind.LINK_ONE_WAY: faulty_link.Fault.ONE_WAY,
    FailureKind.LINK_SILENT: faulty_link.Fault.SILENT,
}


class Repeat(enum.Enum):
    """What may be repeated of a request, and its path."""

    FREELY = "/free/"
    NEVER = "/once/"
    RESUME = "/events/"


@dataclasses.dataclass(frozen=True)
class Failure:
    """One failure: what, at which router or link, when and how long, in seconds."""

    kind: FailureKind
    target: int
    at_s: float
    duration_s: float


def draw_failures(seed: int, duration_s: float) -> list[Failure]:
    """Returns the failures of a run, which depend on the seed alone and may overlap."""
    source = random.Random(seed)
    failures = []
    at_s = 1.0
    while at_s < duration_s:
        kind = source.choice(list(FailureKind))
        failure_s = round(source.uniform(0.3, 2.5), 2)
        is_link = kind is FailureKind.LINK_RESET or kind in FAULT_BY_KIND
        target = source.randrange(LINK_COUNT if is_link else ROUTER_COUNT)
        failures.append(Failure(kind, target, at_s, failure_s))
        at_s = round(at_s + source.uniform(0.5, 3.0), 2)
    return failures


def make_manifest() -> bytes:
    """Returns a configuration with one route for each kind of repetition."""
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
    return json.dumps(test_manifest.MANIFEST | {"Routes": routes}).encode()


class Upstream:
    """A scripted server that counts the runs of each request.

    Attributes:
        runs: How often each request ran.
        dropped: The requests of which an answer was dropped.
        server: The server.
    """

    def __init__(self, name: str, source: random.Random):
        self.runs = collections.Counter()
        self.dropped: set[str] = set()
        self._source = source
        self.server = entry_bench.ScriptedUpstream(name, self._answer)

    async def _answer(self, request, stream):
        identity = request.get("teaselsill-attempt-id")
        self.runs[identity] += 1
        await asyncio.sleep(self._source.uniform(0.005, 0.05))
        if self._source.random() < LOST_RESPONSE_RATIO:
            self.dropped.add(identity)
            stream.abort()
            return
        fields = [
            ("teaselsill-attempt-id", identity),
            ("teaselsill-server-seal", "s"),
        ]
        if not request.path.startswith(Repeat.RESUME.value):
            fields.append(("content-length", str(len(identity))))
            stream.write(http_messages.encode_head(200, "OK", fields))
            stream.write(identity.encode())
            return
        fields.append(("transfer-encoding", "chunked"))
        stream.write(http_messages.encode_head(200, "OK", fields))
        first = int(request.get("last-event-id") or 0) + 1
        for number in range(first, 6):
            stream.write(http_messages.encode_chunk(make_event(number, identity)))
            await asyncio.sleep(0.01)
        stream.write(http_messages.LAST_CHUNK)


def make_event(number: int, identity: str) -> bytes:
    """Returns one event of the stream for a request."""
    return f"id: {number}\ndata: {identity}\n\n".encode()


class Router:
    """One router process, which may be signalled and started again.

    Attributes:
        host: Its IP address.
        is_disturbed: Whether it is down or not yet back from a failure. A planned stop
            is none.
        disturbances: How many failures it has had.
    """

    def __init__(self, number: int, store_address: str, folder: pathlib.Path):
        self.host = f"127.0.0.{FIRST_HOST + number}"
        self.is_disturbed = True
        self.disturbances = 0
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
        """Waits until the router says that it is ready.

        Raises:
            TimeoutError: It does not in time.
        """
        async with asyncio.timeout(START_S):
            while await self._ask_ready() != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        self.is_disturbed = False

    async def apply_failure(self, kind: FailureKind, duration_s: float):
        """Kills, freezes or stops the process, and has it back afterwards."""
        if kind is not FailureKind.STOPPED:
            self.is_disturbed = True
            self.disturbances += 1
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
        """Ends the process for good."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self._log.close()

    async def _ask_ready(self) -> int:
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
    """Returns the settings file of a router."""
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
[Platform]
Address = "{store_address}"
"""


class Soak:
    """One run.

    Attributes:
        violations: What was broken, in words.
        count_by_result: How many requests ended how.
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
            Upstream(f"i-{n}", self._source) for n in range(UPSTREAM_COUNT)
        ]
        self._routers: list[Router] = []
        self._links: list[faulty_link.FaultyLink] = []
        self._links_calm_at = -math.inf
        self._locks = [asyncio.Lock() for _ in range(ROUTER_COUNT)]
        self._number = 0
        self._not_run: set[str] = set()
        self._once: set[str] = set()
        self._is_over = False

    async def run(self) -> None:
        """Plays the failures under load and checks what was seen."""
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self._store)
            self._store.put("keyed.op", "config", make_manifest())
            for upstream in self._upstreams:
                await stack.enter_async_context(upstream.server)
                link = await self._link(stack, upstream.server)
                address = f"{faulty_link.HOST}:{link.port}"
                self._store.register(upstream.server, Address=address)
            link = await self._link(stack, self._store)
            stack.push_async_callback(self._end_routers)
            await self._start_routers(f"{faulty_link.HOST}:{link.port}")
            await self._play()
        self._check_runs()

    async def _link(self, stack, server) -> faulty_link.FaultyLink:
        known = server.describe()
        link = faulty_link.FaultyLink(known.port)
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

    async def _play(self) -> None:
        callers = [asyncio.create_task(self._call_on(n)) for n in range(CALLER_COUNT)]
        began_at = time.monotonic()
        suffering = []
        for failure in self._failures:
            await asyncio.sleep(max(0.0, began_at + failure.at_s - time.monotonic()))
            suffering.append(asyncio.create_task(self._suffer(failure)))
        await asyncio.gather(*suffering)
        await asyncio.sleep(SETTLE_S)
        before = self.count_by_result.copy()
        await asyncio.sleep(2.0)
        self._is_over = True
        await asyncio.gather(*callers)
        late = self.count_by_result - before
        if late["served"] < HEALTHY_RATIO * late.total():
            self.violations.append(f"not recovered: {dict(late)}")

    async def _suffer(self, failure: Failure) -> None:
        match failure.kind:
            case FailureKind.STORE_DOWN:
                self._store.down = True
                await asyncio.sleep(failure.duration_s)
                self._store.down = False
            case FailureKind.FLOOD:
                target = failure.target
                callers = range(FLOOD_CALLER_COUNT)
                await asyncio.gather(
                    *[self._flood(target, failure.duration_s) for _ in callers]
                )
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
                        self.violations.append(f"not back in time: {failure}")

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
            await self._ask(target, Repeat.RESUME)

    async def _call_on(self, number: int) -> None:
        while not self._is_over:
            await self._ask(number % ROUTER_COUNT, self._source.choice(list(Repeat)))
            await asyncio.sleep(self._source.uniform(0.0, 0.05))

    async def _ask(self, target: int, repeat: Repeat) -> None:
        """Sends one request and checks its answer."""
        self._number += 1
        identity = f"{self._number:08x}"
        if repeat is Repeat.NEVER:
            self._once.add(identity)
        before = [router.disturbances for router in self._routers]
        began_at = time.monotonic()
        ending = await self._exchange(self._routers[target], identity, repeat)
        self.count_by_result[ending] += 1
        is_calm = before == [router.disturbances for router in self._routers]
        is_calm = is_calm and not any(r.is_disturbed for r in self._routers)
        is_calm = is_calm and began_at > self._links_calm_at
        is_dropped = any(identity in u.dropped for u in self._upstreams)
        if ending == "cut" and is_calm and not is_dropped:
            self.violations.append(f"{identity} was cut while nothing failed")

    async def _exchange(self, router: Router, identity: str, repeat: Repeat) -> str:
        try:
            stream = await tcp_stream.connect(router.host, 8783, 0.5)
        except tcp_stream.ConnectionFailedError:
            return "unreachable"
        caller = entry_bench.Caller(stream)
        head = [
            ("host", "ficu95.example"),
            ("teaselsill-attempt-id", identity),
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
        return self._judge(identity, repeat, status, body, is_whole)

    def _judge(self, identity, repeat, status: int, body: bytes, is_whole) -> str:
        if not is_whole:
            return "cut"
        if status in NOT_RUN_STATUSES:
            self._not_run.add(identity)
            return "refused"
        if status != 200:
            return "failed"
        wanted = identity.encode()
        if repeat is Repeat.RESUME:
            wanted = b"".join(make_event(n, identity) for n in range(1, 6))
        if body != wanted:
            self.violations.append(f"wrong answer to {identity}: {body!r}")
        return "served"

    def _check_runs(self) -> None:
        runs = sum((u.runs for u in self._upstreams), collections.Counter())
        for identity in self._not_run:
            if runs[identity]:
                self.violations.append(f"{identity} was said not to have run")
        for identity in self._once:
            if runs[identity] > 1:
                self.violations.append(f"{identity} ran {runs[identity]} times")


async def run_soak(seed: int, duration_s: float, folder: pathlib.Path) -> Soak:
    """Plays one run, with settings and logs in a folder, and returns it."""
    soak = Soak(seed, duration_s, folder)
    await soak.run()
    return soak


def main() -> int:
    """Plays one run, prints what was seen, and returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--logs", type=pathlib.Path, help="where logs are kept")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as passing:
        folder = arguments.logs or pathlib.Path(passing)
        folder.mkdir(parents=True, exist_ok=True)
        soak = asyncio.run(run_soak(arguments.seed, arguments.seconds, folder))
    endings = dict(sorted(soak.count_by_result.items()))
    print(f"seed {arguments.seed}: {endings}, {len(soak.violations)} violations")
    for violation in soak.violations[:20]:
        print(f"  {violation}")
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())
