"""Sends a request to an upstream as an agent does."""

import time

from teaselsill import document, upstream


async def fetch(client_type, url, fencing=None):
    """Sends one request that may not be repeated and reads the whole response.

    Args:
        client_type: The plug-in.
        url: The upstream's URL.
        fencing: The fencing number, or `None`.

    Returns:
        The status and the body.
    """
    client = client_type(url)
    request = upstream.UpstreamRequest(
        request="r",
        method="POST",
        path="/v1/completions",
        headers=[],
        body=b"",
        deadline=time.monotonic() + 20.0,
        repeatable=False,
        fencing=fencing,
    )
    service = document.Service(name="s", kind="completions", models=["m"])
    status, body = 0, b""
    try:
        async for event in client.run(request, service):
            match event:
                case upstream.Started(status=status):
                    pass
                case upstream.BodyChunk(data=data):
                    body += data
    finally:
        await client.close()
    return status, body
