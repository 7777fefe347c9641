import asyncio
import types
import unittest

import hypothesis
import msgpack
from hypothesis import strategies

from standins import plain_service, shapes
from teaselsill import (
    configuration,
    daemon,
    errors,
    ids,
    instances,
    link,
    log,
    messages,
    metrics,
    registry,
    router_peer,
)
from tests import support

SECRET = b"a secret that both sides know"
SERVICE = "bookings"
ACCOUNT = shapes.account_name(0)
SHAPE = shapes.Shape(
    ("oslo-a",), (shapes.ServiceShape(SERVICE, "plain", 1, slots=2),), accounts=2
)
ME = link.Identity("agent-0", "run-a", instances.Role.AGENT)


def make_agent(url):
    """Joins an agent as its process does, with an empty log and instance list."""
    registry.load_built_in()
    service_log = log.MemoryLog()
    follower = configuration.Follower(service_log)
    follower.apply_from_peer(
        ids.Version(0), shapes.to_json(shapes.make_document(SHAPE))
    )
    node = types.SimpleNamespace(
        identity=ME,
        secret=SECRET,
        log=service_log,
        membership=types.SimpleNamespace(by_id={}),
        follower=follower,
        metrics=metrics.Metrics(""),
    )
    loaded = types.SimpleNamespace(
        service=SERVICE,
        upstream="bookings-0",
        upstream_url=url,
        upstream_kind="plain",
        policy="least-service",
        peer_tls=None,
    )
    return daemon._make_agent(node, loaded).agent


def make_dispatch(grant, attempt, **changed):
    fields = {
        "grant": grant,
        "attempt": attempt,
        "request": "r1",
        "account": ACCOUNT,
        "method": "GET",
        "path": "/x",
        "headers": [],
        "body": b"",
        "budget_ms": 5000,
        "repeatable": True,
        "key": "",
        "version": 0,
    }
    return messages.Dispatch(**(fields | changed))


class GarbageTest(unittest.IsolatedAsyncioTestCase):
    """A proved peer that sends garbage loses its link, and nobody else notices."""

    async def asyncSetUp(self):
        app = plain_service.create_app()
        url, _ = await self.enterAsyncContext(support.serve(app))
        self.agent = make_agent(url)
        server = await asyncio.start_server(self.agent.accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]
        self.faults = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: self.faults.append(context["message"])
        )
        self.healthy = await self.connect("router-0")

    async def asyncTearDown(self):
        self.healthy.abort()
        await asyncio.sleep(0.05)
        await self.agent.close()

    async def connect(self, name):
        me = link.Identity(name, f"run-{name}", instances.Role.ROUTER)
        connected = await link.connect("127.0.0.1", self.port, SECRET, me)
        self.addCleanup(connected.abort)
        return connected

    async def receive(self, connected, kind):
        """Returns the next message of a kind."""
        async with asyncio.timeout(5):
            while True:
                received = await connected.receive(lambda: True, lambda: 0)
                for message in received:
                    if isinstance(message, kind):
                        return message

    async def get_grant(self, connected):
        connected.send(messages.Demand(ACCOUNT, 1, 0))
        return (await self.receive(connected, messages.Grant)).grant

    async def check_healthy(self):
        """A request of another peer is served, and all slots are free after it."""
        grant = await self.get_grant(self.healthy)
        attempt = f"run-router-0:{grant}"
        self.healthy.send(make_dispatch(grant, attempt))
        end = await self.receive(self.healthy, messages.End)
        self.assertEqual(messages.Outcome.RAN, end.outcome)
        self.healthy.send(messages.Ack(attempt, end.sequence))
        self.assertEqual(2, self.agent.scheduler.slots.total)
        self.assertEqual(0, self.agent.scheduler.slots.running)
        self.assertEqual([], self.faults)

    async def check_dropped(self, connected):
        with self.assertRaises(link.PeerClosedError):
            await self.receive(connected, messages.Welcome)

    async def test_messages_that_have_no_place_or_sense(self):
        for sent in (
            messages.Hello(messages.PROTOCOL_VERSION, b""),
            messages.Grant(1, ACCOUNT),
            messages.Resume("no counter", 0),
            messages.DocumentHandover(9, b"no document"),
            messages.DocumentHandover(9, bytes(5_000_000)),
        ):
            with self.subTest(sent=type(sent).__name__):
                broken = await self.connect("router-1")
                broken.send(sent)
                await self.check_dropped(broken)
                await self.check_healthy()

    async def test_bytes_that_are_no_message(self):
        broken = await self.connect("router-1")
        broken._writer.write(msgpack.packb([99]) + b"\xc1")
        await self.check_dropped(broken)
        await self.check_healthy()

    async def test_messages_about_what_there_is_not(self):
        strange = await self.connect("router-1")
        for sent in (
            messages.Ack("run-x:1", 5),
            messages.Cancel("run-x:1"),
            messages.Decline(99),
            messages.Demand("nobody", 2**40, -5),
            messages.Report(1, {"nobody": -5}, ["nobody"], {}),
        ):
            strange.send(sent)
        strange.send(make_dispatch(99, "run-x:1"))
        refusal = await self.receive(strange, messages.NotRun)
        self.assertEqual(messages.Reason.GRANT_EXPIRED, refusal.reason)
        await self.check_healthy()

    async def test_dispatch_that_does_not_fit_its_grant(self):
        for changed in (
            {"account": shapes.account_name(1)},
            {"attempt": "no counter"},
            {"headers": [("X-A", "a\r\nX-B: b")]},
            {"path": "http://elsewhere/"},
            {"method": "A B"},
        ):
            with self.subTest(**changed):
                broken = await self.connect("router-1")
                grant = await self.get_grant(broken)
                fields = {"attempt": f"run-router-1:{grant}"} | changed
                broken.send(make_dispatch(grant, **fields))
                try:
                    end = await self.receive(broken, messages.End | messages.NotRun)
                    self.assertNotEqual(messages.Reason.NONE, end.reason)
                except link.PeerClosedError:
                    pass
                broken.abort()
                await self.check_healthy()


class StubLink:
    """A link that keeps nothing."""

    peer = link.Identity("router-1", "run-x", instances.Role.ROUTER)
    bytes_sent_by_type = {}

    def send(self, message):
        pass

    def flush(self):
        pass

    def abort(self):
        pass


FEW_NUMBERS = strategies.sampled_from([-1, 0, 1, 2, 3, 2**40])
FEW_WORDS = strategies.sampled_from(["", ACCOUNT, "run-x:1", "run-x:2", "x"])


def _values_of(name):
    """Returns values for a field, few enough that messages refer to each other."""
    return FEW_WORDS if name in ("account", "attempt", "path") else FEW_NUMBERS


ANY_MESSAGE = strategies.one_of(
    strategies.builds(kind, **{name: _values_of(name) for name in names})
    for kind, names in (
        (messages.Demand, ["account", "waiting"]),
        (messages.Grant, ["account"]),
        (messages.Decline, ["grant"]),
        (messages.Dispatch, ["account", "attempt", "grant", "version", "path"]),
        (messages.Head, ["attempt"]),
        (messages.Body, ["attempt"]),
        (messages.End, ["attempt"]),
        (messages.NotRun, ["attempt"]),
        (messages.Ack, ["attempt", "through"]),
        (messages.Cancel, ["attempt"]),
        (messages.Resume, ["attempt", "sequence"]),
        (messages.Leaving, []),
        (messages.Report, []),
        (messages.Digest, []),
        (messages.Ping, []),
        (messages.DocumentWanted, []),
        (messages.DocumentHandover, []),
    )
)


class FuzzTest(unittest.TestCase):
    """Any messages of a proved peer are taken, or end its link with a link's error."""

    @hypothesis.given(strategies.lists(ANY_MESSAGE, max_size=12))
    def test_any_messages(self, sent):
        asyncio.run(self.check(sent))

    async def check(self, sent):
        tested = make_agent("http://127.0.0.1:9")
        peer = router_peer.RouterPeer(StubLink())
        tested.scheduler.peers.add(peer)
        for message in sent:
            try:
                tested._take_checked(peer, message)
                tested.scheduler.grant_free_slots()
            except errors.LinkError:
                break
        tested._drop(peer)
        self.assertLessEqual(tested.scheduler.slots.running, 2)
        for task in list(tested._task_by_attempt.values()):
            task.cancel()
        await asyncio.gather(*tested._task_by_attempt.values())
        self.assertEqual(0, tested.scheduler.slots.running)
        await tested.close()
