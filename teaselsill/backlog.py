"""A router's waiting requests of one service, by client account, oldest first."""

import asyncio
import collections
import dataclasses
import itertools
import time

from teaselsill import errors, ids

INTERVAL_WEIGHT = 0.2
"""The weight of the newest interval in the smoothed interval between dispatches."""
MIN_INTERVAL_SAMPLES = 5
"""How many intervals must be measured before the smoothed interval is used."""
INTERVAL_MAX_AGE_S = 10.0
"""The smoothed interval is not used if the last dispatch is older than this."""


class RefusedError(errors.RequestError):
    """A request is refused and has not run.

    Attributes:
        retry_after_s: After how many seconds the caller may retry.
    """

    def __init__(self, text: str, retry_after_s: float):
        super().__init__(text)
        self.retry_after_s = retry_after_s


class BacklogFullError(RefusedError):
    """Too many requests of the client account wait in this router already."""


class DeadlineHopelessError(RefusedError):
    """At the current rate the request would not be dispatched before its deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request.

    Attributes:
        id: The id that the router assigned to it.
        account: The client account that sent it.
        service: The service that it is for.
        method: The HTTP method.
        path: The path and query at the upstream.
        headers: The names and values of the headers to forward.
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
    """A request that waits for an agent.

    Attributes:
        request: The request.
        queued_at: When it was first queued, on the monotonic clock, in seconds.
        assignment: Set to the agent's peer and the exchange when it is dispatched.
    """

    def __init__(self, request: Request, queued_at: float):
        self.request = request
        self.queued_at = queued_at
        self.assignment: asyncio.Future = asyncio.get_running_loop().create_future()

    @property
    def is_assigned(self) -> bool:
        """Whether the request has been dispatched to an agent."""
        future = self.assignment
        return future.done() and not future.cancelled() and future.exception() is None


@dataclasses.dataclass(slots=True)
class _DispatchRate:
    """Measures the interval between dispatches of a client account's requests."""

    interval_s: float = 0.0
    sample_count: int = 0
    last_dispatch_at: float = 0.0
    others_waited: bool = False

    def record(self, now: float, others_wait: bool) -> None:
        """Records a dispatch.

        Only intervals during which further requests waited are measured, since any
        others depend on how often the caller sends requests.
        """
        if self.others_waited:
            self.sample_count += 1
            change_s = now - self.last_dispatch_at - self.interval_s
            self.interval_s += change_s * max(INTERVAL_WEIGHT, 1 / self.sample_count)
        self.others_waited = others_wait
        self.last_dispatch_at = now


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
        self._rate_by_account: dict[ids.AccountId, _DispatchRate] = {}

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
        """Returns when an account's oldest request was queued, or the current time."""
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
            DeadlineHopelessError: It would not be dispatched before its deadline.
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
        queued = QueuedRequest(request, now)
        self._queue_by_account.setdefault(request.account, collections.deque()).append(
            queued
        )
        return queued

    def requeue(self, queued: QueuedRequest) -> None:
        """Queues a request again at its former place, by the time it first came."""
        queue = self._queue_by_account.setdefault(
            queued.request.account, collections.deque()
        )
        older = itertools.takewhile(
            lambda other: other.queued_at <= queued.queued_at, queue
        )
        queue.insert(sum(1 for _ in older), queued)

    def pop_all(self) -> list[QueuedRequest]:
        """Removes and returns all requests that are still waiting."""
        queues = list(self._queue_by_account.values())
        self._queue_by_account.clear()
        return [w for queue in queues for w in queue if not w.assignment.done()]

    def pop(self, account: ids.AccountId) -> QueuedRequest | None:
        """Removes and returns a client account's oldest request that still waits."""
        queue = self._queue_by_account.get(account, ())
        while queue and queue[0].assignment.done():
            queue.popleft()
        if not queue:
            self._queue_by_account.pop(account, None)
            return None
        queued = queue.popleft()
        rate = self._rate_by_account.setdefault(account, _DispatchRate())
        rate.record(self._clock(), others_wait=bool(queue))
        self._drop_if_empty(account)
        return queued

    def remove(self, queued: QueuedRequest) -> None:
        """Removes a request that no longer waits, if it is still queued."""
        account = queued.request.account
        queue = self._queue_by_account.get(account)
        if queue and queued in queue:
            queue.remove(queued)
            self._drop_if_empty(account)

    def expected_wait_s(self, account: ids.AccountId) -> float:
        """Returns how long a new request would wait at the current rate, in seconds."""
        rate = self._rate_by_account.get(account)
        if rate is None or rate.sample_count < MIN_INTERVAL_SAMPLES:
            return 0.0
        if self._clock() - rate.last_dispatch_at > INTERVAL_MAX_AGE_S:
            return 0.0
        return self.count(account) * rate.interval_s

    def _drop_if_empty(self, account: ids.AccountId) -> None:
        if not self._queue_by_account[account]:
            del self._queue_by_account[account]
