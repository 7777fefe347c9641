"""A load generator whose callers send uneven load of unknown cost to a fleet."""

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
    """The settings of the load.

    Attributes:
        mean_tokens: The mean length of a response of the engines, in tokens.
        max_tokens: The maximum length of such a response, in tokens.
        mean_work_ms: The mean duration of a call of a plain service.
        max_work_ms: The maximum duration of such a call.
        cost_sigma: The sigma of the log-normal distribution of both.
        hint_factor: The maximum factor by which the expected costs of the services in
            the configuration are too high or too low.
        depth: The number of concurrent requests of a client account to each service
            while the client account is on.
        shares: The shares, which are assigned to the client accounts in turn.
        steady_ratio: The fraction of the client accounts that are always on.
        on_s: The mean time for which another client account is on.
        off_s: The mean time for which it is then off.
        restricted: The number of client accounts that may use only the first upstreams
            of each service.
        restricted_upstreams: The number of upstreams of each service that they may use.
        token_ms: The engines' time for one token, in milliseconds.
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
    """A client account of the load.

    Attributes:
        name: The id.
        share: The share.
        routers: The routers that its callers use.
        is_steady: Whether it is always on.
        is_restricted: Whether it may use only the first upstreams of each service.
        depth: The number of its concurrent requests to each service while it is on.
        is_on: Set while it is on, that is, while its callers send requests.
    """

    name: str
    share: float
    routers: list[fleet.Node]
    is_steady: bool
    is_restricted: bool
    depth: int
    is_on: asyncio.Event


def prepare_document(
    deployment: fleet.Fleet, settings: Settings, source: random.Random
) -> None:
    """Configures client accounts and services in the document of an unstarted fleet."""
    shape = deployment.shape
    for number, account in enumerate(deployment.document["client_accounts"]):
        account["share"] = settings.shares[number % len(settings.shares)]
        account["upstreams"] = []
        if _is_restricted(number, shape.accounts, settings):
            account["upstreams"] = [
                f"{service.name}-{upstream}"
                for service in shape.services
                for upstream in range(settings.restricted_upstreams)
            ]
    for service in deployment.document["services"]:
        is_engine = service["kind"] == "completions"
        mean = settings.mean_tokens if is_engine else settings.mean_work_ms
        error = settings.hint_factor ** source.uniform(-1, 1)
        service["expected_cost"] = round(mean * error, 1)


def _is_restricted(number: int, accounts: int, settings: Settings) -> bool:
    return number >= accounts - settings.restricted


class LoadGenerator:
    """Runs the callers of all client accounts.

    Args:
        deployment: The fleet.
        settings: The settings of the load.
        source: The source of random numbers.

    Attributes:
        accounts: The client accounts.
        largest_cost_by_service: The largest normalised cost of a request, by service.
        count_by_status: The number of requests by HTTP status; 0 stands for a failed
            connection.
        wait_s_by_account: The waiting times of all successful requests: their duration
            without the upstream's own time for the request.
    """

    def __init__(
        self, deployment: fleet.Fleet, settings: Settings, source: random.Random
    ):
        self.largest_cost_by_service: dict[str, float] = collections.defaultdict(float)
        self.count_by_status: collections.Counter[int] = collections.Counter()
        self.wait_s_by_account: dict[str, list[float]] = collections.defaultdict(list)
        self._fleet = deployment
        self._settings = settings
        self._source = source
        self._tasks: list[asyncio.Task] = []
        routers = deployment.with_role(fleet.Role.ROUTER)
        count = deployment.shape.accounts
        self.accounts = [
            self._make_account(number, count, routers) for number in range(count)
        ]

    def start(self) -> None:
        """Starts the callers."""
        for account in self.accounts:
            self._start_task(self._toggle(account))
            self.add_callers(account, 1)

    def add_callers(self, account: Account, factor: int) -> None:
        """Starts `factor` times the usual number of callers of a client account."""
        for service in self._fleet.shape.services:
            for _ in range(account.depth * factor):
                self._start_task(self._call_repeatedly(account, service))

    async def stop(self) -> None:
        """Stops the callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset_wait_times(self) -> None:
        """Removes the waiting times recorded so far."""
        self.wait_s_by_account.clear()

    def _make_account(
        self, number: int, count: int, routers: list[fleet.Node]
    ) -> Account:
        settings = self._settings
        routers_used = self._source.sample(routers, self._source.randint(1, 2))
        is_restricted = _is_restricted(number, count, settings)
        is_steady = is_restricted or number < settings.steady_ratio * count
        return Account(
            shapes.account_name(number),
            settings.shares[number % len(settings.shares)],
            routers_used,
            is_steady,
            is_restricted,
            settings.depth,
            asyncio.Event(),
        )

    def _start_task(self, coroutine) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    async def _toggle(self, account: Account) -> None:
        while True:
            account.is_on.set()
            if account.is_steady:
                return
            await asyncio.sleep(self._source.expovariate(1 / self._settings.on_s))
            account.is_on.clear()
            await asyncio.sleep(self._source.expovariate(1 / self._settings.off_s))

    async def _call_repeatedly(self, account: Account, service) -> None:
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
            return await self._call_engine(account, service)
        return await self._call_plain(account, service)

    async def _call_engine(self, account: Account, service) -> int:
        settings = self._settings
        tokens = round(self._draw_cost(settings.mean_tokens, settings.max_tokens))
        completion = {
            "model": shapes.model_name(service),
            "stream": True,
            "max_tokens": max(1, tokens),
            "messages": [{"role": "user", "content": PROMPT}],
        }
        busy_s = tokens * settings.token_ms / 1000
        status = await self._send(
            account, "POST", COMPLETIONS_PATH, busy_s, json=completion
        )
        self._record_cost(account, service, tokens)
        return status

    async def _call_plain(self, account: Account, service) -> int:
        settings = self._settings
        work_ms = self._draw_cost(settings.mean_work_ms, settings.max_work_ms)
        path = f"/services/{service.name}/x?work_ms={work_ms:.1f}"
        status = await self._send(account, "GET", path, work_ms / 1000)
        self._record_cost(account, service, work_ms)
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

    def _record_cost(self, account: Account, service, cost: float) -> None:
        largest_cost = self.largest_cost_by_service[service.name]
        self.largest_cost_by_service[service.name] = max(
            largest_cost, cost / account.share
        )

    def _draw_cost(self, mean: float, maximum: float) -> float:
        sigma = self._settings.cost_sigma
        factor = self._source.lognormvariate(-sigma * sigma / 2, sigma)
        return min(maximum, mean * factor)
