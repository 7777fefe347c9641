import unittest

from teaselsill import account_usage, directory, entry_metrics, ids


class EntryMetricsTest(unittest.TestCase):
    def test_metrics_show_the_usage_of_each_client_account(self):
        usage = account_usage.AccountUsage()
        usage.capacity = 600.0
        usage.add(ids.AccountId("heavy"), requested=3000, admitted=1200, now=0.0)
        usage.add(ids.AccountId("light"), requested=300, admitted=300, now=0.0)
        metrics = entry_metrics.EntryMetrics(directory.Directory())
        page = metrics.render(0.0, usage).decode()
        requested = 'teaselsill_account_asked_tokens_per_second{account="heavy"} 1000.0'
        admitted = (
            'teaselsill_account_admitted_tokens_per_second{account="heavy"} 400.0'
        )
        ratio = 'teaselsill_account_share_ratio{account="heavy"} 4.0'
        for line in (requested, admitted, ratio):
            self.assertIn(line, page.splitlines())
