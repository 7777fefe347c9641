"""A connection between two processes: proof of the secret, then messages."""

import asyncio
import dataclasses
import hashlib
import hmac
import secrets
import time

from teaselsill import errors, ids, instances, messages, wire

NONCE_BYTES = 32
HANDSHAKE_TIMEOUT_S = 1.0
MAX_HANDSHAKE_BYTES = 1024
READ_BYTES = 64 * 1024
BUSY_PING_INTERVAL_S = 0.5
"""After this much silence a side with work under way asks for a sign of life."""
BUSY_TIMEOUT_S = 1.5
"""After this much silence a side with work under way gives the connection up."""
IDLE_PING_INTERVAL_S = 10.0
IDLE_TIMEOUT_S = 25.0
MIN_QUIET_S = 0.01


class HandshakeError(errors.LinkError):
    """The other side did not prove that it knows the secret."""


class UnsupportedProtocolError(errors.LinkError):
    """The other side speaks another version of the protocol."""


class PeerClosedError(errors.LinkError):
    """The other side closed the connection, or the network did."""


class PeerSilentError(errors.LinkError):
    """Nothing has come from the other side for too long."""


class UnexpectedMessageError(errors.LinkError):
    """The other side sent a message that has no place here."""


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who stands at one end of a link.

    Attributes:
        instance: The instance's id.
        incarnation: The run of the process.
        role: What the process does.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    role: instances.Role


class Link:
    """A connection on which both sides have proved themselves.

    Attributes:
        peer: Who stands at the other end.
        bytes_sent_by_type: Bytes of the messages sent, by message class name.
        unanswered_pings: How many signs of life were asked for and have not come.
    """

    def __init__(self, reader, writer, unpacker, peer: Identity, received=()):
        self.peer = peer
        self.bytes_sent_by_type: dict[str, int] = {}
        self.unanswered_pings = 0
        self._reader = reader
        self._writer = writer
        self._unpacker = unpacker
        self._received = list(received)
        self._queued: list[bytes] = []
        self._flush_handle: asyncio.Handle | None = None
        self._heard_at = time.monotonic()
        self._pinged_at = self._heard_at
        self._closed = False
        self._watch_timeout: asyncio.Timeout | None = None

    @property
    def is_closed(self) -> bool:
        """Whether this side has closed the link."""
        return self._closed

    def send(self, message: messages.Message) -> None:
        """Queues one message; sending on a closed link has no effect.

        Messages that are sent in one step of the event loop are written together.
        """
        if self._closed or self._writer.is_closing():
            return
        data = wire.pack(message)
        name = type(message).__name__
        self.bytes_sent_by_type[name] = self.bytes_sent_by_type.get(name, 0) + len(data)
        self._queued.append(data)
        self._watch_soon()
        if self._flush_handle is None:
            self._flush_handle = asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Writes what is queued, now."""
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
        queued, self._queued = self._queued, []
        if queued and not self._writer.is_closing():
            self._writer.write(b"".join(queued))

    def ping(self, version: ids.Version) -> None:
        """Asks for a sign of life; what the peer sent before it arrives before it."""
        self.unanswered_pings += 1
        self.send(messages.Ping(version))

    async def drain(self) -> None:
        """Writes what is queued and waits while too much of it is not sent.

        Raises:
            PeerClosedError: The connection is gone.
        """
        self.flush()
        try:
            await self._writer.drain()
        except OSError as error:
            raise PeerClosedError(str(error)) from error

    async def receive(self, is_busy, version) -> list[messages.Message]:
        """Returns the next messages, and keeps watch over a silent peer meanwhile.

        Args:
            is_busy: Tells whether work is under way on this link.
            version: Tells this process's configuration version.

        Raises:
            PeerClosedError: The connection is gone.
            PeerSilentError: The peer has been silent for too long.
            MalformedMessageError: The peer sent what is no message.
        """
        while True:
            received, self._received = self._received, []
            if not received:
                data = await self._read(is_busy, version)
                received = self._unpacker.feed(data)
            for message in received:
                match message:
                    case messages.Ping():
                        self.send(messages.Pong(version()))
                    case messages.Pong():
                        self.unanswered_pings -= 1
            if received:
                return received

    async def _read(self, is_busy, version) -> bytes:
        while True:
            try:
                async with asyncio.timeout(self._quiet_s(is_busy())) as timeout:
                    self._watch_timeout = timeout
                    data = await self._reader.read(READ_BYTES)
            except TimeoutError:
                self._watch(is_busy(), version())
                continue
            except OSError as error:
                raise PeerClosedError(str(error)) from error
            finally:
                self._watch_timeout = None
            if not data:
                raise PeerClosedError(f"{self.peer.instance} closed the connection")
            self._heard_at = time.monotonic()
            return data

    def _quiet_s(self, busy: bool) -> float:
        """Returns how long the link may be quiet from now on until `_watch` is due."""
        quiet_s = time.monotonic() - max(self._heard_at, self._pinged_at)
        if self._is_ping_unanswered:
            limit_s = BUSY_TIMEOUT_S if busy else IDLE_TIMEOUT_S
        else:
            limit_s = BUSY_PING_INTERVAL_S if busy else IDLE_PING_INTERVAL_S
        return max(MIN_QUIET_S, limit_s - quiet_s)

    def _watch_soon(self) -> None:
        """Sees to it that a link which a message makes busy is watched as such."""
        timeout = self._watch_timeout
        if timeout is None or timeout.expired():
            return
        soon = asyncio.get_running_loop().time() + BUSY_PING_INTERVAL_S
        if timeout.when() > soon:
            timeout.reschedule(soon)

    @property
    def _is_ping_unanswered(self) -> bool:
        return self._pinged_at > self._heard_at

    def _watch(self, busy: bool, version: ids.Version) -> None:
        now = time.monotonic()
        ping_s = BUSY_PING_INTERVAL_S if busy else IDLE_PING_INTERVAL_S
        silence_s = BUSY_TIMEOUT_S if busy else IDLE_TIMEOUT_S
        unanswered = self._is_ping_unanswered
        if unanswered and now - max(self._heard_at, self._pinged_at) >= silence_s:
            raise PeerSilentError(f"{self.peer.instance} is silent")
        if now - max(self._heard_at, self._pinged_at) >= ping_s and not unanswered:
            self._pinged_at = now
            self.ping(version)

    def close(self) -> None:
        """Closes the connection without waiting."""
        self.flush()
        self._closed = True
        self._writer.close()

    def abort(self) -> None:
        """Drops the connection and what is queued on it."""
        self._queued.clear()
        self._closed = True
        self._writer.transport.abort()


async def connect(
    host: str, port: int, secret: bytes, identity: Identity, tls=None
) -> Link:
    """Connects to a peer and proves each side to the other.

    Args:
        host: The peer's IP number.
        port: The peer's TCP port.
        secret: The secret that both sides know.
        identity: Who this process is.
        tls: An `ssl.SSLContext`, or none.

    Raises:
        PeerClosedError: The peer cannot be reached or closed the connection.
        PeerSilentError: The peer did not answer in time.
        HandshakeError: The peer does not know the secret.
    """
    writer = None
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port, ssl=tls)
            return await _introduce(reader, writer, secret, identity)
    except TimeoutError as error:
        _abort(writer)
        raise PeerSilentError(f"no answer from {host}:{port}") from error
    except OSError as error:
        _abort(writer)
        raise PeerClosedError(f"{host}:{port}: {error}") from error
    except BaseException:
        _abort(writer)
        raise


async def accept(reader, writer, secret: bytes, identity: Identity) -> Link:
    """Takes a connection and proves each side to the other.

    Raises:
        PeerClosedError: The peer closed the connection.
        PeerSilentError: The peer did not answer in time.
        HandshakeError: The peer does not know the secret.
        UnsupportedProtocolError: The peer speaks another version.
        MalformedMessageError: The peer sent what is no message.
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            return await _examine(reader, writer, secret, identity)
    except TimeoutError as error:
        _abort(writer)
        raise PeerSilentError("no handshake in time") from error
    except OSError as error:
        _abort(writer)
        raise PeerClosedError(str(error)) from error
    except BaseException:
        _abort(writer)
        raise


async def _introduce(reader, writer, secret, me) -> Link:
    unpacker = wire.Unpacker()
    nonce = secrets.token_bytes(NONCE_BYTES)
    writer.write(wire.pack(messages.Hello(messages.PROTOCOL_VERSION, nonce)))
    challenge, _ = await _receive_first(reader, unpacker, messages.Challenge)
    _check_nonce(challenge.nonce)
    proof = _prove(secret, b"connects", nonce, challenge.nonce, me)
    writer.write(wire.pack(messages.Proof(proof, me.instance, me.incarnation, me.role)))
    welcome, more = await _receive_first(reader, unpacker, messages.Welcome)
    peer = Identity(welcome.instance, welcome.incarnation, welcome.role)
    _check(welcome.proof, _prove(secret, b"accepts", nonce, challenge.nonce, peer))
    return Link(reader, writer, unpacker, peer, more)


async def _examine(reader, writer, secret, me) -> Link:
    unpacker = wire.Unpacker(MAX_HANDSHAKE_BYTES)
    hello, _ = await _receive_first(reader, unpacker, messages.Hello)
    if hello.protocol != messages.PROTOCOL_VERSION:
        raise UnsupportedProtocolError(f"protocol {hello.protocol}")
    _check_nonce(hello.nonce)
    nonce = secrets.token_bytes(NONCE_BYTES)
    writer.write(wire.pack(messages.Challenge(nonce)))
    offered, _ = await _receive_first(reader, unpacker, messages.Proof)
    peer = Identity(offered.instance, offered.incarnation, offered.role)
    _check(offered.proof, _prove(secret, b"connects", hello.nonce, nonce, peer))
    proof = _prove(secret, b"accepts", hello.nonce, nonce, me)
    writer.write(
        wire.pack(messages.Welcome(proof, me.instance, me.incarnation, me.role))
    )
    return Link(reader, writer, wire.Unpacker(), peer)


async def _receive_first(reader, unpacker, kind):
    """Returns the next message, which must be of a kind, and those behind it."""
    size = 0
    while size <= MAX_HANDSHAKE_BYTES:
        data = await reader.read(MAX_HANDSHAKE_BYTES)
        size += len(data)
        if not data:
            raise PeerClosedError("the peer closed the connection in the handshake")
        received = unpacker.feed(data)
        if received and not isinstance(received[0], kind):
            raise HandshakeError(f"expected {kind.__name__}")
        if received:
            return received[0], received[1:]
    raise HandshakeError(f"no message in {MAX_HANDSHAKE_BYTES} bytes")


def _prove(secret, side, connecting_nonce, accepting_nonce, who: Identity) -> bytes:
    fields = (who.instance, who.incarnation, who.role.value)
    text = "\0".join(fields).encode()
    covered = side + connecting_nonce + accepting_nonce + text
    return hmac.digest(secret, covered, hashlib.sha256)


def _check_nonce(nonce: bytes) -> None:
    if len(nonce) != NONCE_BYTES:
        raise HandshakeError(f"a nonce of {len(nonce)} bytes")


def _check(offered: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(offered, expected):
        raise HandshakeError("the peer does not know the secret")


def _abort(writer) -> None:
    if writer is not None:
        writer.transport.abort()
