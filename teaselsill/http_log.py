"""The plug-in for a log service with the HTTP interface of docs/platform.md."""

import aiohttp
import msgspec

from teaselsill import ids, log, registry, response_body

GRACE_S = 2.0
"""How long a response may take beyond the requested wait, in seconds."""


class _PageBody(msgspec.Struct):
    end: int
    records: list["_RecordBody"]


class _RecordBody(msgspec.Struct):
    offset: int
    data: bytes


class _AppendBody(msgspec.Struct):
    offset: int


class _ExpiredBody(msgspec.Struct):
    earliest: int


@registry.register(registry.Kind.LOG, "http")
class HttpLog(log.Log):
    """A client of the log service's HTTP interface.

    Args:
        url: The base URL of the service, such as `http://127.0.0.1:7000`.
    """

    def __init__(self, url: str):
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def append(self, stream: str, data: bytes) -> ids.Offset:
        """Appends one record; see `Log.append`."""
        status, body = await self._call("POST", stream, GRACE_S, data=data)
        if status != 201:
            raise log.LogUnavailableError(f"append to {stream}: status {status}")
        return ids.Offset(_decode(body, _AppendBody).offset)

    async def read(
        self, stream: str, start: ids.Offset, wait_s: float = 0.0, limit: int = 1000
    ) -> log.Page:
        """Reads records; see `Log.read`."""
        params = {"from": str(start), "wait": str(wait_s), "limit": str(limit)}
        status, body = await self._call("GET", stream, wait_s + GRACE_S, params=params)
        if status == 410:
            earliest = _decode(body, _ExpiredBody).earliest
            raise log.OffsetExpiredError(ids.Offset(earliest))
        if status != 200:
            raise log.LogUnavailableError(f"read of {stream}: status {status}")
        page = _decode(body, _PageBody)
        records = [log.Record(ids.Offset(r.offset), r.data) for r in page.records]
        return log.Page(records, ids.Offset(page.end))

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(self, method, stream, timeout_s, **arguments):
        if self._session is None:
            self._session = aiohttp.ClientSession()
        url = f"{self._url}/streams/{stream}"
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.request(
                method, url, timeout=timeout, **arguments
            ) as response:
                return response.status, await response_body.read(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise log.LogUnavailableError(
                f"{method} {stream}: {error or type(error).__name__}"
            ) from error


def _decode(body, body_type):
    try:
        return msgspec.json.decode(body, type=body_type)
    except msgspec.MsgspecError as error:
        raise log.LogUnavailableError(f"unreadable response: {error}") from error
