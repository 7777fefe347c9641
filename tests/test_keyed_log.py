import asyncio

from teaselsill import ids, keyed_log, log, log_position


def at(offset, era=ids.NO_ERA):
    """Returns a position."""
    return log_position.Position(era, ids.Offset(offset))


class MemoryKeyedLog(keyed_log.KeyedLog):
    """A keyed log in memory with switchable failures, which can be restored.

    Attributes:
        era: The era that it states.
    """

    def __init__(self):
        self.records = []
        self.era = ids.NO_ERA
        self.earliest = 0
        self.down = False
        self.reads = []
        self.listings = 0
        self.changed = asyncio.Event()

    def add(self, key, value):
        self.records.append(keyed_log.KeyedRecord(key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, records):
        """Goes back to a copy; reads that wait get no response."""
        self.records = list(records)
        self.era = ids.Era(self.era + 1)
        self.changed = asyncio.Event()

    async def list_newest(self, topic):
        self.check_up()
        self.listings += 1
        newest = {record.key: record for record in self.records}
        records = [r for r in newest.values() if r.value is not None]
        return keyed_log.KeyedPage(records, at(len(self.records), self.era))

    async def read(self, topic, start, wait_s):
        self.check_up()
        self.reads.append(wait_s)
        if start.offset < self.earliest or start.offset > len(self.records):
            raise log.OffsetExpiredError(ids.Offset(self.earliest))
        if start.offset == len(self.records) and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
            self.check_up()
        records = self.records[start.offset :]
        return keyed_log.KeyedPage(records, at(len(self.records), self.era))

    async def put(self, topic, record):
        self.check_up()
        self.add(record.key, record.value)

    def check_up(self):
        if self.down:
            raise log.LogUnavailableError("down")
