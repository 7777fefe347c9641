"""The plug-in for plain HTTP services: passes calls through; busy time is the cost."""

import collections.abc

import aiohttp

from teaselsill import document, registry, upstream


@registry.register(registry.Kind.UPSTREAM, "plain")
class PlainUpstream(upstream.Upstream):
    """A plain HTTP service; its unit of cost is the millisecond of busy time."""

    supports = upstream.Supports(fencing=True, load_report=True)
    charges_time = True

    async def run(
        self, order: upstream.Order, service: document.Service
    ) -> collections.abc.AsyncIterator[upstream.Event]:
        """Sends an order; see `Upstream.run`."""
        try:
            async with self.open(order) as response:
                early = await upstream.check_fencing(response, order)
                yield upstream.Started(
                    response.status, upstream.answer_headers(response)
                )
                yield upstream.Piece(early, 0.0)
                async for data in response.content.iter_chunked(upstream.READ_BYTES):
                    yield upstream.Piece(data, 0.0)
        except aiohttp.ClientConnectorError as error:
            raise upstream.UpstreamUnreachableError(str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise upstream.UpstreamUnreachableError(str(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            raise upstream.UpstreamFailedError(str(error)) from error
        yield upstream.Finished(0.0)
