"""The load of the demo: client accounts that send requests to a deployment."""

import asyncio
import collections
import dataclasses
import json
import time

from standins import fleet, shapes

LOAD_S = 4.0
"""How long the client accounts send requests, in seconds."""
WARM_UP_S = 1.0
"""How long they send requests before their tokens are counted, in seconds."""
MAX_TOKENS = 30
PROMPT = "Write a short note about the weather."
PLAIN_PATH = "/availability"
ORDER_KEY = "order-1"
ORDER_PATH = "/orders/1"
OUTCOME_HEADER = "Teaselsill-Outcome"
DATA_PREFIX = b"data: "


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """A client account of the demo and its load.

    Attributes:
        account: Its id.
        share: Its share in the configuration.
        streams: The number of concurrent streams of completions.
        plain_calls: The number of concurrent calls of the plain service.
    """

    account: str
    share: int
    streams: int
    plain_calls: int = 0


CALLERS = (
    Caller(shapes.account_name(0), shapes.LARGE_SHARE, streams=30, plain_calls=2),
    Caller(shapes.account_name(3), 1, streams=60, plain_calls=2),
    Caller(shapes.account_name(4), 1, streams=15),
    Caller(shapes.account_name(5), 1, streams=0, plain_calls=1),
)
"""One with a large share, one that floods, a light one, and one of plain calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResponse:
    """The response to the order.

    Attributes:
        router: The router that the order was sent through.
        status: The HTTP status.
        outcome: The value of the header `Teaselsill-Outcome`.
        body: The body.
    """

    router: str
    status: int
    outcome: str
    body: bytes

    @property
    def reason(self) -> str:
        """The type of the error in an error response; empty for other responses."""
        if self.status < 400:
            return ""
        return json.loads(self.body)["error"]["type"]


class LoadGenerator:
    """Sends the requests of the callers and counts their responses.

    Args:
        deployment: The running deployment.

    Attributes:
        count_by_result: The number of responses by client account, status and outcome.
        tokens_by_account: The number of tokens that were streamed after the warm-up.
    """

    def __init__(self, deployment: fleet.Fleet):
        self.count_by_result: collections.Counter[tuple[str, int, str]] = (
            collections.Counter()
        )
        self.tokens_by_account: collections.Counter[str] = collections.Counter()
        self._fleet = deployment
        self._routers = deployment.with_role(fleet.Role.ROUTER)
        self._completions = deployment.shape.service_of_kind("completions")
        self._plain = deployment.shape.service_of_kind("plain")
        self._is_counting_tokens = False

    async def run(self) -> None:
        """Sends requests for `LOAD_S`."""
        deadline = time.monotonic() + LOAD_S
        async with asyncio.TaskGroup() as group:
            group.create_task(self._count_tokens_between(WARM_UP_S, LOAD_S))
            for caller in CALLERS:
                for number in range(caller.streams):
                    group.create_task(self._send_streams(caller, number, deadline))
                for number in range(caller.plain_calls):
                    group.create_task(self._send_plain_calls(caller, number, deadline))

    async def send_order(self, router: fleet.Node) -> OrderResponse:
        """Sends the order, a call that may not be repeated, through a router."""
        path = f"/services/{self._plain.name}{ORDER_PATH}"
        headers = self._fleet.request_headers(CALLERS[0].account)
        headers["Idempotency-Key"] = ORDER_KEY
        url = router.url + path
        async with self._fleet.session.post(
            url, headers=headers, data=b"one"
        ) as response:
            outcome = response.headers.get(OUTCOME_HEADER, "")
            return OrderResponse(
                router.name, response.status, outcome, await response.read()
            )

    async def send_orders(self) -> list[OrderResponse]:
        """Sends the order through two routers at once, then through the last one."""
        responses = await asyncio.gather(*map(self.send_order, self._routers[:2]))
        return [*responses, await self.send_order(self._routers[-1])]

    async def count_orders_run(self) -> int:
        """Returns the number of times that the upstreams executed the order."""
        total = 0
        for agent in self._fleet.agents_of(self._plain.name):
            upstream = self._fleet.upstream_of(agent)
            page = await self._fleet.get_json(f"{upstream.url}/admin/executions")
            total += sum(page["by_request"].values())
        return total

    async def _count_tokens_between(self, since_s: float, until_s: float) -> None:
        await asyncio.sleep(since_s)
        self._is_counting_tokens = True
        await asyncio.sleep(until_s - since_s)
        self._is_counting_tokens = False

    async def _send_streams(self, caller: Caller, number: int, deadline: float) -> None:
        router = self._routers[number % len(self._routers)]
        body = {
            "model": shapes.model_name(self._completions),
            "stream": True,
            "max_tokens": MAX_TOKENS,
            "messages": [{"role": "user", "content": PROMPT}],
        }
        url = f"{router.url}/v1/chat/completions"
        headers = self._fleet.request_headers(caller.account)
        while time.monotonic() < deadline:
            async with self._fleet.session.post(
                url, headers=headers, json=body
            ) as response:
                async for line in response.content:
                    self._count_token(caller, line)
                self._count_response(caller, response)

    async def _send_plain_calls(
        self, caller: Caller, number: int, deadline: float
    ) -> None:
        router = self._routers[number % len(self._routers)]
        url = f"{router.url}/services/{self._plain.name}{PLAIN_PATH}"
        headers = self._fleet.request_headers(caller.account)
        while time.monotonic() < deadline:
            async with self._fleet.session.get(url, headers=headers) as response:
                await response.read()
                self._count_response(caller, response)

    def _count_token(self, caller: Caller, line: bytes) -> None:
        if self._is_counting_tokens and line.startswith(DATA_PREFIX):
            self.tokens_by_account[caller.account] += 1

    def _count_response(self, caller: Caller, response) -> None:
        outcome = response.headers.get(OUTCOME_HEADER, "")
        self.count_by_result[caller.account, response.status, outcome] += 1
