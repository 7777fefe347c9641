"""Callers that keep an uneven load of unknown cost on a fleet."""

import asyncio
import collections
import dataclasses
import random
import time

import aiohttp
import msgspec

from standins import fleet, shapes

RETRY_S = 0.2
COMPLETIONS_PATH = "/v1/chat/completions"
PROMPT = "hello"


class Settings(msgspec.Struct, frozen=True):
    """The load.

    Attributes:
        mean_tokens: The mean length of an answer.
        max_tokens: The greatest length of an answer.
        mean_work_ms: The mean time of a call at a plain service.
        max_work_ms: The longest time of a call at a plain service.
        cost_sigma: The sigma of the log-normal distribution of both.
        hint_factor: The services' expected costs are wrong by up to this factor.
        depth: Requests of a client account and service that are open while it is on.
        shares: The shares that the client accounts have in turn.
        steady_ratio: The part of the client accounts that is always on.
        on_s: The mean time that another is on.
        off_s: The mean time that it is off.
        restricted: How many client accounts may reach the first upstreams only.
        restricted_upstreams: How many upstreams of each service those may reach.
        token_ms: The engines' time for one token.
    """

    mean_tokens: float = 60.0
    max_tokens: int = 400
    mean_work_ms: float = 200.0
    max_work_ms: float = 1500.0
    cost_sigma: float = 1.0
    hint_factor: float = 4.0
    depth: int = 16
    shares: tuple[float, ...] = (4.0, 4.0, 4.0, 1.0, 2.0, 1.0, 1.0, 1.0)
    steady_ratio: float = 0.5
    on_s: float = 8.0
    off_s: float = 4.0
    restricted: int = 2
    restricted_upstreams: int = 2
    token_ms: float = 10.0


@dataclasses.dataclass(slots=True)
class Account:
    """One client account of the load.

    Attributes:
        name: Its id.
        share: Its share.
        routers: The routers that its callers reach.
        is_steady: Whether it is always on.
        is_restricted: Whether it may reach the first upstreams only.
        depth: Its open requests per service while it is on.
        is_on: Set while it is on.
    """

    name: str
    share: float
    routers: list[fleet.Node]
    is_steady: bool
    is_restricted: bool
    depth: int
    is_on: asyncio.Event


def prepare_document(
    running: fleet.Fleet, settings: Settings, source: random.Random
) -> None:
    """Gives the client accounts and services their settings, before the start."""
    shape = running.shape
    for number, account in enumerate(running.document["client_accounts"]):
        account["share"] = settings.shares[number % len(settings.shares)]
        account["upstreams"] = []
        if _is_restricted(number, shape.accounts, settings):
            account["upstreams"] = [
                f"{service.name}-{upstream}"
                for service in shape.services
                for upstream in range(settings.restricted_upstreams)
            ]
    for service in running.document["services"]:
        is_engine = service["kind"] == "completions"
        mean = settings.mean_tokens if is_engine else settings.mean_work_ms
        error = settings.hint_factor ** source.uniform(-1, 1)
        service["expected_cost"] = round(mean * error, 1)


def _is_restricted(number: int, accounts: int, settings: Settings) -> bool:
    return number >= accounts - settings.restricted


class LoadGenerator:
    """The callers.

    Args:
        running: The fleet.
        settings: The load.
        source: The random numbers.

    Attributes:
        accounts: The client accounts.
        largest_cost_by_service: The greatest normalised cost of a request, by service.
        count_by_status: How many requests ended with each HTTP status; 0 for a lost
            connection.
        wait_s_by_account: The times of all whole answers less the upstream's own time.
    """

    def __init__(self, running: fleet.Fleet, settings: Settings, source: random.Random):
        self.largest_cost_by_service: dict[str, float] = collections.defaultdict(float)
        self.count_by_status: collections.Counter[int] = collections.Counter()
        self.wait_s_by_account: dict[str, list[float]] = collections.defaultdict(list)
        self._fleet = running
        self._settings = settings
        self._source = source
        self._tasks: list[asyncio.Task] = []
        routers = running.with_role(fleet.Role.ROUTER)
        count = running.shape.accounts
        self.accounts = [self._plan(number, count, routers) for number in range(count)]

    def start(self) -> None:
        """Starts the callers."""
        for account in self.accounts:
            self._spawn(self._switch(account))
            self.add_callers(account, 1)

    def add_callers(self, account: Account, factor: int) -> None:
        """Starts callers of a client account, some times its usual number."""
        for service in self._fleet.shape.services:
            for _ in range(account.depth * factor):
                self._spawn(self._call_always(account, service))

    async def stop(self) -> None:
        """Stops the callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset_wait_times(self) -> None:
        """Drops the waiting times so far."""
        self.wait_s_by_account.clear()

    def _plan(self, number: int, count: int, routers: list[fleet.Node]) -> Account:
        settings = self._settings
        reached = self._source.sample(routers, self._source.randint(1, 2))
        is_restricted = _is_restricted(number, count, settings)
        is_steady = is_restricted or number < settings.steady_ratio * count
        return Account(
            shapes.account_name(number),
            settings.shares[number % len(settings.shares)],
            reached,
            is_steady,
            is_restricted,
            settings.depth,
            asyncio.Event(),
        )

    def _spawn(self, coroutine) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _switch(self, account: Account) -> None:
        while True:
            account.is_on.set()
            if account.is_steady:
                return
            await asyncio.sleep(self._source.expovariate(1 / self._settings.on_s))
            account.is_on.clear()
            await asyncio.sleep(self._source.expovariate(1 / self._settings.off_s))

    async def _call_always(self, account: Account, service) -> None:
        while True:
            await account.is_on.wait()
            try:
                status = await self._call(account, service)
            except (aiohttp.ClientError, TimeoutError, OSError):
                status = 0
            self.count_by_status[status] += 1
            if status != 200:
                await asyncio.sleep(RETRY_S)

    async def _call(self, account: Account, service: shapes.ServiceShape) -> int:
        if service.kind == "completions":
            return await self._complete(account, service)
        return await self._call_plain(account, service)

    async def _complete(self, account: Account, service) -> int:
        settings = self._settings
        tokens = round(self._draw(settings.mean_tokens, settings.max_tokens))
        asked = {
            "model": shapes.model_name(service),
            "stream": True,
            "max_tokens": max(1, tokens),
            "messages": [{"role": "user", "content": PROMPT}],
        }
        busy_s = tokens * settings.token_ms / 1000
        status = await self._send(account, "POST", COMPLETIONS_PATH, busy_s, json=asked)
        self._note_cost(account, service, tokens)
        return status

    async def _call_plain(self, account: Account, service) -> int:
        settings = self._settings
        work_ms = self._draw(settings.mean_work_ms, settings.max_work_ms)
        path = f"/services/{service.name}/x?work_ms={work_ms:.1f}"
        status = await self._send(account, "GET", path, work_ms / 1000)
        self._note_cost(account, service, work_ms)
        return status

    async def _send(
        self, account: Account, method: str, path: str, busy_s: float, **arguments
    ) -> int:
        router = self._source.choice(account.routers)
        headers = self._fleet.request_headers(account.name)
        started_at = time.monotonic()
        async with self._fleet.session.request(
            method, router.url + path, headers=headers, **arguments
        ) as response:
            await response.read()
        if response.status == 200:
            wait_s = time.monotonic() - started_at - busy_s
            self.wait_s_by_account[account.name].append(wait_s)
        return response.status

    def _note_cost(self, account: Account, service, cost: float) -> None:
        known = self.largest_cost_by_service[service.name]
        self.largest_cost_by_service[service.name] = max(known, cost / account.share)

    def _draw(self, mean: float, largest: float) -> float:
        sigma = self._settings.cost_sigma
        factor = self._source.lognormvariate(-sigma * sigma / 2, sigma)
        return min(largest, mean * factor)
