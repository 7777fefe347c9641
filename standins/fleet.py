"""Runs a deployment of stand-ins, routers and agents as separate processes."""

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
POLL_INTERVAL_S = 0.05
MAX_OUTPUT_CHARS = 2000
STREAM = "configuration"
PORTS = range(12_000, 32_000)

_port_indexes = itertools.count(random.randrange(len(PORTS)))
_reserved_sockets: list[socket.socket] = []


class FleetError(Exception):
    """A process of the fleet failed or ended unexpectedly."""


class Role(enum.Enum):
    """The role of a process in the fleet."""

    LOG = "log"
    LIST = "list"
    UPSTREAM = "upstream"
    AGENT = "agent"
    ROUTER = "router"


@dataclasses.dataclass(slots=True)
class Node:
    """One process of the fleet.

    Attributes:
        name: Its name; for routers and agents, the instance id.
        role: Its role.
        command: The program and its arguments.
        port: The port that it listens on.
        admin_port: The port of its admin pages; the same as `port` for a stand-in.
        listing: Its entry in the instance list; none for a stand-in.
        process: The process, or none before it is started.
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
        """The URL of its port."""
        return f"http://{HOST}:{self.port}"

    @property
    def admin_url(self) -> str:
        """The URL of its admin port."""
        return f"http://{HOST}:{self.admin_port}"

    @property
    def is_running(self) -> bool:
        """Whether its process was started and has not ended."""
        return self.process is not None and self.process.returncode is None


class Fleet:
    """A running deployment on this machine, used as an asynchronous context manager.

    Args:
        shape: The shape of the deployment.
        token_ms: The time per token of the model engines, in milliseconds.
        work_ms: The mean duration of a call of the plain services, in milliseconds.
        policy: The agents' scheduling policy.
        lag_s: How far the instance list lags behind changes, in seconds.
        log_level: The log level of the routers and agents.
        deadline_s: The services' deadline, in seconds.
        is_relayed: Whether routers reach the agents through TCP relays, which run in
            this process.

    Attributes:
        shape: The shape of the deployment.
        node_by_name: All processes.
        relay_by_agent: The relays, by the agent's name.
        session: An HTTP client session.
        directory: The directory of the settings and the log files.
        document: The configuration document that is published at the start.
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
        """Starts the processes, publishes the configuration and waits for readiness."""
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(connector=connector)
        try:
            self._add_nodes()
            if self._is_relayed:
                await self._start_relays()
            await self._start_all()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_) -> None:
        """Kills the processes that still run."""
        await self.close()

    def with_role(self, role: Role) -> list[Node]:
        """Returns the processes that have a role."""
        return [node for node in self.node_by_name.values() if node.role is role]

    def agents_of(self, service: str) -> list[Node]:
        """Returns the agents of a service."""
        agents = self.with_role(Role.AGENT)
        return [agent for agent in agents if agent.listing["service"] == service]

    def upstream_of(self, agent: Node) -> Node:
        """Returns the upstream that an agent serves."""
        return self.node_by_name[agent.listing["upstream"]]

    async def start(self, node: Node, is_listed: bool = True) -> None:
        """Starts a process, and lists a router or agent unless `is_listed` is false."""
        log_path = self.directory / f"{node.name}.log"
        with log_path.open("ab") as log_file:
            node.process = await asyncio.create_subprocess_exec(
                *node.command,
                stdout=log_file,
                stderr=log_file,
                process_group=0,
            )
        if node.listing is not None and is_listed:
            await self.set_listing(node, "live")

    async def set_listing(self, node: Node, state: str) -> None:
        """Sets the state of an instance in the instance list."""
        url = f"{self.node_by_name['list'].url}/instances/{node.name}"
        body = node.listing | {"state": state}
        async with self.session.put(url, json=body) as response:
            response.raise_for_status()

    async def unlist(self, node: Node) -> None:
        """Removes an instance from the instance list."""
        url = f"{self.node_by_name['list'].url}/instances/{node.name}"
        async with self.session.delete(url) as response:
            response.raise_for_status()

    def signal(self, node: Node, number: signal.Signals) -> None:
        """Sends a signal to a process that this fleet started."""
        os.kill(node.process.pid, number)

    async def kill(self, node: Node) -> None:
        """Kills a process with SIGKILL."""
        node.process.kill()
        await node.process.wait()

    async def stop(self, node: Node) -> int:
        """Stops a process with SIGTERM and returns its exit status."""
        self.signal(node, signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await node.process.wait()

    async def watch(self) -> None:
        """Watches the running processes until one ends; never returns.

        Raises:
            FleetError: A process ended.
        """
        running = [node for node in self.node_by_name.values() if node.is_running]
        exit_tasks = [asyncio.create_task(node.process.wait()) for node in running]
        try:
            await asyncio.wait(exit_tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in exit_tasks:
                task.cancel()
        ended = next(node for node in running if not node.is_running)
        raise FleetError(self._describe_exit(ended))

    async def set_faults(self, node: Node, **faults) -> None:
        """Sets the faults of a stand-in; those that are not given are switched off."""
        async with self.session.put(
            f"{node.url}/admin/faults", json=faults
        ) as response:
            response.raise_for_status()

    async def get_json(self, url: str) -> dict:
        """Fetches and decodes a JSON page."""
        async with self.session.get(url) as response:
            response.raise_for_status()
            return await response.json(content_type=None)

    async def publish(self, document: dict, based_on: int) -> int:
        """Publishes a configuration with `teaselsill config publish`.

        Returns:
            The version that it is based on.

        Raises:
            FleetError: The command failed.
        """
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
        """Copies the log files of all processes to a directory."""
        target = pathlib.Path(directory)
        target.mkdir(parents=True, exist_ok=True)
        for path in self.directory.glob("*.log"):
            shutil.copy(path, target)

    async def wait_ready(self, nodes: list[Node]) -> None:
        """Waits until processes report that they are ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for node in nodes:
                await self._wait_ready(node)

    async def close(self) -> None:
        """Kills every process that this fleet started, and releases its resources."""
        running = [node for node in self.node_by_name.values() if node.is_running]
        for node in running:
            with contextlib.suppress(ProcessLookupError):
                node.process.kill()
        await asyncio.gather(*(node.process.wait() for node in running))
        for agent_relay in self.relay_by_agent.values():
            await agent_relay.close()
        await self.session.close()
        self._stack.close()

    def request_headers(self, account: str) -> dict[str, str]:
        """Returns the headers that authenticate a client account."""
        return {"Authorization": f"Bearer {shapes.api_key(account)}"}

    def plan_replacement(self, agent: Node, name: str) -> Node:
        """Adds an agent for the same upstream as another agent, without starting it."""
        path = self.directory / f"{agent.name}.json"
        settings = json.loads(path.read_text())
        for field in ("instance", "port", "admin_port"):
            del settings[field]
        node = self._add_instance(
            name, Role.AGENT, settings.pop("data_centre"), settings
        )
        for field in ("service", "upstream"):
            node.listing[field] = agent.listing[field]
        return node

    async def _start_relays(self) -> None:
        for agent in self.with_role(Role.AGENT):
            agent_relay = relay.Relay(HOST, agent.port, find_free_port())
            await agent_relay.start()
            self.relay_by_agent[agent.name] = agent_relay
            agent.listing["port"] = agent_relay.port

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
                raise FleetError(self._describe_exit(node))
            try:
                async with self.session.get(node.admin_url + page) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(POLL_INTERVAL_S)

    def _describe_exit(self, node: Node) -> str:
        text = (self.directory / f"{node.name}.log").read_text()
        output = text[-MAX_OUTPUT_CHARS:] or "it wrote nothing"
        return f"{node.name} ended with status {node.process.returncode}: {output}"

    def _add_nodes(self) -> None:
        self._add_stand_in("log", Role.LOG, "log_service")
        self._add_stand_in(
            "list", Role.LIST, "instance_list", "--lag-s", str(self._lag_s)
        )
        for service in self.shape.services:
            for number in range(service.upstreams):
                self._add_upstream(service, number)
        for number in range(self.shape.routers):
            self.add_router(number)

    def _add_upstream(self, service: shapes.ServiceShape, number: int) -> None:
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
        data_centre = self.shape.data_centres[number % len(self.shape.data_centres)]
        settings = {
            "upstream": upstream.name,
            "service": service.name,
            "upstream_url": upstream.url,
            "upstream_kind": service.kind,
            "policy": self._policy,
        }
        node = self._add_instance(name, Role.AGENT, data_centre, settings)
        node.listing |= {"service": service.name, "upstream": upstream.name}
        return node

    def add_router(self, number: int, **settings) -> Node:
        """Adds a router, without starting it.

        Args:
            number: The number of the router, which is part of its name.
            **settings: Settings of this router, beside the common ones.
        """
        data_centre = self.shape.data_centres[number % len(self.shape.data_centres)]
        settings = {"stop_delay_s": 0.2} | settings
        return self._add_instance(
            f"router-{number}", Role.ROUTER, data_centre, settings
        )

    def _add_instance(
        self, name: str, role: Role, data_centre: str, settings: dict
    ) -> Node:
        port = find_free_port()
        admin_port = find_free_port()
        common_settings = {
            "instance": name,
            "data_centre": data_centre,
            "host": HOST,
            "port": port,
            "admin_port": admin_port,
            "secret": SECRET,
            "log": {"url": self.node_by_name["log"].url},
            "instances": {"url": self.node_by_name["list"].url},
            "log_level": self._log_level,
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(common_settings | settings, indent=2))
        listing = {
            "id": name,
            "role": role.value,
            "data_centre": data_centre,
            "host": HOST,
            "port": port,
            "admin_port": admin_port,
        }
        command = _teaselsill(role.value, "--settings", str(path))
        node = Node(name, role, command, port, admin_port, listing)
        self.node_by_name[name] = node
        return node


def find_free_port() -> int:
    """Returns an unused TCP port, and reserves it for child processes of this one.

    The port is below the range that the system uses for outgoing connections. It is
    reserved by a socket that is bound but does not listen: only sockets with
    `SO_REUSEADDR` can still bind to the port, and other calls of this function do not
    set that option before they bind.
    """
    while True:
        port = PORTS[next(_port_indexes) % len(PORTS)]
        reserved = socket.socket()
        try:
            reserved.bind((HOST, port))
        except OSError:
            reserved.close()
            continue
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reserved_sockets.append(reserved)
        return port


def _teaselsill(*arguments: str) -> list[str]:
    return [sys.executable, "-m", "teaselsill", *arguments]
