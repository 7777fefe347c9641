"""The plug-in for an instance list with the HTTP interface of docs/platform.md."""

import dataclasses

import aiohttp
import msgspec

from teaselsill import ids, instances, registry, response_body

TIMEOUT_S = 2.0
NOT_MODIFIED_STATUS = 304


class _ListBody(msgspec.Struct):
    instances: list[instances.Instance]


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    body: bytes
    entity_tag: str
    is_unchanged: bool


@registry.register(registry.Kind.INSTANCES, "http")
class HttpInstanceList(instances.InstanceList):
    """A client of the instance list's HTTP interface.

    Args:
        url: The base URL of the list, such as `http://127.0.0.1:7001`.
    """

    def __init__(self, url: str):
        self._url = f"{url.rstrip('/')}/instances"
        self._session: aiohttp.ClientSession | None = None
        self._by_id: dict[ids.InstanceId, instances.Instance] = {}
        self._entity_tag = ""

    async def fetch(self) -> dict[ids.InstanceId, instances.Instance]:
        """Fetches the list unless it is unchanged; see `InstanceList.fetch`."""
        response = await self._get()
        if response.is_unchanged:
            return self._by_id
        try:
            listed = msgspec.json.decode(response.body, type=_ListBody).instances
        except msgspec.MsgspecError as error:
            raise instances.InstanceListUnavailableError(
                f"unreadable response: {error}"
            ) from error
        self._by_id = {instance.id: instance for instance in listed}
        self._entity_tag = response.entity_tag
        return self._by_id

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def _get(self) -> _Response:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
            self._session = aiohttp.ClientSession(timeout=timeout)
        headers = {"If-None-Match": self._entity_tag} if self._entity_tag else {}
        try:
            async with self._session.get(self._url, headers=headers) as response:
                response.raise_for_status()
                return _Response(
                    await response_body.read(response),
                    response.headers.get("ETag", ""),
                    is_unchanged=response.status == NOT_MODIFIED_STATUS,
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise instances.InstanceListUnavailableError(
                f"{self._url}: {error or type(error).__name__}"
            ) from error
