"""The emulated store and workers behind the platform's HTTP interface."""

import base64
from typing import Any
import urllib.parse

import orjson
from starlette.types import Receive
from starlette.types import Scope
from starlette.types import Send
import trio

from crocusrouter.platform import names
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.work import worker_port
from standins.emulator import store as stores
from standins.emulator import worker as workers

# Longer than any caller waits: an answer that never comes.
_NEVER_S = 8.0
_REASONS = {
    worker_port.RejectionReason.FENCED: "fence",
    worker_port.RejectionReason.OLD: "old",
    worker_port.RejectionReason.LATE: "late",
    worker_port.RejectionReason.NO_ROOM: "room",
    worker_port.RejectionReason.NO_TICKET: "ticket",
}
Answer = tuple[int, dict[str, Any]]


class _NoAnswerError(Exception):
    """The call gets no answer."""


class Platform:
    """One ASGI application; the port tells whom a call is meant for."""

    def __init__(self) -> None:
        self.stores: dict[int, stores.StoreView] = {}
        self.workers: dict[int, workers.WorkerView] = {}
        self.lives: dict[int, str] = {}

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one call."""
        if scope["type"] == "lifespan":
            await _answer_lifespan(receive, send)
            return
        body = await _read_body(receive)
        document = orjson.loads(body) if body else {}
        try:
            status, answer = await self._answer(scope, document)
        except _NoAnswerError:
            await trio.sleep(_NEVER_S)
            status, answer = 504, {}
        except client.StoreUnavailableError as error:
            if str(error) != "busy":
                await trio.sleep(_NEVER_S)
            status, answer = 503, {}
        headers = [(b"content-type", b"application/json")]
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": orjson.dumps(answer)})

    async def _answer(self, scope: Scope, document: dict[str, Any]) -> Answer:
        number = scope["server"][1]
        path = scope["path"]
        if number in self.stores:
            asked = urllib.parse.parse_qs(scope["query_string"].decode())
            query = {name: values[0] for name, values in asked.items()}
            return await _answer_store(
                self.stores[number], path, query, document
            )
        wanted = dict(scope["headers"]).get(b"x-expect-instance", b"").decode()
        if wanted != self.lives.get(number):
            return 421, {}
        return await _answer_worker(self.workers[number], path, document)


async def _answer_lifespan(receive: Receive, send: Send) -> None:
    while True:
        kind = (await receive())["type"]
        await send({"type": f"{kind}.complete"})
        if kind == "lifespan.shutdown":
            return


async def _read_body(receive: Receive) -> bytes:
    body = b""
    while True:
        message = await receive()
        body += bytes(message.get("body", b""))
        if not message.get("more_body"):
            return body


# The store.


async def _answer_store(
    view: stores.StoreView,
    path: str,
    query: dict[str, str],
    document: dict[str, Any],
) -> Answer:
    match path.split("/")[1:]:
        case ["kv-key"]:
            found = await view.read(query["key"])
            return (200, _show_item(found)) if found else (404, {})
        case ["kv-range"]:
            snapshot = await view.read_prefix(query["prefix"])
            items = [_show_item(record) for record in snapshot.records]
            return 200, {
                "items": items,
                "has_more": False,
                "at_rev": snapshot.revision,
            }
        case ["kv-watch"]:
            return await _watch(view, query)
        case ["kv-txn"]:
            return await _write(view, document)
        case ["kv-lease"]:
            ttl = document["ttl_ms"]
            lease = await view.grant_lease(ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        case ["kv-keep", lease_text]:
            kept = await view.renew_lease(int(lease_text))
            return (200, {}) if kept else (404, {})
    return 404, {}


async def _watch(view: stores.StoreView, query: dict[str, str]) -> Answer:
    try:
        changes = await view.watch(
            query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000
        )
    except key_value.HistoryGoneError:
        return 410, {}
    events = [
        {"key": event.key, "revision": event.revision, "deleted": True}
        if isinstance(event, records.Removed)
        else _show_item(event.record)
        for event in changes.events
    ]
    return 200, {"events": events, "at_rev": changes.revision}


async def _write(view: stores.StoreView, document: dict[str, Any]) -> Answer:
    outcome = await view.write(
        tuple(
            key_value.Guard(row["key"], row["revision"])
            for row in document["expected_rev"]
        ),
        tuple(
            key_value.Write(
                row["key"],
                base64.b64decode(row["value"]),
                row.get("lease", 0),
            )
            for row in document["writes"]
        ),
        tuple(document["remove"]),
    )
    match outcome:
        case key_value.Written(revision):
            return 200, {"revision": revision}
        case key_value.Mismatched(current):
            return 412, {"items": [_show_item(r) for r in current.values()]}
        case key_value.LeaseEnded():
            return 404, {}
        case key_value.NotWritten():
            return 503, {}
    raise _NoAnswerError


def _show_item(record: records.Record) -> dict[str, Any]:
    return {
        "key": record.key,
        "value": base64.b64encode(record.value).decode(),
        "revision": record.revision,
    }


# Workers.


async def _answer_worker(
    view: workers.WorkerView, path: str, document: dict[str, Any]
) -> Answer:
    epoch = document.get("fencing_token", 0)
    if path == "/hold":
        return _show(
            await view.hold(
                epoch,
                document.get("last_seen", 0),
                document.get("until_ms"),
                document.get("wait_ms", 0) / 1000,
            )
        )
    key = names.parse_task_name(document["task"])
    assert key is not None
    number = document["run_id"]
    if path == "/run-start":
        order = worker_port.Start(
            key, number, document["spec"], document.get("checkpoint", "")
        )
        return _show(
            await view.start(epoch, order, document["until_ms"], _NEVER_S)
        )
    return _show(
        await view.stop(epoch, worker_port.Stop(key, number), _NEVER_S)
    )


def _show(
    result: worker_port.Report
    | worker_port.Accepted
    | worker_port.Rejected
    | worker_port.NoAnswer,
) -> Answer:
    match result:
        case worker_port.Report(clock_ms, running, ended, born_ms):
            return 200, {
                "clock_ms": clock_ms,
                "born": born_ms,
                "running": [
                    [
                        names.build_task_name(r.key),
                        r.run,
                        r.checkpoint,
                        r.percent,
                    ]
                    for r in running
                ],
                "finished": [
                    [
                        e.number,
                        names.build_task_name(e.key),
                        e.run,
                        str(e.outcome),
                        "",
                    ]
                    for e in ended
                ],
            }
        case worker_port.Accepted(clock_ms):
            return 200, {"clock_ms": clock_ms}
        case worker_port.Rejected(
            worker_port.RejectionReason.OTHER_INCARNATION
        ):
            return 421, {}
        case worker_port.Rejected(why, clock_ms):
            return 409, {"clock_ms": clock_ms, "reason": _REASONS[why]}
    raise _NoAnswerError
