import unittest

from teaselsill import metrics, sampling


class SamplerTest(unittest.TestCase):
    def test_sent_bytes_are_counted_once_as_data_or_control(self):
        sink = metrics.Metrics()
        bytes_by_type = {"Body": 1000, "Demand": 30}
        sampler = sampling.Sampler(
            sink, lambda: {metrics.Metric.SLOTS_BUSY: 3}, lambda: bytes_by_type
        )
        sampler.sample()
        bytes_by_type["Grant"] = 12
        sampler.sample()
        self.assertEqual(1000, sink.get_count(metrics.Metric.DATA_BYTES))
        self.assertEqual(42, sink.get_count(metrics.Metric.CONTROL_BYTES))
        self.assertEqual(3, sink.get_totals().gauge_by_name["slots.busy"])
