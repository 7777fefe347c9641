"""Metrics, sent to statsd and kept in memory for the admin pages."""

import collections
import enum

import msgspec
import statsd

from teaselsill import errors

PREFIX = "teaselsill"


class MetricsAddressError(errors.TeaselsillError):
    """The address of the statsd server cannot be used."""


class Kind(enum.Enum):
    """The statsd type of a metric."""

    COUNT = "count"
    TIMING = "timing"
    GAUGE = "gauge"


class Metric(enum.Enum):
    """Every metric: its name, its kind and its unit.

    Units: counts are in requests, attempts, grants, connections, frames, bytes,
    tokens or violations; timings are in milliseconds on the wire and in seconds in
    this program; gauges are in requests, slots, versions or units of cost.
    """

    REQUESTS_RAN = ("requests.ran", Kind.COUNT, "requests")
    """Requests whose outcome was `ran`."""
    REQUESTS_NOT_RUN = ("requests.not_run", Kind.COUNT, "requests")
    """Requests whose outcome was `not-run`."""
    REQUESTS_UNKNOWN = ("requests.unknown", Kind.COUNT, "requests")
    """Requests whose outcome was `unknown`."""
    REQUESTS_REFUSED = ("requests.refused", Kind.COUNT, "requests")
    """Requests that were answered with a refusal: a part of `requests.not_run`."""
    REQUESTS_CANCELLED = ("requests.cancelled", Kind.COUNT, "requests")
    """Requests whose caller went away."""
    REQUEST_DURATION = ("request.duration", Kind.TIMING, "ms")
    """The time from a request's head to its answer's end."""
    REQUEST_WAIT = ("request.wait", Kind.TIMING, "ms")
    """The time from a request's head to its first dispatch."""
    FIRST_BYTE = ("request.first_byte", Kind.TIMING, "ms")
    """The time from a request's head to the answer's first byte."""
    REQUESTS_WAITING = ("requests.waiting", Kind.GAUGE, "requests")
    """Requests that wait in this router."""
    ATTEMPTS = ("attempts", Kind.COUNT, "attempts")
    """Requests that a router handed to an agent."""
    ATTEMPTS_RETRIED = ("attempts.retried", Kind.COUNT, "attempts")
    """Attempts after the first of a request."""
    ATTEMPTS_RESUMED = ("attempts.resumed", Kind.COUNT, "attempts")
    """Answers that went on over a new connection."""
    GRANTS = ("grants", Kind.COUNT, "grants")
    """Slots that an agent offered."""
    GRANTS_DECLINED = ("grants.declined", Kind.COUNT, "grants")
    """Grants that a router handed back."""
    GRANTS_EXPIRED = ("grants.expired", Kind.COUNT, "grants")
    """Grants that were not answered in time."""
    SLOTS_BUSY = ("slots.busy", Kind.GAUGE, "slots")
    """Slots that run a request."""
    SLOTS_TOTAL = ("slots.total", Kind.GAUGE, "slots")
    """Slots of the agent's upstream."""
    COST_SERVED = ("cost.served", Kind.COUNT, "cost")
    """Cost that an agent charged: weighted tokens, or milliseconds if plain."""
    FAIRNESS_GAP = ("fairness.gap", Kind.GAUGE, "normalised cost")
    """The gap between the backlogged client accounts that an agent knows of."""
    PEERS_CONNECTED = ("peers.connected", Kind.GAUGE, "connections")
    """Connections to peers that are open."""
    PEERS_LOST = ("peers.lost", Kind.COUNT, "connections")
    """Connections to peers that ended without a leave."""
    PEERS_REFUSED = ("peers.refused", Kind.COUNT, "connections")
    """Peers that failed to prove themselves or sent malformed frames."""
    CONTROL_BYTES = ("control.bytes", Kind.COUNT, "bytes")
    """Bytes of coordination sent to peers, without requests and answers."""
    DATA_BYTES = ("data.bytes", Kind.COUNT, "bytes")
    """Bytes of requests and answers sent to peers."""
    CONFIGURATION_VERSION = ("configuration.version", Kind.GAUGE, "version")
    """The version of the configuration that is in force."""
    LOG_FAILURES = ("log.failures", Kind.COUNT, "calls")
    """Calls of the log service that failed."""
    LOG_APPENDS = ("log.appends", Kind.COUNT, "appends")
    """Appends to the log service."""
    CLAIMS_REPEATED = ("claims.repeated", Kind.COUNT, "requests")
    """Requests that did not run since their idempotency key was claimed before."""
    INVARIANT_VIOLATIONS = ("invariants.violated", Kind.COUNT, "violations")
    """Promises that the program found broken or about to be."""

    def __init__(self, label: str, kind: Kind, unit: str):
        self.label = label
        self.kind = kind
        self.unit = unit


class TimingTotal(msgspec.Struct):
    """What is kept of a timing.

    Attributes:
        count: How many times were reported.
        total_s: Their sum, in seconds.
        max_s: The longest, in seconds.
    """

    count: int = 0
    total_s: float = 0.0
    max_s: float = 0.0


class Totals(msgspec.Struct):
    """All metrics since the process started, by their names."""

    count_by_name: dict[str, int]
    gauge_by_name: dict[str, float]
    timing_by_name: dict[str, TimingTotal]


class Metrics:
    """Takes the metrics of one process.

    Args:
        address: The `host:port` of a statsd server; if empty, nothing is sent.
        prefix: The first part of every name on the wire.

    Raises:
        MetricsAddressError: The address is malformed or cannot be resolved.
    """

    def __init__(self, address: str = "", prefix: str = PREFIX):
        self._client = _connect(address, prefix) if address else None
        self._count_by_name: collections.Counter[str] = collections.Counter()
        self._gauge_by_name: dict[str, float] = {}
        self._timing_by_name: dict[str, TimingTotal] = {}

    def count(self, name: Metric, n: int = 1) -> None:
        """Adds to a count."""
        self._count_by_name[name.label] += n
        if self._client is not None:
            self._client.incr(name.label, n)

    def timing(self, name: Metric, seconds: float) -> None:
        """Reports how long something took, in seconds."""
        total = self._timing_by_name.setdefault(name.label, TimingTotal())
        total.count += 1
        total.total_s += seconds
        total.max_s = max(total.max_s, seconds)
        if self._client is not None:
            self._client.timing(name.label, seconds * 1000)

    def gauge(self, name: Metric, value: float) -> None:
        """Sets a gauge."""
        self._gauge_by_name[name.label] = value
        if self._client is not None:
            self._client.gauge(name.label, value)

    def get_count(self, name: Metric) -> int:
        """Returns a count since the process started."""
        return self._count_by_name[name.label]

    def get_totals(self) -> Totals:
        """Returns all metrics since the process started."""
        return Totals(
            dict(self._count_by_name),
            dict(self._gauge_by_name),
            dict(self._timing_by_name),
        )

    def close(self) -> None:
        """Closes the socket."""
        if self._client is not None:
            self._client.close()
            self._client = None


def _connect(address: str, prefix: str) -> statsd.StatsClient:
    host, port = _split_address(address)
    try:
        return statsd.StatsClient(host, port, prefix=prefix, ipv6=":" in host)
    except (OSError, UnicodeError) as error:
        raise MetricsAddressError(f"statsd address {address!r}: {error}") from error


def _split_address(address: str) -> tuple[str, int]:
    host, separator, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    is_port = port.isascii() and port.isdigit() and 0 < int(port) <= 65535
    if not (host and separator and is_port):
        raise MetricsAddressError(f"statsd address {address!r}: expected host:port")
    return host, int(port)
