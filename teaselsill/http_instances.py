"""The plug-in for an instance list that is met over HTTP, as in docs/platform.md."""

import aiohttp
import msgspec

from teaselsill import ids, instances, registry

TIMEOUT_S = 2.0


class _ListBody(msgspec.Struct):
    instances: list[instances.Instance]


@registry.register(registry.Kind.INSTANCES, "http")
class HttpInstanceList(instances.InstanceList):
    """A client of the instance list's HTTP interface.

    Args:
        url: The list's address, such as `http://127.0.0.1:7001`.
    """

    def __init__(self, url: str):
        self._url = f"{url.rstrip('/')}/instances"
        self._session: aiohttp.ClientSession | None = None

    async def fetch(self) -> dict[ids.InstanceId, instances.Instance]:
        """Fetches the list; see `InstanceList.fetch`."""
        body = await self._get()
        try:
            listed = msgspec.json.decode(body, type=_ListBody).instances
        except msgspec.MsgspecError as error:
            raise instances.InstanceListUnavailableError(
                f"unreadable reply: {error}"
            ) from error
        return {instance.id: instance for instance in listed}

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def _get(self) -> bytes:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
            self._session = aiohttp.ClientSession(timeout=timeout)
        try:
            async with self._session.get(self._url) as response:
                response.raise_for_status()
                return await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise instances.InstanceListUnavailableError(
                f"{self._url}: {error or type(error).__name__}"
            ) from error
