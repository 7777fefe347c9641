"""The plug-in for model engines with the usual completions interface."""

import asyncio
import collections.abc
import dataclasses

import aiohttp
import msgspec

from teaselsill import document, registry, upstream

EVENT_END = b"\n\n"
DONE = b"data: [DONE]"
MAX_RESUMES = 3
EVENT_STREAM = "text/event-stream"


class _Details(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _Details | None = None


class _Answer(msgspec.Struct):
    usage: _Usage | None = None


@dataclasses.dataclass(slots=True)
class _Stream:
    """What is known of a stream so far."""

    last_event: str = ""
    metered: float = 0.0
    usage: _Usage | None = None
    done: bool = False
    rest: bytes = b""


@registry.register(registry.Kind.UPSTREAM, "completions")
class CompletionsUpstream(upstream.Upstream):
    """A model engine; its unit of cost is the weighted token."""

    capabilities = upstream.Capabilities(
        resume=True, cancel=True, fencing=True, load_report=True
    )

    async def run(
        self, order: upstream.UpstreamRequest, service: document.Service
    ) -> collections.abc.AsyncIterator[upstream.Event]:
        """Sends an order and resumes its stream if it breaks; see `Upstream.run`."""
        stream = _Stream()
        try:
            async with self.send(order) as response:
                early = await upstream.check_fencing(response, order)
                yield upstream.Started(
                    response.status, upstream.response_headers(response)
                )
                if response.content_type != EVENT_STREAM:
                    body = early or await response.read()
                    yield upstream.BodyChunk(body, 0.0)
                    yield upstream.Finished(_cost_of(_find_usage(body), service))
                    return
                async for piece in _relay(response, stream, service):
                    yield piece
        except aiohttp.ClientConnectorError as error:
            raise upstream.UpstreamUnreachableError(str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise upstream.UpstreamUnreachableError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if not stream.last_event:
                raise upstream.UpstreamFailedError(str(error)) from error
        async for piece in self._resume(order, service, stream):
            yield piece
        total = _cost_of(stream.usage, service)
        yield upstream.Finished(total - stream.metered if stream.usage else 0.0)

    async def _resume(self, order, service, stream):
        """Goes on with a broken stream after the last event that came."""
        for _ in range(MAX_RESUMES):
            if stream.done:
                return
            stream.rest = b""
            again = dataclasses.replace(
                order,
                method="GET",
                body=b"",
                headers=[("Last-Event-ID", stream.last_event)],
                repeatable=True,
            )
            url = f"{self._url}/v1/streams/{order.request}"
            try:
                async with self.send(again, url) as response:
                    if response.status != 200:
                        break
                    async for piece in _relay(response, stream, service):
                        yield piece
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
        if not stream.done:
            raise upstream.StreamStalledError("the stream stopped before its end")


async def _relay(response, stream, service):
    """Yields the events of a stream, whole ones only."""
    while True:
        async with asyncio.timeout(service.stall_s):
            data = await response.content.readany()
        if not data:
            return
        stream.rest += data
        whole, mark, stream.rest = stream.rest.rpartition(EVENT_END)
        if mark:
            cost = _note_events(whole, stream, service)
            yield upstream.BodyChunk(whole + mark, cost)
        if stream.done:
            return


def _note_events(whole: bytes, stream: _Stream, service: document.Service) -> float:
    """Notes what some events say and returns their cost."""
    cost = 0.0
    for event in whole.split(EVENT_END):
        if DONE in event:
            stream.done = True
            continue
        event_id = _find_id(event)
        if event_id:
            stream.last_event = event_id
        usage = _find_usage(event.partition(b"data: ")[2])
        if usage is not None:
            stream.usage = usage
            continue
        cost += service.output_weight
    stream.metered += cost
    return cost


def _find_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode()
    return ""


def _find_usage(body: bytes) -> _Usage | None:
    if b'"usage"' not in body:
        return None
    try:
        return msgspec.json.decode(body, type=_Answer).usage
    except msgspec.MsgspecError:
        return None


def _cost_of(usage: _Usage | None, service: document.Service) -> float:
    if usage is None:
        return 0.0
    details = usage.prompt_tokens_details or _Details()
    uncached = max(0, usage.prompt_tokens - details.cached_tokens)
    return (
        uncached * service.input_weight
        + usage.completion_tokens * service.output_weight
    )
