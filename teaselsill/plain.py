"""The plug-in for plain HTTP services: passes calls through; busy time is the cost."""

import collections.abc

import aiohttp

from teaselsill import document, registry, upstream


@registry.register(registry.Kind.UPSTREAM, "plain")
class PlainUpstream(upstream.Upstream):
    """A plain HTTP service; its unit of cost is the millisecond of busy time."""

    capabilities = upstream.Capabilities(fencing=True, load_report=True)
    charges_busy_time = True

    async def run(
        self, order: upstream.UpstreamRequest, service: document.Service
    ) -> collections.abc.AsyncIterator[upstream.Event]:
        """Sends an order; see `Upstream.run`."""
        try:
            async with self.send(order) as response:
                early = await upstream.check_fencing(response, order)
                yield upstream.Started(
                    response.status, upstream.response_headers(response)
                )
                yield upstream.BodyChunk(early, 0.0)
                async for data in response.content.iter_chunked(upstream.READ_BYTES):
                    yield upstream.BodyChunk(data, 0.0)
        except aiohttp.ClientConnectorError as error:
            raise upstream.UpstreamUnreachableError(str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise upstream.UpstreamUnreachableError(str(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            raise upstream.UpstreamFailedError(str(error)) from error
        yield upstream.Finished(0.0)
