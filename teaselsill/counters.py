"""Counts each client account's normalised service, for one service of the fleet.

Normalised service is cost divided by the client account's share. Counters hold
metered service only and never fall, so that any two copies merge by taking the
greater of each. What running requests are expected to cost is kept apart and
never leaves the process.
"""

import math
import time
import typing

from teaselsill import ids

UNITS_PER_COST = 1000
"""Counters are integers in thousandths of a unit of normalised cost."""
IDLE_RETENTION_S = 60.0
"""A client account with no work for this long is dropped."""
DEBT_CAP_REQUESTS = 64
"""The debt cap in requests of the expected cost, at the smallest share."""
MAX_REPORTS_KEPT = 64
"""How many reports without a reply are kept apart before the oldest are joined."""

CounterByAccount = dict[ids.AccountId, int]


def debt_cap(expected_cost: float, smallest_share: float) -> float:
    """Returns the usual debt cap of a service, in normalised cost."""
    return DEBT_CAP_REQUESTS * expected_cost / smallest_share


class Counters:
    """The counters of one service as one process knows them.

    The estimate of a client account is its counter, plus the service that the
    process knows of and that the counter does not include yet, plus what the
    running requests of this process are still expected to cost.

    The bound on debt: once `update_as_root` has run, no backlogged client account lies
    more than the debt cap below the next greater one. So none can claim more than
    `(backlogged - 1) * cap` before the others are served again, whatever a rejoined
    side brings, and the waiting time of those others is at most that times the number
    of backlogged client accounts over the service rate. A client account that lags
    because it reaches few upstreams is raised together with those below it, which
    keeps the differences between client accounts that compete for those upstreams.

    Args:
        cap: The debt cap in normalised cost.
        now: Tells the time in seconds.

    Attributes:
        agents: How many agents the service has.
    """

    def __init__(self, cap: float, now: typing.Callable[[], float] = time.monotonic):
        self.set_debt_cap(cap)
        self._now = now
        self.agents = 1
        self._metered_by_account: dict[ids.AccountId, float] = {}
        self._counter_by_account: CounterByAccount = {}
        self._pending_by_account: CounterByAccount = {}
        self._sent_by_sequence: dict[int, CounterByAccount] = {}
        self._known_by_account: CounterByAccount = {}
        self._fraction_by_account: dict[ids.AccountId, float] = {}
        self._reserved_by_account: dict[ids.AccountId, float] = {}
        self._used_at_by_account: dict[ids.AccountId, float] = {}
        self._lag_by_account: CounterByAccount = {}
        self._backlogged: frozenset[ids.AccountId] = frozenset()
        self._waiting_since_report: frozenset[ids.AccountId] = frozenset()
        self._reported_backlogged: frozenset[ids.AccountId] = frozenset()
        self._fleet_backlogged: frozenset[ids.AccountId] = frozenset()
        self._level = 0
        self._merges = 0

    @property
    def merges(self) -> int:
        """How often counters from below were ahead of this root's."""
        return self._merges

    def set_debt_cap(self, cap: float) -> None:
        """Sets the debt cap, in normalised cost."""
        self._cap = max(1, round(cap * UNITS_PER_COST))

    @property
    def backlogged(self) -> frozenset[ids.AccountId]:
        """The client accounts that wait at this process."""
        return self._backlogged

    @property
    def fleet_backlogged(self) -> frozenset[ids.AccountId]:
        """The client accounts that wait anywhere, by the last digest."""
        return self._fleet_backlogged

    @property
    def counter_by_account(self) -> CounterByAccount:
        """A copy of the counters, in units."""
        return dict(self._counter_by_account)

    @property
    def fleet_counter_by_account(self) -> CounterByAccount:
        """The counters of the client accounts that wait anywhere, in units."""
        return {
            account: self._counter_by_account.get(account, 0)
            for account in sorted(self._fleet_backlogged)
        }

    @property
    def metered_by_account(self) -> dict[ids.AccountId, float]:
        """A copy of what this process has metered in its run, in normalised cost."""
        return dict(self._metered_by_account)

    @property
    def has_pending(self) -> bool:
        """Whether there is service that no report has taken along."""
        return bool(self._pending_by_account)

    def add_served(self, account: ids.AccountId, normalised: float) -> None:
        """Adds metered service, in normalised cost."""
        metered = self._metered_by_account.get(account, 0.0) + max(0.0, normalised)
        self._metered_by_account[account] = metered
        exact = self._fraction_by_account.get(account, 0.0)
        exact += max(0.0, normalised) * UNITS_PER_COST
        units = math.floor(exact)
        self._fraction_by_account[account] = exact - units
        self._used_at_by_account[account] = self._now()
        if units:
            add(self._pending_by_account, {account: units})

    def add_pending(self, served_by_account: CounterByAccount) -> None:
        """Adds service that another process has metered, in units."""
        for account in served_by_account:
            self._used_at_by_account[account] = self._now()
        add(self._pending_by_account, served_by_account)

    def reserve(self, account: ids.AccountId, normalised: float) -> None:
        """Adds to what running requests are expected to cost."""
        reserved = self._reserved_by_account.get(account, 0.0)
        self._reserved_by_account[account] = reserved + normalised

    def release(self, account: ids.AccountId, normalised: float) -> None:
        """Takes back from what running requests are expected to cost."""
        reserved = self._reserved_by_account.get(account, 0.0) - normalised
        self._reserved_by_account[account] = reserved
        if reserved * UNITS_PER_COST < 1:
            del self._reserved_by_account[account]

    def reserved(self, account: ids.AccountId) -> float:
        """Returns what running requests are still expected to cost here."""
        return self._reserved_by_account.get(account, 0.0)

    def set_backlogged(self, accounts: typing.Iterable[ids.AccountId]) -> None:
        """Takes the client accounts that wait at this process now."""
        accounts = frozenset(accounts)
        new = accounts - self._backlogged
        self._backlogged = accounts
        self._waiting_since_report &= accounts
        self._touch(accounts)
        self._lift(new - self._fleet_backlogged)

    def estimate(self, account: ids.AccountId) -> float:
        """Returns the best known normalised service of a client account."""
        units = self._counter_by_account.get(account, 0)
        units += self._pending_by_account.get(account, 0)
        for served_by_account in self._sent_by_sequence.values():
            units += served_by_account.get(account, 0)
        return units / UNITS_PER_COST + self.reserved(account)

    def take_backlogged(self) -> frozenset[ids.AccountId]:
        """Returns the client accounts to report as backlogged.

        Two reports in a row name a client account only if it waited all the time in
        between. One whose queue ran empty is left out once, so that the root lifts it.
        """
        new = self._backlogged - self._reported_backlogged
        self._reported_backlogged = self._waiting_since_report | new
        self._waiting_since_report = self._backlogged
        return self._reported_backlogged

    def take_pending(self, sequence: int) -> CounterByAccount:
        """Moves the pending service into the report with a sequence number."""
        pending, self._pending_by_account = self._pending_by_account, {}
        if pending:
            self._sent_by_sequence[sequence] = dict(pending)
        if len(self._sent_by_sequence) > MAX_REPORTS_KEPT:
            self._join_oldest()
        return pending

    def add_child_counters(self, known_by_account: CounterByAccount) -> None:
        """Takes counters from below; they count only once a root has merged them."""
        merge_max(self._known_by_account, known_by_account)

    def take_child_counters(self) -> CounterByAccount:
        """Returns the counters that came from below since the last call."""
        known, self._known_by_account = self._known_by_account, {}
        return known

    def merge_unacknowledged(self) -> None:
        """Counts the reports without a reply in this process's own copy.

        Called when the link to the parent is gone. The copy goes to the next parent,
        which merges by the greater value: what the old parent had passed on is not
        counted twice.
        """
        for served_by_account in self._sent_by_sequence.values():
            add(self._counter_by_account, served_by_account)
        self._sent_by_sequence.clear()

    def merge_digest(self, counter_by_account: CounterByAccount, included: int) -> None:
        """Merges the root's counters, which include own reports up to a sequence."""
        for sequence in [s for s in self._sent_by_sequence if s <= included]:
            add(self._counter_by_account, self._sent_by_sequence.pop(sequence))
        merge_max(self._counter_by_account, counter_by_account)
        self._fleet_backlogged = frozenset(counter_by_account)
        self._touch(counter_by_account)
        self._raise_level()
        self._lift(self._backlogged - self._fleet_backlogged)
        self._forget()

    def update_as_root(self, backlogged: typing.Iterable[ids.AccountId]) -> None:
        """Does a root's part: counts what is pending, lifts, and caps debts.

        Args:
            backlogged: The client accounts that wait anywhere below the root.
        """
        backlogged = frozenset(backlogged)
        self.merge_unacknowledged()
        self._merge_known()
        pending, self._pending_by_account = self._pending_by_account, {}
        add(self._counter_by_account, pending)
        self._keep_lag(self._fleet_backlogged - backlogged)
        new = backlogged - self._fleet_backlogged
        self._fleet_backlogged &= backlogged
        self._raise_level()
        self._lift(new)
        self._fleet_backlogged = backlogged
        self._touch(backlogged)
        self._cap_debts()
        self._forget()

    def _join_oldest(self) -> None:
        oldest, second = sorted(self._sent_by_sequence)[:2]
        add(self._sent_by_sequence[second], self._sent_by_sequence.pop(oldest))

    def _merge_known(self) -> None:
        before = dict(self._counter_by_account)
        merge_max(self._counter_by_account, self.take_child_counters())
        self._merges += before != self._counter_by_account

    def _greatest(self) -> int:
        return max(self.fleet_counter_by_account.values(), default=0)

    def _keep_lag(self, leaving: frozenset[ids.AccountId]) -> None:
        greatest = self._greatest()
        for account in leaving:
            lag = greatest - self._counter_by_account.get(account, 0)
            self._lag_by_account[account] = lag

    def _raise_level(self) -> None:
        counters = self.fleet_counter_by_account.values()
        self._level = max(self._level, min(counters, default=0))

    def _lift(self, accounts: typing.Iterable[ids.AccountId]) -> None:
        greatest = self._greatest()
        for account in accounts:
            lag = self._lag_by_account.pop(account, greatest)
            level = max(self._level, greatest - lag)
            merge_max(self._counter_by_account, {account: level})

    def _cap_debts(self) -> None:
        """Raises all that lie below a difference greater than the cap."""
        counter_by_account = self.fleet_counter_by_account
        ordered = sorted(counter_by_account, key=counter_by_account.get, reverse=True)
        shift = 0
        above = None
        for account in ordered:
            counter = counter_by_account[account] + shift
            if above is not None and above - counter > self._cap:
                shift += above - counter - self._cap
                counter = above - self._cap
            self._counter_by_account[account] = counter
            above = counter

    def _touch(self, accounts: typing.Iterable[ids.AccountId]) -> None:
        now = self._now()
        for account in accounts:
            self._used_at_by_account[account] = now

    def _forget(self) -> None:
        """Drops client accounts that nobody has used for a while."""
        oldest = self._now() - IDLE_RETENTION_S
        kept = self._fleet_backlogged | self._backlogged
        kept |= self._pending_by_account.keys() | self._reserved_by_account.keys()
        kept = kept.union(*self._sent_by_sequence.values())
        for account in self._counter_by_account.keys() | self._lag_by_account.keys():
            self._used_at_by_account.setdefault(account, self._now())
        for account, used_at in list(self._used_at_by_account.items()):
            if used_at < oldest and account not in kept:
                del self._used_at_by_account[account]
                self._counter_by_account.pop(account, None)
                self._lag_by_account.pop(account, None)
                self._fraction_by_account.pop(account, None)


def add(total_by_account: CounterByAccount, more_by_account: CounterByAccount) -> None:
    """Adds each value to a total."""
    for account, units in more_by_account.items():
        total_by_account[account] = total_by_account.get(account, 0) + units


def merge_max(
    counter_by_account: CounterByAccount, other_by_account: CounterByAccount
) -> None:
    """Merges counters by taking the greater of each."""
    for account, units in other_by_account.items():
        counter_by_account[account] = max(counter_by_account.get(account, 0), units)
