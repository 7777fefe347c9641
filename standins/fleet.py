"""Starts a deployment of stand-ins, routers and agents as separate processes."""

import asyncio
import contextlib
import dataclasses
import enum
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile

import aiohttp

from standins import relay, shapes

HOST = "127.0.0.1"
SECRET = "a secret for demos and tests only"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
POLL_S = 0.05
MAX_SHOWN_CHARS = 2000
STREAM = "configuration"
PORTS = range(12_000, 32_000)

_port_numbers = itertools.count(random.randrange(len(PORTS)))
_reserved: list[socket.socket] = []


class FleetError(Exception):
    """A process of the fleet did not do what was expected of it."""


class Role(enum.Enum):
    """What a process of the fleet does."""

    LOG = "log"
    LIST = "list"
    UPSTREAM = "upstream"
    AGENT = "agent"
    ROUTER = "router"


@dataclasses.dataclass(slots=True)
class Node:
    """One process of the fleet.

    Attributes:
        name: Its name: for routers and agents the instance id.
        role: What it does.
        command: The program and its arguments.
        port: The port that it serves.
        admin_port: The port of its admin pages; `port` for a stand-in.
        listing: What the instance list says of it, or none.
        process: The running process, or none.
    """

    name: str
    role: Role
    command: list[str]
    port: int
    admin_port: int
    listing: dict | None = None
    process: asyncio.subprocess.Process | None = None

    @property
    def url(self) -> str:
        """The address that it serves."""
        return f"http://{HOST}:{self.port}"

    @property
    def admin_url(self) -> str:
        """The address of its admin pages."""
        return f"http://{HOST}:{self.admin_port}"

    @property
    def is_running(self) -> bool:
        """Whether its process was started and has not ended."""
        return self.process is not None and self.process.returncode is None


class Fleet:
    """A deployment on this machine.

    Args:
        shape: The deployment.
        token_ms: The time of one token at the model engines, in milliseconds.
        work_ms: The mean time of a call at the plain services, in milliseconds.
        policy: The agents' policy.
        lag_s: How far the instance list lags, in seconds.
        log_level: The least level of the log lines that are kept.
        deadline_s: The services' deadline, in seconds.
        is_relayed: Whether the agents are reached through relays of this process.

    Attributes:
        node_by_name: Every process.
        relay_by_agent: The relays, by the agent's name.
        session: An HTTP client.
        directory: Where the settings and the log lines are.
    """

    def __init__(
        self,
        shape: shapes.Shape,
        token_ms: float = 5.0,
        work_ms: float = 20.0,
        policy: str = "spread",
        lag_s: float = 0.0,
        log_level: str = "INFO",
        deadline_s: float = 30.0,
        is_relayed: bool = False,
    ):
        self.shape = shape
        self.relay_by_agent: dict[str, relay.Relay] = {}
        self.node_by_name: dict[str, Node] = {}
        self.session: aiohttp.ClientSession | None = None
        self._stack = contextlib.ExitStack()
        directory = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.directory = pathlib.Path(directory)
        self._token_ms = token_ms
        self._work_ms = work_ms
        self._policy = policy
        self._lag_s = lag_s
        self._log_level = log_level
        self._is_relayed = is_relayed
        self.document = shapes.make_document(shape, deadline_s)

    async def __aenter__(self) -> "Fleet":
        """Starts everything, publishes the configuration and waits until it serves."""
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(connector=connector)
        try:
            self._plan()
            if self._is_relayed:
                await self._start_relays()
            await self._start_all()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_) -> None:
        """Stops everything."""
        await self.close()

    def with_role(self, role: Role) -> list[Node]:
        """Returns the processes of a role."""
        return [node for node in self.node_by_name.values() if node.role is role]

    def agents_of(self, service: str) -> list[Node]:
        """Returns the agents of a service."""
        agents = self.with_role(Role.AGENT)
        return [agent for agent in agents if agent.listing["service"] == service]

    def upstream_of(self, agent: Node) -> Node:
        """Returns the stand-in beside an agent."""
        return self.node_by_name[agent.listing["upstream"]]

    async def start(self, node: Node, is_listed: bool = True) -> None:
        """Starts a process, and has the instance list name it."""
        errors_path = self.directory / f"{node.name}.log"
        with errors_path.open("ab") as errors_file:
            node.process = await asyncio.create_subprocess_exec(
                *node.command,
                stdout=errors_file,
                stderr=errors_file,
                process_group=0,
            )
        if node.listing is not None and is_listed:
            await self.set_listing(node, "live")

    async def set_listing(self, node: Node, state: str) -> None:
        """Has the instance list give a state for an instance."""
        url = f"{self.node_by_name['list'].url}/instances/{node.name}"
        body = node.listing | {"state": state}
        async with self.session.put(url, json=body) as response:
            response.raise_for_status()

    async def unlist(self, node: Node) -> None:
        """Takes an instance off the instance list."""
        url = f"{self.node_by_name['list'].url}/instances/{node.name}"
        async with self.session.delete(url) as response:
            response.raise_for_status()

    def signal(self, node: Node, number: signal.Signals) -> None:
        """Sends a signal to a process that this fleet started."""
        os.kill(node.process.pid, number)

    async def kill(self, node: Node) -> None:
        """Kills a process without warning."""
        node.process.kill()
        await node.process.wait()

    async def stop(self, node: Node) -> int:
        """Stops a process gracefully and returns its exit status."""
        self.signal(node, signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await node.process.wait()

    async def watch(self) -> None:
        """Returns never; fails as soon as a running process ends.

        Raises:
            FleetError: A process ended.
        """
        running = [node for node in self.node_by_name.values() if node.is_running]
        ends = [asyncio.create_task(node.process.wait()) for node in running]
        try:
            await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for end in ends:
                end.cancel()
        ended = next(node for node in running if not node.is_running)
        raise FleetError(self._describe_end(ended))

    async def set_faults(self, node: Node, **faults) -> None:
        """Switches the faults of a stand-in; those that are not named go off."""
        async with self.session.put(
            f"{node.url}/admin/faults", json=faults
        ) as response:
            response.raise_for_status()

    async def get_json(self, url: str) -> dict:
        """Fetches a page that is JSON."""
        async with self.session.get(url) as response:
            response.raise_for_status()
            return await response.json(content_type=None)

    async def publish(self, document: dict, based_on: int) -> int:
        """Publishes a configuration with the command line; returns its version."""
        path = self.directory / "document.json"
        path.write_bytes(shapes.to_json(document))
        process = await asyncio.create_subprocess_exec(
            *_teaselsill("config", "publish", str(path), "--based-on", str(based_on)),
            *("--log", self.node_by_name["log"].url),
            *("--instances", self.node_by_name["list"].url),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        if process.returncode:
            raise FleetError(f"publish failed: {output.decode()}")
        return based_on

    def copy_logs(self, directory: str) -> None:
        """Copies the log lines of all processes."""
        target = pathlib.Path(directory)
        target.mkdir(parents=True, exist_ok=True)
        for path in self.directory.glob("*.log"):
            shutil.copy(path, target)

    async def wait_ready(self, nodes: list[Node]) -> None:
        """Waits until processes say that they are ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for node in nodes:
                await self._wait_ready(node)

    async def close(self) -> None:
        """Stops every process that this fleet started."""
        running = [node for node in self.node_by_name.values() if node.is_running]
        for node in running:
            with contextlib.suppress(ProcessLookupError):
                node.process.kill()
        await asyncio.gather(*(node.process.wait() for node in running))
        for relaying in self.relay_by_agent.values():
            await relaying.close()
        await self.session.close()
        self._stack.close()

    def request_headers(self, account: str) -> dict[str, str]:
        """Returns the headers by which a client account names itself."""
        return {"Authorization": f"Bearer {shapes.api_key(account)}"}

    def plan_replacement(self, agent: Node, name: str) -> Node:
        """Plans another agent process for the same slot; `start` starts it."""
        path = self.directory / f"{agent.name}.json"
        own = json.loads(path.read_text())
        for field in ("instance", "port", "admin_port"):
            del own[field]
        node = self._add_member(name, Role.AGENT, own.pop("data_centre"), own)
        for field in ("service", "upstream"):
            node.listing[field] = agent.listing[field]
        return node

    async def _start_relays(self) -> None:
        for agent in self.with_role(Role.AGENT):
            relaying = relay.Relay(HOST, agent.port, find_free_port())
            await relaying.start()
            self.relay_by_agent[agent.name] = relaying
            agent.listing["port"] = relaying.port

    async def _start_all(self) -> None:
        stand_ins = [
            *self.with_role(Role.LOG),
            *self.with_role(Role.LIST),
            *self.with_role(Role.UPSTREAM),
        ]
        for node in stand_ins:
            await self.start(node)
        await self.wait_ready(stand_ins)
        nodes = [*self.with_role(Role.AGENT), *self.with_role(Role.ROUTER)]
        for node in nodes:
            await self.start(node)
        await self.publish(self.document, based_on=-1)
        await self.wait_ready(nodes)

    async def _wait_ready(self, node: Node) -> None:
        page = "/ready" if node.listing is not None else "/admin/health"
        while True:
            if node.process.returncode is not None:
                raise FleetError(self._describe_end(node))
            try:
                async with self.session.get(node.admin_url + page) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(POLL_S)

    def _describe_end(self, node: Node) -> str:
        text = (self.directory / f"{node.name}.log").read_text()
        said = text[-MAX_SHOWN_CHARS:] or "it wrote nothing"
        return f"{node.name} ended with status {node.process.returncode}: {said}"

    def _plan(self) -> None:
        self._add_stand_in("log", Role.LOG, "log_service")
        self._add_stand_in(
            "list", Role.LIST, "instance_list", "--lag-s", str(self._lag_s)
        )
        for service in self.shape.services:
            for number in range(service.upstreams):
                self._plan_upstream(service, number)
        for number in range(self.shape.routers):
            self.add_router(number)

    def _plan_upstream(self, service: shapes.ServiceShape, number: int) -> None:
        name = f"{service.name}-{number}"
        if service.kind == "completions":
            upstream = self._add_stand_in(
                name,
                Role.UPSTREAM,
                "model_engine",
                *("--token-ms", str(self._token_ms)),
                *("--models", shapes.model_name(service)),
                *("--slots", str(service.slots)),
            )
        else:
            upstream = self._add_stand_in(
                name, Role.UPSTREAM, "plain_service", "--work-ms", str(self._work_ms)
            )
        self._add_agent(service, upstream, number)

    def _add_stand_in(self, name: str, role: Role, module: str, *arguments) -> Node:
        port = find_free_port()
        command = [sys.executable, "-m", f"standins.{module}"]
        command += ["--host", HOST, "--port", str(port), *arguments]
        node = Node(name, role, command, port, port)
        self.node_by_name[name] = node
        return node

    def _add_agent(
        self, service: shapes.ServiceShape, upstream: Node, number: int
    ) -> Node:
        name = f"agent-{upstream.name}"
        place = self.shape.data_centres[number % len(self.shape.data_centres)]
        own = {
            "upstream": upstream.name,
            "service": service.name,
            "upstream_url": upstream.url,
            "upstream_kind": service.kind,
            "policy": self._policy,
        }
        node = self._add_member(name, Role.AGENT, place, own)
        node.listing |= {"service": service.name, "upstream": upstream.name}
        return node

    def add_router(self, number: int, **own) -> Node:
        """Plans one more router; `start` starts it."""
        place = self.shape.data_centres[number % len(self.shape.data_centres)]
        own = {"stop_delay_s": 0.2} | own
        return self._add_member(f"router-{number}", Role.ROUTER, place, own)

    def _add_member(self, name: str, role: Role, place: str, own: dict) -> Node:
        port = find_free_port()
        admin_port = find_free_port()
        loaded = {
            "instance": name,
            "data_centre": place,
            "host": HOST,
            "port": port,
            "admin_port": admin_port,
            "secret": SECRET,
            "log": {"url": self.node_by_name["log"].url},
            "instances": {"url": self.node_by_name["list"].url},
            "log_level": self._log_level,
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(loaded | own, indent=2))
        listing = {
            "id": name,
            "role": role.value,
            "data_centre": place,
            "host": HOST,
            "port": port,
            "admin_port": admin_port,
        }
        command = _teaselsill(role.value, "--settings", str(path))
        node = Node(name, role, command, port, admin_port, listing)
        self.node_by_name[name] = node
        return node


def find_free_port() -> int:
    """Returns a TCP port that nothing uses, and keeps it for this process's children.

    It lies below the ports that the system gives to outgoing connections. The socket
    that keeps it is bound but does not listen: only sockets that may reuse the address
    can still bind to it, and other calls of this function do not.
    """
    while True:
        port = PORTS[next(_port_numbers) % len(PORTS)]
        reserving = socket.socket()
        try:
            reserving.bind((HOST, port))
        except OSError:
            reserving.close()
            continue
        reserving.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reserved.append(reserving)
        return port


def _teaselsill(*arguments: str) -> list[str]:
    return [sys.executable, "-m", "teaselsill", *arguments]
