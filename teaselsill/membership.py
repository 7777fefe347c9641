"""Polls the platform's instance list and keeps the last one while it is down."""

import asyncio
import logging
import random

from teaselsill import errors, ids, instances

POLL_S = 1.0
POLL_JITTER = 0.2

logger = logging.getLogger(__name__)


class Membership:
    """The instances of the fleet, as last listed by the platform.

    Args:
        source: The client of the instance list.

    Attributes:
        by_id: The instances by their id.
    """

    def __init__(self, source: instances.InstanceList):
        self.by_id: dict[ids.InstanceId, instances.Instance] = {}
        self._source = source
        self._callbacks = []

    def subscribe(self, callback) -> None:
        """Registers a function that is called without arguments on every change."""
        self._callbacks.append(callback)

    def agents_of(self, service: ids.ServiceName) -> list[instances.Instance]:
        """Returns the agents of a service's upstreams, including leaving agents."""
        return [
            instance
            for instance in self.by_id.values()
            if instance.role is instances.Role.AGENT and instance.service == service
        ]

    async def refresh(self) -> None:
        """Fetches the list once and calls the subscribers if it changed.

        Raises:
            InstanceListUnavailableError: No usable reply came. An empty list is not
                usable: the list contains at least this process.
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
        """Polls the list until cancelled."""
        while True:
            try:
                await self.refresh()
            except errors.InstanceListError as error:
                logger.warning(
                    "instance list unavailable, keeping the last one: %s", error
                )
            await asyncio.sleep(POLL_S * random.uniform(1 - POLL_JITTER, 1))
