"""Gets this agent's fencing number: the offset of a record in the log service."""

import asyncio
import logging
import random

import msgspec

from teaselsill import ids, log

RETRY_MIN_S = 0.2
RETRY_MAX_S = 5.0

logger = logging.getLogger(__name__)


class _Taken(msgspec.Struct, array_like=True):
    upstream: ids.UpstreamId
    incarnation: ids.Incarnation


def stream_name(service: ids.ServiceName) -> str:
    """Returns the name of the stream that numbers a service's agents."""
    return f"fencing.{service}"


class Fence:
    """The fencing number of one agent incarnation.

    A later incarnation in the same place gets a higher number, so an upstream that
    checks the numbers refuses what an earlier one still sends.

    Args:
        service_log: The log service.
        service: The service of the agent's upstream.
        upstream: The upstream beside the agent.
        incarnation: The run of this process.

    Attributes:
        number: The number, or none while the log service has not given one.
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
        self._record = msgspec.msgpack.encode(_Taken(upstream, incarnation))

    async def obtain(self) -> None:
        """Asks for the number until there is one.

        A lost reply leaves a record behind that nobody uses.
        """
        delay_s = RETRY_MIN_S
        while self.number is None:
            try:
                self.number = await self._log.append(self._stream, self._record)
            except log.LogUnavailableError as error:
                logger.info("no fencing number yet: %s", error)
                await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
                delay_s = min(delay_s * 2, RETRY_MAX_S)
