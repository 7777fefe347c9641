import json
import math
import unittest

import hypothesis
from adapter import manifest
from hypothesis import strategies

from teaselsill import cold_start, routing_table

MANIFEST = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-1",
            "Host": "Ficu95.example",
            "PathPrefix": "/lohu930/",
            "Type": "streaming",
            "TimeoutMs": 15000,
            "LatencyTargetMs": 600,
            "Priority": 1,
            "Split": [
                {"Service": "huvo11a", "Weight": 90},
                {"Service": "wuno96b", "Weight": 10},
            ],
            "MaxAttempts": 1,
            "Public": False,
            "Sticky": True,
            "Resumable": False,
            "GapTargetMs": 400,
        },
        {
            "Name": "r-2",
            "Host": "ficu95.example",
            "PathPrefix": "/pufi791/",
            "Type": "streaming",
            "TimeoutMs": 12000,
            "LatencyTargetMs": 400,
            "Priority": 1,
            "Service": "huvo11a",
            "MaxAttempts": 2,
            "Public": True,
            "Resumable": True,
        },
    ],
    "Services": [
        {
            "Name": "huvo11a",
            "HealthPath": "/health",
            "MaxConns": 620,
            "Engine": {"Slots": 128, "KvTokens": 898940, "HandleS": 5.0},
        },
        {"Name": "wuno96b", "HealthPath": "/health", "MaxConns": 100},
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
        "TokensPerS": 205000,
    },
    "Tenants": [{"Name": "hule930", "ApiKeys": ["k1", "k2"], "Priority": 1}],
}


def decode(**fields):
    return manifest.decode(json.dumps(MANIFEST | fields).encode())


def decode_cold_start(**fields):
    service = MANIFEST["Services"][0] | fields
    table = decode(Services=[service, *MANIFEST["Services"][1:]])
    return table.service_by_name["huvo11a"].cold_start


class PatienceTest(unittest.TestCase):
    def find(self, **fields):
        route = MANIFEST["Routes"][0] | {"Type": "streaming"} | fields
        content = MANIFEST | {"Routes": [route]}
        table = manifest.decode(json.dumps(content).encode())
        return table.find_route(route["Host"], route["PathPrefix"]).patience_s

    def test_longest_of_a_time_and_multiples_of_objective_and_pause(self):
        self.assertEqual(2.0, self.find(LatencyTargetMs=400, GapTargetMs=200))
        self.assertEqual(2.4, self.find(LatencyTargetMs=600, GapTargetMs=250))
        self.assertEqual(3.2, self.find(LatencyTargetMs=400, GapTargetMs=400))
        self.assertEqual(math.inf, self.find(Type="idempotent"))


class ColdStartTest(unittest.TestCase):
    def test_decodes_how_servers_start(self):
        policy = cold_start.Policy(duration_s=3.0, per_s=13.0)
        self.assertEqual(policy, decode_cold_start(ColdStartS=3, ColdPerS=13))
        self.assertIsNone(decode_cold_start())

    def test_absurd_cold_start_is_as_if_absent(self):
        for absurd in (-1, 0, 10**12, "3", None, [3], True):
            with self.subTest(absurd=absurd):
                self.assertIsNone(decode_cold_start(ColdStartS=absurd, ColdPerS=13))
                self.assertIsNone(decode_cold_start(ColdStartS=3, ColdPerS=absurd))


class DecodeTest(unittest.TestCase):
    def test_decodes_every_field(self):
        table = decode()
        self.assertEqual(7, table.version)
        first = table.find_route("ficu95.example", "/lohu930/1")
        self.assertEqual(routing_table.Repeat.NEVER, first.repeat)
        self.assertEqual((15.0, 0.6, 0.4), (
            first.timeout_s, first.objective_s, first.pause_s,
        ))  # fmt: skip
        second = table.find_route("ficu95.example", "/pufi791/1")
        self.assertEqual(routing_table.Repeat.RESUME, second.repeat)
        self.assertTrue(second.is_public)
        self.assertEqual(2, second.max_upstreams)
        self.assertEqual({"k1": "hule930", "k2": "hule930"}, table.account_by_key)
        engine = table.service_by_name["huvo11a"].engine
        self.assertEqual((128, 898940), (engine.slots, engine.kv_cache_tokens))
        self.assertEqual(205000, table.limits.tokens_per_s)

    def test_repeat_by_route_type(self):
        for route_type, repeat in (
            ("idempotent", routing_table.Repeat.FREELY),
            ("non_idempotent", routing_table.Repeat.NEVER),
            ("something-new", routing_table.Repeat.NEVER),
        ):
            route = MANIFEST["Routes"][0] | {"Type": route_type, "Resumable": True}
            table = decode(Routes=[route])
            found = table.find_route("ficu95.example", "/lohu930/1")
            self.assertEqual(repeat, found.repeat)

    def test_allowed_regions_of_routes_and_accounts(self):
        account = MANIFEST["Tenants"][0]
        for by_route, by_account, allowed in (
            ({}, {}, None),
            ({"AllowedRegions": ["n", "s"]}, {}, {"n", "s"}),
            ({}, {"AllowedRegions": ["n"]}, {"n"}),
            ({"AllowedRegions": ["n"]}, {"AllowedRegions": ["n", "s"]}, {"n"}),
            ({"AllowedRegions": ["n"]}, {"AllowedRegions": ["s"]}, set()),
            ({"AllowedRegions": []}, {"AllowedRegions": None}, None),
        ):
            table = decode(
                Routes=[MANIFEST["Routes"][0] | by_route],
                Tenants=[account | by_account],
            )
            route = table.find_route("ficu95.example", "/lohu930/1")
            found = table.find_allowed_regions(route, account["Name"])
            self.assertEqual(allowed, found)

    def test_without_accounts_no_key_is_needed(self):
        fields = {k: v for k, v in MANIFEST.items() if k != "Tenants"}
        table = manifest.decode(json.dumps(fields).encode())
        self.assertFalse(table.needs_keys)
        self.assertTrue(decode(Tenants=[]).needs_keys)

    def test_errors_name_the_place(self):
        route = MANIFEST["Routes"][1]
        for fields, place in (
            ({"Version": "7"}, "Version"),
            ({"Routes": [route | {"Service": "none"}]}, "r-2"),
            ({"Routes": [route | {"Service": None}]}, "r-2"),
            ({"Routes": [route | {"TimeoutMs": "1"}]}, "Routes"),
            ({"Routes": [route | {"AllowedRegions": "n"}]}, "AllowedRegions"),
        ):
            with (
                self.subTest(fields=fields),
                self.assertRaisesRegex(manifest.ManifestError, place),
            ):
                decode(**fields)

    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes_raise_a_manifest_error(self, data):
        with self.assertRaises(manifest.ManifestError):
            manifest.decode(data)
