import html
import json
import re
import unittest
import urllib.parse

import hypothesis
from hypothesis import strategies

from teaselsill import (
    configuration,
    console,
    console_forms,
    document,
    ids,
    instances,
    log,
)
from tests import asgi

DRAFT = {
    "client_accounts": [
        {
            "id": "north",
            "share": 2,
            "key_hashes": [document.hash_key("k")],
            "services": ["pool"],
            "upstreams": ["u1", "u2"],
        },
        {"id": "south_1", "share": 0.5, "key_hashes": [], "services": []},
    ],
    "services": [
        {
            "name": "pool",
            "kind": "plain",
            "unrepeatable": [{"methods": ["POST"], "path": "/orders/*"}],
            "target": {"within_s": 2, "ratio": 0.9},
        }
    ],
    "credits": [
        {"id": "spring", "service": "pool", "amount": 1000, "lapses": "2026-05-31"}
    ],
}

INPUT = re.compile(r'<input type="\w+" name="([^"]*)" value="([^"]*)"')
AREA = re.compile(r'<textarea name="([^"]*)"[^>]*>\n([^<]*)</textarea>')
SELECT = re.compile(r'<select name="([^"]*)">(.*?)</select>')
CHOSEN = re.compile(r"<option selected>([^<]*)</option>")


def parse_page_fields(page):
    """Returns the fields that a browser would submit for the form of a page."""
    fields = INPUT.findall(page) + AREA.findall(page)
    for name, options in SELECT.findall(page):
        fields.append((name, "".join(CHOSEN.findall(options))))
    return {html.unescape(name): html.unescape(value) for name, value in fields}


def find_notice(page):
    return html.unescape(re.search(r'role="status">(.*?)</p>', page)[1])


class ConsoleTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.log = log.MemoryLog()
        self.instance_list = instances.MemoryInstanceList()
        self.app = console.create_app(self.log, self.instance_list)
        self.version = await self.publish(DRAFT, ids.NO_VERSION)

    async def publish(self, draft, based_on):
        text = json.dumps(draft).encode()
        return await configuration.publish(self.log, text, based_on, "anna")

    async def load_document(self):
        return document.parse((await configuration.show(self.log)).text)

    async def load_form(self):
        status, page = await asgi.call(self.app)
        self.assertEqual(status, 200)
        return parse_page_fields(page)

    async def submit(self, fields, action, **changed_fields):
        fields = {**fields, "publisher": "bo", **changed_fields, "action": action}
        body = urllib.parse.urlencode(fields).encode()
        return await asgi.call(self.app, "/", "POST", body)

    async def test_form_contains_the_whole_document(self):
        _, text = await self.submit(await self.load_form(), "download")
        self.assertEqual(document.parse(text.encode()), await self.load_document())

    async def test_changed_document_is_published(self):
        fields = await self.load_form()
        fields["client_accounts[0].share"] = "7.5"
        _, page = await self.submit(fields, "publish")
        self.assertIn("Published: version 1", find_notice(page))
        self.assertEqual((await self.load_document()).account_by_id["north"].share, 7.5)
        self.assertEqual(parse_page_fields(page)["based_on"], "1")

    async def test_faults_are_shown_next_to_their_fields_and_prevent_publication(self):
        fields = await self.load_form()
        fields["client_accounts[0].share"] = "<lots>"
        fields["client_accounts[1].id"] = ""
        fields["client_accounts[1].services"] = "pool\nnowhere"
        fields["services[0].target.ratio"] = "2"
        fields["credits[0].lapses"] = "soon"
        _, page = await self.submit(fields, "publish")
        for path in (
            "client_accounts[0].share",
            "client_accounts[1].id",
            "services[0].target.ratio",
            "credits[0].lapses",
        ):
            with self.subTest(path=path):
                label = re.search(rf'<label id="{re.escape(path)}">.*?</label>', page)
                self.assertIn(f'class="fault">{path}: ', label[0])
        self.assertNotIn("<lots>", page)
        self.assertEqual(parse_page_fields(page)["client_accounts[0].share"], "<lots>")
        self.assertEqual((await configuration.show(self.log)).version, self.version)

    async def test_conflict_shows_the_version_in_force_and_a_diff(self):
        fields = await self.load_form()
        other_draft = json.loads(json.dumps(DRAFT))
        other_draft["client_accounts"][0]["share"] = 5
        await self.publish(other_draft, self.version)
        _, page = await self.submit(fields, "publish")
        self.assertIn("version 1 is in force, published by anna", find_notice(page))
        self.assertIn("-      &quot;share&quot;: 5.0", page)
        self.assertIn("+      &quot;share&quot;: 2.0", page)
        self.assertEqual(parse_page_fields(page)["based_on"], "0")
        _, page = await self.submit(parse_page_fields(page), "rebase:1")
        _, page = await self.submit(parse_page_fields(page), "publish")
        self.assertIn("Published: version 2", find_notice(page))

    async def test_new_key_is_shown_once_and_only_its_hash_is_kept(self):
        _, page = await self.submit(
            await self.load_form(), "new-key:client_accounts[1]"
        )
        self.assertIn("New key of south_1", find_notice(page))
        key = re.search(r"<code>([^<]*)</code>", page)[1]
        _, page = await self.submit(parse_page_fields(page), "publish")
        self.assertNotIn(key, page)
        self.assertNotIn(key.encode(), (await configuration.show(self.log)).text)
        account_by_key_hash = (await self.load_document()).account_by_key_hash
        self.assertEqual(account_by_key_hash[document.hash_key(key)].id, "south_1")

    async def test_list_items_are_added_and_removed(self):
        _, page = await self.submit(await self.load_form(), "add:client_accounts")
        _, page = await self.submit(
            parse_page_fields(page), "remove:client_accounts[0]"
        )
        fields = parse_page_fields(page)
        self.assertEqual(fields["client_accounts[0].id"], "south_1")
        self.assertEqual(fields["client_accounts[1].id"], "")
        self.assertNotIn("client_accounts[2].id", fields)

    async def test_outages_are_reported_and_the_draft_is_kept(self):
        fields = await self.load_form()
        self.instance_list.down = self.log.down = True
        _, page = await self.submit(fields, "publish")
        self.assertIn("nothing was published", find_notice(page))
        self.assertIn("the instance list is down", page)
        self.assertEqual(parse_page_fields(page), {**fields, "publisher": "bo"})
        status, _ = await asgi.call(self.app)
        self.assertEqual(status, 503)

    async def test_form_of_another_origin_is_refused(self):
        fields = {**await self.load_form(), "publisher": "eve", "action": "publish"}
        body = urllib.parse.urlencode(fields).encode()
        headers = [(b"origin", b"http://elsewhere")]
        status, _ = await asgi.call(self.app, "/", "POST", body, headers)
        self.assertEqual(status, 403)
        self.assertEqual((await configuration.show(self.log)).version, self.version)

    async def test_malformed_forms_are_refused(self):
        for body in (
            b"\xff",
            b"based_on=x",
            b"based_on=0&action=dance",
            b"based_on=0&action=remove:client_accounts[7]",
            b"based_on=0&action=remove:" + b"9" * 5000,
            b"based_on=0&action=new-key:services",
            b"based_on=0&credits=1",
            b"based_on=0&credits=1&credits[0].id=x",
        ):
            with self.subTest(body=body[:40]):
                status, page = await asgi.call(self.app, "/", "POST", body)
                self.assertEqual(status, 400)
                self.assertNotIn("Traceback", page)
        status, _ = await asgi.call(
            self.app, "/", "POST", b"x" * (console.MAX_FORM_BYTES + 1)
        )
        self.assertEqual(status, 413)


class ReadTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.text(alphabet="cs[]0.x1", max_size=12)
                | strategies.sampled_from(["services[0].slots", "credits[0].amount"]),
                strategies.text(max_size=12),
            )
        )
    )
    def test_any_fields_give_a_draft_or_a_malformed_form_error(self, fields):
        try:
            draft = console_forms.parse_fields(fields)
        except console_forms.MalformedFormError:
            return
        with self.assertRaises(document.DocumentError):
            document.parse(console_forms.to_json({**draft, "services": [{}]}))
