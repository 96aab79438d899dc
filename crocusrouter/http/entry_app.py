"""ASGI application of an entry on the users' platform."""

from starlette import requests as starlette_requests
from starlette import responses
from starlette.types import ASGIApp
from starlette.types import Receive
from starlette.types import Scope
from starlette.types import Send

from crocusrouter import pools
from crocusrouter.http import queue_endpoints
from crocusrouter.outcomes import Rendered

READY_PATH = "/ready"
METRICS_PATH = "/metrics"
_PORT_INDEX = 1


async def _answer_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the ASGI lifespan messages; no work is needed for them."""
    while True:
        message_type = (await receive())["type"]
        await send({"type": f"{message_type}.complete"})
        if message_type == "lifespan.shutdown":
            return


def build_entry_app(
    entry: pools.PoolEntry, ready_port: int, metrics_port: int
) -> ASGIApp:
    """Return the application, which selects a handler by the local port.

    Args:
        entry: The entry.
        ready_port: Port on which the balancer checks readiness.
        metrics_port: Port on which metrics are exposed.
    """
    queue_api = queue_endpoints.QueueEndpoints(entry)

    async def respond(request: starlette_requests.Request) -> Rendered:
        server_address = request.scope.get("server")
        port = server_address[_PORT_INDEX] if server_address else None
        if port == ready_port:
            return Rendered(200 if entry.is_ready else 503, {}, b"")
        if port == metrics_port:
            headers = {"Content-Type": "text/plain; version=0.0.4"}
            return Rendered(200, headers, entry.metrics.expose())
        return await queue_api.handle(request)

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await _answer_lifespan(receive, send)
            return
        request = starlette_requests.Request(scope, receive)
        rendered = await respond(request)
        if entry.is_stopping:
            # On a kept-alive connection the caller could send its next request
            # just as the entry closes the connection, and couldn't tell
            # whether that request was read.
            rendered.headers["Connection"] = "close"
        response = responses.Response(
            rendered.body, rendered.status, rendered.headers
        )
        await response(scope, receive, send)

    return app
