"""A router's waiting requests of one service, by client account, oldest first."""

import asyncio
import collections
import dataclasses
import itertools
import time

from teaselsill import errors, ids

PACE_WEIGHT = 0.2
"""The weight of the newest interval in the smoothed pace of dispatches."""
PACE_SAMPLES = 5
"""How many dispatches must have been seen before the pace is believed."""
PACE_STALE_S = 10.0
"""After this long without a dispatch the old pace says nothing."""


class RefusedError(errors.RequestError):
    """A request is refused before it has run.

    Attributes:
        retry_after_s: When the caller may come back, in seconds.
    """

    def __init__(self, text: str, retry_after_s: float):
        super().__init__(text)
        self.retry_after_s = retry_after_s


class BacklogFullError(RefusedError):
    """Too many requests of the client account wait in this router."""


class DeadlineHopelessError(RefusedError):
    """At the present pace the request would not get its turn before its deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request as the router holds it.

    Attributes:
        id: The id that the router gave it.
        account: The client account that sent it.
        service: The service that it is for.
        method: The HTTP method.
        path: The path and query at the upstream.
        headers: The header names and values to pass on.
        body: The body.
        deadline: When the caller stops waiting, on the monotonic clock, in seconds.
        repeatable: Whether it may run more than once.
        key: The caller's idempotency key, or empty.
    """

    id: ids.RequestId
    account: ids.AccountId
    service: ids.ServiceName
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline: float
    repeatable: bool
    key: str


class QueuedRequest:
    """One request that waits for its turn.

    Attributes:
        request: The request.
        queued_at: When it came, on the monotonic clock, in seconds.
        assignment: Set to the exchange with an agent when its turn comes.
    """

    def __init__(self, request: Request, queued_at: float):
        self.request = request
        self.queued_at = queued_at
        self.assignment: asyncio.Future = asyncio.get_running_loop().create_future()

    @property
    def is_assigned(self) -> bool:
        """Whether an agent has the request."""
        future = self.assignment
        return future.done() and not future.cancelled() and future.exception() is None


@dataclasses.dataclass(slots=True)
class _Pace:
    """How fast the requests of a client account get their turn."""

    interval_s: float = 0.0
    samples: int = 0
    last_at: float = 0.0
    others_waited: bool = False

    def note(self, now: float, others_wait: bool) -> None:
        """Notes a dispatch; only the intervals while others waited tell the pace."""
        if self.others_waited:
            self.samples += 1
            change_s = now - self.last_at - self.interval_s
            self.interval_s += change_s * max(PACE_WEIGHT, 1 / self.samples)
        self.others_waited = others_wait
        self.last_at = now


class Backlog:
    """The waiting requests of one service.

    Args:
        clock: Returns monotonic seconds.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._queue_by_account: dict[
            ids.AccountId, collections.deque[QueuedRequest]
        ] = {}
        self._pace_by_account: dict[ids.AccountId, _Pace] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queue_by_account.values())

    @property
    def accounts(self) -> list[ids.AccountId]:
        """The client accounts that have waiting requests."""
        return list(self._queue_by_account)

    def count(self, account: ids.AccountId) -> int:
        """Returns how many requests of a client account wait."""
        return len(self._queue_by_account.get(account, ()))

    def oldest_queued_at(self, account: ids.AccountId) -> float:
        """Returns since when the oldest request of a client account waits."""
        queue = self._queue_by_account.get(account)
        return queue[0].queued_at if queue else self._clock()

    def oldest_wait_s(self) -> float:
        """Returns how long the oldest request of all has waited, in seconds."""
        oldest = [queue[0].queued_at for queue in self._queue_by_account.values()]
        return self._clock() - min(oldest) if oldest else 0.0

    def add(self, request: Request, max_waiting: int) -> QueuedRequest:
        """Queues a new request.

        Raises:
            BacklogFullError: The client account has too many waiting requests.
            DeadlineHopelessError: It could not get its turn in time.
        """
        now = self._clock()
        waiting_count = self.count(request.account)
        expected_s = self.expected_wait_s(request.account)
        if waiting_count >= max_waiting:
            raise BacklogFullError(
                f"{waiting_count} requests of {request.account} wait already",
                max(1.0, expected_s),
            )
        if now + expected_s > request.deadline:
            excess_s = now + expected_s - request.deadline
            raise DeadlineHopelessError(
                f"the expected wait is {expected_s:.1f} s", max(1.0, excess_s)
            )
        waiting = QueuedRequest(request, now)
        self._queue_by_account.setdefault(request.account, collections.deque()).append(
            waiting
        )
        return waiting

    def requeue(self, waiting: QueuedRequest) -> None:
        """Queues a request again at its old place; it keeps its age."""
        queue = self._queue_by_account.setdefault(
            waiting.request.account, collections.deque()
        )
        older = itertools.takewhile(
            lambda other: other.queued_at <= waiting.queued_at, queue
        )
        queue.insert(sum(1 for _ in older), waiting)

    def pop_all(self) -> list[QueuedRequest]:
        """Removes and returns all requests that still want their turn."""
        queues = list(self._queue_by_account.values())
        self._queue_by_account.clear()
        return [w for queue in queues for w in queue if not w.assignment.done()]

    def pop(self, account: ids.AccountId) -> QueuedRequest | None:
        """Removes and returns the oldest request that still wants its turn."""
        queue = self._queue_by_account.get(account, ())
        while queue and queue[0].assignment.done():
            queue.popleft()
        if not queue:
            self._queue_by_account.pop(account, None)
            return None
        waiting = queue.popleft()
        pace = self._pace_by_account.setdefault(account, _Pace())
        pace.note(self._clock(), others_wait=bool(queue))
        self._drop_if_empty(account)
        return waiting

    def remove(self, waiting: QueuedRequest) -> None:
        """Removes a request that will not wait any longer."""
        account = waiting.request.account
        queue = self._queue_by_account.get(account)
        if queue and waiting in queue:
            queue.remove(waiting)
            self._drop_if_empty(account)

    def expected_wait_s(self, account: ids.AccountId) -> float:
        """Returns how long a new request would wait at the present pace, in seconds."""
        pace = self._pace_by_account.get(account)
        if pace is None or pace.samples < PACE_SAMPLES:
            return 0.0
        if self._clock() - pace.last_at > PACE_STALE_S:
            return 0.0
        return self.count(account) * pace.interval_s

    def _drop_if_empty(self, account: ids.AccountId) -> None:
        if not self._queue_by_account[account]:
            del self._queue_by_account[account]
