"""The plug-in for model engines with an OpenAI-compatible completions API."""

import asyncio
import collections.abc
import dataclasses

import aiohttp
import msgspec

from teaselsill import (
    document,
    event_stream,
    registry,
    response_body,
    upstream,
)

EVENT_END = b"\n\n"
DONE = b"data: [DONE]"
MAX_RESUMES = 3
EVENT_STREAM = "text/event-stream"


class _PromptDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails | None = None


class _Completion(msgspec.Struct):
    usage: _Usage | None = None


@dataclasses.dataclass(slots=True)
class _Stream:
    """The state of a stream.

    Attributes:
        last_event: The id of the last complete event.
        metered: The cost of the events so far.
        usage: The usage that the engine reported, or none.
        done: Whether the final event has arrived.
        rest: The received bytes of an incomplete event.
    """

    last_event: str = ""
    metered: float = 0.0
    usage: _Usage | None = None
    done: bool = False
    rest: bytes = b""


@registry.register(registry.Kind.UPSTREAM, "completions")
class CompletionsUpstream(upstream.Upstream):
    """A client of a model engine. The unit of cost is a weighted token."""

    capabilities = upstream.Capabilities(
        resume=True, cancel=True, fencing=True, load_report=True
    )

    async def run(
        self, request: upstream.UpstreamRequest, service: document.Service
    ) -> collections.abc.AsyncIterator[upstream.Event]:
        """Sends a request and resumes its stream if it breaks; see `Upstream.run`."""
        stream = _Stream()
        try:
            async with self.send(request) as response:
                body_start = await upstream.check_fencing(response, request)
                yield upstream.Started(
                    response.status, upstream.response_headers(response)
                )
                if response.content_type != EVENT_STREAM:
                    body = body_start + await response_body.read(response)
                    yield upstream.BodyChunk(body, 0.0)
                    yield upstream.Finished(_cost_of(_find_usage(body), service))
                    return
                async for event in _relay(response, stream, service):
                    yield event
        except aiohttp.ClientConnectorError as error:
            raise upstream.UpstreamUnreachableError(str(error)) from error
        except aiohttp.ConnectionTimeoutError as error:
            raise upstream.UpstreamUnreachableError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if not stream.last_event:
                raise upstream.UpstreamFailedError(str(error)) from error
        async for event in self._resume(request, service, stream):
            yield event
        total = _cost_of(stream.usage, service)
        yield upstream.Finished(total - stream.metered if stream.usage else 0.0)

    async def _resume(self, request, service, stream):
        """Resumes a broken stream after the last complete event."""
        for _ in range(MAX_RESUMES):
            if stream.done:
                return
            stream.rest = b""
            resume_request = dataclasses.replace(
                request,
                method="GET",
                body=b"",
                headers=[("Last-Event-ID", stream.last_event)],
                repeatable=True,
            )
            url = f"{self._url}/v1/streams/{request.request}"
            try:
                async with self.send(resume_request, url) as response:
                    if response.status != 200:
                        break
                    async for event in _relay(response, stream, service):
                        yield event
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
        if not stream.done:
            raise upstream.StreamStalledError("the stream stopped before its end")


async def _relay(response, stream, service):
    """Yields the complete events of a stream."""
    while True:
        async with asyncio.timeout(service.stall_s):
            data = await response.content.readany()
        if not data:
            return
        stream.rest += data
        if len(stream.rest) > event_stream.MAX_EVENT_BYTES + len(data):
            response.close()
            raise upstream.UpstreamFailedError("an event does not end")
        events, separator, stream.rest = stream.rest.rpartition(EVENT_END)
        if separator:
            cost = _parse_events(events, stream, service)
            yield upstream.BodyChunk(events + separator, cost)
        if stream.done:
            return


def _parse_events(events: bytes, stream: _Stream, service: document.Service) -> float:
    """Updates the state of the stream from complete events and returns their cost."""
    cost = 0.0
    for event in events.split(EVENT_END):
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
        return msgspec.json.decode(body, type=_Completion).usage
    except msgspec.MsgspecError:
        return None


def _cost_of(usage: _Usage | None, service: document.Service) -> float:
    if usage is None:
        return 0.0
    details = usage.prompt_tokens_details or _PromptDetails()
    uncached = max(0, usage.prompt_tokens - details.cached_tokens)
    return (
        uncached * service.input_weight
        + usage.completion_tokens * service.output_weight
    )
