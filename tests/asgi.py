"""Calls an ASGI application without a server."""


async def call(app, path="/", method="GET", body=b"", headers=()):
    """Sends one request to an application; returns the status and the body."""
    sent = []

    async def receive():
        return {"type": "http.request", "body": body}

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "headers": [(b"host", b"console:80"), *headers],
        "query_string": b"",
    }
    await app(scope, receive, send)
    content = b"".join(message.get("body", b"") for message in sent[1:])
    return sent[0]["status"], content.decode()
