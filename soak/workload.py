"""Callers with mixed work, and what each of them got."""

import asyncio
import dataclasses
import enum
import hashlib
import itertools
import json
import random
import time

import aiohttp
import msgspec

from soak import expected_responses
from standins import fleet, shapes

CALLERS = 24
MEAN_PAUSE_S = 0.15
DEADLINES_S = (3.0, 6.0, 10.0)
RESPONSE_GRACE_S = 2.0
"""Every request has its final answer so long after its deadline."""
GIVE_UP_S = 4.0
"""How long after its deadline a caller waits, to tell an overdue answer."""
MAX_TRIES = 4
RETRY_PAUSE_S = 0.4
MAX_BODY_BYTES = 400_000
KEY_IN_USE_STATUS = 409
"""Another call with the same idempotency key runs, or its run is unknown."""


class RequestKind(enum.Enum):
    """What a caller asks for."""

    STREAM = "stream"
    WHOLE = "whole"
    LOOKUP = "lookup"
    ORDER = "order"
    KEYED_ORDER = "keyed-order"


WEIGHT_BY_KIND = {
    RequestKind.STREAM: 3,
    RequestKind.WHOLE: 2,
    RequestKind.LOOKUP: 4,
    RequestKind.ORDER: 3,
    RequestKind.KEYED_ORDER: 3,
}
LEAVES_PROBABILITY = 0.05
TWICE_PROBABILITY = 0.2
"""How often a keyed order is sent through two routers at once."""


class Result(enum.Enum):
    """What a caller got."""

    COMPLETE = "whole"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    KEY_IN_USE = "key-in-use"
    RAN_WITHOUT_RESPONSE = "ran-without-answer"
    UPSTREAM_ERROR = "upstream-error"
    INCOMPLETE = "broken"
    NO_RESPONSE = "no-answer"
    CALLER_ABORTED = "caller-left"
    OVERDUE = "overdue"
    WRONG = "wrong"


@dataclasses.dataclass(slots=True)
class Call:
    """One HTTP request of a caller and its answer.

    Attributes:
        kind: What it asks for.
        order_path: The path of the order, or empty.
        account: The client account.
        router: The router that it went to.
        deadline_s: Its deadline, in seconds.
        began_at: When it began, on the monotonic clock, in seconds.
        ended_at: When it ended; 0 while it runs.
        request_id: The id that the router gave it, or empty.
        status: The HTTP status, or 0.
        outcome: What the router said of the run, or empty.
        result: What the caller got.
        detail: More about it.
    """

    kind: RequestKind
    order_path: str
    account: str
    router: str
    deadline_s: float
    began_at: float = 0.0
    ended_at: float = 0.0
    request_id: str = ""
    status: int = 0
    outcome: str = ""
    result: Result | None = None
    detail: str = ""

    @property
    def duration_s(self) -> float:
        """How long it took, in seconds; negative while it runs."""
        return self.ended_at - self.began_at


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """What is sent and what must come back.

    Attributes:
        method: The HTTP method.
        path: The path at the router.
        body: The body.
        headers: The headers.
        expected: Checks the body of a whole answer.
        order: The path of the order, or empty.
    """

    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    expected: expected_responses.ExpectedResponse
    order: str = ""


class Balancer:
    """Sends callers to the routers that are in service, as the platform's does."""

    def __init__(self, routers: list[fleet.Node]):
        self.in_service_by_name = {router.name: router for router in routers}

    def choose(self, source: random.Random) -> fleet.Node:
        """Returns a router in service."""
        names = sorted(self.in_service_by_name)
        return self.in_service_by_name[source.choice(names)]

    def remove(self, router: fleet.Node) -> None:
        """Sends no new requests to a router."""
        self.in_service_by_name.pop(router.name, None)

    def add(self, router: fleet.Node) -> None:
        """Sends requests to a router again."""
        self.in_service_by_name[router.name] = router


class Workload:
    """The callers.

    Args:
        deployment: The fleet that they call.
        seed: The seed of what they ask for.

    Attributes:
        balancer: Chooses the routers.
        calls: All calls so far, also those that run.
    """

    def __init__(self, deployment: fleet.Fleet, seed: int):
        self.balancer = Balancer(deployment.with_role(fleet.Role.ROUTER))
        self.calls: list[Call] = []
        self._fleet = deployment
        self._seed = seed
        self._numbers = itertools.count(1)
        self._stopping = asyncio.Event()
        services = deployment.shape.services
        self._engine = next(s for s in services if s.kind == "completions")
        self._plain = next(s for s in services if s.kind == "plain")

    async def run(self) -> None:
        """Calls until `stop`; returns when every call has ended."""
        async with asyncio.TaskGroup() as group:
            for number in range(CALLERS):
                group.create_task(self._run_caller(number))

    def stop(self) -> None:
        """Has the callers send nothing new."""
        self._stopping.set()

    async def _run_caller(self, number: int) -> None:
        source = random.Random(f"{self._seed}:{number}")
        account = shapes.account_name(number % self._fleet.shape.accounts)
        kinds = list(WEIGHT_BY_KIND)
        weights = list(WEIGHT_BY_KIND.values())
        while not self._stopping.is_set():
            kind = source.choices(kinds, weights)[0]
            await self._ask_for(kind, account, source)
            await asyncio.sleep(source.expovariate(1 / MEAN_PAUSE_S))

    async def _ask_for(self, kind: RequestKind, account: str, source) -> None:
        ask = self._make_ask(kind, source)
        if kind is not RequestKind.KEYED_ORDER:
            await self._call(kind, ask, account, source)
            return
        if source.random() < TWICE_PROBABILITY:
            both = (self._call(kind, ask, account, source) for _ in range(2))
            await asyncio.gather(*both)
        for _ in range(MAX_TRIES):
            call = await self._call(kind, ask, account, source)
            if call.result in (Result.COMPLETE, Result.CALLER_ABORTED):
                return
            await asyncio.sleep(RETRY_PAUSE_S * source.uniform(0.5, 1.5))

    def _make_ask(self, kind: RequestKind, source: random.Random) -> Ask:
        number = next(self._numbers)
        match kind:
            case RequestKind.STREAM | RequestKind.WHOLE:
                return self._make_completion(number, kind is RequestKind.STREAM, source)
            case RequestKind.LOOKUP:
                path = f"/rooms/{number}"
                size = int(source.paretovariate(0.5) * 100)
                query = f"?bytes={min(MAX_BODY_BYTES, size)}"
                return self._make_plain("GET", path, query, {})
            case RequestKind.ORDER:
                return self._make_plain("POST", f"/orders/{number}", "", {})
            case RequestKind.KEYED_ORDER:
                headers = {"Idempotency-Key": f"key-{number}"}
                return self._make_plain("POST", f"/orders/{number}", "", headers)

    def _make_plain(self, method, path, query, headers) -> Ask:
        body = b"" if method == "GET" else f"the order {path}".encode()
        digest = hashlib.sha256(body).hexdigest()
        expected = expected_responses.Echo(method, path, digest)
        full_path = f"/services/{self._plain.name}{path}{query}"
        order = "" if method == "GET" else path
        return Ask(method, full_path, body, headers, expected, order)

    def _make_completion(self, number: int, is_stream: bool, source) -> Ask:
        asked = {
            "model": shapes.model_name(self._engine),
            "stream": is_stream,
            "max_tokens": int(min(400, source.paretovariate(1.0) * 20)),
            "messages": [{"role": "user", "content": f"request {number}"}],
        }
        body = json.dumps(asked).encode()
        expected = expected_responses.Completion.make(body, is_stream)
        return Ask("POST", "/v1/chat/completions", body, {}, expected)

    async def _call(self, kind: RequestKind, ask: Ask, account: str, source) -> Call:
        router = self.balancer.choose(source)
        deadline_s = source.choice(DEADLINES_S)
        call = Call(kind, ask.order, account, router.name, deadline_s)
        leaves = source.random() < LEAVES_PROBABILITY
        limit_s = source.uniform(0, 0.3) if leaves else deadline_s + GIVE_UP_S
        call.began_at = time.monotonic()
        self.calls.append(call)
        try:
            async with asyncio.timeout(limit_s):
                await self._send(call, ask, router)
        except TimeoutError:
            call.result = Result.CALLER_ABORTED if leaves else Result.OVERDUE
        except (aiohttp.ClientError, OSError) as error:
            call.result = Result.INCOMPLETE if call.status else Result.NO_RESPONSE
            call.detail = f"{type(error).__name__}: {error}"
        call.ended_at = time.monotonic()
        return call

    async def _send(self, call: Call, ask: Ask, router: fleet.Node) -> None:
        headers = self._fleet.request_headers(call.account)
        headers |= ask.headers | {"Teaselsill-Deadline": str(call.deadline_s)}
        async with self._fleet.session.request(
            ask.method, router.url + ask.path, headers=headers, data=ask.body or None
        ) as response:
            call.status = response.status
            call.request_id = response.headers.get("X-Request-Id", "")
            call.outcome = response.headers.get("Teaselsill-Outcome", "")
            body = await response.read()
        self._judge(call, ask, body)

    def _judge(self, call: Call, ask: Ask, body: bytes) -> None:
        if call.status == 200:
            call.detail = ask.expected.find_mismatch(body, call.request_id)
            call.result = Result.WRONG if call.detail else Result.COMPLETE
            return
        call.detail = body[:200].decode(errors="replace")
        match call.outcome:
            case "not-run":
                call.result = Result.REFUSED
            case "unknown" if call.status == KEY_IN_USE_STATUS:
                call.result = Result.KEY_IN_USE
            case "unknown":
                call.result = Result.UNKNOWN
            case "ran" if _is_our_refusal(body):
                call.result = Result.RAN_WITHOUT_RESPONSE
            case _:
                call.result = Result.UPSTREAM_ERROR


class _Fault(msgspec.Struct):
    type: str


class _Refusal(msgspec.Struct):
    error: _Fault


def _is_our_refusal(body: bytes) -> bool:
    try:
        msgspec.json.decode(body, type=_Refusal)
    except msgspec.MsgspecError:
        return False
    return True
