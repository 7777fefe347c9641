"""Copies of a topic, which routers get from each other while they cannot read it.

The log service may turn some routers away and serve the others. A router that hears
from others of changes which it cannot read gets all newest records of the topic from
one of them.
"""

import asyncio
import collections.abc
import logging
import random

import msgspec

from teaselsill import (
    bounded_body,
    errors,
    fleet_view,
    http_messages,
    ids,
    keyed_follower,
    keyed_log,
    log_position,
    peer_reports,
    tcp_stream,
    upstream_connection,
    whole_response,
)

PATH = "/topic-copy"
CHECK_S = 0.25
"""How often a router looks whether it needs a copy."""
MAX_PAUSE_S = 4.0
"""The longest pause after a copy that told nothing new; doubled from the first one."""
CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
MAX_COPY_BYTES = 8 * 1024 * 1024
OK = 200

logger = logging.getLogger(__name__)


class CopyFailedError(errors.LogError):
    """Another router did not send a copy that can be used."""


class TopicCopy(msgspec.Struct, array_like=True, frozen=True):
    """The newest records of a topic, as one router knows them.

    Attributes:
        era: The era of the log in which they were read.
        next_offset: The offset after the last record that was read.
        value_by_key: The newest value of each key that is not deleted.
    """

    era: ids.Era
    next_offset: ids.Offset
    value_by_key: dict[str, bytes]


def encode(page: keyed_log.KeyedPage | None) -> bytes:
    """Encodes the newest records of a topic; empty if they are not known yet."""
    if page is None:
        return b""
    value_by_key = {record.key: record.value for record in page.records}
    return msgspec.msgpack.encode(
        TopicCopy(page.end.era, page.end.offset, value_by_key)
    )


def decode(body: bytes) -> keyed_log.KeyedPage:
    """Decodes the newest records of a topic.

    Raises:
        CopyFailedError: The bytes are no copy.
    """
    try:
        copy = msgspec.msgpack.decode(body, type=TopicCopy)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise CopyFailedError(f"malformed copy: {error}") from error
    records = [
        keyed_log.KeyedRecord(key, value) for key, value in copy.value_by_key.items()
    ]
    return keyed_log.KeyedPage(
        records, log_position.Position(copy.era, copy.next_offset)
    )


async def fetch(host: str, port: int) -> keyed_log.KeyedPage:
    """Gets a copy from another router.

    Raises:
        CopyFailedError: It did not send one that can be used.
    """
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            response = await _call(host, port)
    except TimeoutError as error:
        raise CopyFailedError("no response in time") from error
    except (
        bounded_body.BodyTooLargeError,
        tcp_stream.ConnectionFailedError,
        upstream_connection.ResponseFailedError,
    ) as error:
        raise CopyFailedError(str(error)) from error
    if response.head.status != OK:
        raise CopyFailedError(f"status {response.head.status}")
    return decode(response.body)


async def _call(host: str, port: int) -> whole_response.WholeResponse:
    connection = await upstream_connection.open_connection(
        host, port, CONNECT_TIMEOUT_S
    )
    try:
        headers = [("host", f"{host}:{port}")]
        request = http_messages.encode_request("GET", PATH, headers, b"")
        connection.send("GET", request, lambda head: True)
        return await whole_response.receive(connection, "router", MAX_COPY_BYTES)
    finally:
        connection.abort()


def choose_source(
    data_centre: ids.DataCentre,
    others: collections.abc.Mapping[ids.InstanceId, peer_reports.RouterStatus],
) -> ids.InstanceId | None:
    """Returns the router to get a copy from; a random one, preferably a near one.

    Args:
        data_centre: The data centre of this router.
        others: The latest status of the other routers.
    """
    serving = [router for router, status in others.items() if status.copy_port]
    near = [each for each in serving if others[each].data_centre == data_centre]
    return random.choice(near or serving) if serving else None


class CopyReader:
    """Gets copies of a topic while its follower cannot read known changes.

    Args:
        follower: Follows the topic.
        data_centre: The data centre of this router.
        view: The status of the other routers.
    """

    def __init__(
        self,
        follower: keyed_follower.Follower,
        data_centre: ids.DataCentre,
        view: fleet_view.FleetView,
    ):
        self._follower = follower
        self._data_centre = data_centre
        self._view = view

    async def run(self) -> None:
        """Gets a copy whenever one is needed, until cancelled."""
        pause_s = CHECK_S
        while True:
            await asyncio.sleep(pause_s)
            if self._follower.needs_copy and not await self._read():
                pause_s = min(MAX_PAUSE_S, 2 * pause_s)
            else:
                pause_s = CHECK_S

    async def _read(self) -> bool:
        """Gets a copy from one router; returns whether it told something new."""
        statuses = self._view.list_statuses()
        source = choose_source(self._data_centre, statuses)
        if source is None:
            return False
        status = statuses[source]
        try:
            page = await fetch(status.host, status.copy_port)
        except CopyFailedError as error:
            logger.info(
                "no copy of the topic", extra={"peer": source, "reason": str(error)}
            )
            return False
        if not self._follower.apply_copy(page):
            return False
        logger.info(
            "copy of the topic applied",
            extra={"peer": source, "offset": page.end.offset},
        )
        return True
