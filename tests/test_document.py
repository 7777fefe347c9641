import json
import unittest

import hypothesis
from hypothesis import strategies

from teaselsill import document

KEY = strategies.sampled_from(
    ["client_accounts", "services", "credits", "id", "name", "share", "kind", "x"]
)
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(),
    lambda inner: strategies.lists(inner) | strategies.dictionaries(KEY, inner),
    max_leaves=12,
)
VALID = {
    "client_accounts": [{"id": "north", "share": 2, "services": ["drafts"]}],
    "services": [
        {
            "name": "drafts",
            "kind": "completions",
            "models": ["small"],
            "unrepeatable": [{"methods": ["POST"], "path": "/orders/*"}],
        }
    ],
    "credits": [
        {"id": "spring", "service": "drafts", "amount": 5, "lapses": "2027-03-01"}
    ],
}


class ParseTest(unittest.TestCase):
    def faults_of(self, plain):
        with self.assertRaises(document.DocumentError) as caught:
            document.parse(json.dumps(plain).encode())
        return caught.exception.faults

    def test_valid_document_is_parsed(self):
        parsed = document.parse(json.dumps(VALID).encode())
        service = parsed.service_by_model["small"]
        self.assertFalse(service.is_repeatable("POST", "/orders/7"))
        self.assertTrue(service.is_repeatable("GET", "/orders/7"))
        self.assertTrue(parsed.allows("north", "drafts", "any"))
        self.assertFalse(parsed.allows("south", "drafts", "any"))

    def test_every_schema_error_is_reported_with_its_path(self):
        faults = self.faults_of(
            {
                "client_accounts": [{"id": "a b", "share": 0, "services": []}],
                "services": [{"name": "s", "kind": "other", "slots": "many"}],
                "surplus": 1,
            }
        )
        paths = [fault.split(":")[0] for fault in faults]
        expected = [
            "client_accounts[0].id",
            "client_accounts[0].share",
            "services[0].kind",
            "services[0].slots",
            "surplus",
        ]
        self.assertEqual(expected, paths)

    def test_every_inconsistency_is_reported_with_its_path(self):
        account = {"id": "north", "share": 1, "services": ["nowhere"]}
        purchase = VALID["credits"][0] | {"service": "lost"}
        faults = self.faults_of(
            VALID | {"client_accounts": [account, account], "credits": [purchase]}
        )
        for number, path in enumerate(
            [
                "client_accounts: id 'north'",
                "client_accounts[0].services[0]",
                "client_accounts[1].services[0]",
                "credits[0].service",
            ]
        ):
            self.assertTrue(faults[number].startswith(path), faults)

    @hypothesis.given(JSON | strategies.dictionaries(KEY, JSON))
    def test_any_json_is_a_document_or_a_document_error(self, plain):
        self.check_parse(json.dumps(plain).encode())

    @hypothesis.given(strategies.binary(max_size=100))
    def test_garbage_is_a_document_error(self, text):
        self.check_parse(text)

    def test_deep_nesting_is_a_document_error(self):
        self.check_parse(b"[" * 100_000)

    def check_parse(self, text):
        try:
            self.assertIsInstance(document.parse(text), document.Document)
        except document.DocumentError as error:
            self.assertTrue(error.faults)
