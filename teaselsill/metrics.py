"""Metrics of a process: sent to statsd, with totals in memory for the admin port."""

import collections
import enum

import msgspec
import statsd

from teaselsill import errors

PREFIX = "teaselsill"


class MetricsAddressError(errors.TeaselsillError):
    """The address of the statsd server is malformed or cannot be resolved."""


class Kind(enum.Enum):
    """The statsd type of a metric."""

    COUNT = "count"
    TIMING = "timing"
    GAUGE = "gauge"


class Metric(enum.Enum):
    """Every metric that routers and agents report.

    Timings are sent to statsd in milliseconds; in this program they are in seconds.

    Attributes:
        label: The name, without the prefix.
        kind: The statsd type.
        unit: The unit of the values that are sent to statsd.
    """

    REQUESTS_RAN = ("requests.ran", Kind.COUNT, "requests")
    """Requests that ended with the outcome `ran`."""
    REQUESTS_NOT_RUN = ("requests.not_run", Kind.COUNT, "requests")
    """Requests that ended with the outcome `not-run`."""
    REQUESTS_UNKNOWN = ("requests.unknown", Kind.COUNT, "requests")
    """Requests that ended with the outcome `unknown`."""
    REQUESTS_REFUSED = ("requests.refused", Kind.COUNT, "requests")
    """Requests that a router refused; they count in `requests.not_run` too."""
    REQUESTS_CANCELLED = ("requests.cancelled", Kind.COUNT, "requests")
    """Requests whose caller disconnected."""
    HEADS_REFUSED = ("heads.refused", Kind.COUNT, "requests")
    """Requests that were malformed, or had too large a head or trailers."""
    MEMORY_REFUSED = ("memory.refused", Kind.COUNT, "requests")
    """Requests and responses that were given up to stay within the memory."""
    CONNECTIONS_REFUSED = ("connections.refused", Kind.COUNT, "connections")
    """HTTP connections that were closed because there were too many."""
    CONNECTIONS_EXPIRED = ("connections.expired", Kind.COUNT, "connections")
    """HTTP connections that were closed because their client did nothing for long."""
    REQUEST_DURATION = ("request.duration", Kind.TIMING, "ms")
    """The time from a request's head to the end of its response."""
    REQUEST_WAIT = ("request.wait", Kind.TIMING, "ms")
    """The time from queuing a request, once its body is read, to its first dispatch."""
    FIRST_BYTE = ("request.first_byte", Kind.TIMING, "ms")
    """The time from a request's head to the first byte of its response."""
    REQUESTS_WAITING = ("requests.waiting", Kind.GAUGE, "requests")
    """Requests queued in this router."""
    ATTEMPTS = ("attempts", Kind.COUNT, "attempts")
    """Requests that a router dispatched to an agent, each retry counted again."""
    ATTEMPTS_RETRIED = ("attempts.retried", Kind.COUNT, "attempts")
    """Attempts that were retries, so not the first of their request."""
    ATTEMPTS_RESUMED = ("attempts.resumed", Kind.COUNT, "attempts")
    """Responses that were resumed over a new connection to the agent."""
    GRANTS = ("grants", Kind.COUNT, "grants")
    """Slots that an agent granted to routers."""
    GRANTS_DECLINED = ("grants.declined", Kind.COUNT, "grants")
    """Grants that a router declined."""
    GRANTS_EXPIRED = ("grants.expired", Kind.COUNT, "grants")
    """Grants that a router neither used nor declined in time."""
    SLOTS_BUSY = ("slots.busy", Kind.GAUGE, "slots")
    """Slots in which a request runs."""
    SLOTS_TOTAL = ("slots.total", Kind.GAUGE, "slots")
    """Slots of the agent's upstream."""
    COST_SERVED = ("cost.served", Kind.COUNT, "cost")
    """Cost that an agent charged: weighted tokens; milliseconds for plain services."""
    FAIRNESS_GAP = ("fairness.gap", Kind.GAUGE, "normalised cost")
    """The fairness gap between the backlogged client accounts that an agent knows."""
    PEERS_CONNECTED = ("peers.connected", Kind.GAUGE, "connections")
    """Open connections to peers."""
    PEERS_LOST = ("peers.lost", Kind.COUNT, "connections")
    """Connections lost to peers that had not sent the message `Leaving`."""
    PEERS_REFUSED = ("peers.refused", Kind.COUNT, "connections")
    """Peers that failed authentication or sent malformed frames."""
    CONTROL_BYTES = ("control.bytes", Kind.COUNT, "bytes")
    """Bytes of all other messages sent to peers; see `data.bytes`."""
    DATA_BYTES = ("data.bytes", Kind.COUNT, "bytes")
    """Bytes of requests, responses and configuration documents sent to peers."""
    CONFIGURATION_VERSION = ("configuration.version", Kind.GAUGE, "version")
    """The version of the configuration in force."""
    LOG_FAILURES = ("log.failures", Kind.COUNT, "calls")
    """Failed calls to the log service."""
    LOG_APPENDS = ("log.appends", Kind.COUNT, "appends")
    """Appends to the log service."""
    CLAIMS_REPEATED = ("claims.repeated", Kind.COUNT, "requests")
    """Requests that did not run because their idempotency key was already claimed."""
    INVARIANT_VIOLATIONS = ("invariants.violated", Kind.COUNT, "violations")
    """Violations of the program's invariants, found before or after the fact."""

    def __init__(self, label: str, kind: Kind, unit: str):
        self.label = label
        self.kind = kind
        self.unit = unit


class TimingTotal(msgspec.Struct):
    """The totals of a timing.

    Attributes:
        count: The number of durations reported.
        total_s: Their sum, in seconds.
        max_s: The longest duration, in seconds.
    """

    count: int = 0
    total_s: float = 0.0
    max_s: float = 0.0


class Totals(msgspec.Struct):
    """All metrics since the process started, by name without the prefix."""

    count_by_name: dict[str, int]
    gauge_by_name: dict[str, float]
    timing_by_name: dict[str, TimingTotal]


class Metrics:
    """Records the metrics of one process and sends them to a statsd server.

    Args:
        address: The `host:port` of a statsd server; if empty, nothing is sent.
        prefix: The first part of every name that is sent to statsd.

    Raises:
        MetricsAddressError: The address is malformed or cannot be resolved.
    """

    def __init__(self, address: str = "", prefix: str = PREFIX):
        self._client = _connect(address, prefix) if address else None
        self._count_by_name: collections.Counter[str] = collections.Counter()
        self._gauge_by_name: dict[str, float] = {}
        self._timing_by_name: dict[str, TimingTotal] = {}

    def count(self, metric: Metric, n: int = 1) -> None:
        """Adds to a count."""
        self._count_by_name[metric.label] += n
        if self._client is not None:
            self._client.incr(metric.label, n)

    def timing(self, metric: Metric, seconds: float) -> None:
        """Adds a duration, in seconds, to a timing."""
        total = self._timing_by_name.setdefault(metric.label, TimingTotal())
        total.count += 1
        total.total_s += seconds
        total.max_s = max(total.max_s, seconds)
        if self._client is not None:
            self._client.timing(metric.label, seconds * 1000)

    def gauge(self, metric: Metric, value: float) -> None:
        """Sets a gauge."""
        self._gauge_by_name[metric.label] = value
        if self._client is not None:
            self._client.gauge(metric.label, value)

    def get_count(self, metric: Metric) -> int:
        """Returns a count since the process started."""
        return self._count_by_name[metric.label]

    def get_totals(self) -> Totals:
        """Returns all metrics since the process started."""
        return Totals(
            dict(self._count_by_name),
            dict(self._gauge_by_name),
            dict(self._timing_by_name),
        )

    def close(self) -> None:
        """Closes the statsd socket; totals are still kept."""
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
