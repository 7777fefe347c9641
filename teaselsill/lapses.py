"""Which upstreams to use first, so that paid-for credits do useful work."""

import datetime

from teaselsill import document, ids

NEVER = datetime.date.max


def next_lapse_day(
    known: document.Document,
    service: ids.ServiceName,
    upstream: ids.UpstreamId,
    today: datetime.date,
) -> datetime.date:
    """Returns the next day on which credits for an upstream lapse.

    Args:
        known: The configuration.
        service: The upstream's service.
        upstream: The upstream.
        today: Credits that lapsed before this day do not count.

    Returns:
        The day, or `NEVER` if no credits cover the upstream.
    """
    days = [
        purchase.lapses
        for purchase in known.credits
        if purchase.service == service
        and purchase.lapses >= today
        and (not purchase.upstreams or upstream in purchase.upstreams)
    ]
    return min(days, default=NEVER)


def lapse_rank(
    known: document.Document,
    service: ids.ServiceName,
    upstream: ids.UpstreamId,
    others: list[ids.UpstreamId],
    today: datetime.date,
) -> int:
    """Returns how many different lapse days among some upstreams come earlier."""
    own = next_lapse_day(known, service, upstream, today)
    days = {next_lapse_day(known, service, other, today) for other in others}
    return sum(1 for day in days if day < own)
