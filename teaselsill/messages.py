"""The typed messages that the fleet's processes send each other."""

import enum

import msgspec

from teaselsill import ids, instances

PROTOCOL_VERSION = 1
"""The version of this set of messages; peers of another version are refused."""


class Outcome(enum.Enum):
    """What is known of a request's run at its upstream."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why an agent did not run an attempt, or why an answer ended early."""

    NONE = ""
    GRANT_EXPIRED = "grant-expired"
    LEAVING = "leaving"
    NEVER_SEEN = "never-seen"
    OLD_CONFIGURATION = "old-configuration"
    NOT_ALLOWED = "not-allowed"
    DEADLINE = "deadline"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    UPSTREAM_FAILED = "upstream-failed"
    STREAM_STALLED = "stream-stalled"
    LOG_UNAVAILABLE = "log-unavailable"
    KEY_RAN = "key-ran"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_REUSED = "key-reused"
    ANSWER_DROPPED = "answer-dropped"
    CANCELLED = "cancelled"


class Message(msgspec.Struct, frozen=True, array_like=True):
    """The base of all messages: packed as an array that starts with the tag."""


class Hello(Message, tag=1):
    """Opens a connection.

    Attributes:
        protocol: The sender's `PROTOCOL_VERSION`.
        nonce: Random bytes that the other side's proof must cover.
    """

    protocol: int
    nonce: bytes


class Challenge(Message, tag=2):
    """Answers `Hello`; tells nothing but random bytes."""

    nonce: bytes


class Proof(Message, tag=3):
    """Proves the connecting side's knowledge of the shared secret and names it."""

    proof: bytes
    instance: ids.InstanceId
    incarnation: ids.Incarnation
    role: instances.Role


class Welcome(Message, tag=4):
    """Proves the accepting side's knowledge of the shared secret and names it."""

    proof: bytes
    instance: ids.InstanceId
    incarnation: ids.Incarnation
    role: instances.Role


class Ping(Message, tag=5):
    """Asks for a sign of life and tells the sender's configuration version."""

    version: ids.Version


class Pong(Message, tag=6):
    """Answers `Ping`."""

    version: ids.Version


class Demand(Message, tag=7):
    """A router tells how many requests of a client account wait; 0 takes it back.

    Attributes:
        account: The client account.
        waiting: The number of waiting requests.
        oldest_ms: How long the oldest of them has waited, in milliseconds.
    """

    account: ids.AccountId
    waiting: int
    oldest_ms: int


class Grant(Message, tag=8):
    """An agent offers a free slot to the oldest request of a client account."""

    grant: ids.GrantId
    account: ids.AccountId


class Decline(Message, tag=9):
    """A router returns a grant that it has no more use for."""

    grant: ids.GrantId


class Dispatch(Message, tag=10):
    """A router hands over a request for a granted slot.

    Attributes:
        grant: The slot that was offered.
        attempt: The id of this hand-over, new for each one.
        request: The id of the caller's request.
        account: The client account.
        method: The HTTP method.
        path: The HTTP path and query at the upstream.
        headers: The header names and values to pass on.
        body: The request body.
        budget_ms: The time that is left until the caller's deadline.
        repeatable: Whether the request may run more than once.
        key: The caller's idempotency key, or empty.
        version: The router's configuration version.
    """

    grant: ids.GrantId
    attempt: ids.AttemptId
    request: ids.RequestId
    account: ids.AccountId
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    budget_ms: int
    repeatable: bool
    key: str
    version: ids.Version


class Head(Message, tag=11):
    """The start of an answer: sequence number 0."""

    attempt: ids.AttemptId
    status: int
    headers: list[tuple[str, str]]


class Body(Message, tag=12):
    """A piece of an answer's body: sequence numbers from 1."""

    attempt: ids.AttemptId
    sequence: int
    data: bytes


class End(Message, tag=13):
    """The end of an answer; its sequence number counts the frames before it.

    Attributes:
        attempt: The attempt that ends.
        sequence: One more than the sequence number of the last piece.
        outcome: What is known of the run.
        reason: Why the answer is not whole; `NONE` if it is.
    """

    attempt: ids.AttemptId
    sequence: int
    outcome: Outcome
    reason: Reason


class NotRun(Message, tag=14):
    """The attempt has not run at this agent incarnation and never will."""

    attempt: ids.AttemptId
    reason: Reason


class Ack(Message, tag=15):
    """The router has every frame of an answer up to and with a sequence number."""

    attempt: ids.AttemptId
    through: int


class Cancel(Message, tag=16):
    """The caller has gone; a repeatable attempt may stop."""

    attempt: ids.AttemptId


class Resume(Message, tag=17):
    """After a lost connection: send the answer from a sequence number on.

    An agent that has never seen the attempt answers `NotRun` and keeps its word.
    """

    attempt: ids.AttemptId
    sequence: int


class Leaving(Message, tag=18):
    """The agent takes no new work."""


class Report(Message, tag=19):
    """An agent tells its parent in the digest tree what it served.

    Attributes:
        sequence: Counts the reports on this connection, from 1.
        served_by_account: Normalised service since the last report.
        backlogged: The client accounts with waiting work in this subtree.
        known_by_account: The counters that the sender holds, in its first report.
    """

    sequence: int
    served_by_account: dict[ids.AccountId, int]
    backlogged: list[ids.AccountId]
    known_by_account: dict[ids.AccountId, int]


class Digest(Message, tag=20):
    """The root's counters on their way down the digest tree.

    Attributes:
        counter_by_account: Normalised service of each backlogged client account.
        included: The last `Report.sequence` of the receiver that they include.
    """

    counter_by_account: dict[ids.AccountId, int]
    included: int


class DocumentWanted(Message, tag=21):
    """Asks a peer with a higher version for its configuration."""


class DocumentHandover(Message, tag=22):
    """Hands a configuration over to a peer that has an older one."""

    version: ids.Version
    document: bytes


DATA_MESSAGE_TYPES = frozenset({"Dispatch", "Head", "Body", "End", "DocumentHandover"})
"""The messages that carry requests, answers and documents; the others coordinate."""

AnyMessage = (
    Hello
    | Challenge
    | Proof
    | Welcome
    | Ping
    | Pong
    | Demand
    | Grant
    | Decline
    | Dispatch
    | Head
    | Body
    | End
    | NotRun
    | Ack
    | Cancel
    | Resume
    | Leaving
    | Report
    | Digest
    | DocumentWanted
    | DocumentHandover
)
