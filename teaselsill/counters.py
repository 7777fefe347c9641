"""Counts the normalised service of each client account, for one service of the fleet.

Normalised service is cost divided by the client account's share. Counters hold
metered service only and never decrease, so any two copies merge by taking the maximum
of each counter. The expected cost of running requests is kept separately and never
leaves the process.
"""

import math
import time
import typing

from teaselsill import ids

UNITS_PER_COST = 1000
"""Counters are integers in thousandths of a unit of normalised cost."""
IDLE_RETENTION_S = 60.0
"""How long a client account without requests is kept."""
DEBT_CAP_REQUESTS = 64
"""The debt cap, in requests of the expected cost at the smallest share."""
MAX_REPORTS_KEPT = 64
"""The maximum number of unacknowledged reports; beyond it the oldest are joined."""

CounterByAccount = dict[ids.AccountId, int]


def debt_cap(expected_cost: float, smallest_share: float) -> float:
    """Returns the debt cap of a service, in normalised cost."""
    return DEBT_CAP_REQUESTS * expected_cost / smallest_share


class Counters:
    """One process's copy of the counters of one service.

    The estimate of a client account is the sum of its counter, of the service that
    the process knows of but the counter does not include yet, and of the remaining
    expected cost of the requests that this process runs.

    The level follows the smallest counter of all backlogged client accounts and never
    decreases, like the virtual time in fair queueing. A client account that becomes
    backlogged is lifted to the level, so that it earns no credit while idle.

    The debt is the amount by which a counter is below the next greater one. After
    `update_as_root`, no backlogged client account has more debt than the cap. It can
    therefore claim at most `(backlogged - 1) * cap` before the others are served
    again, whatever a rejoined partition reports, and the others wait at most that
    times the number of backlogged client accounts, divided by the service rate. A
    client account that falls behind because it may use few upstreams is raised
    together with those below it, which keeps the differences between client accounts
    that compete for those upstreams.

    Args:
        cap: The debt cap, in normalised cost.
        now: Returns the time in seconds.

    Attributes:
        agents: The number of agents of the service.
    """

    def __init__(self, cap: float, now: typing.Callable[[], float] = time.monotonic):
        self.set_debt_cap(cap)
        self._now = now
        self.agents = 1
        self._metered_by_account: dict[ids.AccountId, float] = {}
        self._counter_by_account: CounterByAccount = {}
        self._pending_by_account: CounterByAccount = {}
        self._unacknowledged_by_sequence: dict[int, CounterByAccount] = {}
        self._child_counter_by_account: CounterByAccount = {}
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
        """How often counters from children were ahead of this root's."""
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
        """The client accounts that wait anywhere, as of the last digest."""
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
        """A copy of the normalised cost metered by this process since its start."""
        return dict(self._metered_by_account)

    @property
    def has_pending(self) -> bool:
        """Whether there is service that no report contains yet."""
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
        """Adds service in units that a child has reported."""
        for account in served_by_account:
            self._used_at_by_account[account] = self._now()
        add(self._pending_by_account, served_by_account)

    def reserve(self, account: ids.AccountId, normalised: float) -> None:
        """Adds to the expected cost of running requests."""
        reserved = self._reserved_by_account.get(account, 0.0)
        self._reserved_by_account[account] = reserved + normalised

    def release(self, account: ids.AccountId, normalised: float) -> None:
        """Subtracts from the expected cost of running requests."""
        reserved = self._reserved_by_account.get(account, 0.0) - normalised
        self._reserved_by_account[account] = reserved
        if reserved * UNITS_PER_COST < 1:
            del self._reserved_by_account[account]

    def reserved(self, account: ids.AccountId) -> float:
        """Returns the remaining expected cost of the requests that run here."""
        return self._reserved_by_account.get(account, 0.0)

    def set_backlogged(self, accounts: typing.Iterable[ids.AccountId]) -> None:
        """Sets the client accounts that wait at this process now."""
        accounts = frozenset(accounts)
        new = accounts - self._backlogged
        self._backlogged = accounts
        self._waiting_since_report &= accounts
        self._mark_used(accounts)
        self._lift(new - self._fleet_backlogged)

    def estimate(self, account: ids.AccountId) -> float:
        """Returns the estimated normalised service of a client account."""
        units = self._counter_by_account.get(account, 0)
        units += self._pending_by_account.get(account, 0)
        for served_by_account in self._unacknowledged_by_sequence.values():
            units += served_by_account.get(account, 0)
        return units / UNITS_PER_COST + self.reserved(account)

    def take_backlogged(self) -> frozenset[ids.AccountId]:
        """Returns the client accounts to report as backlogged.

        Two consecutive reports name a client account only if it waited throughout the
        time between them. One whose queue ran empty is omitted once, so that the root
        lifts it.
        """
        new = self._backlogged - self._reported_backlogged
        self._reported_backlogged = self._waiting_since_report | new
        self._waiting_since_report = self._backlogged
        return self._reported_backlogged

    def take_pending(self, sequence: int) -> CounterByAccount:
        """Moves the pending service into the report with this sequence number."""
        pending, self._pending_by_account = self._pending_by_account, {}
        if pending:
            self._unacknowledged_by_sequence[sequence] = dict(pending)
        if len(self._unacknowledged_by_sequence) > MAX_REPORTS_KEPT:
            self._join_oldest()
        return pending

    def add_child_counters(self, counter_by_account: CounterByAccount) -> None:
        """Adds counters from a child; they take effect once a root has merged them."""
        merge_max(self._child_counter_by_account, counter_by_account)

    def take_child_counters(self) -> CounterByAccount:
        """Returns the counters that children sent since the last call."""
        counter_by_account, self._child_counter_by_account = (
            self._child_counter_by_account,
            {},
        )
        return counter_by_account

    def merge_unacknowledged(self) -> None:
        """Adds unacknowledged reports to this process's own copy of the counters.

        Called when the link to the parent is lost. The copy is sent to the next
        parent, which merges by maximum, so that what the old parent already passed on
        is not counted twice.
        """
        for served_by_account in self._unacknowledged_by_sequence.values():
            add(self._counter_by_account, served_by_account)
        self._unacknowledged_by_sequence.clear()

    def merge_digest(self, counter_by_account: CounterByAccount, included: int) -> None:
        """Merges the root's counters.

        Args:
            counter_by_account: The counters.
            included: The sequence number of the last own report that they include.
        """
        for sequence in [s for s in self._unacknowledged_by_sequence if s <= included]:
            add(
                self._counter_by_account, self._unacknowledged_by_sequence.pop(sequence)
            )
        merge_max(self._counter_by_account, counter_by_account)
        self._fleet_backlogged = frozenset(counter_by_account)
        self._mark_used(counter_by_account)
        self._raise_level()
        self._lift(self._backlogged - self._fleet_backlogged)
        self._drop_idle_accounts()

    def update_as_root(self, backlogged: typing.Iterable[ids.AccountId]) -> None:
        """Ends a period as the root: adds pending service, lifts, and caps debts.

        Args:
            backlogged: The client accounts that wait anywhere in the tree.
        """
        backlogged = frozenset(backlogged)
        self.merge_unacknowledged()
        self._merge_child_counters()
        pending, self._pending_by_account = self._pending_by_account, {}
        add(self._counter_by_account, pending)
        self._record_lag(self._fleet_backlogged - backlogged)
        new = backlogged - self._fleet_backlogged
        self._fleet_backlogged &= backlogged
        self._raise_level()
        self._lift(new)
        self._fleet_backlogged = backlogged
        self._mark_used(backlogged)
        self._cap_debts()
        self._drop_idle_accounts()

    def _join_oldest(self) -> None:
        """Adds the oldest unacknowledged report to the second oldest."""
        oldest, second = sorted(self._unacknowledged_by_sequence)[:2]
        add(
            self._unacknowledged_by_sequence[second],
            self._unacknowledged_by_sequence.pop(oldest),
        )

    def _merge_child_counters(self) -> None:
        before = dict(self._counter_by_account)
        merge_max(self._counter_by_account, self.take_child_counters())
        self._merges += before != self._counter_by_account

    def _greatest(self) -> int:
        return max(self.fleet_counter_by_account.values(), default=0)

    def _record_lag(self, drained: frozenset[ids.AccountId]) -> None:
        """Stores how far behind the greatest counter client accounts stop waiting."""
        greatest = self._greatest()
        for account in drained:
            lag = greatest - self._counter_by_account.get(account, 0)
            self._lag_by_account[account] = lag

    def _raise_level(self) -> None:
        counters = self.fleet_counter_by_account.values()
        self._level = max(self._level, min(counters, default=0))

    def _lift(self, accounts: typing.Iterable[ids.AccountId]) -> None:
        """Raises newly backlogged client accounts to at least the level.

        One that stopped waiting closer to the greatest counter than the level is raised
        to that lag again, so that it earns no credit while idle even if a slow client
        account holds the level down.
        """
        greatest = self._greatest()
        for account in accounts:
            lag = self._lag_by_account.pop(account, greatest)
            level = max(self._level, greatest - lag)
            merge_max(self._counter_by_account, {account: level})

    def _cap_debts(self) -> None:
        """Shrinks each difference between adjacent counters that exceeds the cap.

        All counters below such a difference are raised by the excess.
        """
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

    def _mark_used(self, accounts: typing.Iterable[ids.AccountId]) -> None:
        now = self._now()
        for account in accounts:
            self._used_at_by_account[account] = now

    def _drop_idle_accounts(self) -> None:
        """Drops client accounts that were not used for `IDLE_RETENTION_S`."""
        oldest = self._now() - IDLE_RETENTION_S
        kept = self._fleet_backlogged | self._backlogged
        kept |= self._pending_by_account.keys() | self._reserved_by_account.keys()
        kept = kept.union(*self._unacknowledged_by_sequence.values())
        for account in self._counter_by_account.keys() | self._lag_by_account.keys():
            self._used_at_by_account.setdefault(account, self._now())
        for account, used_at in list(self._used_at_by_account.items()):
            if used_at < oldest and account not in kept:
                del self._used_at_by_account[account]
                self._counter_by_account.pop(account, None)
                self._lag_by_account.pop(account, None)
                self._fraction_by_account.pop(account, None)


def add(total_by_account: CounterByAccount, more_by_account: CounterByAccount) -> None:
    """Adds each value to the total of its client account."""
    for account, units in more_by_account.items():
        total_by_account[account] = total_by_account.get(account, 0) + units


def merge_max(
    counter_by_account: CounterByAccount, other_by_account: CounterByAccount
) -> None:
    """Merges counters in place by taking the maximum of each."""
    for account, units in other_by_account.items():
        counter_by_account[account] = max(counter_by_account.get(account, 0), units)
