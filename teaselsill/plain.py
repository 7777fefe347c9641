"""The plug-in for plain HTTP services: passes calls through; busy time is the cost."""

import collections.abc
import time

import aiohttp

from teaselsill import document, registry, upstream

MS_PER_S = 1000.0


@registry.register(registry.Kind.UPSTREAM, "plain")
class PlainUpstream(upstream.Upstream):
    """A plain HTTP service; its unit of cost is the millisecond of busy time."""

    supports = upstream.Supports(fencing=True, load_report=True)

    async def run(
        self, order: upstream.Order, service: document.Service
    ) -> collections.abc.AsyncIterator[upstream.Event]:
        """Sends an order; see `Upstream.run`."""
        meter = _BusyMeter()
        try:
            async with self.open(order) as response:
                early = await upstream.check_fencing(response, order)
                yield upstream.Started(
                    response.status, upstream.answer_headers(response)
                )
                yield upstream.Piece(early, meter.lap_ms())
                async for data in response.content.iter_chunked(upstream.READ_BYTES):
                    yield upstream.Piece(data, meter.lap_ms())
        except aiohttp.ClientConnectorError as error:
            raise upstream.UpstreamUnreachableError(str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise upstream.UpstreamUnreachableError(str(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            raise upstream.UpstreamFailedError(str(error)) from error
        yield upstream.Finished(meter.lap_ms())


class _BusyMeter:
    """Measures the busy time between calls, in milliseconds."""

    def __init__(self):
        self._since = time.monotonic()

    def lap_ms(self) -> float:
        now = time.monotonic()
        lap_s = now - self._since
        self._since = now
        return lap_s * MS_PER_S
