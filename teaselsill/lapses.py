"""Ranks upstreams by when their credits lapse, so that credits are used in time."""

import datetime

from teaselsill import document, ids

NEVER = datetime.date.max


def next_lapse_day(
    configuration: document.Document,
    service: ids.ServiceName,
    upstream: ids.UpstreamId,
    today: datetime.date,
) -> datetime.date:
    """Returns the next day on which credits for an upstream lapse.

    Args:
        configuration: The configuration.
        service: The upstream's service.
        upstream: The upstream.
        today: The current day; credits that lapsed before it are ignored.

    Returns:
        The day, or `NEVER` if no credits cover the upstream.
    """
    days = [
        purchase.lapses
        for purchase in configuration.credits
        if purchase.service == service
        and purchase.lapses >= today
        and (not purchase.upstreams or upstream in purchase.upstreams)
    ]
    return min(days, default=NEVER)


def lapse_rank(
    configuration: document.Document,
    service: ids.ServiceName,
    upstream: ids.UpstreamId,
    others: list[ids.UpstreamId],
    today: datetime.date,
) -> int:
    """Returns the rank of an upstream by lapse day among others; 0 is the first.

    The rank is the number of different lapse days of the others that are earlier.
    """
    own = next_lapse_day(configuration, service, upstream, today)
    days = {next_lapse_day(configuration, service, other, today) for other in others}
    return sum(1 for day in days if day < own)
