"""The store comes back from a copy; the next manifest is never read."""

import asyncio
import pathlib
import sys
import time

sys.path.append(str(pathlib.Path(__file__).resolve().parents[1]))

import common

ROUTERS = 3
COPY_AGE_S = 4.0
AWAY_S = 1.0
WATCH_S = 20.0
OLD, NEW = "orders-old", "orders-new"
KEPT_KEY, REVOKED_KEY = "key-kept", "key-revoked"


def make_version(number, service, keys, extra=()):
    """Returns a version of the manifest in which `/orders/` leads to a service."""
    routes = [common.make_route("orders", service)]
    routes += [common.make_route(name, OLD) for name in extra]
    return common.make_manifest(number, routes, [OLD, NEW], {"tenant-1": keys})


class Case:
    """One run of the case."""

    def __init__(self, has_trouble, record, folder):
        self._has_trouble = has_trouble
        self._record = record
        self._client = common.Client(record)
        self._store = common.Store(f"{common.NETWORK}.10", record)
        self._is_away = False
        self._servers = [
            common.Server(f"{common.NETWORK}.{20 + n}", f"i-{n}", service, "a", record)
            for n, service in enumerate([OLD, OLD, NEW, NEW])
        ]
        self._folder = folder
        self._routers = []
        self._version = 3

    async def run(self):
        """Returns whether the rule held."""
        await self._store.open()
        beats = []
        try:
            for server in self._servers:
                await server.open()
                server.register(self._store)
                beating = server.beat(self._store, lambda: self._is_away)
                beats.append(asyncio.create_task(beating))
            self._write(make_version(3, OLD, [KEPT_KEY, REVOKED_KEY]))
            for number in range(ROUTERS):
                router = common.Router(number, self._store.address, self._folder)
                self._routers.append(router)
                await router.start()
            for router in self._routers:
                await router.wait_ready()
            await asyncio.sleep(common.STABLE_WINDOW_S)
            return await self._play()
        finally:
            for beat in beats:
                beat.cancel()
            for router in self._routers:
                await router.kill()
            for server in [self._store, *self._servers]:
                server.close()

    async def _play(self):
        copy = self._store.copy()
        keys = [KEPT_KEY, REVOKED_KEY]
        self._write(make_version(5, OLD, keys, ["added-5"]))
        await asyncio.sleep(COPY_AGE_S / 2)
        newest = make_version(9, OLD, keys, ["added-5", "added-9"])
        self._write(newest)
        await asyncio.sleep(COPY_AGE_S / 2)
        for router in self._routers:
            status = (await self._client.send(router, "/added-9/1", KEPT_KEY))[2]
            if status != 200:
                raise common.CannotRunError(f"{router.name} lacks version 9: {status}")
        if self._has_trouble:
            await self._go_back(copy, newest)
        # The operator's next change.
        acked_at = self._write(make_version(12, NEW, [KEPT_KEY], ["added-5"]))
        return await self._watch(acked_at)

    async def _go_back(self, copy, newest):
        """The store is away for a moment and comes back from a copy."""
        self._is_away = True
        self._store.close()
        self._record.write("store: away")
        await asyncio.sleep(AWAY_S)
        self._store.restore(copy)
        self._is_away = False
        await self._store.open()
        self._record.write(f"store: back, from a copy {COPY_AGE_S} s old")
        # The operator and the servers write again what they wrote: the newest record
        # of each of their keys.
        self._write(newest)
        for server in self._servers:
            server.register(self._store)

    def _write(self, manifest):
        offset = self._store.put("keyed.op", "config", manifest)
        self._record.write(f"operator: acked {manifest[:15].decode()} at {offset}")
        return time.monotonic()

    async def _watch(self, acked_at):
        """Returns whether all routers handle requests as the new version says."""
        bound_s = common.CONFIG_APPLY_S + common.STRETCH_MAX_S
        late = []
        is_served = False
        while time.monotonic() < acked_at + WATCH_S:
            results = await asyncio.gather(
                *[
                    self._client.send(router, "/orders/1", key)
                    for router in self._routers
                    for key in (KEPT_KEY, REVOKED_KEY)
                ]
            )
            for number, (attempt, sent_at, status) in enumerate(results):
                if sent_at <= acked_at + bound_s:
                    continue
                router = self._routers[number // 2]
                is_revoked = number % 2 == 1
                ran_at = [
                    s.service for s in self._servers for a, _ in s.runs if a == attempt
                ]
                is_served = is_served or (status == 200 and ran_at == [NEW])
                if OLD in ran_at or (is_revoked and ran_at):
                    late.append((router.name, sent_at - acked_at, is_revoked, ran_at))
            await asyncio.sleep(0.2)
        for name, after_s, is_revoked, ran_at in late:
            key = "the revoked key" if is_revoked else "a valid key"
            self._record.write(
                f"CONFIG: {after_s:.1f} s after the ack, {name} had a request with "
                f"{key} run by {ran_at}"
            )
        if late:
            names = sorted({each[0] for each in late})
            last_s = max(each[1] for each in late)
            print(f"{len(late)} requests by the old version at {names}", end=", ")
            print(f"the last {last_s:.1f} s after the ack")
        elif not is_served:
            raise common.CannotRunError("nothing was served by the new version")
        return not late


async def play(has_trouble, record, folder):
    """Runs the case."""
    return await Case(has_trouble, record, folder).run()


if __name__ == "__main__":
    common.main(play, __file__)
