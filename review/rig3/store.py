"""The platform's metadata store."""

import asyncio
import base64
import dataclasses
import time
from typing import Any

from rig3 import web

_ANSWER_S = 0.004
_PAGE_ITEMS = 500
_HISTORY_S = 20.0
_MAX_ROWS = 32
_VALUE_BYTES = 1_048_576
_READ_ONLY = ("op/", "servers/")


@dataclasses.dataclass
class _Item:
    value: str
    revision: int
    created: int
    lease: int


class Store:
    """Keys, leases and history. Each entry calls it on a port of its own."""

    def __init__(self) -> None:
        self.items: dict[str, _Item] = {}
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        # Time, and what a watch reports.
        self.history: list[tuple[float, dict[str, Any]]] = []
        self._dropped_revision = 0
        self._changed = asyncio.Event()
        # Names of the entries whose calls get no answer, or a 503.
        self.silent_for: set[str] = set()
        self.busy_for: set[str] = set()
        # Addresses that an entry reads in place of others, so that a stand-in
        # for a link lies between.
        self.shown: dict[str, dict[str, str]] = {}

    # Writes of operators and runners.

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one key."""
        self.revision += 1
        self._set(key, base64.b64encode(value).decode(), lease)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove one key."""
        if key in self.items:
            self.revision += 1
            self._delete(key)

    def read(self, key: str) -> bytes | None:
        """Return a key's value."""
        item = self.items.get(key)
        return base64.b64decode(item.value) if item else None

    def _set(self, key: str, value: str, lease: int) -> None:
        old = self.items.get(key)
        created = old.created if old else self.revision
        self.items[key] = _Item(value, self.revision, created, lease)
        self._publish(self._describe(key))

    def _delete(self, key: str) -> None:
        del self.items[key]
        self._publish({"key": key, "revision": self.revision, "deleted": True})

    def _publish(self, event: dict[str, Any]) -> None:
        now = time.monotonic()
        self.history.append((now, event))
        while self.history[0][0] < now - _HISTORY_S:
            self._dropped_revision = self.history.pop(0)[1]["revision"]
        self._changed.set()
        self._changed = asyncio.Event()

    def _describe(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        row = {
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "created": item.created,
        }
        return row | ({"lease": item.lease} if item.lease else {})

    async def expire_leases(self) -> None:
        """End leases until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            ended = {n for n, (_, end) in self.leases.items() if end <= now}
            for number in ended:
                self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        for key in [k for k, i in self.items.items() if i.lease == number]:
            self.remove(key)

    # Calls of entries.

    def serve(self, entry: str) -> web.Server:
        """Return a server for one entry."""

        async def handle(request: web.Request) -> web.Answer:
            if entry in self.silent_for:
                raise web.NoAnswerError
            if entry in self.busy_for:
                return 503, {}
            await asyncio.sleep(_ANSWER_S)
            answer = await self._answer(request)
            if entry in self.silent_for:
                raise web.NoAnswerError
            return self._show_addresses(entry, answer)

        return web.Server(handle)

    def _show_addresses(self, entry: str, answer: web.Answer) -> web.Answer:
        status, document = answer
        rows = [
            document,
            *document.get("items", []),
            *document.get("events", []),
        ]
        shown = self.shown.get(entry, {})
        if not shown or not any("value" in row for row in rows):
            return answer

        def show(row: dict[str, Any]) -> dict[str, Any]:
            if "value" not in row:
                return row
            text = base64.b64decode(row["value"]).decode("latin-1")
            for address, other in shown.items():
                text = text.replace(address, other)
            value = base64.b64encode(text.encode("latin-1")).decode()
            return row | {"value": value}

        document = show(document)
        for name in ("items", "events"):
            if name in document:
                document[name] = [show(row) for row in document[name]]
        return status, document

    async def _answer(self, request: web.Request) -> web.Answer:
        match request.path.split("/")[1:]:
            case ["kv-key"]:
                if request.query["key"] not in self.items:
                    return 404, {"at_rev": self.revision}
                item = self._describe(request.query["key"])
                return 200, item | {"at_rev": self.revision}
            case ["kv-range"]:
                return self._read_range(request.query)
            case ["kv-watch"]:
                return await self._watch(request.query)
            case ["kv-txn"]:
                return self._write(request.document)
            case ["kv-lease"]:
                self.revision += 1
                ttl_s = request.document["ttl_ms"] / 1000
                self.leases[self.revision] = ttl_s, time.monotonic() + ttl_s
                return 200, {
                    "lease": self.revision,
                    "ttl_ms": int(ttl_s * 1000),
                }
            case ["kv-keep", text]:
                if int(text) not in self.leases:
                    return 404, {}
                ttl_s = self.leases[int(text)][0]
                self.leases[int(text)] = ttl_s, time.monotonic() + ttl_s
                return 200, {}
            case ["kv-lease-end", text]:
                self._end_lease(int(text))
                return 200, {}
        return 400, {}

    def _read_range(self, query: dict[str, str]) -> web.Answer:
        found = sorted(
            key
            for key in self.items
            if key.startswith(query.get("prefix", ""))
            and key > query.get("after", "")
        )
        return 200, {
            "items": [self._describe(key) for key in found[:_PAGE_ITEMS]],
            "has_more": len(found) > _PAGE_ITEMS,
            "at_rev": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> web.Answer:
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        ends_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if after < self._dropped_revision:
                return 410, {}
            events = [
                event
                for _, event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at_rev": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _write(self, document: dict[str, Any]) -> web.Answer:
        guards = document.get("expected_rev") or []
        writes = document.get("writes") or []
        removals = document.get("remove") or []
        if len(guards) + len(writes) + len(removals) > _MAX_ROWS:
            return 400, {}
        if any(
            key.startswith(_READ_ONLY)
            for key in [*(row["key"] for row in writes), *removals]
        ):
            return 403, {}
        if any(
            len(base64.b64decode(row["value"])) > _VALUE_BYTES for row in writes
        ):
            return 400, {}
        for row in guards:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {
                    "items": [
                        self._describe(guard["key"])
                        for guard in guards
                        if guard["key"] in self.items
                    ]
                }
        if any(
            row.get("lease") and row["lease"] not in self.leases
            for row in writes
        ):
            return 404, {}
        self.revision += 1
        for row in writes:
            self._set(row["key"], row["value"], row.get("lease", 0))
        for key in removals:
            if key in self.items:
                self._delete(key)
        return 200, {"revision": self.revision}
