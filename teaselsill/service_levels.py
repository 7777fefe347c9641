"""Counts requests that met their service-level target, over two sliding windows."""

import array
import collections
import typing

import msgspec

from teaselsill import document, ids, messages

BUCKET_S = 30
"""The length of the time buckets in which requests are counted."""

SHORT_WINDOW_S = 5 * 60
LONG_WINDOW_S = 60 * 60
SHORT_BUCKETS = SHORT_WINDOW_S // BUCKET_S
LONG_BUCKETS = LONG_WINDOW_S // BUCKET_S

MAX_SERIES = 4096
"""The largest number of pairs of client account and service that are kept."""


class Window(msgspec.Struct, frozen=True):
    """The number of requests in one window.

    Attributes:
        good: The requests that met the target.
        total: All requests.
    """

    good: int = 0
    total: int = 0

    @property
    def error_ratio(self) -> float:
        """The ratio of requests that missed the target; 0 if there were none."""
        return (self.total - self.good) / self.total if self.total else 0.0


def sum_windows(windows: typing.Iterable[Window]) -> Window:
    """Returns the sum of several windows."""
    good = total = 0
    for window in windows:
        good += window.good
        total += window.total
    return Window(good, total)


class ServiceLevel(msgspec.Struct, frozen=True):
    """The recent requests of one client account to one service.

    Attributes:
        account: The client account.
        service: The service.
        short: Requests that ended in the last 5 minutes.
        long: Requests that ended in the last hour.
    """

    account: ids.AccountId
    service: ids.ServiceName
    short: Window
    long: Window


class Recorder:
    """Counts the requests of each client account to each service, and the good ones.

    Memory is bounded: each pair has a ring buffer of fixed length, and at most
    `MAX_SERIES` are kept; the least recently used is evicted first.

    Args:
        clock: Returns a monotonic time in seconds.

    Attributes:
        count_by_outcome: The requests that ended since the process started.
    """

    def __init__(self, clock: typing.Callable[[], float]):
        self.count_by_outcome: collections.Counter[messages.Outcome] = (
            collections.Counter()
        )
        self._clock = clock
        self._within_s_by_service: dict[ids.ServiceName, float] = {}
        self._ring_by_pair: dict[tuple[ids.AccountId, ids.ServiceName], _Ring] = {}

    def set_targets(self, configuration: document.Document) -> None:
        """Sets the target times; to be called for each accepted configuration."""
        self._within_s_by_service = {
            name: service.target.within_s
            for name, service in configuration.service_by_name.items()
        }

    def record(
        self,
        account: ids.AccountId,
        service: ids.ServiceName,
        duration_s: float,
        is_success: bool,
        outcome: messages.Outcome,
    ) -> None:
        """Counts one request that has ended.

        A request is good if it ran and met the service's target time, and its response
        was complete and not a server error, whether of the fleet or of the upstream.

        Args:
            account: The client account.
            service: The service.
            duration_s: How long the request took, in seconds.
            is_success: Whether the caller received a complete response with a status
                below 500.
            outcome: Whether the request ran.
        """
        self.count_by_outcome[outcome] += 1
        is_good = (
            is_success
            and outcome is messages.Outcome.RAN
            and duration_s <= self._within_s_by_service.get(service, float("inf"))
        )
        self._get_ring(account, service).add(self._current_bucket(), is_good)

    def snapshot(self) -> list[ServiceLevel]:
        """Returns the counts of each pair of client account and service."""
        now = self._current_bucket()
        return [
            ServiceLevel(
                account,
                service,
                ring.sum(now, SHORT_BUCKETS),
                ring.sum(now, LONG_BUCKETS),
            )
            for (account, service), ring in self._ring_by_pair.items()
        ]

    def _current_bucket(self) -> int:
        return int(self._clock() // BUCKET_S)

    def _get_ring(self, account: ids.AccountId, service: ids.ServiceName) -> "_Ring":
        ring = self._ring_by_pair.pop((account, service), None)
        if ring is None:
            ring = _Ring(self._current_bucket())
            self._evict()
        self._ring_by_pair[account, service] = ring
        return ring

    def _evict(self) -> None:
        while len(self._ring_by_pair) >= MAX_SERIES:
            del self._ring_by_pair[next(iter(self._ring_by_pair))]


class _Ring:
    """A ring buffer with the requests of the last `LONG_BUCKETS` buckets."""

    __slots__ = ("_good", "_newest", "_total")

    def __init__(self, bucket: int):
        self._good = array.array("L", [0]) * LONG_BUCKETS
        self._total = array.array("L", [0]) * LONG_BUCKETS
        self._newest = bucket

    def add(self, bucket: int, is_good: bool) -> None:
        self._advance(bucket)
        self._total[bucket % LONG_BUCKETS] += 1
        self._good[bucket % LONG_BUCKETS] += is_good

    def sum(self, bucket: int, width: int) -> Window:
        self._advance(bucket)
        indexes = [(bucket - age) % LONG_BUCKETS for age in range(width)]
        good = sum(self._good[index] for index in indexes)
        total = sum(self._total[index] for index in indexes)
        return Window(good, total)

    def _advance(self, bucket: int) -> None:
        first = max(self._newest + 1, bucket - LONG_BUCKETS + 1)
        for passed in range(first, bucket + 1):
            self._good[passed % LONG_BUCKETS] = 0
            self._total[passed % LONG_BUCKETS] = 0
        self._newest = max(self._newest, bucket)
