"""Obtains the fencing number of this agent from the log service.

The number is the offset of a record that the agent appends, so it only rises.
"""

import asyncio
import logging
import random

import msgspec

from teaselsill import ids, log

MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0

logger = logging.getLogger(__name__)


class _NumberRecord(msgspec.Struct, array_like=True):
    upstream: ids.UpstreamId
    incarnation: ids.Incarnation


def stream_name(service: ids.ServiceName) -> str:
    """Returns the name of the stream with the fencing numbers of a service."""
    return f"fencing.{service}"


class Fence:
    """The fencing number of one agent incarnation.

    A later incarnation beside the same upstream gets a higher number, so an upstream
    that checks the numbers rejects requests that an earlier incarnation still sends.

    Args:
        service_log: The log service.
        service: The service of the upstream.
        upstream: The upstream that the agent serves.
        incarnation: The incarnation of the agent.

    Attributes:
        number: The number, or none until the log service has returned one.
    """

    def __init__(
        self,
        service_log: log.Log,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        incarnation: ids.Incarnation,
    ):
        self.number: ids.Offset | None = None
        self._log = service_log
        self._stream = stream_name(service)
        self._record = msgspec.msgpack.encode(_NumberRecord(upstream, incarnation))

    async def obtain(self) -> None:
        """Obtains the number, retrying with backoff until the append succeeds.

        If the reply to an append is lost, its record remains unused.
        """
        backoff_s = MIN_BACKOFF_S
        while self.number is None:
            try:
                self.number = await self._log.append(self._stream, self._record)
            except log.LogUnavailableError as error:
                logger.info("no fencing number yet, retrying: %s", error)
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
