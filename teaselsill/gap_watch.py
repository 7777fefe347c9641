"""Checks, at the root of a service's digest tree, that the fairness gap is bounded."""

import asyncio

from teaselsill import (
    aggregation_tree,
    errors,
    fairness,
    invariants,
    metrics,
    slot_scheduler,
)

PERIOD_S = 5.0


class GapWatch:
    """Compares the measured gap with the bound of the present load.

    Args:
        exchange: The place in the digest tree; its meter measures at the root.
        grants: The slots of this agent, which stand for those of the others.
        count_agents: Returns how many agents the service has.
        sink: Takes the metrics.
    """

    def __init__(
        self,
        exchange: aggregation_tree.CounterExchange,
        grants: slot_scheduler.SlotScheduler,
        count_agents,
        sink: metrics.Metrics,
    ):
        self._exchange = exchange
        self._grants = grants
        self._count_agents = count_agents
        self._sink = sink

    async def run(self) -> None:
        """Checks for ever."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self.check()

    def check(self) -> None:
        """Reports the gap, and a violation if it exceeds its bound."""
        gap = self._exchange.meter.current
        self._sink.gauge(metrics.Metric.FAIRNESS_GAP, gap)
        load = self._estimate_load()
        if load is None:
            return
        try:
            fairness.check_gap(gap, load)
        except errors.InvariantError as error:
            invariants.report(error, reraise=False, sink=self._sink)

    def _estimate_load(self) -> fairness.BoundInputs | None:
        """Returns the load of the service, as if all agents were like this one.

        What came in one round counts besides: a paused agent reports late, and much.
        """
        busy_s = self._grants.slots.busy_s
        if not busy_s or not self._grants.smallest_share:
            return None
        agents = max(1, self._count_agents())
        in_flight = agents * self._grants.slots.total
        share = self._grants.smallest_share
        period_s = self._exchange.period_s
        usual_rate = in_flight * self._grants.served_cost / busy_s / share
        seen_rate = self._exchange.meter.largest_step / period_s
        return fairness.BoundInputs(
            in_flight=in_flight,
            largest_cost=self._grants.largest_cost / share,
            digest_age_s=fairness.digest_age_s(
                agents, period_s, aggregation_tree.HOP_LEAD_S
            ),
            rate=max(usual_rate, seen_rate),
        )
