"""The messages that routers and agents exchange over their connections."""

import enum

import msgspec

from teaselsill import ids, instances

PROTOCOL_VERSION = 1
"""Version of this message set; peers with another version are rejected."""


class Outcome(enum.Enum):
    """What is known about whether a request ran at its upstream."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why an agent did not run an attempt, or why a response is incomplete."""

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
    """Base class of the messages, each encoded as an array that starts with its tag."""


class Hello(Message, tag=1):
    """Opens a connection.

    Attributes:
        protocol: The sender's `PROTOCOL_VERSION`.
        nonce: Random bytes that the accepting side's proof must cover.
    """

    protocol: int
    nonce: bytes


class Challenge(Message, tag=2):
    """Answers `Hello` with a nonce only, since the peer is not authenticated yet."""

    nonce: bytes


class Proof(Message, tag=3):
    """Identifies the connecting side and proves that it knows the shared secret."""

    proof: bytes
    instance: ids.InstanceId
    incarnation: ids.Incarnation
    role: instances.Role


class Welcome(Message, tag=4):
    """Identifies the accepting side and proves that it knows the shared secret."""

    proof: bytes
    instance: ids.InstanceId
    incarnation: ids.Incarnation
    role: instances.Role


class Ping(Message, tag=5):
    """Asks the peer for a `Pong` and states the sender's configuration version."""

    version: ids.Version


class Pong(Message, tag=6):
    """Answers `Ping` and states the sender's configuration version."""

    version: ids.Version


class Demand(Message, tag=7):
    """Tells an agent how many requests of a client account wait at a router.

    Attributes:
        account: The client account.
        waiting: The number of waiting requests; 0 withdraws an earlier demand.
        oldest_ms: How long the oldest of them has waited, in milliseconds.
    """

    account: ids.AccountId
    waiting: int
    oldest_ms: int


class Grant(Message, tag=8):
    """Offers a free slot of an agent to a router's oldest request of an account."""

    grant: ids.GrantId
    account: ids.AccountId


class Decline(Message, tag=9):
    """Returns a grant that the router no longer needs."""

    grant: ids.GrantId


class Dispatch(Message, tag=10):
    """Sends a request to an agent that has granted a slot for it.

    Attributes:
        grant: The grant that the request uses.
        attempt: The id of this attempt; each attempt of a request has its own.
        request: The id of the caller's request.
        account: The client account.
        method: The HTTP method.
        path: The HTTP path and query at the upstream.
        headers: The names and values of the headers to forward.
        body: The request body.
        budget_ms: The time left until the caller's deadline, in milliseconds.
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
    """The status and headers of a response; its sequence number is 0."""

    attempt: ids.AttemptId
    status: int
    headers: list[tuple[str, str]]


class Body(Message, tag=12):
    """A chunk of a response's body; sequence numbers start at 1."""

    attempt: ids.AttemptId
    sequence: int
    data: bytes


class End(Message, tag=13):
    """The last frame of a response.

    Attributes:
        attempt: The attempt that ends.
        sequence: The number of frames before this one.
        outcome: What is known about whether the request ran.
        reason: Why the response is incomplete; `NONE` if it is complete.
    """

    attempt: ids.AttemptId
    sequence: int
    outcome: Outcome
    reason: Reason


class NotRun(Message, tag=14):
    """States that this agent incarnation has not run the attempt and never will."""

    attempt: ids.AttemptId
    reason: Reason


class Ack(Message, tag=15):
    """Acknowledges the frames of a response.

    Attributes:
        attempt: The attempt that the response belongs to.
        through: The highest sequence number up to which the router has every frame.
    """

    attempt: ids.AttemptId
    through: int


class Cancel(Message, tag=16):
    """Tells an agent that nobody waits for the response any more.

    The agent may stop a repeatable attempt.
    """

    attempt: ids.AttemptId


class Resume(Message, tag=17):
    """Asks, after a reconnect, for the frames of a response from a sequence number on.

    An agent that has never seen the attempt answers `NotRun`, and does not run the
    attempt if its dispatch arrives later.
    """

    attempt: ids.AttemptId
    sequence: int


class Leaving(Message, tag=18):
    """Tells routers that the agent accepts no new work."""


class Report(Message, tag=19):
    """Tells an agent's parent in the aggregation tree what its subtree has served.

    Attributes:
        sequence: The number of this report on its connection, counted from 1.
        served_by_account: Normalised service since the last report.
        backlogged: The client accounts with waiting requests in this subtree.
        known_by_account: Counters that the sender's children have sent. The first
            report on a connection also contains the sender's own copy.
    """

    sequence: int
    served_by_account: dict[ids.AccountId, int]
    backlogged: list[ids.AccountId]
    known_by_account: dict[ids.AccountId, int]


class Digest(Message, tag=20):
    """Distributes the root's counters down the aggregation tree.

    Attributes:
        counter_by_account: Normalised service of each backlogged client account.
        included: The `sequence` of the receiver's last report that they include.
    """

    counter_by_account: dict[ids.AccountId, int]
    included: int


class DocumentWanted(Message, tag=21):
    """Asks a peer that has a higher configuration version for its document."""


class DocumentHandover(Message, tag=22):
    """Sends the configuration document to a peer that has an older version."""

    version: ids.Version
    document: bytes


DATA_MESSAGE_TYPES = frozenset({"Dispatch", "Head", "Body", "End", "DocumentHandover"})
"""Messages that carry requests, responses and documents; all others are control.

The bytes sent are counted separately for the two kinds.
"""

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
