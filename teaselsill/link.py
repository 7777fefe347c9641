"""An authenticated connection between two processes that carries messages.

Each side proves in the handshake that it knows the secret of the fleet. Afterwards a
side that has received nothing for a while sends a `Ping`, and closes the connection if
nothing arrives in response. Both limits are shorter while requests are in progress.
"""

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
"""A side with work in progress sends a ping after receiving nothing for this long."""
BUSY_TIMEOUT_S = 1.5
"""A side with work in progress closes the link if a ping has no reply for this long."""
IDLE_PING_INTERVAL_S = 10.0
IDLE_TIMEOUT_S = 25.0
MIN_READ_TIMEOUT_S = 0.01


class HandshakeError(errors.LinkError):
    """The peer did not prove that it knows the secret."""


class UnsupportedProtocolError(errors.LinkError):
    """The peer uses another version of the protocol."""


class PeerClosedError(errors.LinkError):
    """The connection failed or was closed by the peer."""


class PeerSilentError(errors.LinkError):
    """Nothing has been received from the peer for too long."""


class UnexpectedMessageError(errors.LinkError):
    """The peer sent a message that is not allowed on this link."""


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identifies the process at one end of a link.

    Attributes:
        instance: The instance's id.
        incarnation: The id of this run of the process.
        role: The instance's role.
    """

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    role: instances.Role


class Link:
    """A connection on which both sides have authenticated themselves.

    Attributes:
        peer: The process at the other end.
        bytes_sent_by_type: Bytes of the messages sent, by message class name.
        unanswered_pings: The number of pings sent without a reply so far.
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
        self._last_received_at = time.monotonic()
        self._pinged_at = self._last_received_at
        self._closed = False
        self._read_timeout: asyncio.Timeout | None = None

    @property
    def is_closed(self) -> bool:
        """Whether this side has closed the link."""
        return self._closed

    def send(self, message: messages.Message) -> None:
        """Queues one message; sending on a closed link has no effect.

        Messages queued in one iteration of the event loop are written together.
        """
        if self._closed or self._writer.is_closing():
            return
        data = wire.pack(message)
        name = type(message).__name__
        self.bytes_sent_by_type[name] = self.bytes_sent_by_type.get(name, 0) + len(data)
        self._queued.append(data)
        self._shorten_read_timeout()
        if self._flush_handle is None:
            self._flush_handle = asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Writes the queued messages immediately."""
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
        queued, self._queued = self._queued, []
        if queued and not self._writer.is_closing():
            self._writer.write(b"".join(queued))

    def ping(self, version: ids.Version) -> None:
        """Sends a ping.

        The connection keeps messages in order, so when the `Pong` arrives, everything
        that the peer sent before it has arrived too.
        """
        self.unanswered_pings += 1
        self.send(messages.Ping(version))

    async def drain(self) -> None:
        """Writes the queued messages and waits until the write buffer has room.

        Raises:
            PeerClosedError: The connection is closed.
        """
        self.flush()
        try:
            await self._writer.drain()
        except OSError as error:
            raise PeerClosedError(str(error)) from error

    async def receive(self, is_busy, version) -> list[messages.Message]:
        """Waits for the next messages, sending pings while the peer is silent.

        Args:
            is_busy: Returns whether work is in progress on this link.
            version: Returns this process's configuration version.

        Raises:
            PeerClosedError: The connection is closed.
            PeerSilentError: The peer has been silent for too long.
            MalformedMessageError: The peer sent something that is not a message.
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
                async with asyncio.timeout(self._read_timeout_s(is_busy())) as timeout:
                    self._read_timeout = timeout
                    data = await self._reader.read(READ_BYTES)
            except TimeoutError:
                self._check_silence(is_busy(), version())
                continue
            except OSError as error:
                raise PeerClosedError(str(error)) from error
            finally:
                self._read_timeout = None
            if not data:
                raise PeerClosedError(f"{self.peer.instance} closed the connection")
            self._last_received_at = time.monotonic()
            return data

    def _read_timeout_s(self, busy: bool) -> float:
        """Returns how long to wait for data before `_check_silence` is due."""
        silent_s = time.monotonic() - max(self._last_received_at, self._pinged_at)
        if self._is_ping_unanswered:
            limit_s = BUSY_TIMEOUT_S if busy else IDLE_TIMEOUT_S
        else:
            limit_s = BUSY_PING_INTERVAL_S if busy else IDLE_PING_INTERVAL_S
        return max(MIN_READ_TIMEOUT_S, limit_s - silent_s)

    def _shorten_read_timeout(self) -> None:
        """Applies the ping interval of a busy link to a read that is waiting.

        The message just queued may make an idle link busy. Without this the read would
        keep the long timeout of an idle link.
        """
        timeout = self._read_timeout
        if timeout is None or timeout.expired():
            return
        soon = asyncio.get_running_loop().time() + BUSY_PING_INTERVAL_S
        if timeout.when() > soon:
            timeout.reschedule(soon)

    @property
    def _is_ping_unanswered(self) -> bool:
        return self._pinged_at > self._last_received_at

    def _check_silence(self, busy: bool, version: ids.Version) -> None:
        """Sends a ping or raises an error once the peer has been silent too long."""
        now = time.monotonic()
        ping_s = BUSY_PING_INTERVAL_S if busy else IDLE_PING_INTERVAL_S
        timeout_s = BUSY_TIMEOUT_S if busy else IDLE_TIMEOUT_S
        unanswered = self._is_ping_unanswered
        if (
            unanswered
            and now - max(self._last_received_at, self._pinged_at) >= timeout_s
        ):
            raise PeerSilentError(f"no message from {self.peer.instance}")
        if (
            now - max(self._last_received_at, self._pinged_at) >= ping_s
            and not unanswered
        ):
            self._pinged_at = now
            self.ping(version)

    def close(self) -> None:
        """Closes the connection after the queued messages, without waiting for that."""
        self.flush()
        self._closed = True
        self._writer.close()

    def abort(self) -> None:
        """Closes the connection at once and discards the queued messages."""
        self._queued.clear()
        self._closed = True
        self._writer.transport.abort()


async def connect(
    host: str, port: int, secret: bytes, identity: Identity, tls=None
) -> Link:
    """Connects to a peer and authenticates both sides.

    Args:
        host: The peer's IP address.
        port: The peer's TCP port.
        secret: The secret that both sides know.
        identity: The identity of this process.
        tls: An `ssl.SSLContext`, or none.

    Raises:
        PeerClosedError: The peer cannot be reached or closed the connection.
        PeerSilentError: The peer did not reply in time.
        HandshakeError: The peer does not know the secret.
        MalformedMessageError: The peer sent something that is not a message.
    """
    writer = None
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port, ssl=tls)
            return await _start_handshake(reader, writer, secret, identity)
    except TimeoutError as error:
        _abort(writer)
        raise PeerSilentError(f"no reply from {host}:{port}") from error
    except OSError as error:
        _abort(writer)
        raise PeerClosedError(f"{host}:{port}: {error}") from error
    except BaseException:
        _abort(writer)
        raise


async def accept(reader, writer, secret: bytes, identity: Identity) -> Link:
    """Authenticates both sides of a connection that a peer has opened.

    Until the peer has authenticated itself it receives at most a nonce.

    Raises:
        PeerClosedError: The peer closed the connection.
        PeerSilentError: The peer did not complete the handshake in time.
        HandshakeError: The peer does not know the secret.
        UnsupportedProtocolError: The peer uses another protocol version.
        MalformedMessageError: The peer sent something that is not a message.
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            return await _answer_handshake(reader, writer, secret, identity)
    except TimeoutError as error:
        _abort(writer)
        raise PeerSilentError("handshake timed out") from error
    except OSError as error:
        _abort(writer)
        raise PeerClosedError(str(error)) from error
    except BaseException:
        _abort(writer)
        raise


async def _start_handshake(reader, writer, secret, identity) -> Link:
    unpacker = wire.Unpacker()
    nonce = secrets.token_bytes(NONCE_BYTES)
    writer.write(wire.pack(messages.Hello(messages.PROTOCOL_VERSION, nonce)))
    challenge, _ = await _receive_first(reader, unpacker, messages.Challenge)
    _check_nonce(challenge.nonce)
    proof = _make_proof(secret, b"connects", nonce, challenge.nonce, identity)
    writer.write(
        wire.pack(
            messages.Proof(
                proof, identity.instance, identity.incarnation, identity.role
            )
        )
    )
    welcome, more = await _receive_first(reader, unpacker, messages.Welcome)
    peer = Identity(welcome.instance, welcome.incarnation, welcome.role)
    _check_proof(
        welcome.proof, _make_proof(secret, b"accepts", nonce, challenge.nonce, peer)
    )
    return Link(reader, writer, unpacker, peer, more)


async def _answer_handshake(reader, writer, secret, identity) -> Link:
    unpacker = wire.Unpacker(MAX_HANDSHAKE_BYTES)
    hello, _ = await _receive_first(reader, unpacker, messages.Hello)
    if hello.protocol != messages.PROTOCOL_VERSION:
        raise UnsupportedProtocolError(f"protocol {hello.protocol}")
    _check_nonce(hello.nonce)
    nonce = secrets.token_bytes(NONCE_BYTES)
    writer.write(wire.pack(messages.Challenge(nonce)))
    received, _ = await _receive_first(reader, unpacker, messages.Proof)
    peer = Identity(received.instance, received.incarnation, received.role)
    _check_proof(
        received.proof, _make_proof(secret, b"connects", hello.nonce, nonce, peer)
    )
    proof = _make_proof(secret, b"accepts", hello.nonce, nonce, identity)
    writer.write(
        wire.pack(
            messages.Welcome(
                proof, identity.instance, identity.incarnation, identity.role
            )
        )
    )
    return Link(reader, writer, wire.Unpacker(), peer)


async def _receive_first(reader, unpacker, message_type):
    """Returns the next message and those read after it.

    Raises:
        HandshakeError: The next message has another type, or is too long.
    """
    size = 0
    while size <= MAX_HANDSHAKE_BYTES:
        data = await reader.read(MAX_HANDSHAKE_BYTES)
        size += len(data)
        if not data:
            raise PeerClosedError("the peer closed the connection in the handshake")
        received = unpacker.feed(data)
        if received and not isinstance(received[0], message_type):
            raise HandshakeError(f"expected {message_type.__name__}")
        if received:
            return received[0], received[1:]
    raise HandshakeError(f"no message in {MAX_HANDSHAKE_BYTES} bytes")


def _make_proof(
    secret, side, connecting_nonce, accepting_nonce, identity: Identity
) -> bytes:
    """Returns the HMAC of the side, both nonces and the identity of the prover.

    The name of the side keeps one side's proof from being replayed as the other's.
    """
    fields = (identity.instance, identity.incarnation, identity.role.value)
    text = "\0".join(fields).encode()
    authenticated = side + connecting_nonce + accepting_nonce + text
    return hmac.digest(secret, authenticated, hashlib.sha256)


def _check_nonce(nonce: bytes) -> None:
    if len(nonce) != NONCE_BYTES:
        raise HandshakeError(f"nonce has {len(nonce)} bytes instead of {NONCE_BYTES}")


def _check_proof(received: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(received, expected):
        raise HandshakeError("the peer does not know the secret")


def _abort(writer) -> None:
    if writer is not None:
        writer.transport.abort()
