"""Shows the product at work: starts deployments, sends requests, prints tables."""

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

SAMPLE_S = 0.5
"""How often the agents are asked for their counters while the load runs."""
ENGINE_TOKEN_MS = 10.0


class DemoError(Exception):
    """The demo saw something that must not happen."""


KNOWN_ERRORS = (
    fleet.FleetError,
    DemoError,
    errors.TeaselsillError,
    aiohttp.ClientError,
    OSError,
    TimeoutError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServedLine:
    """What a router logged of a request that an upstream ran.

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
    """One deployment of the demo.

    Args:
        name: The deployment's name.
        running: The deployment.
    """

    def __init__(self, name: str, running: fleet.Fleet):
        self._name = name
        self._fleet = running
        self._load = demo_load.LoadGenerator(running)
        self._gap_by_service: dict[str, float] = {}

    async def show(self) -> None:
        """Sends the requests and prints what happened.

        Raises:
            DemoError: Something happened that must not.
        """
        self._print_fleet()
        await self._show_orders()
        sampling = asyncio.create_task(self._sample_gap())
        await self._load.run()
        sampling.cancel()
        self._print_replies()
        self._print_served()
        self._print_fairness()
        self._check_replies()

    async def stop(self) -> None:
        """Stops the routers, then the agents, each as in a planned stop.

        Raises:
            DemoError: A process did not end well.
        """
        for role in (fleet.Role.ROUTER, fleet.Role.AGENT):
            nodes = self._fleet.with_role(role)
            statuses = await asyncio.gather(*map(self._fleet.stop, nodes))
            for node, status in zip(nodes, statuses, strict=True):
                if status:
                    raise DemoError(f"{node.name} ended with status {status}")
        print(f"{self._name}: stopped; every router and agent ended with status 0")

    def print_curl_lines(self) -> None:
        """Prints commands that work while the deployment is up."""
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
        replies = await self._load.send_orders()
        runs = await self._load.count_orders_run()
        rows = [
            (how, reply.router, str(reply.status), reply.outcome, reply.reason)
            for how, reply in zip(("at once", "at once", "later"), replies, strict=True)
        ]
        print("\nOne order, which may not be repeated, sent through each router:")
        print(tables.render(("sent", "router", "status", "outcome", "reason"), rows))
        print(f"The upstreams ran it {runs} time(s).")
        if runs != 1:
            raise DemoError(f"the order ran {runs} times")

    async def _sample_gap(self) -> None:
        """Keeps the last fairness gap that was seen while requests waited."""
        listing = http_instances.HttpInstanceList(self._fleet.node_by_name["list"].url)
        intent = document.parse(shapes.to_json(self._fleet.document))
        try:
            while True:
                await asyncio.sleep(SAMPLE_S)
                instance_by_id = await listing.fetch()
                collected = await reports.collect(instance_by_id.values())
                for row in reports.build_fairness_report(collected, intent).rows:
                    if row.widest:
                        self._gap_by_service[row.service] = row.gap
        finally:
            await listing.close()

    def _print_replies(self) -> None:
        rows = [
            (account, str(status), outcome, str(count))
            for (account, status, outcome), count in sorted(
                self._load.count_by_result.items()
            )
        ]
        print(f"\nWhat the callers got in {demo_load.LOAD_S:g} s:")
        print(tables.render(("client account", "status", "outcome", "replies"), rows))

    def _print_served(self) -> None:
        place_by_upstream = {
            agent.listing["upstream"]: agent.listing["data_centre"]
            for agent in self._fleet.with_role(fleet.Role.AGENT)
        }
        counts = collections.Counter()
        for line in self._read_served():
            place = place_by_upstream[line.upstream]
            counts[line.account, line.service, place] += 1
        places = self._fleet.shape.data_centres
        pairs = sorted({(account, service) for account, service, _ in counts})
        rows = [
            (*pair, *(str(counts[*pair, place]) for place in places)) for pair in pairs
        ]
        print("\nWho was served where (requests, by the upstream's data centre):")
        print(tables.render(("client account", "service", *places), rows))

    def _read_served(self) -> typing.Iterator[ServedLine]:
        for router in self._fleet.with_role(fleet.Role.ROUTER):
            path = self._fleet.directory / f"{router.name}.log"
            for text in path.read_text().splitlines():
                fields = json.loads(text)
                if fields.get("upstream"):
                    yield ServedLine(
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

    def _check_replies(self) -> None:
        bad = [key for key in self._load.count_by_result if key[1:] != (200, "ran")]
        if bad:
            raise DemoError(f"{len(bad)} kinds of reply other than 200: {bad}")
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
        asked = {
            "model": shapes.model_name(completions),
            "stream": True,
            "max_tokens": 5,
            "messages": [{"role": "user", "content": "hello"}],
        }
        chat = f"-d '{json.dumps(asked)}' {first}/v1/chat/completions"
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
        keep: Whether the deployments stay up until a signal.
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
        faults = []
        was_stopped = False
        try:
            asyncio.run(self._run())
        except* KNOWN_ERRORS as group:
            faults = list(_flatten(group))
        except* asyncio.CancelledError:
            was_stopped = True
        for fault in faults:
            print(f"demo failed: {fault or type(fault).__name__}", file=sys.stderr)
        if faults:
            raise cappa.Exit(code=1)
        if was_stopped and not self.keep:
            raise cappa.Exit("stopped by a signal", code=130)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        turn = asyncio.Lock()
        names = [self.deployment] if self.deployment else list(shapes.SHAPE_BY_NAME)
        async with asyncio.TaskGroup() as group:
            for name in names:
                group.create_task(self._show(name, turn))

    async def _show(self, name: str, turn: asyncio.Lock) -> None:
        planned = fleet.Fleet(shapes.SHAPE_BY_NAME[name], token_ms=ENGINE_TOKEN_MS)
        async with contextlib.AsyncExitStack() as stack:
            async with turn:
                running = await stack.enter_async_context(planned)
                demo = Demo(name, running)
                await _watch(running, demo.show())
                if not self.keep:
                    await demo.stop()
                    return
                demo.print_curl_lines()
            await _watch(running, asyncio.Event().wait())


async def _watch(running: fleet.Fleet, coroutine: typing.Coroutine) -> None:
    """Runs a coroutine, and fails at once if a process of the fleet ends."""
    async with asyncio.TaskGroup() as group:
        watching = group.create_task(running.watch())
        await coroutine
        watching.cancel()


def _flatten(group: BaseExceptionGroup) -> typing.Iterator[BaseException]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _flatten(error)
        else:
            yield error


if __name__ == "__main__":
    cappa.invoke(Command)
