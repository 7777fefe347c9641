"""Follows the platform's list of instances, and keeps the last one while it is down."""

import asyncio
import logging
import random

from teaselsill import errors, ids, instances

POLL_S = 1.0
POLL_JITTER = 0.2

logger = logging.getLogger(__name__)


class Membership:
    """The instances of the fleet, as the platform last told.

    Args:
        source: The instance list's client.

    Attributes:
        by_id: The instances by their id.
    """

    def __init__(self, source: instances.InstanceList):
        self.by_id: dict[ids.InstanceId, instances.Instance] = {}
        self._source = source
        self._callbacks = []

    def subscribe(self, callback) -> None:
        """Has a function called, without arguments, whenever the list changes."""
        self._callbacks.append(callback)

    def agents_of(self, service: ids.ServiceName) -> list[instances.Instance]:
        """Returns the agents beside a service's upstreams, leaving ones too."""
        return [
            instance
            for instance in self.by_id.values()
            if instance.role is instances.Role.AGENT and instance.service == service
        ]

    async def refresh(self) -> None:
        """Fetches the list once and tells the subscribers of a change.

        Raises:
            InstanceListUnavailableError: No usable reply came; an empty list is
                none, since this process is listed itself.
        """
        by_id = await self._source.fetch()
        if not by_id:
            raise instances.InstanceListUnavailableError("the list is empty")
        if by_id == self.by_id:
            return
        self.by_id = by_id
        for callback in self._callbacks:
            callback()

    async def run(self) -> None:
        """Polls the list for ever."""
        while True:
            try:
                await self.refresh()
            except errors.InstanceListError as error:
                logger.warning("instance list unavailable, keeping the last: %s", error)
            await asyncio.sleep(POLL_S * random.uniform(1 - POLL_JITTER, 1))
