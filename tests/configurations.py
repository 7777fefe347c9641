"""Configuration records and logs shared by several tests."""

import asyncio
import json

from teaselsill import configuration_fold, ids, log


def text_of(name):
    """Returns a valid document whose only client account has this id."""
    account = {"id": name, "share": 1, "services": []}
    return json.dumps({"client_accounts": [account], "services": []}).encode()


def pack_publish(based_on, text, publisher="kim"):
    record = configuration_fold.Publish(
        based_on, text, publisher, ids.new_random_id(), 0.0
    )
    return configuration_fold.pack(record)


class InterleavingLog(log.MemoryLog):
    """A log that yields before and after each call, so that callers interleave."""

    async def append(self, stream, data):
        await asyncio.sleep(0)
        offset = await super().append(stream, data)
        await asyncio.sleep(0)
        return offset

    async def read(self, stream, start, wait_s=0.0, limit=1000):
        await asyncio.sleep(0)
        return await super().read(stream, start, wait_s, limit)
