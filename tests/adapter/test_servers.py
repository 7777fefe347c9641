import ipaddress
import json
import unittest

import hypothesis
from adapter import servers
from hypothesis import strategies

from teaselsill import upstream_list

ENTRY = {
    "Service": "huvo11a",
    "Address": "10.128.0.9:8080",
    "Zone": "chaguanas",
    "Version": "v1",
    "Slots": 128,
    "State": "ready",
    "ColdLeftMs": 0,
    "Seq": 4,
    "born": 1784002132479,
}


def decode(**fields):
    entry = {k: v for k, v in (ENTRY | fields).items() if v is not ...}
    return servers.decode("i-1", json.dumps(entry).encode()).upstream


class DecodeTest(unittest.TestCase):
    def test_decodes_every_field(self):
        upstream = decode()
        self.assertEqual(("i-1", 1784002132479), (upstream.id, upstream.born_ms))
        self.assertEqual(("10.128.0.9", 8080), (upstream.host, upstream.port))
        self.assertEqual("huvo11a", upstream.service)
        self.assertEqual(upstream_list.State.READY, upstream.state)
        leaving = decode(State="draining")
        self.assertEqual(upstream_list.State.LEAVING, leaving.state)

    def test_heartbeat_does_not_change_the_upstream(self):
        self.assertEqual(decode(), decode(Seq=5))

    def test_decodes_how_long_a_server_stays_cold(self):
        entry = json.dumps(ENTRY | {"ColdLeftMs": 1500}).encode()
        self.assertEqual(1.5, servers.decode("i-1", entry).cold_left_s)

    def test_malformed_entry_is_rejected(self):
        for fields in (
            {"Service": ...},
            {"Service": 5},
            {"Address": ...},
            {"Address": "10.128.0.9"},
            {"Address": "10.128.0.9:http"},
            {"Address": "10.128.0.9:99999"},
            {"State": "resting"},
            {"State": ...},
            {"Slots": "128"},
            {"Zone": ...},
            {"Version": ...},
            {"Version": 1},
            {"ColdLeftMs": ...},
            {"ColdLeftMs": -1},
            {"Seq": ...},
            {"Seq": "4"},
            {"born": "1784002132479"},
            {"born": 1.5},
        ):
            with self.subTest(fields=fields), self.assertRaises(servers.EntryError):
                decode(**fields)

    def test_odd_entry_is_rejected(self):
        """Routers that read one ended, or failed later when they used its numbers."""
        for fields in (
            {"Slots": 0},
            {"Slots": -5},
            {"Slots": 2**70},
            {"Slots": 10**400},
            {"born": 2**70},
            {"born": -1},
            {"Address": "10.128.0.9:0"},
            {"Address": "10.128.0.9:99999"},
            {"Address": "10.128.0.9:" + 5000 * "9"},
            {"Address": "10.128.0.9\0:80"},
            {"Address": "server.example:80"},
            {"Address": "300.1.1.1:80"},
            {"Service": ""},
            {"Service": "a b"},
            {"Service": 300 * "a"},
            {"Zone": "a\n"},
        ):
            case = self.subTest(fields=str(fields)[:40])
            with case, self.assertRaises(servers.EntryError):
                decode(**fields)

    def test_deeply_nested_entry_is_rejected(self):
        depth = 100_000
        nested = b"[" * depth + b"]" * depth
        text = json.dumps(ENTRY).encode()[:-1] + b', "Extra": ' + nested + b"}"
        with self.assertRaises(servers.EntryError):
            servers.decode("i-1", text)

    def test_id_that_cannot_stand_in_a_header_is_rejected(self):
        text = json.dumps(ENTRY).encode()
        for server_id in ("", "i\r\nx: y", "i 1", "i\0", "i\\xff\n", 300 * "i"):
            case = self.subTest(server_id=server_id[:8])
            with case, self.assertRaises(servers.EntryError):
                servers.decode(server_id, text)

    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes_raise_an_entry_error(self, data):
        with self.assertRaises(servers.EntryError):
            servers.decode("i-1", data)

    @hypothesis.given(
        strategies.sampled_from(sorted(ENTRY)),
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats(allow_nan=False, allow_infinity=False)
            | strategies.text(max_size=10),
            lambda inner: strategies.lists(inner, max_size=2),
        ),
    )
    def test_any_field_value_is_decoded_or_an_error(self, name, value):
        try:
            upstream = decode(**{name: value})
        except servers.EntryError:
            return
        self.assertTrue(0 < upstream.slots < 2**31 and 0 < upstream.port < 2**16)
        self.assertTrue(0 <= upstream.born_ms < 2**63)
        self.assertEqual(upstream.host, str(ipaddress.ip_address(upstream.host)))
