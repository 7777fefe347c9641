"""An in-process store with keyed topics, for tests of the router role."""

import asyncio
import base64
import json
import struct
import urllib.parse

from teaselsill import http_messages
from tests import entry_bench


class KeyedStore(entry_bench.ScriptedUpstream):
    """Serves the store's API for keyed topics with one partition.

    Each response states the store's era, which rises when the store comes back from an
    older copy of itself. A read from an offset that it doesn't have gets 410.

    Attributes:
        down: While true, every request is answered with status 503.
        era: The era.
        calls: The calls, each a path and a topic, with the loop's time.
    """

    def __init__(self):
        super().__init__("store", self._respond)
        self.down = False
        self.era = 1
        self.calls = []
        self._records_by_topic = {}
        self._era_by_stream = {}
        self._silent = set()
        self._changed = asyncio.Event()

    def put(self, topic, key, value):
        """Appends a record; a value of `None` removes the key."""
        self._records_by_topic.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self):
        """Returns a copy of all records, to restore it later."""
        return {topic: list(each) for topic, each in self._records_by_topic.items()}

    def restore(self, copy, is_silent=False):
        """Goes back to a copy, in the next era.

        Args:
            copy: The copy.
            is_silent: Whether the open connections stay open but get no responses any
                more; they are reset otherwise.
        """
        self._records_by_topic = {topic: list(each) for topic, each in copy.items()}
        self.era += 1
        if is_silent:
            self._changed = asyncio.Event()
            return
        for stream in list(self._streams):
            stream.abort()

    def silence(self):
        """Answers nothing any more on the open connections; new ones work."""
        self._silent |= set(self._streams)

    def register(self, server, **fields):
        """Appends a server's entry, by default in the state `ready`.

        Args:
            server: The `entry_bench.ScriptedUpstream`.
            fields: Fields of the entry that differ from the defaults.
        """
        upstream = server.describe()
        entry = {
            "Service": "huvo11a",
            "Address": f"{upstream.host}:{upstream.port}",
            "Zone": "a",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
            "born": 1,
        }
        self.put("keyed.servers", upstream.id, json.dumps(entry | fields).encode())

    def newest(self, topic):
        """Returns the newest value of each key that has not been removed."""
        newest = dict(self._records_by_topic.get(topic, []))
        return {key: value for key, value in newest.items() if value is not None}

    async def _respond(self, request, stream):
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        self.calls.append((asyncio.get_running_loop().time(), path, fields["Topic"]))
        era = self._era_by_stream.setdefault(stream, self.era)
        status, body = 503, b""
        if not self.down and era == self.era:
            status, body = await self._handle(path, fields, request.body)
        if era != self.era or stream in self._silent:
            # What had accepted the connection is gone.
            await asyncio.Event().wait()
        head = [("content-length", str(len(body))), ("store-era", str(self.era))]
        stream.write(http_messages.encode_head(status, "X", head) + body)

    async def _handle(self, path, fields, body):
        topic = fields["Topic"]
        match path:
            case "/v1/log-newest":
                return 200, self._list(topic)
            case "/v1/log-read":
                return await self._read(topic, fields)
        # A length prefix of 4 bytes, the key's length in one byte, the key, the value.
        size = body[4]
        self.put(topic, body[5 : 5 + size].decode(), body[5 + size :])
        return 200, b"{}"

    def _list(self, topic):
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": 0}
            for key, value in self.newest(topic).items()
        ]
        end = len(self._records_by_topic.get(topic, []))
        body = {"Items": items, "HasMore": False, "EndOffset": end}
        return json.dumps(body).encode()

    async def _read(self, topic, fields):
        start = int(fields["From"])
        if start > len(self._records_by_topic.get(topic, [])):
            return 410, b'{"FirstOffset":0}'
        await self._wait_for_record(topic, start, int(fields.get("WaitMs", 0)) / 1000)
        records = self._records_by_topic.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return 200, body

    async def _wait_for_record(self, topic, start, wait_s):
        """Waits until a topic has a record at an offset, at most for a time."""
        try:
            async with asyncio.timeout(wait_s):
                while start >= len(self._records_by_topic.get(topic, [])):
                    await self._changed.wait()
        except TimeoutError:
            pass
