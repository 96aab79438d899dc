"""Stand-in for the platform's key-value service, with injected faults."""

import base64
import collections
from collections.abc import AsyncIterator
import dataclasses
import enum
import functools
import itertools
import random
from typing import Any

import orjson
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from standins import serving

Pair = dict[str, str]
_WATCH_BUFFER_EVENTS = 10_000


class Fault(enum.StrEnum):
    """Faults of the service."""

    NONE = "none"
    DOWN = "down"  # answers every call with 503
    SILENT = "silent"  # accepts calls and never answers
    SLOW = "slow"  # answers after `delay_s`
    LOSE_ANSWERS = "lose-answers"  # applies writes, then answers some with 504
    CUT_WATCHES = "cut-watches"  # watches stay open without further events


@dataclasses.dataclass
class Switch:
    """The current fault and its parameters."""

    fault: Fault = Fault.NONE
    delay_s: float = 0.0
    share: float = 1.0


@dataclasses.dataclass
class _Value:
    data: str
    mod_revision: int
    lease: int


class Store:
    """Keys, revisions, leases and watches in memory."""

    def __init__(self, seed: int = 0) -> None:
        self.revision = 1
        self.values: dict[str, _Value] = {}
        self.leases: dict[int, float] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.watchers: dict[int, trio.MemorySendChannel[dict[str, Any]]] = {}
        self.switch = Switch()
        self.calls: collections.Counter[str] = collections.Counter()
        self.random = random.Random(seed)
        self._ids = itertools.count(1)

    def read(self, key: str, range_end: str | None) -> list[Pair]:
        """Return the pairs in [key, range_end), or the pair of one key."""
        return [
            self._build_pair(name)
            for name in sorted(self.values)
            if _is_in(name, key, range_end)
        ]

    def compare_and_swap(
        self, request: dict[str, Any]
    ) -> tuple[bool, list[Pair]]:
        """Apply a compare-and-swap of one key; return its success and pairs."""
        compare = request["compare"][0]
        key = compare["key"]
        value = self.values.get(key)
        revision = value.mod_revision if value else 0
        if revision != int(compare["mod_revision"]):
            return False, self.read(key, None)
        put = request["success"][0]["request_put"]
        self.put(put["key"], put["value"], int(put.get("lease", 0)))
        return True, []

    def put(self, key: str, data: str, lease: int = 0) -> None:
        """Write one key and notify the watchers."""
        self.revision += 1
        self.values[key] = _Value(data, self.revision, lease)
        self._notify_watchers({"type": "PUT", "kv": self._build_pair(key)})

    def delete(self, key: str) -> None:
        """Remove one key and notify the watchers."""
        self.revision += 1
        del self.values[key]
        pair = {"key": key, "mod_revision": str(self.revision)}
        self._notify_watchers({"type": "DELETE", "kv": pair})

    def grant(self, ttl_s: int, now: float) -> int:
        """Grant a lease and return its id."""
        lease = next(self._ids)
        self.leases[lease] = now + ttl_s
        return lease

    def expire(self, now: float) -> None:
        """Remove expired leases and their keys."""
        expired_leases = {
            lease for lease, end in self.leases.items() if end <= now
        }
        for lease in expired_leases:
            del self.leases[lease]
        expired_keys = [
            key
            for key, value in self.values.items()
            if value.lease in expired_leases
        ]
        for key in expired_keys:
            self.delete(key)

    def open_watch(
        self, key: str, range_end: str | None, start: int
    ) -> tuple[int, "trio.MemoryReceiveChannel[dict[str, Any]]"]:
        """Subscribe to changes, including those since revision `start`."""
        send, receive = trio.open_memory_channel[dict[str, Any]](
            _WATCH_BUFFER_EVENTS
        )
        for revision, event in self.history:
            if revision >= start:
                send.send_nowait(event)
        watch_id = next(self._ids)
        self.watchers[watch_id] = send
        return watch_id, receive

    def _notify_watchers(self, event: dict[str, Any]) -> None:
        self.history.append((self.revision, event))
        del self.history[:-_WATCH_BUFFER_EVENTS]
        for watch_id, send in list(self.watchers.items()):
            try:
                send.send_nowait(event)
            except (trio.WouldBlock, trio.BrokenResourceError):
                del self.watchers[watch_id]

    def _build_pair(self, key: str) -> Pair:
        value = self.values[key]
        return {
            "key": key,
            "value": value.data,
            "mod_revision": str(value.mod_revision),
        }


# Keys arrive in base64 and are compared as decoded bytes.
@functools.lru_cache(maxsize=100_000)
def _decode_key(text: str) -> bytes:
    return base64.b64decode(text)


def _is_in(name: str, key: str, range_end: str | None) -> bool:
    if range_end is None:
        return name == key
    return _decode_key(key) <= _decode_key(name) < _decode_key(range_end)


class StoreApp:
    """HTTP interface of the store."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.app = applications.Starlette(
            routes=[
                routing.Route("/v3/kv/range", self.range, methods=["POST"]),
                routing.Route("/v3/kv/txn", self.txn, methods=["POST"]),
                routing.Route("/v3/lease/grant", self.grant, methods=["POST"]),
                routing.Route("/v3/watch", self.watch, methods=["POST"]),
                routing.Route("/faults", self.set_fault, methods=["POST"]),
                routing.Route("/calls", self.show_calls, methods=["GET"]),
            ]
        )

    async def range(self, request: requests.Request) -> responses.Response:
        """Answer a range read."""
        body = orjson.loads(await request.body())
        self.store.calls["range"] += 1
        if (failure := await self._apply_fault()) is not None:
            return failure
        pairs = self.store.read(body["key"], body.get("range_end"))
        return self._build_response({"kvs": pairs, "count": str(len(pairs))})

    async def txn(self, request: requests.Request) -> responses.Response:
        """Answer a compare-and-swap."""
        body = orjson.loads(await request.body())
        self.store.calls["txn"] += 1
        if (failure := await self._apply_fault()) is not None:
            return failure
        succeeded, pairs = self.store.compare_and_swap(body)
        if self._loses_answer():
            return responses.Response(status_code=504)
        answer: dict[str, Any] = {"succeeded": succeeded, "responses": []}
        if not succeeded:
            answer["responses"] = [{"response_range": {"kvs": pairs}}]
        return self._build_response(answer)

    async def grant(self, request: requests.Request) -> responses.Response:
        """Answer a lease grant."""
        body = orjson.loads(await request.body())
        self.store.calls["grant"] += 1
        if (failure := await self._apply_fault()) is not None:
            return failure
        lease = self.store.grant(int(body["TTL"]), trio.current_time())
        return self._build_response({"ID": str(lease), "TTL": body["TTL"]})

    async def watch(self, request: requests.Request) -> responses.Response:
        """Answer a watch with a stream of JSON lines."""
        body = orjson.loads(await request.body())["create_request"]
        self.store.calls["watch"] += 1
        if (failure := await self._apply_fault()) is not None:
            return failure
        return responses.StreamingResponse(self._stream(body))

    async def _stream(self, body: dict[str, str]) -> AsyncIterator[bytes]:
        key, end = body["key"], body.get("range_end")
        start = int(body.get("start_revision", self.store.revision + 1))
        watch_id, receive = self.store.open_watch(key, end, start)
        try:
            yield self._build_line({"created": True})
            async for event in receive:
                if self.store.switch.fault is Fault.CUT_WATCHES:
                    await trio.sleep_forever()
                if _is_in(event["kv"]["key"], key, end):
                    yield self._build_line({"events": [event]})
        finally:
            self.store.watchers.pop(watch_id, None)

    async def set_fault(self, request: requests.Request) -> responses.Response:
        """Set the current fault."""
        body = orjson.loads(await request.body())
        self.store.switch = Switch(
            Fault(body["fault"]),
            float(body.get("delay_s", 0.0)),
            float(body.get("share", 1.0)),
        )
        return responses.Response(status_code=204)

    async def show_calls(self, _: requests.Request) -> responses.Response:
        """Answer with the number of calls by kind, and of open watches."""
        calls = dict(self.store.calls) | {"waiting": len(self.store.watchers)}
        return responses.JSONResponse(calls)

    async def _apply_fault(self) -> responses.Response | None:
        switch = self.store.switch
        if switch.fault is Fault.DOWN:
            return responses.Response(status_code=503)
        if switch.fault is Fault.SILENT:
            await trio.sleep_forever()
        if switch.fault is Fault.SLOW:
            await trio.sleep(switch.delay_s)
        return None

    def _loses_answer(self) -> bool:
        switch = self.store.switch
        if switch.fault is not Fault.LOSE_ANSWERS:
            return False
        return self.store.random.random() < switch.share

    def _build_response(self, body: dict[str, Any]) -> responses.Response:
        header = {"header": {"revision": str(self.store.revision)}}
        return responses.Response(
            orjson.dumps(header | body), media_type="application/json"
        )

    def _build_line(self, result: dict[str, Any]) -> bytes:
        header = {"header": {"revision": str(self.store.revision)}}
        return orjson.dumps({"result": header | result}) + b"\n"


async def expire_leases(store: Store) -> None:
    """Remove expired leases once a second."""
    while True:
        store.expire(trio.current_time())
        await trio.sleep(1.0)


async def run(port: int) -> None:
    """Serve a store on a loopback port."""
    store = Store()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(expire_leases, store)
        await serving.serve(StoreApp(store).app, port)
