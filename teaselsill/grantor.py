"""Grants permits for the limited upstreams that this router is responsible for.

One router grants all permits of an upstream, so that their sum cannot exceed its limit.
Routers choose it by rendezvous hashing among those that are responsive, without any
agreement. While their views differ, two may hold themselves responsible: a router that
becomes responsible waits until its predecessor's permits have run out, and grants only
its part of the limit while some routers that may still run are out of its reach.
"""

import collections.abc
import dataclasses
import logging
import math
import typing

from teaselsill import announcements, ids, permit_queue, rendezvous, upstream_list

REFRESH_S = 0.05
"""How long the list of routers is reused."""
QUORUM_RATIO = 0.5
"""The part of the routers that a router hears at least, itself included, while it
grants permits under a strict limit."""
NOT_RESPONSIBLE_WAIT_S = 0.5
"""How long a request should wait that has asked a router that is not responsible."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """The routers as one of them sees them.

    Attributes:
        grantors: The routers that can grant permits, including this one if it can.
        reachable_ratio: The part of all routers that may be running which this router
            hears from, itself included.
        handover_s: How long permits of a predecessor may still be used, and views of
            the routers may differ, in seconds.
        uninterrupted_s: How long this router has run without interruption, in seconds.
    """

    grantors: frozenset[ids.InstanceId]
    reachable_ratio: float
    handover_s: float
    uninterrupted_s: float

    def can_grant(self, limit: announcements.Limit) -> bool:
        """Returns whether a router may grant its part of a limit.

        Under a strict limit it must hear enough of the others: those out of reach may
        be granting permits as well, or not know of the limit.
        """
        return not limit.is_strict or self.reachable_ratio >= QUORUM_RATIO


class DescribeMembers(typing.Protocol):
    """Describes the routers at a time, in seconds."""

    def __call__(self, now: float) -> Members:
        """Returns the members."""


FindLimit = collections.abc.Callable[
    [upstream_list.UpstreamKey], announcements.Limit | None
]


class Grantor:
    """Grants the permits of the upstreams that one router is responsible for.

    Args:
        router: This router.
        describe_members: Describes the routers.
        find_limit: Returns the limit of an upstream in force, or None.
    """

    def __init__(
        self,
        router: ids.InstanceId,
        describe_members: DescribeMembers,
        find_limit: FindLimit,
    ):
        self._router = router
        self._describe_members = describe_members
        self._find_limit = find_limit
        self._members: Members | None = None
        self._described_at = -math.inf
        self._changed_at = -math.inf
        self._grantor_by_key: dict[upstream_list.UpstreamKey, ids.InstanceId] = {}
        self._queue_by_key: dict[
            upstream_list.UpstreamKey, permit_queue.PermitQueue
        ] = {}

    @property
    def has_queues(self) -> bool:
        """Whether permits of any upstream are kept here."""
        return bool(self._queue_by_key)

    def find_grantor(
        self, key: upstream_list.UpstreamKey, now: float
    ) -> ids.InstanceId | None:
        """Returns the router that is responsible for an upstream, or None.

        Args:
            key: The upstream.
            now: The time, in seconds.
        """
        grantors = self._refresh(now).grantors
        if not grantors:
            return None
        known = self._grantor_by_key.get(key)
        if known is None:
            text = f"{key.upstream}/{key.born_ms}"
            known = max(grantors, key=lambda each: rendezvous.find_rank(text, each))
            self._grantor_by_key[key] = known
        return known

    def ask(
        self, key: upstream_list.UpstreamKey, waiter: permit_queue.Waiter, now: float
    ) -> list[permit_queue.Decision]:
        """Adds a request that wants a permit.

        Args:
            key: The upstream.
            waiter: The request.
            now: The time, in seconds.

        Returns:
            What is decided by that, also for other requests.
        """
        decisions = self._check(now)
        limit = self._find_limit(key)
        if limit is None:
            return [*decisions, permit_queue.Granted(waiter)]
        is_grantor = self.find_grantor(key, now) == self._router
        if not is_grantor or not self._refresh(now).can_grant(limit):
            denied = permit_queue.Denied(waiter, NOT_RESPONSIBLE_WAIT_S)
            return [*decisions, denied]
        return decisions + self._find_queue(key, limit, now).ask(waiter, now)

    def watch(self, now: float) -> None:
        """Notes periodically whether the routers have changed.

        Args:
            now: The time, in seconds.
        """
        self._refresh(now)

    def withdraw(
        self, key: upstream_list.UpstreamKey, waiter: permit_queue.Waiter
    ) -> None:
        """Removes a request that does not want a permit any more."""
        queue = self._queue_by_key.get(key)
        if queue is not None:
            queue.withdraw(waiter)

    def give_back(self, key: upstream_list.UpstreamKey, now: float) -> None:
        """Takes back a permit that was not used."""
        queue = self._queue_by_key.get(key)
        if queue is not None:
            queue.give_back(now)

    def settle(self, now: float) -> list[permit_queue.Decision]:
        """Grants the permits that there are by now.

        Args:
            now: The time, in seconds.
        """
        decisions = self._check(now)
        for queue in self._queue_by_key.values():
            decisions += queue.settle(now)
        return decisions

    def find_next_s(self, now: float) -> float:
        """Returns how long until the next permit for a request that waits, in seconds.

        Args:
            now: The time, in seconds.
        """
        return min(
            (q.find_next_s(now) for q in self._queue_by_key.values() if not q.is_idle),
            default=math.inf,
        )

    def list_waits(self, now: float) -> dict[ids.UpstreamId, float]:
        """Returns how long one more request waits for each upstream, in seconds."""
        return {
            key.upstream: queue.find_wait_s(now)
            for key, queue in self._queue_by_key.items()
        }

    def _check(self, now: float) -> list[permit_queue.Decision]:
        """Applies what has changed of the limits and of the routers.

        Args:
            now: The time, in seconds.
        """
        members = self._refresh(now)
        decisions = []
        for key, queue in list(self._queue_by_key.items()):
            limit = self._find_limit(key)
            if limit is None:
                decisions += queue.grant_all()
            elif self._has_lost(key, queue, members, now) or not members.can_grant(
                limit
            ):
                decisions += queue.deny_all(NOT_RESPONSIBLE_WAIT_S)
            else:
                per_s = limit.per_s * members.reachable_ratio
                queue.set_rate(per_s, now, limit.is_strict)
                continue
            del self._queue_by_key[key]
            self._log("stopped granting permits", key)
        return decisions

    def _has_lost(
        self,
        key: upstream_list.UpstreamKey,
        queue: permit_queue.PermitQueue,
        members: Members,
        now: float,
    ) -> bool:
        """Returns whether another router is responsible, or may have been meanwhile."""
        if self.find_grantor(key, now) != self._router:
            return True
        is_recent = members.uninterrupted_s < members.handover_s
        return is_recent and now - queue.created_at > members.uninterrupted_s

    def _refresh(self, now: float) -> Members:
        if self._members is None or now - self._described_at > REFRESH_S:
            members = self._describe_members(now)
            if self._members is None or members.grantors != self._members.grantors:
                self._grantor_by_key = {}
                self._changed_at = now
            self._members = members
            self._described_at = now
        return self._members

    def _find_queue(
        self, key: upstream_list.UpstreamKey, limit: announcements.Limit, now: float
    ) -> permit_queue.PermitQueue:
        queue = self._queue_by_key.get(key)
        if queue is None:
            members = self._refresh(now)
            opens_at = find_opening(limit, members, now, now - self._changed_at)
            per_s = limit.per_s * members.reachable_ratio
            queue = permit_queue.PermitQueue(
                per_s, opens_at, created_at=now, is_strict=limit.is_strict
            )
            self._queue_by_key[key] = queue
            self._log("granting permits", key, opens_in_s=round(opens_at - now, 3))
        return queue

    def _log(self, message: str, key: upstream_list.UpstreamKey, **fields) -> None:
        logger.info(message, extra={"upstream": key.upstream, **fields})


def find_opening(
    limit: announcements.Limit, members: Members, now: float, unchanged_s: float = 0.0
) -> float:
    """Returns when a router that has become responsible may begin to grant permits.

    Nobody can have granted permits before the limit was known. A strict limit is as
    short as a handover may be long, so its first permit may be asked for late: there a
    router has no predecessor that has been responsible all the while, and waits in any
    case after a change of the routers.

    Args:
        limit: The limit.
        members: The routers.
        now: The time, in seconds.
        unchanged_s: For how long the routers that can grant permits have been the same,
            in seconds.
    """
    if limit.is_strict:
        responsible_s = min(members.uninterrupted_s, unchanged_s)
        return now + max(0.0, members.handover_s - responsible_s)
    if now - limit.since >= members.handover_s:
        return now + members.handover_s
    missing_s = members.handover_s - members.uninterrupted_s
    return now + max(0.0, missing_s)
