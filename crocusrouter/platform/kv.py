"""The platform's key-value service over its HTTP interface."""

import base64
from typing import Any
import urllib.parse

from crocusrouter.platform import calls
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics

_CALL_TIMEOUT_S = 1.0
# A watch's answer may take as long as it waits, and some time on the way.
_WATCH_GRACE_S = 1.5
_CONNECTIONS = 24
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_MISMATCH = 412
# The service says of these that nothing was done.
_REFUSED = (400, 403, 429, 503)


class PlatformStore:
    """Implements `store.key_value.KeyValueStore`."""

    def __init__(self, address: str, metrics: Metrics) -> None:
        self._caller = calls.Caller(address, _CONNECTIONS)
        self._metrics = metrics

    async def read(self, key: str) -> records.Record | None:
        """Return a key's record, or None."""
        query = urllib.parse.urlencode({"key": key})
        answer = await self._call("read", "GET", f"/kv-key?{query}")
        if answer.status == _NOT_FOUND:
            return None
        return _parse_item(_expect(answer))

    async def read_prefix(self, prefix: str) -> records.Snapshot:
        """Return all records under a prefix."""
        found: list[records.Record] = []
        revision: int | None = None
        after = ""
        while True:
            asked = {"prefix": prefix} | ({"after": after} if after else {})
            query = urllib.parse.urlencode(asked)
            document = _expect(
                await self._call("range", "GET", f"/kv-range?{query}")
            )
            if revision is None:
                revision = int(document["at_rev"])
            found += map(_parse_item, document["items"])
            if not document.get("has_more") or not document["items"]:
                return records.Snapshot(tuple(found), revision)
            after = found[-1].key

    async def write(
        self,
        guards: tuple[key_value.Guard, ...],
        writes: tuple[key_value.Write, ...],
        removals: tuple[str, ...] = (),
        *,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> key_value.WriteOutcome:
        """Write all or nothing, if every guard holds."""
        result = await self._caller.call(
            "POST",
            "/kv-txn",
            {
                "expected_rev": [
                    {"key": guard.key, "revision": guard.revision}
                    for guard in guards
                ],
                "writes": [_build_write(write) for write in writes],
                "remove": list(removals),
            },
            timeout_s,
        )
        self._count("write", result)
        if isinstance(result, calls.Unanswered):
            if result.maybe_done:
                return key_value.MaybeWritten(result.cause)
            return key_value.NotWritten(result.cause)
        return _parse_outcome(result)

    async def watch(
        self, prefix: str, revision: int, wait_s: float
    ) -> key_value.Changes:
        """Wait for changes after `revision`."""
        query = urllib.parse.urlencode(
            {
                "prefix": prefix,
                "after": revision,
                "wait_ms": int(wait_s * 1000),
            }
        )
        answer = await self._call(
            "watch", "GET", f"/kv-watch?{query}", wait_s + _WATCH_GRACE_S
        )
        if answer.status == _GONE:
            raise key_value.HistoryGoneError(f"{prefix} after {revision}")
        document = _expect(answer)
        events = tuple(map(_parse_event, document["events"]))
        return key_value.Changes(events, int(document["at_rev"]))

    async def grant_lease(self, ttl_s: float) -> int:
        """Open a lease."""
        answer = await self._call(
            "grant", "POST", "/kv-lease", document={"ttl_ms": int(ttl_s * 1000)}
        )
        return int(_expect(answer)["lease"])

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; False if it has ended."""
        answer = await self._call("keep", "POST", f"/kv-keep/{lease}")
        if answer.status == _NOT_FOUND:
            return False
        _expect(answer)
        return True

    async def _call(
        self,
        call: str,
        method: str,
        target: str,
        timeout_s: float = _CALL_TIMEOUT_S,
        document: dict[str, Any] | None = None,
    ) -> calls.Answered:
        result = await self._caller.call(method, target, document, timeout_s)
        self._count(call, result)
        if isinstance(result, calls.Unanswered):
            raise client.StoreUnavailableError(result.cause)
        return result

    def _count(self, call: str, result: calls.Result) -> None:
        status = "no-answer"
        if isinstance(result, calls.Answered):
            status = str(result.status)
        self._metrics.count_store_call(call, status)


def _expect(answer: calls.Answered) -> dict[str, Any]:
    if answer.status != _OK:
        raise client.StoreUnavailableError(f"status {answer.status}")
    return answer.document


def _parse_outcome(answer: calls.Answered) -> key_value.WriteOutcome:
    if answer.status == _OK:
        return key_value.Written(int(answer.document["revision"]))
    if answer.status == _MISMATCH:
        items = map(_parse_item, answer.document.get("items", ()))
        # A key that doesn't exist may be listed with revision 0.
        return key_value.Mismatched({i.key: i for i in items if i.revision})
    if answer.status == _NOT_FOUND:
        return key_value.LeaseEnded()
    if answer.status in _REFUSED:
        return key_value.NotWritten(f"status {answer.status}")
    return key_value.MaybeWritten(f"status {answer.status}")


def _build_write(write: key_value.Write) -> dict[str, Any]:
    document: dict[str, Any] = {
        "key": write.key,
        "value": base64.b64encode(write.value).decode(),
    }
    if write.lease:
        document["lease"] = write.lease
    return document


def _parse_item(item: dict[str, Any]) -> records.Record:
    value = base64.b64decode(item.get("value") or "")
    return records.Record(item["key"], value, int(item.get("revision") or 0))


def _parse_event(event: dict[str, Any]) -> records.Event:
    if event.get("deleted"):
        return records.Removed(event["key"], int(event["revision"]))
    return records.Changed(_parse_item(event))
