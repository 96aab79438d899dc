"""The emulated store and workers behind the platform's HTTP interface."""

import base64
import dataclasses
import random
from typing import Any
import urllib.parse

import orjson
from starlette.types import Receive
from starlette.types import Scope
from starlette.types import Send
import trio

from crocusrouter.platform import names
from crocusrouter.pools import keys
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.work import worker_port
from standins.emulator import store as stores
from standins.emulator import worker as workers
from standins.soak import data_centre_links

# Longer than any caller's timeout, to emulate a call without an answer.
_NO_ANSWER_DELAY_S = 8.0
_REASON_TEXTS = {
    worker_port.RejectionReason.FENCED: "fence",
    worker_port.RejectionReason.OLD: "old",
    worker_port.RejectionReason.LATE: "late",
    worker_port.RejectionReason.NO_ROOM: "room",
    worker_port.RejectionReason.NO_TICKET: "ticket",
}
Answer = tuple[int, dict[str, Any]]


# Share of the answers of a slow worker that are delayed, and by how much.
_SLOW_SHARE = 0.4
_SLOW_DELAY_S = (0.1, 1.2)


class _NoAnswerError(Exception):
    """The call must stay unanswered until the caller times out."""


@dataclasses.dataclass
class AnswerManners:
    """How a worker answers HTTP calls.

    Attributes:
        is_slow: Whether some calls are carried out or answered late.
        closes_used: Whether it closes each connection after one answer.
    """

    is_slow: bool = False
    closes_used: bool = False


class Platform:
    """ASGI application for store and workers, told apart by their ports."""

    def __init__(self, seed: int) -> None:
        """Serve nothing yet.

        Args:
            seed: Seeds the delays of slow answers.
        """
        self.stores: dict[int, stores.StoreView] = {}
        self.workers: dict[int, workers.WorkerView] = {}
        self.worker_names: dict[int, str] = {}
        self.manners: dict[int, AnswerManners] = {}
        # Addresses to tell the entries instead of those that entries register.
        self.shown_addresses: dict[bytes, bytes] = {}
        # Links between data centres, and the data centre of each store's entry.
        self.links: data_centre_links.DataCentreLinks | None = None
        self.data_centres: dict[int, str] = {}
        self._random = random.Random(seed)

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
            status, answer = await self._route_call(scope, document)
        except _NoAnswerError:
            await trio.sleep(_NO_ANSWER_DELAY_S)
            status, answer = 504, {}
        except client.StoreUnavailableError as error:
            if str(error) != "busy":
                await trio.sleep(_NO_ANSWER_DELAY_S)
            status, answer = 503, {}
        headers = [(b"content-type", b"application/json")]
        manners = self.manners.get(scope["server"][1])
        if manners is not None and manners.closes_used:
            headers.append((b"connection", b"close"))
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": orjson.dumps(answer)})

    async def _route_call(
        self, scope: Scope, document: dict[str, Any]
    ) -> Answer:
        port_number = scope["server"][1]
        path = scope["path"]
        if port_number in self.stores:
            parameters = urllib.parse.parse_qs(scope["query_string"].decode())
            query = {name: values[0] for name, values in parameters.items()}
            self._restore_addresses(document)
            status, answer = await _answer_store(
                self.stores[port_number], path, query, document
            )
            self._show_addresses(answer, port_number)
            return status, answer
        expected_name = (
            dict(scope["headers"]).get(b"x-expect-instance", b"").decode()
        )
        if expected_name != self.worker_names.get(port_number):
            return 421, {}
        delays_s = self._draw_delays(port_number)
        await trio.sleep(delays_s[0])
        worker_view = self.workers[port_number]
        status, answer = await _answer_worker(worker_view, path, document)
        await trio.sleep(delays_s[1])
        return status, answer

    def _draw_delays(self, port_number: int) -> tuple[float, float]:
        """Return the delays before a worker's call and before its answer."""
        manners = self.manners.get(port_number)
        if manners is None or not manners.is_slow:
            return 0.0, 0.0
        if self._random.random() >= _SLOW_SHARE:
            return 0.0, 0.0
        delay_s = self._random.uniform(*_SLOW_DELAY_S)
        return self._random.choice(((delay_s, 0.0), (0.0, delay_s)))

    def _restore_addresses(self, document: dict[str, Any]) -> None:
        """Replace shown addresses in a write by those that the store holds."""
        if self.links is None:
            return
        for row in document.get("writes", ()):
            value = base64.b64decode(row["value"])
            row["value"] = base64.b64encode(
                self.links.restore_addresses(value)
            ).decode()

    def _show_addresses(self, answer: dict[str, Any], port_number: int) -> None:
        """Replace addresses in an answer of the store by those to be shown."""
        items = (answer, *answer.get("items", ()), *answer.get("events", ()))
        for item in items:
            if "value" not in item:
                continue
            value = base64.b64decode(item["value"])
            if item["key"].startswith(keys.MEMBERS):
                address, separator, rest = value.partition(b" ")
                shown = self.shown_addresses.get(address, address)
                value = shown + separator + rest
            if self.links is not None:
                value = self.links.show_addresses(
                    value, self.data_centres[port_number]
                )
            item["value"] = base64.b64encode(value).decode()


async def _answer_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message_type = (await receive())["type"]
        await send({"type": f"{message_type}.complete"})
        if message_type == "lifespan.shutdown":
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
            record = await view.read(query["key"])
            return (200, _build_item(record)) if record else (404, {})
        case ["kv-range"]:
            snapshot = await view.read_prefix(query["prefix"])
            items = [_build_item(item) for item in snapshot.records]
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
            ttl_ms = document["ttl_ms"]
            lease = await view.grant_lease(ttl_ms / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        case ["kv-keep", lease_text]:
            is_kept = await view.renew_lease(int(lease_text))
            return (200, {}) if is_kept else (404, {})
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
        else _build_item(event.record)
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
            return 412, {
                "items": [_build_item(record) for record in current.values()]
            }
        case key_value.LeaseEnded():
            return 404, {}
        case key_value.NotWritten():
            return 503, {}
    raise _NoAnswerError


def _build_item(record: records.Record) -> dict[str, Any]:
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
        return _build_answer(
            await view.hold(
                epoch,
                document.get("last_seen", 0),
                document.get("until_ms"),
                document.get("wait_ms", 0) / 1000,
            )
        )
    key = names.parse_task_name(document["task"])
    assert key is not None
    run_number = document["run_id"]
    if path == "/run-start":
        order = worker_port.Start(
            key, run_number, document["spec"], document.get("checkpoint", "")
        )
        return _build_answer(
            await view.start(
                epoch, order, document["until_ms"], _NO_ANSWER_DELAY_S
            )
        )
    return _build_answer(
        await view.stop(
            epoch, worker_port.Stop(key, run_number), _NO_ANSWER_DELAY_S
        )
    )


def _build_answer(
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
                        names.build_task_name(task_run.key),
                        task_run.run,
                        task_run.checkpoint,
                        task_run.percent,
                    ]
                    for task_run in running
                ],
                "finished": [
                    [
                        end.number,
                        names.build_task_name(end.key),
                        end.run,
                        str(end.outcome),
                        "",
                    ]
                    for end in ended
                ],
            }
        case worker_port.Accepted(clock_ms):
            return 200, {"clock_ms": clock_ms}
        case worker_port.Rejected(
            worker_port.RejectionReason.OTHER_INCARNATION
        ):
            return 421, {}
        case worker_port.Rejected(why, clock_ms):
            return 409, {"clock_ms": clock_ms, "reason": _REASON_TEXTS[why]}
    raise _NoAnswerError
