"""Checks the fairness gap at the root of a service's aggregation tree."""

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
"""The time between two checks."""


class GapWatch:
    """Compares the measured fairness gap with its bound under the current load.

    Args:
        exchange: The agent's node in the aggregation tree, whose meter measures the
            gap while the agent is the root.
        scheduler: The scheduler of this agent, taken as typical of all agents.
        count_agents: Returns the number of agents of the service.
        sink: Receives the metrics.
    """

    def __init__(
        self,
        exchange: aggregation_tree.CounterExchange,
        scheduler: slot_scheduler.SlotScheduler,
        count_agents,
        sink: metrics.Metrics,
    ):
        self._exchange = exchange
        self._scheduler = scheduler
        self._count_agents = count_agents
        self._sink = sink

    async def run(self) -> None:
        """Checks periodically until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self.check()

    def check(self) -> None:
        """Reports the gap as a metric, and a violation if it exceeds its bound."""
        gap = self._exchange.meter.current
        self._sink.gauge(metrics.Metric.FAIRNESS_GAP, gap)
        inputs = self._estimate_bound_inputs()
        if inputs is None:
            return
        try:
            fairness.check_gap(gap, inputs)
        except errors.InvariantError as error:
            invariants.report(error, reraise=False, sink=self._sink)

    def _estimate_bound_inputs(self) -> fairness.BoundInputs | None:
        """Estimates the inputs of the bound as if all agents were like this one.

        The largest step between two samples also counts, since an agent that
        was interrupted reports much service at once.
        """
        busy_s = self._scheduler.slots.busy_s
        if not busy_s or not self._scheduler.smallest_share:
            return None
        agents = max(1, self._count_agents())
        in_flight = agents * self._scheduler.slots.total
        share = self._scheduler.smallest_share
        period_s = self._exchange.period_s
        usual_rate = in_flight * self._scheduler.served_cost / busy_s / share
        observed_rate = self._exchange.meter.largest_step / period_s
        return fairness.BoundInputs(
            in_flight=in_flight,
            largest_cost=self._scheduler.largest_cost / share,
            digest_age_s=fairness.digest_age_s(
                agents, period_s, aggregation_tree.HOP_LEAD_S
            ),
            rate=max(usual_rate, observed_rate),
        )
