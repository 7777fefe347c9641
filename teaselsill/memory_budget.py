"""Bounds the bytes that a process holds for its clients, in sum.

It counts heads, bodies, responses that their callers have not read yet, requests that
were passed on and what upstreams send. While the budget is nearly spent, reading from
those that hold much pauses. If that does not help, those that hold most for each
request that they have completed are refused; never a request that has been passed on
to an upstream.
"""

import abc
import collections.abc
import dataclasses
import math

MB = 1024 * 1024
PROCESS_BYTES = 48 * MB
"""What a process needs itself, without its clients."""
USABLE_RATIO = 0.6
"""The part of the remaining memory that is given out; the rest is lost to gaps."""
MIN_LIMIT_BYTES = 16 * MB
"""The limit is not lower than this, however little memory there is."""
DEFAULT_LIMIT_BYTES = 256 * MB
"""The limit if the settings name no memory."""
FREE_BYTES = 128 * 1024
"""What a connection may hold without a pause: more than an ordinary request."""
PAUSE_RATIO = 0.5
"""Reading pauses while this part of the limit is held, or more."""
MEASURED_RATIO = 0.25
"""Above this part, all that is held is measured again and again."""
RESUME_RATIO = 0.4
"""Reading goes on below this part."""
LARGE_RATIO = 0.75
"""Requests that hold more than `FREE_BYTES` are passed on up to this part."""
REFUSED_RATIO = 0.9
"""When the limit is exceeded, connections are refused down to this part."""
SMALL_RATIO = 0.95
"""Other requests are passed on up to this part."""
STUCK_S = 2.0
"""Peers that have taken nothing for so long are given up if nothing else helps."""
MIN_REFUSED_BYTES = 4 * 1024
"""Connections that hold less are never refused: it would free nothing."""
MAX_PAUSE_S = 0.5
"""How long reading is paused before connections are refused."""


class Owner(abc.ABC):
    """What the budget tells the owner of a holding."""

    @abc.abstractmethod
    def pause_for_budget(self) -> None:
        """Stops reading from the client."""

    @abc.abstractmethod
    def resume_for_budget(self) -> None:
        """Reads from the client again."""

    @abc.abstractmethod
    def refuse_for_budget(self) -> None:
        """Refuses what has been received, drops it at once and closes the connection.

        A refusal tells the client that nothing has run.
        """

    @abc.abstractmethod
    def measure_for_budget(self) -> int:
        """Returns the bytes that are held now."""

    def abort_for_budget(self) -> None:
        """Closes the connection at once; a response on it does not look complete."""

    def count_untaken(self) -> int:
        """Returns how many written bytes the peer has not taken yet."""
        return 0


@dataclasses.dataclass(slots=True, eq=False)
class Holding:
    """What one connection holds.

    Attributes:
        held_bytes: How much it holds.
        client: The client account; empty while it is unknown.
        completed: How many requests it has completed.
        is_passed_on: Whether a request of it has been passed on to an upstream, or it
            is a connection to an upstream.
        is_paused: Whether reading from it is paused.
        free_bytes: What it may hold without being paused.
        may_be_given_up: Whether it is closed if its peer takes nothing for long; not so
            a connection to an upstream.
        paused_since: When it was first seen paused, in seconds.
        untaken_bytes: What its peer had not taken when it was last measured.
        stuck_since: Since when its peer has taken nothing, in seconds.
    """

    budget: "MemoryBudget"
    owner: Owner
    held_bytes: int = 0
    client: str = ""
    completed: int = 0
    is_passed_on: bool = False
    is_paused: bool = False
    free_bytes: int = FREE_BYTES
    may_be_given_up: bool = True
    paused_since: float = math.inf
    untaken_bytes: int = 0
    stuck_since: float = math.inf

    def update(self, held_bytes: int) -> None:
        """Sets what the connection holds, in bytes."""
        self.budget.change(self, held_bytes)

    def close(self) -> None:
        """Ends the holding; later updates have no effect."""
        self.budget.remove(self)


def choose_refused(
    holdings: collections.abc.Iterable[Holding], excess_bytes: int, min_bytes: int = 1
) -> list[Holding]:
    """Returns the holdings to refuse so that an excess is freed, in order.

    The client account that holds most goes first, and of its connections those that
    hold most for each request that they have completed. What has been passed on stays.

    Args:
        holdings: All holdings.
        excess_bytes: How much to free.
        min_bytes: Smaller holdings stay.
    """
    by_client: dict[str, list[Holding]] = {}
    for each in holdings:
        if not each.is_passed_on and each.held_bytes >= min_bytes:
            by_client.setdefault(each.client, []).append(each)
    for eligible in by_client.values():
        eligible.sort(key=lambda each: each.held_bytes / (1 + each.completed))
    sums = {
        client: sum(each.held_bytes for each in eligible)
        for client, eligible in by_client.items()
    }
    chosen = []
    while sums and excess_bytes > 0:
        client = max(sums, key=sums.__getitem__)
        worst = by_client[client].pop()
        sums[client] -= worst.held_bytes
        if not by_client[client]:
            del sums[client]
        excess_bytes -= worst.held_bytes
        chosen.append(worst)
    return chosen


def find_limit_bytes(memory_mb: float | None) -> int:
    """Returns the limit for a machine's memory in MB, or the default for None."""
    if memory_mb is None:
        return DEFAULT_LIMIT_BYTES
    usable_bytes = USABLE_RATIO * (memory_mb * MB - PROCESS_BYTES)
    return max(MIN_LIMIT_BYTES, int(usable_bytes))


class MemoryBudget:
    """The budget of one process.

    Args:
        limit_bytes: The limit; see `find_limit_bytes`.
        on_refused: Called for each refusal.

    Attributes:
        held_bytes: The sum of all holdings.
        limit_bytes: The limit.
        on_refused: Called for each refusal.
    """

    def __init__(
        self,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
        on_refused: collections.abc.Callable[[], None] = lambda: None,
    ):
        self.held_bytes = 0
        self.limit_bytes = limit_bytes
        self.on_refused = on_refused
        self._holdings: set[Holding] = set()
        self._is_pausing = False
        self._exempt: Holding | None = None

    @property
    def holding_count(self) -> int:
        """The number of holdings."""
        return len(self._holdings)

    @property
    def is_pausing(self) -> bool:
        """Whether reading from those that hold much is paused."""
        return self._is_pausing

    def open(self, owner: Owner) -> Holding:
        """Returns a new holding of nothing."""
        holding = Holding(self, owner)
        self._holdings.add(holding)
        return holding

    def remove(self, holding: Holding) -> None:
        """Ends a holding."""
        self._holdings.discard(holding)
        self.held_bytes -= holding.held_bytes
        holding.held_bytes = 0

    def change(self, holding: Holding, held_bytes: int) -> None:
        """Sets what a connection holds; frees others if the limit is exceeded."""
        if holding not in self._holdings:
            return
        self.held_bytes += held_bytes - holding.held_bytes
        holding.held_bytes = held_bytes
        if self.held_bytes > PAUSE_RATIO * self.limit_bytes and not self._is_pausing:
            self._pause_all()
        should_pause = self._is_pausing and held_bytes > holding.free_bytes
        should_pause = should_pause and holding is not self._exempt
        if should_pause != holding.is_paused:
            self._set_paused(holding, should_pause)
        if self.held_bytes > self.limit_bytes:
            kept_bytes = int(REFUSED_RATIO * self.limit_bytes)
            self._refuse(self._holdings, self.held_bytes - kept_bytes)

    def admits(self, holding: Holding) -> bool:
        """Returns whether a complete request may be passed on now.

        A request is admitted if nothing else has been passed on.
        """
        is_small = holding.held_bytes <= FREE_BYTES
        ratio = SMALL_RATIO if is_small else LARGE_RATIO
        if self.held_bytes <= ratio * self.limit_bytes:
            return True
        return not any(each.is_passed_on and each.held_bytes for each in self._holdings)

    def tick(self, now: float) -> None:
        """Measures what is held; refuses what has been paused for too long.

        Args:
            now: The time, in seconds.
        """
        if self.held_bytes > MEASURED_RATIO * self.limit_bytes:
            for holding in list(self._holdings):
                self._measure(holding, now)
        self._give_up_stuck(now)
        if not self._is_pausing:
            return
        excess_bytes = self.held_bytes - int(RESUME_RATIO * self.limit_bytes)
        if excess_bytes <= 0:
            self._resume_all()
            return
        paused = [each for each in self._holdings if each.is_paused]
        for each in paused:
            each.paused_since = min(each.paused_since, now)
        self._exempt_one(paused)
        paused_long = [
            each
            for each in paused
            if each.is_paused and now - each.paused_since >= MAX_PAUSE_S
        ]
        self._refuse(paused_long, excess_bytes)

    def _measure(self, holding: Holding, now: float) -> None:
        holding.update(holding.owner.measure_for_budget())
        untaken_bytes = holding.owner.count_untaken()
        if not untaken_bytes:
            holding.stuck_since = math.inf
        elif untaken_bytes < holding.untaken_bytes or holding.stuck_since == math.inf:
            holding.stuck_since = now
        holding.untaken_bytes = untaken_bytes

    def _give_up_stuck(self, now: float) -> None:
        """Aborts responses whose callers read nothing, while memory is short."""
        if self.held_bytes <= LARGE_RATIO * self.limit_bytes:
            return
        stuck = [
            each
            for each in self._holdings
            if each.may_be_given_up and now - each.stuck_since >= STUCK_S
        ]
        for holding in sorted(stuck, key=lambda each: each.stuck_since):
            if self.held_bytes <= PAUSE_RATIO * self.limit_bytes:
                return
            self.on_refused()
            holding.owner.abort_for_budget()
            self.remove(holding)

    def _exempt_one(self, paused: list[Holding]) -> None:
        """Reads on from one paused connection, so that some request is completed."""
        is_over = self._exempt is None or self._exempt not in self._holdings
        if not is_over and not self._exempt.is_passed_on:
            return
        self._exempt = None
        eligible = [each for each in paused if not each.is_passed_on]
        if eligible and self.held_bytes < LARGE_RATIO * self.limit_bytes:
            self._exempt = max(eligible, key=lambda each: each.held_bytes)
            self._set_paused(self._exempt, False)

    def _refuse(
        self, holdings: collections.abc.Iterable[Holding], excess_bytes: int
    ) -> None:
        for holding in choose_refused(holdings, excess_bytes, MIN_REFUSED_BYTES):
            self.on_refused()
            holding.owner.refuse_for_budget()
            self.remove(holding)

    def _pause_all(self) -> None:
        self._is_pausing = True
        for holding in self._holdings:
            if holding.held_bytes > holding.free_bytes:
                self._set_paused(holding, True)

    def _resume_all(self) -> None:
        self._is_pausing = False
        self._exempt = None
        for holding in self._holdings:
            if holding.is_paused:
                self._set_paused(holding, False)

    def _set_paused(self, holding: Holding, is_paused: bool) -> None:
        holding.is_paused = is_paused
        holding.paused_since = math.inf
        if is_paused:
            holding.owner.pause_for_budget()
        else:
            holding.owner.resume_for_budget()
