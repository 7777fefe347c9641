"""The plug-in for plain HTTP services, whose cost is the busy time."""

import collections.abc

import aiohttp

from teaselsill import document, registry, upstream


@registry.register(registry.Kind.UPSTREAM, "plain")
class PlainUpstream(upstream.Upstream):
    """A client of a plain HTTP service. The unit of cost is a busy millisecond."""

    capabilities = upstream.Capabilities(fencing=True, load_report=True)
    charges_busy_time = True

    async def run(
        self, request: upstream.UpstreamRequest, service: document.Service
    ) -> collections.abc.AsyncIterator[upstream.Event]:
        """See `Upstream.run`."""
        try:
            async with self.send(request) as response:
                body_start = await upstream.check_fencing(response, request)
                yield upstream.Started(
                    response.status, upstream.response_headers(response)
                )
                yield upstream.BodyChunk(body_start, 0.0)
                async for data in response.content.iter_chunked(upstream.READ_BYTES):
                    yield upstream.BodyChunk(data, 0.0)
        except aiohttp.ClientConnectorError as error:
            raise upstream.UpstreamUnreachableError(str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise upstream.UpstreamUnreachableError(str(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            raise upstream.UpstreamFailedError(str(error)) from error
        yield upstream.Finished(0.0)
