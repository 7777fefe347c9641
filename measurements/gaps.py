"""The fairness gap of a service, computed from the reports of its agents."""

import collections

import msgspec

from measurements import samples, workload
from teaselsill import aggregation_tree, fairness


class Gap(msgspec.Struct, frozen=True):
    """The fairness gap of one service in one run.

    Attributes:
        gap: The largest difference of normalised service between two client accounts.
        largest_cost: The largest normalised cost of a request.
        twice_largest: Twice `largest_cost`.
        bound: The largest gap that `fairness.gap_bound` allows.
        waiting: The largest number of client accounts that waited at the same time.
    """

    gap: float
    largest_cost: float
    twice_largest: float
    bound: float
    waiting: int


def compute(
    taken: list[samples.Sample], service: str, load_generator: workload.LoadGenerator
) -> Gap:
    """Returns the fairness gap over a series of samples.

    Two client accounts are compared as long as both are backlogged in every sample
    and may use the same upstreams.
    """
    restricted = {
        account.name for account in load_generator.accounts if account.is_restricted
    }
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
    largest_cost = load_generator.largest_cost_by_service[service]
    return Gap(
        round(meter.greatest, 1),
        round(largest_cost, 1),
        round(2 * largest_cost, 1),
        round(
            _compute_bound(taken, service, largest_cost, load_generator, most_waiting),
            1,
        ),
        most_waiting,
    )


def _compute_bound(
    taken,
    service: str,
    largest_cost: float,
    load_generator: workload.LoadGenerator,
    most_waiting: int,
) -> float:
    first = taken[0].of_service(service)
    last = taken[-1].of_service(service)
    slots = sum(report.slots.total for report in last)
    served = sum(report.served_cost for report in last) - sum(
        report.served_cost for report in first
    )
    rate = served / (taken[-1].taken_at - taken[0].taken_at)
    smallest_share = min(account.share for account in load_generator.accounts)
    depth = 1 if len(last) > 1 else 0
    age_s = fairness.digest_age_s(
        depth,
        aggregation_tree.period_for(most_waiting, len(last)),
        aggregation_tree.HOP_LEAD_S,
    )
    return fairness.gap_bound(
        fairness.BoundInputs(slots, largest_cost, age_s, rate / smallest_share)
    )
