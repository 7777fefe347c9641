"""A store in this process that keeps keyed topics, for tests of the router role."""

import asyncio
import base64
import json
import struct
import urllib.parse

from teaselsill import http_messages
from tests import entry_bench


class KeyedStore(entry_bench.ScriptedUpstream):
    """Answers the store's calls on keyed topics of one partition.

    Attributes:
        down: While set, every call is answered with 503.
    """

    def __init__(self):
        super().__init__("store", self._answer)
        self.down = False
        self._records_by_topic = {}
        self._changed = asyncio.Event()

    def put(self, topic, key, value):
        """Appends a record; a value of none drops the key."""
        self._records_by_topic.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def register(self, server, **fields):
        """Appends the entry of a server that is ready.

        Args:
            server: The `entry_bench.ScriptedUpstream`.
            fields: Other values of its fields.
        """
        known = server.describe()
        entry = {
            "Service": "huvo11a",
            "Address": f"{known.host}:{known.port}",
            "Zone": "a",
            "Slots": 8,
            "State": "ready",
            "born": 1,
        }
        self.put("keyed.servers", known.id, json.dumps(entry | fields).encode())

    def newest(self, topic):
        """Returns the newest value of each key."""
        newest = dict(self._records_by_topic.get(topic, []))
        return {key: value for key, value in newest.items() if value is not None}

    async def _answer(self, request, stream):
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        status, body = 503, b""
        if not self.down:
            status, body = 200, await self._call(path, fields, request.body)
        head = [("content-length", str(len(body)))]
        stream.write(http_messages.encode_head(status, "X", head) + body)

    async def _call(self, path, fields, sent):
        topic = fields["Topic"]
        match path:
            case "/v1/log-newest":
                return self._list(topic)
            case "/v1/log-read":
                return await self._read(topic, fields)
        size = sent[4]
        self.put(topic, sent[5 : 5 + size].decode(), sent[5 + size :])
        return b"{}"

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
        if start >= len(self._records_by_topic.get(topic, [])):
            try:
                async with asyncio.timeout(int(fields.get("WaitMs", 0)) / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        records = self._records_by_topic.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return body
