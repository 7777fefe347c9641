import pathlib
import re
import socket
import unittest

from teaselsill import metrics

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "METRICS.md"
ROW = re.compile(r"^\| `teaselsill\.([a-z_.]+)` \| (\w+) \| ([\w ]+) \|", re.MULTILINE)


class MetricsTest(unittest.TestCase):
    def test_metrics_are_sent_to_statsd_in_its_units(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(5)
            sink = metrics.Metrics(f"127.0.0.1:{server.getsockname()[1]}")
            self.addCleanup(sink.close)
            sink.count(metrics.Metric.GRANTS, 3)
            sink.timing(metrics.Metric.REQUEST_WAIT, 0.25)
            sink.gauge(metrics.Metric.SLOTS_BUSY, 7)
            received = [server.recv(512) for _ in range(3)]
        self.assertEqual(
            received,
            [
                b"teaselsill.grants:3|c",
                b"teaselsill.request.wait:250.000000|ms",
                b"teaselsill.slots.busy:7|g",
            ],
        )

    def test_totals_are_kept_without_a_statsd_address(self):
        sink = metrics.Metrics("")
        sink.count(metrics.Metric.GRANTS)
        sink.count(metrics.Metric.GRANTS, 2)
        sink.gauge(metrics.Metric.SLOTS_BUSY, 7)
        sink.timing(metrics.Metric.REQUEST_WAIT, 0.25)
        sink.timing(metrics.Metric.REQUEST_WAIT, 0.5)
        self.assertEqual(
            sink.get_totals(),
            metrics.Totals(
                {"grants": 3},
                {"slots.busy": 7},
                {"request.wait": metrics.TimingTotal(2, 0.75, 0.5)},
            ),
        )

    def test_error_names_the_malformed_address(self):
        for address in ("statsd", ":8125", "host:", "host:x", "host:0", "host:65536"):
            with (
                self.subTest(address=address),
                self.assertRaisesRegex(metrics.MetricsAddressError, repr(address)),
            ):
                metrics.Metrics(address)


class PageTest(unittest.TestCase):
    def test_page_lists_every_metric_with_its_kind_and_unit(self):
        listed = ROW.findall(PAGE.read_text(encoding="utf-8"))
        known = [(item.label, item.kind.value, item.unit) for item in metrics.Metric]
        self.assertEqual(listed, known)
