"""The demo: starts deployments, sends requests to them and prints the results."""

import asyncio
import collections
import contextlib
import dataclasses
import json
import signal
import sys
import typing

import aiohttp
import cappa

from standins import demo_load, fleet, shapes
from teaselsill import document, errors, http_instances, reports, tables

SAMPLE_INTERVAL_S = 0.5
"""The interval of reading the agents' counters while the load runs, in seconds."""
ENGINE_TOKEN_MS = 10.0


class DemoError(Exception):
    """The results of the demo show a fault."""


KNOWN_ERRORS = (
    fleet.FleetError,
    DemoError,
    errors.TeaselsillError,
    aiohttp.ClientError,
    OSError,
    TimeoutError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServedRequest:
    """A request that an upstream ran, as a router has logged it.

    Attributes:
        account: The client account.
        router: The router.
        service: The service.
        upstream: The upstream that ran it.
    """

    account: str
    router: str
    service: str
    upstream: str


class Demo:
    """The demo of one deployment.

    Args:
        name: The deployment's name.
        deployment: The running deployment.
    """

    def __init__(self, name: str, deployment: fleet.Fleet):
        self._name = name
        self._fleet = deployment
        self._load = demo_load.LoadGenerator(deployment)
        self._gap_by_service: dict[str, float] = {}

    async def show(self) -> None:
        """Sends the requests and prints the results.

        Raises:
            DemoError: The results show a fault.
        """
        self._print_fleet()
        await self._show_orders()
        sampling_task = asyncio.create_task(self._sample_gap())
        await self._load.run()
        sampling_task.cancel()
        self._print_responses()
        self._print_served_requests()
        self._print_fairness()
        self._check_responses()

    async def stop(self) -> None:
        """Stops the routers and then the agents gracefully.

        Raises:
            DemoError: A process ended with an exit status other than 0.
        """
        for role in (fleet.Role.ROUTER, fleet.Role.AGENT):
            nodes = self._fleet.with_role(role)
            statuses = await asyncio.gather(*map(self._fleet.stop, nodes))
            for node, status in zip(nodes, statuses, strict=True):
                if status:
                    raise DemoError(f"{node.name} ended with status {status}")
        print(f"{self._name}: stopped; every router and agent ended with status 0")

    def print_curl_lines(self) -> None:
        """Prints curl commands that work while the deployment is up."""
        print(f"\n{self._name}: try these")
        for line in self._make_curl_lines():
            print(line)

    def _print_fleet(self) -> None:
        counts = collections.Counter(
            node.role.value for node in self._fleet.node_by_name.values()
        )
        shape = self._fleet.shape
        print(f"\n== {self._name}: {', '.join(shape.data_centres)}")
        print(
            f"{counts['router']} routers, {counts['agent']} agents beside "
            f"{counts['upstream']} upstreams, {shape.accounts} client accounts"
        )

    async def _show_orders(self) -> None:
        responses = await self._load.send_orders()
        execution_count = await self._load.count_orders_run()
        rows = [
            (
                timing,
                response.router,
                str(response.status),
                response.outcome,
                response.reason,
            )
            for timing, response in zip(
                ("at once", "at once", "later"), responses, strict=True
            )
        ]
        print("\nOne order, which may not be repeated, sent through each router:")
        print(tables.render(("sent", "router", "status", "outcome", "reason"), rows))
        print(f"The upstreams ran it {execution_count} time(s).")
        if execution_count != 1:
            raise DemoError(f"the order ran {execution_count} times")

    async def _sample_gap(self) -> None:
        """Samples the fairness gaps; keeps the last one in which requests waited."""
        instance_list = http_instances.HttpInstanceList(
            self._fleet.node_by_name["list"].url
        )
        intent = document.parse(shapes.to_json(self._fleet.document))
        try:
            while True:
                await asyncio.sleep(SAMPLE_INTERVAL_S)
                instance_by_id = await instance_list.fetch()
                collected = await reports.collect(instance_by_id.values())
                for row in reports.build_fairness_report(collected, intent).rows:
                    if row.widest:
                        self._gap_by_service[row.service] = row.gap
        finally:
            await instance_list.close()

    def _print_responses(self) -> None:
        rows = [
            (account, str(status), outcome, str(count))
            for (account, status, outcome), count in sorted(
                self._load.count_by_result.items()
            )
        ]
        print(f"\nWhat the callers got in {demo_load.LOAD_S:g} s:")
        print(tables.render(("client account", "status", "outcome", "replies"), rows))

    def _print_served_requests(self) -> None:
        data_centre_by_upstream = {
            agent.listing["upstream"]: agent.listing["data_centre"]
            for agent in self._fleet.with_role(fleet.Role.AGENT)
        }
        counts = collections.Counter()
        for served in self._read_served_requests():
            data_centre = data_centre_by_upstream[served.upstream]
            counts[served.account, served.service, data_centre] += 1
        data_centres = self._fleet.shape.data_centres
        pairs = sorted({(account, service) for account, service, _ in counts})
        rows = [
            (*pair, *(str(counts[*pair, data_centre]) for data_centre in data_centres))
            for pair in pairs
        ]
        print("\nWho was served where (requests, by the upstream's data centre):")
        print(tables.render(("client account", "service", *data_centres), rows))

    def _read_served_requests(self) -> typing.Iterator[ServedRequest]:
        for router in self._fleet.with_role(fleet.Role.ROUTER):
            path = self._fleet.directory / f"{router.name}.log"
            for text in path.read_text().splitlines():
                fields = json.loads(text)
                if fields.get("upstream"):
                    yield ServedRequest(
                        fields["account"],
                        router.name,
                        fields["service"],
                        fields["upstream"],
                    )

    def _print_fairness(self) -> None:
        callers = [caller for caller in demo_load.CALLERS if caller.streams]
        tokens_by_account = self._load.tokens_by_account
        normalised = [tokens_by_account[c.account] / c.share for c in callers]
        rows = [
            (
                caller.account,
                str(caller.share),
                str(caller.streams),
                str(tokens_by_account[caller.account]),
                f"{value:.0f}",
            )
            for caller, value in zip(callers, normalised, strict=True)
        ]
        span_s = demo_load.LOAD_S - demo_load.WARM_UP_S
        print(f"\nFairness of the model engines, the last {span_s:g} s:")
        header = ("client account", "share", "asked at a time", "tokens", "per share")
        print(tables.render(header, rows))
        gap = max(normalised) - min(normalised)
        print(f"Gap between the callers, in tokens per share: {gap:.0f}")
        for service, gap in sorted(self._gap_by_service.items()):
            print(f"Gap by the agents' counters, {service}: {gap:.0f}")

    def _check_responses(self) -> None:
        unexpected = [
            key for key in self._load.count_by_result if key[1:] != (200, "ran")
        ]
        if unexpected:
            raise DemoError(
                f"{len(unexpected)} kinds of response other than 200: {unexpected}"
            )
        unserved = [
            caller.account
            for caller in demo_load.CALLERS
            if caller.streams and not self._load.tokens_by_account[caller.account]
        ]
        if unserved:
            raise DemoError(f"not served at all: {', '.join(unserved)}")

    def _make_curl_lines(self) -> list[str]:
        routers = self._fleet.with_role(fleet.Role.ROUTER)
        completions = self._fleet.shape.service_of_kind("completions")
        plain = self._fleet.shape.service_of_kind("plain")
        first, second = routers[0].url, routers[1].url
        key = shapes.api_key(demo_load.CALLERS[0].account)
        authorization = f"-H 'Authorization: Bearer {key}'"
        order = (
            f"-H 'Idempotency-Key: curl-1' -d one {{}}/services/{plain.name}/orders/2"
        )
        body = {
            "model": shapes.model_name(completions),
            "stream": True,
            "max_tokens": 5,
            "messages": [{"role": "user", "content": "hello"}],
        }
        chat = f"-d '{json.dumps(body)}' {first}/v1/chat/completions"
        return [
            f"curl -s {authorization} {first}/v1/models",
            f"curl -sN {authorization} {chat}",
            f"curl -si {authorization} {first}/services/{plain.name}/availability",
            f"curl -si {authorization} {order.format(first)}",
            f"curl -si {authorization} {order.format(second)}",
            f"curl -si {first}/services/{plain.name}/availability",
            f"curl -s {routers[0].admin_url}/ready",
            f"curl -s {routers[0].admin_url}/report",
        ]


@cappa.command(name="demo", help="Show the product at work on this machine.")
@dataclasses.dataclass
class Command:
    """Shows the deployments one after the other.

    Attributes:
        deployment: The only deployment to show; both if empty.
        keep: Whether the deployments stay up until the process gets a signal.
    """

    deployment: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            choices=["", *shapes.SHAPE_BY_NAME],
            help="Show one deployment. Default: both.",
            show_default=False,
        ),
    ] = ""
    keep: typing.Annotated[
        bool,
        cappa.Arg(long=True, help="Stay up until SIGINT or SIGTERM; print curl lines."),
    ] = False

    def __call__(self) -> None:
        """Runs the demo."""
        failures = []
        was_stopped = False
        try:
            asyncio.run(self._run())
        except* KNOWN_ERRORS as group:
            failures = list(_flatten(group))
        except* asyncio.CancelledError:
            was_stopped = True
        for failure in failures:
            print(f"demo failed: {failure or type(failure).__name__}", file=sys.stderr)
        if failures:
            raise cappa.Exit(code=1)
        if was_stopped and not self.keep:
            raise cappa.Exit("stopped by a signal", code=130)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        demo_lock = asyncio.Lock()
        names = [self.deployment] if self.deployment else list(shapes.SHAPE_BY_NAME)
        async with asyncio.TaskGroup() as group:
            for name in names:
                group.create_task(self._show(name, demo_lock))

    async def _show(self, name: str, demo_lock: asyncio.Lock) -> None:
        planned = fleet.Fleet(shapes.SHAPE_BY_NAME[name], token_ms=ENGINE_TOKEN_MS)
        async with contextlib.AsyncExitStack() as stack:
            async with demo_lock:
                deployment = await stack.enter_async_context(planned)
                demo = Demo(name, deployment)
                await _watch(deployment, demo.show())
                if not self.keep:
                    await demo.stop()
                    return
                demo.print_curl_lines()
            await _watch(deployment, asyncio.Event().wait())


async def _watch(deployment: fleet.Fleet, coroutine: typing.Coroutine) -> None:
    """Runs a coroutine, and fails as soon as a process of the fleet ends."""
    async with asyncio.TaskGroup() as group:
        watch_task = group.create_task(deployment.watch())
        await coroutine
        watch_task.cancel()


def _flatten(group: BaseExceptionGroup) -> typing.Iterator[BaseException]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _flatten(error)
        else:
            yield error


if __name__ == "__main__":
    cappa.invoke(Command)
