"""The agent's memory of attempts: none runs twice, none runs after a refusal."""

import collections
import dataclasses
import enum
import itertools
import typing

from teaselsill import errors, ids

NO_FLOOR = -1
"""The floor of a router incarnation of which nothing was forgotten."""


class AttemptError(errors.TeaselsillError):
    """An attempt may not start at this agent."""


class MalformedAttemptError(AttemptError):
    """An attempt id is not of the form `<router incarnation>:<counter>`."""


class AttemptRefusedError(AttemptError):
    """The attempt was refused before; it has not run and must not."""


class AttemptRepeatedError(AttemptError):
    """The attempt was seen before, or is too old to tell; it must not run."""


class State(enum.Enum):
    """What the agent knows of an attempt."""

    RUNNING = "running"
    ENDED = "ended"
    REFUSED = "refused"


@dataclasses.dataclass(slots=True)
class _Router:
    heard_at: float
    floor: int | None
    attempts: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    state: State
    at: float


class Attempts:
    """The attempts that one agent incarnation has seen.

    What may be forgotten, and when:

    - Attempt ids are `<router incarnation>:<counter>`. A forgotten attempt raises its
      router's floor to its counter. At or under the floor nothing runs any more, and
      "not run" is no longer said, since the attempt may be one that ran.
    - A running attempt is never forgotten.
    - A router's floor goes once the agent has heard nothing of that router incarnation
      for the retention time. What could arrive later is a dispatch that was sent
      before the question which made the tombstone, so its grant is older than the
      tombstone, and the agent refuses an expired grant by its own clock. The retention
      time must exceed the expiry of a grant and the life of a silent connection.
    - A router that was frozen may ask about an attempt whose floor is gone. Once any
      floor has been dropped, that of an unknown router incarnation is therefore
      unknown, and nothing that it asks about is called "not run", until it dispatches
      again: an attempt with a valid grant was numbered after all that was forgotten.

    Args:
        limit: How many attempts that do not run are remembered.
        retention_s: How long they are remembered, in seconds.
        clock: Returns monotonic seconds.
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
        """Returns what is known of an attempt, or none if it is not remembered."""
        if attempt in self._running:
            return State.RUNNING
        past = self._past_by_id.get(attempt)
        return past.state if past else None

    def begin(self, attempt: ids.AttemptId) -> None:
        """Marks an attempt as running; call it before anything is sent.

        Call it only for a dispatch whose grant has not expired by the agent's clock.

        Raises:
            AttemptRefusedError: It was refused and "not run" may have been told.
            AttemptRepeatedError: It may have run; "not run" must not be told.
        """
        incarnation, counter = _parse(attempt)
        self._forget_old()
        match self.state_of(attempt):
            case State.REFUSED:
                raise AttemptRefusedError(attempt)
            case State.RUNNING | State.ENDED:
                raise AttemptRepeatedError(attempt)
        router = self._hear(incarnation)
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
            has_run: Whether it may have run; if not, it is refused from now on.
        """
        self._running.remove(attempt)
        self._remember(attempt, State.ENDED if has_run else State.REFUSED)

    def refuse(self, attempt: ids.AttemptId) -> bool:
        """Sees to it that an attempt which was never seen will not run.

        Returns:
            Whether it is certain that the attempt has not run and will not.
        """
        incarnation, counter = _parse(attempt)
        self._forget_old()
        state = self.state_of(attempt)
        if state is not None:
            return state is State.REFUSED
        router = self._hear(incarnation)
        if router.floor is None or counter <= router.floor:
            return False
        router.attempts += 1
        self._remember(attempt, State.REFUSED)
        return True

    def _remember(self, attempt, state):
        self._past_by_id[attempt] = _Attempt(state, self._clock())
        self._forget_old()

    def _hear(self, incarnation):
        router = self._router_by_incarnation.pop(incarnation, None)
        if router is None:
            floor = None if self._has_dropped_router else NO_FLOOR
            router = _Router(self._clock(), floor)
        router.heard_at = self._clock()
        self._router_by_incarnation[incarnation] = router
        return router

    def _forget_old(self):
        oldest_kept = self._clock() - self._retention_s
        self._forget_attempts(oldest_kept)
        self._forget_routers(oldest_kept)

    def _forget_attempts(self, oldest_kept):
        while self._past_by_id:
            attempt, past = next(iter(self._past_by_id.items()))
            if past.at >= oldest_kept and len(self._past_by_id) <= self._limit:
                return
            del self._past_by_id[attempt]
            incarnation, counter = _parse(attempt)
            router = self._router_by_incarnation[incarnation]
            router.attempts -= 1
            router.floor = max(router.floor, counter)

    def _forget_routers(self, oldest_kept):
        silent = itertools.takewhile(
            lambda item: item[1].heard_at < oldest_kept,
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
