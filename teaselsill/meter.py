"""Charges an attempt's cost to its client account as the response streams."""

import asyncio
import contextlib
import time

from teaselsill import counters, document, policies, slots

TICK_S = 0.1
"""How often the busy time of a running attempt is charged."""
MS_PER_S = 1000.0


class Meter:
    """Replaces the reserved expected cost of an attempt by its metered cost.

    Args:
        service_counters: The counters to charge.
        policy: The scheduling policy, which receives each charge.
        offer: The offer that the attempt uses, with its expected cost.
        configuration: Defines the client account's share.

    Attributes:
        cost: The metered cost, in the service's unit.
    """

    def __init__(
        self,
        service_counters: counters.Counters,
        policy: policies.Policy,
        offer: slots.Offer,
        configuration: document.Document,
    ):
        self.cost = 0.0
        self._counters = service_counters
        self._policy = policy
        self._account = offer.account
        self._share = configuration.account_by_id[offer.account].share
        self._reserved = offer.expected_cost

    def add(self, cost: float) -> None:
        """Charges a cost and reduces the reservation by it."""
        self.cost += cost
        normalised = max(0.0, cost) / self._share
        self._counters.add_served(self._account, normalised)
        self._policy.add_served(self._account, normalised)
        self._release(min(normalised, self._reserved))

    def close(self) -> None:
        """Releases the rest of the reservation."""
        self._release(self._reserved)

    def _release(self, normalised: float) -> None:
        self._counters.release(self._account, normalised)
        self._reserved -= normalised


class BusyTimeCharger:
    """Charges the elapsed time of a running attempt periodically, in milliseconds.

    Args:
        attempt_meter: The attempt's meter.
    """

    def __init__(self, attempt_meter: Meter):
        self._meter = attempt_meter
        self._charged_until = time.monotonic()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts charging."""
        self._charged_until = time.monotonic()
        self._schedule_tick()

    def stop(self) -> None:
        """Charges the time since the last tick and stops."""
        self._timer.cancel()
        self._charge()

    def _schedule_tick(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._charge()
        self._schedule_tick()

    def _charge(self) -> None:
        now = time.monotonic()
        self._meter.add((now - self._charged_until) * MS_PER_S)
        self._charged_until = now


@contextlib.contextmanager
def charge_busy_time(attempt_meter: Meter):
    """Charges the time spent inside the context."""
    charger = BusyTimeCharger(attempt_meter)
    charger.start()
    try:
        yield
    finally:
        charger.stop()
