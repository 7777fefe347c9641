"""Runs routers and agents in one process, with fakes for their surroundings."""

import asyncio
import collections
import time

from standins import relay
from teaselsill import (
    agent,
    agent_peer,
    aggregation_tree,
    backlog,
    claims,
    counters,
    document,
    fencing,
    ids,
    instances,
    link,
    log,
    membership,
    messages,
    metrics,
    policies,
    router,
    running,
    slot_scheduler,
    upstream,
    wire,
)

HOST = "127.0.0.1"
SECRET = b"a secret for tests only"
SERVICE = ids.ServiceName("bookings")
ACCOUNT = ids.AccountId("schools")
ORDER = "/orders/1"
LOOKUP = "/rooms/1"
RUN_WAIT_S = 5.0

DOCUMENT = {
    "client_accounts": [{"id": ACCOUNT, "share": 1, "services": [SERVICE]}],
    "services": [
        {
            "name": SERVICE,
            "kind": "plain",
            "slots": 2,
            "expected_cost": 20,
            "unrepeatable": [{"methods": ["POST"], "path": "/orders/*"}],
        }
    ],
}


class FixedFollower:
    """A follower whose configuration is available at once."""

    def __init__(self, plain=DOCUMENT, version=0):
        self.version = ids.Version(version)
        self.document = document.Document.model_validate(plain)
        self.text = b""
        self.callbacks = []

    def subscribe(self, callback):
        self.callbacks.append(callback)

    def apply_from_peer(self, version, text):
        return False

    def change(self, plain):
        self.version = ids.Version(self.version + 1)
        self.document = document.Document.model_validate(plain)
        for callback in self.callbacks:
            callback()


class FakeUpstream(upstream.Upstream):
    """Counts executions, and responds in chunks once its events are set."""

    def __init__(self):
        super().__init__("http://nowhere")
        self.count_by_path = collections.Counter()
        self.status = 200
        self.chunks = [b"one ", b"two ", b"three"]
        self.error_before = None
        self.error_after = None
        self.may_start = asyncio.Event()
        self.may_start.set()
        self.may_go_on = asyncio.Event()
        self.may_go_on.set()

    async def run(self, request, service):
        if self.error_before is not None:
            raise self.error_before
        self.count_by_path[request.path] += 1
        if self.error_after is not None:
            raise self.error_after
        await self.may_start.wait()
        yield upstream.Started(self.status, [("x-answer", request.path)])
        yield upstream.BodyChunk(self.chunks[0], 1.0)
        await self.may_go_on.wait()
        for chunk in self.chunks[1:]:
            yield upstream.BodyChunk(chunk, 1.0)
        yield upstream.Finished(0.0)


class AgentBench:
    """One agent with a fake upstream, reached through a relay.

    Args:
        name: The name of the agent.
        log_service: The log service.
        plain: The configuration.
        client: The client of a real upstream, in place of the fake one.
    """

    def __init__(self, name, log_service, plain=DOCUMENT, client=None):
        self.follower = FixedFollower(plain)
        self.upstream = FakeUpstream()
        self.relay = None
        self.listing = None
        identity = _identity(name, instances.Role.AGENT)
        service_counters = counters.Counters(0)
        exchange = aggregation_tree.CounterExchange(
            identity,
            SECRET,
            SERVICE,
            list,
            service_counters,
            lambda: self.follower.version,
            None,
        )
        policy = policies.LeastService()
        sink = metrics.Metrics("")
        self.upstream_id = ids.UpstreamId(f"upstream-of-{name}")
        scheduler = slot_scheduler.SlotScheduler(
            SERVICE, self.upstream_id, self.follower, service_counters, policy, sink
        )
        runner = running.Runner(
            client or self.upstream,
            claims.Ledger(log_service, SERVICE, identity.incarnation, time.time),
            fencing.Fence(log_service, SERVICE, self.upstream_id, identity.incarnation),
            scheduler,
            sink,
        )
        self.agent = agent.Agent(
            identity,
            SECRET,
            self.follower,
            scheduler,
            runner,
            service_counters,
            exchange,
            policy,
            sink,
        )
        self._name = name
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self.agent.accept, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.relay = relay.Relay(HOST, port)
        await self.relay.start()
        self.listing = instances.Instance(
            id=ids.InstanceId(self._name),
            role=instances.Role.AGENT,
            data_centre=ids.DataCentre("oslo-a"),
            host=HOST,
            port=self.relay.port,
            service=SERVICE,
            upstream=self.upstream_id,
        )

    async def kill(self):
        """Closes the agent's port and all its connections."""
        self._server.close()
        await self.relay.close()


class Bench:
    """One router and several agents.

    Attributes:
        agents: The agents.
        router: The router.
        log: The log service.
    """

    def __init__(self, agents=1, plain=DOCUMENT, log_service=None, client=None):
        self.log = log_service or log.MemoryLog()
        self.agents = [
            AgentBench(f"agent-{n}", self.log, plain, client) for n in range(agents)
        ]
        self.follower = FixedFollower(plain)
        self.router = None
        self._running = None

    async def __aenter__(self):
        for bench in self.agents:
            await bench.start()
        self.members = membership.Membership(None)
        self.members.by_id = {b.listing.id: b.listing for b in self.agents}
        self.router = self.make_router("router-0")
        self._running = asyncio.create_task(self.router.run())
        return self

    async def __aexit__(self, *_):
        self._running.cancel()
        await self.router.close()
        for bench in self.agents:
            await bench.agent.close()
            await bench.kill()

    def make_router(self, name):
        identity = _identity(name, instances.Role.ROUTER)
        context = agent_peer.PeerContext(
            identity,
            SECRET,
            agent_peer.AttemptIds(identity.incarnation),
            self.follower,
            metrics.Metrics(""),
        )
        return router.Router(context, self.members, 4)

    def count(self, path):
        """Returns how often requests with a path ran, over all upstreams."""
        return sum(bench.upstream.count_by_path[path] for bench in self.agents)

    async def wait_until_run(self, path):
        """Waits until a request with a path runs at an upstream."""
        async with asyncio.timeout(RUN_WAIT_S):
            while not self.count(path):  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def call(self, path, key="", deadline_s=5.0, through=None):
        """Sends a request and returns the status and body of the complete response."""
        request = make_request(path, key, deadline_s)
        response = await (through or self.router).serve(request, 100)
        try:
            body = b"".join([chunk.data async for chunk in response.body()])
        finally:
            response.close()
        return response.status, body


def make_request(path, key="", deadline_s=5.0):
    return backlog.Request(
        id=ids.RequestId(ids.new_random_id()),
        account=ACCOUNT,
        service=SERVICE,
        method="POST" if path.startswith("/orders/") else "GET",
        path=path,
        headers=[],
        body=b"",
        deadline=time.monotonic() + deadline_s,
        repeatable=not path.startswith("/orders/"),
        key=key,
    )


class OnMessage:
    """A relay rule that applies an action once, to the first message of a class.

    Args:
        kind: The class of the message.
        action: The action of the relay.
    """

    def __init__(self, kind: type[messages.Message], action: relay.Action):
        self.done = asyncio.Event()
        self._kind = kind
        self._action = action
        self._unpacker_by_stream = {}

    def __call__(self, connection, direction, data):
        stream = (connection, direction)
        unpacker = self._unpacker_by_stream.setdefault(stream, wire.Unpacker())
        found = any(isinstance(m, self._kind) for m in unpacker.feed(data))
        if self.done.is_set() or not found:
            return relay.Action.PASS
        self.done.set()
        return self._action


def _identity(name, role):
    incarnation = ids.Incarnation(ids.new_random_id())
    return link.Identity(ids.InstanceId(name), incarnation, role)
