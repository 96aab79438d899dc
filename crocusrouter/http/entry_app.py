"""The ASGI application of an entry on the users' platform."""

from starlette import requests as starlette_requests
from starlette import responses
from starlette.types import ASGIApp
from starlette.types import Receive
from starlette.types import Scope
from starlette.types import Send

from crocusrouter import pools
from crocusrouter.http import queue_calls
from crocusrouter.outcomes import Rendered

READY_PATH = "/ready"
METRICS_PATH = "/metrics"
_SERVER_INDEX = 1


async def _answer_lifespan(receive: Receive, send: Send) -> None:
    """Tell the server that start and shutdown need nothing here."""
    while True:
        kind = (await receive())["type"]
        await send({"type": f"{kind}.complete"})
        if kind == "lifespan.shutdown":
            return


def build_entry_app(
    entry: pools.PoolEntry, ready_port: int, metrics_port: int
) -> ASGIApp:
    """Return the application; the port that took a call tells them apart.

    Args:
        entry: The entry.
        ready_port: Where the balancer asks whether the entry is ready.
        metrics_port: Where metrics are read.
    """
    calls = queue_calls.QueueCalls(entry)

    async def answer(request: starlette_requests.Request) -> Rendered:
        server = request.scope.get("server")
        port = server[_SERVER_INDEX] if server else None
        if port == ready_port:
            return Rendered(200 if entry.is_ready else 503, {}, b"")
        if port == metrics_port:
            headers = {"Content-Type": "text/plain; version=0.0.4"}
            return Rendered(200, headers, entry.metrics.expose())
        return await calls.handle(request)

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await _answer_lifespan(receive, send)
            return
        request = starlette_requests.Request(scope, receive)
        rendered = await answer(request)
        if entry.is_stopping:
            # A caller that keeps its connection would send its next request
            # just as we close, and could not tell whether it was read.
            rendered.headers["Connection"] = "close"
        response = responses.Response(
            rendered.body, rendered.status, rendered.headers
        )
        await response(scope, receive, send)

    return app
