import unittest

import hypothesis
from adapter import dialect
from hypothesis import strategies

from teaselsill import announcements, calls, http_messages, ids
from tests import test_upstream_list

HEADERS = [
    ("host", "a.example"),
    ("teaselsill-attempt-id", "9c41"),
    ("teaselsill-time-budget-ms", "1500"),
    ("authorization", "Bearer key1"),
    ("teaselsill-token-usage", "1460,80"),
    ("teaselsill-length-hint", "33"),
    ("teaselsill-prompt-prefix", "5c:800,91:410,e4:250"),
    ("teaselsill-tenant", "forged"),
    ("teaselsill-hold", "h"),
    ("teaselsill-pin-ms", "9"),
    ("kv-from", "10.0.0.1:1/x"),
    ("teaselsill-kv-backup", "10.0.0.1:1"),
    ("kv-fetch", "10.0.0.1:1"),
    ("connection", "keep-alive"),
    ("x-own", "kept"),
]
UPSTREAM = test_upstream_list.make_upstream("i-1", host="10.0.0.9", port=80)


def make_message(headers, target="/x/1"):
    return http_messages.Request("POST", target, headers, b"body", True, "1.1")


def read(headers, **fields):
    return dialect.PlatformDialect().read_call(make_message(headers, **fields), 0.0)


def replaced(name, value):
    return [(n, value if n == name else v) for n, v in HEADERS]


class ReadCallTest(unittest.TestCase):
    def test_decodes_every_field(self):
        call = read(HEADERS)
        self.assertEqual("9c41", call.id)
        self.assertEqual(1.5, call.budget_s)
        self.assertEqual("key1", call.key)
        self.assertEqual((1460, 80, 33), (
            call.prompt_tokens, call.output_tokens, call.expected_output_tokens,
        ))  # fmt: skip
        self.assertEqual([("5c", 800), ("91", 410), ("e4", 250)], list(call.parts))

    def test_absurd_numbers_are_ignored(self):
        """Numbers of thousands of digits raised errors, or were used as they were."""
        for absurd in ("9" * 5000, "1" + 400 * "0", "-1", "1e9", "\u0663", ""):
            with self.subTest(absurd=absurd[:8]):
                call = read(replaced(dialect.TOKEN_USAGE, f"{absurd},80"))
                self.assertEqual((0, 0), (call.prompt_tokens, call.output_tokens))
                call = read(replaced(dialect.LENGTH_HINT, absurd))
                self.assertEqual(40, call.expected_output_tokens)
                parts = f"5c:800,91:{absurd},e4:250"
                call = read(replaced(dialect.PROMPT_PREFIX, parts))
                self.assertEqual([("5c", 800)], list(call.parts))

    def test_rejects_requests_that_cannot_be_served(self):
        for headers, target in (
            ([h for h in HEADERS if h[0] != dialect.REQUEST_ID], "/x"),
            ([*HEADERS, (dialect.REQUEST_ID, "2")], "/x"),
            (replaced(dialect.BUDGET_MS, "soon"), "/x"),
            (replaced(dialect.BUDGET_MS, "-1"), "/x"),
            (replaced(dialect.BUDGET_MS, "nan"), "/x"),
            (HEADERS, "http://a.example/x"),
        ):
            with (
                self.subTest(headers=headers, target=target),
                self.assertRaises(calls.BadCallError),
            ):
                read(headers, target=target)

    def test_malformed_hints_are_ignored(self):
        call = read(replaced(dialect.PROMPT_PREFIX, "5c:800,91"))
        self.assertEqual([("5c", 800)], list(call.parts))
        self.assertEqual(0, read(replaced(dialect.TOKEN_USAGE, "x,y")).prompt_tokens)

    @hypothesis.given(strategies.text(max_size=30))
    def test_any_value_is_decoded_or_rejected(self, value):
        for name, _ in HEADERS:
            try:
                read(replaced(name, value))
            except calls.BadCallError:
                pass


class MakeHeadersTest(unittest.TestCase):
    def make(self, account="acc", last_event=None, fetch_from=None):
        headers = dialect.PlatformDialect().make_headers(
            read(HEADERS), UPSTREAM, account, 0.75, last_event, fetch_from
        )
        self.assertEqual(len(headers), len({name for name, _ in headers}))
        return dict(headers)

    def test_sets_router_headers_and_removes_forged_ones(self):
        headers = self.make()
        self.assertEqual("750", headers["teaselsill-time-budget-ms"])
        self.assertEqual("i-1", headers["teaselsill-expect-instance"])
        self.assertEqual("acc", headers["teaselsill-tenant"])
        self.assertEqual("kept", headers["x-own"])
        for name in (
            "authorization",
            "teaselsill-hold",
            "teaselsill-pin-ms",
            "kv-from",
            "teaselsill-kv-backup",
            "kv-fetch",
            "connection",
        ):
            self.assertNotIn(name, headers)

    def test_public_route_has_no_account(self):
        self.assertNotIn("teaselsill-tenant", self.make(account=None))

    def test_last_event_and_cache_source(self):
        headers = self.make(last_event="12", fetch_from=UPSTREAM)
        self.assertEqual("12", headers["last-event-id"])
        self.assertEqual("10.0.0.9:80", headers["kv-fetch"])


class ReadResponseTest(unittest.TestCase):
    def read(self, status, *headers):
        head = http_messages.Head(
            status, "", list(headers), http_messages.Framing.LENGTH, True
        )
        return dialect.PlatformDialect().read_response(head)

    def test_only_the_not_run_header_or_421_means_not_run(self):
        self.assertFalse(self.read(503).has_not_run)
        self.assertTrue(self.read(503, (dialect.NOT_RUN, "1")).has_not_run)
        metadata = self.read(421)
        self.assertTrue(metadata.has_not_run and metadata.is_wrong_instance)

    def test_load_and_idle_timeout(self):
        metadata = self.read(
            200, (dialect.SERVER_LOAD, "3,1,8"), (dialect.KEEP_ALIVE, "timeout=5")
        )
        self.assertEqual((3, 1, 5.0), (
            metadata.running, metadata.waiting, metadata.idle_timeout_s,
        ))  # fmt: skip
        self.assertIsNone(self.read(200, (dialect.SERVER_LOAD, "3,x,8")).running)

    def test_load_report_with_a_slowdown(self):
        """The fourth figure made the whole report unreadable."""
        metadata = self.read(200, (dialect.SERVER_LOAD, "3,1,8,250"))
        self.assertEqual((3, 1, 2.5), (
            metadata.running, metadata.waiting, metadata.slowdown,
        ))  # fmt: skip
        self.assertFalse(metadata.is_load_malformed)
        self.assertIsNone(self.read(200, (dialect.SERVER_LOAD, "3,1,8")).slowdown)
        self.assertFalse(self.read(200).is_load_malformed)

    def test_malformed_slowdown_is_as_if_absent(self):
        for figure in ("x", "", "-100", "0", "nan", "1e9", "9" * 400, "4", "10001"):
            with self.subTest(figure=figure[:8]):
                metadata = self.read(200, (dialect.SERVER_LOAD, f"3,1,8,{figure}"))
                self.assertEqual((3, 1), (metadata.running, metadata.waiting))
                self.assertIsNone(metadata.slowdown)
                self.assertTrue(metadata.is_load_malformed)
        self.assertTrue(self.read(200, (dialect.SERVER_LOAD, "3,1")).is_load_malformed)

    def test_absurd_numbers_are_ignored(self):
        for absurd in ("9" * 5000, "1" + 400 * "0", "-1", "1e9", "\u0663", ""):
            with self.subTest(absurd=absurd[:8]):
                headers = (
                    (dialect.SERVER_LOAD, f"3,{absurd},8"),
                    (dialect.KEEP_ALIVE, f"timeout={absurd}"),
                    (dialect.RETRY_AFTER, absurd),
                )
                metadata = self.read(503, *headers)
                self.assertIsNone(metadata.running)
                self.assertIsNone(metadata.idle_timeout_s)
                self.assertIsNone(metadata.announcement.pause_s)

    @hypothesis.given(
        strategies.sampled_from(
            [
                dialect.SERVER_LOAD,
                dialect.KEEP_ALIVE,
                dialect.RETRY_AFTER,
                dialect.SERVER_LIMIT,
                dialect.SERVER_LEAVING,
            ]
        ),
        strategies.text(max_size=30) | strategies.integers().map(str),
        strategies.sampled_from([200, 421, 503]),
    )
    def test_any_header_gives_values_in_range(self, name, value, status):
        metadata = self.read(status, (dialect.REQUEST_ID, "9c41"), (name, value))
        for count in (metadata.running, metadata.waiting):
            self.assertTrue(count is None or 0 <= count < dialect.NUMBER_BOUND)
        self.assertTrue(metadata.slowdown is None or 0.05 <= metadata.slowdown <= 100)
        idle_s = metadata.idle_timeout_s
        self.assertTrue(idle_s is None or 0 <= idle_s < dialect.NUMBER_BOUND)
        if metadata.announcement is not None:
            pause_s = metadata.announcement.pause_s
            self.assertTrue(
                pause_s is None or 0 <= pause_s <= dialect.MAX_RETRY_AFTER_S
            )
            match metadata.announcement.rate_limit:
                case announcements.Limited(per_s=per_s):
                    self.assertTrue(0 <= per_s < dialect.NUMBER_BOUND)

    def test_leaving_and_pause(self):
        said = self.read(200, (dialect.SERVER_LEAVING, "1")).announcement
        self.assertEqual((True, None), (said.is_leaving, said.pause_s))
        said = self.read(503, (dialect.RETRY_AFTER, "2.5")).announcement
        self.assertEqual((False, 2.5), (said.is_leaving, said.pause_s))
        for status, value in ((200, "2"), (503, "-1"), (503, "nan"), (503, "soon")):
            with self.subTest(status=status, value=value):
                said = self.read(status, (dialect.RETRY_AFTER, value)).announcement
                self.assertIsNone(said.pause_s)

    def read_limit(self, *values, status=200):
        fields = [(dialect.SERVER_LIMIT, value) for value in values]
        headers = [(dialect.REQUEST_ID, "9c41"), *fields]
        return self.read(status, *headers).announcement.rate_limit

    def test_limit(self):
        for value, per_s in (
            ("5", 5.0),
            ("0", 0.0),
            ("0.25", 0.25),
            (" 7.9 ", 7.9),
            ("0.1234567890123456", 0.1234567890123456),
        ):
            with self.subTest(value=value):
                limited = announcements.Limited(per_s)
                self.assertEqual(limited, self.read_limit(value))
                self.assertEqual(limited, self.read_limit(value, status=503))
                self.assertEqual(limited, self.read_limit(value, value))

    def test_absurd_limit_is_unreadable(self):
        absurd = ("", "-1", "nan", "inf", "1e3", "5,4", "1" + 400 * "0", "5" * 5000)
        for values in (*((value,) for value in absurd), ("5", "4")):
            with self.subTest(values=[value[:8] for value in values]):
                said = self.read_limit(*values)
                self.assertIsInstance(said, announcements.Unreadable)
                self.assertLessEqual(len(said.text), dialect.MAX_LOGGED_CHARACTERS)

    def test_only_an_own_response_without_a_limit_says_that_there_is_none(self):
        self.assertEqual(announcements.Unlimited(), self.read_limit())
        self.assertIsNone(self.read(200).announcement.rate_limit)

    def test_cold_time(self):
        for value, left_s in (
            ("1500", 1.5),
            ("0", 0.0),
            ("-5", None),
            ("nan", None),
            ("soon", None),
            ("9" * 30, None),
        ):
            with self.subTest(value=value):
                said = self.read(200, (dialect.COLD_MS, value)).announcement
                self.assertEqual(left_s, said.cold_left_s)
        self.assertIsNone(self.read(200).announcement.cold_left_s)

    def test_announcements_of_another_instance_are_ignored(self):
        metadata = self.read(
            421,
            (dialect.SERVER_LEAVING, "1"),
            (dialect.RETRY_AFTER, "2"),
            (dialect.SERVER_LIMIT, "5"),
        )
        self.assertIsNone(metadata.announcement)

    def test_refusal_has_request_id_and_retry_after(self):
        call = read(HEADERS)
        headers = dict(dialect.PlatformDialect().make_rejection_headers(call, 1.5))
        self.assertEqual("9c41", headers["teaselsill-attempt-id"])
        self.assertEqual("1.50", headers["retry-after"])
        self.assertEqual(ids.RequestId("9c41"), call.id)
