"""Metrics of an entry router in the Prometheus text format."""

import prometheus_client

from teaselsill import account_usage, client_refusals, directory

LATENCY_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)
WAIT_BOUNDS_S = (0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6)
NAMESPACE = "teaselsill"


class EntryMetrics:
    """The metrics of one router.

    Args:
        upstreams: The upstreams, whose gauges are read when the metrics are rendered.

    Attributes:
        requests: Requests by their ending and the cause of a rejection.
        rejections: Rejected requests by client account.
        retries: Requests that were sent again, by service and previous outcome.
        offers: Requests offered to other routers, by what became of them.
        request_s: Time from a request's last byte to the end of its response.
        first_byte_s: Time from a request's last byte to the head of its response.
        predicted_wait_s: The predicted wait at an engine that admission was based on.
        permits: Permits that requests needed for limited upstreams, by service and
            outcome.
        permit_wait_s: How long a request waited until a permit was granted or denied.
        crashes: Crashes of upstreams that this router has seen, by service.
        quarantines: Prompt parts that were put under quarantine.
        oversized_responses: Responses of the platform's log that exceed their bound.
        rejected_records: Records of the platform's log that cannot be used, by topic.
        malformed_loads: Load reports of upstreams with a figure that cannot be read, by
            service.
        log_restores: How often the platform's log has come back from an older copy.
        client_refusals: Requests and connections of clients that were refused before
            they were passed on, by cause.
    """

    def __init__(self, upstreams: directory.Directory):
        self._directory = upstreams
        self._registry = prometheus_client.CollectorRegistry()
        self.requests = self._counter("requests", "Requests.", "ending", "cause")
        self.rejections = self._counter("rejections", "Rejections.", "account", "cause")
        self.retries = self._counter("retries", "Repeated sends.", "service", "outcome")
        self.offers = self._counter("offers", "Requests passed on.", "outcome")
        self.request_s = self._histogram("request_seconds", LATENCY_BOUNDS_S, "route")
        self.first_byte_s = self._histogram(
            "first_byte_seconds", LATENCY_BOUNDS_S, "route"
        )
        self.predicted_wait_s = self._histogram("predicted_wait_seconds", WAIT_BOUNDS_S)
        self.permits = self._counter("permits", "Permits.", "service", "outcome")
        self.permit_wait_s = self._histogram("permit_wait_seconds", WAIT_BOUNDS_S)
        self.crashes = self._counter("upstream_crashes", "Crashes seen.", "service")
        self.quarantines = self._counter("quarantines", "Prompt parts quarantined.")
        self.oversized_responses = self._counter(
            "log_oversized_responses", "Responses of the log beyond their bound."
        )
        self.rejected_records = self._counter(
            "log_rejected_records", "Records that cannot be used.", "topic"
        )
        self.malformed_loads = self._counter(
            "malformed_load_reports", "Load reports that cannot be read.", "service"
        )
        self.log_restores = self._counter("log_restores", "Restores of the log.")
        self._evacuated = prometheus_client.Gauge(
            "evacuated_data_centres",
            "Evacuated data centres.",
            namespace=NAMESPACE,
            registry=self._registry,
        )
        self.client_refusals = self._counter(
            "client_refusals",
            "Clients refused before their request was passed on.",
            "cause",
        )
        self._running = self._gauge("upstream_requests", "Requests by all routers.")
        self._planned = self._gauge("upstream_planned_tokens", "Tokens to read.")
        self._rate = self._gauge("upstream_tokens_per_second", "Estimated rate.")
        self._slowdown = self._gauge("upstream_slowdown", "Time that work takes.")
        self._avoided = self._gauge("upstream_avoided", "Whether it is avoided.")
        self._limit = self._gauge("upstream_limit_per_second", "Limit, if any.")
        self._cold = self._gauge("upstream_cold", "Whether it is cold.")
        self._requested = self._gauge(
            "account_asked_tokens_per_second", "What is asked for.", "account"
        )
        self._admitted = self._gauge(
            "account_admitted_tokens_per_second", "What was sent.", "account"
        )
        self._share_ratio = self._gauge(
            "account_share_ratio", "What an account has of its share.", "account"
        )

    def note_refused(self, cause: client_refusals.Cause) -> None:
        """Counts the refusal of a client."""
        self.client_refusals.labels(cause.value).inc()

    def render(self, now: float, usage: account_usage.AccountUsage) -> bytes:
        """Returns all metrics as text.

        Args:
            now: The event loop's time, in seconds.
            usage: The usage of the client accounts, for their gauges.
        """
        self._evacuated.set(len(self._directory.evacuations.data_centres))
        self._set_upstreams(now)
        self._set_accounts(now, usage)
        return prometheus_client.generate_latest(self._registry)

    def _set_accounts(self, now: float, usage: account_usage.AccountUsage) -> None:
        for account, share in usage.list_shares(now).items():
            self._requested.labels(account).set(share.requested_tokens_per_s)
            self._admitted.labels(account).set(share.admitted_tokens_per_s)
            self._share_ratio.labels(account).set(share.ratio)

    def _set_upstreams(self, now: float) -> None:
        gauges = (
            self._running,
            self._planned,
            self._rate,
            self._slowdown,
            self._avoided,
            self._limit,
            self._cold,
        )
        for gauge in gauges:
            gauge.clear()
        for upstream in self._directory.listed.by_id.values():
            candidate = self._directory.find(upstream.id)
            if candidate is None:
                continue
            labels = (upstream.service, upstream.id)
            self._running.labels(*labels).set(candidate.load.count(now))
            self._planned.labels(*labels).set(candidate.queue.count_planned(now))
            self._rate.labels(*labels).set(candidate.queue.find_rate(now))
            if candidate.speed.is_announced:
                slowdown = candidate.speed.find_slowdown(now)
                self._slowdown.labels(*labels).set(slowdown)
            self._avoided.labels(*labels).set(candidate.health.is_avoided(now))
            self._cold.labels(*labels).set(candidate.cold.is_cold(now))
            limit_per_s = candidate.find_limit_per_s(now)
            if limit_per_s is not None:
                self._limit.labels(*labels).set(limit_per_s)

    def _counter(self, name: str, text: str, *labels: str):
        return prometheus_client.Counter(
            name, text, labels, namespace=NAMESPACE, registry=self._registry
        )

    def _histogram(self, name: str, bounds_s: tuple[float, ...], *labels: str):
        return prometheus_client.Histogram(
            name,
            "Seconds.",
            labels,
            namespace=NAMESPACE,
            registry=self._registry,
            buckets=bounds_s,
        )

    def _gauge(self, name: str, text: str, *labels: str):
        return prometheus_client.Gauge(
            name,
            text,
            labels or ("service", "upstream"),
            namespace=NAMESPACE,
            registry=self._registry,
        )
