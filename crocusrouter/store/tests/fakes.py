"""In-memory key-value service that is called without sockets."""

import httpcore
import trio

from crocusrouter.store import client as store_client
from crocusrouter.telemetry import Metrics
from standins import store as standin


class FakeService:
    """Answers a client's calls from the stand-in store, with given failures.

    `failures` holds one item per call: None to answer, "refuse" to fail
    before the call takes effect, "lose" to apply the call and lose its answer.
    """

    def __init__(self):
        self.store = standin.Store()
        self.app = standin.StoreApp(self.store)
        self.failures = []
        self.calls = 0

    def open_client(self, **options):
        client = store_client.StoreClient(
            "http://127.0.0.1:1", Metrics(), seed=1, **options
        )
        client._pool = _ConnectionPool(self)
        return client

    async def request(self, method, url, content, extensions):
        self.calls += 1
        failure = self.failures.pop(0) if self.failures else None
        if failure == "refuse":
            raise httpcore.ConnectError("refused")
        path = url.split("127.0.0.1:1", 1)[1]
        await trio.lowlevel.checkpoint()
        response = await _handle(self.app.app, path, content)
        if failure == "lose":
            raise httpcore.ReadTimeout("lost")
        return response


class _ConnectionPool:
    """Replaces the HTTP connection pool of a client."""

    def __init__(self, service):
        self.request = service.request

    async def aclose(self):
        pass


async def _handle(app, path, content):
    sent_events = []

    async def receive():
        return {"type": "http.request", "body": content, "more_body": False}

    async def send(event):
        sent_events.append(event)

    scope = {
        "type": "http",
        "method": "POST",
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [],
    }
    await app(scope, receive, send)
    body = b"".join(event.get("body", b"") for event in sent_events)
    response = httpcore.Response(sent_events[0]["status"], content=body)
    await response.aread()
    return response
