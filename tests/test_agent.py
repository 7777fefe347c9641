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
IDENTITY = link.Identity("agent-0", "run-a", instances.Role.AGENT)


def make_agent(url):
    """Builds an agent as the daemon does, with an empty log and instance list."""
    registry.load_built_in()
    service_log = log.MemoryLog()
    follower = configuration.Follower(service_log)
    follower.apply_from_peer(
        ids.Version(0), shapes.to_json(shapes.make_document(SHAPE))
    )
    node = types.SimpleNamespace(
        identity=IDENTITY,
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


class InvalidMessagesTest(unittest.IsolatedAsyncioTestCase):
    """An authenticated peer that sends invalid data only loses its own link."""

    async def asyncSetUp(self):
        app = plain_service.create_app()
        url, _ = await self.enterAsyncContext(support.serve(app))
        self.agent = make_agent(url)
        server = await asyncio.start_server(self.agent.accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]
        self.unhandled = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: self.unhandled.append(context["message"])
        )
        self.healthy = await self.connect("router-0")

    async def asyncTearDown(self):
        self.healthy.abort()
        await asyncio.sleep(0.05)
        await self.agent.close()

    async def connect(self, name):
        identity = link.Identity(name, f"run-{name}", instances.Role.ROUTER)
        connected = await link.connect("127.0.0.1", self.port, SECRET, identity)
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
        """Checks that another peer is served and that no slot is in use afterwards."""
        grant = await self.get_grant(self.healthy)
        attempt = f"run-router-0:{grant}"
        self.healthy.send(make_dispatch(grant, attempt))
        end = await self.receive(self.healthy, messages.End)
        self.assertEqual(messages.Outcome.RAN, end.outcome)
        self.healthy.send(messages.Ack(attempt, end.sequence))
        self.assertEqual(2, self.agent.scheduler.slots.total)
        self.assertEqual(0, self.agent.scheduler.slots.running)
        self.assertEqual([], self.unhandled)

    async def check_dropped(self, connected):
        with self.assertRaises(link.PeerClosedError):
            await self.receive(connected, messages.Welcome)

    async def test_unexpected_or_malformed_messages(self):
        for sent in (
            messages.Hello(messages.PROTOCOL_VERSION, b""),
            messages.Grant(1, ACCOUNT),
            messages.Resume("no counter", 0),
            messages.DocumentHandover(9, b"no document"),
            messages.DocumentHandover(9, bytes(5_000_000)),
        ):
            with self.subTest(sent=type(sent).__name__):
                faulty_link = await self.connect("router-1")
                faulty_link.send(sent)
                await self.check_dropped(faulty_link)
                await self.check_healthy()

    async def test_bytes_that_are_not_a_message(self):
        faulty_link = await self.connect("router-1")
        faulty_link._writer.write(msgpack.packb([99]) + b"\xc1")
        await self.check_dropped(faulty_link)
        await self.check_healthy()

    async def test_messages_about_unknown_objects(self):
        peer_link = await self.connect("router-1")
        for sent in (
            messages.Ack("run-x:1", 5),
            messages.Cancel("run-x:1"),
            messages.Decline(99),
            messages.Demand("nobody", 2**40, -5),
            messages.Report(1, {"nobody": -5}, ["nobody"], {}),
        ):
            peer_link.send(sent)
        peer_link.send(make_dispatch(99, "run-x:1"))
        refusal = await self.receive(peer_link, messages.NotRun)
        self.assertEqual(messages.Reason.GRANT_EXPIRED, refusal.reason)
        await self.check_healthy()

    async def test_dispatch_that_does_not_match_its_grant_or_is_malformed(self):
        for changed in (
            {"account": shapes.account_name(1)},
            {"attempt": "no counter"},
            {"headers": [("X-A", "a\r\nX-B: b")]},
            {"path": "http://elsewhere/"},
            {"method": "A B"},
        ):
            with self.subTest(**changed):
                faulty_link = await self.connect("router-1")
                grant = await self.get_grant(faulty_link)
                fields = {"attempt": f"run-router-1:{grant}"} | changed
                faulty_link.send(make_dispatch(grant, **fields))
                try:
                    end = await self.receive(
                        faulty_link, messages.End | messages.NotRun
                    )
                    self.assertNotEqual(messages.Reason.NONE, end.reason)
                except link.PeerClosedError:
                    pass
                faulty_link.abort()
                await self.check_healthy()


class StubLink:
    """A link that discards all messages."""

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
    """Returns values for a field, so few that messages refer to each other."""
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
    """Any message of an authenticated peer is accepted or raises a `LinkError`."""

    @hypothesis.given(strategies.lists(ANY_MESSAGE, max_size=12))
    def test_any_messages(self, sent):
        asyncio.run(self.check(sent))

    async def check(self, sent):
        tested = make_agent("http://127.0.0.1:9")
        peer = router_peer.RouterPeer(StubLink())
        tested.scheduler.peers.add(peer)
        for message in sent:
            try:
                tested._handle_checked(peer, message)
                tested.scheduler.grant_free_slots()
            except errors.LinkError:
                break
        tested._drop_peer(peer)
        self.assertLessEqual(tested.scheduler.slots.running, 2)
        for task in list(tested._task_by_attempt.values()):
            task.cancel()
        await asyncio.gather(*tested._task_by_attempt.values())
        self.assertEqual(0, tested.scheduler.slots.running)
        await tested.close()
