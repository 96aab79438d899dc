"""JSON messages of the key-value service.

The platform's service is met through the JSON gateway of the etcd v3 API
(https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/). Only what the brief
grants is used: one-key compare-and-swap, range reads, leases and watches.
"""

import base64
from typing import Any

import orjson

from crocusrouter.store import records

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
GRANT_PATH = "/v3/lease/grant"
WATCH_PATH = "/v3/watch"


def encode(data: str | bytes) -> str:
    """Return `data` in the base64 form of the gateway."""
    raw = data.encode() if isinstance(data, str) else data
    return base64.b64encode(raw).decode()


def decode(text: str) -> bytes:
    """Return the bytes behind the gateway's base64 form."""
    return base64.b64decode(text)


def end_of_prefix(prefix: str) -> bytes:
    """Return the first key after all keys that start with `prefix`.

    >>> end_of_prefix("a/")
    b'a0'
    """
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def build_range(prefix: str) -> bytes:
    """Build a read of all keys under `prefix`."""
    return orjson.dumps(
        {"key": encode(prefix), "range_end": encode(end_of_prefix(prefix))}
    )


def build_read(key: str) -> bytes:
    """Build a read of one key."""
    return orjson.dumps({"key": encode(key)})


def build_swap(
    key: str, expected_revision: int, value: bytes, lease: int
) -> bytes:
    """Build a one-key compare-and-swap; revision 0 means "not there"."""
    put: dict[str, Any] = {"key": encode(key), "value": encode(value)}
    if lease:
        put["lease"] = str(lease)
    return orjson.dumps(
        {
            "compare": [
                {
                    "key": encode(key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(expected_revision),
                }
            ],
            "success": [{"request_put": put}],
            "failure": [{"request_range": {"key": encode(key)}}],
        }
    )


def build_grant(ttl_s: int) -> bytes:
    """Build the grant of a lease."""
    return orjson.dumps({"TTL": str(ttl_s)})


def build_watch(prefix: str, start_revision: int) -> bytes:
    """Build a watch of all keys under `prefix` from `start_revision` on."""
    return orjson.dumps(
        {
            "create_request": {
                "key": encode(prefix),
                "range_end": encode(end_of_prefix(prefix)),
                "start_revision": str(start_revision),
            }
        }
    )


def parse_snapshot(body: bytes) -> records.Snapshot:
    """Read the answer to a range."""
    answer = orjson.loads(body)
    found = tuple(_parse_pair(pair) for pair in answer.get("kvs", ()))
    return records.Snapshot(found, int(answer["header"]["revision"]))


def parse_swap(body: bytes) -> int | records.Conflict:
    """Read the answer to a swap: the new revision or the conflict."""
    answer = orjson.loads(body)
    if answer.get("succeeded"):
        return int(answer["header"]["revision"])
    pairs = answer["responses"][0]["response_range"].get("kvs", ())
    return records.Conflict(_parse_pair(pairs[0]) if pairs else None)


def parse_grant(body: bytes) -> int:
    """Read the identity of a granted lease."""
    return int(orjson.loads(body)["ID"])


def parse_events(line: bytes) -> tuple[records.Event, ...]:
    """Read one line of a watch."""
    result = orjson.loads(line)["result"]
    return tuple(_parse_event(event) for event in result.get("events", ()))


def _parse_pair(pair: dict[str, str]) -> records.Record:
    key = decode(pair["key"]).decode()
    return records.unwrap(key, decode(pair["value"]), int(pair["mod_revision"]))


def _parse_event(event: dict[str, Any]) -> records.Event:
    pair = event["kv"]
    if event.get("type") == "DELETE":
        key = decode(pair["key"]).decode()
        return records.Removed(key, int(pair["mod_revision"]))
    return records.Changed(_parse_pair(pair))
