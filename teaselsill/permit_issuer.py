"""Issues this router's permits to its own requests and those of other routers."""

import asyncio
import collections.abc

from teaselsill import grantor, permit_queue, upstream_list

CHECK_INTERVAL_S = 0.25
"""How often the upstreams that this router is responsible for are checked."""

OnDecision = collections.abc.Callable[[permit_queue.Decision], None]


class PermitIssuer:
    """Runs the grantor of this router and passes its decisions on.

    Args:
        permit_grantor: Decides.
    """

    def __init__(self, permit_grantor: grantor.Grantor):
        self._grantor = permit_grantor
        self._on_decision_by_waiter: dict[permit_queue.Waiter, OnDecision] = {}
        self._timer: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Stops issuing permits."""
        if self._timer is not None:
            self._timer.cancel()

    def ask(
        self,
        key: upstream_list.UpstreamKey,
        waiter: permit_queue.Waiter,
        on_decision: OnDecision,
    ) -> None:
        """Adds a request that wants a permit.

        Args:
            key: The upstream.
            waiter: The request.
            on_decision: Called once, now or later, unless the request is withdrawn.
        """
        self._on_decision_by_waiter[waiter] = on_decision
        self._deliver(self._grantor.ask(key, waiter, _now()))

    def withdraw(
        self, key: upstream_list.UpstreamKey, waiter: permit_queue.Waiter
    ) -> None:
        """Removes a request that does not want a permit any more."""
        self._on_decision_by_waiter.pop(waiter, None)
        self._grantor.withdraw(key, waiter)

    def give_back(self, key: upstream_list.UpstreamKey) -> None:
        """Takes back a permit that was not used."""
        self._grantor.give_back(key, _now())
        self._settle()

    def _settle(self) -> None:
        self._deliver(self._grantor.settle(_now()))

    def _deliver(self, decisions: list[permit_queue.Decision]) -> None:
        for decision in decisions:
            self._on_decision_by_waiter.pop(decision.waiter)(decision)
        self._schedule()

    def _schedule(self) -> None:
        """Settles again when the next permit is there, or to check."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._grantor.has_queues:
            delay_s = min(CHECK_INTERVAL_S, self._grantor.find_next_s(_now()))
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._settle)


def _now() -> float:
    return asyncio.get_running_loop().time()
