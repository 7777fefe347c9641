"""Remembers attempts, so that none runs twice and none runs after a refusal."""

import collections
import dataclasses
import enum
import itertools
import typing

from teaselsill import errors, ids

NO_FLOOR = -1
"""The floor of a router incarnation without forgotten attempts."""


class AttemptError(errors.TeaselsillError):
    """An attempt must not start at this agent."""


class MalformedAttemptError(AttemptError):
    """An attempt id is not of the form `<router incarnation>:<counter>`."""


class AttemptRefusedError(AttemptError):
    """The attempt was refused before; it has not run and must not run."""


class AttemptRepeatedError(AttemptError):
    """The attempt was seen before, or is too old to be sure; it must not run."""


class State(enum.Enum):
    """The state of a remembered attempt."""

    RUNNING = "running"
    ENDED = "ended"
    REFUSED = "refused"


@dataclasses.dataclass(slots=True)
class _Router:
    """The state of one router incarnation.

    Attributes:
        last_received_at: When an attempt of this router was last seen.
        floor: The counter at or below which no attempt runs, or none if unknown.
        attempts: The number of remembered attempts.
    """

    last_received_at: float
    floor: int | None
    attempts: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    state: State
    ended_at: float


class Attempts:
    """The attempts that one agent incarnation has seen.

    The rules for forgetting:

    - Attempt ids are `<router incarnation>:<counter>`. Forgetting an attempt raises
      its router's floor to the attempt's counter. Attempts at or below the floor
      neither run nor are reported as "not run", since they may have run.
    - A running attempt is never forgotten.
    - A router's floor is dropped once nothing was received from that router
      incarnation for the retention time. Only a dispatch sent before the `Resume`
      that caused a refusal can arrive later. Its grant is older than the refusal, and
      the agent rejects expired grants by its own clock. The retention time must exceed
      the lifetime of a grant and the timeout of a silent connection.
    - A router that was interrupted may ask about an attempt whose floor is dropped.
      Therefore, once any floor was dropped, the floor of an unknown router incarnation
      is unknown. Nothing that it asks about is reported as "not run" until it
      dispatches again: an attempt with a valid grant has a higher counter than any
      that was forgotten.

    Args:
        limit: The maximum number of remembered attempts that do not run.
        retention_s: How long they are remembered, in seconds.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self, limit: int, retention_s: float, clock: typing.Callable[[], float]
    ):
        self._limit = limit
        self._retention_s = retention_s
        self._clock = clock
        self._running: set[ids.AttemptId] = set()
        self._past_by_id: collections.OrderedDict[ids.AttemptId, _Attempt] = (
            collections.OrderedDict()
        )
        self._router_by_incarnation: collections.OrderedDict[
            ids.Incarnation, _Router
        ] = collections.OrderedDict()
        self._has_dropped_router = False

    def __len__(self):
        return len(self._running) + len(self._past_by_id)

    def state_of(self, attempt: ids.AttemptId) -> State | None:
        """Returns the state of an attempt, or none if it is not remembered."""
        if attempt in self._running:
            return State.RUNNING
        past = self._past_by_id.get(attempt)
        return past.state if past else None

    def begin(self, attempt: ids.AttemptId) -> None:
        """Marks an attempt as running; must be called before anything is sent.

        The grant of the dispatch must not have expired by the agent's clock.

        Raises:
            AttemptRefusedError: It was refused and may have been reported as not run.
            AttemptRepeatedError: It may have run and must not be reported as not run.
        """
        incarnation, counter = _parse(attempt)
        self._forget_old()
        match self.state_of(attempt):
            case State.REFUSED:
                raise AttemptRefusedError(attempt)
            case State.RUNNING | State.ENDED:
                raise AttemptRepeatedError(attempt)
        router = self._find_router(incarnation)
        if router.floor is None:
            router.floor = counter - 1
        if counter <= router.floor:
            raise AttemptRepeatedError(attempt)
        router.attempts += 1
        self._running.add(attempt)

    def end(self, attempt: ids.AttemptId, has_run: bool = True) -> None:
        """Marks a running attempt as ended.

        Args:
            attempt: The attempt.
            has_run: Whether it may have run; if not, it is refused from then on.
        """
        self._running.remove(attempt)
        self._remember(attempt, State.ENDED if has_run else State.REFUSED)

    def refuse(self, attempt: ids.AttemptId) -> bool:
        """Refuses an attempt, so that it will not run if it was never seen.

        Returns:
            Whether it is certain that the attempt has not run and will not.
        """
        incarnation, counter = _parse(attempt)
        self._forget_old()
        state = self.state_of(attempt)
        if state is not None:
            return state is State.REFUSED
        router = self._find_router(incarnation)
        if router.floor is None or counter <= router.floor:
            return False
        router.attempts += 1
        self._remember(attempt, State.REFUSED)
        return True

    def _remember(self, attempt, state):
        self._past_by_id[attempt] = _Attempt(state, self._clock())
        self._forget_old()

    def _find_router(self, incarnation):
        router = self._router_by_incarnation.pop(incarnation, None)
        if router is None:
            floor = None if self._has_dropped_router else NO_FLOOR
            router = _Router(self._clock(), floor)
        router.last_received_at = self._clock()
        self._router_by_incarnation[incarnation] = router
        return router

    def _forget_old(self):
        oldest_kept = self._clock() - self._retention_s
        self._forget_attempts(oldest_kept)
        self._forget_routers(oldest_kept)

    def _forget_attempts(self, oldest_kept):
        while self._past_by_id:
            attempt, past = next(iter(self._past_by_id.items()))
            if past.ended_at >= oldest_kept and len(self._past_by_id) <= self._limit:
                return
            del self._past_by_id[attempt]
            incarnation, counter = _parse(attempt)
            router = self._router_by_incarnation[incarnation]
            router.attempts -= 1
            router.floor = max(router.floor, counter)

    def _forget_routers(self, oldest_kept):
        silent = itertools.takewhile(
            lambda item: item[1].last_received_at < oldest_kept,
            self._router_by_incarnation.items(),
        )
        for incarnation, router in list(silent):
            if not router.attempts:
                del self._router_by_incarnation[incarnation]
                self._has_dropped_router = True


def _parse(attempt):
    incarnation, _, counter = attempt.rpartition(":")
    if not incarnation or not (counter.isascii() and counter.isdigit()):
        raise MalformedAttemptError(attempt)
    return ids.Incarnation(incarnation), int(counter)
