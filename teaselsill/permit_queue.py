"""Decides when the next request may be sent to an upstream that limits its rate.

A token bucket holds the permits of one upstream. Requests that find none wait, in an
order that favours the client accounts that have got the fewest permits lately. One that
cannot get a permit in time is denied at once.
"""

import dataclasses

from teaselsill import cold_start, decaying_sum, ids

BURST_S = 0.25
"""Permits of so much time are kept while nobody wants them, in addition to one."""
MIN_RATE_PER_S = 0.25
"""An upstream that takes nothing gets a request now and then: its response shows when
that is over."""
WHOLE = 1.0 - 1e-9
"""A permit is whole in spite of rounding."""
USAGE_DECAY_S = 10.0
"""Time constant of the number of permits that a client account has got."""


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request that wants a permit.

    Attributes:
        account: Its client account; None for a public route.
        asked_at: When it asked, in seconds.
        give_up_at: Until when it waits, in seconds.
        is_retry: Whether it was sent before; its caller has waited longer.
    """

    account: ids.AccountId | None
    asked_at: float
    give_up_at: float
    is_retry: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The request may be sent now, once."""

    waiter: Waiter


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """The request cannot be sent in time.

    Attributes:
        waiter: The request.
        wait_s: How long until there will be room for it, in seconds.
    """

    waiter: Waiter
    wait_s: float


Decision = Granted | Denied


class PermitQueue:
    """The permits of one upstream, and the requests that wait for them.

    Args:
        per_s: The rate of permits.
        opens_at: From when on permits accrue, in seconds.
        created_at: The time, in seconds.
        is_strict: Whether the rate holds for any second: hardly any permits are kept,
            and however low it is, it is not raised.

    Attributes:
        created_at: As above.
    """

    def __init__(
        self,
        per_s: float,
        opens_at: float,
        created_at: float,
        is_strict: bool = False,
    ):
        self.created_at = created_at
        self._set_rate(per_s, is_strict)
        self._permits = 0.0
        self._counted_at = opens_at
        self._waiters: list[Waiter] = []
        self._granted_by_account: dict[
            ids.AccountId | None, decaying_sum.DecayingSum
        ] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no request waits."""
        return not self._waiters

    def set_rate(self, per_s: float, now: float, is_strict: bool = False) -> None:
        """Changes the rate of permits from now on.

        Args:
            per_s: The rate, in permits a second.
            now: The time, in seconds.
            is_strict: Whether it holds for any second.
        """
        self._accrue(now)
        self._set_rate(per_s, is_strict)
        self._permits = min(self._permits, self._capacity)

    def _set_rate(self, per_s: float, is_strict: bool) -> None:
        self._per_s = per_s if is_strict else max(MIN_RATE_PER_S, per_s)
        self._burst_s = cold_start.BURST_S if is_strict else BURST_S

    def ask(self, waiter: Waiter, now: float) -> list[Decision]:
        """Adds a request that wants a permit; returns what is decided by that."""
        self._waiters.append(waiter)
        return self.settle(now)

    def grant_all(self) -> list[Decision]:
        """Grants permits to all requests that wait, since there is no limit."""
        waiters, self._waiters = self._waiters, []
        return [Granted(waiter) for waiter in waiters]

    def deny_all(self, wait_s: float) -> list[Decision]:
        """Denies all requests that wait.

        Args:
            wait_s: How long until there may be room for them, in seconds.
        """
        waiters, self._waiters = self._waiters, []
        return [Denied(waiter, wait_s) for waiter in waiters]

    def withdraw(self, waiter: Waiter) -> None:
        """Removes a request that does not want a permit any more."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def give_back(self, now: float) -> None:
        """Takes back a permit that was not used."""
        self._accrue(now)
        self._permits = min(self._capacity, self._permits + 1.0)

    def settle(self, now: float) -> list[Decision]:
        """Grants the permits that there are, and denies requests that wait in vain.

        Args:
            now: The time, in seconds.
        """
        self._accrue(now)
        decisions: list[Decision] = []
        while self._permits >= WHOLE and self._waiters:
            first = min(self._waiters, key=lambda waiter: self._find_rank(waiter, now))
            self._waiters.remove(first)
            self._permits -= 1.0
            self._note_granted(first.account, now)
            decisions.append(Granted(first))
        return decisions + self._deny_hopeless(now)

    def find_wait_s(self, now: float) -> float:
        """Returns how long until a request that asks last gets a permit, in seconds."""
        return self._find_available_s(len(self._waiters) + 1, now)

    def find_next_s(self, now: float) -> float:
        """Returns how long until the next permit is there, in seconds."""
        return self._find_available_s(1, now)

    @property
    def _capacity(self) -> float:
        return 1.0 + self._burst_s * self._per_s

    def _accrue(self, now: float) -> None:
        if now > self._counted_at:
            accrued = (now - self._counted_at) * self._per_s
            self._permits = min(self._capacity, self._permits + accrued)
            self._counted_at = now

    def _deny_hopeless(self, now: float) -> list[Decision]:
        ranked = sorted(self._waiters, key=lambda each: self._find_rank(each, now))
        self._waiters = []
        denied: list[Decision] = []
        for waiter in ranked:
            wait_s = self._find_available_s(len(self._waiters) + 1, now)
            if now + wait_s <= waiter.give_up_at:
                self._waiters.append(waiter)
            else:
                denied.append(Denied(waiter, wait_s))
        return denied

    def _find_rank(self, waiter: Waiter, now: float) -> tuple[bool, float, float]:
        granted = self._granted_by_account.get(waiter.account)
        count = granted.read(now) if granted is not None else 0.0
        return not waiter.is_retry, count, waiter.asked_at

    def _note_granted(self, account: ids.AccountId | None, now: float) -> None:
        granted = self._granted_by_account.setdefault(
            account, decaying_sum.DecayingSum(USAGE_DECAY_S)
        )
        granted.add(1.0, now)

    def _find_available_s(self, count: int, now: float) -> float:
        """Returns how long until a number of permits is there, in seconds."""
        missing = max(0.0, count - self._permits)
        not_open_s = max(0.0, self._counted_at - now)
        return not_open_s + missing / self._per_s
