"""Reports a process's gauges and the bytes it has sent to peers, every few seconds."""

import asyncio
import collections.abc

from teaselsill import messages, metrics

PERIOD_S = 5.0

Gauges = collections.abc.Mapping[metrics.Metric, float]


class Sampler:
    """Samples one process.

    Args:
        sink: Takes the metrics.
        read_gauges: Returns the values of the gauges now.
        read_bytes: Returns the bytes sent in this run, by the type of message.
    """

    def __init__(
        self,
        sink: metrics.Metrics,
        read_gauges: collections.abc.Callable[[], Gauges],
        read_bytes: collections.abc.Callable[[], dict[str, int]],
    ):
        self._sink = sink
        self._read_gauges = read_gauges
        self._read_bytes = read_bytes
        self._control_bytes = 0
        self._data_bytes = 0

    async def run(self) -> None:
        """Samples for ever."""
        while True:
            await asyncio.sleep(PERIOD_S)
            self.sample()

    def sample(self) -> None:
        """Reports the gauges, and the bytes since the last sample."""
        for metric, value in self._read_gauges().items():
            self._sink.gauge(metric, value)
        bytes_by_type = self._read_bytes()
        data = sum(bytes_by_type.get(name, 0) for name in messages.DATA_MESSAGE_TYPES)
        control = sum(bytes_by_type.values()) - data
        self._count(metrics.Metric.DATA_BYTES, data - self._data_bytes)
        self._count(metrics.Metric.CONTROL_BYTES, control - self._control_bytes)
        self._data_bytes = data
        self._control_bytes = control

    def _count(self, metric: metrics.Metric, change: int) -> None:
        """Adds to a count; connections that were forgotten can make it negative."""
        if change > 0:
            self._sink.count(metric, change)
