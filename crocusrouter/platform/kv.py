"""Client of the platform's key-value service over HTTP."""

import base64
from collections.abc import Callable
from typing import Any
from typing import TypeVar
import urllib.parse

from crocusrouter.platform import calls
from crocusrouter.store import client
from crocusrouter.store import key_value
from crocusrouter.store import records
from crocusrouter.telemetry import Metrics

_Parsed = TypeVar("_Parsed")

_CALL_TIMEOUT_S = 1.0
# Added to the wait of a watch for the transfer of its response.
_WATCH_TIMEOUT_MARGIN_S = 1.5
_MAX_CONNECTIONS = 24
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_MISMATCH = 412
# Statuses by which the service guarantees that nothing was executed.
_NOT_EXECUTED_STATUSES = (400, 403, 429, 503)
# Raised by the decoding of a document of another form than published.
_DECODING_ERRORS = (
    AttributeError,
    LookupError,
    OverflowError,
    TypeError,
    ValueError,
)


class PlatformStore:
    """Implements `store.key_value.KeyValueStore`."""

    def __init__(self, address: str, metrics: Metrics) -> None:
        self._client = calls.HttpClient(address, _MAX_CONNECTIONS)
        self._metrics = metrics

    async def read(self, key: str) -> records.Record | None:
        """Return a key's record, or None if the key doesn't exist.

        Raises:
            StoreUnavailableError: No answer, or one that can't be read.
        """
        query = urllib.parse.urlencode({"key": key})
        answer = await self._call("read", "GET", f"/kv-key?{query}")
        if answer.status == _NOT_FOUND:
            return None
        return _decode(_parse_item, _require_ok(answer))

    async def read_prefix(self, prefix: str) -> records.Snapshot:
        """Return all records under a prefix at the first page's revision.

        A watch from that revision also reports changes made while later pages
        were read.

        Raises:
            StoreUnavailableError: No answer, or one that can't be read.
        """
        found_records: list[records.Record] = []
        revision: int | None = None
        after = ""
        while True:
            parameters = {"prefix": prefix} | (
                {"after": after} if after else {}
            )
            query = urllib.parse.urlencode(parameters)
            document = _require_ok(
                await self._call("range", "GET", f"/kv-range?{query}")
            )
            if revision is None:
                revision = _decode(_parse_revision, document)
            page = _decode(_parse_items, document)
            found_records += page
            if not document.get("has_more") or not page:
                return records.Snapshot(tuple(found_records), revision)
            after = found_records[-1].key

    async def write(
        self,
        guards: tuple[key_value.Guard, ...],
        writes: tuple[key_value.Write, ...],
        removals: tuple[str, ...] = (),
        *,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> key_value.WriteOutcome:
        """Apply all writes and removals atomically if every guard holds.

        An answer that can't be read tells nothing: the write may have been
        carried out.
        """
        result = await self._client.call(
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
        if isinstance(result, calls.NoResponse):
            if result.maybe_done:
                return key_value.MaybeWritten(result.cause)
            return key_value.NotWritten(result.cause)
        try:
            return _parse_outcome(result)
        except _DECODING_ERRORS as error:
            return key_value.MaybeWritten(_describe_unreadable(error))

    async def watch(
        self, prefix: str, revision: int, wait_s: float
    ) -> key_value.Changes:
        """Wait up to `wait_s` seconds for changes after `revision`.

        Raises:
            HistoryGoneError: The service no longer has changes that far back.
            StoreUnavailableError: No answer, or one that can't be read.
        """
        query = urllib.parse.urlencode(
            {
                "prefix": prefix,
                "after": revision,
                "wait_ms": int(wait_s * 1000),
            }
        )
        answer = await self._call(
            "watch",
            "GET",
            f"/kv-watch?{query}",
            wait_s + _WATCH_TIMEOUT_MARGIN_S,
        )
        if answer.status == _GONE:
            raise key_value.HistoryGoneError(f"{prefix} after {revision}")
        return _decode(_parse_changes, _require_ok(answer))

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id.

        Raises:
            StoreUnavailableError: No answer, or one that can't be read.
        """
        answer = await self._call(
            "grant", "POST", "/kv-lease", document={"ttl_ms": int(ttl_s * 1000)}
        )
        return _decode(_parse_lease, _require_ok(answer))

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease and return True, or return False if it has ended."""
        answer = await self._call("keep", "POST", f"/kv-keep/{lease}")
        if answer.status == _NOT_FOUND:
            return False
        _require_ok(answer)
        return True

    async def _call(
        self,
        operation: str,
        method: str,
        target: str,
        timeout_s: float = _CALL_TIMEOUT_S,
        document: dict[str, Any] | None = None,
    ) -> calls.Response:
        result = await self._client.call(method, target, document, timeout_s)
        self._count(operation, result)
        if isinstance(result, calls.NoResponse):
            raise client.StoreUnavailableError(result.cause)
        return result

    def _count(self, operation: str, result: calls.CallResult) -> None:
        status = "no-answer"
        if isinstance(result, calls.Response):
            status = str(result.status)
        self._metrics.count_store_call(operation, status)


def _require_ok(answer: calls.Response) -> dict[str, Any]:
    if answer.status != _OK:
        raise client.StoreUnavailableError(f"status {answer.status}")
    return answer.document


def _decode(
    parse: Callable[[dict[str, Any]], _Parsed], document: dict[str, Any]
) -> _Parsed:
    """Decode the answer to a call that changes no key.

    Raises:
        StoreUnavailableError: The document has another form than published.
    """
    try:
        return parse(document)
    except _DECODING_ERRORS as error:
        raise client.StoreUnavailableError(
            _describe_unreadable(error)
        ) from error


def _describe_unreadable(error: Exception) -> str:
    return f"unreadable answer: {error!r}"


def _parse_outcome(answer: calls.Response) -> key_value.WriteOutcome:
    if answer.status == _OK:
        return key_value.Written(int(answer.document["revision"]))
    if answer.status == _MISMATCH:
        current_records = map(_parse_item, answer.document.get("items", ()))
        # A missing key may be listed with revision 0.
        return key_value.Mismatched(
            {
                record.key: record
                for record in current_records
                if record.revision
            }
        )
    if answer.status == _NOT_FOUND:
        return key_value.LeaseEnded()
    if answer.status in _NOT_EXECUTED_STATUSES:
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


def _parse_revision(document: dict[str, Any]) -> int:
    return int(document["at_rev"])


def _parse_lease(document: dict[str, Any]) -> int:
    return int(document["lease"])


def _parse_key(item: dict[str, Any]) -> str:
    key = item["key"]
    if not isinstance(key, str):
        raise TypeError(f"key {key!r} is not a string")
    return key


def _parse_item(item: dict[str, Any]) -> records.Record:
    value = base64.b64decode(item.get("value") or "")
    return records.Record(
        _parse_key(item), value, int(item.get("revision") or 0)
    )


def _parse_items(document: dict[str, Any]) -> list[records.Record]:
    return [_parse_item(item) for item in document["items"]]


def _parse_changes(document: dict[str, Any]) -> key_value.Changes:
    events = tuple(map(_parse_event, document["events"]))
    return key_value.Changes(events, _parse_revision(document))


def _parse_event(event: dict[str, Any]) -> records.Event:
    if event.get("deleted"):
        return records.Removed(_parse_key(event), int(event["revision"]))
    return records.Changed(_parse_item(event))
