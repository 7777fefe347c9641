"""The fairness gap of a service, from the reports of its agents."""

import collections

import msgspec

from measurements import samples, workload
from teaselsill import aggregation_tree, fairness


class Gap(msgspec.Struct, frozen=True):
    """The fairness gap of one service in one run.

    Attributes:
        gap: The largest normalised service difference between two client accounts.
        largest_cost: The greatest normalised cost of a request.
        twice_largest: Twice that cost.
        bound: What the formula of `fairness.gap_bound` allows.
        waiting: The most client accounts that waited at once.
    """

    gap: float
    largest_cost: float
    twice_largest: float
    bound: float
    waiting: int


def compute(
    taken: list[samples.Sample], service: str, load: workload.LoadGenerator
) -> Gap:
    """Returns the gap over some samples.

    Two client accounts are compared while both are on and wait in every sample, and
    may reach the same upstreams.
    """
    restricted = {account.name for account in load.accounts if account.is_restricted}
    meter = fairness.GapMeter(lambda account: account in restricted)
    most_waiting = 0
    for sample in taken:
        metered = collections.Counter()
        waiting = set()
        for report in sample.of_service(service):
            for served in report.served:
                metered[served.account] += served.metered
                if served.is_backlogged:
                    waiting.add(served.account)
        meter.sample(metered, waiting)
        most_waiting = max(most_waiting, len(waiting))
    largest = load.largest_cost_by_service[service]
    return Gap(
        round(meter.greatest, 1),
        round(largest, 1),
        round(2 * largest, 1),
        round(_bound(taken, service, largest, load, most_waiting), 1),
        most_waiting,
    )


def _bound(
    taken, service: str, largest: float, load: workload.LoadGenerator, most_waiting: int
) -> float:
    first = taken[0].of_service(service)
    last = taken[-1].of_service(service)
    slots = sum(report.slots.total for report in last)
    served = sum(r.served_cost for r in last) - sum(r.served_cost for r in first)
    rate = served / (taken[-1].taken_at - taken[0].taken_at)
    smallest_share = min(account.share for account in load.accounts)
    depth = 1 if len(last) > 1 else 0
    age_s = fairness.digest_age_s(
        depth,
        aggregation_tree.period_for(most_waiting, len(last)),
        aggregation_tree.HOP_LEAD_S,
    )
    return fairness.gap_bound(
        fairness.BoundInputs(slots, largest, age_s, rate / smallest_share)
    )
