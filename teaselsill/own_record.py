"""Keeps a record of this process in the log, also after the log has been restored."""

import asyncio
import collections.abc
import logging
import random

from teaselsill import ids, keyed_log, log

logger = logging.getLogger(__name__)


class OwnRecord:
    """A record that this process writes again whenever the log may have lost it.

    Args:
        target: The log.
        topic: The topic.
        record: The record.
        find_spread_s: Returns over how much time the processes spread their writes
            after the log has come back from an older copy, in seconds.
    """

    def __init__(
        self,
        target: keyed_log.KeyedLog,
        topic: str,
        record: keyed_log.KeyedRecord,
        find_spread_s: collections.abc.Callable[[], float],
    ):
        self._target = target
        self._topic = topic
        self._record = record
        self._find_spread_s = find_spread_s
        self._may_be_lost = asyncio.Event()

    async def run(self) -> None:
        """Keeps the record written until cancelled."""
        await self._put_with_retries()
        while True:
            await self._may_be_lost.wait()
            await asyncio.sleep(random.uniform(0.0, self._find_spread_s()))
            # A restore from now on may lose the write that begins here.
            self._may_be_lost.clear()
            await self._put_with_retries()
            logger.info("own record written again", extra={"topic": self._topic})

    def note_restore(self, era: ids.Era) -> None:
        """Writes the record again: the log has come back from an older copy."""
        self._may_be_lost.set()

    async def _put_with_retries(self) -> None:
        """Appends the record, retrying with backoff until the log has accepted it."""
        backoff_s = keyed_log.MIN_BACKOFF_S
        while True:
            try:
                await self._target.put(self._topic, self._record)
                return
            except log.LogUnavailableError as error:
                logger.warning(
                    "record not appended, retrying",
                    extra={"topic": self._topic, "reason": str(error)},
                )
            await asyncio.sleep(backoff_s * random.uniform(0.7, 1.0))
            backoff_s = min(2 * backoff_s, keyed_log.MAX_BACKOFF_S)
