"""A stand-in for the platform's append-only log service."""

import asyncio
import dataclasses
import math
import time
import typing

import cappa
import msgspec
from starlette import exceptions, requests, responses, routing

from standins import base

MAX_PAGE_BYTES = 4_000_000
"""The maximum size of the records in one page, unless the first one is larger."""

MAX_WAIT_S = 60.0
DEFAULT_LIMIT = 1000

_Number = typing.TypeVar("_Number", int, float)


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The faults of the log service.

    Attributes:
        down: Every request fails with status 503 and has no effect.
        delay_s: The delay before a request takes effect, in seconds.
        lose_replies: Appends take effect, but their connection closes without a
            response.
        lose_next_reply: How many of the next appends lose their response in this way,
            even if `lose_replies` is false.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_replies: bool = False
    lose_next_reply: int = 0


class Record(msgspec.Struct):
    """One record of a stream, as it stands in a page.

    Attributes:
        offset: Its position in the stream.
        data: The appended bytes.
    """

    offset: int
    data: bytes


class PageBody(msgspec.Struct):
    """The response to a read.

    Attributes:
        end: The offset that the next appended record will get.
        records: Consecutive records from the requested offset on.
    """

    end: int
    records: list[Record]


class AppendBody(msgspec.Struct):
    """The response to an append.

    Attributes:
        offset: The record's position in the stream.
    """

    offset: int


class ExpiredBody(msgspec.Struct):
    """The response to a read of records that have expired.

    Attributes:
        earliest: The first offset that can still be read.
    """

    earliest: int


class ExpireBody(msgspec.Struct):
    """A request to expire the records of a stream before an offset.

    Attributes:
        stream: The name of the stream.
        before: The first offset to keep.
    """

    stream: str
    before: int


class StatsBody(msgspec.Struct):
    """The number of requests that took effect.

    Attributes:
        appends: The number of appends by stream.
        reads: The number of reads by stream.
    """

    appends: dict[str, int]
    reads: dict[str, int]


@dataclasses.dataclass
class _Stream:
    records: list[Record] = dataclasses.field(default_factory=list)
    append_times: list[float] = dataclasses.field(default_factory=list)
    earliest: int = 0
    appends: int = 0
    reads: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        return self.earliest + len(self.records)

    def append(self, data: bytes) -> int:
        offset = self.end
        self.records.append(Record(offset, data))
        self.append_times.append(time.monotonic())
        self.appends += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def expire(self, before: int) -> None:
        count = max(0, min(before, self.end) - self.earliest)
        del self.records[:count]
        del self.append_times[:count]
        self.earliest += count

    def expire_before_time(self, min_time: float) -> None:
        before = self.earliest
        for appended_at in self.append_times:
            if appended_at >= min_time:
                break
            before += 1
        self.expire(before)

    def read_page(self, start: int, limit: int) -> list[Record]:
        page = []
        size = 0
        index = start - self.earliest
        for record in self.records[index : index + limit]:
            size += len(record.data)
            if page and size > MAX_PAGE_BYTES:
                break
            page.append(record)
        return page


class LogService:
    """The streams of the log service.

    Args:
        retention_s: How long records are kept, in seconds.

    Attributes:
        faults: The active faults.
    """

    def __init__(self, retention_s: float = math.inf):
        self.faults = Faults()
        self._retention_s = retention_s
        self._stream_by_name: dict[str, _Stream] = {}

    async def append(self, request: requests.Request) -> responses.Response:
        """Appends the request's body to a stream as one record."""
        data = await request.body()
        await self._apply_faults()
        offset = self._stream(request.path_params["name"]).append(data)
        if self._should_lose_response():
            return await base.close_connection(request)
        return base.json_response(AppendBody(offset), 201)

    async def read(self, request: requests.Request) -> responses.Response:
        """Returns a page of records; waits for an append if there are none yet."""
        await self._apply_faults()
        start = _parse_number(request, "from", 0)
        wait_s = min(_parse_number(request, "wait", 0.0), MAX_WAIT_S)
        limit = _parse_number(request, "limit", DEFAULT_LIMIT)
        stream = self._stream(request.path_params["name"])
        await _wait_for_record(stream, start, wait_s)
        self._raise_if_down()
        stream = self._stream(request.path_params["name"])
        stream.reads += 1
        if start < stream.earliest:
            return base.json_response(ExpiredBody(stream.earliest), 410)
        return base.json_response(PageBody(stream.end, stream.read_page(start, limit)))

    async def expire(self, request: requests.Request) -> responses.Response:
        """Expires records regardless of their age."""
        body = await base.decode_body(request, ExpireBody)
        stream = self._stream(body.stream)
        stream.expire(body.before)
        return base.json_response(ExpiredBody(stream.earliest))

    async def stats(self, request: requests.Request) -> responses.Response:
        """Returns the number of requests that took effect."""
        appends = {name: s.appends for name, s in self._stream_by_name.items()}
        reads = {name: s.reads for name, s in self._stream_by_name.items()}
        return base.json_response(StatsBody(appends, reads))

    def _stream(self, name: str) -> _Stream:
        stream = self._stream_by_name.setdefault(name, _Stream())
        stream.expire_before_time(time.monotonic() - self._retention_s)
        return stream

    async def _apply_faults(self) -> None:
        self._raise_if_down()
        await asyncio.sleep(self.faults.delay_s)
        self._raise_if_down()

    def _raise_if_down(self) -> None:
        if self.faults.down:
            raise exceptions.HTTPException(503, "the log service is down")

    def _should_lose_response(self) -> bool:
        if self.faults.lose_next_reply > 0:
            self.faults.lose_next_reply -= 1
            return True
        return self.faults.lose_replies


async def _wait_for_record(stream: _Stream, start: int, wait_s: float) -> None:
    try:
        async with asyncio.timeout(wait_s):
            while start >= stream.end and wait_s > 0:
                await stream.changed.wait()
    except TimeoutError:
        pass


def _parse_number(request: requests.Request, name: str, default: _Number) -> _Number:
    try:
        value = type(default)(request.query_params.get(name, default))
    except ValueError:
        raise exceptions.HTTPException(400, f"{name} is not a number") from None
    if not value >= 0:
        raise exceptions.HTTPException(400, f"{name} is negative")
    return value


def create_app(retention_s: float = math.inf) -> base.Application:
    """Makes the application.

    Args:
        retention_s: How long records are kept, in seconds.
    """
    service = LogService(retention_s)
    return base.Application(
        routes=[
            *base.admin_routes(service),
            routing.Route("/admin/expire", service.expire, methods=["POST"]),
            routing.Route("/admin/stats", service.stats),
            routing.Route("/streams/{name:path}", service.append, methods=["POST"]),
            routing.Route("/streams/{name:path}", service.read),
        ]
    )


@cappa.command(name="log_service")
@dataclasses.dataclass
class Command(base.Command):
    """Serves a stand-in for the platform's log service.

    Attributes:
        retention_s: How long records are kept, in seconds.
    """

    retention_s: typing.Annotated[float, cappa.Arg(long=True)] = math.inf

    def __call__(self) -> None:
        """Serves until the process gets a signal to stop."""
        self.run(create_app(self.retention_s))


if __name__ == "__main__":
    cappa.invoke(Command)
