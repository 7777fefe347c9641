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
"""The most record bytes in one reply, unless its first record is larger."""

MAX_WAIT_S = 60.0
DEFAULT_LIMIT = 1000

_Number = typing.TypeVar("_Number", int, float)


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The faults of the log service.

    Attributes:
        down: Every call fails with status 503 and has no effect.
        delay_s: How long each call waits before it takes effect, in seconds.
        lose_replies: Appends take effect, but their connection closes unanswered.
        lose_next_reply: How many more appends lose their reply.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_replies: bool = False
    lose_next_reply: int = 0


class Record(msgspec.Struct):
    """One record of a stream, as a page lists it.

    Attributes:
        offset: Its place in the stream.
        data: The appended bytes.
    """

    offset: int
    data: bytes


class PageBody(msgspec.Struct):
    """The reply to a read.

    Attributes:
        end: The offset that the next append will get.
        records: Consecutive records from the asked offset on.
    """

    end: int
    records: list[Record]


class AppendBody(msgspec.Struct):
    """The reply to an append.

    Attributes:
        offset: The record's place in the stream.
    """

    offset: int


class ExpiredBody(msgspec.Struct):
    """The reply to a read of records that are no longer kept.

    Attributes:
        earliest: The first offset that can still be read.
    """

    earliest: int


class ExpireBody(msgspec.Struct):
    """The order to drop the records of a stream before an offset.

    Attributes:
        stream: The name of the stream.
        before: The first offset to keep.
    """

    stream: str
    before: int


class StatsBody(msgspec.Struct):
    """How many calls took effect.

    Attributes:
        appends: The number of appends by stream.
        reads: The number of reads by stream.
    """

    appends: dict[str, int]
    reads: dict[str, int]


@dataclasses.dataclass
class _Stream:
    records: list[Record] = dataclasses.field(default_factory=list)
    append_times_s: list[float] = dataclasses.field(default_factory=list)
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
        self.append_times_s.append(time.monotonic())
        self.appends += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def expire(self, before: int) -> None:
        count = max(0, min(before, self.end) - self.earliest)
        del self.records[:count]
        del self.append_times_s[:count]
        self.earliest += count

    def expire_older(self, oldest_s: float) -> None:
        before = self.earliest
        for append_time_s in self.append_times_s:
            if append_time_s >= oldest_s:
                break
            before += 1
        self.expire(before)

    def page(self, start: int, limit: int) -> list[Record]:
        chosen = []
        size = 0
        index = start - self.earliest
        for record in self.records[index : index + limit]:
            size += len(record.data)
            if chosen and size > MAX_PAGE_BYTES:
                break
            chosen.append(record)
        return chosen


class LogService:
    """The streams and their faults.

    Args:
        retention_s: How long records are kept, in seconds.

    Attributes:
        faults: The faults in force.
    """

    def __init__(self, retention_s: float = math.inf):
        self.faults = Faults()
        self._retention_s = retention_s
        self._streams_by_name: dict[str, _Stream] = {}

    async def append(self, request: requests.Request) -> responses.Response:
        """Appends the request's body to a stream."""
        data = await request.body()
        await self._apply_faults()
        offset = self._stream(request.path_params["name"]).append(data)
        if self._loses_reply():
            return await base.close_connection(request)
        return base.json_response(AppendBody(offset), 201)

    async def read(self, request: requests.Request) -> responses.Response:
        """Reads records, and waits for them if there are none yet."""
        await self._apply_faults()
        start = _number(request, "from", 0)
        wait_s = min(_number(request, "wait", 0.0), MAX_WAIT_S)
        limit = _number(request, "limit", DEFAULT_LIMIT)
        stream = self._stream(request.path_params["name"])
        await _wait_for_record(stream, start, wait_s)
        self._check_up()
        stream = self._stream(request.path_params["name"])
        stream.reads += 1
        if start < stream.earliest:
            return base.json_response(ExpiredBody(stream.earliest), 410)
        return base.json_response(PageBody(stream.end, stream.page(start, limit)))

    async def expire(self, request: requests.Request) -> responses.Response:
        """Drops records at once, whatever their age."""
        order = await base.decode_body(request, ExpireBody)
        stream = self._stream(order.stream)
        stream.expire(order.before)
        return base.json_response(ExpiredBody(stream.earliest))

    async def stats(self, request: requests.Request) -> responses.Response:
        """Reports how many calls took effect."""
        appends = {name: s.appends for name, s in self._streams_by_name.items()}
        reads = {name: s.reads for name, s in self._streams_by_name.items()}
        return base.json_response(StatsBody(appends, reads))

    def _stream(self, name: str) -> _Stream:
        stream = self._streams_by_name.setdefault(name, _Stream())
        stream.expire_older(time.monotonic() - self._retention_s)
        return stream

    async def _apply_faults(self) -> None:
        self._check_up()
        await asyncio.sleep(self.faults.delay_s)
        self._check_up()

    def _check_up(self) -> None:
        if self.faults.down:
            raise exceptions.HTTPException(503, "the log service is down")

    def _loses_reply(self) -> bool:
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


def _number(request: requests.Request, name: str, default: _Number) -> _Number:
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
        """Serves until the process is told to stop."""
        self.run(create_app(self.retention_s))


if __name__ == "__main__":
    cappa.invoke(Command)
