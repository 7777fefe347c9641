"""Reports a process's gauges and the bytes sent to its peers at a fixed interval."""

import asyncio
import collections.abc

from teaselsill import messages, metrics

SAMPLE_INTERVAL_S = 5.0

Gauges = collections.abc.Mapping[metrics.Metric, float]


class Sampler:
    """Samples the gauges and sent bytes of one process.

    Args:
        sink: Receives the metrics.
        read_gauges: Returns the current values of the gauges.
        read_sent_bytes: Returns the bytes sent since the process started, by message
            type.
    """

    def __init__(
        self,
        sink: metrics.Metrics,
        read_gauges: collections.abc.Callable[[], Gauges],
        read_sent_bytes: collections.abc.Callable[[], dict[str, int]],
    ):
        self._sink = sink
        self._read_gauges = read_gauges
        self._read_sent_bytes = read_sent_bytes
        self._control_bytes = 0
        self._data_bytes = 0

    async def run(self) -> None:
        """Takes a sample at every interval, until cancelled."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.sample()

    def sample(self) -> None:
        """Reports the gauges, and the bytes sent since the last sample."""
        for metric, value in self._read_gauges().items():
            self._sink.gauge(metric, value)
        bytes_by_type = self._read_sent_bytes()
        data = sum(bytes_by_type.get(name, 0) for name in messages.DATA_MESSAGE_TYPES)
        control = sum(bytes_by_type.values()) - data
        self._count(metrics.Metric.DATA_BYTES, data - self._data_bytes)
        self._count(metrics.Metric.CONTROL_BYTES, control - self._control_bytes)
        self._data_bytes = data
        self._control_bytes = control

    def _count(self, metric: metrics.Metric, change: int) -> None:
        """Adds an increase to a count.

        The bytes of connections that were dropped are no longer included, so the change
        can be negative; it is not counted then.
        """
        if change > 0:
            self._sink.count(metric, change)
