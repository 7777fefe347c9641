"""Counts the appends and failed calls of a log service."""

from teaselsill import ids, log, metrics


class MeteredLog(log.Log):
    """Wraps a log service and counts its appends and failed calls.

    Args:
        service: The log service.
        sink: The metrics that count the calls.
    """

    def __init__(self, service: log.Log, sink: metrics.Metrics):
        self._service = service
        self._sink = sink

    async def append(self, stream: str, data: bytes) -> ids.Offset:
        """Appends one record; see `Log.append`."""
        self._sink.count(metrics.Metric.LOG_APPENDS)
        try:
            return await self._service.append(stream, data)
        except log.LogUnavailableError:
            self._sink.count(metrics.Metric.LOG_FAILURES)
            raise

    async def read(
        self, stream: str, start: ids.Offset, wait_s: float = 0.0, limit: int = 1000
    ) -> log.Page:
        """Reads records; see `Log.read`."""
        try:
            return await self._service.read(stream, start, wait_s, limit)
        except log.LogUnavailableError:
            self._sink.count(metrics.Metric.LOG_FAILURES)
            raise

    async def close(self) -> None:
        """Closes the wrapped client."""
        await self._service.close()
