"""Charges one attempt's cost to its client account while the answer streams."""

import asyncio
import contextlib
import time

from teaselsill import counters, document, policies, slots

TICK_S = 0.1
"""How often the busy time of a running attempt is charged."""
MS_PER_S = 1000.0


class Meter:
    """Turns an expected cost step by step into the metered one.

    Args:
        known: The counters to charge.
        policy: Told of what is charged.
        offer: The slot that the attempt uses, with its expected cost.
        configuration: Has the client account's share.

    Attributes:
        cost: What was metered, in the service's unit.
    """

    def __init__(
        self,
        known: counters.Counters,
        policy: policies.Policy,
        offer: slots.Offer,
        configuration: document.Document,
    ):
        self.cost = 0.0
        self._counters = known
        self._policy = policy
        self._account = offer.account
        self._share = configuration.account_by_id[offer.account].share
        self._reserved = offer.expected_cost

    def add(self, cost: float) -> None:
        """Charges some cost and lowers the reserve by it."""
        self.cost += cost
        normalised = max(0.0, cost) / self._share
        self._counters.add_served(self._account, normalised)
        self._policy.add_served(self._account, normalised)
        self._release(min(normalised, self._reserved))

    def close(self) -> None:
        """Gives back what is left of the reserve."""
        self._release(self._reserved)

    def _release(self, normalised: float) -> None:
        self._counters.release(self._account, normalised)
        self._reserved -= normalised


class BusyTimeCharger:
    """Charges the busy time of a running attempt as it passes, in milliseconds.

    Args:
        charged: The attempt's meter.
    """

    def __init__(self, charged: Meter):
        self._charged = charged
        self._since = time.monotonic()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts to charge."""
        self._since = time.monotonic()
        self._wait()

    def stop(self) -> None:
        """Charges what is left and stops."""
        self._timer.cancel()
        self._charge()

    def _wait(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._charge()
        self._wait()

    def _charge(self) -> None:
        now = time.monotonic()
        self._charged.add((now - self._since) * MS_PER_S)
        self._since = now


@contextlib.contextmanager
def charge_busy_time(charged: Meter):
    """Charges the time that is spent inside the context."""
    clock = BusyTimeCharger(charged)
    clock.start()
    try:
        yield
    finally:
        clock.stop()
